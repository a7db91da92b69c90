"""Estimates how long the first request for advice about a new job will wait for its answer.

A step can't start without advice, however many VMs are idle, and each node has one request answered
at a time. This is meant for a site that has lost most of its nodes, or whose advice service answers
late: more is submitted then than the nodes that are left can ask about.

What is owed are the requests about accepted work that have no answer yet, with those of the later
steps of the same jobs. Shorter requests go before longer ones, and then the priority of the queue
decides. What a queue waits for is what is owed to it and to those before it, at the pace that new
requests of those before it leave. Any queue but the first also waits for what is overdue: new work
would only delay it further. Work that is too late to be of use counts like any other. It is served
last, but it was accepted, and more of it would come if it were left out.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...jobs.data import JobQueue
from ..rank import Tier, find_tier
from ..work import StepWork
from .advicebacklog import BRIEF_REQUEST_S, OVERDUE_AFTER_S, is_long

# The use by the queues that go before is averaged over about this time.
USE_HORIZON_S = 5.0
# At least this part of the pace is expected to be left by the queues that go before.
MIN_PACE_LEFT = 0.1
# The number of VMs that a request is taken to name while none of its queue has been answered.
USUAL_VMS = 30
# The weight of the newest call in the mean duration of a queue's calls.
DURATION_WEIGHT = 0.1


@dataclass(slots=True)
class AdviceUse:
    """What the calls of a queue take: ``mean_s`` each, and ``busy`` nodes on average.

    ``priority`` is that of the queue. ``called_s`` sums the calls that have ended since ``busy``
    was last updated.
    """

    mean_s: float
    priority: int
    called_s: float = 0.0
    busy: float = 0.0


@dataclass(slots=True, frozen=True)
class AdviceWait:
    """How long a new job of a queue waits for advice, and how many jobs a second get it."""

    wait_s: float
    jobs_per_s: float


@dataclass(slots=True)
class AdviceMeter:
    """What the calls of each queue have taken in this term, by the name of the queue."""

    uses: dict[str, AdviceUse] = field(default_factory=dict)

    def get_mean_s(self, queue: JobQueue) -> float:
        """Returns how long a call about a step of a queue takes, in seconds."""
        return self._find_use(queue).mean_s

    def note_call(self, queue: JobQueue, took_s: float, is_answered: bool):
        """Counts a call that occupied a node for ``took_s``.

        One that fails at once, as at a node that is gone, tells nothing of how long calls take.
        """
        use = self._find_use(queue)
        use.called_s += took_s
        if is_answered or took_s > use.mean_s:
            use.mean_s += DURATION_WEIGHT * (took_s - use.mean_s)

    def _find_use(self, queue: JobQueue) -> AdviceUse:
        use = self.uses.get(queue.name)
        if use is None:
            terms = queue.advice
            mean_s = terms.decision_s + USUAL_VMS * terms.per_vm_s
            use = self.uses[queue.name] = AdviceUse(mean_s, queue.priority)
        return use

    def update(self, elapsed_s: float):
        """Averages the use in the last ``elapsed_s`` seconds into that before."""
        weight = 1.0 - math.exp(-elapsed_s / USE_HORIZON_S)
        for use in self.uses.values():
            use.busy += weight * (use.called_s / elapsed_s - use.busy)
            use.called_s = 0.0

    def estimate_waits(
        self, waiting: Iterable[StepWork], nodes: int, now_s: float
    ) -> dict[str, AdviceWait]:
        """Returns the wait of each queue, given the steps that are ``waiting`` for advice.

        ``nodes`` is how many nodes can ask, which is at least one.
        """
        owed_s: Counter[str] = Counter()
        overdue_s: Counter[str] = Counter()
        for step in waiting:
            queue = step.work.job.queue
            cost_s = self._find_use(queue).mean_s * (1 + _count_later_steps(step))
            owed_s[queue.name] += cost_s
            if now_s - step.advice.since_s >= OVERDUE_AFTER_S:
                overdue_s[queue.name] += cost_s
        orders = {name: _get_order(use) for name, use in self.uses.items()}
        waits, first = {}, min(orders.values(), default=None)
        for name, order in orders.items():
            ahead_s = sum(owed_s[other] for other in orders if orders[other] <= order)
            if order != first:
                ahead_s += sum(overdue_s[other] for other in orders if orders[other] > order)
            used = sum(self.uses[other].busy for other in orders if orders[other] < order)
            pace = nodes * max(MIN_PACE_LEFT, 1.0 - used / nodes)
            waits[name] = AdviceWait(ahead_s / pace, pace / self.uses[name].mean_s)
        return waits


def _get_order(use: AdviceUse) -> tuple:
    """Returns the place of a queue among the others, the first of which is served first."""
    return (use.mean_s > BRIEF_REQUEST_S, is_long(use.mean_s), use.priority)


def _count_later_steps(step: StepWork) -> int:
    """Returns how many steps of the job's chain will need a request after this one."""
    specs, count, chain = step.work.job.spec.steps, 0, {step.key.step}
    for number in range(step.key.step + 1, len(specs)):
        if chain.intersection(specs[number].after):
            chain.add(number)
            count += 1
    return count


def list_waiting_for_advice(steps: Iterable[StepWork], wall_s: float) -> list[StepWork]:
    """Returns the steps that wait for an answer, without overdue occurrences of a schedule.

    A backlog of these is late before its turn comes, and would keep all other jobs out.
    """
    return [step for step in steps if step.advice.pending and not _is_overdue(step, wall_s)]


def _is_overdue(step: StepWork, wall_s: float) -> bool:
    return bool(step.work.job.spec.repeats) and find_tier(step, wall_s) is Tier.USELESS
