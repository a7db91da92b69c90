"""The tick: places what waits, class by class, team by team in the order of fair share.

Within a class the team that uses the least of its share goes first, and its key moves with each
placement. A team whose work does not fit, or that is at its limit, is passed over for the rest of
the class, so the cell stays busy. How a class is placed is chosen by ``singledispatch`` over its
kind.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from ..core.data import Batch, Gang, Kind, Service, Task, Urgent, Vm, Waitable
from ..core.resource import Resources
from .cell import CLASSES, Cell, Lane, TeamRow, take
from .choice import choose_expected
from .fit import find_largest, find_spread_vm, find_vm
from .gang import place_gang
from .sizing import compute_allotment, estimate_run_time

# How many jobs of a lane are tried before the team is passed over.
LOOKAHEAD = 4


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
    placed: list[Placement] = field(default_factory=list)
    failed_needs: dict[type[Kind], list[Resources]] = field(default_factory=dict)
    limit: int = 1_000_000


def place_waiting(
    cell: Cell, now_s: float, choose_endpoint=choose_expected, limit: int = 1_000_000
) -> list[Placement]:
    """Runs one tick and returns what was placed, in order.

    For example a cell with one free core and two waiting tasks of a core each gets one placement,
    for the team that is further below its share.
    """
    if not cell.waiting:
        return []
    tick = Tick(now_s, find_largest(cell), choose_endpoint, limit=limit)
    for kind in CLASSES:
        if cell.ready[kind]:
            _place_class(cell, kind, tick)
    return tick.placed


def _place_class(cell: Cell, kind: type[Kind], tick: Tick):
    passed: set[str] = set()
    while len(tick.placed) < tick.limit:
        row = _find_next_team(cell, kind, passed)
        if row is None:
            return
        lane = row.lanes[kind]
        before = len(tick.placed)
        if row.running < row.grant:
            _place_from_lane(cell, lane, tick)
        if len(tick.placed) == before:
            passed.add(row.team.name)


def _find_next_team(cell: Cell, kind: type[Kind], passed: set[str]) -> TeamRow | None:
    for _, name in cell.ready[kind]:
        if name not in passed:
            return cell.teams[name]
    return None


def _place_from_lane(cell: Cell, lane: Lane, tick: Tick):
    for tried, group in enumerate(list(lane.groups)):
        if tried >= LOOKAHEAD:
            return
        task = lane.groups[group][0]
        if place(task.kind, cell, task, tick):
            return


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
    return _place_fitting(cell, task, tick)


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
    tick.placed.append(Placement(task, vm))
