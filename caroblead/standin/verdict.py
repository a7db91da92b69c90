"""Checks the history of the VMs against what must always hold.

The checker sees only what happened on VMs and what callers were told, never what the nodes believe.
"""

from collections import Counter, defaultdict

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..jobs.data import JobSpec
from .taskvm import HistoryLine


def check_history(
    history: list[HistoryLine], jobs: dict[str, JobSpec], capacity: Resources, cap: Resources
) -> list[str]:
    """Returns every violation found; ``cap`` of a resource of 0 means no limit.

    A run that ended as done settles its task only if the leader has taken note of the end before
    the VM's lease lapsed; a VM that is cut off for longer may have done work that is done again.
    """
    problems: list[str] = []
    noted = {(line.task, line.number) for line in history if line.kind == "noted done"}
    running: dict[object, set[tuple[int, str]]] = defaultdict(set)
    used: dict[str, Resources] = defaultdict(Resources)
    done: set = set()
    total = NOTHING
    for line in sorted(history, key=lambda item: item.at_s):
        place = (line.number, line.vm)
        if line.kind.startswith("noted"):
            continue
        if line.kind == "start":
            problems += _check_start(line, jobs, running[line.task], done)
            running[line.task].add(place)
            used[line.vm] = add(used[line.vm], line.need)
            total = add(total, line.need)
            if not fits(used[line.vm], capacity):
                problems.append(f"{line.at_s:.3f} {line.vm} holds more than it can: {line.task}")
            if not _is_under(total, cap):
                problems.append(f"{line.at_s:.3f} the team is over its cap: {line.task}")
            continue
        if place in running[line.task]:
            running[line.task].discard(place)
            used[line.vm] = subtract(used[line.vm], line.need)
            total = subtract(total, line.need)
        if line.kind == "done" and (line.task, line.number) in noted:
            done.add(line.task)
    return problems


def _is_under(total: Resources, cap: Resources) -> bool:
    return not any(
        limit and have > limit
        for limit, have in (
            (cap.millicores, total.millicores),
            (cap.memory_mb, total.memory_mb),
        )
    )


def _check_start(line: HistoryLine, jobs, running, done) -> list[str]:
    where = f"{line.at_s:.3f} {line.task} run {line.number} on {line.vm}"
    spec = jobs.get(line.task.job)
    if spec is None:
        return [f"{where}: nobody asked for it"]
    problems = []
    step = spec.steps[line.task.step]
    if running and not step.copies_allowed:
        problems.append(f"{where}: runs already as {sorted(running)}")
    if line.task in done and not step.copies_allowed:
        problems.append(f"{where}: was done already")
    finished = Counter((task.job, task.occurrence, task.step) for task in done)
    for number in step.after:
        before = (line.task.job, line.task.occurrence, number)
        if finished[before] < spec.steps[number].count:
            problems.append(f"{where}: step {number} is not done")
    return problems


def list_unfinished(history: list[HistoryLine], jobs: dict[str, JobSpec]) -> list[str]:
    """Returns the tasks of accepted jobs that have never ended as done."""
    done = {line.task for line in history if line.kind == "done"}
    finished = Counter((task.job, task.step) for task in done)
    return [
        f"{job_id} step {number}: {finished[job_id, number]} of {step.count}"
        for job_id, spec in jobs.items()
        for number, step in enumerate(spec.steps)
        if finished[job_id, number] < step.count
    ]
