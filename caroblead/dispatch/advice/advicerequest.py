"""Asks the advice service about steps: about which VMs, and what its answers tell."""

from functools import partial

from ...core.clock import get_elapsed_s, get_wall_s
from ...core.logsink import log, log_routine
from ...core.resource import NOTHING, Resources, fits
from ..evacuationcheck import list_cold_vms
from ..fleet import Fleet
from ..rank import Tier, rank_step
from ..room import count_allowance
from ..share import ShareTable
from ..term import TermState
from ..work import StepAdvice, StepWork, get_booked_need
from .advicebacklog import AdviceRequest, PlannedCall
from .advicesize import (
    choose_vms_for_step,
    count_new_answers,
    get_allowed_share,
    learn_allowed_share,
)

# The delay before a failed request to the advice service is retried.
ADVICE_RETRY_S = 0.1
# The advice service accepts at most this many VMs in one request.
MAX_VMS_PER_REQUEST = 100
# The rank of a step that can't be ranked because of an error.
UNKNOWN_RANK = (Tier.USELESS,)


def get_shares(state: TermState) -> ShareTable | None:
    """Returns the shares of the teams if fair share is enabled."""
    return state.shares if state.dependencies.features.fair_share else None


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
    advice.retry_s = advice.since_s = 0.0


async def ask_advice(state: TermState, step: StepWork, service: str):
    """Asks about a step of a service, which isn't pending any more afterwards, whatever happens."""
    advice = step.advice
    # Also delays the next request after an unexpected error.
    advice.retry_s = get_elapsed_s() + ADVICE_RETRY_S
    try:
        await _request_advice(state, step, service)
    finally:
        advice.pending = advice.in_flight = False
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


def _plan_call(state: TermState, step: StepWork, service: str) -> PlannedCall:
    queue, advice = step.work.job.queue, step.advice
    if state.dependencies.features.sized_advice:
        names = _choose_sized(state, step, service)
    else:
        cold = list_cold_vms(state, get_elapsed_s())
        need = get_booked_need(step.spec)
        names = choose_vms_to_ask(state.fleet, service, advice, need, cold)
    terms = queue.advice
    return PlannedCall(names, terms.decision_s + terms.per_vm_s * len(names))


def _rank_request(state: TermState, step: StepWork) -> tuple:
    shares = get_shares(state)
    rank = state.failures.call("advice", step.key, rank_step, step, get_wall_s(), shares)
    return rank or UNKNOWN_RANK


async def _request_advice(state: TermState, step: StepWork, service: str):
    queue, advice = step.work.job.queue, step.advice
    request = AdviceRequest(
        str(step.key),
        state.advice_meter.get_mean_s(queue),
        partial(_plan_call, state, step, service),
        partial(_rank_request, state, step),
        advice.since_s,
        partial(state.advice_meter.note_call, queue),
        partial(setattr, advice, "in_flight"),
    )
    started_s = get_elapsed_s()
    answer = await state.dependencies.advice_queue.ask(request)
    names = request.call.vms
    if not names:
        # The step waits for quota or for VMs.
        advice.since_s = 0.0
        return
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
