"""Spreads questions to the advice service over the nodes.

The service answers one question of each node at a time. Questions wait here and not there, so that
an urgent one passes those that can wait; long questions never take every node, since a short one
would have to wait for one of them to end.
"""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..core.logsink import log
from .interface import Advice

CALL_SLACK_S = 0.6
# Another node is asked as well when an answer is this much overdue.
HEDGE_AFTER_S = 0.15
# A node that failed to answer is left alone for this long, twice as long each further time.
PENALTY_S = 1.0
MAX_PENALTY_S = 8.0
# A question that should take longer than this counts as long.
LONG_S = 0.2
# Long questions leave one node in so many to the short ones.
NODES_PER_SHORT = 3
# How many questions without a node are passed over in one turn.
MAX_BLOCKED = 8

Ask = Callable[[str, list[str], float], Awaitable[Advice]]


@dataclass(slots=True, eq=False)
class Adviser:
    """A node that can put questions to the service; ``busy`` counts its open ones."""

    node: str
    ask: Ask
    busy: int = 0
    busy_long: int = 0
    bad_until_s: float = 0.0
    failures: int = 0


@dataclass(slots=True, eq=False)
class Question:
    """A question about a step, with the nodes that were asked."""

    step: str
    vms: list[str]
    expected_s: float
    done: asyncio.Future
    asked: set[str] = field(default_factory=set)
    open_calls: int = 0

    @property
    def is_long(self) -> bool:
        """Whether the answer takes long."""
        return self.expected_s > LONG_S


class Counsel:
    """Puts the most urgent question to the next free node."""

    def __init__(self, own: Adviser, clock: Callable[[], float]):
        self.own = own
        self.clock = clock
        self.advisers: dict[str, Adviser] = {own.node: own}
        self.waiting: list[tuple] = []
        self.serials = itertools.count()
        self.tasks: set[asyncio.Task] = set()
        self.calls = 0

    def put_adviser(self, adviser: Adviser):
        """Adds a node, or replaces it when it answers elsewhere now."""
        self.advisers[adviser.node] = adviser
        self._pump()

    def remove_adviser(self, node: str):
        """Takes a node out."""
        if node != self.own.node:
            self.advisers.pop(node, None)

    async def ask(self, step: str, vms: list[str], expected_s: float, rank: tuple) -> Advice:
        """Asks about a step; questions of a lower rank go first."""
        question = Question(step, vms, expected_s, asyncio.get_running_loop().create_future())
        self._push(question, rank)
        return await question.done

    def clear(self):
        """Drops the questions that nobody waits for any more."""
        self.waiting.clear()
        for task in list(self.tasks):
            task.cancel()

    def _push(self, question: Question, rank: tuple):
        heapq.heappush(self.waiting, (question.is_long, rank, next(self.serials), question))
        self._pump()

    def _pump(self):
        """Hands out what can be handed out; a question without a node doesn't hold up the next."""
        blocked = []
        while self.waiting:
            entry = heapq.heappop(self.waiting)
            question = entry[-1]
            if question.done.done():
                continue
            adviser = self._choose(question)
            if adviser is None:
                blocked.append(entry)
                if len(blocked) >= MAX_BLOCKED:
                    break
            else:
                self._call(adviser, question)
        for entry in blocked:
            heapq.heappush(self.waiting, entry)

    def _choose(self, question: Question) -> Adviser | None:
        """Returns a free node for a question, this one if it is free."""
        now_s = self.clock()
        good = [item for item in self.advisers.values() if item.bad_until_s <= now_s]
        good = good or [self.own]
        if question.is_long:
            lanes = max(1, len(good) - len(good) // NODES_PER_SHORT)
            if sum(1 for item in good if item.busy_long) >= lanes:
                return None
        free = [item for item in good if not item.busy and item.node not in question.asked]
        return min(free, key=lambda item: (item is not self.own, item.node), default=None)

    def _call(self, adviser: Adviser, question: Question):
        adviser.busy += 1
        adviser.busy_long += question.is_long
        question.asked.add(adviser.node)
        question.open_calls += 1
        self.calls += 1
        task = asyncio.create_task(self._ask_one(adviser, question))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        asyncio.get_running_loop().call_later(
            question.expected_s + HEDGE_AFTER_S, self._hedge, question
        )

    def _hedge(self, question: Question):
        if not question.done.done() and question.open_calls:
            self._push(question, ())

    async def _ask_one(self, adviser: Adviser, question: Question):
        timeout_s = question.expected_s + CALL_SLACK_S
        try:
            answer = await adviser.ask(question.step, question.vms, timeout_s)
        finally:
            adviser.busy -= 1
            adviser.busy_long -= question.is_long
            question.open_calls -= 1
        self._take_answer(adviser, question, answer)
        self._pump()

    def _take_answer(self, adviser: Adviser, question: Question, answer: Advice):
        if answer.tickets is not None:
            adviser.failures = 0
            if not question.done.done():
                question.done.set_result(answer)
            return
        adviser.failures += 1
        pause_s = min(MAX_PENALTY_S, PENALTY_S * 2 ** (adviser.failures - 1))
        adviser.bad_until_s = self.clock() + pause_s
        asyncio.get_running_loop().call_later(pause_s, self._pump)
        log("advice:adviser_failed", adviser=adviser.node, step=question.step, pause_s=pause_s)
        if not question.open_calls and not question.done.done():
            question.done.set_result(answer)
