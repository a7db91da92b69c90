"""Simulates the platform over HTTP, for tests of the adapters: store, VMs and advice service.

It serves the platform's published protocol from the in-memory store and VMs of this package.
"""

import asyncio
import base64
import struct
from collections import Counter, defaultdict
from collections.abc import Sequence

import orjson
from aiohttp import web

from ..core.clock import get_elapsed_s
from ..core.outcome import LogError
from ..core.timer import wait_for_event
from ..dispatch.interface import (
    Fence,
    FencedError,
    HoldAnswer,
    LogLimits,
    RecordsRefusedError,
    Started,
    StartOrder,
    StartRefusal,
    parse_task_name,
)
from ..jobs.record import KeyedRecord
from .keyedlog import MemoryTopic
from .limits import (
    MAX_HOLD_WAIT_MS,
    MAX_KEYS_PER_PAGE,
    MAX_PAGE_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_READ_WAIT_MS,
    MAX_TOPICS,
    MAX_VMS_PER_QUESTION,
    MAX_WAITING_QUESTIONS,
    CallRate,
    Partition,
)
from .vmsimulator import SimulatedVm, VmSimulator

BACKLOG = 512
# How long open calls may take when the stand-in stops.
SHUTDOWN_S = 0.1
# Only the operators and the VMs write to these topics.
OPERATORS_TOPICS = frozenset({"keyed.op", "keyed.servers"})
REFUSAL_REASONS = {
    StartRefusal.FENCED: "fence",
    StartRefusal.SUPERSEDED: "old",
    StartRefusal.EXPIRED: "late",
}


class HttpPlatform:
    """An HTTP server for the store, the VMs and the advice service, on a port the kernel chooses.

    All VMs share its address; the header ``Expect-Instance`` names the VM that a call is meant for.
    ``advice`` maps the VMs that the advice service allows to their tickets. A ``status`` other than
    200 is the response to every call, which then has no effect. The topics have ``limits``, and a
    page of newest records has ``keys_per_page`` at most. The advice service answers one call of
    each machine at a time, in ``advice_s``; a machine is known by the address that it calls.
    Appends take ``slowness`` times as long as usual.
    """

    def __init__(self, vm_simulator: VmSimulator | None = None, limits: LogLimits = LogLimits()):
        self.limits = limits
        self.topics: dict[str, MemoryTopic] = {}
        self.vm_simulator = vm_simulator
        self.advice: dict[str, str] = {}
        self.status = 200
        self.keys_per_page = MAX_KEYS_PER_PAGE
        self.rate = CallRate()
        self.partitions: defaultdict[str, Partition] = defaultdict(Partition)
        self.slowness = 1.0
        self.advice_s = 0.0
        self.advice_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.open_questions: Counter[str] = Counter()
        self.runner = web.ServerRunner(web.Server(self._serve), shutdown_timeout=SHUTDOWN_S)
        self.address = ""

    async def start(self, hosts: Sequence[str] = ("127.0.0.1",), port: int = 0):
        """Listens at one or more addresses of the loopback interface."""
        await self.runner.setup()
        for host in hosts:
            await web.TCPSite(self.runner, host, port, backlog=BACKLOG).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self):
        """Stops the server."""
        await self.runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if self.status != 200:
            return web.Response(status=self.status)
        call = request.path.rsplit("/", 1)[1].replace("-", "_")
        try:
            body = await request.read()
        except ConnectionError:
            return web.Response(status=400)
        if not self.rate.admit(call, get_elapsed_s()):
            return web.Response(status=429)
        try:
            return await getattr(self, f"_answer_{call}")(request, body)
        except _InvalidCallError as error:
            return encode_response(400, {"error": str(error)})

    def _get_topic(self, request: web.BaseRequest) -> MemoryTopic:
        if request.query["topic"] not in self.topics:
            _check(len(self.topics) < MAX_TOPICS, "too many topics")
        return self.get_topic(request.query["topic"])

    def get_topic(self, name: str) -> MemoryTopic:
        """Returns a topic of the store, which is created on first use."""
        return self.topics.setdefault(name, MemoryTopic(limits=self.limits))

    async def _answer_log_append(self, request, body: bytes) -> web.Response:
        if request.query["topic"] in OPERATORS_TOPICS:
            return web.Response(status=403)
        topic, fence = self._get_topic(request), None
        if "epoch" in request.query:
            fence = Fence(int(request.query["epoch"]), int(request.query["sequence"]))
        size, records = len(body), []
        while body:
            (size,) = struct.unpack_from(">I", body)
            record, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + record[0]
            records.append(KeyedRecord(record[1:end].decode(), record[end:]))
        partition = self.partitions[request.query["topic"]]
        delay_s = partition.enqueue(size, get_elapsed_s(), self.slowness)
        if delay_s is None:
            return web.Response(status=503)
        await asyncio.sleep(delay_s)
        try:
            offset = topic.append(records, fence)
        except FencedError as error:
            return encode_response(409, {"reason": str(error)})
        except RecordsRefusedError as error:
            return encode_response(400, {"error": str(error)})
        except LogError as error:
            return encode_response(507, {"error": str(error)})
        return encode_response(200, {"offset": offset, "endOffset": topic.end_offset})

    async def _answer_log_read(self, request, body: bytes) -> web.Response:
        topic, start = self._get_topic(request), int(request.query["fromRevision"])
        if start < topic.first_offset:
            return encode_response(410, {"firstOffset": topic.first_offset})
        wait_ms = int(request.query.get("waitMs", 0))
        _check(wait_ms <= MAX_READ_WAIT_MS, "waitMs")
        if start >= topic.end_offset and wait_ms:
            await wait_for_event(topic.appended, wait_ms / 1000)
        answer = struct.pack(">QQ", topic.end_offset, topic.first_offset)
        max_bytes = int(request.query.get("maxSizeKb", 1024)) * 1024
        for record in topic.records[start - topic.first_offset :]:
            key = record.key.encode()
            if len(answer) + len(key) + len(record.value) > max_bytes:
                break
            answer += struct.pack(">IB", 1 + len(key) + len(record.value), len(key))
            answer += key + record.value
        return web.Response(body=answer)

    async def _answer_log_newest(self, request, body: bytes) -> web.Response:
        topic, after = self._get_topic(request), request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[: self.keys_per_page]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > MAX_PAGE_BYTES:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        has_more = len(keys) > len(items)
        return encode_response(
            200, {"items": items, "hasMore": has_more, "endOffset": topic.end_offset}
        )

    def _get_vm(self, request: web.BaseRequest) -> SimulatedVm:
        return self.vm_simulator.vms[request.headers["Expect-Instance"]]

    async def _answer_run_start(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        _check(len(raw["spec"].encode()) <= MAX_PAYLOAD_BYTES, "spec")
        vm = self._get_vm(request)
        order = StartOrder(
            parse_task_name(raw["task"]),
            raw["runId"],
            raw["spec"],
            raw["deadlineMs"],
            raw["fencingToken"],
            raw.get("checkpoint", ""),
            raw.get("ticket", ""),
        )
        return _encode_order_outcome(self.vm_simulator.start(vm, order))

    async def _answer_run_stop(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        task = parse_task_name(raw["task"])
        vm = self._get_vm(request)
        return _encode_order_outcome(
            self.vm_simulator.stop(vm, task, raw["runId"], raw["fencingToken"])
        )

    async def _answer_pace(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        task, number = parse_task_name(raw["task"]), raw["runId"]
        vm = self._get_vm(request)
        term = raw["fencingToken"]
        return _encode_order_outcome(
            self.vm_simulator.pace(vm, task, number, raw["percentage"], term)
        )

    async def _answer_hold(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        _check(0 <= raw.get("waitMs", 0) <= MAX_HOLD_WAIT_MS, "waitMs")
        answer = await self.vm_simulator.hold(
            self._get_vm(request),
            raw["fencingToken"],
            raw["lastSeen"],
            raw.get("deadlineMs"),
            raw.get("waitMs", 0) / 1000,
        )
        if not isinstance(answer, HoldAnswer):
            return _encode_order_outcome(answer)
        running = [
            [str(r.task), r.number, r.checkpoint, r.percent, r.response_ms] for r in answer.running
        ]
        ended = [
            [e.serial, str(e.task), e.number, str(e.reason), e.checkpoint] for e in answer.ended
        ]
        return encode_response(
            200,
            {
                "clockMs": answer.clock_ms,
                "born": answer.incarnation,
                "running": running,
                "finished": ended,
            },
        )

    async def _answer_advise(self, request, body: bytes) -> web.Response:
        workers = orjson.loads(body)["workers"]
        _check(len(workers) <= MAX_VMS_PER_QUESTION, "workers")
        if not await self._wait_for_advice(request, self.advice_s):
            return web.Response(status=429)
        allowed = [[name, self.advice[name]] for name in workers if name in self.advice]
        return encode_response(200, {"allowed": allowed, "validityMs": 1500})

    async def _wait_for_advice(self, request: web.BaseRequest, seconds: float) -> bool:
        """Waits for the turn of a question and for its answer; false if it is turned away."""
        machine = get_local_host(request)
        if self.open_questions[machine] > MAX_WAITING_QUESTIONS:
            return False
        self.open_questions[machine] += 1
        try:
            async with self.advice_locks[machine]:
                await asyncio.sleep(seconds)
        finally:
            self.open_questions[machine] -= 1
        return True


def get_local_host(request: web.BaseRequest) -> str:
    """Returns the address at which a call arrived."""
    return request.transport.get_extra_info("sockname")[0] if request.transport else ""


class _InvalidCallError(Exception):
    """A call exceeds a limit of the protocol; the message names its field."""


def _check(condition: bool, field: str):
    if not condition:
        raise _InvalidCallError(field)


def encode_response(status: int, message: dict) -> web.Response:
    """Returns a response whose body is a JSON object."""
    body = orjson.dumps(message)
    return web.Response(status=status, body=body, content_type="application/json")


def _encode_order_outcome(outcome) -> web.Response:
    if isinstance(outcome, Started):
        return encode_response(200, {"clockMs": outcome.clock_ms})
    return encode_response(409, {"clockMs": 0, "reason": REFUSAL_REASONS[outcome.reason]})
