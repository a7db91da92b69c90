"""A small deployment for the cases of this review: real nodes, and stand-ins for everything else.

Three nodes run as processes of their own, with the command, the template and the libraries of the
deploy file, each at a loopback address of its own. The store, the minions and the advice service
are the project's stand-ins, changed where our pages ask for more: a minion that starts again keeps
its id and says by ``born`` when it has started, and a minion can be cut off from all nodes while it
runs on. Callers speak HTTP. All that was sent, answered and run goes into ``record.txt``.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from dataclasses import replace
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from caroblead.bench.deployedsite import make_template_values  # noqa: E402
from caroblead.core.resource import Resources  # noqa: E402
from caroblead.dispatch.interface import ListedVm, LogLimits  # noqa: E402
from caroblead.jobs.data import JobQueue, JobSpec, StepSpec  # noqa: E402
from caroblead.jobs.record import KeyedRecord  # noqa: E402
from caroblead.platform import configuration, registry  # noqa: E402
from caroblead.standin.caller import (  # noqa: E402
    encode_configuration,
    encode_step,
    encode_vm_entry,
)
from caroblead.standin.deployedplatform import DeployedPlatform  # noqa: E402
from caroblead.standin.network import choose_network  # noqa: E402
from caroblead.standin.template import fill_template  # noqa: E402
from caroblead.standin.verdict import CallerRecords  # noqa: E402
from caroblead.standin.vmsimulator import VmSimulator  # noqa: E402
from caroblead.standin.work import make_behavior_lookup, make_spec  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
HELD, BROKEN, NOT_RUN = 0, 1, 2
NODES = ("n0", "n1", "n2")
ZONES = ("a", "b", "c")
SERVICE = "planner"
PORT = 8182
KEYS = ("key-of-team-0", "key-of-team-1")
QUEUE = JobQueue("reviews", "a.example", "/r/", SERVICE, 1, 6, 4.0, 3.0)
CAPACITY = Resources(16_000, 65_536)
# A minion writes its entry this often; the entry goes after three such intervals of silence.
HEARTBEAT_S = 1.5
DEADLINE_MS = 3000
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class Minions(VmSimulator):
    """The project's minions; one that starts again says by ``born`` when it has started."""

    def _restart(self, vm):
        super()._restart(vm)
        vm.incarnation = int(time.time() * 1000)


class Platform(DeployedPlatform):
    """The project's platform, whose minions may also be cut off.

    A minion that is down refuses calls at once, as a machine does on which the process is gone. One
    that is ``cut_off`` gets no call, and its answers get lost, while it runs on.
    """

    def __init__(self, minions: Minions):
        super().__init__(minions, LogLimits(), CallerRecords(), 1)
        self.cut_off: set[str] = set()

    async def _answer_run_start(self, request, body):
        return await self._answer(request, body, super()._answer_run_start)

    async def _answer_run_stop(self, request, body):
        return await self._answer(request, body, super()._answer_run_stop)

    async def _answer_pace(self, request, body):
        return await self._answer(request, body, super()._answer_pace)

    async def _answer_hold(self, request, body):
        return await self._answer(request, body, super()._answer_hold)

    async def _answer(self, request, body, answer):
        name = request.headers["Expect-Instance"]
        vm = self.vm_simulator.vms[name]
        if name in self.cut_off:
            return await self._break_off(request, True)
        if not vm.up:
            return await self._break_off(request, False)
        born = vm.incarnation
        waiting = asyncio.ensure_future(answer(request, body))
        while not waiting.done():
            # A call that waits at a minion ends with the process of the minion.
            await asyncio.wait([waiting], timeout=0.01)
            if not vm.up or vm.incarnation != born:
                waiting.cancel()
                return await self._break_off(request, False)
        if name in self.cut_off:
            return await self._break_off(request, True)
        return waiting.result()


class Site:
    """One run of a case: the processes, the stand-ins, and the record of what happened."""

    def __init__(self, case: Path, minion_count: int):
        self.case, self.minion_count = case, minion_count
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.network = choose_network()
        self.jobs: dict[str, JobSpec] = {}
        self.minions = Minions(make_behavior_lookup(self.jobs))
        self.platform = Platform(self.minions)
        self.processes: dict[str, subprocess.Popen] = {}
        self.lines: list[tuple[float, str]] = []
        self.session: aiohttp.ClientSession | None = None
        self.version = 0

    # Record.

    def note(self, text: str):
        """Adds a line to the record."""
        self.lines.append((asyncio.get_running_loop().time(), text))

    def write_record(self, verdict: str):
        """Writes the record: all calls of callers, all disruptions and all runs, by time."""
        runs = [
            (event.at_s, f"minion {event.vm}: {event.kind} {event.task} run {event.number}")
            for event in self.minions.history
        ]
        rows = sorted(self.lines + runs)
        start_s = rows[0][0] if rows else 0.0
        text = "".join(f"{at_s - start_s:8.3f} {line}\n" for at_s, line in rows)
        (self.case / "record.txt").write_text(f"{verdict}\nTROUBLE={TROUBLE}\n{text}")

    # Processes.

    def host(self, node: str) -> str:
        """Returns the address of a node."""
        return f"{self.network}.{1 + NODES.index(node)}"

    async def start(self):
        """Starts the stand-ins and the nodes, and waits until a minion has been called."""
        stores = [f"{self.network}.{101 + number}" for number in range(len(NODES))]
        vms = [self.make_minion(number) for number in range(self.minion_count)]
        await self.platform.start(stores + [vm.address.split(":")[0] for vm in vms], PORT)
        self.publish()
        for vm in vms:
            self.minions.add(vm)
            self.register(vm.name)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4.0))
        for number, node in enumerate(NODES):
            values = make_template_values(
                node, ZONES[number], self.host(node), f"{stores[number]}:{PORT}"
            )
            template = (ROOT / "deploy" / "settings.json").read_text()
            (self.folder / f"{node}.json").write_text(fill_template(template, values))
            self.start_node(node)
        minions = self.minions.vms.values()
        if not await self.wait_until(lambda: all(vm.term for vm in minions), 30.0):
            raise RuntimeError("no leader has called all minions")
        self.note("all minions have been called by the leader")

    def make_minion(self, number: int) -> ListedVm:
        """Returns the entry of a minion."""
        rack = f"r{number // 4}"
        address = f"{self.network}.{150 + number}:{PORT}"
        born = int(time.time() * 1000)
        zone = ZONES[number % len(ZONES)]
        name, labels = f"m-{number}", ("kind", rack)
        return ListedVm(name, born, SERVICE, address, zone, rack, labels, CAPACITY, False)

    def start_node(self, node: str):
        """Starts a node as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CAROBLEAD_SETTINGS": str(self.folder / f"{node}.json"),
        }
        with open(self.folder / f"{node}.log", "ab") as output:
            self.processes[node] = subprocess.Popen(
                [sys.executable, *command[1:]],
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )
        self.note(f"node {node}: started")

    def kill_node(self, node: str):
        """Kills a node."""
        self.processes[node].kill()
        self.processes[node].wait()
        self.note(f"node {node}: killed")

    def find_leader(self) -> str:
        """Returns the node that has begun the last term, as the store shows it."""
        topic = self.platform.get_topic("keyed.caroblead")
        _, value = topic.newest["t/leader"]
        return json.loads(value)[1]

    async def close(self):
        """Ends all processes of this run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.session is not None:
            await self.session.close()
        await self.platform.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until(self, condition, timeout_s: float) -> bool:
        """Waits for a condition; returns false after the timeout."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not condition():
            if loop.time() > end_s:
                return False
            await asyncio.sleep(0.01)
        return True

    # The operator and the minions.

    def publish(self, caps: dict[int, dict] | None = None):
        """Publishes a manifest; ``caps`` holds the caps of tenants by their number."""
        self.version += 1
        manifest = json.loads(encode_configuration(self.version, {QUEUE.name: QUEUE}, *KEYS))
        for number, cap in (caps or {}).items():
            manifest["tenants"][number]["cap"] = cap
        topic = self.platform.get_topic(configuration.TOPIC)
        topic.append([KeyedRecord(configuration.KEY, json.dumps(manifest).encode())], None)
        self.note(f"operator: manifest {self.version}, caps {json.dumps(caps or {})}")

    def register(self, name: str):
        """Writes the entry of a minion, as it does itself when it starts."""
        vm = self.minions.vms[name]
        entry = encode_vm_entry(replace(vm.listed, incarnation=vm.incarnation))
        self.platform.get_topic(registry.TOPIC).append([KeyedRecord(name, entry)], None)

    def unregister(self, name: str):
        """Removes the entry of a minion that has been silent for too long."""
        self.platform.get_topic(registry.TOPIC).append([KeyedRecord(name, b"")], None)

    async def crash_minion(self, name: str, down_s: float, entry_s: float = 0.02):
        """Ends the process of a minion, which starts again under the same id.

        It writes its entry ``entry_s`` seconds after its start.
        """
        self.note(f"minion {name}: its process ends, for {down_s} s")
        self.minions.crash(name, down_s)
        await asyncio.sleep(down_s + entry_s)
        self.register(name)
        self.note(f"minion {name}: has started again and has written its entry")

    async def cut_minion(self, name: str, for_s: float):
        """Cuts a minion off from all nodes and from the store; it runs on."""
        self.note(f"minion {name}: cut off, for {for_s} s")
        self.platform.cut_off.add(name)
        silent_s = 3 * HEARTBEAT_S
        await asyncio.sleep(min(for_s, silent_s))
        if for_s > silent_s:
            self.unregister(name)
            await asyncio.sleep(for_s - silent_s)
        self.platform.cut_off.discard(name)
        self.note(f"minion {name}: no longer cut off")
        self.register(name)

    # Callers.

    async def call(
        self, method: str, node: str, job: str, spec: JobSpec | None = None, tenant: int = 0
    ):
        """Sends a call to a node; returns the status (0 if there is none) and the body."""
        body = None
        if spec is not None:
            steps = [encode_step(step) | make_flags(step) for step in spec.steps]
            message = {"spec": spec.payload, "steps": steps}
            if spec.repeats:
                message["repetitions"] = spec.repeats
                message["startAtMs"] = int(spec.first_due_s * 1000)
                message["intervalMs"] = int(spec.interval_s * 1000)
            body = json.dumps(message)
        headers = {
            "Host": QUEUE.host,
            "Authorization": f"Bearer {KEYS[tenant]}",
            "Content-Type": "application/json",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{self.host(node)}:8183{QUEUE.path}{job}"
        try:
            async with self.session.request(method, url, data=body, headers=headers) as response:
                status, answer = response.status, await response.text()
        except CALL_ERRORS as error:
            status, answer = 0, type(error).__name__
        self.note(f"caller to {node}: {method} {job} -> {status} {answer[:80]}")
        return status, answer

    async def submit(self, job: str, spec: JobSpec, tenant: int = 0) -> bool:
        """Submits a job, at another node after each try; returns whether it was accepted."""
        self.jobs[job] = spec
        for number in range(5):
            node = NODES[(int(job, 16) + number) % len(NODES)]
            status, _ = await self.call("POST", node, job, spec, tenant)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def ask(self, job: str, tenant: int = 0) -> str:
        """Returns the state of a job as any node shows it, or an empty string."""
        for node in NODES:
            status, answer = await self.call("GET", node, job, tenant=tenant)
            if status == 200:
                return json.loads(answer)["state"]
        return ""


def make_flags(step: StepSpec) -> dict:
    """Returns the fields of a step that the project's own encoder of calls leaves out."""
    return {"longRunning": True} if step.endless else {}


def make_job(seconds: float, count: int, millicores: int, **options) -> JobSpec:
    """Returns a job of one step, each of whose tasks works for ``seconds``."""
    need = Resources(millicores, 1024)
    return make_spec(StepSpec(count, need, seconds, **options), seconds=seconds)


def find_doubled(minions: Minions) -> list[str]:
    """Returns where the rule TWICE was broken.

    That is where a run starts while another run of its task is going on at a minion that is up, or
    after a run has ended ``done`` whose end was taken note of before the lease lapsed.
    """
    noted = {(event.task, event.number) for event in minions.history if event.kind == "noted done"}
    running, done, found = defaultdict(set), {}, []
    for event in sorted(minions.history, key=lambda item: item.at_s):
        place = (event.number, event.vm)
        if event.kind == "start":
            others = running[event.task] - {place}
            if others:
                run = f"run {event.number} on {event.vm}"
                found.append(f"{event.task}: {run} starts beside {others}")
            if event.task in done:
                number = done[event.task]
                found.append(f"{event.task}: run {event.number} starts after run {number} was done")
            running[event.task].add(place)
        elif event.kind in ("done", "failed", "stopped", "lapsed"):
            running[event.task].discard(place)
            if event.kind == "done" and (event.task, event.number) in noted:
                done.setdefault(event.task, event.number)
    return found


def run_case(case: str, minion_count: int, play):
    """Runs a case and exits with its status; ``play`` returns what was broken, as lines."""
    folder = Path(case).resolve().parent

    async def main() -> int:
        status, verdict = NOT_RUN, "not run"
        try:
            site = Site(folder, minion_count)
        except Exception as error:
            print(f"not run: {type(error).__name__}: {error}")
            return status
        try:
            async with asyncio.timeout(105):
                await site.start()
                broken = await play(site)
            status = BROKEN if broken else HELD
            verdict = "broken:\n" + "\n".join(broken) if broken else "held"
        except Exception as error:
            verdict = f"not run: {type(error).__name__}: {error}"
        finally:
            try:
                site.write_record(verdict)
            finally:
                await site.close()
        print(verdict)
        return status

    sys.exit(asyncio.run(main()))
