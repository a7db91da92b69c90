"""Simulated callers that submit, query and cancel jobs, and encoders of published documents."""

import asyncio
import random
from collections.abc import Sequence

import aiohttp
import orjson

from ..core.resource import Resources
from ..jobs.data import JobQueue, JobSpec, StepSpec
from .verdict import CallerRecords

TIMEOUT_S = 3.0
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.2
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
# The cap of a team that has none.
UNLIMITED = {"cpu": 0.0, "memMb": None}
# Response statuses that guarantee that the job does not run.
REJECTED_STATUSES = frozenset({400, 401, 404, 429, 503})


def encode_step(step: StepSpec) -> dict:
    """Returns a step as callers encode it in the body of a request, without empty fields.

    Amounts have a decimal point, which JSON allows in every number.
    """
    fields = {
        "count": step.count,
        "cpu": float(step.need.millicores),
        "memMb": float(step.need.memory_mb),
        "estimatedMs": step.estimate_s * 1000,
        "after": list(step.after),
        "gang": step.gang,
        "antiAffinity": step.max_per_vm,
        "checkpointing": step.checkpoints,
        "longRunning": step.endless,
    }
    return {name: value for name, value in fields.items() if value}


def encode_job(spec: JobSpec) -> dict:
    """Returns a job as callers encode it in the body of a request, without empty fields."""
    message = {"spec": spec.payload, "steps": [encode_step(step) for step in spec.steps]}
    if spec.repeats:
        message["repetitions"] = spec.repeats
        message["startAtMs"] = round(spec.first_due_s * 1000)
        message["intervalMs"] = round(spec.interval_s * 1000)
    return message


def encode_configuration(
    version: int,
    queues: dict[str, JobQueue],
    *keys: str,
    weights: Sequence[float] = (),
    caps: dict[str, Resources] | None = None,
) -> bytes:
    """Returns a configuration with a team for each key, encoded as the operators publish it.

    The teams are named ``team-0`` and so on. ``caps`` are the quotas of those that have one, and
    all weigh the same without ``weights``. Numbers are written in all the ways that JSON allows.
    """
    routes = [_encode_queue(queue) for queue in queues.values()]
    tenants = [
        {
            "name": f"team-{number}",
            "weight": float(weights[number]) if weights else 100.0,
            "apiKeys": [key],
            "cap": _encode_cap((caps or {}).get(f"team-{number}")),
        }
        for number, key in enumerate(keys)
    ]
    return orjson.dumps({"version": version, "routes": routes, "tenants": tenants})


def _encode_cap(cap: Resources | None) -> dict:
    return UNLIMITED if cap is None else {"cpu": cap.millicores, "memMb": cap.memory_mb}


def _encode_queue(queue: JobQueue) -> dict:
    route = {
        "name": queue.name,
        "host": queue.host,
        "pathPrefix": queue.path,
        "service": queue.service,
        "priority": queue.priority,
        "maxAttempts": float(queue.max_attempts),
        "targetFactor": queue.stretch,
        "targetLatencyMs": queue.latency_s * 1000,
    }
    if queue.advice is not None:
        route["recommendation"] = {
            "decisionMs": queue.advice.decision_s * 1000,
            "periodMs": queue.advice.per_vm_s * 1000,
            "validityMs": queue.advice.valid_s * 1000,
        }
    return route


def encode_vm_entry(listed, draining: bool = False) -> bytes:
    """Returns the registry entry that a VM writes to register itself."""
    return orjson.dumps(
        {
            "service": listed.service,
            "address": listed.address,
            "zone": listed.zone,
            "state": "draining" if draining else "available",
            "born": listed.incarnation,
            "labels": list(listed.labels),
            "capacity": {"cpu": listed.capacity.millicores, "memMb": listed.capacity.memory_mb},
        }
    )


class Callers:
    """Simulated callers, which keep their connections and pick a random node for each request.

    A submission that gets no response is therefore usually retried at another node.
    """

    def __init__(
        self, frontends: list[str], key: str, caller_records: CallerRecords, rng: random.Random
    ):
        self.frontends = frontends
        self.headers = {"Authorization": f"Bearer {key}"}
        self.rng = rng
        self.caller_records = caller_records
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))

    async def submit(self, job_id: str, spec: JobSpec, queue: JobQueue):
        """Submits a job, with retries until it is accepted or the attempts are used up.

        The job counts as rejected only if every attempt got a status that guarantees that it does
        not run; otherwise its outcome is unknown.
        """
        self.caller_records.jobs[job_id], self.caller_records.queues[job_id] = spec, queue
        message = encode_job(spec)
        always_rejected = True
        for _ in range(MAX_ATTEMPTS):
            status = await self._send_request("POST", self._pick_frontend(), queue, job_id, message)
            if status == 200:
                self.caller_records.accepted.add(job_id)
                return
            always_rejected = always_rejected and status in REJECTED_STATUSES
            await asyncio.sleep(RETRY_DELAY_S)
        if always_rejected:
            self.caller_records.rejected.add(job_id)

    async def cancel(self, job_id: str):
        """Sends one request to cancel a job, without retries."""
        self.caller_records.cancel_requested.add(job_id)
        await self._send_request(
            "DELETE", self._pick_frontend(), self.caller_records.queues[job_id], job_id
        )

    async def ask(self, frontend: str, job_id: str, queue: JobQueue) -> str:
        """Returns the state of a job as a node reports it, or a text on why the query failed."""
        url = f"http://{frontend}{queue.path}{job_id}"
        headers = {**self.headers, "Host": queue.host}
        try:
            async with self.session.get(url, headers=headers) as response:
                body = await response.read()
                if response.status != 200:
                    return f"status {response.status}"
                return orjson.loads(body)["state"]
        except CONNECTION_ERRORS as error:
            return f"no response: {type(error).__name__}"

    def _pick_frontend(self) -> str:
        return self.rng.choice(self.frontends)

    async def _send_request(
        self, method: str, frontend: str, queue: JobQueue, job_id: str, message=None
    ):
        url = f"http://{frontend}{queue.path}{job_id}"
        headers = {**self.headers, "Host": queue.host, "Deadline-Ms": str(int(TIMEOUT_S * 1000))}
        data = None if message is None else orjson.dumps(message)
        try:
            async with self.session.request(method, url, headers=headers, data=data) as response:
                await response.read()
                return response.status
        except CONNECTION_ERRORS:
            return None

    async def close(self):
        """Closes the HTTP session with all its connections."""
        await self.session.close()
