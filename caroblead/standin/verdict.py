"""Checks the history of the VMs against the invariants of the scheduler.

The checker sees only what happened on VMs and what callers were told, never the state of the nodes.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..dispatch.interface import TaskName
from ..jobs.data import JobQueue, JobSpec, JobState
from .vmsimulator import CapacityChange, HistoryEvent
from .work import find_end_state

# No task of a cancelled job starts later than this after the cancellation was acknowledged, under
# any fault: a leader that is cut off keeps its term no longer than a lease.
CANCEL_BOUND_S = 10.0
# A VM whose capacity has shrunk is judged by the larger one for this much longer: one heartbeat,
# after which its registry entry shows the change, and the time in which the leader must notice it.
SHRINK_GRACE_S = 4.0 + 1.5
# After so many VMs have crashed under a crashing task, it may be started fewer than so many times.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3


@dataclass(slots=True)
class CallerRecords:
    """What callers requested and which responses they got, by job id.

    The caller of an ``accepted`` job was told that it will run, that of a ``rejected`` job that it
    won't run; for all other jobs the outcome is unknown. ``cancelled_s`` is when a cancellation was
    acknowledged, which need not have happened for all jobs in ``cancel_requested``. ``teams`` are
    those of the jobs, and ``caps`` the quotas of the teams that have one, where that is recorded.
    """

    jobs: dict[str, JobSpec] = field(default_factory=dict)
    queues: dict[str, JobQueue] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    cancel_requested: set[str] = field(default_factory=set)
    cancelled_s: dict[str, float] = field(default_factory=dict)
    teams: dict[str, str] = field(default_factory=dict)
    caps: dict[str, Resources] = field(default_factory=dict)

    def list_expected_jobs(self) -> dict[str, JobSpec]:
        """Returns the accepted jobs for which no cancellation was requested."""
        return {name: self.jobs[name] for name in sorted(self.accepted - self.cancel_requested)}


@dataclass(slots=True)
class Evacuation:
    """A time in which the operators evacuated a zone."""

    zone: str
    began_s: float
    ended_s: float = float("inf")


@dataclass(slots=True)
class ReplayState:
    """The active runs and the outcomes of tasks, at one point of the history.

    An end that is in ``ended_done`` but not in ``done`` was never acknowledged: the VM crashed or
    its lease expired before. The leader may rely on such an end or run the task again.
    """

    running: dict[TaskName, set[tuple[int, str]]] = field(default_factory=lambda: defaultdict(set))
    used: dict[str, Resources] = field(default_factory=lambda: defaultdict(Resources))
    ended_done: set[TaskName] = field(default_factory=set)
    done: set[TaskName] = field(default_factory=set)
    failures: Counter[TaskName] = field(default_factory=Counter)
    crashes: Counter[TaskName] = field(default_factory=Counter)
    starts_after_crashes: Counter[TaskName] = field(default_factory=Counter)
    total: Resources = NOTHING


def find_violations(
    history: list[HistoryEvent],
    caller_records: CallerRecords,
    capacity: Resources,
    cap: Resources = NOTHING,
    capacity_changes: Sequence[CapacityChange] = (),
) -> list[str]:
    """Returns every violation in a history, and the unfinished steps of the accepted jobs.

    ``capacity`` is that of each VM before the first of its ``capacity_changes``, which are in order
    of time. ``cap`` is the limit of the team; 0 of a resource means no limit.
    """
    problems = check_history(history, caller_records, capacity, cap, capacity_changes)
    return problems + list_unfinished(history, caller_records)


def check_history(
    history: list[HistoryEvent],
    caller_records: CallerRecords,
    capacity: Resources,
    cap: Resources,
    capacity_changes: Sequence[CapacityChange] = (),
) -> list[str]:
    """Returns every violation of an invariant in a history.

    An end counts only if the leader acknowledged it before the VM's lease expired; a VM that is cut
    off for longer may have done work that is then done again.
    """
    problems: list[str] = []
    acknowledged = {
        (event.task, event.number) for event in history if event.kind.startswith("noted")
    }
    state = ReplayState()
    for event in sorted(history, key=lambda item: item.at_s):
        if event.kind.startswith("noted"):
            continue
        if event.kind == "crashed":
            state.crashes[event.task] += 1
        elif event.kind == "foreign checkpoint":
            problems.append(f"{event.at_s:.3f} {event.task}: started with a checkpoint not its own")
        elif event.kind == "start":
            problems += _check_start(event, caller_records, state)
            problems += _check_crashes(event, state)
            _apply_start(event, state)
            allowed = compute_allowed_capacity(event, capacity, capacity_changes)
            problems += _check_limits(event, allowed, cap, state)
        else:
            _apply_end(
                event, state, caller_records.jobs, (event.task, event.number) in acknowledged
            )
    return problems


def _apply_start(event: HistoryEvent, state: ReplayState):
    state.running[event.task].add((event.number, event.vm))
    state.used[event.vm] = add(state.used[event.vm], _get_need_on_vm(event))
    state.total = add(state.total, event.need)


def _get_need_on_vm(event: HistoryEvent) -> Resources:
    """Returns what a run uses of the capacity of its VM; a filling run uses no cores."""
    return event.need._replace(millicores=0) if event.fills else event.need


def compute_allowed_capacity(
    event: HistoryEvent, capacity: Resources, capacity_changes: Sequence[CapacityChange]
) -> Resources:
    """Returns the capacity by which the start of a run is judged.

    It is the largest one, of each resource, that the VM had from shortly before the order was sent
    until the start. So growth counts at once, and a shrink once :data:`SHRINK_GRACE_S` have passed.
    For example, the start of a task on a VM that shrank from four cores to two 3 s before is judged
    by four cores.
    """
    from_s = event.at_s - event.late_s - SHRINK_GRACE_S
    before, during = capacity, []
    for change in capacity_changes:
        if change.vm != event.vm or change.at_s > event.at_s:
            continue
        if change.at_s < from_s:
            before = change.capacity
        else:
            during.append(change.capacity)
    return Resources(*map(max, zip(before, *during, strict=True)))


def list_completed(task: TaskName, jobs: dict[str, JobSpec]) -> set[TaskName]:
    """Returns the tasks that are complete when a run of one is done: just it, or its whole gang."""
    step = jobs[task.job].steps[task.step]
    if not step.gang:
        return {task}
    return {TaskName(task.job, task.occurrence, task.step, index) for index in range(step.count)}


def _apply_end(
    event: HistoryEvent, state: ReplayState, jobs: dict[str, JobSpec], is_acknowledged: bool
):
    run = (event.number, event.vm)
    if run in state.running[event.task]:
        state.running[event.task].discard(run)
        state.used[event.vm] = subtract(state.used[event.vm], _get_need_on_vm(event))
        state.total = subtract(state.total, event.need)
    if event.kind == "done":
        completed = list_completed(event.task, jobs)
        state.ended_done |= completed
        if is_acknowledged:
            state.done |= completed
    if event.kind == "failed" and is_acknowledged:
        state.failures[event.task] += 1


def _check_crashes(event: HistoryEvent, state: ReplayState) -> list[str]:
    crashes = state.crashes[event.task]
    if crashes < MAX_CRASHES:
        return []
    state.starts_after_crashes[event.task] += 1
    starts = state.starts_after_crashes[event.task]
    if starts < MAX_STARTS_AFTER_CRASHES:
        return []
    return [f"{event.at_s:.3f} {event.task}: start {starts} after {crashes} crashes under it"]


def _check_limits(
    event: HistoryEvent, capacity: Resources, cap: Resources, state: ReplayState
) -> list[str]:
    problems = []
    if not fits(state.used[event.vm], capacity):
        problems.append(f"{event.at_s:.3f} {event.vm} exceeds its capacity: {event.task}")
    if not _is_within_cap(state.total, cap):
        problems.append(f"{event.at_s:.3f} the team exceeds its cap: {event.task}")
    return problems


def _is_within_cap(total: Resources, cap: Resources) -> bool:
    return not any(
        limit and amount > limit
        for limit, amount in (
            (cap.millicores, total.millicores),
            (cap.memory_mb, total.memory_mb),
        )
    )


def _check_start(
    event: HistoryEvent, caller_records: CallerRecords, state: ReplayState
) -> list[str]:
    start_text = f"{event.at_s:.3f} {event.task} run {event.number} on {event.vm}"
    task = event.task
    spec = caller_records.jobs.get(task.job)
    if spec is None:
        return [f"{start_text}: no such job was submitted"]
    problems = []
    step = spec.steps[task.step]
    running = state.running[task]
    if task.job in caller_records.rejected:
        problems.append(f"{start_text}: its caller was told that the job was rejected")
    if running and not step.copies_allowed:
        problems.append(f"{start_text}: is running already as {sorted(running)}")
    if task in state.done and not step.copies_allowed:
        problems.append(f"{start_text}: is done already")
    for number in step.after:
        if _count_ended(state, task, number) < spec.steps[number].count:
            problems.append(f"{start_text}: step {number} is not finished")
    most = caller_records.queues[task.job].max_attempts
    if state.failures[task] >= most and not step.endless:
        problems.append(f"{start_text}: has failed {state.failures[task]} times")
    if step.max_per_vm and _count_step_on_vm(event, state) >= step.max_per_vm:
        problems.append(f"{start_text}: {step.max_per_vm} tasks of its step run on this VM already")
    cancelled_s = caller_records.cancelled_s.get(task.job)
    if cancelled_s is not None and event.at_s > cancelled_s + CANCEL_BOUND_S:
        problems.append(f"{start_text}: its job was cancelled at {cancelled_s:.3f}")
    return problems


def _count_ended(state: ReplayState, task: TaskName, step: int) -> int:
    """Returns how many tasks of a step of the job of a task, in its occurrence, have ended done."""
    place = (task.job, task.occurrence, step)
    return sum((item.job, item.occurrence, item.step) == place for item in state.ended_done)


def _count_step_on_vm(event: HistoryEvent, state: ReplayState) -> int:
    """Returns how many tasks of the event's step run on the event's VM."""
    started_task = event.task
    return sum(
        vm == event.vm
        for task, runs in state.running.items()
        if (task.job, task.occurrence, task.step)
        == (started_task.job, started_task.occurrence, started_task.step)
        for _, vm in runs
    )


def list_unfinished(history: list[HistoryEvent], caller_records: CallerRecords) -> list[str]:
    """Returns the unfinished steps of accepted jobs that can succeed and were not cancelled."""
    done: set[TaskName] = set()
    for event in history:
        if event.kind == "done":
            done |= list_completed(event.task, caller_records.jobs)
    finished = Counter((task.job, task.step) for task in done)
    return [
        f"{job_id} step {number}: {finished[job_id, number]} of {step.count}"
        for job_id, spec in caller_records.list_expected_jobs().items()
        if find_end_state(spec) is JobState.DONE
        for number, step in enumerate(spec.steps)
        if finished[job_id, number] < step.count
    ]


def list_late_starts(history: list[HistoryEvent], draining_s: dict[str, float], bound_s: float):
    """Returns the starts on a VM more than ``bound_s`` seconds after it was listed as draining."""
    return [
        f"{event.at_s:.3f} {event.task} on {event.vm}, draining since {draining_s[event.vm]:.3f}"
        for event in history
        if event.kind == "start" and event.at_s > draining_s.get(event.vm, event.at_s) + bound_s
    ]


def list_starts_in_evacuated_zones(
    history: list[HistoryEvent],
    zones: dict[str, str],
    evacuations: list[Evacuation],
    bound_s: float,
) -> list[str]:
    """Returns the starts in a zone more than ``bound_s`` seconds after its evacuation began.

    ``zones`` names the zone of each VM.
    """
    return [
        f"{event.at_s:.3f} {event.task} on {event.vm}, evacuated since {evacuation.began_s:.3f}"
        for evacuation in evacuations
        for event in history
        if event.kind == "start"
        and zones[event.vm] == evacuation.zone
        and evacuation.began_s + bound_s < event.at_s <= evacuation.ended_s
    ]
