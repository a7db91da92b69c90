"""Requests: accepted from gates, placed on a slot, sent to the endpoint, and answered once.

The gate assigns each request an id. Submission is idempotent: the same id sent again returns the
outcome of the request that is already here, so a gate that lost its connection may simply retry.
"""

import asyncio

from ..core.data import Queue, Task, TaskState, Urgent, Vm, VmState
from ..core.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..core.resource import Resources
from ..core.timer import await_and_log_errors
from ..events.event import AttemptEnded, AttemptStarted, Placed
from ..fleet.interface import EndpointRequest, StartTask, VmError
from ..policy.admission import SERVICE_TIME_WEIGHT, admit_request, drop_expired
from ..policy.balancing import observe_latency
from ..policy.cell import end_task, enqueue_task, release_allocation, set_vm_state
from ..policy.fit import find_largest
from ..policy.placement import Placement, place_waiting
from ..policy.preempt import choose_victims, find_blocked_urgent_tasks
from ..policy.retry import compute_backoff, earn_retry, spend_retry
from ..policy.sizing import compute_allotment
from ..wire.gen import ttypes
from .job import delay_call, make_fault
from .jobrecord import make_label
from .lease import Lease, is_valid
from .shard import RequestEntry, Shard, Tables, finish_entry, finish_without_answer

ONE_SLOT = Resources(slots=1)
# Outcomes are kept this long for a gate that sends a request again.
OUTCOME_RETENTION_S = 120.0
MAX_PLACEMENTS_PER_TICK = 500
# The VM is asked for its list when an answer takes longer than this time and than this multiple of
# the VM's usual latency.
PROBE_AFTER_S = 2.0
PROBE_LATENCIES = 5.0
# Latency recorded for an endpoint that could not be reached, so that others are preferred.
UNREACHABLE_LATENCY_S = 1.0


def compute_retry_pause(shard: Shard, task: Task) -> float | None:
    """Returns the delay in seconds before a lost request may be retried.

    The retry is charged to the team's retry budget. The result is ``None`` if the budget is used
    up, the request is not repeatable, or it has had the maximum number of attempts.
    """
    row = shard.cell.teams.get(task.team)
    if not task.repeatable or row is None or not spend_retry(row, task):
        return None
    return compute_backoff(task.attempt, shard.context.random)


async def run_request(
    shard: Shard, queue: Queue, message: ttypes.RunRequest, action: str
) -> Outcome:
    """Admits and enqueues a request, and returns its outcome once there is one."""
    known = shard.tables.requests.get(message.request)
    if known is not None:
        return await asyncio.shield(known.future)
    now_s = shard.get_time()
    task = Task(
        message.request,
        message.team,
        message.queue,
        queue.kind,
        ONE_SLOT,
        submitted_s=now_s,
        deadline_s=now_s + message.deadline_ms / 1000,
        repeatable=bool(message.repeatable),
    )
    if task.name in shard.tables.inherited_requests:
        await _wait_for_inherited(shard, task)
        if not task.repeatable or not shard.is_owned() or shard.get_time() > task.deadline_s:
            detail = "the request was started by a former owner of the shard"
            return Unknown(make_fault(shard, Reason.OWNER_CHANGED, Step.RECOVER, detail))
    fault = admit_request(
        shard.cell, queue, task, now_s, shard.context.node, shard.tables.mean_service_s
    )
    future = asyncio.get_running_loop().create_future()
    entry = RequestEntry(task, message.payload or b"", future, action)
    shard.tables.requests[task.name] = entry
    if fault is not None:
        finish_entry(shard, entry, NotRun(fault))
        return NotRun(fault)
    enqueue_task(shard.cell, task)
    schedule_tick(shard, immediately=isinstance(task.kind, Urgent))
    return await asyncio.shield(future)


async def _wait_for_inherited(shard: Shard, task: Task):
    """Waits for the end of an attempt that was started by a former owner of the shard."""
    tables = shard.tables
    while task.name in tables.inherited_requests and shard.tables is tables:
        await asyncio.sleep(shard.context.limits.renew_s)


def schedule_tick(shard: Shard, immediately: bool = False):
    """Schedules a tick: at once if ``immediately``, as for urgent work, else after ``tick_s``."""
    if not shard.is_owned():
        return
    loop = asyncio.get_running_loop()
    if immediately:
        if shard.tick_handle is not None:
            shard.tick_handle.cancel()
        shard.tick_handle = loop.call_later(0, run_tick, shard)
    elif shard.tick_handle is None:
        shard.tick_handle = loop.call_later(shard.context.limits.tick_s, run_tick, shard)


def run_tick(shard: Shard):
    """Runs the placement policies once and starts what they placed."""
    shard.tick_handle = None
    if not shard.is_owned() or not shard.cell.waiting:
        return
    placed = place_waiting(shard.cell, shard.get_time(), limit=MAX_PLACEMENTS_PER_TICK)
    changed_leases = {}
    for placement in placed:
        _start_placement(shard, placement, changed_leases)
    _preempt_batch_tasks(shard, changed_leases)
    for lease in changed_leases.values():
        shard.context.start_lease_call(shard, lease)


def _preempt_batch_tasks(shard: Shard, changed_leases: dict[str, Lease]):
    """Preempts batch tasks for urgent tasks that have found no room for a while."""
    cell = shard.cell
    pressed = find_blocked_urgent_tasks(cell)
    largest = find_largest(cell) if pressed else None
    for task in pressed:
        need = compute_allotment(cell.sizes, task, largest)
        for victim in choose_victims(cell, task, need, shard.get_time()):
            lease = shard.leases[victim.vm.name]
            lease.stop.add(victim.name)
            changed_leases[lease.name] = lease


def _start_placement(shard: Shard, placement: Placement, changed_leases: dict[str, Lease]):
    task, vm = placement.task, placement.vm
    lease = shard.leases[vm.name]
    shard.context.timeline.emit(Placed(task.name, task.team, vm.name, lease.epoch))
    if not is_valid(lease, shard.get_time()):
        _undo_placement(shard, task, vm)
        return
    shard.context.timeline.emit(AttemptStarted(task.name, task.attempt, vm.name, lease.epoch))
    if task.attempt == 1:
        earn_retry(shard.cell.teams[task.team])
    if task.need.slots:
        start_background(shard, _dispatch(shard, shard.tables.requests[task.name], lease))
        return
    lease.delivered.discard(task.name)
    lease.start[task.name] = StartTask(
        task.name, task.allotted, make_label(task), task.run_time_s, task.repeatable, task.team
    )
    changed_leases[lease.name] = lease


def _undo_placement(shard: Shard, task: Task, vm):
    task.attempt -= 1
    set_vm_state(shard.cell, vm, VmState.SUSPECT)
    release_allocation(shard.cell, task, shard.get_time())
    enqueue_task(shard.cell, task, front=True)
    schedule_tick(shard)


def start_background(shard: Shard, coroutine):
    """Starts a coroutine as a background task, which the shard references until it ends."""
    background = asyncio.create_task(await_and_log_errors(coroutine))
    shard.background.add(background)
    background.add_done_callback(shard.background.discard)


async def _dispatch(shard: Shard, entry: RequestEntry, lease: Lease):
    """Sends a request to its endpoint and handles the result.

    Meanwhile the attempt may have been given up, because its VM or the shard was given up. An
    answer then still counts as the outcome; any other result causes no retry here.
    """
    tables, task, vm, attempt = shard.tables, entry.task, entry.task.vm, entry.task.attempt
    started_s = shard.get_time()
    request = EndpointRequest(
        task.name, task.team, lease.epoch, task.repeatable, entry.payload, entry.action
    )
    call = asyncio.ensure_future(
        shard.context.holder.access.run(
            lease.listed.address, task.queue, request, shard.context.limits.endpoint_timeout_s
        )
    )
    await _probe_if_slow(shard, entry, lease, call)
    try:
        answer = await call
        result = "refused" if answer.refused else "done"
    except VmError as error:
        answer, result = None, "lost" if error.sent else "unreachable"
    lease.unresolved.discard(task.name)
    shard.context.timeline.emit(AttemptEnded(task.name, attempt, vm.name, result))
    current = shard.tables is tables and task.vm is vm and task.attempt == attempt
    if result == "done":
        if shard.tables is tables:
            _record_latency(tables, vm, shard.get_time() - started_s)
            end_task(shard.cell, task, TaskState.DONE, shard.get_time())
            schedule_tick(shard, immediately=True)
        finish_entry(shard, entry, Answered(answer.status, answer.body))
    elif result == "lost" and (current or shard.tables is not tables):
        _handle_lost_request(shard, entry, lease, current)
    elif current and shard.is_owned():
        _retry_unsent(shard, entry, result)
    elif shard.tables is not tables:
        fault = make_fault(shard, Reason.ENDPOINT_REFUSED, Step.DISPATCH, result)
        finish_without_answer(shard, entry, fault)


async def _probe_if_slow(shard: Shard, entry: RequestEntry, lease: Lease, call: asyncio.Future):
    """Asks the VM for its list when an answer takes much longer than usual.

    The connection may be dead without an error. If the list, under a raised epoch, does not show
    the request, it is resolved like one whose connection was lost; else the wait goes on.
    """
    vm = entry.task.vm
    await asyncio.wait({call}, timeout=max(PROBE_AFTER_S, PROBE_LATENCIES * vm.latency_s))
    if not call.done() and shard.leases.get(lease.name) is lease and entry.task.vm is vm:
        _request_fenced_list(shard, entry, lease)


def _request_fenced_list(shard: Shard, entry: RequestEntry, lease: Lease):
    """Asks a VM under a raised epoch for its list, which shows whether a request is there."""
    lease.unresolved.add(entry.task.name)
    lease.raise_epoch = True
    shard.context.start_lease_call(shard, lease)


def _record_latency(tables: Tables, vm: Vm, latency_s: float):
    observe_latency(vm, latency_s)
    tables.mean_service_s += SERVICE_TIME_WEIGHT * (latency_s - tables.mean_service_s)


def _handle_lost_request(shard: Shard, entry: RequestEntry, lease: Lease, current: bool):
    """Handles a request whose endpoint may have received it, though no answer will come.

    Its slot stays booked until the VM's list, under a raised epoch, shows that it is not running.
    Only then may it be retried, and only if it is repeatable.
    """
    entry.may_have_run = True
    if current:
        _request_fenced_list(shard, entry, lease)
    if not entry.task.repeatable or not current:
        detail = "contact with the endpoint was lost while it had the request"
        fault = make_fault(shard, Reason.ENDPOINT_LOST, Step.DISPATCH, detail)
        finish_entry(shard, entry, Unknown(fault))


def _retry_unsent(shard: Shard, entry: RequestEntry, detail: str):
    """Retries a request that certainly did not start, or ends it if the deadline is too close."""
    task = entry.task
    now_s = shard.get_time()
    observe_latency(task.vm, UNREACHABLE_LATENCY_S)
    release_allocation(shard.cell, task, now_s)
    pause_s = compute_backoff(task.attempt, shard.context.random)
    if now_s + pause_s < task.deadline_s:
        task.state = TaskState.STOPPED
        delay_call(shard, pause_s, requeue_request, shard, task)
        return
    shard.cell.tasks.pop(task.name, None)
    fault = make_fault(shard, Reason.ENDPOINT_REFUSED, Step.DISPATCH, detail)
    finish_without_answer(shard, entry, fault)


def requeue_request(shard: Shard, task: Task):
    """Puts a request back at the head of its queue after its backoff, unless it has ended."""
    entry = shard.tables.requests.get(task.name)
    if task.state is not TaskState.STOPPED or entry is None or entry.future.done():
        return
    enqueue_task(shard.cell, task, front=True)
    schedule_tick(shard, immediately=True)


def expire_requests(shard: Shard):
    """Ends requests whose deadline passed while they waited, and drops old outcomes."""
    now_s = shard.get_time()
    for task in drop_expired(shard.cell, now_s):
        entry = shard.tables.requests.get(task.name)
        if entry is None:
            continue
        detail = "the request got no endpoint slot before the deadline"
        fault = make_fault(shard, Reason.DEADLINE, Step.QUEUE, detail)
        finish_without_answer(shard, entry, fault)
    old = [
        name
        for name, entry in shard.tables.requests.items()
        if entry.ended_s and now_s - entry.ended_s > OUTCOME_RETENTION_S
    ]
    for name in old:
        del shard.tables.requests[name]


def end_unanswered_requests(shard: Shard):
    """Ends the requests whose endpoint hasn't answered, because the placer stops: it may have run.

    The connection to an endpoint can be silent for good, and its timeout may end after the drain.
    """
    for entry in list(shard.tables.requests.values()):
        if not entry.future.done():
            entry.may_have_run = True
            detail = "the endpoint had not answered when the placer stopped"
            fault = make_fault(shard, Reason.ENDPOINT_LOST, Step.DISPATCH, detail)
            finish_entry(shard, entry, Unknown(fault))


def count_in_flight(shard: Shard) -> int:
    """Returns the number of requests that are at an endpoint or wait in this shard."""
    return sum(not entry.future.done() for entry in shard.tables.requests.values())
