"""Spreads questions to the advice service over the nodes.

The service answers one question of each node at a time, so the leader gives every question to the
node that should be free first, itself included.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.logsink import log
from .interface import Advice

CALL_SLACK_S = 1.0
# Another node is asked as well when an answer is this much overdue.
HEDGE_AFTER_S = 0.15
# A node that failed to answer is left alone for this long, twice as long each further time.
PENALTY_S = 1.0
MAX_PENALTY_S = 8.0

Ask = Callable[[str, list[str], float], Awaitable[Advice]]


@dataclass(slots=True, eq=False)
class Adviser:
    """A node that can put questions to the service, and when it should be free."""

    node: str
    ask: Ask
    free_s: float = 0.0
    bad_until_s: float = 0.0
    failures: int = 0


class Counsel:
    """Chooses who asks."""

    def __init__(self, own: Adviser, clock: Callable[[], float]):
        self.own = own
        self.clock = clock
        self.advisers: dict[str, Adviser] = {own.node: own}
        self.calls = 0

    def put_adviser(self, adviser: Adviser):
        """Adds a node, or replaces it when it answers elsewhere now."""
        self.advisers[adviser.node] = adviser

    def remove_adviser(self, node: str):
        """Takes a node out."""
        if node != self.own.node:
            self.advisers.pop(node, None)

    def choose(self, besides: Adviser | None = None) -> Adviser:
        """Returns the node that should be free first, this one if several are free."""
        now_s = self.clock()
        good = [
            item
            for item in self.advisers.values()
            if item.bad_until_s <= now_s and item is not besides
        ]
        return min(
            good or [self.own],
            key=lambda item: (max(item.free_s, now_s), item is not self.own, item.node),
        )

    async def ask(self, step: str, vms: list[str], expected_s: float) -> Advice:
        """Asks about a step through the best node, and through another when that one is late."""
        first = self.choose()
        calls = {self._call(first, step, vms, expected_s)}
        patience_s = first.free_s - self.clock() + HEDGE_AFTER_S
        done, calls = await asyncio.wait(calls, timeout=patience_s)
        answer = _find_answer(done)
        if answer is not None:
            return answer
        calls |= {self._call(self.choose(besides=first), step, vms, expected_s)}
        while calls:
            done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            answer = _find_answer(done)
            if answer is not None:
                return answer
        return Advice(None)

    def _call(self, adviser: Adviser, step: str, vms: list[str], expected_s: float) -> asyncio.Task:
        now_s = self.clock()
        adviser.free_s = max(adviser.free_s, now_s) + expected_s
        self.calls += 1
        timeout_s = adviser.free_s - now_s + CALL_SLACK_S
        return asyncio.create_task(self._ask_one(adviser, step, vms, timeout_s))

    async def _ask_one(self, adviser: Adviser, step, vms, timeout_s: float) -> Advice:
        answer = await adviser.ask(step, vms, timeout_s)
        if answer.tickets is not None:
            adviser.failures = 0
            return answer
        adviser.failures += 1
        pause_s = min(MAX_PENALTY_S, PENALTY_S * 2 ** (adviser.failures - 1))
        adviser.bad_until_s = self.clock() + pause_s
        adviser.free_s = 0.0
        log("advice:adviser_failed", adviser=adviser.node, step=step, pause_s=pause_s)
        return answer


def _find_answer(done: set[asyncio.Task]) -> Advice | None:
    for task in done:
        if task.result().tickets is not None:
            return task.result()
    return None
