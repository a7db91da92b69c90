"""HTTP handlers for callers: requests, whose caller waits for the answer, and jobs."""

import asyncio
import hashlib
import json
import math
import secrets

import eliot
from aiohttp import web

from ..core.data import Queue, name_kind
from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step, Unknown
from ..events.event import AnswerSent, RequestAccepted
from ..wire.call import CallError
from ..wire.convert import ANSWERED, from_reply
from ..wire.gen import ttypes
from .access import (
    RefusalError,
    check_key,
    find_queue,
    find_team,
    make_fault,
    read_key_digest,
    wait_for_config,
)
from .message import (
    JobBody,
    RequestBody,
    describe_outcome,
    digest_bytes,
    make_retry_headers,
    name_outcome,
    parse_body,
)
from .process import GateProcess
from .route import RequestCall

# Number of leading hex digits of a key's digest that identify the key in the timeline.
KEY_PREFIX_LENGTH = 12
CALL_TIMEOUT_S = 3.0


async def handle_request(gate: GateProcess, request: web.Request):
    """Accepts a request, routes it until it has an outcome and returns that outcome."""
    arrived_s = gate.timers.get_time()
    gate.in_flight += 1
    try:
        queue = await find_queue(gate, request, for_requests=True)
        parsed = parse_body(RequestBody, await request.read())
        if parsed.faults:
            raise RefusalError(*parsed.faults)
        call = _accept_request(gate, queue, parsed.value, read_key_digest(gate, request))
        with eliot.start_action(action_type="gate:request", request=call.request) as action:
            call.action = action.serialize_task_id().decode()
            outcome = await gate.router.run(gate.follower.state, call)
        return _make_response(gate, queue, call.request, outcome, arrived_s)
    finally:
        gate.in_flight -= 1


def _accept_request(gate: GateProcess, queue: Queue, body: RequestBody, digest: str) -> RequestCall:
    """Accepts a request for its team, once the key is found to be allowed on the queue."""
    team, is_open = find_team(gate, queue, digest)
    gate.sequence += 1
    payload = json.dumps(body.payload, separators=(",", ":")).encode()
    repeatable = queue.repeatable if body.repeatable is None else body.repeatable
    call = RequestCall(
        f"r-{gate.incarnation}-{gate.sequence}",
        team,
        queue,
        repeatable and queue.repeatable,
        min(body.deadline_s or queue.deadline_s, queue.deadline_s),
        payload,
        "",
    )
    gate.timeline.emit(
        RequestAccepted(
            call.request,
            team,
            queue.name,
            digest[:KEY_PREFIX_LENGTH],
            team if not is_open else "",
            is_open,
            call.repeatable,
            digest_bytes(payload),
        )
    )
    return call


def _make_response(
    gate: GateProcess, queue: Queue, request: str, outcome: Outcome, arrived_s: float
):
    """Returns the HTTP response with the outcome of a request, and records event and metrics."""
    status, document, retry_s = describe_outcome(request, outcome)
    reason = "" if isinstance(outcome, Answered) else str(outcome.fault.reason)
    body = digest_bytes(outcome.body) if isinstance(outcome, Answered) else ""
    gate.timeline.emit(AnswerSent(request, name_outcome(outcome), body, reason))
    gate.metrics.count_outcome(queue.name, name_outcome(outcome), reason)
    gate.metrics.record_latency(queue.name, gate.timers.get_time() - arrived_s)
    return web.json_response(document, status=status, headers=make_retry_headers(retry_s))


async def handle_job(gate: GateProcess, request: web.Request):
    """Submits a job and responds once it is recorded or refused."""
    queue = await find_queue(gate, request, for_requests=False)
    parsed = parse_body(JobBody, await request.read())
    if parsed.faults:
        raise RefusalError(*parsed.faults)
    team, _ = find_team(gate, queue, read_key_digest(gate, request))
    gate.in_flight += 1
    try:
        return await _submit(gate, queue, team, parsed.value)
    finally:
        gate.in_flight -= 1


async def _submit(gate: GateProcess, queue: Queue, team: str, body: JobBody):
    """Offers a job to the shards of its queue, one by one, until one accepts it.

    A named job is offered only to the shard that a hash of team and name selects among those with
    an owner, so that a repeated submission reaches the same job. Any other job is offered to the
    shard with the most free cores first.
    """
    candidates = gate.router.list_candidates(gate.follower.state, queue)
    if body.name:
        job_suffix = hashlib.sha256(f"{team}/{body.name}".encode()).hexdigest()[:16]
        names = sorted(candidates)
        shards = names[int(job_suffix, 16) % len(names) :][:1] if names else []
    else:
        job_suffix = secrets.token_hex(8)
        shards = sorted(
            candidates,
            key=lambda shard: candidates[shard].shards[shard].free_millicores,
            reverse=True,
        )
    outcome: Outcome = NotRun(
        Fault(Reason.NO_PLACER, Step.ROUTE, gate.settings.node, "no shard has an owner", "", 2)
    )
    for shard in shards:
        job = f"j-{shard}-{job_suffix}"
        outcome = await _submit_to_owner(gate, candidates[shard], shard, job, queue, team, body)
        if isinstance(outcome, Answered):
            document = {"outcome": "accepted", "job": job, "tasks": body.tasks}
            return web.json_response(document, status=outcome.status)
        if isinstance(outcome, Unknown):
            break
    status, document, retry_s = describe_outcome("", outcome)
    document["job"] = f"j-{shards[0]}-{job_suffix}" if isinstance(outcome, Unknown) else ""
    return web.json_response(document, status=status, headers=make_retry_headers(retry_s))


async def _submit_to_owner(
    gate: GateProcess, owner, shard, job, queue, team, body: JobBody
) -> Outcome:
    """Submits a job to the owner of one shard."""
    message = ttypes.SubmitJob(
        job=job,
        shard=shard,
        team=team,
        queue=queue.name,
        tasks=body.tasks,
        millicores=math.ceil(body.cores * 1000),
        memory_mb=body.memory_mb,
        accelerators=body.accelerators,
        run_time_ms=0 if name_kind(queue.kind) == "service" else int(body.run_time_s * 1000),
        deadline_ms=int((body.deadline_s or 0) * 1000),
        repeatable=body.repeatable and queue.repeatable,
    )
    try:
        return from_reply(await gate.rpc_client.call(owner.placer, message, 2 * CALL_TIMEOUT_S))
    except CallError as error:
        return Unknown(error.fault) if error.sent else NotRun(error.fault)


async def _call_owners(gate: GateProcess, message) -> list:
    """Calls every shard owner concurrently and returns the replies; failed calls are left out."""
    owners = {owner.node: owner for owner in gate.list_shard_owners().values()}
    replies = await asyncio.gather(
        *(gate.rpc_client.call(o.placer, message, CALL_TIMEOUT_S) for o in owners.values()),
        return_exceptions=True,
    )
    return [reply for reply in replies if isinstance(reply, ttypes.Reply)]


async def list_jobs(gate: GateProcess, request: web.Request):
    """Returns the jobs of the key's team, or the one job that the path names."""
    await wait_for_config(gate)
    team = check_key(gate, read_key_digest(gate, request))
    job = request.match_info.get("job")
    replies = await _call_owners(gate, ttypes.ListJobs(team=team, job=job))
    jobs = [describe_job(item) for reply in replies for item in reply.jobs or ()]
    if job is None:
        return web.json_response({"jobs": sorted(jobs, key=lambda item: item["job"])})
    if not jobs:
        detail = f"no job {job!r} of team {team!r}"
        raise RefusalError(make_fault(gate, Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job"))
    return web.json_response(jobs[0])


async def cancel_job(gate: GateProcess, request: web.Request):
    """Cancels a job of the key's team; asks all owners, as the gate does not know which has it."""
    await wait_for_config(gate)
    team = check_key(gate, read_key_digest(gate, request))
    job = request.match_info["job"]
    replies = await _call_owners(gate, ttypes.CancelJob(job=job, team=team))
    if any(reply.outcome == ANSWERED for reply in replies):
        return web.json_response({"outcome": "cancelled", "job": job})
    faults = [from_reply(reply).fault for reply in replies if reply.fault]
    other_faults = [fault for fault in faults if fault.reason is not Reason.NO_SUCH_JOB]
    detail = f"no job {job!r} of team {team!r}"
    not_found = make_fault(gate, Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job")
    raise RefusalError(*(other_faults or [not_found]))


def describe_job(item: ttypes.JobState) -> dict:
    """Returns the JSON form of a job's state that callers get."""
    return {
        "job": item.job,
        "queue": item.queue,
        "kind": item.detail,
        "state": item.state,
        "tasks": item.tasks,
        "waiting": item.waiting,
        "running": item.running,
        "done": item.done,
        "failed": item.failed,
        "unknown": item.unknown,
    }
