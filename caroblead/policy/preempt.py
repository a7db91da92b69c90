"""Preemption: stops batch tasks so that an urgent task can start.

An urgent task that has fitted nowhere for a short time may preempt batch tasks that can be
repeated, on the VM where the least work is lost, most recently started first. Services, gangs and
work that may not be repeated are never preempted. The VM is reserved for the urgent task until the
resources are free.
"""

from ..core.data import Batch, Task, TaskState, Urgent, Vm, VmState
from ..core.resource import Resources, add, fits
from .cell import Cell, Reservation

# How long an urgent task waits for free resources before it may preempt other tasks.
PREEMPTION_DELAY_S = 1.0
# How long the VM is reserved at most while the preempted tasks stop.
RESERVATION_S = 5.0
# How many VMs, those with the most free cores, are considered for each urgent task.
MAX_CANDIDATE_VMS = 24


def choose_victims(cell: Cell, task: Task, need: Resources, now_s: float) -> list[Task]:
    """Returns the batch tasks to preempt for an urgent task, or none while it should wait.

    A second call returns nothing while the reservation of the first one lasts.
    """
    if now_s - task.submitted_s < PREEMPTION_DELAY_S or task.name in cell.reservations:
        return []
    best: tuple[float, list[Task], Vm] | None = None
    for _, name in list(cell.by_cores)[-MAX_CANDIDATE_VMS:]:
        vm = cell.vms[name]
        if vm.state is not VmState.LIVE or vm.reserved_for or not fits(need, vm.capacity):
            continue
        victims = _list_victims(vm, need)
        if not victims:
            continue
        # The work done so far, in millicore-seconds.
        lost_work = sum((now_s - v.started_s) * max(1, v.allotted.millicores) for v in victims)
        if best is None or lost_work < best[0]:
            best = (lost_work, victims, vm)
    if best is None:
        return []
    _, victims, vm = best
    holder = task.job.name if task.job else task.name
    vm.reserved_for, vm.reserved_until_s = holder, now_s + RESERVATION_S
    cell.reservations[task.name] = Reservation(holder, vm, now_s + RESERVATION_S)
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


def find_blocked_urgent_tasks(cell: Cell) -> list[Task]:
    """Returns the urgent tasks, other than requests, at the head of their backlogs.

    Each team gets at most one, and none when it is at its grant.
    """
    found = []
    for _, name in cell.ready[Urgent]:
        backlog = cell.teams[name].backlogs[Urgent]
        row = backlog.team
        if row.running < row.grant:
            found += [group[0] for group in backlog.groups.values() if not group[0].need.slots][:1]
    return found
