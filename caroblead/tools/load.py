"""The load generator: sends work to the gates as callers do and counts every outcome.

It picks a gate at random for each request, as a load balancer does, and tries another one only when
no connection could be made. The outcome of each request and the digests of what was sent and got
go to the timeline, so that the checker can compare them.
"""

import asyncio
import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from ..events.event import AnswerReceived
from ..events.timeline import Timeline
from ..gate.message import digest_bytes

REQUEST_TIMEOUT_S = 150.0
# The longest wait that the histograms can hold: 10 minutes.
MAX_WAIT_US = 600_000_000
NO_CONNECTION = aiohttp.ClientConnectorError


@dataclass(slots=True, frozen=True)
class RequestPlan:
    """One request to send.

    ``at_s`` counts from the start of the load; ``kind`` selects the histogram of its wait.
    """

    at_s: float
    queue: str
    key: str
    kind: str


@dataclass(slots=True, frozen=True)
class JobPlan:
    """One job to submit; ``at_s`` counts from the start of the load."""

    at_s: float
    queue: str
    key: str
    body: dict


@dataclass(slots=True)
class LoadResult:
    """The results of a load: outcomes, reasons, accepted jobs, and waits in microseconds by kind.

    The outcome ``crossed`` counts answers that belong to another request, besides ``answered``.
    """

    requests: int = 0
    outcomes: Counter = field(default_factory=Counter)
    reasons: Counter = field(default_factory=Counter)
    jobs: list[str] = field(default_factory=list)
    job_outcomes: Counter = field(default_factory=Counter)
    waits: dict[str, HdrHistogram] = field(
        default_factory=lambda: defaultdict(lambda: HdrHistogram(1, MAX_WAIT_US, 3))
    )


def plan_requests(
    count: int, seconds: float, mix: list[tuple[str, str, str, float]], seed: int
) -> list[RequestPlan]:
    """Plans requests at uniformly random times over a period.

    Each entry of ``mix`` has a queue, a key, a kind and the weight with which it is chosen.
    """
    generator = random.Random(seed)
    weights = [item[3] for item in mix]
    times = sorted(generator.uniform(0, seconds) for _ in range(count))
    chosen = generator.choices(mix, weights, k=count)
    return [
        RequestPlan(at_s, queue, key, kind)
        for at_s, (queue, key, kind, _) in zip(times, chosen, strict=True)
    ]


class LoadGenerator:
    """Sends planned work to a site's gates, with at most ``concurrency`` calls open at a time."""

    def __init__(self, urls: list[str], timeline: Timeline, seed: int = 1, concurrency: int = 400):
        self.urls = urls
        self.timeline = timeline
        self.random = random.Random(seed)
        self.result = LoadResult()
        self.session: aiohttp.ClientSession | None = None
        self.concurrency = asyncio.Semaphore(concurrency)
        self.request_number = 0

    async def run(self, plans: list[RequestPlan | JobPlan], on_done=None) -> LoadResult:
        """Sends all work at its planned time and returns when every call has ended."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self.session = session
            tasks = []
            for plan in sorted(plans, key=lambda item: item.at_s):
                await asyncio.sleep(max(0.0, start_s + plan.at_s - loop.time()))
                await self.concurrency.acquire()
                task = asyncio.create_task(self._send(plan))
                task.add_done_callback(lambda _: self.concurrency.release())
                if on_done is not None:
                    task.add_done_callback(on_done)
                tasks.append(task)
            await asyncio.gather(*tasks)
        return self.result

    async def _send(self, plan: RequestPlan | JobPlan):
        if isinstance(plan, JobPlan):
            await self._send_job(plan)
        else:
            await self._send_request(plan)

    async def _post(self, path: str, key: str, body: dict):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        urls = self.random.sample(self.urls, len(self.urls))
        for url in urls:
            try:
                async with self.session.post(url + path, json=body, headers=headers) as response:
                    return response.status, await response.json()
            except NO_CONNECTION:
                continue
            except (aiohttp.ClientError, TimeoutError, ValueError):
                return 0, {"outcome": "unknown", "error": {"reason": "connection_lost"}}
        return 0, {"outcome": "not_run", "error": {"reason": "no_gate"}}

    async def _send_request(self, plan: RequestPlan):
        self.request_number += 1
        payload = {"number": self.request_number, "text": f"{self.random.getrandbits(64):x}"}
        start_s = asyncio.get_running_loop().time()
        self.result.requests += 1
        _, document = await self._post(
            f"/v1/queues/{plan.queue}/requests", plan.key, {"payload": payload}
        )
        elapsed_s = asyncio.get_running_loop().time() - start_s
        outcome = document.get("outcome", "unknown")
        self.result.outcomes[outcome] += 1
        if outcome != "answered":
            self.result.reasons[outcome, document.get("error", {}).get("reason", "")] += 1
        self.result.waits[plan.kind].record_value(max(1, int(elapsed_s * 1e6)))
        digest = digest_bytes(json.dumps(payload, separators=(",", ":")).encode())
        request = document.get("request", "")
        self.timeline.emit(AnswerReceived(request, digest, outcome, document.get("digest", "")))
        answer = document.get("answer")
        if outcome == "answered" and answer["payload"] != digest:
            self.result.outcomes["crossed"] += 1

    async def _send_job(self, plan: JobPlan):
        _, document = await self._post(f"/v1/queues/{plan.queue}/jobs", plan.key, plan.body)
        outcome = document.get("outcome", "unknown")
        self.result.job_outcomes[outcome] += 1
        if outcome == "accepted":
            self.result.jobs.append(document["job"])
        else:
            self.result.reasons["job " + outcome, document.get("error", {}).get("reason", "")] += 1


def summarize_waits(result: LoadResult) -> dict[str, dict[str, float]]:
    """Returns the median and the 99th percentile of the waits of each kind, in milliseconds."""
    return {
        kind: {
            "p50": round(histogram.get_value_at_percentile(50) / 1000, 1),
            "p99": round(histogram.get_value_at_percentile(99) / 1000, 1),
        }
        for kind, histogram in sorted(result.waits.items())
    }
