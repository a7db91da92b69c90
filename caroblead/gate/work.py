"""Callers' work: requests that wait for their answer, and jobs."""

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
    read_key,
    wait_for_config,
)
from .message import (
    JobBody,
    RequestBody,
    describe_outcome,
    digest_bytes,
    make_retry,
    name_outcome,
    parse_body,
)
from .process import GateProcess
from .route import RequestCall

# So many digits of a key's digest name it in the time line.
KEY_SHOWN = 12
CALL_TIMEOUT_S = 3.0


async def take_request(gate: GateProcess, request: web.Request):
    """Takes a request, sees it through to its outcome and answers it."""
    arrived_s = gate.timers.get_time()
    gate.in_flight += 1
    try:
        queue = await find_queue(gate, request, for_requests=True)
        parsed = parse_body(RequestBody, await request.read())
        if parsed.faults:
            raise RefusalError(*parsed.faults)
        call = _accept_request(gate, queue, parsed.value, read_key(gate, request))
        with eliot.start_action(action_type="gate:request", request=call.request) as action:
            call.action = action.serialize_task_id().decode()
            outcome = await gate.router.run(gate.follower.state, call)
        return _answer(gate, queue, call.request, outcome, arrived_s)
    finally:
        gate.in_flight -= 1


def _accept_request(gate: GateProcess, queue: Queue, body: RequestBody, digest: str) -> RequestCall:
    """Accepts a request for a team, once its key allows it."""
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
            digest[:KEY_SHOWN],
            team if not is_open else "",
            is_open,
            call.repeatable,
            digest_bytes(payload),
        )
    )
    return call


def _answer(gate: GateProcess, queue: Queue, request: str, outcome: Outcome, arrived_s: float):
    """Returns the answer with a request's outcome."""
    status, shown, retry_s = describe_outcome(request, outcome)
    reason = "" if isinstance(outcome, Answered) else str(outcome.fault.reason)
    body = digest_bytes(outcome.body) if isinstance(outcome, Answered) else ""
    gate.timeline.emit(AnswerSent(request, name_outcome(outcome), body, reason))
    gate.metrics.count_outcome(queue.name, name_outcome(outcome), reason)
    gate.metrics.record_wait(queue.name, gate.timers.get_time() - arrived_s)
    return web.json_response(shown, status=status, headers=make_retry(retry_s))


async def take_job(gate: GateProcess, request: web.Request):
    """Takes a job and answers once it is recorded or refused."""
    queue = await find_queue(gate, request, for_requests=False)
    parsed = parse_body(JobBody, await request.read())
    if parsed.faults:
        raise RefusalError(*parsed.faults)
    team, _ = find_team(gate, queue, read_key(gate, request))
    gate.in_flight += 1
    try:
        return await _submit(gate, queue, team, parsed.value)
    finally:
        gate.in_flight -= 1


async def _submit(gate: GateProcess, queue: Queue, team: str, body: JobBody):
    """Offers a job to the shards of its queue, the roomiest first, until one takes it."""
    choices = gate.router.list_choices(gate.follower.state, queue)
    if body.name:
        mark = hashlib.sha256(f"{team}/{body.name}".encode()).hexdigest()[:16]
        names = sorted(choices)
        shards = names[int(mark, 16) % len(names) :][:1] if names else []
    else:
        mark = secrets.token_hex(8)
        shards = sorted(
            choices,
            key=lambda shard: choices[shard].shards[shard].free_millicores,
            reverse=True,
        )
    outcome: Outcome = NotRun(
        Fault(Reason.NO_PLACER, Step.ROUTE, gate.settings.node, "no shard has an owner", "", 2)
    )
    for shard in shards:
        job = f"j-{shard}-{mark}"
        outcome = await _submit_to(gate, choices[shard], shard, job, queue, team, body)
        if isinstance(outcome, Answered):
            shown = {"outcome": "accepted", "job": job, "tasks": body.tasks}
            return web.json_response(shown, status=outcome.status)
        if isinstance(outcome, Unknown):
            break
    status, shown, retry_s = describe_outcome("", outcome)
    shown["job"] = f"j-{shards[0]}-{mark}" if isinstance(outcome, Unknown) else ""
    return web.json_response(shown, status=status, headers=make_retry(retry_s))


async def _submit_to(gate: GateProcess, owner, shard, job, queue, team, body: JobBody) -> Outcome:
    """Offers a job to the owner of one shard."""
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
        return from_reply(await gate.caller.call(owner.placer, message, 2 * CALL_TIMEOUT_S))
    except CallError as error:
        return Unknown(error.fault) if error.sent else NotRun(error.fault)


async def _ask_owners(gate: GateProcess, message) -> list:
    """Sends a message to every owner of a shard and returns the replies that came."""
    owners = {owner.node: owner for owner in gate.list_owned().values()}
    replies = await asyncio.gather(
        *(gate.caller.call(o.placer, message, CALL_TIMEOUT_S) for o in owners.values()),
        return_exceptions=True,
    )
    return [reply for reply in replies if isinstance(reply, ttypes.Reply)]


async def list_jobs(gate: GateProcess, request: web.Request):
    """Answers with the jobs of the key's team, or with one of them."""
    await wait_for_config(gate)
    team = check_key(gate, read_key(gate, request))
    job = request.match_info.get("job")
    replies = await _ask_owners(gate, ttypes.ListJobs(team=team, job=job))
    jobs = [describe_job(item) for reply in replies for item in reply.jobs or ()]
    if job is None:
        return web.json_response({"jobs": sorted(jobs, key=lambda item: item["job"])})
    if not jobs:
        detail = f"no job {job!r} of team {team!r}"
        raise RefusalError(make_fault(gate, Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job"))
    return web.json_response(jobs[0])


async def cancel_job(gate: GateProcess, request: web.Request):
    """Cancels a job of the key's team, whoever owns it."""
    await wait_for_config(gate)
    team = check_key(gate, read_key(gate, request))
    job = request.match_info["job"]
    replies = await _ask_owners(gate, ttypes.CancelJob(job=job, team=team))
    if any(reply.outcome == ANSWERED for reply in replies):
        return web.json_response({"outcome": "cancelled", "job": job})
    faults = [from_reply(reply).fault for reply in replies if reply.fault]
    worst = [fault for fault in faults if fault.reason is not Reason.NO_SUCH_JOB]
    detail = f"no job {job!r} of team {team!r}"
    missing = make_fault(gate, Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job")
    raise RefusalError(*(worst or [missing]))


def describe_job(item: ttypes.JobState) -> dict:
    """Returns the state of a job as it is shown to callers."""
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
