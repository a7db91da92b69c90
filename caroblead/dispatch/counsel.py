"""Spreads questions to the advice service over the nodes.

The service answers one question of each node at a time, so the leader gives every question to the
node that should be free first, itself included.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .interface import Advice

CALL_SLACK_S = 1.0
# A node that failed to answer is not asked again for this long.
PENALTY_S = 2.0

Ask = Callable[[str, list[str], float], Awaitable[Advice]]


@dataclass(slots=True, eq=False)
class Adviser:
    """A node that can put questions to the service, and when it should be free."""

    node: str
    ask: Ask
    free_s: float = 0.0
    bad_until_s: float = 0.0


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

    def choose(self) -> Adviser:
        """Returns the node that should be free first."""
        now_s = self.clock()
        good = [item for item in self.advisers.values() if item.bad_until_s <= now_s]
        return min(good or [self.own], key=lambda item: (max(item.free_s, now_s), item.node))

    async def ask(self, step: str, vms: list[str], expected_s: float) -> Advice:
        """Asks about a step through the best node, and once more through another if that fails."""
        for _ in range(2):
            adviser = self.choose()
            now_s = self.clock()
            adviser.free_s = max(adviser.free_s, now_s) + expected_s
            wait_s = adviser.free_s - now_s
            self.calls += 1
            answer = await adviser.ask(step, vms, wait_s + CALL_SLACK_S)
            if answer.tickets is not None:
                return answer
            adviser.bad_until_s = self.clock() + PENALTY_S
            await asyncio.sleep(0)
        return Advice(None)
