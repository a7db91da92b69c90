"""A small deployment on loopback addresses: nodes, minions, the store and requesters.

The nodes are started with the command of the deploy file and with settings made from its template.
All that is sent, answered and run goes to record.txt in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(HERE), str(ROOT / "target" / "deps")]

from store import Store  # noqa: E402

PORT = 8182
FRONTEND_PORT, READINESS_PORT, PEER_PORT = 8183, 8184, 7420
HOLD_MAX_MS = 10_000
GRACE_S = 6
ZONES = ("ankara-a", "konya-b", "kayseri-c")
SERVICE = "alignment-planner"
DEADLINE_MS = 3000
HEAD = time.monotonic()


def choose_network():
    """Returns the beginning of loopback addresses that nothing else uses."""
    while True:
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError):
            with socket.create_server((f"{network}.101", PORT)):
                return network


def fill(template, values):
    """Fills in the placeholders and sections of the settings template."""
    import re

    def look_up(path, values):
        for name in path.split("."):
            if name and isinstance(values, dict):
                values = values.get(name)
            elif name and isinstance(values, list):
                values = values[int(name)]
        return values

    def section(match):
        value = look_up(match[2], values)
        if bool(value) != (match[1] == "#"):
            return ""
        return match[3].replace("{{.}}", json.dumps(value))

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(look_up(m[1], values)), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m[1], values) or ""), text)


class Site:
    """One run of a case; `case` is its folder."""

    def __init__(self, case, nodes=3, minions=8, cpu=16_000, mem_mb=65_536, gpus=None):
        self.case = pathlib.Path(case)
        self.network = choose_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.nodes = [f"edge-{ZONES[n % 3]}-{n + 1}" for n in range(nodes)]
        self.minions = [f"i-{n:02d}" for n in range(minions)]
        self.cpu, self.mem_mb, self.gpus = cpu, mem_mb, gpus or {}
        self.processes = {}
        self.events = []
        self.ready = set()
        self.version = 0
        self.tasks = []

    def log(self, kind, **fields):
        self.events.append({"s": time.monotonic(), "kind": kind, **fields})

    # Processes.

    def environment(self):
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        return {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}

    def host(self, node):
        return f"{self.network}.{1 + self.nodes.index(node)}"

    def start_node(self, node):
        host, number = self.host(node), self.nodes.index(node)
        store = f"{self.network}.101:{PORT}"
        values = {
            "nodeName": node,
            "zone": ZONES[number % 3],
            "ip": host,
            "internalPorts": [PEER_PORT, PEER_PORT + 15],
            "listen": {
                "frontend": f"{host}:{FRONTEND_PORT}",
                "readiness": f"{host}:{READINESS_PORT}",
            },
            "recommendation": "",
            "platform": {"address": store, "recordBytes": 262_144, "requestBytes": 2_097_152},
            "limits": {"cpuShares": 0.537, "cores": 2, "linkMbps": 1000.0},
            "bounds": {
                "strictRevocation": True,
                "configApplyMs": 2000,
                "revokeMs": 5000,
                "graceS": GRACE_S,
                "holdMaxMs": HOLD_MAX_MS,
            },
        }
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        settings = self.folder / f"{node}.json"
        settings.write_text(fill((ROOT / role["template"]).read_text(), values))
        environment = {**self.environment(), "CAROBLEAD_SETTINGS": str(settings)}
        self.spawn(node, role["run"].split(), environment, ROOT)
        self.log("node started", node=node)

    def start_minion(self, minion):
        number = self.minions.index(minion)
        options = {
            "id": minion,
            "host": f"{self.network}.{150 + number}",
            "port": PORT,
            "store": f"{self.network}.100:{PORT}",
            "service": SERVICE,
            "zone": ZONES[number % 3],
            "labels": f"{'ab'[number % 2]},r{number // 6}",
            "cpu": self.cpu,
            "mem-mb": self.mem_mb,
            "gpu": self.gpus.get(minion, 0),
            "hold-max-ms": HOLD_MAX_MS,
            "history": self.folder / f"{minion}.history",
        }
        words = [f"--{name}={value}" for name, value in options.items()]
        self.spawn(minion, ["python3", str(HERE / "minion.py"), *words], self.environment(), HERE)

    def spawn(self, name, words, environment, folder):
        with open(self.folder / f"{name}.log", "ab") as output:
            self.processes[name] = subprocess.Popen(
                words, stdout=output, stderr=output, env=environment, cwd=folder
            )

    def kill(self, name, how=signal.SIGKILL):
        self.log("signal", process=name, signal=signal.Signals(how).name)
        self.processes[name].send_signal(how)

    async def restart_minion(self, minion, down_s):
        """Crashes a minion, which starts again under its id."""
        self.kill(minion)
        self.processes[minion].wait()
        await asyncio.sleep(down_s)
        self.log("minion started again", minion=minion)
        self.start_minion(minion)

    # The platform.

    def publish(self, routes, tenants):
        """Writes the next manifest."""
        self.version += 1
        services = [{"name": SERVICE}]
        manifest = {
            "version": self.version,
            "routes": [{"service": SERVICE, **route} for route in routes],
            "services": services,
            "tenants": tenants,
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())
        self.log("manifest", version=self.version)

    async def check_readiness(self):
        """Asks every node once a second; after two misses it gets no new channels."""
        misses = {}
        while True:
            for node in self.nodes:
                ok = await self.is_ready(node)
                misses[node] = 0 if ok else misses.get(node, 0) + 1
                if ok:
                    self.ready.add(node)
                elif misses[node] >= 2:
                    self.ready.discard(node)
            await asyncio.sleep(1.0)

    async def is_ready(self, node):
        url = f"http://{self.host(node)}:{READINESS_PORT}/api/readyz"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=0.5)) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    # Requesters.

    async def send(self, method, route, name, key, body=None, node=None):
        """Sends one call and returns its status and body; no answer is status 0."""
        node = node or random.choice(sorted(self.ready) or self.nodes)
        url = f"http://{self.host(node)}:{FRONTEND_PORT}{route['pathPrefix']}{name}"
        headers = {
            "Host": route["host"],
            "Authorization": f"Bearer {key}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": "application/json",
        }
        data = None if body is None else json.dumps(body).encode()
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        try:
            async with self.session.request(
                method, url, headers=headers, data=data, timeout=timeout
            ) as reply:
                status, text = reply.status, await reply.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, text = 0, type(error).__name__
        self.log("call", method=method, id=name, node=node, status=status, body=text[:200])
        return status, text

    async def submit(self, route, key, steps, spec, tries=8):
        """Submits a job until it is accepted; returns its id, or nothing."""
        name = secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(tries):
            status, _ = await self.send("POST", route, name, key, body)
            if 200 <= status < 300:
                return name
            await asyncio.sleep(0.3)
        return None

    async def ask(self, route, name, key):
        """Returns the state of a job, or nothing if there is no answer."""
        status, text = await self.send("GET", route, name, key)
        return json.loads(text)["state"] if status == 200 else None

    # The run.

    async def start(self, routes, tenants):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        self.runner = await self.store.serve(
            [f"{self.network}.100", f"{self.network}.101"], PORT
        )
        self.tasks = [asyncio.create_task(self.store.expire())]
        self.publish(routes, tenants)
        for minion in self.minions:
            self.start_minion(minion)
        for node in self.nodes:
            self.start_node(node)
        self.tasks.append(asyncio.create_task(self.check_readiness()))
        until_s = time.monotonic() + 25
        while time.monotonic() < until_s:
            if len(self.ready) == len(self.nodes) and len(self.store.entries) == len(self.minions):
                return True
            await asyncio.sleep(0.2)
        return False

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        await self.session.close()
        await self.runner.cleanup()

    def read_history(self):
        """Returns what the minions have noted, in the order of time."""
        lines = []
        for path in self.folder.glob("*.history"):
            lines += [json.loads(line) for line in path.read_text().splitlines() if line]
        return sorted(lines, key=lambda entry: entry["s"])

    def write_record(self, verdict):
        """Writes record.txt: all events in the order of time, and the verdict."""
        entries = sorted(self.events + self.read_history(), key=lambda entry: entry["s"])
        with open(self.case / "record.txt", "w") as record:
            for entry in entries:
                fields = {k: v for k, v in entry.items() if k not in ("s", "kind")}
                record.write(f"{entry['s'] - HEAD:9.3f} {entry['kind']}: {json.dumps(fields)}\n")
            record.write(verdict + "\n")

    def read_node_log(self, kind):
        """Returns the lines of one kind in the nodes' logs, for the record."""
        lines = []
        for node in self.nodes:
            text = (self.folder / f"{node}.log").read_text(errors="replace")
            lines += [line for line in text.splitlines() if f'"{kind}"' in line]
        return lines


def run(case, play):
    """Plays a case and exits: 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main():
        # A case that is told to end also ends what it has started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                _, broken, verdict = await play(os.environ.get("TROUBLE", "1") != "0")
            return 1 if broken else 0, verdict
        except (Exception, asyncio.CancelledError) as error:
            return 2, f"the case couldn't run: {type(error).__name__}: {error}"

    status, verdict = asyncio.run(main())
    print(verdict)
    sys.exit(status)
