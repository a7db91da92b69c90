"""Gangs: all tasks of a job start together, or none does.

A gang is placed in one step or not at all, so two gangs can never hold half of what both need. The
oldest gang that did not fit gets the only reservation: VMs are kept for it, and other work may use
them only when it is expected to end before the reservation falls due. Its wait is thus bounded by
the run time of what already runs there.
"""

from ..core.data import Job, Task, TaskState, Vm, VmState
from ..core.resource import Resources, fits, subtract
from .cell import Cell
from .fit import is_blocked, list_candidates
from .sizing import compute_allotment, estimate_run_time

# A gang that has waited this long may reserve VMs.
RESERVE_AFTER_S = 5.0
# While a member is in one of these states, the others wait for it.
NOT_GATHERED = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPED})


def place_gang(
    cell: Cell, job: Job, largest: Resources, now_s: float
) -> list[tuple[Task, Vm, Resources]]:
    """Returns a place for every waiting task of a gang, or an empty list."""
    if any(task.state in NOT_GATHERED for task in job.tasks):
        return []
    members = [task for task in job.tasks if task.state is TaskState.WAITING]
    row = cell.teams[job.team]
    if row.running + len(members) > row.grant:
        return []
    need = compute_allotment(cell.sizes, members[0], largest)
    chosen = _find_places(cell, job, members, need, now_s)
    if chosen:
        release_reservation(cell, job.name)
    else:
        _reserve(cell, job, members, need, now_s)
    return chosen


def _find_places(cell: Cell, job: Job, members: list[Task], need: Resources, now_s: float):
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


def count_room(vm: Vm, need: Resources, empty: bool) -> int:
    """Returns how many tasks of a need a VM has room for, now or when empty."""
    free = vm.capacity if empty else vm.free
    rooms = [
        have // want
        for have, want in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if want
    ]
    return min(rooms, default=0)


def find_free_time(cell: Cell, vm: Vm, now_s: float) -> float:
    """Returns when the last task of a VM is expected to end; services never do."""
    latest = now_s
    for task in vm.tasks.values():
        if task.need.slots:
            continue
        run_s = estimate_run_time(cell.sizes, task)
        latest = max(latest, task.started_s + run_s if run_s > 0 else float("inf"))
    return latest


def _reserve(cell: Cell, job: Job, members: list[Task], need: Resources, now_s: float):
    holder = cell.jobs.get(cell.gang_holder)
    if holder is None and now_s - job.submitted_s >= RESERVE_AFTER_S:
        release_reservation(cell, cell.gang_holder)
        cell.gang_holder = job.name
    if cell.gang_holder != job.name or any(vm.reserved_for == job.name for vm in cell.vms.values()):
        return
    candidates = [
        (find_free_time(cell, vm, now_s), vm)
        for vm in cell.vms.values()
        if vm.state is VmState.LIVE and vm.name not in job.failed_vms and not vm.reserved_for
    ]
    candidates.sort(key=lambda item: (item[0], item[1].name))
    missing = len(members)
    for free_s, vm in candidates:
        room = count_room(vm, need, empty=free_s < float("inf"))
        if room and missing > 0:
            vm.reserved_for = job.name
            vm.reserved_until_s = free_s
            missing -= room


def release_reservation(cell: Cell, name: str):
    """Gives up the VMs that were kept for a gang."""
    if not name or cell.gang_holder != name:
        return
    cell.gang_holder = ""
    for vm in cell.vms.values():
        if vm.reserved_for == name:
            vm.reserved_for = ""
            vm.reserved_until_s = 0.0


def gang_can_fit(cell: Cell, need: Resources, count: int) -> bool:
    """Returns whether the cell, when empty, could hold all tasks of a gang at once."""
    room = sum(
        count_room(vm, need, empty=True)
        for vm in cell.vms.values()
        if vm.state is not VmState.LEAVING
    )
    return room >= count
