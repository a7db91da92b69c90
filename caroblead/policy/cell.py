"""The tables of a cell: its VMs, its teams, the waiting tasks and the running tasks.

The functions here do the accounting of resources. When a task is placed, its allotment is
subtracted from the VM and counted for the team in one step, and both are undone in one step when
the attempt ends. Ending is idempotent: a second report of the same end changes nothing.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from ..core.data import (
    Batch,
    Gang,
    Job,
    Kind,
    Service,
    Task,
    TaskState,
    Team,
    Urgent,
    Vm,
    VmState,
    Waitable,
)
from ..core.resource import NOTHING, Resources, add, compute_dominant_share, subtract
from .sizing import SizeTable

# The order in which the classes are served in a tick.
CLASSES: tuple[type[Kind], ...] = (Urgent, Waitable, Service, Gang, Batch)
# Half-life of a team's past use in its fair share.
USAGE_HALF_LIFE_S = 30.0
# How often the fair-share keys are recomputed for teams whose use does not change.
SHARE_KEY_REFRESH_S = 1.0
# The time constant over which the start rate of a backlog is averaged.
RATE_WINDOW_S = 2.0
# A backlog with fewer recent starts than this was idle, so its start rate is not meaningful yet.
MIN_RECENT_STARTS = 0.1


@dataclass(slots=True, eq=False)
class Backlog:
    """The waiting tasks of one team in one class, grouped by job, oldest job first.

    ``key`` is the team's position in the fair-share order. ``recent_starts`` is a count of starts
    that decays with time. ``smallest_need`` caches the fewest cores (in thousandths) and the least
    memory (in MiB) that any of the first jobs needs, so that a backlog of which nothing fits costs
    one comparison.
    """

    team: "TeamRow"
    groups: OrderedDict[str, deque[Task]] = field(default_factory=OrderedDict)
    size: int = 0
    key: float = 0.0
    recent_starts: float = 0.0
    last_start_s: float = 0.0
    served_since_s: float = 0.0
    smallest_need: tuple[int, int] | None = None
    smallest_need_version: int = 0


@dataclass(slots=True, eq=False)
class TeamRow:
    """A team and its use of the cell; ``grant`` is how many tasks it may run here at a time."""

    team: Team
    grant: int
    running: int = 0
    used: Resources = NOTHING
    decayed_share: float = 0.0
    decayed_at_s: float = 0.0
    retry_tokens: float = 10.0
    backlogs: dict[type[Kind], Backlog] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Reservation:
    """A VM that is reserved for a team's next large task or for an urgent task, until a time."""

    job: str
    vm: Vm
    until_s: float


@dataclass(slots=True, eq=False)
class Cell:
    """The state that the scheduling policies read and change.

    ``by_cores``, ``by_memory`` and ``by_accelerators`` index the live VMs by their free amounts.
    ``ready`` lists, for each class, the teams with waiting tasks in fair-share order.
    ``reservations`` is keyed by team for a large batch task, and by task for an urgent task.
    """

    vms: dict[str, Vm] = field(default_factory=dict)
    teams: dict[str, TeamRow] = field(default_factory=dict)
    tasks: dict[str, Task] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    capacity: Resources = NOTHING
    by_cores: SortedList = field(default_factory=SortedList)
    by_memory: SortedList = field(default_factory=SortedList)
    by_accelerators: SortedList = field(default_factory=SortedList)
    endpoints: dict[str, Vm] = field(default_factory=dict)
    ready: dict[type[Kind], SortedList] = field(
        default_factory=lambda: {kind: SortedList() for kind in CLASSES}
    )
    sizes: SizeTable = field(default_factory=SizeTable)
    waiting: int = 0
    reserving_gang: str = ""
    reservations: dict[str, "Reservation"] = field(default_factory=dict)
    starts: int = 0
    share_keys_refreshed_s: float = 0.0
    quarantined: set[str] = field(default_factory=set)


def add_vm(cell: Cell, vm: Vm):
    """Adds an empty VM to the cell."""
    vm.free = vm.capacity
    cell.vms[vm.name] = vm
    cell.capacity = add(cell.capacity, vm.capacity)
    if vm.capacity.slots:
        cell.endpoints[vm.name] = vm
    _add_to_indexes(cell, vm)


def set_vm_state(cell: Cell, vm: Vm, state: VmState):
    """Sets the state of a VM; only a live VM is in the indexes and so gets new work."""
    if vm.state is state:
        return
    _remove_from_indexes(cell, vm)
    vm.state = state
    (cell.quarantined.add if state is VmState.QUARANTINED else cell.quarantined.discard)(vm.name)
    _add_to_indexes(cell, vm)


def remove_vm(cell: Cell, vm: Vm) -> list[Task]:
    """Removes a VM from the cell and returns the tasks whose attempt was on it."""
    _remove_from_indexes(cell, vm)
    cell.quarantined.discard(vm.name)
    del cell.vms[vm.name]
    cell.endpoints.pop(vm.name, None)
    cell.capacity = subtract(cell.capacity, vm.capacity)
    return list(vm.tasks.values())


def _remove_from_indexes(cell: Cell, vm: Vm):
    if vm.index_keys:
        cell.by_cores.remove(vm.index_keys[0])
        cell.by_memory.remove(vm.index_keys[1])
        if vm.capacity.accelerators:
            cell.by_accelerators.remove(vm.index_keys[2])
    vm.index_keys = ()


def _add_to_indexes(cell: Cell, vm: Vm):
    if vm.state is not VmState.LIVE:
        return
    free = vm.free
    vm.index_keys = (
        (free.millicores, vm.name),
        (free.memory_mb, vm.name),
        (free.accelerators, vm.name),
    )
    cell.by_cores.add(vm.index_keys[0])
    cell.by_memory.add(vm.index_keys[1])
    if vm.capacity.accelerators:
        cell.by_accelerators.add(vm.index_keys[2])


def _set_free(cell: Cell, vm: Vm, free: Resources):
    same_keys = free.millicores == vm.free.millicores and free.memory_mb == vm.free.memory_mb
    if same_keys and free.accelerators == vm.free.accelerators:
        vm.free = free
        return
    _remove_from_indexes(cell, vm)
    vm.free = free
    _add_to_indexes(cell, vm)


def put_team(cell: Cell, team: Team, grant: int):
    """Adds a team, or updates its weight and how many tasks it may run here."""
    row = cell.teams.get(team.name)
    if row is None:
        cell.teams[team.name] = TeamRow(team, grant)
    else:
        row.team = team
        row.grant = grant


def compute_share_key(cell: Cell, row: TeamRow, now_s: float) -> float:
    """Returns a team's use relative to its share: the mean of present and decayed past use."""
    current = compute_dominant_share(row.used, cell.capacity)
    elapsed_s = now_s - row.decayed_at_s
    if elapsed_s > 0:
        weight = 0.5 ** (elapsed_s / USAGE_HALF_LIFE_S)
        row.decayed_share = current + (row.decayed_share - current) * weight
        row.decayed_at_s = now_s
    return (current + row.decayed_share) / 2 / row.team.share


def enqueue_task(cell: Cell, task: Task, front: bool = False):
    """Adds a task to its team's backlog, from which the next scheduling tick may place it."""
    row = cell.teams[task.team]
    kind = type(task.kind)
    backlog = row.backlogs.get(kind)
    if backlog is None:
        backlog = row.backlogs[kind] = Backlog(row)
    group = task.job.name if task.job else task.queue
    waiting = backlog.groups.get(group)
    if waiting is None:
        waiting = backlog.groups[group] = deque()
        if front:
            backlog.groups.move_to_end(group, last=False)
    (waiting.appendleft if front else waiting.append)(task)
    if backlog.size == 0:
        cell.ready[kind].add((backlog.key, task.team))
    backlog.size += 1
    backlog.smallest_need = None
    cell.waiting += 1
    cell.tasks[task.name] = task
    task.state = TaskState.WAITING


def dequeue_task(cell: Cell, task: Task):
    """Removes a waiting task from its backlog."""
    kind = type(task.kind)
    backlog = cell.teams[task.team].backlogs[kind]
    group = task.job.name if task.job else task.queue
    waiting = backlog.groups[group]
    if waiting[0] is task:
        waiting.popleft()
    else:
        waiting.remove(task)
    if not waiting:
        del backlog.groups[group]
    backlog.size -= 1
    backlog.smallest_need = None
    cell.waiting -= 1
    if backlog.size == 0:
        cell.ready[kind].discard((backlog.key, task.team))


def update_share_key(cell: Cell, row: TeamRow, now_s: float):
    """Recomputes a team's fair-share key and reorders its backlogs by it."""
    key = compute_share_key(cell, row, now_s)
    for kind, backlog in row.backlogs.items():
        if backlog.size:
            cell.ready[kind].discard((backlog.key, row.team.name))
            cell.ready[kind].add((key, row.team.name))
        backlog.key = key


def allocate_task(cell: Cell, task: Task, vm: Vm, amount: Resources, now_s: float):
    """Places a waiting task on a VM and updates the VM, the team's count and its share."""
    record_start(cell.teams[task.team].backlogs[type(task.kind)], now_s)
    dequeue_task(cell, task)
    attach(cell, task, vm, amount, now_s)
    task.state = TaskState.STARTING
    task.attempt += 1
    cell.starts += 1


def refresh_share_keys(cell: Cell, now_s: float):
    """Recomputes the fair-share keys at intervals, so that past use decays for every team.

    Otherwise a team's key changes only with its use. A team that has nothing running would keep
    the key of its last change and might never be served again.
    """
    if now_s - cell.share_keys_refreshed_s < SHARE_KEY_REFRESH_S:
        return
    cell.share_keys_refreshed_s = now_s
    for row in cell.teams.values():
        if any(backlog.size for backlog in row.backlogs.values()):
            update_share_key(cell, row, now_s)


def record_start(backlog: Backlog, now_s: float):
    """Counts a start in the start rate of a backlog."""
    before = backlog.recent_starts * _compute_decay(backlog, now_s)
    if before < MIN_RECENT_STARTS:
        backlog.served_since_s = now_s
    backlog.recent_starts = before + 1
    backlog.last_start_s = now_s


def compute_start_rate(backlog: Backlog, now_s: float) -> float | None:
    """Returns the starts per second of a backlog, or None until it was served long enough."""
    if now_s - backlog.served_since_s < RATE_WINDOW_S or not backlog.recent_starts:
        return None
    return backlog.recent_starts * _compute_decay(backlog, now_s) / RATE_WINDOW_S


def _compute_decay(backlog: Backlog, now_s: float) -> float:
    return math.exp(-(now_s - backlog.last_start_s) / RATE_WINDOW_S)


def attach(cell: Cell, task: Task, vm: Vm, amount: Resources, now_s: float):
    """Accounts for a task that runs on a VM, such as one that a new owner finds there."""
    row = cell.teams[task.team]
    _set_free(cell, vm, subtract(vm.free, amount))
    vm.tasks[task.name] = task
    task.vm = vm
    task.allotted = amount
    task.started_s = now_s
    task.state = TaskState.RUNNING
    cell.tasks[task.name] = task
    row.running += 1
    compute_share_key(cell, row, now_s)
    row.used = add(row.used, amount)
    update_share_key(cell, row, now_s)


def resize_allocation(cell: Cell, task: Task, amount: Resources, now_s: float):
    """Sets a running task's allotment to its measured use, so that nothing is placed on top of it.

    The VM's free amount may become negative until tasks are throttled, stopped or end.
    """
    row = cell.teams[task.team]
    _set_free(cell, task.vm, subtract(add(task.vm.free, task.allotted), amount))
    row.used = add(subtract(row.used, task.allotted), amount)
    task.allotted = amount
    update_share_key(cell, row, now_s)


def release_allocation(cell: Cell, task: Task, now_s: float) -> bool:
    """Releases a task's allotment and its place in the team's count; returns whether it had any.

    It is idempotent: a second report of the same end changes nothing.
    """
    vm = task.vm
    if vm is None:
        return False
    row = cell.teams[task.team]
    vm.tasks.pop(task.name, None)
    if cell.vms.get(vm.name) is vm:
        _set_free(cell, vm, add(vm.free, task.allotted))
    row.running -= 1
    compute_share_key(cell, row, now_s)
    row.used = subtract(row.used, task.allotted)
    update_share_key(cell, row, now_s)
    task.vm = None
    task.allotted = NOTHING
    return True


def end_task(cell: Cell, task: Task, state: TaskState, now_s: float) -> bool:
    """Sets the final state of a running or waiting task; returns whether it was still open."""
    if cell.tasks.get(task.name) is not task:
        return False
    if task.vm is not None:
        release_allocation(cell, task, now_s)
    elif task.state is TaskState.WAITING:
        dequeue_task(cell, task)
    task.state = state
    del cell.tasks[task.name]
    return True


def list_open_tasks(job: Job) -> list[Task]:
    """Returns the tasks of a job that are waiting, starting or running."""
    open_states = (TaskState.WAITING, TaskState.STARTING, TaskState.RUNNING)
    return [task for task in job.tasks if task.state in open_states]
