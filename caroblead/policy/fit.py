"""Choice of a VM for a task: a feasibility check, then best fit by stranded resources.

Of the indexes by free cores and by free memory, the one with fewer candidates is walked from the
VM with the least free amount upward. The best of the first few VMs that fit is taken, so the cost
of a choice hardly grows with the number of VMs.
"""

from ..core.data import Task, Urgent, Vm, VmState
from ..core.resource import Resources, fits
from .cell import Cell

# How many VMs that fit are scored, from the one with the least free amount upward.
MAX_CANDIDATES = 12
# Weight in the score of the difference between the free fractions of cores and memory.
BALANCE_WEIGHT = 1.0
# Added to the score of a VM with accelerators when the task needs none.
ACCELERATOR_PENALTY = 1.0


def list_candidates(cell: Cell, need: Resources):
    """Yields VMs that may fit a need, least free first, from the index with fewest candidates."""
    if need.accelerators:
        index, minimum = cell.by_accelerators, need.accelerators
    else:
        cores_at = cell.by_cores.bisect_left((need.millicores, ""))
        memory_at = cell.by_memory.bisect_left((need.memory_mb, ""))
        if cores_at >= memory_at:
            index, minimum = cell.by_cores, need.millicores
        else:
            index, minimum = cell.by_memory, need.memory_mb
    for _, name in index.irange((minimum, "")):
        yield cell.vms[name]


def score_vm(vm: Vm, need: Resources) -> float:
    """Returns how much of a VM would be stranded with the need placed; lower is better."""
    capacity, free = vm.capacity, vm.free
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + BALANCE_WEIGHT * abs(cores - memory)
    if capacity.accelerators and not need.accelerators:
        score += ACCELERATOR_PENALTY
    return score


def is_blocked(vm: Vm, task: Task, end_s: float) -> bool:
    """Returns whether a reservation keeps a task from using a VM.

    Urgent work may always use the VM, and so may work that is expected to end before the
    reservation becomes due. ``end_s`` is the expected end of the task.
    """
    if not vm.reserved_for or isinstance(task.kind, Urgent):
        return False
    if task.job and vm.reserved_for == task.job.name:
        return False
    return end_s > vm.reserved_until_s


def find_vm(cell: Cell, task: Task, need: Resources, end_s: float) -> Vm | None:
    """Returns the best VM for a task, or None when it fits on no VM."""
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
        if seen >= MAX_CANDIDATES:
            break
    return best


def find_spread_vm(cell: Cell, task: Task, need: Resources) -> Vm | None:
    """Returns a VM with the fewest tasks of the same job in its zone, its rack and on the VM.

    The zone counts first, then the rack, then the VM itself, then the score.
    """
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


def can_ever_fit(cell: Cell, need: Resources) -> bool:
    """Returns whether the need would fit on some VM of the cell if that VM were empty."""
    return any(
        fits(need, vm.capacity) for vm in cell.vms.values() if vm.state is not VmState.LEAVING
    )


def find_largest(cell: Cell) -> Resources:
    """Returns the largest capacity of any VM, for each resource separately."""
    most = [0, 0, 0, 0]
    for vm in cell.vms.values():
        size = vm.capacity
        for index, value in enumerate(
            (size.millicores, size.memory_mb, size.accelerators, size.slots)
        ):
            most[index] = max(most[index], value)
    return Resources(*most)
