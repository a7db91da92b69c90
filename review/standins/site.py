"""Stand-ins for the review's scripts: the platform's store, workers, callers, and the node processes.

Everything listens on loopback addresses. The nodes are the project's own programs, started with the
command of the deploy file and with settings made from the deploy file's template. The store and the
workers follow PROTOCOL.md; where that page is silent they behave like a sound store and worker.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2

# Figures of a small deployment, as in the site file that the claims name.
BOUNDS = {
    "configApplyMs": 2000,
    "revokeMs": 5000,
    "graceS": 6,
    "strictRevocation": True,
    "holdMaxMs": 10_000,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "contactMs": 3000,
    "cancelMs": 3000,
    "visibleMs": 3000,
    "restoreMs": 250,
}
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
KEEP_S = 20.0
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
FINISHED_PER_ANSWER = 500
SERVICE = "alignment-planner"
HOST_NAME = "planner.example"
KEY = "key-of-the-clinic"
TENANT = "clinic"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")


def free_port(hosts):
    """Returns a port that is free on all of these loopback addresses.

    It is below those that the kernel gives to outgoing connections, so that a server that is closed
    for a moment finds its port free again.
    """
    for _ in range(500):
        port = random.randrange(15_000, 32_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    stack.enter_context(socket.socket()).bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def answer_json(status, message):
    return web.Response(
        status=status, body=json.dumps(message).encode(), content_type="application/json"
    )


class Server:
    """An HTTP server on one loopback address that can be closed and opened again."""

    def __init__(self, handler, host, port):
        self.handler, self.host, self.port = handler, host, port
        self.server = None
        self.web_server = None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.web_server = web.Server(self.handler, access_log=None)
        self.server = await loop.create_server(
            self.web_server, self.host, self.port, reuse_address=True, backlog=512
        )

    def close(self):
        """Closes the port and all connections at once, as the end of a process does."""
        if self.server is None:
            return
        self.server.close()
        for connection in list(self.web_server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.server = None


# The store.


class Topic:
    """Partition 0 of a topic."""

    def __init__(self):
        self.records = []  # (time, raw record)
        self.first = 0
        self.newest = {}
        self.epoch = -1
        self.sequence = -1
        self.recent = {}
        self.grown = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self):
        return self.first + len(self.records)

    def expire(self):
        limit, count = time.monotonic() - KEEP_S, 0
        while count < len(self.records) and self.records[count][0] < limit:
            count += 1
        if count:
            del self.records[:count]
            self.first += count

    def append(self, raws, fence=None):
        """Returns the status and the answer of an append."""
        if fence is not None:
            epoch, sequence = fence
            if epoch < self.epoch:
                return 409, {"reason": "fenced"}
            if epoch > self.epoch:
                self.epoch, self.sequence, self.recent = epoch, sequence - 1, {}
            if sequence in self.recent:
                return 200, self.recent[sequence]
            if sequence != self.sequence + 1:
                return 409, {"reason": "seq", "sequence": self.sequence + 1}
        offset = self.end
        for raw in raws:
            key, value = split_record(raw)
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
            self.records.append((time.monotonic(), raw))
        answer = {"offset": offset, "endOffset": self.end}
        if fence is not None:
            self.sequence = fence[1]
            self.recent[fence[1]] = answer
            self.recent.pop(fence[1] - 5, None)
        self.expire()
        self.grown.set()
        self.grown = asyncio.Event()
        return 200, answer


def split_record(raw):
    end = 1 + raw[0]
    return raw[1:end].decode(), raw[end:]


def make_record(key, value):
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


class Store:
    """The platform's log store.

    ``down`` leaves every call unanswered and without effect. ``lose_append`` is asked about each
    append with the name of the node and the keys of its records; it returns ``None``, or after how
    many seconds the append is executed without an answer.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.down = False
        self.lose_append = lambda node, keys: None
        self.answered = []
        self.servers = []
        self.addresses = {}

    async def open_for(self, node, host="127.0.0.1"):
        """Opens an address of the store for one node, so that its calls can be told apart."""

        async def handle(request):
            return await self.handle(node, request)

        server = Server(handle, host, free_port([host]))
        await server.open()
        self.servers.append(server)
        self.addresses[node] = f"{host}:{server.port}"

    def close(self):
        for server in self.servers:
            server.close()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, message):
        """Writes as the operator or a worker does; false while the store is down."""
        if self.down:
            return False
        value = json.dumps(message).encode() if message is not None else b""
        self.topic(topic).append([make_record(key, value)])
        return True

    async def hang(self):
        await asyncio.sleep(3600)

    async def handle(self, node, request):
        body = await request.read()
        if self.down:
            await self.hang()
        await asyncio.sleep(STORE_ANSWER_S)
        call = request.path.rsplit("/", 1)[1]
        if call == "log-append":
            response = await self.append(node, request.query, body)
        elif call == "log-read":
            response = await self.read(request.query)
        elif call == "log-newest":
            response = self.list_newest(request.query)
        else:
            return web.Response(status=404)
        if self.down:
            await self.hang()
        return response

    async def append(self, node, query, body):
        topic, raws, place = self.topic(query["topic"]), [], 0
        while place < len(body):
            (size,) = struct.unpack_from(">I", body, place)
            raws.append(body[place + 4 : place + 4 + size])
            place += 4 + size
        if len(body) > REQUEST_BYTES or any(len(raw) > RECORD_BYTES for raw in raws):
            largest = max(raws, key=len)
            key = split_record(largest)[0]
            self.record.add("store_refuses", node=node, key=key, record_bytes=len(largest))
            return answer_json(400, {"error": "too large"})
        fence = (int(query["epoch"]), int(query["sequence"])) if "epoch" in query else None
        late_s = self.lose_append(node, [split_record(raw)[0] for raw in raws])
        if late_s is not None:
            names = ",".join(split_record(raw)[0] for raw in raws)
            self.record.add("store_append_unanswered", node=node, keys=names, late_s=late_s)

            def execute():
                status, _ = topic.append(raws, fence)
                self.record.add("store_append_executed_late", keys=names, status=status)

            asyncio.get_running_loop().call_later(late_s, execute)
            await self.hang()
        async with topic.lock:
            await asyncio.sleep(0.002)
            self.answered.append(self.record.now())
            return answer_json(*topic.append(raws, fence))

    async def read(self, query):
        topic, start = self.topic(query["topic"]), int(query["fromRevision"])
        topic.expire()
        if start < topic.first:
            return answer_json(410, {"firstOffset": topic.first})
        if start >= topic.end and "waitMs" in query:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), int(query["waitMs"]) / 1000)
        limit = int(query.get("maxSizeKb", 1024)) * 1024
        parts, size = [struct.pack(">QQ", topic.end, topic.first)], 0
        for _, raw in topic.records[max(0, start - topic.first) :]:
            if parts[1:] and size + len(raw) > limit:
                break
            parts.append(struct.pack(">I", len(raw)) + raw)
            size += 4 + len(raw)
        return web.Response(body=b"".join(parts))

    def list_newest(self, query):
        topic, after = self.topic(query["topic"]), query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        return answer_json(
            200, {"items": items, "hasMore": len(keys) > 500, "endOffset": topic.end}
        )


# The workers.


class Jobs:
    """What the callers submitted; the spec of a submission says how long each run takes."""

    def __init__(self, record):
        self.record = record
        self.bodies = {}
        self.gangs = {}
        self.checkpoint_length = 16

    def find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.bodies[job]["steps"][int(step)]

    def run_s(self, task):
        return json.loads(self.bodies[task.split(".")[0]]["spec"])["run_s"]


class Run:
    def __init__(self, task, number, began, work_s, saved_s=0.0):
        self.task, self.number, self.began, self.work_s = task, number, began, work_s
        self.saved_s = saved_s
        self.timer = None
        self.stopping = False

    def done_s(self):
        """Returns how much of the work is done, with what a checkpoint brought."""
        return min(self.work_s, self.saved_s + time.monotonic() - self.began)


def make_checkpoint(run, saved_s, length):
    """Returns a checkpoint: the work done in ms, and the state of the task in base64."""
    text = f"{int(saved_s * 1000):08x}"
    seed = hashlib.shake_128(f"{run.task}/{text}".encode())
    return (text + base64.b64encode(seed.digest(length)).decode())[:length]


def read_checkpoint(text):
    return int(text[:8], 16) / 1000 if text else 0.0


class Gang:
    """One run of a gang, whose members are on several workers."""

    def __init__(self, count):
        self.count = count
        self.members = {}
        self.started = False


class Worker:
    """A minion; ``cut`` leaves it running but out of everybody's reach.

    ``hanging`` accepts calls and neither executes nor answers them.
    """

    def __init__(self, site, number, zone, rack, cpu=16_000, memory=65_536, labels=()):
        self.site, self.record, self.store, self.jobs = site, site.record, site.store, site.jobs
        self.id = f"i-{number:04x}{os.getpid() & 0xFFFF:04x}"
        self.zone, self.labels = zone, [*labels, rack]
        self.capacity = {"cpu": cpu, "memMb": memory, "gpu": 0}
        self.host = "127.0.0.1"
        self.server = Server(self.handle, self.host, free_port([self.host]))
        self.up = self.cut = self.hanging = False
        self.entry = None
        self.next_beat = 0.0
        self.reset()

    def reset(self):
        self.fence = 0
        self.deadline_ms = 0
        self.lapsed = False
        self.running = {}
        self.finished = []
        self.highest = {}
        self.serial = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self, first_beat_s=0.0):
        """Starts a life, which writes its entry for the first time after ``first_beat_s``."""
        self.reset()
        await self.server.open()
        self.up = True
        self.next_beat = time.monotonic() + first_beat_s
        self.beat()
        self.record.add("worker_up", id=self.id, born=self.born)

    def beat(self):
        """Writes the worker's entry; the store drops one after three intervals of silence."""
        if not self.up or self.cut or time.monotonic() < self.next_beat:
            return
        self.next_beat = time.monotonic() + HEARTBEAT_S
        self.sequence += 1
        entry = {
            "service": SERVICE,
            "address": f"{self.host}:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "available",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.store.put("keyed.servers", self.id, entry):
            self.entry = time.monotonic()

    def expire_entry(self):
        if self.entry and time.monotonic() - self.entry > 3 * HEARTBEAT_S:
            if self.store.put("keyed.servers", self.id, None):
                self.entry = None
                self.record.add("entry_expired", id=self.id)

    def crash(self):
        """Ends the worker's process: it answers nothing, and all that it ran is gone."""
        self.up = False
        self.server.close()
        lost = list(self.running.values())
        self.record.add("worker_down", id=self.id, lost=len(lost))
        self.running = {}
        for run in lost:
            if run.timer:
                run.timer.cancel()
            self.record.add("lost", task=run.task, run=run.number, worker=self.id)
            self.site.history.append((self.record.now(), "lost", run.task, run.number, self, 0))
            self.leave_gang(run)

    def set_cut(self, cut):
        self.cut = cut
        self.record.add("worker_cut" if cut else "worker_healed", id=self.id)
        if not cut:
            self.next_beat = 0.0
            self.beat()

    async def handle(self, request):
        body = await request.read()
        if self.cut or self.hanging:
            await self.hang(request)
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return web.Response(status=421)
        self.check_lease()
        call = request.path.rsplit("/", 1)[1].replace("-", "_")
        status, answer = await getattr(self, "on_" + call)(json.loads(body))
        if self.cut:
            # The answer is lost behind the cut.
            await self.hang(request)
        return answer_json(status, {"clockMs": self.clock_ms(), "born": self.born, **answer})

    async def hang(self, request):
        """Leaves a call unanswered; after the disturbance its channel is reset."""
        while self.cut or self.hanging:
            await asyncio.sleep(0.05)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    def is_fenced(self, raw):
        if raw["fencingToken"] < self.fence:
            return True
        self.fence = raw["fencingToken"]
        return False

    def extend(self, deadline_ms):
        longest = self.clock_ms() + BOUNDS["holdMaxMs"]
        self.deadline_ms = max(self.deadline_ms, min(int(deadline_ms), longest))

    def check_lease(self):
        if not self.up or self.clock_ms() < self.deadline_ms:
            self.lapsed = False
            return
        if not self.lapsed and self.deadline_ms:
            self.lapsed = True
            self.record.add("lease_lapsed", worker=self.id)
            self.site.lapses.append((self.record.now(), self.id))
        for run in list(self.running.values()):
            self.end(run, "lapsed")

    async def on_run_start(self, raw):
        task, number = raw["task"], raw["runId"]
        if self.is_fenced(raw):
            return 409, {"reason": "fence"}
        run = self.running.get(task)
        if run and run.number == number:
            return 200, {}
        if run or number <= self.highest.get(task, 0):
            self.extend(raw["deadlineMs"])
            return 409, {"reason": "old"}
        if raw["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(raw["deadlineMs"])
        work_s, saved_s = self.jobs.run_s(task), read_checkpoint(raw.get("checkpoint", ""))
        run = self.running[task] = Run(task, number, time.monotonic(), work_s, saved_s)
        self.record.add("start", task=task, run=number, worker=self.id)
        self.site.history.append((self.record.now(), "start", task, number, self, 0))
        step = self.jobs.find_step(task)
        if step.get("gang"):
            self.join_gang(run, step)
        else:
            loop = asyncio.get_running_loop()
            restore_s = BOUNDS["restoreMs"] / 1000 if saved_s else 0.0
            run.timer = loop.call_later(work_s - saved_s + restore_s, self.end, run, "done")
        return 200, {}

    async def on_run_stop(self, raw):
        task, number = raw["task"], raw["runId"]
        if self.is_fenced(raw):
            return 409, {"reason": "fence"}
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number == number and not run.stopping:
            run.stopping = True
            self.record.add("stop", task=task, run=number, worker=self.id)
            asyncio.get_running_loop().call_later(0.1, self.end, run, "stopped")
        return 200, {}

    async def on_pace(self, raw):
        return (409, {"reason": "fence"}) if self.is_fenced(raw) else (200, {})

    async def on_hold(self, raw):
        if self.is_fenced(raw):
            return 409, {"reason": "fence"}
        if "deadlineMs" in raw:
            self.extend(raw["deadlineMs"])
        seen = raw["lastSeen"]
        for serial, task, number, how, _ in self.finished:
            if serial <= seen:
                self.record.add("noted", task=task, run=number, how=how, worker=self.id)
                self.site.history.append((self.record.now(), "noted " + how, task, number, self, 0))
        self.finished = [row for row in self.finished if row[0] > seen]
        if not self.finished and raw.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), raw["waitMs"] / 1000)
        running = []
        for run in self.running.values():
            share = min(99, int(100 * run.done_s() / run.work_s))
            running.append([run.task, run.number, self.checkpoint(run), share, 0])
        return 200, {"running": running, "finished": self.finished[:FINISHED_PER_ANSWER]}

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.serial += 1
        saved = "" if how == "done" else self.checkpoint(run, how == "stopped")
        self.finished.append([self.serial, run.task, run.number, how, saved])
        self.record.add(how, task=run.task, run=run.number, worker=self.id)
        self.site.history.append((self.record.now(), how, run.task, run.number, self, self.serial))
        self.changed.set()
        self.changed = asyncio.Event()
        if how != "done":
            self.leave_gang(run)

    def checkpoint(self, run, now=False):
        """Returns the newest checkpoint: one for each whole second of work, and one at a stop."""
        if not self.jobs.find_step(run.task).get("checkpointing"):
            return ""
        saved_s = run.done_s() if now else float(int(run.done_s()))
        return make_checkpoint(run, saved_s, self.jobs.checkpoint_length) if saved_s else ""

    # Gangs: the members begin to work when all of one run are there, and end done together.

    def join_gang(self, run, step):
        place = (run.task.rsplit(".", 1)[0], run.number)
        gang = self.jobs.gangs.setdefault(place, Gang(step["count"]))
        gang.members[run.task] = (self, run)
        loop = asyncio.get_running_loop()
        if len(gang.members) < gang.count:
            run.timer = loop.call_later(BOUNDS["gangTimeoutMs"] / 1000, self.end, run, "alone")
            return
        gang.started = True
        for worker, member in gang.members.values():
            if member.timer:
                member.timer.cancel()
            member.began = time.monotonic()
            left_s = member.work_s - member.saved_s
            left_s += BOUNDS["restoreMs"] / 1000 if member.saved_s else 0.0
            member.timer = loop.call_later(left_s, worker.end, member, "done")

    def leave_gang(self, run):
        place = (run.task.rsplit(".", 1)[0], run.number)
        gang = self.jobs.gangs.get(place)
        if gang is None or run.task not in gang.members:
            return
        del gang.members[run.task]
        if gang.started:
            for worker, member in list(gang.members.values()):
                asyncio.get_running_loop().call_soon(worker.end, member, "broken")


# The nodes.


def fill_template(text, fields):
    """Fills the template of the settings as DEPLOY.md tells it, as far as this template needs."""

    def find(path):
        value = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match):
        kind, path, inner = match.groups()
        value = find(path)
        present = value is not None and value is not False
        if (kind == "#") != present:
            return ""
        return inner.replace("{{.}}", json.dumps(value))

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(find(m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1]) or ""), text)


class Node:
    """One process of the project's program."""

    def __init__(self, site, name, host, zone, ports):
        self.site, self.name, self.host = site, name, host
        self.callers = f"{host}:{ports['callers']}"
        self.readiness = f"{host}:{ports['readiness']}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": host,
            "listen": {"frontend": self.callers, "readiness": self.readiness},
            "internalPorts": [ports["peers"], ports["peers"]],
            "platform": {"address": site.store.addresses[name]},
            "recommendation": "",
            "bounds": BOUNDS,
            "limits": {"cpuShares": 1.0, "cores": 2, "linkMbps": 1000.0},
        }
        settings = json.loads(fill_template((ROOT / deploy["template"]).read_text(), fields))
        settings["metrics_port"] = ports["metrics"]
        self.path = pathlib.Path(site.folder) / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.command = deploy["run"].split()
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CAROBLEAD_SETTINGS"] = str(self.path)
        log = open(pathlib.Path(self.site.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.site.record.add("node_started", node=self.name)

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait(10)


class Site:
    """A small deployment: a store, workers, nodes and a caller."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store = Store(record)
        self.jobs = Jobs(record)
        self.history = []
        self.lapses = []
        self.workers = []
        self.nodes = []
        self.session = None
        self.beats = None

    async def start(self, workers, nodes=3, cap_cpu=0, routes=None):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
        )
        self.routes = routes or {"/plan/": {}}
        self.store.put("keyed.op", "config", self.make_manifest(cap_cpu))
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        self.beats = asyncio.create_task(self.beat())
        hosts = [f"127.0.1.{number + 1}" for number in range(nodes)]
        names = ("callers", "readiness", "peers", "metrics")
        ports = {name: free_port(hosts) for name in names}
        for number, host in enumerate(hosts):
            name = f"edge-{number + 1}"
            await self.store.open_for(name)
            node = Node(self, name, host, f"z{number + 1}", ports)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)
        # Traffic starts some seconds after the machines do, as on the sites.
        await asyncio.sleep(4.0)

    def make_manifest(self, cap_cpu):
        routes = [
            {
                "name": f"r{number}",
                "host": HOST_NAME,
                "pathPrefix": prefix,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 1000,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "targetFactor": 2.2,
                "public": False,
                **fields,
            }
            for number, (prefix, fields) in enumerate(self.routes.items())
        ]
        tenant = {
            "name": TENANT,
            "apiKeys": [KEY],
            "weight": 10,
            "cap": {"cpu": cap_cpu, "memMb": 0, "gpu": 0},
        }
        return {
            "version": 3,
            "routes": routes,
            "services": [{"name": SERVICE, "enforceLimits": False, "healthPath": "/healthz"}],
            "tenants": [tenant],
            "limits": {"maxBodyBytes": 262_144},
        }

    async def beat(self):
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                worker.check_lease()
                worker.expire_entry()
                worker.beat()

    async def wait_ready(self, node):
        for _ in range(300):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with self.session.get(f"http://{node.readiness}/api/readyz") as answer:
                    if answer.status == 200:
                        return
            if node.process.poll() is not None:
                raise RuntimeError(f"{node.name} has ended")
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} isn't ready")

    async def call(self, node, method, path, body=None, limit_ms=3000):
        """Sends a caller's request and returns the status (0: no answer) and the answer."""
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(limit_ms),
            "Content-Type": "application/json",
        }
        data = None if body is None else json.dumps(body).encode()
        sent = self.record.now()
        try:
            async with self.session.request(
                method,
                f"http://{node.callers}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=limit_ms / 1000 + 0.5),
            ) as response:
                status, text = response.status, (await response.read()).decode()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, text = 0, type(error).__name__
        self.record.add(
            "call", node=node.name, method=method, path=path, sent=f"{sent:.3f}", status=status,
            answer=text[:120].replace(" ", "_"),
        )
        try:
            return status, json.loads(text)
        except ValueError:
            return status, {}

    async def submit(self, node, job, body, prefix="/plan/", limit_ms=3000):
        self.jobs.bodies.setdefault(job, body)
        return await self.call(node, "POST", prefix + job, body, limit_ms)

    async def state(self, job, prefix="/plan/", node=None):
        status, answer = await self.call(node or self.nodes[0], "GET", prefix + job)
        return answer.get("state", f"status {status}") if status == 200 else f"status {status}"

    async def stop(self):
        for node in self.nodes:
            node.end()
        if self.beats:
            self.beats.cancel()
        for worker in self.workers:
            worker.server.close()
        self.store.close()
        if self.session:
            await self.session.close()


def list_runs(history):
    """Returns the runs as (task, number, worker, began, ended, how, noted), in order of start."""
    runs = {}
    for at, kind, task, number, worker, _ in history:
        place = (task, number, worker.id)
        if kind == "start":
            runs[place] = [task, number, worker.id, at, None, None, None]
        elif place in runs and kind.startswith("noted "):
            runs[place][6] = at
        elif place in runs:
            runs[place][4], runs[place][5] = at, kind
    return sorted(runs.values(), key=lambda run: run[3])


def run_case(file, scenario, limit_s=112):
    """Runs a case and exits: 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    ``scenario`` gets the site and whether there is a disruption, and returns what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        record = Record(pathlib.Path(file).parent / "record.txt")
    except OSError as error:
        print(f"record.txt can't be written: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record.add("case", trouble=trouble)

    async def main(folder):
        site = Site(folder, record)
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(site, trouble)
        finally:
            await site.stop()

    # The processes are ended also if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="caroblead-review-") as folder:
        try:
            broken = asyncio.run(main(folder))
            code = BROKEN if broken else HELD
            for line in broken[:20]:
                record.add("broken", what=line)
            record.add("verdict", broken=len(broken))
            print(f"{len(broken)} breaks" + (f"; first: {broken[0]}" if broken else ""))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
            record.add("not_run", error=f"{type(error).__name__}: {error}")
            print(f"the case couldn't run: {type(error).__name__}: {error}", file=sys.stderr)
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    sys.exit(code)
