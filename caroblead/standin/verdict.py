"""Checks the history of the VMs against what must always hold.

The checker sees only what happened on VMs and what callers were told, never what the nodes believe.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..dispatch.interface import TaskName
from ..jobs.data import JobQueue, JobSpec, JobState
from .taskvm import HistoryLine
from .work import find_end_state

# A cancelled job starts nothing any more this long after its caller was told, whatever fails: a
# leader that is cut off holds its term no longer than a lease.
CANCEL_BOUND_S = 10.0


@dataclass(slots=True)
class Notes:
    """What callers asked for and what they were told, by the ids of jobs.

    A caller of an ``accepted`` job was told that it will run, one of a ``rejected`` job that it
    won't; the others know nothing. ``cancelled_s`` is when the caller of a cancelled job was told
    so, which may not have happened to all in ``cancel_asked``.
    """

    jobs: dict[str, JobSpec] = field(default_factory=dict)
    queues: dict[str, JobQueue] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    cancel_asked: set[str] = field(default_factory=set)
    cancelled_s: dict[str, float] = field(default_factory=dict)

    def list_promised(self) -> dict[str, JobSpec]:
        """Returns the accepted jobs that nobody has asked to cancel."""
        return {name: self.jobs[name] for name in sorted(self.accepted - self.cancel_asked)}


@dataclass(slots=True)
class State:
    """What runs and how tasks ended, at one point of the history.

    An end that is in ``ended_done`` but not in ``done`` was never taken note of: the VM crashed or
    its lease lapsed before. The leader may build on such an end or have the task done again.
    """

    running: dict[TaskName, set[tuple[int, str]]] = field(default_factory=lambda: defaultdict(set))
    used: dict[str, Resources] = field(default_factory=lambda: defaultdict(Resources))
    ended_done: set[TaskName] = field(default_factory=set)
    done: set[TaskName] = field(default_factory=set)
    failures: Counter[TaskName] = field(default_factory=Counter)
    total: Resources = NOTHING


def judge(
    history: list[HistoryLine], notes: Notes, capacity: Resources, cap: Resources = NOTHING
) -> list[str]:
    """Returns every violation in a history, and what is left undone of the accepted jobs.

    VMs have this ``capacity`` each. A team's ``cap`` of 0 of a resource means no limit.
    """
    return check_history(history, notes, capacity, cap) + list_unfinished(history, notes)


def check_history(
    history: list[HistoryLine], notes: Notes, capacity: Resources, cap: Resources
) -> list[str]:
    """Returns every violation found.

    An end counts only if the leader has taken note of it before the VM's lease lapsed; a VM that is
    cut off for longer may have done work that is done again.
    """
    problems: list[str] = []
    noted = {(line.task, line.number) for line in history if line.kind.startswith("noted")}
    state = State()
    for line in sorted(history, key=lambda item: item.at_s):
        if line.kind.startswith("noted"):
            continue
        if line.kind == "start":
            problems += _check_start(line, notes, state)
            _take_start(line, state)
            problems += _check_room(line, capacity, cap, state)
        else:
            _take_end(line, state, notes.jobs, (line.task, line.number) in noted)
    return problems


def _take_start(line: HistoryLine, state: State):
    state.running[line.task].add((line.number, line.vm))
    state.used[line.vm] = add(state.used[line.vm], line.need)
    state.total = add(state.total, line.need)


def list_settled(task: TaskName, jobs: dict[str, JobSpec]) -> set[TaskName]:
    """Returns the tasks that an end as done settles: one, or all members of a gang."""
    step = jobs[task.job].steps[task.step]
    if not step.gang:
        return {task}
    return {TaskName(task.job, task.occurrence, task.step, index) for index in range(step.count)}


def _take_end(line: HistoryLine, state: State, jobs: dict[str, JobSpec], is_noted: bool):
    place = (line.number, line.vm)
    if place in state.running[line.task]:
        state.running[line.task].discard(place)
        state.used[line.vm] = subtract(state.used[line.vm], line.need)
        state.total = subtract(state.total, line.need)
    if line.kind == "done":
        settled = list_settled(line.task, jobs)
        state.ended_done |= settled
        if is_noted:
            state.done |= settled
    if line.kind == "failed" and is_noted:
        state.failures[line.task] += 1


def _check_room(line: HistoryLine, capacity: Resources, cap: Resources, state: State) -> list[str]:
    problems = []
    if not fits(state.used[line.vm], capacity):
        problems.append(f"{line.at_s:.3f} {line.vm} holds more than it can: {line.task}")
    if not _is_under(state.total, cap):
        problems.append(f"{line.at_s:.3f} the team is over its cap: {line.task}")
    return problems


def _is_under(total: Resources, cap: Resources) -> bool:
    return not any(
        limit and have > limit
        for limit, have in (
            (cap.millicores, total.millicores),
            (cap.memory_mb, total.memory_mb),
        )
    )


def _check_start(line: HistoryLine, notes: Notes, state: State) -> list[str]:
    where = f"{line.at_s:.3f} {line.task} run {line.number} on {line.vm}"
    task = line.task
    spec = notes.jobs.get(task.job)
    if spec is None:
        return [f"{where}: nobody asked for it"]
    problems = []
    step = spec.steps[task.step]
    running = state.running[task]
    if task.job in notes.rejected:
        problems.append(f"{where}: its caller was told that it won't run")
    if running and not step.copies_allowed:
        problems.append(f"{where}: runs already as {sorted(running)}")
    if task in state.done and not step.copies_allowed:
        problems.append(f"{where}: was done already")
    finished = Counter((item.job, item.occurrence, item.step) for item in state.ended_done)
    for number in step.after:
        if finished[task.job, task.occurrence, number] < spec.steps[number].count:
            problems.append(f"{where}: step {number} is not done")
    if state.failures[task] >= notes.queues[task.job].max_attempts:
        problems.append(f"{where}: has failed {state.failures[task]} times")
    if step.max_per_vm and _count_beside(line, state) >= step.max_per_vm:
        problems.append(f"{where}: {step.max_per_vm} of its step run there already")
    cancelled_s = notes.cancelled_s.get(task.job)
    if cancelled_s is not None and line.at_s > cancelled_s + CANCEL_BOUND_S:
        problems.append(f"{where}: was cancelled at {cancelled_s:.3f}")
    return problems


def _count_beside(line: HistoryLine, state: State) -> int:
    """Returns how many tasks of the same step run on the same VM."""
    own = line.task
    return sum(
        vm == line.vm
        for task, places in state.running.items()
        if (task.job, task.occurrence, task.step) == (own.job, own.occurrence, own.step)
        for _, vm in places
    )


def list_unfinished(history: list[HistoryLine], notes: Notes) -> list[str]:
    """Returns the steps of promised jobs that can be done and of which some task never was."""
    done: set[TaskName] = set()
    for line in history:
        if line.kind == "done":
            done |= list_settled(line.task, notes.jobs)
    finished = Counter((task.job, task.step) for task in done)
    return [
        f"{job_id} step {number}: {finished[job_id, number]} of {step.count}"
        for job_id, spec in notes.list_promised().items()
        if find_end_state(spec) is JobState.DONE
        for number, step in enumerate(spec.steps)
        if finished[job_id, number] < step.count
    ]


def list_late_starts(history: list[HistoryLine], draining_s: dict[str, float], bound_s: float):
    """Returns the starts on a VM that came later than the bound after it was shown as draining."""
    return [
        f"{line.at_s:.3f} {line.task} on {line.vm}, draining since {draining_s[line.vm]:.3f}"
        for line in history
        if line.kind == "start" and line.at_s > draining_s.get(line.vm, line.at_s) + bound_s
    ]
