"""The tick of a term: plans the starts, records them, and sends the orders once recorded."""

import asyncio
from functools import partial

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.resource import Resources, fits
from ..core.timer import await_and_log_errors, call_and_log_errors
from ..jobs.data import JobState, StepKey
from .crash import judge_isolation
from .fleet import Fleet, Run, book_run
from .health import is_slow
from .interface import find_service
from .planning import Placement, plan_starts
from .rank import rank_step
from .term import TermState, is_registry_current
from .work import (
    StepAdvice,
    StepWork,
    add_run,
    copy_step_attributes,
    get_booked_need,
    is_step_ready,
    open_due_occurrences,
)

TICK_GAP_S = 0.01
# After a tick the event loop is left to other work for this many times the duration of the tick, so
# that a long backlog can't starve it.
TICK_REST_FACTOR = 1.5
# No tick decides anything while the log has not answered for this long, because the decisions could
# not be carried out.
MAX_RECORD_DELAY_S = 0.4
# The delay before a failed request to the advice service is retried.
ADVICE_RETRY_S = 0.1
# The advice service accepts at most this many VMs in one request.
MAX_VMS_PER_REQUEST = 100


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
    steps = []
    for work in state.open_jobs.values():
        if work.occurrences < max(1, work.job.spec.repeats):
            if open_due_occurrences(work, wall_s):
                state.on_steps_opened(work)
        if now_s >= work.ready_s:
            steps += [step for step in work.steps.values() if is_step_ready(step)]
    if not steps or state.commit.get_delay_s() > MAX_RECORD_DELAY_S:
        return
    if not is_registry_current(state.dependencies):
        return
    configuration = state.dependencies.get_configuration()
    slow = {name for name in state.health.speeds if is_slow(state.health, name, now_s)}
    features = state.dependencies.features
    plan = plan_starts(steps, state.fleet, configuration, now_s, wall_s, slow, features)
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
        step.advice.pending = True
        service = find_service(configuration, step.work.job.queue)
        state.order_sender.spawn(await_and_log_errors(_ask_advice(state, step, service)))


def _note_eviction(state: TermState, run: Run):
    """Remembers that a task has been evicted, so that it isn't evicted again."""
    work = state.open_jobs.get(run.task.job)
    step = work and work.steps.get((run.task.occurrence, run.task.step))
    if step is not None:
        step.evicted.add(run.task.index)


def _start_placements(state: TermState, placements: list[Placement], now_s: float):
    starts: list[tuple[StepWork, list[Run]]] = []
    gangs: dict[StepKey, list[Run]] = {}
    for placement in placements:
        step = placement.step
        runs = gangs.get(step.key, [])
        if not runs:
            step.step_progress.last_run += 1
            starts.append((step, runs))
        if step.spec.gang:
            gangs[step.key] = runs
        # The members of a gang share one run number.
        runs.append(_book_placement(state, placement, step.step_progress.last_run, now_s))
    for step, runs in starts:
        state.commit.mark_dirty(step.work, partial(_send_starts, state, step, runs))


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
    add_run(step, copy_step_attributes(step, run))
    if step.work.state is JobState.QUEUED:
        step.work.state = JobState.RUNNING
    wall_s = get_wall_s()
    log_routine(
        "task:placed",
        task=str(run.task),
        run=run.number,
        vm=row.name,
        waited_s=round(wall_s - step.work.job.accepted_s, 3),
        due_in_s=round(step.work.due_s - wall_s, 3),
        surplus=step.work.surplus,
        heard_s=round(now_s - row.heard_s, 3),
    )
    if run.backfills is not None:
        gang = str(run.backfills)
        log_routine("task:backfilled", task=str(run.task), run=run.number, vm=row.name, gang=gang)
    return run


def _send_starts(state: TermState, step: StepWork, runs: list[Run]):
    if state.lost:
        return
    if is_registry_current(state.dependencies):
        state.order_sender.start_all(runs, step.work.job.spec.payload)
    else:
        state.order_sender.withdraw(runs, "the registry was not read in time")


def choose_vms_to_ask(fleet: Fleet, service: str, advice: StepAdvice, need: Resources) -> list[str]:
    """Returns the VMs to ask about: first those that have room for a task of the step.

    Of these and of the others, those known as allowed come before those not yet asked about, and
    VMs with more free cores before those with fewer.
    """
    rows = [
        row
        for row in fleet.rows.values()
        if row.listed.service == service
        and row.in_registry
        and (row.name in advice.allowed or row.name not in advice.asked)
    ]
    rows.sort(
        key=lambda row: (fits(need, row.free), row.name in advice.asked, row.free.millicores),
        reverse=True,
    )
    return [row.name for row in rows[:MAX_VMS_PER_REQUEST]]


def store_answer(advice: StepAdvice, names: list[str], tickets: dict[str, str]):
    """Stores an answer about the named VMs.

    A VM that is allowed but for which there was no place in the request may be asked about again,
    and isn't used until then: a step that chose it would have no ticket for it. The same holds for
    one that is allowed no longer, as after a restart as another kind.
    """
    advice.asked -= advice.allowed.difference(names)
    advice.asked.update(names)
    advice.allowed = set(tickets)
    advice.tickets = dict(tickets)
    advice.received_s = get_elapsed_s()
    advice.retry_s = 0.0


async def _ask_advice(state: TermState, step: StepWork, service: str):
    """Asks about a step, which isn't pending any more afterwards, whatever happens."""
    advice = step.advice
    # Also delays the next request after an unexpected error.
    advice.retry_s = get_elapsed_s() + ADVICE_RETRY_S
    try:
        await _request_advice(state, step, service)
    finally:
        advice.pending = False
        state.wake.set()


async def _request_advice(state: TermState, step: StepWork, service: str):
    queue = step.work.job.queue
    advice = step.advice
    names = choose_vms_to_ask(state.fleet, service, advice, get_booked_need(step.spec))
    terms = queue.advice
    expected_s = terms.decision_s + terms.per_vm_s * len(names)
    started_s = get_elapsed_s()
    answer = await state.dependencies.advice_queue.ask(
        str(step.key),
        names,
        expected_s,
        rank_step(step, get_wall_s()),
    )
    if answer.tickets is None:
        advice.retry_s = get_elapsed_s() + ADVICE_RETRY_S
        log("advice:failed", step=str(step.key), vms=len(names))
    else:
        store_answer(advice, names, answer.tickets)
        log_routine(
            "advice:got",
            step=str(step.key),
            vms=len(names),
            allowed=len(answer.tickets),
            took_s=round(advice.received_s - started_s, 3),
        )


def _get_ticket_end(step: StepWork) -> float:
    """Returns the time at which the tickets of a step expire."""
    terms = step.work.job.queue.advice
    return step.advice.received_s + terms.valid_s if terms is not None else float("inf")
