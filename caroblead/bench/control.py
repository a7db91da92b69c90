"""Measures the control-plane cost of a node: ``python -m caroblead.bench.control``.

The programs run as separate processes. One parameter is varied at a time, at three sizes: the VMs
of a shard, the entry VMs of the fleet, and the task starts per second. CPU time is read from the
operating system, for the placer and the gate separately; the platform stand-in counts the bytes
that it receives from and sends to a node. The slopes are used in ``docs/CAPACITY.md``.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import cyclopts
from rich.console import Console
from rich.table import Table

from ..config.setting import SiteSettings
from ..tools.localsite import use_free_ports
from ..tools.scenario import KEYS, make_site_settings
from ..wire.frame import encode_message
from ..wire.gen import ttypes

WARM_UP_S = 8.0
SAMPLE_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TASK_RUN_S = 2.0


@dataclass(slots=True, frozen=True)
class Case:
    """One run: the parameter that is varied (``series``), its value (``size``) and the site.

    ``nodes`` and ``vms`` are counts for the only zone of the site.
    """

    series: str
    size: int
    nodes: int
    vms: int
    starts_per_s: int = 0


@dataclass(slots=True, frozen=True)
class Cost:
    """The resource use of the placer and gate on the node that owns the shard.

    CPU is in percent of one core; bytes, calls and log appends are per second; ``memory_mb`` is the
    resident memory of the placer in MiB.
    """

    case: Case
    placer_cpu_percent: float
    gate_cpu_percent: float
    platform_bytes: float
    platform_calls: float
    appends: float
    memory_mb: float


CASES = (
    Case("vms", 8, 1, 8),
    Case("vms", 24, 1, 24),
    Case("vms", 56, 1, 56),
    Case("nodes", 2, 2, 8),
    Case("nodes", 5, 5, 8),
    Case("nodes", 8, 8, 8),
    Case("starts", 5, 1, 24, 5),
    Case("starts", 20, 1, 24, 20),
    Case("starts", 53, 1, 24, 53),
)


def read_cpu_s(pid: int) -> float:
    """Returns the user and system CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def start_site(case: Case, directory: Path) -> tuple[SiteSettings, dict]:
    """Starts the processes of a case; returns the settings and the processes by name and node."""
    settings = make_site_settings(zones=1, nodes=case.nodes, vms=case.vms, service_ms=20.0)
    standin = settings.standin.model_copy(update={"cores": 64, "memory_mb": 262_144})
    ticket = json.loads(json.dumps(standin.first_ticket))
    for team in ticket["teams"]:
        team["max_running"] = 10_000
    standin = standin.model_copy(update={"first_ticket": ticket})
    settings = use_free_ports(settings.model_copy(update={"standin": standin}))
    path = directory / "site.json"
    path.write_text(settings.model_dump_json())
    programs = {("platform", ""): start_program("platform", path)}
    time.sleep(0.7)
    for node in settings.nodes:
        for name in ("placer", "gate"):
            programs[name, node.node] = start_program(name, path, "--node", node.node)
    return settings, programs


def start_program(name: str, path: Path, *arguments: str) -> subprocess.Popen:
    """Starts one of the programs as a separate process."""
    code = f"from caroblead.tools.programs import run_{name}; run_{name}()"
    command = [sys.executable, "-c", code, "--settings", str(path), *arguments]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


async def run_case(case: Case) -> Cost:
    """Runs a case and returns its cost."""
    with tempfile.TemporaryDirectory() as directory:
        settings, programs = start_site(case, Path(directory))
        try:
            async with aiohttp.ClientSession() as session:
                return await _sample(case, settings, programs, session)
        finally:
            for program in programs.values():
                program.send_signal(signal.SIGKILL)
                program.wait()


async def _sample(case: Case, settings: SiteSettings, programs: dict, session) -> Cost:
    await asyncio.sleep(WARM_UP_S)
    gate = f"http://127.0.0.1:{settings.nodes[0].http_port}"
    owner = await _find_owner(session, gate)
    stop = asyncio.Event()
    submitter = asyncio.create_task(_submit_jobs(session, gate, case.starts_per_s, stop))
    await asyncio.sleep(3.0)
    placer_pid, gate_pid = programs["placer", owner].pid, programs["gate", owner].pid
    before = read_cpu_s(placer_pid), read_cpu_s(gate_pid), await _read_stats(session, settings)
    start_s = time.monotonic()
    await asyncio.sleep(SAMPLE_S)
    elapsed_s = time.monotonic() - start_s
    after = read_cpu_s(placer_pid), read_cpu_s(gate_pid), await _read_stats(session, settings)
    stop.set()
    await submitter
    deltas = {
        name: after[2][name].get(owner, 0) - before[2][name].get(owner, 0)
        for name in ("bytes", "calls")
    }
    return Cost(
        case,
        (after[0] - before[0]) / elapsed_s * 100,
        (after[1] - before[1]) / elapsed_s * 100,
        deltas["bytes"] / elapsed_s,
        deltas["calls"] / elapsed_s,
        (after[2]["appends"] - before[2]["appends"]) / elapsed_s,
        read_memory_mb(placer_pid),
    )


async def _find_owner(session, gate: str) -> str:
    async with session.get(f"{gate}/v1/status") as response:
        nodes = (await response.json())["nodes"]
    return next(node["node"] for node in nodes if node["shards"])


async def _read_stats(session, settings: SiteSettings) -> dict:
    async with session.get(f"{settings.platform.log_url}/stats") as response:
        return await response.json()


async def _submit_jobs(session, gate: str, starts_per_s: int, stop: asyncio.Event):
    """Submits one job per second with as many tasks as there should be starts per second."""
    if not starts_per_s:
        return
    body = {"tasks": starts_per_s, "cores": 1, "memory_mb": 512, "run_time_s": TASK_RUN_S}
    headers = {"Authorization": f"Bearer {KEYS['north']}"}
    while not stop.is_set():
        path = f"{gate}/v1/queues/mix/jobs"
        async with session.post(path, json=body, headers=headers) as response:
            await response.read()
        await asyncio.sleep(1.0)


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns the slope and the intercept of the least-squares line through the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    cross_product_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = cross_product_sum / sum((x - mean_x) ** 2 for x, _ in points)
    return slope, mean_y - slope * mean_x


def measure_digest_bytes() -> dict[str, int]:
    """Returns the size on the wire of a digest message between placers, with its frame."""
    shard = ttypes.ShardDigest(shard="z1.0", epoch=12, free_slots=60, free_millicores=9000)
    shard.waiting = 3
    digest = ttypes.Digest(
        node="z1-1",
        zone="z1",
        incarnation="z1-1~1a2b3c4d",
        host="10.12.130.41",
        placer_port=7300,
        gate_port=7200,
        ticket=4711,
        config=2**62,
        draining=False,
        shards=[shard],
        settled=4711,
    )
    envelope = ttypes.Envelope(call=0, kind=6, clock=123456, budget_ms=0)
    envelope.body = encode_message(digest)
    return {"digest_bytes": len(encode_message(envelope)) + 4}


async def run_cases() -> list[Cost]:
    """Runs all cases, three at a time."""
    costs = []
    for index in range(0, len(CASES), 3):
        costs += await asyncio.gather(*(run_case(case) for case in CASES[index : index + 3]))
    return costs


def main() -> int:
    """Measure the control-plane cost and print the slopes."""
    costs = asyncio.run(run_cases())
    table = Table(title="control-plane cost of the owning node")
    columns = (
        "varied",
        "size",
        "placer %",
        "gate %",
        "bytes/s",
        "calls/s",
        "appends/s",
        "placer MB",
    )
    for column in columns:
        table.add_column(column, justify="right")
    for cost in costs:
        values = (
            cost.placer_cpu_percent,
            cost.gate_cpu_percent,
            cost.platform_bytes,
            cost.platform_calls,
            cost.appends,
            cost.memory_mb,
        )
        table.add_row(cost.case.series, str(cost.case.size), *(f"{v:.2f}" for v in values))
    Console(width=110).print(table)
    slopes: dict[str, float] = dict(measure_digest_bytes())
    for series in ("vms", "nodes", "starts"):
        rows = [cost for cost in costs if cost.case.series == series]
        for name in ("placer_cpu_percent", "gate_cpu_percent", "platform_bytes", "appends"):
            points = [(cost.case.size, getattr(cost, name)) for cost in rows]
            slope, intercept = fit_line(points)
            slopes[f"{name} a unit of {series}"] = round(slope, 4)
            slopes[f"{name} at no {series}"] = round(intercept, 4)
    print(json.dumps(slopes, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(cyclopts.App(default_command=main)())
