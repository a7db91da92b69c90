"""Admission control: rejects work on arrival, and drops requests whose deadline has passed.

A caller can do more with an early rejection than with a late answer. A queue has a limit for each
team, so a burst of one team can't use up the queue space of another. A request that could not start
before its deadline at the present rate is rejected at once, with the time after which to retry.
"""

from ..core.data import Job, Queue, Task, TaskState
from ..core.outcome import Fault, Reason, Step
from ..core.resource import Resources
from .cell import Backlog, Cell, TeamRow, compute_start_rate, end_task
from .fit import can_ever_fit
from .gang import can_fit_gang

MIN_RETRY_AFTER_S = 1.0
# The start rate assumed for a backlog from which nothing starts, so that the wait stays finite.
MIN_STARTS_PER_S = 0.01
# Weight of the newest observation in the moving average of the service time of a class.
SERVICE_TIME_WEIGHT = 0.1


def admit_request(
    cell: Cell, queue: Queue, task: Task, now_s: float, peer: str, mean_s: float
) -> Fault | None:
    """Returns why a request can't be admitted, or None when it can.

    ``mean_s`` is the mean service time of the request's class in seconds.
    """
    row = cell.teams.get(task.team)
    if row is None:
        return Fault(
            Reason.NO_CONFIG, Step.ADMIT, peer, f"team {task.team!r} is not configured in this cell"
        )
    if row.team.max_running == 0:
        return Fault(Reason.OVER_LIMIT, Step.ADMIT, peer, "the team's limit is zero")
    backlog = row.backlogs.get(type(task.kind))
    waiting = backlog.size if backlog else 0
    if waiting >= queue.max_waiting:
        return _refuse(
            Reason.QUEUE_FULL, peer, f"{waiting} requests are already waiting", mean_s * waiting
        )
    wait_s = estimate_wait(cell, row, backlog, mean_s, now_s) if backlog else 0.0
    if now_s + wait_s > task.deadline_s:
        detail = f"the expected wait of {wait_s:.2f} s exceeds the deadline"
        return _refuse(Reason.DEADLINE, peer, detail, wait_s)
    return None


def _refuse(reason: Reason, peer: str, detail: str, wait_s: float) -> Fault:
    return Fault(reason, Step.ADMIT, peer, detail, "", max(MIN_RETRY_AFTER_S, wait_s))


def estimate_wait(cell: Cell, row: TeamRow, backlog: Backlog, mean_s: float, now_s: float) -> float:
    """Returns how many seconds a new request would wait behind those of its team and class.

    The recent start rate of the backlog is the best estimate, since it already reflects what other
    teams and classes used. A backlog without a rate yet is assumed to get its team's part of the
    slots by share, and never more than the team's grant.
    """
    rate = compute_start_rate(backlog, now_s)
    slots = sum(vm.capacity.slots for vm in cell.endpoints.values())
    weights = sum(other.team.share for other in cell.teams.values() if _is_busy(other))
    part = row.team.share / max(weights, row.team.share)
    servers = max(1.0, min(slots * part, row.grant))
    if backlog.size < servers:
        return 0.0
    return backlog.size / (servers / mean_s if rate is None else max(rate, MIN_STARTS_PER_S))


def _is_busy(row: TeamRow) -> bool:
    return row.running > 0 or any(backlog.size for backlog in row.backlogs.values())


def admit_job(cell: Cell, queue: Queue, job: Job, peer: str) -> Fault | None:
    """Returns why a job can't be admitted, or None when it can.

    A job is rejected when it could never run, or when too many jobs of its team already wait.
    """
    row = cell.teams.get(job.team)
    if row is None:
        return Fault(
            Reason.NO_CONFIG, Step.ADMIT, peer, f"team {job.team!r} is not configured in this cell"
        )
    if not can_ever_fit(cell, job.need):
        detail = f"no VM is large enough for {describe_need(job.need)}"
        return Fault(Reason.NEVER_FITS, Step.ADMIT, peer, detail, "cores")
    if type(job.kind).__name__ == "Gang":
        if not can_fit_gang(cell, job.need, job.task_count):
            detail = f"{job.task_count} tasks can't run at once in this cell, even if empty"
            return Fault(Reason.NEVER_FITS, Step.ADMIT, peer, detail, "tasks")
        if job.task_count > row.team.max_running:
            detail = "the gang has more tasks than the team may run at a time"
            return Fault(Reason.OVER_LIMIT, Step.ADMIT, peer, detail, "tasks")
    backlog = row.backlogs.get(type(job.kind))
    waiting = len(backlog.groups) if backlog else 0
    if waiting >= queue.max_waiting:
        return _refuse(
            Reason.QUEUE_FULL, peer, f"{waiting} jobs are already waiting", MIN_RETRY_AFTER_S
        )
    return None


def describe_need(need: Resources) -> str:
    """Formats a need for an error message."""
    return (
        f"{need.millicores / 1000:g} cores, {need.memory_mb} MiB, {need.accelerators} accelerators"
    )


def drop_expired(cell: Cell, now_s: float) -> list[Task]:
    """Cancels the waiting requests whose deadline has passed, and returns them.

    Within a backlog, requests are in the order of arrival, and those of one queue have the same
    time from arrival to deadline. So only the head of each group has to be checked.
    """
    dropped = []
    for row in cell.teams.values():
        for backlog in row.backlogs.values():
            if backlog.size:
                dropped.extend(_drop_from_backlog(cell, backlog, now_s))
    return dropped


def _drop_from_backlog(cell: Cell, backlog, now_s: float) -> list[Task]:
    dropped = []
    for group in list(backlog.groups):
        waiting = backlog.groups.get(group)
        while waiting and waiting[0].job is None and waiting[0].deadline_s <= now_s:
            task = waiting[0]
            end_task(cell, task, TaskState.CANCELLED, now_s)
            dropped.append(task)
    return dropped
