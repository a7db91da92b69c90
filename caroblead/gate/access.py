"""Access control: checks keys, queues and teams, and builds the response to a refused call."""

import asyncio
import hashlib
import secrets

from aiohttp import web

from ..config.state import find_key_team
from ..core.data import Queue, takes_jobs, takes_requests
from ..core.outcome import Fault, Reason, Step
from .message import HTTP_STATUS, UNAVAILABLE_STATUS, describe_fault, make_retry_headers
from .process import GateProcess

# How long a gate that has just started waits for its first configuration before it refuses calls.
FIRST_CONFIG_TIMEOUT_S = 2.0


class RefusalError(Exception):
    """Raised to stop handling a call and refuse it with the given faults."""

    def __init__(self, *faults: Fault):
        super().__init__(faults[0].detail)
        self.faults = faults


def make_error_response(gate: GateProcess, faults) -> web.Response:
    """Returns the HTTP response to a refused call; it lists every fault if there are several."""
    first = faults[0]
    document = {"outcome": "not_run", "error": describe_fault(first)}
    if len(faults) > 1:
        document["errors"] = [describe_fault(fault) for fault in faults]
    status = HTTP_STATUS.get(first.reason, UNAVAILABLE_STATUS)
    return web.json_response(
        document, status=status, headers=make_retry_headers(first.retry_after_s)
    )


def make_fault(
    gate: GateProcess, reason: Reason, step: Step, detail: str, field: str = ""
) -> Fault:
    """Returns a fault with this gate's node as the peer at which it arose."""
    return Fault(reason, step, gate.settings.node, detail, field)


def read_key_digest(gate: GateProcess, request: web.Request) -> str:
    """Returns the SHA-256 hex digest of the bearer key, or an empty string if none was sent."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    return hashlib.sha256(key.strip().encode()).hexdigest()


def check_key(gate: GateProcess, digest: str) -> str:
    """Returns the team that a key belongs to; refuses a missing or unknown key."""
    if not digest:
        raise RefusalError(
            make_fault(gate, Reason.NO_KEY, Step.CHECK_KEY, "no bearer key was sent")
        )
    team = find_key_team(gate.follower.state, digest)
    if team is None:
        raise RefusalError(make_fault(gate, Reason.BAD_KEY, Step.CHECK_KEY, "the key is not valid"))
    return team


async def find_queue(gate: GateProcess, request: web.Request, for_requests: bool) -> Queue:
    """Returns the queue named in the path; refuses if no such queue accepts this type of work."""
    await wait_for_config(gate)
    name = request.match_info["queue"]
    queue = gate.follower.state.queues.get(name)
    accepts = takes_requests if for_requests else takes_jobs
    if queue is None or not accepts(queue.kind):
        work_type = "requests" if for_requests else "jobs"
        detail = f"no queue {name!r} accepts {work_type}"
        raise RefusalError(make_fault(gate, Reason.NO_SUCH_QUEUE, Step.ADMIT, detail, "queue"))
    return queue


async def wait_for_config(gate: GateProcess):
    """Waits until this process has a configuration; refuses after ``FIRST_CONFIG_TIMEOUT_S``."""
    end_s = gate.timers.get_time() + FIRST_CONFIG_TIMEOUT_S
    while gate.follower.state.number == 0:
        if gate.timers.get_time() > end_s:
            detail = "this gate has no configuration yet"
            raise RefusalError(
                Fault(Reason.NO_CONFIG, Step.ADMIT, gate.settings.node, detail, "", 1.0)
            )
        await asyncio.sleep(0.05)
    await gate.follower.ensure_fresh()


def find_team(gate: GateProcess, queue: Queue, digest: str) -> tuple[str, bool]:
    """Returns the team that work on a queue belongs to, and whether that is the open team.

    On an open queue, work without a key or with the key of another team belongs to the open team.
    """
    if queue.open_team and not digest:
        return queue.open_team, True
    team = check_key(gate, digest)
    if team in queue.teams:
        return team, False
    if queue.open_team:
        return queue.open_team, True
    detail = f"team {team!r} may not use queue {queue.name!r}"
    raise RefusalError(make_fault(gate, Reason.FORBIDDEN, Step.CHECK_KEY, detail))


def check_operator(gate: GateProcess, request: web.Request):
    """Refuses a call without the operator key; any call passes if no such key is configured."""
    expected = gate.site.platform.operator_key_digest
    digest = read_key_digest(gate, request)
    if expected and not secrets.compare_digest(expected, digest):
        reason = Reason.BAD_KEY if digest else Reason.NO_KEY
        raise RefusalError(make_fault(gate, reason, Step.CHECK_KEY, "an operator key is required"))
