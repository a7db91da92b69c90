"""Callers and operators of the platform: they hand jobs in, ask for them and publish documents."""

import asyncio
import random

import aiohttp
import orjson

from ..jobs.data import JobQueue, JobSpec, StepSpec
from .verdict import Notes

TIMEOUT_S = 3.0
ATTEMPTS = 6
RETRY_S = 0.2
ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
# Answers that promise that the job doesn't run.
REJECTED_STATUSES = frozenset({400, 401, 404, 429, 503})


def encode_step(step: StepSpec) -> dict:
    """Returns a step as callers write it."""
    fields = {
        "count": step.count,
        "cpu": step.need.millicores,
        "memMb": step.need.memory_mb,
        "estimatedMs": int(step.estimate_s * 1000),
        "after": list(step.after),
        "gang": step.gang,
        "antiAffinity": step.max_per_vm,
    }
    return {name: value for name, value in fields.items() if value}


def encode_configuration(version: int, queues: dict[str, JobQueue], key: str) -> bytes:
    """Returns a configuration as the operators publish it, with one team."""
    routes = [
        {
            "name": queue.name,
            "host": queue.host,
            "pathPrefix": queue.path,
            "service": queue.service,
            "priority": queue.priority,
            "maxAttempts": queue.max_attempts,
        }
        for queue in queues.values()
    ]
    tenants = [{"name": "north", "weight": 100, "apiKeys": [key], "cap": {}}]
    return orjson.dumps({"version": version, "routes": routes, "tenants": tenants})


def encode_entry(listed, draining: bool = False) -> bytes:
    """Returns the entry by which a VM registers itself."""
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
    """Callers that keep their connections and try other nodes when one does not answer."""

    def __init__(self, frontends: list[str], key: str, notes: Notes, draw: random.Random):
        self.frontends = frontends
        self.headers = {"Authorization": f"Bearer {key}"}
        self.draw = draw
        self.notes = notes
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))

    async def submit(self, job_id: str, spec: JobSpec, queue: JobQueue):
        """Hands a job in, again and again until there is an answer that says something."""
        self.notes.jobs[job_id], self.notes.queues[job_id] = spec, queue
        message = {"spec": spec.payload, "steps": [encode_step(step) for step in spec.steps]}
        told_no = True
        for _ in range(ATTEMPTS):
            status = await self._call("POST", self._pick(), queue, job_id, message)
            if status == 200:
                self.notes.accepted.add(job_id)
                return
            told_no = told_no and status in REJECTED_STATUSES
            await asyncio.sleep(RETRY_S)
        if told_no:
            self.notes.rejected.add(job_id)

    async def cancel(self, job_id: str):
        """Cancels a job."""
        self.notes.cancel_asked.add(job_id)
        await self._call("DELETE", self._pick(), self.notes.queues[job_id], job_id)

    async def ask(self, frontend: str, job_id: str, queue: JobQueue) -> str:
        """Returns the state of a job as a node shows it, or why there is none."""
        url = f"http://{frontend}{queue.path}{job_id}"
        headers = {**self.headers, "Host": queue.host}
        try:
            async with self.session.get(url, headers=headers) as response:
                body = await response.read()
                if response.status != 200:
                    return f"status {response.status}"
                return orjson.loads(body)["state"]
        except ERRORS as error:
            return f"no answer: {type(error).__name__}"

    def _pick(self) -> str:
        return self.draw.choice(self.frontends)

    async def _call(self, method: str, frontend: str, queue: JobQueue, job_id: str, message=None):
        url = f"http://{frontend}{queue.path}{job_id}"
        headers = {**self.headers, "Host": queue.host, "Deadline-Ms": str(int(TIMEOUT_S * 1000))}
        data = None if message is None else orjson.dumps(message)
        try:
            async with self.session.request(method, url, headers=headers, data=data) as response:
                await response.read()
                return response.status
        except ERRORS:
            return None

    async def close(self):
        """Closes all connections."""
        await self.session.close()
