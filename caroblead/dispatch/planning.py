"""The tick: which waiting tasks start on which VMs.

Pure decisions over the tables. Steps are served in the order of :mod:`caroblead.dispatch.rank`; a
step that does not fit is passed over, but urgent work may have others stopped and a gang may have
VMs kept for it. A gang is placed whole or not at all.
"""

from collections import Counter
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..jobs.data import StepKey
from .evict import choose_evictions, choose_rows_to_empty, count_fit
from .fleet import Fleet, Reservation, Run, VmRow, is_usable
from .interface import Configuration, TeamLimits, find_service
from .pacing import score_neighbours
from .rank import Tier, rank_step
from .work import StepWork, get_booked_need

# A ticket is not used in the last part of its time, in which the order may still be on its way.
TICKET_MARGIN_S = 0.3
# A VM off the rack of a task's data counts as so much worse a fit.
FAR_PENALTY = 2.0
SLOW_PENALTY = 10.0
# More urgent work uses a VM that is kept for another step only where nothing else has room.
RESERVED_PENALTY = 20.0
# How long a VM is kept for a step that found no room, and by how much that is prolonged.
RESERVE_S = 1.2
KEEP_S = 0.5
# A step without room looks so often for runs to stop or VMs to keep, and so many look in one tick.
SEARCH_GAP_S = 0.25
MAX_SEARCHES_PER_TICK = 8
# After so many steps without room it is seen how much the freest VMs still have.
MISSES_PER_UPDATE = 10
# Runs stopped for more urgent work in one tick.
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
    """What to start, which runs to stop for it, and for which steps to ask for advice."""

    placements: list[Placement] = field(default_factory=list)
    evictions: list[Run] = field(default_factory=list)
    advice_needed: list[StepWork] = field(default_factory=list)


@dataclass(slots=True)
class Pool:
    """The usable VMs of a service, or those of them with a label.

    No VM of it has more free than ``most``, which is only brought down to date now and then.
    """

    rows: dict[str, VmRow]
    most: Resources
    misses: int = 0


@dataclass(slots=True)
class Moment:
    """What a tick works on: the tables, the time, and the room with the plan carried out.

    ``holders`` counts for each step the VMs that are kept for it.
    """

    fleet: Fleet
    now_s: float
    free: dict[str, Resources]
    used: dict[str, Resources]
    rows: list[VmRow]
    plan: Plan = field(default_factory=Plan)
    slow: frozenset[str] | set[str] = frozenset()
    evictions_left: int = MAX_EVICTIONS_PER_TICK
    searches_left: int = MAX_SEARCHES_PER_TICK
    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)
    holders: Counter[StepKey] = field(default_factory=Counter)


def plan_starts(
    steps: list[StepWork],
    fleet: Fleet,
    configuration: Configuration,
    now_s: float,
    wall_s: float,
    slow: frozenset[str] | set[str] = frozenset(),
) -> Plan:
    """Returns what to do now under the configuration in force.

    The VMs named in ``slow`` are used when no other has room.

    For example a step of two tasks of a core each, with one VM that has a core free, gets one
    placement, or none if it is a gang.
    """
    rows = [row for row in fleet.rows.values() if is_usable(row, now_s)]
    free = {row.name: row.free for row in rows}
    moment = Moment(fleet, now_s, free, dict(fleet.used), rows, slow=slow)
    drop_old_reservations(fleet, now_s)
    moment.holders.update(held.step for held in fleet.reservations.values())
    ranked = sorted(((rank_step(step, wall_s), step) for step in steps), key=lambda item: item[0])
    for rank, step in ranked:
        job = step.work.job
        service = find_service(configuration, job.queue)
        pool = _find_pool(moment, service, step.spec.label)
        _plan_step(moment, step, rank, pool, configuration.teams.get(job.team))
    return moment.plan


def _find_pool(moment: Moment, service: str, label: str) -> Pool:
    pool = moment.pools.get((service, label))
    if pool is None:
        rows = {
            row.name: row
            for row in moment.rows
            if row.listed.service == service and (not label or label in row.listed.labels)
        }
        pool = moment.pools[service, label] = Pool(rows, NOTHING)
        _update_most(moment, pool)
    return pool


def _update_most(moment: Moment, pool: Pool):
    frees = [moment.free[name] for name in pool.rows]
    pool.most = Resources(
        max((free.millicores for free in frees), default=0),
        max((free.memory_mb for free in frees), default=0),
        max((free.accelerators for free in frees), default=0),
    )
    pool.misses = 0


def _may_fit(moment: Moment, pool: Pool, need: Resources) -> bool:
    """Returns false when certainly no VM of the pool has room for a task."""
    if pool.misses >= MISSES_PER_UPDATE:
        _update_most(moment, pool)
    return fits(need, pool.most)


def _list_candidates(moment: Moment, pool: Pool, step: StepWork, rank: tuple) -> list[VmRow]:
    """Returns the VMs that a step may use, whether they have room or not."""
    kept = {
        name
        for name, held in moment.fleet.reservations.items()
        # The ranks of two steps differ early, and the names of their jobs late.
        if rank >= held.rank and held.step != step.key
    }
    if step.work.job.queue.advice is None:
        return [row for name, row in pool.rows.items() if name not in kept]
    # Sorted, for sets have no order of their own and the same tables must give the same plan.
    allowed = sorted(step.advice.allowed & pool.rows.keys())
    return [pool.rows[name] for name in allowed if name not in kept]


def _plan_step(moment: Moment, step: StepWork, rank: tuple, pool: Pool, team):
    terms = step.work.job.queue.advice
    need = get_booked_need(step.spec)
    may_fit = _may_fit(moment, pool, need)
    if not may_fit and not _may_make_room(moment, step):
        return
    candidates = _list_candidates(moment, pool, step, rank)
    chosen = _place_step(step, candidates, moment, team) if may_fit else []
    if not chosen:
        pool.misses += 1
    if terms is not None and not _has_tickets(step, chosen, terms, moment.now_s):
        if not step.advice.pending and moment.now_s >= step.advice.retry_s:
            if chosen or (may_fit and _may_fit_elsewhere(moment, pool, step, need)):
                moment.plan.advice_needed.append(step)
        if chosen and step.spec.gang:
            _reserve(moment, step, rank, [row for _, row in chosen])
            _take_room(moment, step, chosen)
        if chosen:
            return
    else:
        _accept(moment, step, chosen)
    missing = len(step.waiting) - len(chosen)
    if missing and candidates:
        _make_room(moment, step, rank, candidates, team, missing)


def _may_fit_elsewhere(moment: Moment, pool: Pool, step: StepWork, need: Resources) -> bool:
    """Returns whether a VM that the advice service hasn't been asked about has room."""
    unasked = pool.rows.keys() - step.advice.asked
    return any(fits(need, moment.free[name]) for name in unasked)


def _may_make_room(moment: Moment, step: StepWork) -> bool:
    """Returns whether it is time to look for room that could be made for a step.

    The search is long and seldom finds more than it did a moment ago.
    """
    may_search = moment.searches_left > 0 and moment.now_s >= step.search_s
    return may_search or moment.holders[step.key] > 0


def _has_tickets(step: StepWork, chosen, terms, now_s: float) -> bool:
    if not chosen or now_s - step.advice.got_s >= terms.valid_s - TICKET_MARGIN_S:
        return False
    return all(row.name in step.advice.tickets for _, row in chosen)


def _reserve(moment: Moment, step: StepWork, rank: tuple, rows: list[VmRow]):
    until_s = moment.now_s + RESERVE_S
    for row in rows:
        before = moment.fleet.reservations.get(row.name)
        if before is not None:
            moment.holders[before.step] -= 1
        moment.holders[step.key] += 1
        moment.fleet.reservations[row.name] = Reservation(step.key, rank, until_s)


def drop_old_reservations(fleet: Fleet, now_s: float):
    """Gives up VMs that were kept for a step that didn't come back for them."""
    for name, held in list(fleet.reservations.items()):
        if held.until_s <= now_s:
            del fleet.reservations[name]


def _make_room(moment: Moment, step: StepWork, rank: tuple, candidates, team, missing: int):
    """Stops less urgent work for a step without room, or keeps VMs for a gang until they empty."""
    used = moment.used.get(step.work.job.team, NOTHING)
    allowance = count_allowance(team, used, step.spec.need)
    if allowance <= 0 or (step.spec.gang and allowance < missing):
        return
    if moment.holders[step.key]:
        _keep_reservations(moment, step)
        return
    if moment.now_s < step.search_s or moment.searches_left <= 0:
        return
    moment.searches_left -= 1
    step.search_s = moment.now_s + SEARCH_GAP_S
    chosen = None
    if rank[0] is Tier.IN_TIME and moment.evictions_left > 0:
        chosen = choose_evictions(
            step, candidates, moment.free, min(missing, allowance), moment.now_s
        )
    if chosen and len(chosen.runs) <= moment.evictions_left:
        moment.evictions_left -= len(chosen.runs)
        moment.plan.evictions += chosen.runs
        _reserve(moment, step, rank, chosen.rows)
    elif step.spec.gang:
        _reserve(moment, step, rank, choose_rows_to_empty(step, candidates, moment.free, missing))


def _keep_reservations(moment: Moment, step: StepWork):
    """Prolongs what is kept for a gang, at the rank that it had: becoming late costs it nothing."""
    if not step.spec.gang:
        return
    for name, held in list(moment.fleet.reservations.items()):
        if held.step == step.key:
            until_s = max(held.until_s, moment.now_s + KEEP_S)
            moment.fleet.reservations[name] = Reservation(step.key, held.rank, until_s)


def _accept(moment: Moment, step: StepWork, chosen: list[tuple[int, VmRow]]):
    _take_room(moment, step, chosen)
    for index, row in chosen:
        ticket = step.advice.tickets.get(row.name, "")
        moment.plan.placements.append(Placement(step, index, row, ticket))
    if chosen and len(chosen) == len(step.waiting) and moment.holders.pop(step.key, 0):
        for name, held in list(moment.fleet.reservations.items()):
            if held.step == step.key:
                del moment.fleet.reservations[name]


def _take_room(moment: Moment, step: StepWork, chosen: list[tuple[int, VmRow]]):
    need = get_booked_need(step.spec)
    team = step.work.job.team
    for _, row in chosen:
        moment.free[row.name] = subtract(moment.free[row.name], need)
        moment.used[team] = add(moment.used.get(team, NOTHING), step.spec.need)


def _place_step(step: StepWork, candidates, moment: Moment, team) -> list[tuple[int, VmRow]]:
    need = get_booked_need(step.spec)
    indexes = sorted(step.waiting)
    used = moment.used.get(step.work.job.team, NOTHING)
    allowance = count_allowance(team, used, step.spec.need)
    if step.spec.gang:
        if len(indexes) < step.spec.count or allowance < len(indexes):
            return []
    indexes = indexes[: min(len(indexes), allowance)]
    if not indexes:
        return []
    slots = _count_slots(step, candidates, moment, need)
    if step.spec.gang and step.spec.same_rack:
        slots = _choose_rack(slots, len(indexes)) or slots
    if step.spec.gang and sum(count for count, _, _ in slots) < len(indexes):
        return []
    return _fill_slots(indexes, slots)


def count_allowance(team: TeamLimits | None, used: Resources, need: Resources) -> int:
    """Returns how many more tasks a team may run under its cap."""
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


def _count_slots(step: StepWork, candidates, moment: Moment, need: Resources):
    """Returns how many of a step's tasks each VM can take, with its score, best fit first."""
    here: dict[str, int] = {}
    if step.spec.max_per_vm:
        for runs in step.active.values():
            for run in runs:
                here[run.vm.name] = here.get(run.vm.name, 0) + 1
    slots = []
    for row in candidates:
        free = moment.free[row.name]
        if not fits(need, free):
            continue
        count = count_fit(need, free)
        if step.spec.max_per_vm:
            count = min(count, step.spec.max_per_vm - here.get(row.name, 0))
        if count <= 0:
            continue
        score = _score(step, row, free, need)
        if row.name in moment.slow:
            score += SLOW_PENALTY
        if step.spec.fills:
            score += score_neighbours(row)
        held = moment.fleet.reservations.get(row.name)
        if held is not None and held.step != step.key:
            score += RESERVED_PENALTY
        slots.append((count, score, row))
    slots.sort(key=lambda slot: (slot[1], slot[2].name))
    return slots


def _score(step: StepWork, row: VmRow, free: Resources, need: Resources) -> float:
    capacity = row.listed.capacity
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + abs(cores - memory)
    if step.spec.near_rack and row.listed.rack != step.spec.near_rack:
        score += FAR_PENALTY
    return score


def _choose_rack(slots, count: int):
    """Returns the slots of a rack that can take all tasks, if there is one."""
    racks: dict[str, list] = {}
    for slot in slots:
        racks.setdefault(slot[2].listed.rack, []).append(slot)
    for found in racks.values():
        if sum(slot[0] for slot in found) >= count:
            return found
    return None


def _fill_slots(indexes: list[int], slots) -> list[tuple[int, VmRow]]:
    chosen, position = [], 0
    for count, _, row in slots:
        for _ in range(count):
            if position == len(indexes):
                return chosen
            chosen.append((indexes[position], row))
            position += 1
    return chosen
