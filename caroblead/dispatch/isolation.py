"""Places the tasks under which VMs have gone down apart from each other or alone.

Only one of the runs on a crashed VM is at fault, and two suspects on one VM prove nothing about
either. A task with some evidence is kept from VMs on which another such task runs, where there is a
choice. One with more evidence runs alone: on an empty VM, to which nothing else is added. If none
is empty, one is reserved until its runs have ended; if that takes too long, the task shares the VM
with the fewest runs, because it may be innocent and must not starve.
"""

from collections import Counter
from dataclasses import dataclass, field

from ..core.resource import Resources, fits
from .crash import judge_isolation
from .eviction import choose_vms_to_reserve
from .fleet import Fleet, Isolation, VmRow
from .reservation import ReservationTable, hold_vms, keep_vms
from .work import StepWork

# How long a task waits for an empty VM before it shares one. An endless task waits less, because
# its users miss it meanwhile.
MAX_WAIT_S = 12.0
MAX_WAIT_ENDLESS_S = 2.5
# How long a task waits for a VM without other suspects.
MAX_WAIT_APART_S = 1.0
# The fractions of the VMs that may run isolated tasks or be reserved for them. At least one may.
MAX_ALONE_FRACTION = 0.5
MAX_RESERVED_FRACTION = 0.125
# Isolated tasks avoid a VM that restarted less than this ago, because it may be at fault itself.
RESTARTED_S = 30.0
# The free resources of a VM to which nothing is added in this tick.
CLOSED = Resources(-1, -1, -1)


@dataclass(slots=True)
class IsolationState:
    """What a tick knows of isolation: the tables, and the isolated tasks that it has placed.

    ``free`` is what each VM has left once the plan is done. ``apart`` counts the tasks of that
    level placed on each VM, and ``alone`` names the VMs that got a task that must be alone.
    """

    fleet: Fleet
    free: dict[str, Resources]
    reservations: ReservationTable
    now_s: float
    apart: Counter[str] = field(default_factory=Counter)
    alone: set[str] = field(default_factory=set)


def note_placement(state: IsolationState, step: StepWork, index: int, row: VmRow):
    """Notes the placement of a task, and closes its VM to other tasks if it must be alone."""
    step.wait_for_vm_s.pop(index, None)
    level = judge_isolation(step, index)
    if level is Isolation.APART:
        state.apart[row.name] += 1
    elif level is Isolation.ALONE:
        state.alone.add(row.name)
        state.free[row.name] = CLOSED


def list_startable(step: StepWork) -> list[int]:
    """Returns the waiting tasks of a step that may be started, in order."""
    return [
        index for index in sorted(step.waiting) if judge_isolation(step, index) < Isolation.HELD
    ]


def fill_slots(indexes: list[int], slots) -> list[tuple[int, VmRow]]:
    """Places tasks on the VMs in the order of the slots, as many on each as its slot allows."""
    chosen, position = [], 0
    for count, _, row in slots:
        for _ in range(count):
            if position == len(indexes):
                return chosen
            chosen.append((indexes[position], row))
            position += 1
    return chosen


def place_isolated(
    state: IsolationState, step: StepWork, indexes: list[int], slots
) -> list[tuple[int, VmRow]]:
    """Places the tasks of a step, some of which are isolated; no gang.

    Each isolated task gets a VM on which the step places no other task in this tick.
    """
    levels = {index: judge_isolation(step, index) for index in indexes}
    alone = [index for index in indexes if levels[index] is Isolation.ALONE]
    apart = [index for index in indexes if levels[index] is Isolation.APART]
    others = [index for index in indexes if levels[index] is Isolation.NONE]
    chosen = []
    left = list(slots)
    for index in alone:
        _place_one(chosen, left, index, _choose_empty(state, step, index, left))
    if alone:
        left = [slot for slot in left if not _is_reserved_for(state, step, slot[2])]
    for index in apart:
        _place_one(chosen, left, index, _choose_apart(state, step, index, left))
    return chosen + fill_slots(others, left)


def _place_one(chosen: list, left: list, index: int, slot):
    if slot is not None:
        chosen.append((index, slot[2]))
        left.remove(slot)


def _choose_empty(state: IsolationState, step: StepWork, index: int, slots):
    """Returns the slot for a task that must be alone, or ``None`` if it has to wait."""
    empty = [slot for slot in slots if _is_empty(state, slot[2])]
    if empty and _may_isolate_more(state):
        return min(empty, key=lambda slot: _has_restarted(state, slot[2]))
    if not _has_waited(state, step, index, _get_max_wait(step)):
        return None
    return min(slots, key=lambda slot: (len(slot[2].runs), slot[1], slot[2].name), default=None)


def _choose_apart(state: IsolationState, step: StepWork, index: int, slots):
    """Returns the slot for a task to be kept from other suspects, or ``None`` if it has to wait."""

    def rate_slot(slot) -> tuple[int, bool]:
        row = slot[2]
        return row.apart_runs + state.apart[row.name], _has_restarted(state, row)

    best = min(slots, key=rate_slot, default=None)
    if best is None or rate_slot(best)[0] == 0:
        return best
    return best if _has_waited(state, step, index, MAX_WAIT_APART_S) else None


def _has_restarted(state: IsolationState, row: VmRow) -> bool:
    return row.reset_s > 0 and state.now_s - row.reset_s < RESTARTED_S


def keep_gang_slots(state: IsolationState, step: StepWork, slots) -> list:
    """Returns the slots that a gang may use: only those of empty VMs if it must be alone."""
    if judge_isolation(step, 0) is not Isolation.ALONE:
        return slots
    empty = [slot for slot in slots if _is_empty(state, slot[2])]
    if sum(count for count, _, _ in empty) >= step.spec.count:
        return empty
    return slots if _has_waited(state, step, 0, _get_max_wait(step)) else []


def _is_empty(state: IsolationState, row: VmRow) -> bool:
    return not row.runs and state.free[row.name] == row.free


def _may_isolate_more(state: IsolationState) -> bool:
    rows = state.fleet.rows.values()
    count = sum(row.alone_runs > 0 for row in rows) + len(state.alone)
    return count < max(1, int(len(rows) * MAX_ALONE_FRACTION))


def _get_max_wait(step: StepWork) -> float:
    return MAX_WAIT_ENDLESS_S if step.spec.endless else MAX_WAIT_S


def _has_waited(state: IsolationState, step: StepWork, index: int, max_wait_s: float) -> bool:
    return state.now_s - step.wait_for_vm_s.setdefault(index, state.now_s) >= max_wait_s


def _is_reserved_for(state: IsolationState, step: StepWork, row: VmRow) -> bool:
    reservation = state.reservations.by_vm.get(row.name)
    return reservation is not None and reservation.step == step.key


def hold_back(
    state: IsolationState,
    step: StepWork,
    rank: tuple,
    chosen: list[tuple[int, VmRow]],
    candidates: list[VmRow],
) -> int:
    """Returns how many waiting tasks need an empty VM or are held, and reserves VMs for them."""
    placed = {index for index, _ in chosen}
    levels = [judge_isolation(step, index) for index in step.waiting if index not in placed]
    if Isolation.ALONE in levels:
        _reserve_to_empty(state, step, rank, candidates)
    return sum(level >= Isolation.ALONE for level in levels)


def _reserve_to_empty(state: IsolationState, step: StepWork, rank: tuple, candidates: list[VmRow]):
    wait_s = _get_max_wait(step)
    if state.reservations.count(step.key):
        held = [row for row in candidates if _is_reserved_for(state, step, row)]
        if _may_suffice(state, step, held):
            lacking = frozenset(row.name for row in held if row.runs)
            keep_vms(state.reservations, step, lacking, wait_s)
            return
        state.reservations.release(step.key)
    rows = [row for row in candidates if _can_become_empty(state, row)]
    if step.spec.gang:
        rows = choose_vms_to_reserve(step, rows, state.free, step.spec.count)
    else:
        fitting = [row for row in rows if fits(step.spec.need, row.listed.capacity)]
        rows = sorted(fitting, key=lambda row: (len(row.runs), row.name))[:1]
    limit = max(1, int(len(state.fleet.rows) * MAX_RESERVED_FRACTION))
    if step.spec.gang or len(state.reservations.by_vm) < limit:
        hold_vms(state.reservations, step, rank, rows, wait_s)


def _may_suffice(state: IsolationState, step: StepWork, held: list[VmRow]) -> bool:
    """Returns whether the VMs reserved for a step can become empty and then have room for it."""
    rows = [row for row in held if _will_be_empty(row)]
    if step.spec.gang:
        return bool(choose_vms_to_reserve(step, rows, state.free, step.spec.count))
    return any(fits(step.spec.need, row.listed.capacity) for row in rows)


def _can_become_empty(state: IsolationState, row: VmRow) -> bool:
    """Returns whether all runs of a VM will end and no other step waits for it."""
    if row.name in state.reservations.by_vm or row.name in state.alone:
        return False
    return _will_be_empty(row)


def _will_be_empty(row: VmRow) -> bool:
    return all(run.expects_progress for run in row.runs.values())
