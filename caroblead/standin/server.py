"""The platform stand-in's HTTP server, with an endpoint that injects every fault.

For example, this makes the log unavailable::

    curl -X POST localhost:7000/faults -d '{"log": "down"}'

``log`` is ``up``, ``down``, ``slow`` or ``lose_answers``, which executes appends but then closes
the connection without a response. ``list`` is ``up``, ``down`` or ``stale``. ``cut`` is a list of
pairs of a node and what it can't reach: ``log``, ``list``, the name of a VM or ``*`` for
everything. ``leave``, ``kill``, ``remove``, ``silence``, ``revive``, ``break`` and ``mend`` are
lists of VMs. ``silence`` makes a VM stop responding until ``revive``, and ``break`` makes its tasks
fail until ``mend``. ``mute`` makes every connection that is open now stop responding permanently.
``size_error`` is the largest factor by which actual sizes and run times differ from the declared
ones.
"""

import asyncio
import hashlib
import json
import random
import weakref

from aiohttp import web

from ..core.timer import TimerService
from ..events.event import ListDown, ListUp
from ..events.timeline import Timeline
from ..fleet.client import CLOCK_HEADER, NODE_HEADER
from .fleet import build_fleet
from .log import LogStore

SLOW_LOG_S = 1.0
STALE_LIST_LAG_S = 3600.0
VM_UPDATE_INTERVAL_S = 0.05
STATUS_LINE_BYTES = 19


class PlatformServer:
    """The platform stand-in as one HTTP server on one port.

    ``cuts`` holds pairs of a node and the target that it can't reach. ``list_history`` holds the
    latest VM lists with their loop times and versions, from which a delayed list is served.
    """

    def __init__(self, settings, timeline: Timeline, seed: int = 1, grace_s: float = 8.0):
        self.settings = settings
        self.timeline = timeline
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.log = LogStore(settings.appends_per_s, settings.retention_s)
        self.grace_s = grace_s
        self.fleet = None
        self.timers = TimerService(seed)
        self.log_state = "up"
        self.list_state = "up"
        self.cuts: set[tuple[str, str]] = set()
        self.list_history: list[tuple[float, int, list[dict]]] = []
        self.runner = None
        self.url = ""
        self.bytes_by_node: dict[str, int] = {}
        self.calls_by_node: dict[str, int] = {}
        self.service_s = settings.service_ms / 1000
        self.transports: weakref.WeakSet = weakref.WeakSet()
        self.muted: weakref.WeakSet = weakref.WeakSet()

    async def start(self):
        """Listens, and starts to end the due tasks of all VMs at intervals."""
        app = web.Application(client_max_size=64 * 1024 * 1024, middlewares=[self._count_traffic])
        app.router.add_post("/log/{stream}", self._append_records)
        app.router.add_get("/log/{stream}", self._read_records)
        app.router.add_get("/vms", self._list_vms)
        app.router.add_post("/vm/{vm}/lease", self._handle_lease)
        app.router.add_post("/vm/{vm}/run/{queue}", self._run_request)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stats", self._show_stats)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.settings.host, self.settings.port)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.url = f"http://{self.settings.host}:{port}"
        self.fleet = build_fleet(self.timeline, self.settings, self.grace_s)
        self._record_list()
        self.timers.subscribe(VM_UPDATE_INTERVAL_S, self._update_vms)

    async def close(self):
        """Stops listening."""
        self.timers.close()
        await self.runner.cleanup()

    def _update_vms(self):
        self.fleet.end_all_due_tasks(self.loop.time())
        if self.list_history[-1][1] != self.fleet.list_version:
            self._record_list()

    def _record_list(self):
        vms = [self._encode_vm(vm) for vm in self.fleet.vms.values() if vm.listed]
        self.list_history.append((self.loop.time(), self.fleet.list_version, vms))
        del self.list_history[:-50]

    def _encode_vm(self, vm) -> dict:
        size = vm.capacity
        return {
            "name": vm.name,
            "zone": vm.zone,
            "region": vm.region,
            "rack": vm.rack,
            "address": f"{self.url}/vm/{vm.name}",
            "state": "leaving" if vm.leaving else "live",
            "millicores": size.millicores,
            "memory_mb": size.memory_mb,
            "accelerators": size.accelerators,
            "slots": size.slots,
            "connections": vm.connections,
        }

    @web.middleware
    async def _count_traffic(self, request: web.Request, handler):
        node = request.headers.get(NODE_HEADER, "")
        self.timeline.clock.observe(int(request.headers.get(CLOCK_HEADER, 0)))
        self.transports.add(request.transport)
        await self._wait_if_muted(request)
        response = await handler(request)
        if not response.prepared:
            response.headers[CLOCK_HEADER] = str(self.timeline.clock.advance())
        request_head_bytes = (
            sum(len(k) + len(v) + 4 for k, v in request.raw_headers) + len(request.path_qs) + 17
        )
        size = request_head_bytes + (request.content_length or 0)
        size += sum(len(k) + len(v) + 4 for k, v in response.headers.items()) + STATUS_LINE_BYTES
        size += len(response.body or b"") if isinstance(response.body, bytes) else 0
        self.bytes_by_node[node] = self.bytes_by_node.get(node, 0) + size
        self.calls_by_node[node] = self.calls_by_node.get(node, 0) + 1
        return response

    async def _wait_if_muted(self, request: web.Request):
        """Holds a call on a muted connection, without a response, until the connection closes."""
        while request.transport in self.muted:
            await asyncio.sleep(0.25)
            if request.transport is None or request.transport.is_closing():
                raise web.HTTPServiceUnavailable

    async def _wait_while_cut(self, request: web.Request, target: str):
        node = request.headers.get(NODE_HEADER, "")
        while self._is_cut(node, target):
            await asyncio.sleep(0.25)
            if request.transport is None or request.transport.is_closing():
                raise web.HTTPServiceUnavailable
        return node

    def _is_cut(self, node: str, target: str) -> bool:
        return (node, target) in self.cuts or (node, "*") in self.cuts

    async def _append_records(self, request: web.Request):
        body = json.loads(await request.read())
        node = await self._wait_while_cut(request, "log")
        if self.log_state == "down":
            return web.Response(status=503)
        if self.log_state == "slow":
            await asyncio.sleep(SLOW_LOG_S)
        if not self.log.take_append_token(self.loop.time()):
            return web.Response(status=429)
        stream = request.match_info["stream"]
        offset = self.log.append(stream, body["records"], self.loop.time())
        if self.log_state == "lose_answers" or self._is_cut(node, "log"):
            request.transport.close()
            await asyncio.sleep(0)
            return web.Response(status=500)
        return web.json_response({"offset": offset})

    async def _read_records(self, request: web.Request):
        await self._wait_while_cut(request, "log")
        if self.log_state == "down":
            return web.Response(status=503)
        if self.log_state == "slow":
            await asyncio.sleep(SLOW_LOG_S)
        stream = request.match_info["stream"]
        start = int(request.query.get("from", 0))
        first, start, records = self.log.read(stream, start, self.loop.time())
        return web.json_response({"first": first, "start": start, "records": records})

    async def _list_vms(self, request: web.Request):
        await self._wait_while_cut(request, "list")
        if self.list_state == "down":
            return web.Response(status=503)
        lag_s = STALE_LIST_LAG_S if self.list_state == "stale" else self.settings.list_lag_s
        snapshot = self.list_history[0]
        for item in self.list_history:
            if item[0] + lag_s <= self.loop.time():
                snapshot = item
        etag = f'"{snapshot[1]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        zone = request.query.get("zone")
        vms = [vm for vm in snapshot[2] if zone in (None, vm["zone"])]
        return web.json_response({"vms": vms}, headers={"ETag": etag})

    async def _wait_for_vm(self, request: web.Request):
        vm = self.fleet.vms.get(request.match_info["vm"])
        if vm is None:
            raise web.HTTPNotFound
        await self._wait_while_cut(request, vm.name)
        while vm.silent or vm.dead:
            await asyncio.sleep(0.25)
            if request.transport is None or request.transport.is_closing():
                raise web.HTTPServiceUnavailable
        return vm

    async def _handle_lease(self, request: web.Request):
        call = json.loads(await request.read())
        vm = await self._wait_for_vm(request)
        answer = self.fleet.handle_lease_call(vm, call, self.loop.time())
        body = json.dumps(answer, separators=(",", ":")).encode()
        return web.Response(body=body)

    async def _run_request(self, request: web.Request):
        payload = await request.read()
        vm = await self._wait_for_vm(request)
        headers = request.headers
        name, epoch = headers["X-Request"], int(headers["X-Epoch"])
        repeatable = headers["X-Repeatable"] == "1"
        now_s = self.loop.time()
        if not self.fleet.begin_request(vm, name, headers["X-Team"], epoch, repeatable, now_s):
            return web.Response(status=409)
        await asyncio.sleep(self.service_s * (0.5 + self.random.random()))
        answer = {
            "request": name,
            "queue": request.match_info["queue"],
            "payload": hashlib.sha256(payload).hexdigest()[:16],
            "vm": vm.name,
        }
        body = json.dumps(answer).encode()
        self.fleet.end_request(vm, name, body)
        await self._wait_for_vm(request)
        await self._wait_if_muted(request)
        return web.Response(body=body, content_type="application/json")

    async def _show_stats(self, request: web.Request):
        """Returns the number of log appends and each node's calls and bytes, in both directions."""
        snapshot = {
            "calls": self.calls_by_node,
            "bytes": self.bytes_by_node,
            "appends": self.log.appends,
        }
        return web.json_response(snapshot)

    async def _set_faults(self, request: web.Request):
        self.apply_faults(json.loads(await request.read()))
        return web.json_response({"ok": True})

    def apply_faults(self, faults: dict):
        """Injects and clears faults, as described in the docstring of this module."""
        fleet = self.fleet
        self.log_state = faults.get("log", self.log_state)
        if faults.get("list", self.list_state) != self.list_state:
            self.list_state = faults["list"]
            self.timeline.emit(ListUp() if self.list_state == "up" else ListDown())
        if "cut" in faults:
            self.cuts = {tuple(pair) for pair in faults["cut"]}
        if faults.get("mute"):
            self.muted.update(self.transports)
        fleet.size_error = faults.get("size_error", fleet.size_error)
        actions = {"leave": fleet.mark_leaving, "kill": fleet.fail_vm, "remove": fleet.remove_vm}
        for name, action in actions.items():
            for vm in faults.get(name, ()):
                action(vm)
        for name, field, value in (
            ("silence", "silent", True),
            ("revive", "silent", False),
            ("break", "fail_all", True),
            ("mend", "fail_all", False),
        ):
            for vm in faults.get(name, ()):
                setattr(fleet.vms[vm], field, value)
