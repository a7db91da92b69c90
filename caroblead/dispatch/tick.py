"""The tick of a term: plans the starts, records them, and sends the orders once recorded."""

import asyncio
from functools import partial

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.timer import await_and_log_errors, call_and_log_errors
from ..jobs.data import StepKey
from .advice.advicerequest import ask_advice
from .crash import judge_isolation
from .evacuationcheck import (
    apply_evacuations,
    find_withdrawal_reason,
    list_cold_vms,
    report_waiting_steps,
)
from .fleet import Run, book_run, release_run
from .health import is_slow
from .interface import find_service
from .orderwindow import OrderLimits
from .planning import plan_starts
from .room import Placement, Plan
from .share import TeamUse, clear_over_share, report_changes, sample_use
from .term import TermState, is_registry_current
from .waitreason import WaitReason
from .work import (
    JobWork,
    StepWork,
    add_run,
    copy_step_attributes,
    get_booked_need,
    has_unopened,
    is_step_ready,
    open_due_occurrences,
    remove_run,
)

TICK_GAP_S = 0.01
# After a tick the event loop is left to other work for this many times the duration of the tick, so
# that a long backlog can't starve it.
TICK_REST_FACTOR = 1.5
# No tick decides anything while the log has not answered for this long, because the decisions could
# not be carried out.
MAX_RECORD_DELAY_S = 0.4
# How many steps of all jobs with occurrences that aren't open yet may be open and ready, and how
# many of each one may be in any case. They are planned anew in each tick.
MAX_READY_STEPS = 300
MIN_READY_STEPS = 20


async def run_ticks(state: TermState):
    """Runs a tick whenever something has changed, until it is cancelled."""
    while True:
        await state.wake.wait()
        state.wake.clear()
        began_s = get_elapsed_s()
        call_and_log_errors(run_tick, state)
        await asyncio.sleep(max(TICK_GAP_S, TICK_REST_FACTOR * (get_elapsed_s() - began_s)))


def run_tick(state: TermState):
    """Plans what can start now, and queues it to be recorded and then carried out."""
    if state.resigning:
        return
    now_s, wall_s = get_elapsed_s(), get_wall_s()
    features = state.dependencies.features
    call = state.failures.call
    if features.fair_share:
        call("shares", "", sample_use, state.shares, state.fleet, now_s)
    steps = []
    unopened = sum(map(has_unopened, state.open_jobs.values()))
    max_ready = max(MIN_READY_STEPS, MAX_READY_STEPS // max(1, unopened))
    for work in state.open_jobs.values():
        steps += call("open", work.job.id, _list_ready, state, work, now_s, wall_s, max_ready) or ()
    if not steps and features.fair_share:
        clear_over_share(state.shares)
        _log_share_changes(state)
    limits = state.order_sender.window.make_limits()
    pause = _find_pause(state, limits) if steps else None
    if not steps or pause is not None:
        _note_waits(state, steps, {}, pause, now_s)
        return
    call("evacuations", "", report_waiting_steps, state, steps, now_s)
    plan = _make_plan(state, steps, limits, now_s, wall_s)
    _carry_out(state, plan, now_s)
    _note_waits(state, [step for step in steps if step.waiting], plan.waits, None, now_s)


def _find_pause(state: TermState, limits: OrderLimits) -> WaitReason | None:
    """Returns why no task may be started at all now, or ``None`` if tasks may be."""
    if state.commit.get_delay_s() > MAX_RECORD_DELAY_S:
        return WaitReason.LOG_SLOW
    if not is_registry_current(state.dependencies):
        return WaitReason.REGISTRY_OLD
    if not apply_evacuations(state):
        return WaitReason.ZONES_UNREAD
    if not state.dependencies.get_configuration().version:
        # Without a configuration nothing is known of the teams' quotas.
        return WaitReason.NO_CONFIGURATION
    return None if limits.max_starts else WaitReason.ORDERS_LIMITED


def _make_plan(
    state: TermState, steps: list[StepWork], limits: OrderLimits, now_s: float, wall_s: float
) -> Plan:
    """Plans the steps; once in a while the plan tells why those that waited before still wait."""
    slow = {name for name in state.health.speeds if is_slow(state.health, name, now_s)}
    slow |= list_cold_vms(state, now_s)
    table = state.wait_table
    return plan_starts(
        steps,
        state.fleet,
        state.dependencies.get_configuration(),
        now_s,
        wall_s,
        slow,
        state.dependencies.features,
        limits,
        state.shares,
        state.failures,
        table.list_known() if table.is_look_due(now_s) else (),
    )


def _note_waits(
    state: TermState,
    steps: list[StepWork],
    reasons: dict[StepKey, WaitReason],
    pause: WaitReason | None,
    now_s: float,
):
    """Notes once in a while which steps wait and why; a ``pause`` is the reason of all of them."""
    table = state.wait_table
    if not table.is_look_due(now_s):
        return
    held = [work for work in state.open_jobs.values() if now_s < work.ready_s]
    held += [work for work in state.open_jobs.values() if not work.is_recordable]
    held_steps = [step for work in held for step in work.steps.values() if is_step_ready(step)]
    found = {step.key: pause or reasons.get(step.key) for step in steps}
    found |= {step.key: _get_held_reason(step.work) for step in held_steps}
    known = {key: reason for key, reason in found.items() if reason and key in table.list_known()}
    configuration = state.dependencies.get_configuration()
    table.note([*steps, *held_steps], known, state.fleet, configuration, now_s)


def _get_held_reason(work: JobWork) -> WaitReason:
    return WaitReason.BACKOFF if work.is_recordable else WaitReason.NOT_RECORDABLE


def _carry_out(state: TermState, plan: Plan, now_s: float):
    """Starts, evicts and asks for advice as planned."""
    features, configuration = state.dependencies.features, state.dependencies.get_configuration()
    if features.fair_share:
        _log_share_changes(state)
    _start_placements(state, plan.placements, now_s)
    for run in plan.evictions:
        log_routine("task:evicted", task=str(run.task), run=run.number, vm=run.vm.name)
        state.order_sender.stop(run)
        if features.backfill:
            _note_eviction(state, run)
    for step in plan.lapsed:
        state.fleet.lapsed_holds += 1
        log("reservation:lapsed", step=str(step.key), lapses=step.hold.lapses)
    for step in plan.advice_needed:
        service = find_service(configuration, step.work.job.queue)
        step.advice.pending, step.advice.since_s = True, step.advice.since_s or now_s
        state.order_sender.spawn(await_and_log_errors(ask_advice(state, step, service)))


def _list_ready(
    state: TermState, work: JobWork, now_s: float, wall_s: float, max_ready: int
) -> list[StepWork]:
    """Opens what has become due of a job, and returns its steps that can start.

    Of a long backlog of occurrences, only the first ones are open at a time. They need the same as
    those after them, so these could not start before them.
    """
    if now_s < work.ready_s or not work.is_recordable:
        return []
    ready = [step for step in work.steps.values() if is_step_ready(step)]
    if has_unopened(work) and len(ready) < max_ready:
        opened = open_due_occurrences(work, wall_s, max_ready - len(ready))
        if opened:
            state.on_steps_opened(opened)
        ready += [step for step in opened if is_step_ready(step)]
    return ready


def _log_share_changes(state: TermState):
    for name, is_over in report_changes(state.shares):
        use = state.shares.teams.get(name, TeamUse())
        fields = {"now": round(use.now, 4), "history": round(use.history, 4)}
        if is_over:
            log("share:over", team=name, limit=round(state.shares.limits[name], 4), **fields)
        else:
            log("share:within", team=name, **fields)


def _note_eviction(state: TermState, run: Run):
    """Remembers that a task has been evicted, so that it isn't evicted again."""
    work = state.open_jobs.get(run.task.job)
    step = work and work.steps.get((run.task.occurrence, run.task.step))
    if step is not None:
        step.evicted.add(run.task.index)


def _start_placements(state: TermState, placements: list[Placement], now_s: float):
    gangs: dict[StepKey, list[Placement]] = {}
    units = []
    for placement in placements:
        if not placement.step.spec.gang:
            units.append([placement])
        elif placement.step.key in gangs:
            gangs[placement.step.key].append(placement)
        else:
            gangs[placement.step.key] = [placement]
            units.append(gangs[placement.step.key])
    for unit in units:
        step = unit[0].step
        state.failures.call("start", step.key, _start_unit, state, step, unit, now_s)


def _start_unit(state: TermState, step: StepWork, unit: list[Placement], now_s: float):
    """Books a task, or all members of a gang, and sends the orders once that is recorded.

    The members of a gang share one run number.
    """
    step.step_progress.last_run += 1
    number = step.step_progress.last_run
    try:
        runs = [_book_placement(state, placement, number, now_s) for placement in unit]
    except Exception:
        _withdraw_unit(state, unit, number)
        raise
    state.commit.mark_dirty(step.work, partial(_send_starts, state, step, runs))


def _withdraw_unit(state: TermState, unit: list[Placement], number: int):
    for placement in unit:
        task = placement.step.make_task_name(placement.index)
        run = placement.vm.runs.get((task, number))
        if run is not None:
            release_run(state.fleet, run)
            remove_run(placement.step, run)


def _book_placement(state: TermState, placement: Placement, number: int, now_s: float) -> Run:
    step, row = placement.step, placement.vm
    run = Run(
        step.make_task_name(placement.index),
        number,
        row,
        step.work.job.team,
        get_booked_need(step.spec),
        ticket=placement.ticket,
        ticket_until_s=_get_ticket_end(step),
        started_s=now_s,
        charge=step.spec.need,
        checkpoint=step.step_progress.checkpoints.get(placement.index, ""),
        incarnation=row.incarnation,
        isolation=judge_isolation(step, placement.index),
        backfills=placement.backfills,
    )
    state.fleet.backfilled_runs += placement.backfills is not None
    book_run(state.fleet, run)
    state.order_sender.window.add(run)
    add_run(step, copy_step_attributes(step, run))
    if state.load_meter is not None:
        state.load_meter.count_start(step)
    wall_s = get_wall_s()
    has_fair_share = state.dependencies.features.fair_share
    log_routine(
        "task:placed",
        task=str(run.task),
        run=run.number,
        vm=row.name,
        waited_s=round(wall_s - step.work.job.accepted_s, 3),
        due_in_s=round(step.work.due_s - wall_s, 3),
        surplus=step.key in state.shares.over if has_fair_share else step.work.surplus,
        heard_s=round(now_s - row.heard_s, 3),
    )
    if run.backfills is not None:
        gang = str(run.backfills)
        log_routine("task:backfilled", task=str(run.task), run=run.number, vm=row.name, gang=gang)
    return run


def _send_starts(state: TermState, step: StepWork, runs: list[Run]):
    if state.lost:
        return
    detail = find_withdrawal_reason(state, runs)
    if not step.work.is_recordable:
        detail = "the log doesn't accept the progress of its job"
    if not is_registry_current(state.dependencies):
        detail = "the registry was not read in time"
    if detail:
        state.order_sender.withdraw(runs, detail)
    else:
        state.order_sender.start_all(runs, step.work.job.spec.payload)


def _get_ticket_end(step: StepWork) -> float:
    """Returns the time at which the tickets of a step expire."""
    terms = step.work.job.queue.advice
    return step.advice.received_s + terms.valid_s if terms is not None else float("inf")
