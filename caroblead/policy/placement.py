"""The tick: places what waits, class by class, team by team in the order of fair share.

Within a class the team that uses the least of its share goes first, and its key moves with each
placement. A team whose work does not fit, or that is at its limit, is passed over for the rest of
the class, so the cell stays busy. How a class is placed is chosen by ``singledispatch`` over its
kind.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from ..core.data import Batch, Gang, Kind, Service, Task, Urgent, Vm, Waitable
from ..core.resource import Resources, fits
from .cell import CLASSES, Cell, Hold, Lane, refresh_lane_keys, take
from .choice import choose_expected
from .fit import find_largest, find_spread_vm, find_vm
from .gang import place_gang
from .health import find_probe_vm
from .sizing import compute_allotment, estimate_run_time

# How many jobs of a lane are looked at before the team is passed over.
LOOKAHEAD = 32
# A job at the head of its lane is not overtaken any more after this time.
OVERTAKE_S = 3.0
# A VM is kept for a team's next large task for at most this time, on at most one VM in so many.
HOLD_S = 4.0
VMS_PER_HOLD = 6
HOLD_CANDIDATES = 8


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the VM on which room was taken for it."""

    task: Task
    vm: Vm


@dataclass(slots=True)
class Tick:
    """What the systems share during one tick."""

    now_s: float
    largest: Resources
    choose_endpoint: Callable
    used: list[int]
    placed: list[Placement] = field(default_factory=list)
    failed_needs: dict[type[Kind], list[Resources]] = field(default_factory=dict)
    limit: int = 1_000_000
    roomiest: tuple[int, int] | None = None


def place_waiting(
    cell: Cell, now_s: float, choose_endpoint=choose_expected, limit: int = 1_000_000
) -> list[Placement]:
    """Runs one tick and returns what was placed, in order.

    For example a cell with one free core and two waiting tasks of a core each gets one placement,
    for the team that is further below its share.
    """
    if not cell.waiting:
        return []
    _release_old_holds(cell, now_s)
    refresh_lane_keys(cell, now_s)
    used = [0, 0]
    for row in cell.teams.values():
        used[0] += row.used.millicores
        used[1] += row.used.memory_mb
    tick = Tick(now_s, find_largest(cell), choose_endpoint, used, limit=limit)
    for kind in CLASSES:
        if cell.ready[kind]:
            _place_class(cell, kind, tick)
    return tick.placed


def _place_class(cell: Cell, kind: type[Kind], tick: Tick):
    """Serves the teams of a class, always the one that uses least of its share next."""
    order = list(cell.ready[kind])
    while order and len(tick.placed) < tick.limit:
        _, name = heapq.heappop(order)
        row = cell.teams[name]
        lane = row.lanes[kind]
        before = len(tick.placed)
        if row.running < row.grant:
            _place_from_lane(cell, lane, tick)
        if len(tick.placed) > before and lane.size:
            heapq.heappush(order, (lane.key, name))


def _place_from_lane(cell: Cell, lane: Lane, tick: Tick):
    if _may_have_room(cell, lane, tick):
        for task in _list_tries(cell, lane, tick):
            if place(task.kind, cell, task, tick):
                release_hold(cell, lane.team.team.name)
                return
    if lane.team.team.name not in cell.holds:
        _hold_for_next(cell, lane, tick)


def _may_have_room(cell: Cell, lane: Lane, tick: Tick) -> bool:
    """Returns whether the smallest need of a lane could fit by what the emptiest VMs offer.

    Gangs and urgent work, which may use reserved VMs, and a team with a VM held for it are always
    tried.
    """
    first = next(iter(lane.groups.values()))[0]
    if isinstance(first.kind, Gang | Urgent) or lane.team.team.name in cell.holds:
        return True
    if lane.least is None or lane.least_version != cell.sizes.version:
        needs = [
            compute_allotment(cell.sizes, lane.groups[group][0], tick.largest)
            for group in itertools.islice(lane.groups, LOOKAHEAD)
        ]
        lane.least = (min(n.millicores for n in needs), min(n.memory_mb for n in needs))
        lane.least_version = cell.sizes.version
    if tick.roomiest is None:
        tick.roomiest = _find_roomiest(cell)
    cores, memory = tick.roomiest
    return lane.least[0] <= cores and lane.least[1] <= memory


def _find_roomiest(cell: Cell) -> tuple[int, int]:
    """Returns the most free cores and the most free memory of any VM that is not reserved."""
    most = []
    for index in (cell.by_cores, cell.by_memory):
        names = (item for item in reversed(index) if not cell.vms[item[1]].reserved_for)
        most.append(next(names, (0, ""))[0])
    return most[0], most[1]


def _list_tries(cell: Cell, lane: Lane, tick: Tick) -> list[Task]:
    """Returns the first tasks of the oldest jobs, those that even out what is free first.

    A cell runs out of one resource while another is left over; of the jobs that a team has waiting
    anyway, the one that uses what is left is the better start. The oldest job is not overtaken for
    longer than a bound.
    """
    tries = [lane.groups[group][0] for group in itertools.islice(lane.groups, LOOKAHEAD)]
    oldest = tries[0]
    if len(tries) == 1 or oldest.need.slots or tick.now_s - oldest.submitted_s > OVERTAKE_S:
        return tries
    cores, memory = cell.capacity.millicores or 1, cell.capacity.memory_mb or 1
    lean = tick.used[0] / cores - tick.used[1] / memory

    def measure_unevenness(task: Task) -> float:
        return abs(lean + task.need.millicores / cores - task.need.memory_mb / memory)

    return sorted(tries, key=measure_unevenness)


def _hold_for_next(cell: Cell, lane: Lane, tick: Tick):
    """Keeps a VM for the team furthest below its share whose next task fits nowhere.

    Without it, small tasks of others would take every piece of room before it grows large enough.
    """
    task = next(iter(lane.groups.values()))[0]
    name = lane.team.team.name
    if not isinstance(task.kind, Batch) or name in cell.holds or not task.job:
        return
    if len(cell.holds) >= max(1, len(cell.vms) // VMS_PER_HOLD):
        return
    need = compute_allotment(cell.sizes, task, tick.largest)
    for _, vm_name in itertools.islice(reversed(cell.by_cores), HOLD_CANDIDATES):
        vm = cell.vms[vm_name]
        if not vm.reserved_for and fits(need, vm.capacity) and vm.name not in task.job.failed_vms:
            until_s = tick.now_s + HOLD_S
            vm.reserved_for, vm.reserved_until_s = task.job.name, until_s
            cell.holds[name] = Hold(task.job.name, vm, until_s)
            return


def release_hold(cell: Cell, team: str):
    """Gives up the VM that was kept for a team."""
    hold = cell.holds.pop(team, None)
    if hold is not None and hold.vm.reserved_for == hold.job:
        hold.vm.reserved_for, hold.vm.reserved_until_s = "", 0.0


def _release_old_holds(cell: Cell, now_s: float):
    for team, hold in list(cell.holds.items()):
        if now_s >= hold.until_s or hold.vm.reserved_for != hold.job:
            release_hold(cell, team)


@singledispatch
def place(kind: Kind, cell: Cell, task: Task, tick: Tick) -> bool:
    """Places a task by the policy of its kind; returns whether anything was placed."""
    raise TypeError(f"no policy for {kind!r}")


@place.register
def _place_urgent(kind: Urgent, cell: Cell, task: Task, tick: Tick) -> bool:
    return _place_request(cell, task, tick)


@place.register
def _place_waitable(kind: Waitable, cell: Cell, task: Task, tick: Tick) -> bool:
    return _place_request(cell, task, tick)


def _place_request(cell: Cell, task: Task, tick: Tick) -> bool:
    if task.need.slots == 0:
        return _place_fitting(cell, task, tick)
    vm = tick.choose_endpoint(cell.endpoints)
    if vm is None:
        return False
    _book(cell, task, vm, task.need, tick)
    return True


@place.register
def _place_service(kind: Service, cell: Cell, task: Task, tick: Tick) -> bool:
    need = compute_allotment(cell.sizes, task, tick.largest)
    if _is_known_to_fail(tick, Service, need):
        return False
    vm = find_spread_vm(cell, task, need)
    if vm is None:
        tick.failed_needs.setdefault(Service, []).append(need)
        return False
    _book(cell, task, vm, need, tick)
    return True


@place.register
def _place_batch(kind: Batch, cell: Cell, task: Task, tick: Tick) -> bool:
    return _place_probe(cell, task, tick) or _place_fitting(cell, task, tick)


def _place_probe(cell: Cell, task: Task, tick: Tick) -> bool:
    """Sends a task that may be repeated to a VM whose quarantine is to be tried."""
    if not cell.quarantined or task.job is None:
        return False
    vm = find_probe_vm(cell, task.job, tick.now_s)
    need = compute_allotment(cell.sizes, task, tick.largest)
    if vm is None or not fits(need, vm.free):
        return False
    vm.probing = task.name
    _book(cell, task, vm, need, tick)
    return True


def _place_fitting(cell: Cell, task: Task, tick: Tick) -> bool:
    need = compute_allotment(cell.sizes, task, tick.largest)
    if _is_known_to_fail(tick, type(task.kind), need):
        return False
    end_s = tick.now_s + estimate_run_time(cell.sizes, task)
    vm = find_vm(cell, task, need, end_s)
    if vm is None:
        if not (task.job and task.job.failed_vms):
            tick.failed_needs.setdefault(type(task.kind), []).append(need)
        return False
    _book(cell, task, vm, need, tick)
    return True


@place.register
def _place_gang(kind: Gang, cell: Cell, task: Task, tick: Tick) -> bool:
    chosen = place_gang(cell, task.job, tick.largest, tick.now_s)
    for member, vm, need in chosen:
        _book(cell, member, vm, need, tick)
    return bool(chosen)


def _is_known_to_fail(tick: Tick, kind: type[Kind], need: Resources) -> bool:
    return any(
        need.millicores >= other.millicores
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
        for other in tick.failed_needs.get(kind, ())
    )


def _book(cell: Cell, task: Task, vm: Vm, need: Resources, tick: Tick):
    take(cell, task, vm, need, tick.now_s)
    release_hold(cell, task.name)
    tick.roomiest = None
    tick.used[0] += need.millicores
    tick.used[1] += need.memory_mb
    tick.placed.append(Placement(task, vm))
