"""Gang scheduling: all tasks of a job start together, or none does.

A gang is placed in one step or not at all, so two gangs can't deadlock with each holding half of
what both need. The oldest gang that did not fit gets the only gang reservation: VMs are reserved
for it, and other work may use them only when it is expected to end before the reservation becomes
due. So its wait is bounded by the run time of the tasks that already run there.
"""

from ..core.data import Job, Task, TaskState, Vm, VmState
from ..core.resource import Resources, fits, subtract
from .cell import Cell
from .fit import is_blocked, list_candidates
from .sizing import compute_allotment, estimate_run_time

# A gang that has waited this long may reserve VMs.
RESERVE_AFTER_S = 5.0
# While a task of the gang is in one of these states, the waiting ones are not placed.
BLOCKING_STATES = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPED})


def place_gang(
    cell: Cell, job: Job, largest: Resources, now_s: float
) -> list[tuple[Task, Vm, Resources]]:
    """Returns a VM and an allotment for every waiting task of a gang, or an empty list.

    A gang that does not fit may get a reservation instead.
    """
    if any(task.state in BLOCKING_STATES for task in job.tasks):
        return []
    members = [task for task in job.tasks if task.state is TaskState.WAITING]
    row = cell.teams[job.team]
    if row.running + len(members) > row.grant:
        return []
    need = compute_allotment(cell.sizes, members[0], largest)
    chosen = _find_vms(cell, job, members, need, now_s)
    if chosen:
        release_gang_reservation(cell, job.name)
    else:
        _reserve_vms(cell, job, members, need, now_s)
    return chosen


def _find_vms(cell: Cell, job: Job, members: list[Task], need: Resources, now_s: float):
    end_s = now_s + estimate_run_time(cell.sizes, members[0])
    chosen, index = [], 0
    for vm in list_candidates(cell, need):
        free = vm.free
        if vm.name in job.failed_vms or is_blocked(vm, members[0], end_s):
            continue
        while index < len(members) and fits(need, free):
            chosen.append((members[index], vm, need))
            free = subtract(free, need)
            index += 1
        if index == len(members):
            return chosen
    return []


def count_fitting_tasks(vm: Vm, need: Resources, empty: bool) -> int:
    """Returns how many tasks with the given need fit on a VM, now or when it is empty."""
    free = vm.capacity if empty else vm.free
    counts = [
        available // requested
        for available, requested in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if requested
    ]
    return min(counts, default=0)


def estimate_empty_time(cell: Cell, vm: Vm, now_s: float) -> float:
    """Returns the time in seconds at which the last task of a VM is expected to end.

    It is infinite when a task has no expected end, such as a service. Requests, which need slots,
    are not counted.
    """
    latest = now_s
    for task in vm.tasks.values():
        if task.need.slots:
            continue
        run_s = estimate_run_time(cell.sizes, task)
        latest = max(latest, task.started_s + run_s if run_s > 0 else float("inf"))
    return latest


def _reserve_vms(cell: Cell, job: Job, members: list[Task], need: Resources, now_s: float):
    holder = cell.jobs.get(cell.reserving_gang)
    if holder is None and now_s - job.submitted_s >= RESERVE_AFTER_S:
        release_gang_reservation(cell, cell.reserving_gang)
        cell.reserving_gang = job.name
    if cell.reserving_gang != job.name or any(
        vm.reserved_for == job.name for vm in cell.vms.values()
    ):
        return
    candidates = [
        (estimate_empty_time(cell, vm, now_s), vm)
        for vm in cell.vms.values()
        if vm.state is VmState.LIVE and vm.name not in job.failed_vms and not vm.reserved_for
    ]
    candidates.sort(key=lambda item: (item[0], item[1].name))
    missing = len(members)
    for empty_s, vm in candidates:
        fitting = count_fitting_tasks(vm, need, empty=empty_s < float("inf"))
        if fitting and missing > 0:
            vm.reserved_for = job.name
            vm.reserved_until_s = empty_s
            missing -= fitting


def release_gang_reservation(cell: Cell, name: str):
    """Cancels the reservation of a gang and frees its VMs for other work."""
    if not name or cell.reserving_gang != name:
        return
    cell.reserving_gang = ""
    for vm in cell.vms.values():
        if vm.reserved_for == name:
            vm.reserved_for = ""
            vm.reserved_until_s = 0.0


def can_fit_gang(cell: Cell, need: Resources, count: int) -> bool:
    """Returns whether all tasks of a gang would fit in the cell at once if it were empty."""
    fitting = sum(
        count_fitting_tasks(vm, need, empty=True)
        for vm in cell.vms.values()
        if vm.state is not VmState.LEAVING
    )
    return fitting >= count
