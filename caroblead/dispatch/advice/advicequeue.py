"""Distributes requests to the advice service over the nodes.

The service handles one request of each node at a time. Requests are queued here and not in the
service, so that an urgent one can overtake the others. Long requests never occupy every node, since
a short one would then have to wait for one of them to finish.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ...core.logsink import log
from ...core.timer import await_and_log_errors
from ..interface import Advice
from .advicebacklog import AdviceBacklog, AdviceRequest

# Added to the expected duration of a request to get its timeout.
CALL_SLACK_S = 0.6
# A request is also sent to another node (hedged) when its answer is this much overdue.
HEDGE_AFTER_S = 0.15
# A node that failed to answer gets no request for this long; each further failure doubles it.
FAILURE_BACKOFF_S = 1.0
MAX_FAILURE_BACKOFF_S = 8.0
# A request that has failed at so many nodes is given up.
MAX_CALLS = 4
# One node in so many is reserved for short requests.
NODES_PER_RESERVED_NODE = 3
# One node in so many may send long requests about steps that are too late to be of use, but at
# least some nodes of a small site, which else serves a backlog of them too slowly. One node is kept
# for a step that is still of use and comes meanwhile.
NODES_PER_USELESS_REQUEST = 3
MIN_USELESS_REQUESTS = 6

Ask = Callable[[str, list[str], float], Awaitable[Advice]]


@dataclass(slots=True, eq=False)
class Adviser:
    """A node that can call the service.

    ``in_flight`` counts its open requests, ``in_flight_long`` the long ones among them, and
    ``in_flight_useless`` the long ones about work that is too late to be of use.
    """

    node: str
    ask: Ask
    in_flight: int = 0
    in_flight_long: int = 0
    in_flight_useless: int = 0
    backoff_until_s: float = 0.0
    failures: int = 0


class AdviceQueue:
    """A priority queue of requests, each sent to the next free node."""

    def __init__(self, own: Adviser, clock: Callable[[], float]):
        self.own = own
        self.clock = clock
        self.advisers: dict[str, Adviser] = {own.node: own}
        self.backlog = AdviceBacklog(clock)
        self.tasks: set[asyncio.Task] = set()
        self.calls = 0

    def put_adviser(self, adviser: Adviser):
        """Adds a node, or replaces it when its address has changed."""
        self.advisers[adviser.node] = adviser
        self._send_waiting()

    def remove_adviser(self, node: str):
        """Removes a node; the own node always stays."""
        if node != self.own.node:
            self.advisers.pop(node, None)

    def count_nodes(self) -> int:
        """Returns how many nodes answered the last time that they were asked; at least one."""
        return max(1, sum(1 for item in self.advisers.values() if not item.failures))

    async def ask(self, request: AdviceRequest) -> Advice:
        """Sends a request when a node is free for it, and returns the answer."""
        self.backlog.add(request)
        self._send_waiting()
        return await request.done

    def clear(self):
        """Drops the queued requests and cancels those in flight; nobody waits for them any more."""
        self.backlog.clear()
        for task in list(self.tasks):
            task.cancel()

    def _send_waiting(self):
        """Sends what can be sent; a request for which no node is free doesn't block the next."""
        healthy = self._list_healthy()
        while any(not item.in_flight for item in healthy):
            request = self.backlog.take(_make_check(healthy), len(healthy))
            if request is None:
                return
            if request.call is not None or _plan(request):
                self._start_call(_choose_free(request, healthy), request)

    def _list_healthy(self) -> list[Adviser]:
        """Returns the nodes to ask; the own one is if no other can be.

        It goes first, and those that failed to answer last time go last.
        """
        now_s = self.clock()
        healthy = [item for item in self.advisers.values() if item.backoff_until_s <= now_s]
        healthy.sort(key=lambda item: (item.failures > 0, item is not self.own, item.node))
        return healthy or [self.own]

    def _start_call(self, adviser: Adviser, request: AdviceRequest):
        adviser.in_flight += 1
        adviser.in_flight_long += request.is_long
        adviser.in_flight_useless += request.is_long and request.is_useless
        request.asked.add(adviser.node)
        request.open_calls += 1
        request.note_in_flight(True)
        self.calls += 1
        task, began_s = asyncio.create_task(self._call_node(adviser, request)), self.clock()
        self.tasks.add(task)
        # A task that is cancelled before its first step runs none of its own code, not even a
        # ``finally`` block, so the end of the call is handled in a callback.
        task.add_done_callback(lambda done: self._end_call(adviser, request, done, began_s))
        # A node that failed last time may be gone for good.
        overdue_s = 0.0 if adviser.failures else request.call.expected_s + HEDGE_AFTER_S
        asyncio.get_running_loop().call_later(overdue_s, self._hedge, request)

    def _hedge(self, request: AdviceRequest):
        if not request.done.done() and request.open_calls:
            self.backlog.add(request)
            self._send_waiting()

    async def _call_node(self, adviser: Adviser, request: AdviceRequest) -> Advice:
        vms, timeout_s = request.call.vms, request.call.expected_s + CALL_SLACK_S
        answer = await await_and_log_errors(adviser.ask(request.step, vms, timeout_s))
        return Advice(None) if answer is None else answer

    def _end_call(
        self, adviser: Adviser, request: AdviceRequest, task: asyncio.Task, began_s: float
    ):
        """Frees the node of a call that has ended in any way, and handles its answer."""
        self.tasks.discard(task)
        is_answered = not task.cancelled() and task.result().tickets is not None
        request.on_call_end(self.clock() - began_s, is_answered)
        adviser.in_flight -= 1
        adviser.in_flight_long = adviser.in_flight_useless = 0
        request.open_calls -= 1
        if not task.cancelled():
            self._handle_answer(adviser, request, task.result())
        elif not request.open_calls and not request.done.done():
            # The term has ended, so the request mustn't wait for a node again.
            request.done.set_result(Advice(None))
        self._send_waiting()

    def _handle_answer(self, adviser: Adviser, request: AdviceRequest, answer: Advice):
        if answer.tickets is not None:
            adviser.failures = 0
            if not request.done.done():
                request.done.set_result(answer)
            return
        adviser.failures += 1
        pause_s = min(MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S * 2 ** (adviser.failures - 1))
        adviser.backoff_until_s = self.clock() + pause_s
        asyncio.get_running_loop().call_later(pause_s, self._send_waiting)
        log("advice:adviser_failed", adviser=adviser.node, step=request.step, pause_s=pause_s)
        self._replace_call(request)

    def _replace_call(self, request: AdviceRequest):
        """Queues a request again whose only open call has failed, or gives it up.

        It is given up when it has failed at some nodes, or at all that can be asked.
        """
        if request.open_calls or request.done.done():
            return
        has_other = any(item.node not in request.asked for item in self._list_healthy())
        if has_other and len(request.asked) < MAX_CALLS:
            # By the time that it is sent again, other VMs may be the ones to ask about.
            request.call = None
            request.note_in_flight(False)
            self.backlog.add(request)
        else:
            request.done.set_result(Advice(None))


def _plan(request: AdviceRequest) -> bool:
    """Chooses the VMs of a request; returns false if there are none, which ends the request."""
    try:
        request.call = request.plan_call()
    except Exception as error:
        request.done.set_exception(error)
        return False
    if not request.call.vms:
        request.done.set_result(Advice({}))
    return bool(request.call.vms)


def _make_check(healthy: list[Adviser]) -> Callable[[AdviceRequest], bool]:
    """Returns a function that tells whether a request can be sent to one of the nodes now."""
    long_left = max(1, len(healthy) - len(healthy) // NODES_PER_RESERVED_NODE)
    long_left -= sum(1 for item in healthy if item.in_flight_long)
    useless_left = count_useless_requests(len(healthy))
    useless_left -= sum(item.in_flight_useless for item in healthy)

    def is_sendable(request: AdviceRequest) -> bool:
        left = min(long_left, useless_left) if request.is_useless else long_left
        if request.is_long and left <= 0:
            return False
        return _choose_free(request, healthy) is not None

    return is_sendable


def _choose_free(request: AdviceRequest, healthy: list[Adviser]) -> Adviser | None:
    """Returns the first free node to which a request wasn't sent yet, or ``None``."""
    free = (item for item in healthy if not item.in_flight and item.node not in request.asked)
    return next(free, None)


def count_useless_requests(nodes: int) -> int:
    """Returns how many long requests about steps that are too late may be open at a time."""
    at_least = max(1, min(nodes - 1, MIN_USELESS_REQUESTS))
    return max(at_least, nodes // NODES_PER_USELESS_REQUEST)
