"""Makes room for a step that finds none: evicts less urgent runs, or reserves VMs for a gang."""

from .backfill import choose_bounded_evictions, evict_backfilled
from .eviction import choose_evictions, choose_vms_to_reserve, count_fit
from .fleet import VmRow
from .quota import get_taken
from .rank import Tier
from .reservation import hold_vms, keep_vms
from .room import PlanningState, count_allowance
from .score import count_tasks_per_vm
from .work import StepWork, get_booked_need

# The interval at which a step without room searches for runs to evict or VMs to reserve.
SEARCH_GAP_S = 0.25


def may_make_room(state: PlanningState, step: StepWork) -> bool:
    """Returns whether a step may search now for room that could be made for it.

    The search is limited because it takes long and seldom finds more than the one shortly before.
    A step that holds reservations may always go on, so that it can extend or use them.
    """
    may_search = state.searches_left > 0 and state.now_s >= step.next_search_s
    return may_search or state.reservations.count(step.key) > 0


def make_room(state: PlanningState, step: StepWork, rank: tuple, candidates, team, missing: int):
    """Evicts less urgent runs for a step, or reserves VMs for a gang until enough runs end."""
    taken = get_taken(state.quota, state.used, step.work.job.team)
    allowance = count_allowance(team, taken, step.spec.need)
    if allowance <= 0 or (step.spec.gang and allowance < missing):
        return
    if state.reservations.count(step.key):
        if not step.spec.gang or _keep_reservations(state, step, candidates, missing):
            return
        state.reservations.release(step.key)
    if state.now_s < max(step.next_search_s, step.hold.paused_until_s) or state.searches_left <= 0:
        return
    state.searches_left -= 1
    step.next_search_s = state.now_s + SEARCH_GAP_S
    chosen = None
    if rank[0] <= Tier.IN_TIME and state.evictions_left > 0:
        chosen = _choose_evictions(state, step, candidates, min(missing, allowance))
    if chosen and len(chosen.runs) <= state.evictions_left:
        state.evictions_left -= len(chosen.runs)
        state.plan.evictions += chosen.runs
        hold_vms(state.reservations, step, rank, chosen.rows)
    elif step.spec.gang:
        others = [row for row in candidates if row.name not in step.hold.avoided]
        rows = choose_vms_to_reserve(step, others, state.free, missing)
        if not rows and len(others) < len(candidates):
            rows = choose_vms_to_reserve(step, candidates, state.free, missing)
        hold_vms(state.reservations, step, rank, rows)


def _keep_reservations(state: PlanningState, step: StepWork, candidates, missing: int) -> bool:
    """Extends the reservations of a gang if they can be of use; returns whether it need not search.

    It has to if their VMs don't suffice for the gang now.
    """
    kept = [row for row in candidates if state.reservations.is_reserved_for(row.name, step.key)]
    if not choose_vms_to_reserve(step, kept, state.free, missing):
        return False
    need = get_booked_need(step.spec)
    lacking = frozenset(row.name for row in kept if not count_fit(need, state.free[row.name]))
    if keep_vms(state.reservations, step, lacking) and state.features.backfill:
        evict_backfilled(state, step, kept, missing)
    return True


def _choose_evictions(state: PlanningState, step: StepWork, candidates, missing: int):
    if state.features.backfill:
        return choose_bounded_evictions(state, step, candidates, missing)
    return choose_evictions(step, candidates, state.free, missing, state.now_s)


def list_open_for(step: StepWork, candidates, chosen) -> list[VmRow]:
    """Returns the candidates that may take one more task of a step, if they get room."""
    limit = step.spec.max_per_vm
    if not limit:
        return candidates
    counts = count_tasks_per_vm(step, chosen)
    return [row for row in candidates if counts[row.name] < limit]
