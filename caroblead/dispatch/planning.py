"""Plans one tick: which waiting tasks start on which VMs.

The functions here decide over the tables without input or output. Steps are served in the order of
:mod:`caroblead.dispatch.rank`; a step that does not fit is skipped, but urgent work may evict other
runs, and VMs may be reserved for a gang. A gang is placed whole or not at all.
"""

from collections import Counter
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from .eviction import choose_evictions, choose_vms_to_reserve, count_fit
from .fleet import Fleet, Run, VmRow, is_usable
from .interface import Configuration, TeamLimits, find_service
from .isolation import (
    IsolationState,
    fill_slots,
    hold_back,
    keep_gang_slots,
    list_startable,
    note_placement,
    place_isolated,
)
from .pacing import score_neighbours
from .rank import Tier, rank_step
from .reservation import ReservationTable
from .work import StepWork, get_booked_need

# A ticket is not used this close to its expiry, since the order takes time to reach the VM.
TICKET_MARGIN_S = 0.3
# Penalties are added to the score of a VM, and the lowest score is the best fit. This one is for a
# VM that isn't on the rack of the step's data.
OFF_RACK_PENALTY = 2.0
# For a VM that is marked as slow.
SLOW_PENALTY = 10.0
# For a VM that is reserved for another step: more urgent work uses it only if no other has room.
RESERVED_PENALTY = 20.0
# The interval at which a step without room searches for runs to evict or VMs to reserve, and how
# many steps may search in one tick.
SEARCH_GAP_S = 0.25
MAX_SEARCHES_PER_TICK = 8
# The upper bound of the free resources of a pool is recomputed after so many steps without room.
MISSES_PER_UPDATE = 10
# The most runs that are stopped for more urgent work in one tick.
MAX_EVICTIONS_PER_TICK = 24


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the VM on which it should run."""

    step: StepWork
    index: int
    vm: VmRow
    ticket: str


@dataclass(slots=True)
class Plan:
    """The tasks to start, the runs to evict, and the steps for which to request advice."""

    placements: list[Placement] = field(default_factory=list)
    evictions: list[Run] = field(default_factory=list)
    advice_needed: list[StepWork] = field(default_factory=list)


@dataclass(slots=True)
class Pool:
    """The usable VMs of a service, or those of them with a label.

    No VM of the pool has more free resources than ``max_free``, an upper bound that is only
    recomputed after a number of ``misses``.
    """

    rows: dict[str, VmRow]
    max_free: Resources
    misses: int = 0


@dataclass(slots=True)
class PlanningState:
    """The working state of a tick: the tables, the time, and what is left once the plan is done.

    ``free`` and ``used`` already include the placements of the plan.
    """

    fleet: Fleet
    now_s: float
    free: dict[str, Resources]
    used: dict[str, Resources]
    rows: list[VmRow]
    reservations: ReservationTable
    isolation: IsolationState
    plan: Plan = field(default_factory=Plan)
    slow: frozenset[str] | set[str] = frozenset()
    evictions_left: int = MAX_EVICTIONS_PER_TICK
    searches_left: int = MAX_SEARCHES_PER_TICK
    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)


def plan_starts(
    steps: list[StepWork],
    fleet: Fleet,
    configuration: Configuration,
    now_s: float,
    wall_s: float,
    slow: frozenset[str] | set[str] = frozenset(),
) -> Plan:
    """Returns the plan for now under the configuration in force.

    The VMs named in ``slow`` are only used when no other has room.

    For example, if one VM has a core free, a step of two tasks that need a core each gets one
    placement, or none if it is a gang.
    """
    rows = [
        row
        for row in fleet.rows.values()
        if is_usable(row, now_s) and row.listed.zone not in fleet.evacuated_zones
    ]
    free = {row.name: row.free for row in rows}
    reservations = ReservationTable(fleet.reservations, now_s)
    isolation = IsolationState(fleet, free, reservations, now_s)
    used = dict(fleet.used)
    state = PlanningState(fleet, now_s, free, used, rows, reservations, isolation, slow=slow)
    ranked = sorted(((rank_step(step, wall_s), step) for step in steps), key=lambda item: item[0])
    for rank, step in ranked:
        reservations.block_until(rank)
        job = step.work.job
        service = find_service(configuration, job.queue)
        pool = _find_pool(state, service, step.spec.label)
        _plan_step(state, step, rank, pool, configuration.teams.get(job.team))
    return state.plan


def _find_pool(state: PlanningState, service: str, label: str) -> Pool:
    pool = state.pools.get((service, label))
    if pool is None:
        rows = {
            row.name: row
            for row in state.rows
            if row.listed.service == service and (not label or label in row.listed.labels)
        }
        pool = state.pools[service, label] = Pool(rows, NOTHING)
        _update_max_free(state, pool)
    return pool


def _update_max_free(state: PlanningState, pool: Pool):
    frees = [state.free[name] for name in pool.rows]
    pool.max_free = Resources(
        max((free.millicores for free in frees), default=0),
        max((free.memory_mb for free in frees), default=0),
        max((free.accelerators for free in frees), default=0),
    )
    pool.misses = 0


def _may_fit(state: PlanningState, pool: Pool, need: Resources) -> bool:
    """Returns false only if certainly no VM of the pool has room for a task."""
    if pool.misses >= MISSES_PER_UPDATE:
        _update_max_free(state, pool)
    return fits(need, pool.max_free)


def _list_candidates(state: PlanningState, pool: Pool, step: StepWork) -> list[VmRow]:
    """Returns the VMs that a step may use, whether they have room or not."""
    blocked = state.reservations.list_blocked_for(step.key)
    if step.work.job.queue.advice is None:
        return [row for name, row in pool.rows.items() if name not in blocked]
    # Sorted because sets are unordered and the same tables must give the same plan.
    allowed = sorted(step.advice.allowed & pool.rows.keys())
    return [pool.rows[name] for name in allowed if name not in blocked]


def _plan_step(state: PlanningState, step: StepWork, rank: tuple, pool: Pool, team):
    terms = step.work.job.queue.advice
    need = get_booked_need(step.spec)
    may_fit = _may_fit(state, pool, need)
    if not may_fit and not _may_make_room(state, step):
        return
    candidates = _list_candidates(state, pool, step)
    chosen = _place_step(step, candidates, state, team) if may_fit else []
    if not chosen:
        pool.misses += 1
    if terms is not None and not _has_tickets(step, chosen, terms, state.now_s):
        if not step.advice.pending and state.now_s >= step.advice.retry_s:
            if chosen or (may_fit and _may_fit_elsewhere(state, pool, step, need)):
                state.plan.advice_needed.append(step)
        if chosen and step.spec.gang:
            state.reservations.reserve(step.key, rank, [row for _, row in chosen])
            _book_room(state, step, chosen)
        if chosen:
            return
    else:
        _add_placements(state, step, chosen)
    missing = len(step.waiting) - len(chosen)
    if step.step_progress.crashes:
        missing -= hold_back(state.isolation, step, rank, chosen, candidates)
    if missing and candidates:
        open_rows = _list_open_for(step, candidates, chosen)
        _make_room(state, step, rank, open_rows, team, missing)


def _may_fit_elsewhere(state: PlanningState, pool: Pool, step: StepWork, need: Resources) -> bool:
    """Returns whether a VM about which the advice service hasn't been asked has room."""
    unasked = pool.rows.keys() - step.advice.asked
    return any(fits(need, state.free[name]) for name in unasked)


def _may_make_room(state: PlanningState, step: StepWork) -> bool:
    """Returns whether a step may search now for room that could be made for it.

    The search is limited because it takes long and seldom finds more than the one shortly before.
    A step that holds reservations may always go on, so that it can extend or use them.
    """
    may_search = state.searches_left > 0 and state.now_s >= step.next_search_s
    return may_search or state.reservations.count(step.key) > 0


def _has_tickets(step: StepWork, chosen, terms, now_s: float) -> bool:
    if not chosen or now_s - step.advice.received_s >= terms.valid_s - TICKET_MARGIN_S:
        return False
    return all(row.name in step.advice.tickets for _, row in chosen)


def _make_room(state: PlanningState, step: StepWork, rank: tuple, candidates, team, missing: int):
    """Evicts less urgent runs for a step, or reserves VMs for a gang until enough runs end."""
    used = state.used.get(step.work.job.team, NOTHING)
    allowance = count_allowance(team, used, step.spec.need)
    if allowance <= 0 or (step.spec.gang and allowance < missing):
        return
    if state.reservations.count(step.key):
        if not step.spec.gang or _extend_reservations(state, step, candidates, missing):
            return
        state.reservations.release(step.key)
    if state.now_s < step.next_search_s or state.searches_left <= 0:
        return
    state.searches_left -= 1
    step.next_search_s = state.now_s + SEARCH_GAP_S
    chosen = None
    if rank[0] <= Tier.IN_TIME and state.evictions_left > 0:
        chosen = choose_evictions(
            step, candidates, state.free, min(missing, allowance), state.now_s
        )
    if chosen and len(chosen.runs) <= state.evictions_left:
        state.evictions_left -= len(chosen.runs)
        state.plan.evictions += chosen.runs
        state.reservations.reserve(step.key, rank, chosen.rows)
    elif step.spec.gang:
        rows = choose_vms_to_reserve(step, candidates, state.free, missing)
        state.reservations.reserve(step.key, rank, rows)


def _extend_reservations(state: PlanningState, step: StepWork, candidates, missing: int) -> bool:
    """Extends the reservations of a gang; returns false if their VMs don't suffice for it now."""
    kept = [row for row in candidates if state.reservations.is_reserved_for(row.name, step.key)]
    if not choose_vms_to_reserve(step, kept, state.free, missing):
        return False
    state.reservations.extend(step.key)
    return True


def _add_placements(state: PlanningState, step: StepWork, chosen: list[tuple[int, VmRow]]):
    _book_room(state, step, chosen)
    for index, row in chosen:
        if step.step_progress.crashes:
            note_placement(state.isolation, step, index, row)
        ticket = step.advice.tickets.get(row.name, "")
        state.plan.placements.append(Placement(step, index, row, ticket))
    if chosen and len(chosen) == len(step.waiting):
        state.reservations.release(step.key)


def _book_room(state: PlanningState, step: StepWork, chosen: list[tuple[int, VmRow]]):
    need = get_booked_need(step.spec)
    team = step.work.job.team
    for _, row in chosen:
        state.free[row.name] = subtract(state.free[row.name], need)
        state.used[team] = add(state.used.get(team, NOTHING), step.spec.need)


def _place_step(step: StepWork, candidates, state: PlanningState, team) -> list[tuple[int, VmRow]]:
    need = get_booked_need(step.spec)
    has_crashed = bool(step.step_progress.crashes)
    indexes = list_startable(step) if has_crashed else sorted(step.waiting)
    used = state.used.get(step.work.job.team, NOTHING)
    allowance = count_allowance(team, used, step.spec.need)
    if step.spec.gang:
        if len(indexes) < step.spec.count or allowance < len(indexes):
            return []
    indexes = indexes[: min(len(indexes), allowance)]
    if not indexes:
        return []
    slots = _count_slots(step, candidates, state, need)
    if has_crashed and not step.spec.gang:
        return place_isolated(state.isolation, step, indexes, slots)
    if has_crashed:
        slots = keep_gang_slots(state.isolation, step, slots)
    if step.spec.gang and step.spec.same_rack:
        slots = _choose_rack(slots, len(indexes)) or slots
    if step.spec.gang and sum(count for count, _, _ in slots) < len(indexes):
        return []
    return fill_slots(indexes, slots)


def count_allowance(team: TeamLimits | None, used: Resources, need: Resources) -> int:
    """Returns how many more tasks of this need a team may run within its quota."""
    if team is None:
        return 1_000_000
    counts = [
        (limit - have) // want
        for limit, have, want in (
            (team.cap.millicores, used.millicores, need.millicores),
            (team.cap.memory_mb, used.memory_mb, need.memory_mb),
            (team.cap.accelerators, used.accelerators, need.accelerators),
        )
        if limit and want
    ]
    return max(0, min(counts, default=1_000_000))


def _count_slots(step: StepWork, candidates, state: PlanningState, need: Resources):
    """Returns how many of a step's tasks fit on each VM, with its score, best fit first."""
    running_per_vm = _count_tasks_per_vm(step, ()) if step.spec.max_per_vm else {}
    slots = []
    for row in candidates:
        free = state.free[row.name]
        if not fits(need, free):
            continue
        count = count_fit(need, free)
        if step.spec.max_per_vm:
            count = min(count, step.spec.max_per_vm - running_per_vm.get(row.name, 0))
        if count <= 0:
            continue
        score = _score(step, row, free, need)
        if row.name in state.slow:
            score += SLOW_PENALTY
        if step.spec.fills:
            score += score_neighbours(row)
        reservation = state.fleet.reservations.get(row.name)
        if reservation is not None and reservation.step != step.key:
            score += RESERVED_PENALTY
        slots.append((count, score, row))
    slots.sort(key=lambda slot: (slot[1], slot[2].name))
    return slots


def _count_tasks_per_vm(step: StepWork, chosen) -> Counter[str]:
    """Returns how many tasks of a step run on each VM or have been chosen to."""
    counts = Counter(run.vm.name for runs in step.active.values() for run in runs)
    counts.update(row.name for _, row in chosen)
    return counts


def _list_open_for(step: StepWork, candidates, chosen) -> list[VmRow]:
    """Returns the candidates that may take one more task of a step, if they get room."""
    limit = step.spec.max_per_vm
    if not limit:
        return candidates
    counts = _count_tasks_per_vm(step, chosen)
    return [row for row in candidates if counts[row.name] < limit]


def _score(step: StepWork, row: VmRow, free: Resources, need: Resources) -> float:
    capacity = row.listed.capacity
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + abs(cores - memory)
    if step.spec.near_rack and row.listed.rack != step.spec.near_rack:
        score += OFF_RACK_PENALTY
    return score


def _choose_rack(slots, count: int):
    """Returns the slots of a rack on which all tasks fit, or ``None``."""
    racks: dict[str, list] = {}
    for slot in slots:
        racks.setdefault(slot[2].listed.rack, []).append(slot)
    for found in racks.values():
        if sum(slot[0] for slot in found) >= count:
            return found
    return None
