"""The requests to the advice service that wait for a node, in the order in which they are sent.

Lasting steps that have ended go first, since their users are without them, then brief requests,
since they hardly delay the others. Then work that is still of use goes before work that is too
late, short requests go before long ones, and the rank of the step decides, as it is now and not as
it was when the request came. In a part of the nodes' time requests that have waited for long go
first, so that every accepted job is begun in the end, whatever comes after it.
"""

import asyncio
import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from ..rank import Tier

# A request that is expected to take longer than this counts as long.
LONG_REQUEST_S = 0.2
# One that is expected to take no longer than this counts as brief.
BRIEF_REQUEST_S = 0.05
# The ranks are looked up again at this interval, since work becomes late while it waits.
RANK_INTERVAL_S = 0.25
# A request whose step has waited for so long is overdue. Long and short ones, each by themselves,
# get this part of the nodes' time.
OVERDUE_AFTER_S = 6.0
OVERDUE_FRACTION = 1.0 / 6.0


def is_long(expected_s: float) -> bool:
    """Returns whether a request that is expected to take so many seconds counts as long."""
    return expected_s > LONG_REQUEST_S


@dataclass(slots=True, frozen=True)
class PlannedCall:
    """The VMs about which to ask, and how long the answer should take, in seconds."""

    vms: list[str]
    expected_s: float


@dataclass(slots=True, eq=False)
class AdviceRequest:
    """A request about a step, with the nodes to which it was sent.

    Such a request takes about ``usual_s``. The step has waited for an answer since ``since_s``,
    even if a request about it has failed meanwhile. ``plan_call`` chooses the VMs, or none if there
    is nothing to ask any more, when the request is sent, and ``call`` is what it chose.
    ``find_rank`` returns the present rank of the step. ``on_call_end`` is called with how long a
    call occupied its node, in seconds, and whether it was answered, and ``note_in_flight`` with
    whether a call is open whenever that changes. A request waits again when its only call has
    failed, or when its answer is overdue, to be sent to another node.
    """

    step: str
    usual_s: float
    plan_call: Callable[[], PlannedCall]
    find_rank: Callable[[], tuple]
    since_s: float
    on_call_end: Callable[[float, bool], None] = lambda took_s, is_answered: None
    note_in_flight: Callable[[bool], None] = lambda is_in_flight: None
    done: asyncio.Future = field(default_factory=lambda: asyncio.get_running_loop().create_future())
    rank: tuple = ()
    call: PlannedCall | None = None
    asked: set[str] = field(default_factory=set)
    open_calls: int = 0
    waits: bool = False

    @property
    def is_long(self) -> bool:
        """Whether the request is expected to take long."""
        return is_long(self.usual_s if self.call is None else self.call.expected_s)

    @property
    def is_useless(self) -> bool:
        """Whether the step was too late to be of use when it was last ranked."""
        return self.rank[:1] == (Tier.USELESS,)

    def get_order(self) -> tuple:
        """Returns the sort key of the request among those that wait."""
        is_serving = self.rank[:1] == (Tier.SERVING,)
        is_brief = self.usual_s <= BRIEF_REQUEST_S
        is_useless = self.is_useless and not is_brief
        return (not is_serving, not is_brief, is_useless, self.is_long, self.rank)


class AdviceBacklog:
    """The requests that wait for a node."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.waiting: list[AdviceRequest] = []
        self.ranked_s = 0.0
        # By whether they are long, when the next overdue request may be sent.
        self.next_overdue_s = {False: 0.0, True: 0.0}

    def add(self, request: AdviceRequest):
        """Adds a request; one with an open call goes first among those of its length."""
        request.rank = () if request.open_calls else request.find_rank()
        if request.waits:
            self.waiting.remove(request)
        request.waits = True
        bisect.insort(self.waiting, request, key=AdviceRequest.get_order)

    def clear(self):
        """Drops all requests."""
        self.waiting.clear()

    def take(
        self, is_sendable: Callable[[AdviceRequest], bool], nodes: int
    ) -> AdviceRequest | None:
        """Removes and returns the next request that can be sent, if there is one.

        ``nodes`` is how many nodes send requests.
        """
        now_s = self.clock()
        self._update(now_s)
        request = None
        if now_s >= min(self.next_overdue_s.values()):
            request = self._find_overdue(is_sendable, now_s)
        if request is not None:
            due_s = max(self.next_overdue_s[request.is_long], now_s)
            spent_s = request.usual_s / (OVERDUE_FRACTION * nodes)
            self.next_overdue_s[request.is_long] = due_s + spent_s
        else:
            open_requests = (item for item in self.waiting if not item.done.done())
            request = next(filter(is_sendable, open_requests), None)
        if request is not None:
            self.waiting.remove(request)
            request.waits = False
        return request

    def _update(self, now_s: float):
        if now_s - self.ranked_s < RANK_INTERVAL_S:
            return
        self.ranked_s = now_s
        self.waiting = [request for request in self.waiting if not request.done.done()]
        for request in self.waiting:
            if not request.open_calls:
                request.rank = request.find_rank()
        self.waiting.sort(key=AdviceRequest.get_order)

    def _find_overdue(
        self, is_sendable: Callable[[AdviceRequest], bool], now_s: float
    ) -> AdviceRequest | None:
        """Returns the oldest overdue request of a length for which it is time, if there is one."""
        overdue = [
            request
            for request in self.waiting
            if now_s - request.since_s >= OVERDUE_AFTER_S
            and not request.done.done()
            and now_s >= self.next_overdue_s[request.is_long]
            and is_sendable(request)
        ]
        return min(overdue, key=lambda item: item.since_s, default=None)
