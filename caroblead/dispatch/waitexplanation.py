"""Tells why a step that is due wasn't placed in a tick.

The reasons are found after the tick has planned everything, and only for the steps asked about,
since they decide nothing and take time.
"""

from collections import Counter
from collections.abc import Collection

from ..core.resource import Resources, fits
from ..jobs.data import StepKey
from .crash import judge_isolation
from .fleet import Isolation, VmRow
from .interface import Configuration, find_service
from .quota import count_room, get_taken
from .room import PlanningState, count_allowance, find_pool, list_candidates
from .waitreason import WaitReason
from .work import StepWork, get_booked_need


def explain_waits(
    state: PlanningState,
    steps: Collection[StepWork],
    configuration: Configuration,
    wanted: Collection[StepKey],
) -> dict[StepKey, WaitReason]:
    """Returns why steps of a finished plan wait, by the keys of those that are ``wanted``."""
    placed = Counter(placement.step.key for placement in state.plan.placements)
    needed = {step.key for step in state.plan.advice_needed}
    return {
        step.key: _find_reason(state, step, configuration, step.key in needed)
        for step in steps
        if step.key in wanted and placed[step.key] < len(step.waiting)
    }


def _find_reason(
    state: PlanningState, step: StepWork, configuration: Configuration, needs_advice: bool
) -> WaitReason:
    if step.spec.gang and len(step.waiting) < step.spec.count:
        return WaitReason.FORMER_RUNS
    pool = find_pool(state, find_service(configuration, step.work.job.queue), step.spec.label)
    if not pool.rows:
        return WaitReason.NO_VM
    required = step.spec.count if step.spec.gang else 1
    team = configuration.teams.get(step.work.job.team)
    taken = get_taken(state.quota, state.used, step.work.job.team)
    if count_allowance(team, taken, step.spec.need) < required:
        return WaitReason.QUOTA
    if step.advice.pending:
        return WaitReason.ASKED if step.advice.in_flight else WaitReason.QUEUED
    open_rows = list_candidates(state, pool, step, set())
    if count_room(step, open_rows, state.free, required) >= required:
        if _is_isolated(step):
            return WaitReason.CRASHES
        has_advice = step.work.job.queue.advice is not None
        return WaitReason.QUEUED if has_advice else WaitReason.ORDERS_LIMITED
    if needs_advice:
        return WaitReason.QUEUED
    if any(_is_held_with_room(state, step, row) for row in pool.rows.values()):
        return WaitReason.RESERVED
    return WaitReason.ROOM


def _is_isolated(step: StepWork) -> bool:
    if not step.step_progress.crashes:
        return False
    return any(judge_isolation(step, index) is not Isolation.NONE for index in step.waiting)


def _is_held_with_room(state: PlanningState, step: StepWork, row: VmRow) -> bool:
    """Returns whether a VM that the step may use has room for it but is reserved for another."""
    if row.name not in state.reservations.list_blocked_for(step.key):
        return False
    need: Resources = get_booked_need(step.spec)
    is_allowed = step.work.job.queue.advice is None or row.name in step.advice.allowed
    return is_allowed and fits(need, state.free[row.name])
