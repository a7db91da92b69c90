"""Who may do what: keys, queues and teams, and the answer to what is refused."""

import asyncio
import hashlib
import secrets

from aiohttp import web

from ..config.state import find_key_team
from ..core.data import Queue, takes_jobs, takes_requests
from ..core.outcome import Fault, Reason, Step
from .message import HTTP_STATUS, UNAVAILABLE, describe_fault, make_retry
from .process import GateProcess

# How long a fresh gate waits for its first configuration before it refuses.
FIRST_CONFIG_S = 2.0


class RefusalError(Exception):
    """Ends the handling of a caller's call with faults."""

    def __init__(self, *faults: Fault):
        super().__init__(faults[0].detail)
        self.faults = faults


def refuse(gate: GateProcess, faults) -> web.Response:
    """Returns the answer to a call that is refused, with every fault."""
    first = faults[0]
    shown = {"outcome": "not_run", "error": describe_fault(first)}
    if len(faults) > 1:
        shown["errors"] = [describe_fault(fault) for fault in faults]
    status = HTTP_STATUS.get(first.reason, UNAVAILABLE)
    return web.json_response(shown, status=status, headers=make_retry(first.retry_after_s))


def make_fault(
    gate: GateProcess, reason: Reason, step: Step, detail: str, field: str = ""
) -> Fault:
    """Returns a fault that arose in this gate."""
    return Fault(reason, step, gate.settings.node, detail, field)


def read_key(gate: GateProcess, request: web.Request) -> str:
    """Returns the digest of the bearer key, or nothing when none came."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    return hashlib.sha256(key.strip().encode()).hexdigest()


def check_key(gate: GateProcess, digest: str) -> str:
    """Returns the team of a key, or refuses."""
    if not digest:
        raise RefusalError(make_fault(gate, Reason.NO_KEY, Step.CHECK_KEY, "no bearer key came"))
    team = find_key_team(gate.follower.state, digest)
    if team is None:
        raise RefusalError(make_fault(gate, Reason.BAD_KEY, Step.CHECK_KEY, "the key is not valid"))
    return team


async def find_queue(gate: GateProcess, request: web.Request, for_requests: bool) -> Queue:
    """Returns the queue that a call names, or refuses."""
    await wait_for_config(gate)
    name = request.match_info["queue"]
    queue = gate.follower.state.queues.get(name)
    takes = takes_requests if for_requests else takes_jobs
    if queue is None or not takes(queue.kind):
        what = "requests" if for_requests else "jobs"
        detail = f"no queue {name!r} takes {what}"
        raise RefusalError(make_fault(gate, Reason.NO_SUCH_QUEUE, Step.ADMIT, detail, "queue"))
    return queue


async def wait_for_config(gate: GateProcess):
    """Gives a fresh process a moment to learn the configuration before it refuses."""
    end_s = gate.timers.get_time() + FIRST_CONFIG_S
    while gate.follower.state.number == 0:
        if gate.timers.get_time() > end_s:
            detail = "no configuration is known here yet"
            raise RefusalError(
                Fault(Reason.NO_CONFIG, Step.ADMIT, gate.settings.node, detail, "", 1.0)
            )
        await asyncio.sleep(0.05)
    await gate.follower.ensure_fresh()


def find_team(gate: GateProcess, queue: Queue, digest: str) -> tuple[str, bool]:
    """Returns the team that work on a queue is for, and whether the queue is open."""
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
    """Refuses a call that did not come with the operator's key."""
    wanted = gate.site.platform.operator_key_digest
    digest = read_key(gate, request)
    if wanted and not secrets.compare_digest(wanted, digest):
        reason = Reason.BAD_KEY if digest else Reason.NO_KEY
        raise RefusalError(make_fault(gate, reason, Step.CHECK_KEY, "an operator's key is needed"))
