"""Making room for urgent tasks by stopping batch work.

An urgent task that has found no room for a moment may stop batch tasks that can be repeated, on the
VM where the least work is lost, youngest first. Services and gangs are left alone, and so is work
that may not be repeated. The room is held for the urgent task until it is free.
"""

from ..core.data import Batch, Task, TaskState, Urgent, Vm, VmState
from ..core.resource import Resources, add, fits
from .cell import Cell, Hold

# An urgent task waits this long for room to come by itself.
PATIENCE_S = 1.0
# The room that is being made is held for this long.
HOLD_S = 5.0
# How many VMs are looked at for each urgent task.
VMS_TRIED = 24


def choose_victims(cell: Cell, task: Task, need: Resources, now_s: float) -> list[Task]:
    """Returns the batch tasks to stop for an urgent task, or none while it should wait.

    A second call while the room is still being made returns nothing.
    """
    if now_s - task.submitted_s < PATIENCE_S or task.name in cell.holds:
        return []
    best: tuple[float, list[Task], Vm] | None = None
    for _, name in list(cell.by_cores)[-VMS_TRIED:]:
        vm = cell.vms[name]
        if vm.state is not VmState.LIVE or vm.reserved_for or not fits(need, vm.capacity):
            continue
        victims = _list_victims(vm, need)
        if not victims:
            continue
        lost_s = sum((now_s - v.started_s) * max(1, v.allotted.millicores) for v in victims)
        if best is None or lost_s < best[0]:
            best = (lost_s, victims, vm)
    if best is None:
        return []
    _, victims, vm = best
    holder = task.job.name if task.job else task.name
    vm.reserved_for, vm.reserved_until_s = holder, now_s + HOLD_S
    cell.holds[task.name] = Hold(holder, vm, now_s + HOLD_S)
    return victims


def _list_victims(vm: Vm, need: Resources) -> list[Task]:
    free, victims = vm.free, []
    candidates = [
        task
        for task in vm.tasks.values()
        if isinstance(task.kind, Batch) and task.repeatable and task.state is TaskState.RUNNING
    ]
    for task in sorted(candidates, key=lambda task: task.started_s, reverse=True):
        if fits(need, free):
            break
        free = add(free, task.allotted)
        victims.append(task)
    return victims if fits(need, free) else []


def find_pressed(cell: Cell) -> list[Task]:
    """Returns the urgent tasks, other than requests, that wait at the head of their lanes."""
    pressed = []
    for _, name in cell.ready[Urgent]:
        lane = cell.teams[name].lanes[Urgent]
        row = lane.team
        if row.running < row.grant:
            pressed += [group[0] for group in lane.groups.values() if not group[0].need.slots][:1]
    return pressed
