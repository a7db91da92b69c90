"""Finds what was lost: requests without an answer, and accepted jobs that are denied.

It judges what callers were told and what ran on the VMs, as the users do. Accepted jobs that don't
come on are found by :mod:`caroblead.standin.idlecheck`.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .history import HistoryEvent
from .verdict import CallerRecords

# A request that ends sooner after its last byte was sent may not have been read.
LOSS_SLACK_S = 0.2
# A caller who has waited for so long has reached its own limit, which isn't a loss.
TIME_LIMIT_S = 3.0
# Within this time an accepted job is known to every node, and a disturbed node is sound again.
VISIBLE_S = 3.0
CONTACT_S = 3.0


@dataclass(slots=True, frozen=True)
class CutRequest:
    """A request that ended without a complete answer; times are in elapsed seconds."""

    node: str
    method: str
    job: str
    sent_s: float
    ended_s: float
    error: str


@dataclass(slots=True, frozen=True)
class Poll:
    """What a node answered to the question for a job: its state, or a status that isn't 200."""

    node: str
    job: str
    at_s: float
    answer: str


@dataclass(slots=True, frozen=True)
class Disturbance:
    """A time in which a node isn't held to the promises; an empty name stands for all nodes."""

    node: str
    began_s: float
    ended_s: float


@dataclass(slots=True)
class Observations:
    """What callers saw, and when the nodes were disturbed.

    ``lags`` are the times in which the callers themselves didn't run, each with its end. What
    happened then is seen only afterwards.
    """

    accepted_s: dict[str, float] = field(default_factory=dict)
    cuts: list[CutRequest] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)

    def measure_longest_lag_s(self) -> float:
        """Returns the longest time in which the callers didn't run."""
        return max((ended_s - began_s for began_s, ended_s in self.lags), default=0.0)

    def measure_wait_s(self, cut: CutRequest) -> float:
        """Returns how long a request waited, without the time in which the callers didn't run."""
        waited_s = cut.ended_s - cut.sent_s
        for began_s, ended_s in self.lags:
            waited_s -= max(0.0, min(ended_s, cut.ended_s) - max(began_s, cut.sent_s))
        return waited_s

    def is_disturbed(self, node: str, began_s: float, ended_s: float) -> bool:
        """Returns whether a node was disturbed in a time, or shortly before it."""
        return any(
            item.node in ("", node)
            and item.began_s <= ended_s
            and item.ended_s >= began_s - CONTACT_S
            for item in self.disturbances
        )


def list_cut_requests(observations: Observations) -> list[str]:
    """Returns the requests that ended without an answer at nodes that nothing disturbed.

    A request that got none within its caller's time limit isn't among them.
    """
    return [
        f"{cut.ended_s:.3f} {cut.node} cut off {cut.method} {cut.job} after"
        f" {cut.ended_s - cut.sent_s:.2f} s: {cut.error}"
        for cut in observations.cuts
        if observations.measure_wait_s(cut) > LOSS_SLACK_S
        and cut.ended_s - cut.sent_s < TIME_LIMIT_S
        and not observations.is_disturbed(cut.node, cut.sent_s, cut.ended_s)
    ]


def list_false_answers(
    observations: Observations, history: list[HistoryEvent], caller_records: CallerRecords
) -> list[str]:
    """Returns the answers that deny an accepted job, or show an end of it without a cause."""
    failures = Counter((e.task.job, e.task) for e in history if e.kind == "failed")
    most_failures: dict[str, int] = defaultdict(int)
    for (job, _), count in failures.items():
        most_failures[job] = max(most_failures[job], count)
    found = []
    for poll in observations.polls:
        accepted_s = observations.accepted_s.get(poll.job)
        if accepted_s is None or poll.job in caller_records.cancel_requested:
            continue
        text = f"{poll.at_s:.3f} {poll.node} shows {poll.job} as {poll.answer}"
        if poll.answer == "cancelled":
            found.append(f"{text}: nobody cancelled it")
        elif poll.answer == "failed":
            if most_failures[poll.job] < caller_records.queues[poll.job].max_attempts:
                found.append(f"{text}: {most_failures[poll.job]} runs of a task have failed")
        elif poll.answer == "status 410" and poll.at_s > accepted_s + VISIBLE_S:
            if not observations.is_disturbed(poll.node, poll.at_s, poll.at_s):
                found.append(f"{text}: it was accepted at {accepted_s:.3f}")
    return found


def list_unknown_jobs(
    final_polls: list[Poll], caller_records: CallerRecords, known: Iterable[str]
) -> list[str]:
    """Returns the accepted jobs of which a node, asked at the end, doesn't know the state."""
    states = set(known)
    return [
        f"{poll.at_s:.3f} {poll.node} answers {poll.answer} for {poll.job}"
        for poll in final_polls
        if poll.job in caller_records.accepted and poll.answer not in states
    ]
