"""The tables of a cell: its VMs, its teams, what waits and what runs.

The functions here keep the books. Whatever is placed is taken from its VM and counted for its team
in one step, and given back in one step when the attempt ends; an end that is reported twice changes
nothing the second time.
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
# Past use of a team counts half as much after this time.
USAGE_HALF_LIFE_S = 30.0
# How often the order of fair share is brought up to date where nothing else does.
KEY_REFRESH_S = 1.0
# The window over which the rate of starts from a lane is averaged.
RATE_WINDOW_S = 2.0
# A lane with fewer recent starts than this was idle; its rate says nothing yet.
IDLE_STARTS = 0.1


@dataclass(slots=True, eq=False)
class Lane:
    """What waits for one team in one class, grouped by job, oldest job first.

    ``least`` remembers the smallest cores and memory that any of the first jobs needs, so that a
    lane for which there is no room costs one comparison.
    """

    team: "TeamRow"
    groups: OrderedDict[str, deque[Task]] = field(default_factory=OrderedDict)
    size: int = 0
    key: float = 0.0
    started: float = 0.0
    started_at_s: float = 0.0
    served_since_s: float = 0.0
    least: tuple[int, int] | None = None
    least_version: int = 0


@dataclass(slots=True, eq=False)
class TeamRow:
    """A team with its use of the cell; ``grant`` is how much it may run here at a time."""

    team: Team
    grant: int
    running: int = 0
    used: Resources = NOTHING
    decayed_share: float = 0.0
    decayed_at_s: float = 0.0
    retry_tokens: float = 10.0
    lanes: dict[type[Kind], Lane] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Hold:
    """A VM that is kept for the next large task of a team, until a time."""

    job: str
    vm: Vm
    until_s: float


@dataclass(slots=True, eq=False)
class Cell:
    """Everything that the decision systems read and change."""

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
    gang_holder: str = ""
    holds: dict[str, "Hold"] = field(default_factory=dict)
    starts: int = 0
    keys_refreshed_s: float = 0.0
    quarantined: set[str] = field(default_factory=set)


def add_vm(cell: Cell, vm: Vm):
    """Adds an empty VM to the cell."""
    vm.free = vm.capacity
    cell.vms[vm.name] = vm
    cell.capacity = add(cell.capacity, vm.capacity)
    if vm.capacity.slots:
        cell.endpoints[vm.name] = vm
    _insert_keys(cell, vm)


def set_vm_state(cell: Cell, vm: Vm, state: VmState):
    """Changes whether a VM may get new work."""
    if vm.state is state:
        return
    _remove_keys(cell, vm)
    vm.state = state
    (cell.quarantined.add if state is VmState.QUARANTINED else cell.quarantined.discard)(vm.name)
    _insert_keys(cell, vm)


def remove_vm(cell: Cell, vm: Vm) -> list[Task]:
    """Takes a VM out of the cell and returns the tasks whose attempt was on it."""
    _remove_keys(cell, vm)
    cell.quarantined.discard(vm.name)
    del cell.vms[vm.name]
    cell.endpoints.pop(vm.name, None)
    cell.capacity = subtract(cell.capacity, vm.capacity)
    return list(vm.tasks.values())


def _remove_keys(cell: Cell, vm: Vm):
    if vm.keys:
        cell.by_cores.remove(vm.keys[0])
        cell.by_memory.remove(vm.keys[1])
        if vm.capacity.accelerators:
            cell.by_accelerators.remove(vm.keys[2])
    vm.keys = ()


def _insert_keys(cell: Cell, vm: Vm):
    if vm.state is not VmState.LIVE:
        return
    free = vm.free
    vm.keys = (
        (free.millicores, vm.name),
        (free.memory_mb, vm.name),
        (free.accelerators, vm.name),
    )
    cell.by_cores.add(vm.keys[0])
    cell.by_memory.add(vm.keys[1])
    if vm.capacity.accelerators:
        cell.by_accelerators.add(vm.keys[2])


def _change_free(cell: Cell, vm: Vm, free: Resources):
    same_keys = free.millicores == vm.free.millicores and free.memory_mb == vm.free.memory_mb
    if same_keys and free.accelerators == vm.free.accelerators:
        vm.free = free
        return
    _remove_keys(cell, vm)
    vm.free = free
    _insert_keys(cell, vm)


def put_team(cell: Cell, team: Team, grant: int):
    """Adds a team or changes its weight and what it may run here."""
    row = cell.teams.get(team.name)
    if row is None:
        cell.teams[team.name] = TeamRow(team, grant)
    else:
        row.team = team
        row.grant = grant


def compute_share_key(cell: Cell, row: TeamRow, now_s: float) -> float:
    """Returns how much of its share a team uses, blending present and decayed use."""
    current = compute_dominant_share(row.used, cell.capacity)
    elapsed_s = now_s - row.decayed_at_s
    if elapsed_s > 0:
        weight = 0.5 ** (elapsed_s / USAGE_HALF_LIFE_S)
        row.decayed_share = current + (row.decayed_share - current) * weight
        row.decayed_at_s = now_s
    return (current + row.decayed_share) / 2 / row.team.share


def enqueue_task(cell: Cell, task: Task, front: bool = False):
    """Puts a task into its team's lane, where the next tick finds it."""
    row = cell.teams[task.team]
    kind = type(task.kind)
    lane = row.lanes.get(kind)
    if lane is None:
        lane = row.lanes[kind] = Lane(row)
    group = task.job.name if task.job else task.queue
    waiting = lane.groups.get(group)
    if waiting is None:
        waiting = lane.groups[group] = deque()
        if front:
            lane.groups.move_to_end(group, last=False)
    (waiting.appendleft if front else waiting.append)(task)
    if lane.size == 0:
        cell.ready[kind].add((lane.key, task.team))
    lane.size += 1
    lane.least = None
    cell.waiting += 1
    cell.tasks[task.name] = task
    task.state = TaskState.WAITING


def dequeue_task(cell: Cell, task: Task):
    """Takes a waiting task out of its lane."""
    kind = type(task.kind)
    lane = cell.teams[task.team].lanes[kind]
    group = task.job.name if task.job else task.queue
    waiting = lane.groups[group]
    if waiting[0] is task:
        waiting.popleft()
    else:
        waiting.remove(task)
    if not waiting:
        del lane.groups[group]
    lane.size -= 1
    lane.least = None
    cell.waiting -= 1
    if lane.size == 0:
        cell.ready[kind].discard((lane.key, task.team))


def update_lane_key(cell: Cell, row: TeamRow, now_s: float):
    """Moves a team's lanes to their place in the order of fair share."""
    key = compute_share_key(cell, row, now_s)
    for kind, lane in row.lanes.items():
        if lane.size:
            cell.ready[kind].discard((lane.key, row.team.name))
            cell.ready[kind].add((key, row.team.name))
        lane.key = key


def take(cell: Cell, task: Task, vm: Vm, amount: Resources, now_s: float):
    """Books a waiting task onto a VM: the VM's room, the team's count and its share."""
    count_start(cell.teams[task.team].lanes[type(task.kind)], now_s)
    dequeue_task(cell, task)
    attach(cell, task, vm, amount, now_s)
    task.state = TaskState.STARTING
    task.attempt += 1
    cell.starts += 1


def refresh_lane_keys(cell: Cell, now_s: float):
    """Lets the past use of every team fade in the order of fair share, at intervals.

    A team's key changes with its use; without this, one that has nothing running would keep the
    key of its last moment and might never be served again.
    """
    if now_s - cell.keys_refreshed_s < KEY_REFRESH_S:
        return
    cell.keys_refreshed_s = now_s
    for row in cell.teams.values():
        if any(lane.size for lane in row.lanes.values()):
            update_lane_key(cell, row, now_s)


def count_start(lane: Lane, now_s: float):
    """Counts a start from a lane toward its rate."""
    before = lane.started * _decay(lane, now_s)
    if before < IDLE_STARTS:
        lane.served_since_s = now_s
    lane.started = before + 1
    lane.started_at_s = now_s


def compute_start_rate(lane: Lane, now_s: float) -> float | None:
    """Returns the starts a second from a lane, or nothing until it was served for a while."""
    if now_s - lane.served_since_s < RATE_WINDOW_S or not lane.started:
        return None
    return lane.started * _decay(lane, now_s) / RATE_WINDOW_S


def _decay(lane: Lane, now_s: float) -> float:
    return math.exp(-(now_s - lane.started_at_s) / RATE_WINDOW_S)


def attach(cell: Cell, task: Task, vm: Vm, amount: Resources, now_s: float):
    """Books a task that a VM already runs, as a new owner finds it."""
    row = cell.teams[task.team]
    _change_free(cell, vm, subtract(vm.free, amount))
    vm.tasks[task.name] = task
    task.vm = vm
    task.allotted = amount
    task.started_s = now_s
    task.state = TaskState.RUNNING
    cell.tasks[task.name] = task
    row.running += 1
    compute_share_key(cell, row, now_s)
    row.used = add(row.used, amount)
    update_lane_key(cell, row, now_s)


def rebook(cell: Cell, task: Task, amount: Resources, now_s: float):
    """Books what a running task was found to use, so that nothing is placed on room it has taken.

    What is free may go below zero by this, until relief or an end makes up for it.
    """
    row = cell.teams[task.team]
    _change_free(cell, task.vm, subtract(add(task.vm.free, task.allotted), amount))
    row.used = add(subtract(row.used, task.allotted), amount)
    task.allotted = amount
    update_lane_key(cell, row, now_s)


def give_back(cell: Cell, task: Task, now_s: float) -> bool:
    """Returns a task's room and count, once; a second report of the same end changes nothing."""
    vm = task.vm
    if vm is None:
        return False
    row = cell.teams[task.team]
    vm.tasks.pop(task.name, None)
    if cell.vms.get(vm.name) is vm:
        _change_free(cell, vm, add(vm.free, task.allotted))
    row.running -= 1
    compute_share_key(cell, row, now_s)
    row.used = subtract(row.used, task.allotted)
    update_lane_key(cell, row, now_s)
    task.vm = None
    task.allotted = NOTHING
    return True


def end_task(cell: Cell, task: Task, state: TaskState, now_s: float) -> bool:
    """Ends a task for good, whether it runs or waits; returns whether it was still open."""
    if cell.tasks.get(task.name) is not task:
        return False
    if task.vm is not None:
        give_back(cell, task, now_s)
    elif task.state is TaskState.WAITING:
        dequeue_task(cell, task)
    task.state = state
    del cell.tasks[task.name]
    return True


def list_open_tasks(job: Job) -> list[Task]:
    """Returns the tasks of a job that wait or run."""
    open_states = (TaskState.WAITING, TaskState.STARTING, TaskState.RUNNING)
    return [task for task in job.tasks if task.state in open_states]
