"""Finds what was lost: requests without an answer, and accepted jobs that don't come on.

It judges what callers were told and what ran on the VMs, as the users do.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec, JobState, StepSpec
from .verdict import CallerRecords, list_completed
from .vmsimulator import HistoryEvent
from .work import find_end_state

# A request that ends sooner after its last byte was sent may not have been read.
LOSS_SLACK_S = 0.2
# A caller who has waited for so long has reached its own limit, which isn't a loss.
TIME_LIMIT_S = 3.0
# Within this time an accepted job is known to every node, and a disturbed node is sound again.
VISIBLE_S = 3.0
CONTACT_S = 3.0
# For how long a job may have nothing running while there is room for it.
IDLE_S = 3.0


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


@dataclass(slots=True)
class Occupation:
    """What runs on the VMs during a time: the most that was in use at once, and the jobs."""

    used: dict[str, Resources]
    total: Resources
    jobs: set[str]
    done: set[TaskName]
    failures: Counter[TaskName]


def measure_occupation(
    history: list[HistoryEvent], specs: dict[str, JobSpec], from_s: float, until_s: float
) -> Occupation:
    """Returns what ran at some moment between two times, and which tasks were done before."""
    now: dict[str, Resources] = defaultdict(Resources)
    runs: dict[tuple[TaskName, int, str], Resources] = {}
    state, began, total = Occupation({}, NOTHING, set(), set(), Counter()), False, NOTHING

    def note_most():
        nonlocal total
        for vm, used in now.items():
            state.used[vm] = Resources(*map(max, zip(used, state.used.get(vm, used), strict=True)))
        total = NOTHING
        for used in now.values():
            total = add(total, used)
        state.total = Resources(*map(max, zip(total, state.total, strict=True)))
        state.jobs.update(task.job for task, _, _ in runs)

    for event in sorted(history, key=lambda item: item.at_s):
        if event.at_s > until_s:
            break
        if event.at_s >= from_s and not began:
            began = True
            note_most()
        key = (event.task, event.number, event.vm)
        if event.kind == "start":
            runs[key] = event.need
            now[event.vm] = add(now[event.vm], event.need)
        elif key in runs and not event.kind.startswith(("noted", "crashed", "foreign")):
            now[event.vm] = subtract(now[event.vm], runs.pop(key))
            if event.kind == "done":
                state.done |= list_completed(event.task, specs)
            if event.kind == "failed":
                state.failures[event.task] += 1
        if began:
            note_most()
    if not began:
        note_most()
    return state


def list_idle_jobs(
    history: list[HistoryEvent],
    caller_records: CallerRecords,
    capacities: dict[str, Resources],
    from_s: float,
    is_allowed: Callable[[str, str, str], bool],
) -> list[str]:
    """Returns the accepted jobs that have nothing running for 3 s though there is room twice over.

    ``capacities`` are those of the VMs that are up; ``is_allowed`` tells whether the advice service
    allows a step, by its name, on a VM, for a queue. While half of the room is in use, no job
    counts as idle.
    """
    occupation = measure_occupation(history, caller_records.jobs, from_s, from_s + IDLE_S)
    whole = NOTHING
    for capacity in capacities.values():
        whole = add(whole, capacity)
    half = Resources(*(amount // 2 for amount in whole))
    if not fits(occupation.total, half):
        return []
    free = {
        vm: subtract(capacity, occupation.used.get(vm, NOTHING))
        for vm, capacity in capacities.items()
    }
    done = Counter((task.job, task.step) for task in occupation.done)
    found = []
    for job, spec in caller_records.list_expected_jobs().items():
        queue = caller_records.queues[job]
        if job in occupation.jobs or find_end_state(spec) is not JobState.DONE:
            continue
        for number in _list_due_steps(job, spec, done):
            rooms = [
                room for vm, room in free.items() if is_allowed(f"{job}.0.{number}", vm, queue.name)
            ]
            step = spec.steps[number]
            waiting = step.count if step.gang else 1
            if _count_places(step, rooms) >= 2 * waiting:
                found.append(f"{job} of {queue.name}: nothing of step {number} runs for {IDLE_S} s")
                break
    return found


def _list_due_steps(job: str, spec: JobSpec, done: Mapping[tuple[str, int], int]) -> Iterable[int]:
    """Returns the steps that have tasks left and whose earlier steps are done.

    ``done`` counts the tasks that are done, by job and step.
    """
    for number, step in enumerate(spec.steps):
        is_due = all(done[job, earlier] >= spec.steps[earlier].count for earlier in step.after)
        if done[job, number] < step.count and is_due:
            yield number


def _count_places(step: StepSpec, rooms: list[Resources]) -> int:
    places = 0
    for room in rooms:
        ratios = [
            have // need
            for have, need in (
                (room.millicores, step.need.millicores),
                (room.memory_mb, step.need.memory_mb),
            )
            if need
        ]
        count = max(0, min(ratios, default=0))
        places += min(count, step.max_per_vm) if step.max_per_vm else count
    return places


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
