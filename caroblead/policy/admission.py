"""Admission: what is refused at the door, and what is dropped when its time has passed.

Refusing early is kinder than answering late. A queue has a bound for each team, so one team's flood
can't take another's room, and a request that could not start before its deadline at the present
rate is refused at once, with the time after which to try again.
"""

from ..core.data import Job, Queue, Task, TaskState
from ..core.outcome import Fault, Reason, Step
from ..core.resource import Resources
from .cell import Cell, Lane, TeamRow, compute_start_rate, end_task
from .fit import ever_fits
from .gang import gang_can_fit

FIRST_RETRY_S = 1.0
# A lane that is not served at all counts as served this often, in starts a second.
LOWEST_RATE = 0.01
# Weight of the newest observation in the average service time of a class.
SERVICE_WEIGHT = 0.1


def admit_request(
    cell: Cell, queue: Queue, task: Task, now_s: float, peer: str, mean_s: float
) -> Fault | None:
    """Returns why a request can't be taken, or nothing when it can."""
    row = cell.teams.get(task.team)
    if row is None:
        return Fault(Reason.NO_CONFIG, Step.ADMIT, peer, f"no team {task.team!r} here")
    if row.team.max_running == 0:
        return Fault(Reason.OVER_LIMIT, Step.ADMIT, peer, "the team's limit is zero")
    lane = row.lanes.get(type(task.kind))
    waiting = lane.size if lane else 0
    if waiting >= queue.max_waiting:
        return _refuse(Reason.QUEUE_FULL, peer, f"{waiting} requests wait", mean_s * waiting)
    wait_s = estimate_wait(cell, row, lane, mean_s, now_s) if lane else 0.0
    if now_s + wait_s > task.deadline_s:
        detail = f"expected to wait {wait_s:.2f} s, past the deadline"
        return _refuse(Reason.DEADLINE, peer, detail, wait_s)
    return None


def _refuse(reason: Reason, peer: str, detail: str, wait_s: float) -> Fault:
    return Fault(reason, Step.ADMIT, peer, detail, "", max(FIRST_RETRY_S, wait_s))


def estimate_wait(cell: Cell, row: TeamRow, lane: Lane, mean_s: float, now_s: float) -> float:
    """Returns how long a new request would wait behind those of its own team and class.

    The rate at which the lane was served lately tells best, since it holds what other teams and
    classes took. A lane that was not served yet is taken to get its team's part of the slots by
    share, and never more than its grant.
    """
    rate = compute_start_rate(lane, now_s)
    slots = sum(vm.capacity.slots for vm in cell.endpoints.values())
    weights = sum(other.team.share for other in cell.teams.values() if _is_busy(other))
    part = row.team.share / max(weights, row.team.share)
    servers = max(1.0, min(slots * part, row.grant))
    if lane.size < servers:
        return 0.0
    return lane.size / (servers / mean_s if rate is None else max(rate, LOWEST_RATE))


def _is_busy(row: TeamRow) -> bool:
    return row.running > 0 or any(lane.size for lane in row.lanes.values())


def admit_job(cell: Cell, queue: Queue, job: Job, peer: str) -> Fault | None:
    """Returns why a job can't be taken: it could never run, or too much waits already."""
    row = cell.teams.get(job.team)
    if row is None:
        return Fault(Reason.NO_CONFIG, Step.ADMIT, peer, f"no team {job.team!r} here")
    if not ever_fits(cell, job.need):
        detail = f"no VM can ever hold {describe_need(job.need)}"
        return Fault(Reason.NEVER_FITS, Step.ADMIT, peer, detail, "cores")
    if type(job.kind).__name__ == "Gang":
        if not gang_can_fit(cell, job.need, job.task_count):
            detail = f"{job.task_count} tasks can't ever run at once here"
            return Fault(Reason.NEVER_FITS, Step.ADMIT, peer, detail, "tasks")
        if job.task_count > row.team.max_running:
            detail = "more tasks than the team may ever run at a time"
            return Fault(Reason.OVER_LIMIT, Step.ADMIT, peer, detail, "tasks")
    lane = row.lanes.get(type(job.kind))
    waiting = len(lane.groups) if lane else 0
    if waiting >= queue.max_waiting:
        return _refuse(Reason.QUEUE_FULL, peer, f"{waiting} jobs wait", FIRST_RETRY_S)
    return None


def describe_need(need: Resources) -> str:
    """Returns a need in words, for an error."""
    return (
        f"{need.millicores / 1000:g} cores, {need.memory_mb} MiB, {need.accelerators} accelerators"
    )


def drop_expired(cell: Cell, now_s: float) -> list[Task]:
    """Takes out the requests whose deadline has passed while they waited.

    Within a lane requests stand in the order of arrival, and those of one queue share their
    time to the deadline, so only the head of each group needs a look.
    """
    dropped = []
    for row in cell.teams.values():
        for lane in row.lanes.values():
            if lane.size:
                dropped.extend(_drop_from_lane(cell, lane, now_s))
    return dropped


def _drop_from_lane(cell: Cell, lane, now_s: float) -> list[Task]:
    dropped = []
    for group in list(lane.groups):
        waiting = lane.groups.get(group)
        while waiting and waiting[0].job is None and waiting[0].deadline_s <= now_s:
            task = waiting[0]
            end_task(cell, task, TaskState.CANCELLED, now_s)
            dropped.append(task)
    return dropped
