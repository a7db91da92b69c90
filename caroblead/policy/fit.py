"""Choice of a VM for a task: feasibility first, then the score that strands the least.

The index that leaves fewer candidates is walked from the tightest VM upward, and the best of the
first few that fit is taken, so the cost of a choice hardly grows with the number of VMs.
"""

from ..core.data import Task, Urgent, Vm, VmState
from ..core.resource import Resources, fits
from .cell import Cell

CANDIDATES = 12
# The sample of VMs looked at from the tight end before giving up on an even score.
BALANCE_WEIGHT = 1.0
ACCELERATOR_PENALTY = 1.0


def list_candidates(cell: Cell, need: Resources):
    """Yields VMs that may have room for a need, tightest first, from the narrowest index."""
    if need.accelerators:
        index, least = cell.by_accelerators, need.accelerators
    else:
        cores_at = cell.by_cores.bisect_left((need.millicores, ""))
        memory_at = cell.by_memory.bisect_left((need.memory_mb, ""))
        if cores_at >= memory_at:
            index, least = cell.by_cores, need.millicores
        else:
            index, least = cell.by_memory, need.memory_mb
    for _, name in index.irange((least, "")):
        yield cell.vms[name]


def score_vm(vm: Vm, need: Resources) -> float:
    """Returns how much a VM would strand with the need placed; lower is better."""
    capacity, free = vm.capacity, vm.free
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + BALANCE_WEIGHT * abs(cores - memory)
    if capacity.accelerators and not need.accelerators:
        score += ACCELERATOR_PENALTY
    return score


def is_blocked(vm: Vm, task: Task, end_s: float) -> bool:
    """Returns whether a reservation keeps the task off a VM.

    Urgent work passes, and so does work that is expected to end before the reservation falls due.
    """
    if not vm.reserved_for or isinstance(task.kind, Urgent):
        return False
    if task.job and vm.reserved_for == task.job.name:
        return False
    return end_s > vm.reserved_until_s


def find_vm(cell: Cell, task: Task, need: Resources, end_s: float) -> Vm | None:
    """Returns the best VM for a task, or nothing when no VM has room for it."""
    best, best_score, seen = None, float("inf"), 0
    avoid = task.job.failed_vms if task.job else ()
    for vm in list_candidates(cell, need):
        if not fits(need, vm.free) or vm.name in avoid or is_blocked(vm, task, end_s):
            continue
        if not (task.repeatable or vm.recorded):
            continue
        score = score_vm(vm, need)
        if score < best_score:
            best, best_score = vm, score
        seen += 1
        if seen >= CANDIDATES:
            break
    return best


def find_spread_vm(cell: Cell, task: Task, need: Resources) -> Vm | None:
    """Returns the VM whose rack and zone hold the fewest tasks of the same job."""
    racks, zones, hosts = {}, {}, {}
    for other in task.job.tasks if task.job else ():
        if other.vm is not None:
            for table, name in (
                (zones, other.vm.zone),
                (racks, other.vm.rack),
                (hosts, other.vm.name),
            ):
                table[name] = table.get(name, 0) + 1
    best, best_rank = None, None
    for vm in list_candidates(cell, need):
        if not fits(need, vm.free) or vm.reserved_for or vm.name in task.job.failed_vms:
            continue
        rank = (
            zones.get(vm.zone, 0),
            racks.get(vm.rack, 0),
            hosts.get(vm.name, 0),
            score_vm(vm, need),
        )
        if best is None or rank < best_rank:
            best, best_rank = vm, rank
            if rank[:3] == (0, 0, 0):
                break
    return best


def ever_fits(cell: Cell, need: Resources) -> bool:
    """Returns whether some VM of the cell, when empty, could hold the need."""
    return any(
        fits(need, vm.capacity) for vm in cell.vms.values() if vm.state is not VmState.LEAVING
    )


def find_largest(cell: Cell) -> Resources:
    """Returns the largest amount of each resource that any VM offers."""
    most = [0, 0, 0, 0]
    for vm in cell.vms.values():
        size = vm.capacity
        for index, value in enumerate(
            (size.millicores, size.memory_mb, size.accelerators, size.slots)
        ):
            most[index] = max(most[index], value)
    return Resources(*most)
