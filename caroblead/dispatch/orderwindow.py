"""Limits how many start orders are open at a time, by how long VMs take to answer.

This is for a leader that is short of processor time or bandwidth. Without a limit it sends more
orders than it can carry out, the answers arrive after the orders have timed out, and each timeout
costs a look at the VM, a stop and a new connection, until nothing starts at all. With the limit the
most urgent tasks start and the others wait their turn.
"""

import statistics
from collections import deque
from dataclasses import dataclass, field

from .fleet import SILENT_AFTER_S, Run, RunPhase

# Answers that take longer than this would delay urgent work by most of its time objective.
SLOW_ANSWER_S = 0.2
# The newest answers whose median tells how long VMs take now. The median ignores a minority of VMs
# that are cut off or slow themselves.
SAMPLES = 32
MIN_WINDOW = 8
MAX_WINDOW = 1000
# More starts are decided in several plans, with the event loop free between them.
MAX_STARTS_PER_PLAN = 250
SHRINK_FACTOR = 0.5
# How much the window grows with each prompt answer.
GROWTH = 0.5
# An order waits for its answer for this many times the usual duration, within bounds.
TIMEOUT_FACTOR = 4.0
MIN_ORDER_TIMEOUT_S = 0.4
MAX_ORDER_TIMEOUT_S = 1.6


# A ticket is not used this close to its expiry, since the order takes time to reach the VM. The
# margin grows with the time that starts take from their decision until they are carried out.
MIN_TICKET_MARGIN_S = 0.3
TICKET_MARGIN_FACTOR = 1.5


@dataclass(slots=True, frozen=True)
class OrderLimits:
    """What a plan may contain: so many starts, and no ticket that expires within the margin."""

    max_starts: int = MAX_STARTS_PER_PLAN
    ticket_margin_s: float = MIN_TICKET_MARGIN_S


@dataclass(slots=True, eq=False)
class OrderWindow:
    """The number of start orders that may be open, and the runs whose orders are.

    ``answers_s`` holds how long VMs took to answer the newest orders, and ``delays_s`` how long it
    took from the decision until the answer.

    For example, a leader whose 30 open orders are answered after half a second has its window
    halved to 15, and it grows again once answers arrive within :data:`SLOW_ANSWER_S`.
    """

    size: float = MAX_WINDOW
    open_runs: set[Run] = field(default_factory=set)
    answers_s: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    shrunk_s: float = 0.0

    def add(self, run: Run):
        """Counts a start as open from its decision on."""
        self.open_runs.add(run)

    def count_open(self) -> int:
        """Returns how many starts have been decided and not yet answered."""
        self.open_runs = {run for run in self.open_runs if _is_open(run)}
        return len(self.open_runs)

    def make_limits(self) -> OrderLimits:
        """Returns the limits for the next plan."""
        delay_s = statistics.median(self.delays_s) if self.delays_s else 0.0
        margin_s = max(MIN_TICKET_MARGIN_S, TICKET_MARGIN_FACTOR * delay_s)
        open_left = max(0, int(self.size) - self.count_open())
        return OrderLimits(min(MAX_STARTS_PER_PLAN, open_left), margin_s)

    def get_usual_answer_s(self) -> float:
        """Returns how long VMs usually take to answer an order now, in seconds."""
        return statistics.median(self.answers_s) if self.answers_s else 0.0

    def get_order_timeout_s(self) -> float:
        """Returns for how long an order should wait for its answer, in seconds."""
        timeout_s = TIMEOUT_FACTOR * self.get_usual_answer_s()
        return min(MAX_ORDER_TIMEOUT_S, max(MIN_ORDER_TIMEOUT_S, timeout_s))

    def observe(self, took_s: float, now_s: float) -> bool:
        """Adapts the window to an answer, or to a timeout, and returns whether it has shrunk.

        It shrinks at most once in the usual duration of an answer, because the answers until then
        are to orders that were sent before.
        """
        self.answers_s.append(took_s)
        usual_s = self.get_usual_answer_s()
        if len(self.answers_s) < MIN_WINDOW or usual_s <= SLOW_ANSWER_S:
            self.size = min(MAX_WINDOW, self.size + GROWTH)
            return False
        if now_s - self.shrunk_s < usual_s:
            return False
        self.shrunk_s = now_s
        self.size = max(MIN_WINDOW, SHRINK_FACTOR * min(self.size, self.count_open()))
        return True


def _is_open(run: Run) -> bool:
    is_booked = (run.task, run.number) in run.vm.runs
    return is_booked and run.phase in (RunPhase.RECORDING, RunPhase.ORDERED)


def tells_congestion(run: Run, now_s: float) -> bool:
    """Returns whether an unanswered order may be due to the leader: its VM has answered lately."""
    return now_s - run.vm.heard_s < SILENT_AFTER_S
