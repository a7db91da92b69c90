"""Lets short work use the VMs that are reserved for a gang until the gang can start.

This is meant for a load of long gangs beside bursts of short work: a gang that waits for the last
of its VMs keeps the others idle as long. Work that is expected to end before that VM has room may
run on them meanwhile. The decision errs on the side of the gang: the work that starts counts with
the high quantile of its duration, and the runs for which the gang waits with a low one. If the gang
could start but for such work, that work is evicted.

Where this is enabled, every eviction is bounded: the evicted work can still reach its objective or
is of no use any more, it has not been evicted before, and less work is lost than gained.
"""

from ..core.resource import Resources, add
from ..jobs.data import StepKey
from .eviction import (
    CHECKPOINT_LOSS_S,
    EvictionBounds,
    Evictions,
    choose_evictions,
    compute_loss,
    count_fit,
    limit_per_vm,
)
from .fleet import Run, RunPhase, VmRow
from .rank import USELESS_AFTER_TARGETS
from .room import PlanningState
from .work import StepWork, get_booked_need, get_expectation

# The time between a decision to start work and its start, plus that between its end and the
# leader's knowledge of it, on a leader that isn't short of processor time.
ORDER_MARGIN_S = 0.4
# The phases of a run whose remaining time can be estimated.
ESTIMATED_PHASES = (RunPhase.RECORDING, RunPhase.ORDERED, RunPhase.RUNNING)


def list_backfillable(state: PlanningState, step: StepWork, blocked: set[str]) -> set[str]:
    """Returns those of the blocked VMs that a step may use until the gangs there can start."""
    if not state.features.backfill or not blocked or not _may_backfill(step):
        return set()
    end_s = state.now_s + ORDER_MARGIN_S + get_expectation(step).high_s
    table = state.reservations
    holders = {
        key
        for key, count in table.counts.items()
        if count and end_s <= _get_earliest_start(state, key)
    }
    if not holders:
        return set()
    return {
        name
        for name in blocked
        if table.by_vm[name].step in holders and _ends_in_time_at_speed(state, step, name)
    }


def _ends_in_time_at_speed(state: PlanningState, step: StepWork, name: str) -> bool:
    """Returns whether a step ends in time also on a VM that is slower than normal."""
    high_s = get_expectation(step).high_s / min(1.0, state.fleet.rows[name].speed)
    earliest_s = _get_earliest_start(state, state.reservations.by_vm[name].step)
    return state.now_s + ORDER_MARGIN_S + high_s <= earliest_s


def _may_backfill(step: StepWork) -> bool:
    """Returns whether a step has tasks that end, can be evicted and needn't be isolated."""
    spec = step.spec
    if spec.gang or spec.endless or spec.miss_tolerance or spec.fills:
        return False
    # A task that has been evicted once could not be evicted again for the gang.
    return not step.step_progress.crashes and not step.evicted and spec.estimate_s > 0


def _get_earliest_start(state: PlanningState, key: StepKey) -> float:
    start_s = state.earliest_starts.get(key)
    if start_s is None:
        start_s = state.earliest_starts[key] = _compute_earliest_start(state, key)
    return start_s


def _compute_earliest_start(state: PlanningState, key: StepKey) -> float:
    gang = state.steps.get(key)
    if gang is None or not gang.spec.gang or gang.step_progress.crashes:
        # The VMs were emptied by an eviction, or must become empty.
        return float("-inf")
    rows = [state.fleet.rows[name] for name in state.reservations.list_vms(key)]
    return estimate_earliest_start(gang, rows, state.now_s)


def estimate_earliest_start(gang: StepWork, rows: list[VmRow], now_s: float) -> float:
    """Returns the earliest time at which the waiting tasks of a gang may have room on these VMs.

    Work that was backfilled counts as ended. The time is that of the run that makes the last room,
    by a low quantile of its duration, and minus infinity if there never is enough room.
    """
    need, missing = get_booked_need(gang.spec), len(gang.waiting)
    limit = limit_per_vm(gang, missing)
    free, counts, ends = {}, {}, []
    for row in rows:
        room = row.free
        for run in row.runs.values():
            if run.backfills is not None:
                room = add(room, run.need)
            elif not run.endless:
                ends.append((_find_earliest_end(run, now_s), row.name, run.need))
        free[row.name], counts[row.name] = room, min(limit, count_fit(need, room))
    task_count = sum(counts.values())
    if task_count >= missing:
        return now_s
    for end_s, name, freed in sorted(ends):
        free[name] = add(free[name], freed)
        count = min(limit, count_fit(need, free[name]))
        task_count += count - counts[name]
        counts[name] = count
        if task_count >= missing:
            return end_s
    return float("-inf")


def _find_earliest_end(run: Run, now_s: float) -> float:
    """Returns the time until which a run goes on in nine cases of ten, at least now."""
    if not run.started_s or run.phase not in ESTIMATED_PHASES:
        return now_s
    return max(now_s, run.started_s + run.low_s)


def choose_bounded_evictions(
    state: PlanningState, step: StepWork, candidates: list[VmRow], missing: int
) -> Evictions | None:
    """Returns the runs to stop for a step within the bounds of the module, or ``None``."""
    expectation = get_expectation(step)
    bounds = EvictionBounds(
        may_evict=lambda run: may_evict(run, state.now_s, state.wall_s, expectation.high_s),
        max_loss_per_task=_compute_gain(step),
    )
    return choose_evictions(step, candidates, state.free, missing, state.now_s, bounds)


def _compute_gain(step: StepWork) -> float:
    """Returns the core-seconds of work of a task of a step, which counts as at least one core."""
    return get_expectation(step).median_s * max(1.0, step.spec.need.millicores / 1000)


def may_evict(run: Run, now_s: float, wall_s: float, busy_s: float) -> bool:
    """Returns whether the job of a run is of no use any more or can reach its objective after all.

    The run may have to wait for the work that takes its place, which takes ``busy_s``.
    """
    if wall_s > run.due_s + (USELESS_AFTER_TARGETS - 1.0) * run.target_s:
        return True
    saved_s = 0.0
    if run.has_checkpoints and run.started_s:
        saved_s = max(0.0, min(now_s - run.started_s, run.high_s) - CHECKPOINT_LOSS_S)
    return wall_s + busy_s + run.rest_s - saved_s <= run.due_s


def evict_backfilled(state: PlanningState, gang: StepWork, rows: list[VmRow], missing: int):
    """Evicts backfilled work from the VMs of a gang if the gang could start but for that work."""
    need, limit = get_booked_need(gang.spec), limit_per_vm(gang, missing)
    chosen: list[Run] = []
    task_count = 0
    # VMs with room come first, so that no work is evicted which is not in the way.
    for row in sorted(rows, key=lambda row: -count_fit(need, state.free[row.name])):
        if task_count >= missing:
            break
        runs, count = _clear_vm(state, row, need, limit)
        chosen += runs
        task_count += count
    lost = sum(compute_loss(run, state.now_s) for run in chosen)
    if task_count < missing or lost >= missing * _compute_gain(gang):
        return
    if len(chosen) <= state.evictions_left:
        state.evictions_left -= len(chosen)
        state.plan.evictions += chosen


def _clear_vm(
    state: PlanningState, row: VmRow, need: Resources, limit: int
) -> tuple[list[Run], int]:
    """Returns the backfilled runs to evict from a VM, and how many tasks then fit there."""
    free = state.free[row.name]
    best: tuple[list[Run], int] = ([], min(limit, count_fit(need, free)))
    taken = []
    for run in row.runs.values():
        if best[1] >= limit:
            break
        if not _is_in_the_way(run):
            continue
        if not may_evict(run, state.now_s, state.wall_s, 0.0):
            continue
        free = add(free, run.need)
        taken.append(run)
        count = min(limit, count_fit(need, free))
        if count > best[1]:
            best = (list(taken), count)
    return best


def _is_in_the_way(run: Run) -> bool:
    return run.backfills is not None and run.evictable and run.phase is RunPhase.RUNNING
