"""The scheduling tick: places waiting tasks, class by class, teams in fair-share order.

Within a class the team that uses the least of its share goes first, and its fair-share key is
updated with each placement. A team whose work does not fit, or that is at its limit, is skipped for
the rest of the class, so that others can use the cell. The placement policy of a class is selected
by ``singledispatch`` on its kind.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from ..core.data import Batch, Gang, Kind, Service, Task, Urgent, Vm, Waitable
from ..core.resource import Resources, fits
from .balancing import choose_shortest_wait
from .cell import CLASSES, Backlog, Cell, Reservation, allocate_task, refresh_share_keys
from .fit import find_largest, find_spread_vm, find_vm
from .gang import place_gang
from .health import find_probe_vm
from .sizing import compute_allotment, estimate_run_time

# How many jobs of a backlog are considered before the team is skipped.
LOOKAHEAD_JOBS = 32
# The oldest job of a backlog is not overtaken any more when it was submitted longer ago than this.
MAX_OVERTAKE_S = 3.0
# How long a VM is reserved at most for a team's next large task.
RESERVATION_S = 4.0
# At most one VM in so many is reserved in this way.
VMS_PER_RESERVATION = 6
# How many VMs, those with the most free cores, are considered for a reservation.
MAX_CANDIDATE_VMS = 8


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the VM on which resources were allocated to it."""

    task: Task
    vm: Vm


@dataclass(slots=True)
class Tick:
    """The state that the placement policies share during one scheduling tick.

    ``largest`` is the largest capacity of any VM, and ``most_free`` the most free cores and memory
    of any VM that is not reserved. ``used`` is the sum of the allotted cores and memory.
    ``failed_needs`` lists, by class, the needs that fitted nowhere in this tick. ``limit`` bounds
    the number of placements.
    """

    now_s: float
    largest: Resources
    choose_endpoint: Callable
    used: list[int]
    placed: list[Placement] = field(default_factory=list)
    failed_needs: dict[type[Kind], list[Resources]] = field(default_factory=dict)
    limit: int = 1_000_000
    most_free: tuple[int, int] | None = None


def place_waiting(
    cell: Cell, now_s: float, choose_endpoint=choose_shortest_wait, limit: int = 1_000_000
) -> list[Placement]:
    """Runs one scheduling tick and returns the placements, in order.

    For example a cell with one free core and two waiting tasks of a core each gets one placement,
    for the team that is further below its share. ``limit`` bounds the number of placements.
    """
    if not cell.waiting:
        return []
    _release_expired_reservations(cell, now_s)
    refresh_share_keys(cell, now_s)
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
    """Places tasks of a class; the next team is always the one that uses least of its share."""
    order = list(cell.ready[kind])
    while order and len(tick.placed) < tick.limit:
        _, name = heapq.heappop(order)
        row = cell.teams[name]
        backlog = row.backlogs[kind]
        before = len(tick.placed)
        if row.running < row.grant:
            _place_from_backlog(cell, backlog, tick)
        if len(tick.placed) > before and backlog.size:
            heapq.heappush(order, (backlog.key, name))


def _place_from_backlog(cell: Cell, backlog: Backlog, tick: Tick):
    if _might_fit(cell, backlog, tick):
        for task in _list_candidate_tasks(cell, backlog, tick):
            if place(task.kind, cell, task, tick):
                release_vm_reservation(cell, backlog.team.team.name)
                return
    if backlog.team.team.name not in cell.reservations:
        _reserve_for_next_task(cell, backlog, tick)


def _might_fit(cell: Cell, backlog: Backlog, tick: Tick) -> bool:
    """Returns whether the smallest need of a backlog might fit on the VMs with most free resources.

    This check ignores reserved VMs. So gangs and urgent work, which may use reserved VMs, and a
    team that has a reservation are always tried.
    """
    first = next(iter(backlog.groups.values()))[0]
    if isinstance(first.kind, Gang | Urgent) or backlog.team.team.name in cell.reservations:
        return True
    if backlog.smallest_need is None or backlog.smallest_need_version != cell.sizes.version:
        needs = [
            compute_allotment(cell.sizes, backlog.groups[group][0], tick.largest)
            for group in itertools.islice(backlog.groups, LOOKAHEAD_JOBS)
        ]
        backlog.smallest_need = (min(n.millicores for n in needs), min(n.memory_mb for n in needs))
        backlog.smallest_need_version = cell.sizes.version
    if tick.most_free is None:
        tick.most_free = _find_most_free(cell)
    cores, memory = tick.most_free
    return backlog.smallest_need[0] <= cores and backlog.smallest_need[1] <= memory


def _find_most_free(cell: Cell) -> tuple[int, int]:
    """Returns the most free cores and the most free memory of any VM that is not reserved."""
    most = []
    for index in (cell.by_cores, cell.by_memory):
        names = (item for item in reversed(index) if not cell.vms[item[1]].reserved_for)
        most.append(next(names, (0, ""))[0])
    return most[0], most[1]


def _list_candidate_tasks(cell: Cell, backlog: Backlog, tick: Tick) -> list[Task]:
    """Returns the first task of each of the oldest jobs, ordered by the balance of resources.

    A cell may run out of one resource while another is left over. Of the jobs that a team has
    waiting, the one that best balances the use of cores and memory comes first. The oldest job is
    not overtaken by others for longer than a bound.
    """
    candidates = [
        backlog.groups[group][0] for group in itertools.islice(backlog.groups, LOOKAHEAD_JOBS)
    ]
    oldest = candidates[0]
    if (
        len(candidates) == 1
        or oldest.need.slots
        or tick.now_s - oldest.submitted_s > MAX_OVERTAKE_S
    ):
        return candidates
    cores, memory = cell.capacity.millicores or 1, cell.capacity.memory_mb or 1
    imbalance = tick.used[0] / cores - tick.used[1] / memory

    def compute_imbalance(task: Task) -> float:
        return abs(imbalance + task.need.millicores / cores - task.need.memory_mb / memory)

    return sorted(candidates, key=compute_imbalance)


def _reserve_for_next_task(cell: Cell, backlog: Backlog, tick: Tick):
    """Reserves a VM for a team whose next batch task fits nowhere.

    Teams are tried in fair-share order, so the team furthest below its share gets the reservation
    first. Without it, small tasks of others would fill the free resources of a VM before they add
    up to enough, and the large task would starve.
    """
    task = next(iter(backlog.groups.values()))[0]
    name = backlog.team.team.name
    if not isinstance(task.kind, Batch) or name in cell.reservations or not task.job:
        return
    if len(cell.reservations) >= max(1, len(cell.vms) // VMS_PER_RESERVATION):
        return
    need = compute_allotment(cell.sizes, task, tick.largest)
    for _, vm_name in itertools.islice(reversed(cell.by_cores), MAX_CANDIDATE_VMS):
        vm = cell.vms[vm_name]
        if not vm.reserved_for and fits(need, vm.capacity) and vm.name not in task.job.failed_vms:
            until_s = tick.now_s + RESERVATION_S
            vm.reserved_for, vm.reserved_until_s = task.job.name, until_s
            cell.reservations[name] = Reservation(task.job.name, vm, until_s)
            return


def release_vm_reservation(cell: Cell, owner: str):
    """Cancels a reservation, given the team or the urgent task that it was made for."""
    reservation = cell.reservations.pop(owner, None)
    if reservation is not None and reservation.vm.reserved_for == reservation.job:
        reservation.vm.reserved_for, reservation.vm.reserved_until_s = "", 0.0


def _release_expired_reservations(cell: Cell, now_s: float):
    for owner, reservation in list(cell.reservations.items()):
        if now_s >= reservation.until_s or reservation.vm.reserved_for != reservation.job:
            release_vm_reservation(cell, owner)


@singledispatch
def place(kind: Kind, cell: Cell, task: Task, tick: Tick) -> bool:
    """Places a task by the placement policy of its kind; returns whether anything was placed."""
    raise TypeError(f"no placement policy for {kind!r}")


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
    _allocate(cell, task, vm, task.need, tick)
    return True


@place.register
def _place_service(kind: Service, cell: Cell, task: Task, tick: Tick) -> bool:
    need = compute_allotment(cell.sizes, task, tick.largest)
    if _is_known_not_to_fit(tick, Service, need):
        return False
    vm = find_spread_vm(cell, task, need)
    if vm is None:
        tick.failed_needs.setdefault(Service, []).append(need)
        return False
    _allocate(cell, task, vm, need, tick)
    return True


@place.register
def _place_batch(kind: Batch, cell: Cell, task: Task, tick: Tick) -> bool:
    return _place_probe(cell, task, tick) or _place_fitting(cell, task, tick)


def _place_probe(cell: Cell, task: Task, tick: Tick) -> bool:
    """Places a repeatable task as a probe on a VM whose quarantine pause is over."""
    if not cell.quarantined or task.job is None:
        return False
    vm = find_probe_vm(cell, task.job, tick.now_s)
    need = compute_allotment(cell.sizes, task, tick.largest)
    if vm is None or not fits(need, vm.free):
        return False
    vm.probe_task = task.name
    _allocate(cell, task, vm, need, tick)
    return True


def _place_fitting(cell: Cell, task: Task, tick: Tick) -> bool:
    need = compute_allotment(cell.sizes, task, tick.largest)
    if _is_known_not_to_fit(tick, type(task.kind), need):
        return False
    end_s = tick.now_s + estimate_run_time(cell.sizes, task)
    vm = find_vm(cell, task, need, end_s)
    if vm is None:
        if not (task.job and task.job.failed_vms):
            tick.failed_needs.setdefault(type(task.kind), []).append(need)
        return False
    _allocate(cell, task, vm, need, tick)
    return True


@place.register
def _place_gang(kind: Gang, cell: Cell, task: Task, tick: Tick) -> bool:
    chosen = place_gang(cell, task.job, tick.largest, tick.now_s)
    for member, vm, need in chosen:
        _allocate(cell, member, vm, need, tick)
    return bool(chosen)


def _is_known_not_to_fit(tick: Tick, kind: type[Kind], need: Resources) -> bool:
    return any(
        need.millicores >= other.millicores
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
        for other in tick.failed_needs.get(kind, ())
    )


def _allocate(cell: Cell, task: Task, vm: Vm, need: Resources, tick: Tick):
    allocate_task(cell, task, vm, need, tick.now_s)
    release_vm_reservation(cell, task.name)
    tick.most_free = None
    tick.used[0] += need.millicores
    tick.used[1] += need.memory_mb
    tick.placed.append(Placement(task, vm))
