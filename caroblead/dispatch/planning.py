"""Plans one tick: which waiting tasks start on which VMs.

The functions here decide over the tables without input or output. Steps are served in the order of
:mod:`caroblead.dispatch.rank`; a step that does not fit is skipped, but urgent work may evict other
runs, and VMs may be reserved for a gang. A gang is placed whole or not at all.
"""

from ..core.resource import NOTHING
from ..jobs.data import StepKey
from .backfill import list_backfillable
from .features import Features
from .fleet import Fleet, VmRow, is_usable
from .interface import Configuration, find_service
from .isolation import (
    IsolationState,
    fill_slots,
    hold_back,
    keep_gang_slots,
    list_startable,
    note_placement,
    place_isolated,
)
from .makeroom import list_open_for, make_room, may_make_room
from .rank import rank_step
from .reservation import ReservationTable, hold_vms
from .room import (
    Placement,
    Plan,
    PlanningState,
    Pool,
    book_room,
    count_allowance,
    find_pool,
    list_candidates,
    may_fit,
    may_fit_elsewhere,
)
from .score import choose_rack, count_slots
from .speedscore import choose_similar, find_required_speed, list_log_speeds
from .work import Hold, StepWork, get_booked_need

# A ticket is not used this close to its expiry, since the order takes time to reach the VM.
TICKET_MARGIN_S = 0.3
# How much longer a gang may hold VMs on which it has room while it waits for advice.
ADVICE_HOLD_S = 5.0


def plan_starts(
    steps: list[StepWork],
    fleet: Fleet,
    configuration: Configuration,
    now_s: float,
    wall_s: float,
    slow: frozenset[str] | set[str] = frozenset(),
    features: Features = Features(),
) -> Plan:
    """Returns the plan for now under the configuration in force.

    The VMs named in ``slow`` are only used when no other has room. Of the optional decisions,
    those enabled in ``features`` are made.

    For example, if one VM has a core free, a step of two tasks that need a core each gets one
    placement, or none if it is a gang.
    """
    rows = [row for row in fleet.rows.values() if is_usable(row, now_s)]
    free = {row.name: row.free for row in rows}
    reservations = ReservationTable(fleet.reservations, now_s)
    isolation = IsolationState(fleet, free, reservations, now_s)
    used = dict(fleet.used)
    state = PlanningState(
        fleet,
        now_s,
        free,
        used,
        rows,
        reservations,
        isolation,
        slow=slow,
        features=features,
        wall_s=wall_s,
        steps={step.key: step for step in steps},
    )
    state.wall_s = wall_s
    if features.learned_durations:
        state.log_speeds = list_log_speeds(rows)
    ranked = sorted(((rank_step(step, wall_s), step) for step in steps), key=lambda item: item[0])
    for rank, step in ranked:
        reservations.block_until(rank)
        job = step.work.job
        service = find_service(configuration, job.queue)
        pool = find_pool(state, service, step.spec.label)
        _plan_step(state, step, rank, pool, configuration.teams.get(job.team))
    state.plan.lapsed = reservations.lapsed
    return state.plan


def _plan_step(state: PlanningState, step: StepWork, rank: tuple, pool: Pool, team):
    terms = step.work.job.queue.advice
    need = get_booked_need(step.spec)
    fitting = may_fit(state, pool, need)
    if not fitting and not may_make_room(state, step):
        return
    blocked = state.reservations.list_blocked_for(step.key)
    backfillable = list_backfillable(state, step, blocked)
    candidates = list_candidates(state, pool, step, backfillable)
    chosen = _place_step(step, candidates, state, team) if fitting else []
    if not chosen:
        pool.misses += 1
    if terms is not None and not _has_tickets(step, chosen, terms, state.now_s):
        if not step.advice.pending and state.now_s >= step.advice.retry_s:
            if chosen or (fitting and may_fit_elsewhere(state, pool, step, need)):
                state.plan.advice_needed.append(step)
        if chosen and step.spec.gang:
            rows = [row for _, row in chosen]
            if hold_vms(state.reservations, step, rank, rows, ADVICE_HOLD_S):
                book_room(state, step, chosen)
        if chosen:
            return
    else:
        _add_placements(state, step, chosen)
    if step.spec.gang and len(step.waiting) < step.spec.count:
        # It can't start before its former members have ended, whose VMs may not answer for long.
        return
    missing = len(step.waiting) - len(chosen)
    if step.step_progress.crashes:
        missing -= hold_back(state.isolation, step, rank, chosen, candidates)
    if backfillable:
        candidates = [row for row in candidates if row.name not in backfillable]
    if missing and candidates:
        open_rows = list_open_for(step, candidates, chosen)
        make_room(state, step, rank, open_rows, team, missing)


def _has_tickets(step: StepWork, chosen, terms, now_s: float) -> bool:
    if not chosen or now_s - step.advice.received_s >= terms.valid_s - TICKET_MARGIN_S:
        return False
    return all(row.name in step.advice.tickets for _, row in chosen)


def _add_placements(state: PlanningState, step: StepWork, chosen: list[tuple[int, VmRow]]):
    book_room(state, step, chosen)
    for index, row in chosen:
        if step.step_progress.crashes:
            note_placement(state.isolation, step, index, row)
        ticket = step.advice.tickets.get(row.name, "")
        backfills = _find_backfilled(state, step, row)
        state.plan.placements.append(Placement(step, index, row, ticket, backfills))
    if chosen and len(chosen) == len(step.waiting):
        state.reservations.release(step.key)
        step.hold = Hold()


def _find_backfilled(state: PlanningState, step: StepWork, row: VmRow) -> StepKey | None:
    """Returns the step for which a VM is blocked, if a task of another step is placed there."""
    if row.name not in state.reservations.blocked:
        return None
    holder = state.reservations.by_vm[row.name].step
    return holder if holder != step.key else None


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
    slots = count_slots(step, candidates, state, need)
    if has_crashed and not step.spec.gang:
        return place_isolated(state.isolation, step, indexes, slots)
    if has_crashed:
        slots = keep_gang_slots(state.isolation, step, slots)
    if step.spec.gang and step.spec.same_rack:
        slots = choose_rack(slots, len(indexes)) or slots
    if step.spec.gang and state.features.learned_durations:
        required = find_required_speed(step, state.wall_s)
        slots = choose_similar(slots, len(indexes), required, state.log_speeds)
    if step.spec.gang and sum(count for count, _, _ in slots) < len(indexes):
        return []
    return fill_slots(indexes, slots)
