"""The platform of a site whose nodes and VMs have addresses of their own.

Each node reaches the store and the advice service at an address that no other node uses, and each
VM listens at its own. So the store can treat nodes differently, and a VM that is down is silent.
"""

import asyncio
import enum
import random
import zlib

import orjson
from aiohttp import web

from ..core.clock import get_elapsed_s
from ..dispatch.interface import LogLimits, parse_task_name
from ..jobs.data import AdviceTimes, JobQueue
from .platform import HttpPlatform, encode_response, get_local_host
from .verdict import CallerRecords
from .vmsimulator import VmSimulator

STORE_ANSWER_S = 0.004
# How many times as long as usual a slow store takes.
SLOWNESS = 60.0
# A call to a VM or a store that is silent is kept open for this long.
SILENCE_S = 12.0
# The fraction of the VMs that the advice service allows for the steps of a queue.
DEFAULT_ALLOWED_FRACTION = 0.5


class StoreFault(enum.StrEnum):
    """How the store treats the calls of a node.

    ``REFUSE`` answers with 503, ``RESET`` closes the connection, ``SILENT`` never answers, ``SLOW``
    takes many times as long for each call, and ``LOST`` executes some calls without an answer.
    """

    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"


class DeployedPlatform(HttpPlatform):
    """Store, VMs and advice service of a site.

    ``store_faults`` holds how the store treats a node, by the address at which that node calls it,
    and ``lost_fraction`` which part of its answers gets lost.
    ``allowed_fractions`` is the part of the VMs that is allowed for the steps of a queue, by name.
    The advice service takes ``advice_delay_s`` longer than it should for each call.
    """

    def __init__(
        self, vm_simulator: VmSimulator, limits: LogLimits, caller_records: CallerRecords, seed: int
    ):
        super().__init__(vm_simulator, limits)
        self.caller_records = caller_records
        self.generator = random.Random(f"platform {seed}")
        self.store_faults: dict[str, StoreFault] = {}
        self.lost_fraction = 0.35
        self.allowed_fractions: dict[str, float] = {}
        self.advice_delay_s = 0.0
        self.late_order_fraction = 0.0
        self.late_order_s = 3.0

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if not request.path.startswith("/api/log-"):
            return await super()._serve(request)
        fault = self.store_faults.get(get_local_host(request))
        if fault is StoreFault.REFUSE:
            return web.Response(status=503)
        if fault in (StoreFault.SILENT, StoreFault.RESET):
            return await self._break_off(request, fault is StoreFault.SILENT)
        self.slowness = SLOWNESS if StoreFault.SLOW in self.store_faults.values() else 1.0
        await asyncio.sleep(STORE_ANSWER_S * self.slowness)
        response = await super()._serve(request)
        if fault is StoreFault.LOST and self.generator.random() < self.lost_fraction:
            return await self._break_off(request, True)
        return response

    async def _break_off(self, request: web.BaseRequest, silently: bool) -> web.Response:
        """Ends a connection without an answer, after some silence or at once."""
        if silently:
            await asyncio.sleep(SILENCE_S)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    # VMs.

    async def _answer_run_start(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        if not self._get_vm(request).up:
            return await self._break_off(request, True)
        if not self._is_ticket_valid(raw, request.headers["Expect-Instance"]):
            return encode_response(409, {"clockMs": 0, "reason": "ticket"})
        if self.generator.random() < self.late_order_fraction:
            await asyncio.sleep(self.late_order_s)
            if self._get_vm(request).up:
                await super()._answer_run_start(request, body)
            return await self._break_off(request, True)
        return await super()._answer_run_start(request, body)

    async def _answer_run_stop(self, request, body: bytes) -> web.Response:
        if not self._get_vm(request).up:
            return await self._break_off(request, True)
        return await super()._answer_run_stop(request, body)

    async def _answer_hold(self, request, body: bytes) -> web.Response:
        vm = self._get_vm(request)
        if not vm.up:
            return await self._break_off(request, True)
        incarnation = vm.incarnation
        response = await super()._answer_hold(request, body)
        if not vm.up or vm.incarnation != incarnation:
            return await self._break_off(request, True)
        return response

    # The advice service.

    def is_allowed(self, step: str, vm: str, queue: str) -> bool:
        """Returns whether a VM may run the tasks of a step, which doesn't change."""
        fraction = self.allowed_fractions.get(queue, DEFAULT_ALLOWED_FRACTION)
        return zlib.crc32(f"{step}/{vm}".encode()) % 1000 < fraction * 1000

    def _find_queue(self, step: str) -> JobQueue | None:
        return self.caller_records.queues.get(step.split(".")[0])

    async def _answer_advise(self, request, body: bytes) -> web.Response:
        raw = orjson.loads(body)
        step, vms = raw["stepId"], raw["workers"]
        queue = self._find_queue(step)
        if queue is None or queue.advice is None:
            return encode_response(200, {"allowed": [], "validityMs": 0})
        took_s = _compute_advice_s(queue.advice, len(vms)) + self.advice_delay_s
        if not await self._wait_for_advice(request, took_s):
            return web.Response(status=429)
        expiry_ms = int((get_elapsed_s() + queue.advice.valid_s) * 1000)
        allowed = [
            [vm, f"{expiry_ms}-{self.vm_simulator.vms[vm].incarnation}"]
            for vm in vms
            if self.is_allowed(step, vm, queue.name)
        ]
        return encode_response(
            200, {"allowed": allowed, "validityMs": int(queue.advice.valid_s * 1000)}
        )

    def _is_ticket_valid(self, raw: dict, vm: str) -> bool:
        """Returns whether a start carries a ticket of this life of its VM that is still valid."""
        task = parse_task_name(raw["task"])
        step = f"{task.job}.{task.occurrence}.{task.step}"
        queue = self._find_queue(step)
        if queue is None or queue.advice is None:
            return True
        expiry_ms, _, incarnation = raw.get("ticket", "").partition("-")
        if not expiry_ms or not self.is_allowed(step, vm, queue.name):
            return False
        is_of_this_life = incarnation == str(self.vm_simulator.vms[vm].incarnation)
        return is_of_this_life and int(expiry_ms) >= get_elapsed_s() * 1000


def _compute_advice_s(times: AdviceTimes, vm_count: int) -> float:
    return times.decision_s + times.per_vm_s * vm_count
