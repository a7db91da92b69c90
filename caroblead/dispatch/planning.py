"""Plans one tick: which waiting tasks start on which VMs.

The functions here decide over the tables without input or output. Steps are served in the order of
:mod:`caroblead.dispatch.rank`; a step that does not fit is skipped, but urgent work may evict other
runs, and VMs may be reserved for a gang. A gang is placed whole or not at all.
"""

from collections import Counter
from collections.abc import Collection

from ..core.resource import NOTHING
from ..jobs.data import StepKey
from .backfill import list_backfillable
from .failure import Failures
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
from .orderwindow import OrderLimits
from .quota import count_room, get_taken, keep_quota, may_ask_ahead, may_keep
from .rank import Tier, rank_steps
from .reservation import ReservationTable, hold_vms
from .room import (
    Placement,
    Plan,
    PlanningState,
    book_room,
    count_allowance,
    find_pool,
    list_candidates,
    may_fit,
    may_fit_elsewhere,
)
from .score import choose_rack, count_slots
from .share import ShareTable, note_without_room
from .speedscore import choose_similar, find_required_speed, list_log_speeds
from .waitexplanation import explain_waits
from .work import Hold, StepWork, get_booked_need

# A longer margin would leave no time in which tickets are used at all.
MAX_MARGIN_FRACTION = 0.5
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
    limits: OrderLimits = OrderLimits(),
    shares: ShareTable | None = None,
    failures: Failures | None = None,
    explained: Collection[StepKey] = (),
) -> Plan:
    """Returns the plan for now under the configuration in force.

    The VMs named in ``slow`` are only used when no other has room. Of the optional decisions,
    those enabled in ``features`` are made; fair share needs the ``shares`` of the term. The plan
    ends with the step that reaches the number of starts in ``limits``, so it holds the most urgent
    ones.

    For example, if one VM has a core free, a step of two tasks that need a core each gets one
    placement, or none if it is a gang.

    An unexpected error about a step goes to ``failures``; the step is left out then. Of the steps
    ``explained`` the plan tells why they wait, if they do.
    """
    failures = failures or Failures()
    rows = [
        row
        for row in fleet.rows.values()
        if is_usable(row, now_s) and row.listed.zone not in fleet.evacuated_zones
    ]
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
    state.limits = limits
    if features.learned_durations:
        state.log_speeds = list_log_speeds(rows)
    shares = shares if features.fair_share else None
    ranked = rank_steps(steps, wall_s, shares, configuration.teams, now_s, failures)
    for rank, step in ranked:
        if len(state.plan.placements) >= limits.max_starts:
            break
        reservations.block_until(rank)
        placed, evicted = len(state.plan.placements), len(state.plan.evictions)
        try:
            _plan_step(state, step, rank, configuration)
        except Exception as error:
            failures.note("plan", step.key, error)
            # Only a part of a gang may have been placed.
            del state.plan.placements[placed:]
            del state.plan.evictions[evicted:]
    state.plan.lapsed = reservations.lapsed
    fleet.steps_keeping_quota = state.quota.steps.total()
    if shares is not None and _has_step_without_room(state, ranked, configuration):
        note_without_room(shares, now_s)
    if explained:
        found = failures.call("explain", "", explain_waits, state, steps, configuration, explained)
        state.plan.waits = found or {}
    return state.plan


def _has_step_without_room(state: PlanningState, ranked, configuration: Configuration) -> bool:
    """Returns whether a step that is of use still waits for room, and not for advice or quota."""
    placed = Counter(placement.step.key for placement in state.plan.placements)
    asking = {step.key for step in state.plan.advice_needed}
    for rank, step in ranked:
        if rank[0] is Tier.USELESS:
            return False
        if step.advice.pending or step.key in asking or placed[step.key] == len(step.waiting):
            continue
        team = step.work.job.team
        used = state.used.get(team, NOTHING)
        if count_allowance(configuration.teams.get(team), used, step.spec.need) > 0:
            return True
    return False


def _plan_step(state: PlanningState, step: StepWork, rank: tuple, configuration: Configuration):
    queue = step.work.job.queue
    pool = find_pool(state, find_service(configuration, queue), step.spec.label)
    team, terms = configuration.teams.get(step.work.job.team), queue.advice
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
    if terms is not None and not _has_tickets(step, chosen, terms, state):
        if not step.advice.pending and state.now_s >= step.advice.retry_s:
            if chosen or (fitting and may_fit_elsewhere(state, pool, step, need)):
                state.plan.advice_needed.append(step)
        if chosen and step.spec.gang and _is_asked_soon(step):
            rows = [row for _, row in chosen]
            if hold_vms(state.reservations, step, rank, rows, ADVICE_HOLD_S):
                book_room(state, step, chosen)
                return
        if fitting and state.features.kept_quota:
            _keep_quota(state, step, rank, candidates, len(step.waiting), team)
        if chosen:
            return
    else:
        _add_placements(state, step, chosen)
        if len(state.plan.placements) >= state.limits.max_starts:
            return
        if fitting and state.features.kept_quota:
            _keep_quota(state, step, rank, candidates, len(step.waiting) - len(chosen), team)
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


def _keep_quota(state: PlanningState, step: StepWork, rank: tuple, candidates, missing: int, team):
    """Keeps quota for the tasks of a step that lacks it, or asks ahead where they could run."""
    step.advice.ahead = False
    if not missing or not may_keep(state.quota, step, team):
        return
    taken = get_taken(state.quota, state.used, step.work.job.team)
    if count_allowance(team, taken, step.spec.need) >= missing:
        return
    if count_allowance(team, NOTHING, step.spec.need) < (missing if step.spec.gang else 1):
        # It exceeds the whole quota, and keeping some would only stop the team's other work.
        return
    if not candidates:
        step.advice.ahead = may_ask_ahead(state.quota, step, rank)
        return
    room = count_room(step, candidates, state.free, missing)
    keep_quota(state.quota, step, rank, missing, room)


def _is_asked_soon(step: StepWork) -> bool:
    """Returns whether a step is asked about, or is next, and doesn't wait for a node."""
    return step.advice.in_flight or not step.advice.pending


def _has_tickets(step: StepWork, chosen, terms, state: PlanningState) -> bool:
    margin_s = min(state.limits.ticket_margin_s, MAX_MARGIN_FRACTION * terms.valid_s)
    valid_s = terms.valid_s - margin_s
    if not chosen or state.now_s - step.advice.received_s >= valid_s:
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
    taken = get_taken(state.quota, state.used, step.work.job.team)
    allowance = count_allowance(team, taken, step.spec.need)
    if step.spec.gang:
        if len(indexes) < step.spec.count or allowance < len(indexes):
            return []
        starts_left = len(indexes)
    else:
        starts_left = max(0, state.limits.max_starts - len(state.plan.placements))
    indexes = indexes[: min(len(indexes), allowance, starts_left)]
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
