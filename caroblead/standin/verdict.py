"""Checks the history of the VMs against what must always hold.

The checker sees only what happened on VMs and what callers were told, never what the nodes believe.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec
from .taskvm import HistoryLine

# A cancelled job starts nothing any more this long after its caller was told, whatever fails: a
# leader that is cut off holds its term no longer than a lease.
CANCEL_BOUND_S = 10.0


@dataclass(slots=True)
class Promises:
    """What was asked for and promised.

    A ``cap`` of a resource of 0 means no limit. ``max_attempts`` is by job, ``rejected`` holds the
    jobs whose callers were told that they won't run, and ``cancelled_s`` is when the caller of a
    cancelled job was told so.
    """

    jobs: dict[str, JobSpec]
    capacity: Resources
    cap: Resources = Resources()
    max_attempts: dict[str, int] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    cancelled_s: dict[str, float] = field(default_factory=dict)


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


def check_history(history: list[HistoryLine], promises: Promises) -> list[str]:
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
            problems += _check_start(line, promises, state)
            _take_start(line, state)
            problems += _check_room(line, promises, state)
        else:
            _take_end(line, state, promises.jobs, (line.task, line.number) in noted)
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


def _check_room(line: HistoryLine, promises: Promises, state: State) -> list[str]:
    problems = []
    if not fits(state.used[line.vm], promises.capacity):
        problems.append(f"{line.at_s:.3f} {line.vm} holds more than it can: {line.task}")
    if not _is_under(state.total, promises.cap):
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


def _check_start(line: HistoryLine, promises: Promises, state: State) -> list[str]:
    where = f"{line.at_s:.3f} {line.task} run {line.number} on {line.vm}"
    task = line.task
    spec = promises.jobs.get(task.job)
    if spec is None:
        return [f"{where}: nobody asked for it"]
    problems = []
    step = spec.steps[task.step]
    running = state.running[task]
    if task.job in promises.rejected:
        problems.append(f"{where}: its caller was told that it won't run")
    if running and not step.copies_allowed:
        problems.append(f"{where}: runs already as {sorted(running)}")
    if task in state.done and not step.copies_allowed:
        problems.append(f"{where}: was done already")
    finished = Counter((item.job, item.occurrence, item.step) for item in state.ended_done)
    for number in step.after:
        if finished[task.job, task.occurrence, number] < spec.steps[number].count:
            problems.append(f"{where}: step {number} is not done")
    attempts = promises.max_attempts.get(task.job)
    if attempts and state.failures[task] >= attempts:
        problems.append(f"{where}: has failed {state.failures[task]} times")
    if step.max_per_vm and _count_beside(line, state) >= step.max_per_vm:
        problems.append(f"{where}: {step.max_per_vm} of its step run there already")
    cancelled_s = promises.cancelled_s.get(task.job)
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


def list_unfinished(
    history: list[HistoryLine], asked: dict[str, JobSpec], jobs: dict[str, JobSpec]
) -> list[str]:
    """Returns the steps of some of the jobs asked for of which not all tasks have ended as done."""
    done: set[TaskName] = set()
    for line in history:
        if line.kind == "done":
            done |= list_settled(line.task, asked)
    finished = Counter((task.job, task.step) for task in done)
    return [
        f"{job_id} step {number}: {finished[job_id, number]} of {step.count}"
        for job_id, spec in jobs.items()
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
