"""The tick of a term: plans the starts, records them, and sends the orders once recorded."""

import asyncio
from functools import partial

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.resource import NOTHING, Resources, fits
from ..core.timer import await_and_log_errors, call_and_log_errors
from ..jobs.data import StepKey
from .advice.advicesize import (
    choose_vms_for_step,
    count_new_answers,
    get_allowed_share,
    learn_allowed_share,
    select_requests,
)
from .crash import judge_isolation
from .evacuationcheck import (
    apply_evacuations,
    find_withdrawal_reason,
    list_cold_vms,
    report_waiting_steps,
)
from .fleet import Fleet, Run, book_run, release_run
from .health import is_slow
from .interface import find_service
from .planning import Placement, plan_starts
from .rank import find_tier, rank_step
from .room import count_allowance
from .share import ShareTable, TeamUse, clear_over_share, report_changes, sample_use
from .term import TermState, is_registry_current
from .work import (
    JobWork,
    StepAdvice,
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
# The delay before a failed request to the advice service is retried.
ADVICE_RETRY_S = 0.1
# One node in so many may ask about steps that are too late to be of use, but at least some nodes of
# a small site, which else serves a backlog of them too slowly. One node is kept for a step that is
# still of use and comes meanwhile.
NODES_PER_USELESS_REQUEST = 3
MIN_USELESS_REQUESTS = 6
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
    if not steps or state.commit.get_delay_s() > MAX_RECORD_DELAY_S:
        return
    if not is_registry_current(state.dependencies) or not apply_evacuations(state):
        return
    configuration = state.dependencies.get_configuration()
    if not configuration.version:
        # Without a configuration nothing is known of the teams' quotas.
        return
    limits = state.order_sender.window.make_limits()
    if not limits.max_starts:
        return
    call("evacuations", "", report_waiting_steps, state, steps, now_s)
    slow = {name for name in state.health.speeds if is_slow(state.health, name, now_s)}
    slow |= list_cold_vms(state, now_s)
    plan = plan_starts(
        steps,
        state.fleet,
        configuration,
        now_s,
        wall_s,
        slow,
        features,
        limits,
        state.shares,
        state.failures,
    )
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
    for step in _select_requests(state, steps, plan.advice_needed, wall_s):
        service = find_service(configuration, step.work.job.queue)
        step.advice.pending = True
        state.order_sender.spawn(await_and_log_errors(_ask_advice(state, step, service)))


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
        ready += opened
    return ready


def _log_share_changes(state: TermState):
    for name, is_over in report_changes(state.shares):
        use = state.shares.teams.get(name, TeamUse())
        fields = {"now": round(use.now, 4), "history": round(use.history, 4)}
        if is_over:
            log("share:over", team=name, limit=round(state.shares.limits[name], 4), **fields)
        else:
            log("share:within", team=name, **fields)


def _get_shares(state: TermState) -> ShareTable | None:
    """Returns the shares of the teams if fair share is enabled."""
    return state.shares if state.dependencies.features.fair_share else None


def _select_requests(
    state: TermState, steps: list[StepWork], needed: list[StepWork], wall_s: float
) -> list[StepWork]:
    if not state.dependencies.features.sized_advice or not needed:
        return needed
    shares, tiers = _get_shares(state), {}
    for step in (*needed, *(step for step in steps if step.advice.pending)):
        tier = state.failures.call("advice", step.key, find_tier, step, wall_s, shares)
        if tier is not None:
            tiers[step.key] = tier
    needed = [step for step in needed if step.key in tiers]
    pending = [step for step in steps if step.advice.pending and step.key in tiers]
    queue = state.dependencies.advice_queue
    max_useless = count_useless_requests(len(queue.advisers))
    return select_requests(needed, pending, tiers, not queue.waiting, max_useless)


def count_useless_requests(nodes: int) -> int:
    """Returns how many requests about steps that are too late may be open at a time."""
    at_least = max(1, min(nodes - 1, MIN_USELESS_REQUESTS))
    return max(at_least, nodes // NODES_PER_USELESS_REQUEST)


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


def choose_vms_to_ask(
    fleet: Fleet,
    service: str,
    advice: StepAdvice,
    need: Resources,
    cold: frozenset[str] | set[str] = frozenset(),
) -> list[str]:
    """Returns the VMs to ask about: first those that have room for a task of the step.

    Of these and of the others, ``cold`` ones come last; of the rest, those known as allowed come
    before those not yet asked about, and VMs with more free cores before those with fewer.
    """
    rows = [
        row
        for row in fleet.rows.values()
        if row.listed.service == service
        and row.in_registry
        and row.listed.zone not in fleet.evacuated_zones
        and (row.name in advice.allowed or row.name not in advice.asked)
    ]
    rows.sort(
        key=lambda row: (
            fits(need, row.free),
            row.name not in cold,
            row.name in advice.asked,
            row.free.millicores,
        ),
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


def _choose_sized(state: TermState, step: StepWork, service: str) -> list[str]:
    """Returns the VMs to ask about, or none while the team may not start the step's tasks."""
    job = step.work.job
    team = state.dependencies.get_configuration().teams.get(job.team)
    used = state.fleet.used.get(job.team, NOTHING)
    tasks = len(step.waiting)
    if not step.advice.ahead:
        tasks = min(tasks, count_allowance(team, used, step.spec.need))
    if step.spec.gang and tasks < step.spec.count:
        return []
    rows = [
        row
        for row in state.fleet.rows.values()
        if row.listed.service == service
        and row.in_registry
        and row.listed.zone not in state.fleet.evacuated_zones
    ]
    share = get_allowed_share(state.advice_shares, job.queue.name)
    options = choose_vms_for_step(step, tasks, rows, state.fleet, share, get_elapsed_s())
    return [option.name for option in options[:MAX_VMS_PER_REQUEST]]


def _learn_share(state: TermState, step: StepWork, names: list[str], tickets: dict[str, str]):
    """Learns the allowed share of a queue from an answer that isn't stored yet."""
    if not state.dependencies.features.sized_advice:
        return
    queue = step.work.job.queue.name
    new, allowed = count_new_answers(step.advice, names, tickets)
    learn_allowed_share(state.advice_shares, queue, new, allowed)
    share = get_allowed_share(state.advice_shares, queue)
    log_routine("advice:share", queue=queue, new=new, allowed=allowed, share=round(share, 3))


async def _request_advice(state: TermState, step: StepWork, service: str):
    queue = step.work.job.queue
    advice = step.advice
    if state.dependencies.features.sized_advice:
        names = _choose_sized(state, step, service)
        if not names:
            return
    else:
        cold = list_cold_vms(state, get_elapsed_s())
        need = get_booked_need(step.spec)
        names = choose_vms_to_ask(state.fleet, service, advice, need, cold)
    terms = queue.advice
    expected_s = terms.decision_s + terms.per_vm_s * len(names)
    started_s = get_elapsed_s()
    answer = await state.dependencies.advice_queue.ask(
        str(step.key),
        names,
        expected_s,
        rank_step(step, get_wall_s(), _get_shares(state)),
    )
    if answer.tickets is None:
        advice.retry_s = get_elapsed_s() + ADVICE_RETRY_S
        log("advice:failed", step=str(step.key), vms=len(names))
    else:
        _learn_share(state, step, names, answer.tickets)
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
