"""The demonstration: runs a site in one event loop under mixed load and checks its history."""

import asyncio
import json
import time
from pathlib import Path

from rich.console import Console
from rich.table import Table

from ..config.setting import SiteSettings
from ..config.state import ConfigState, apply_ticket
from ..config.ticket import read_ticket
from ..core.data import name_kind, takes_requests
from ..core.resource import compute_dominant_share
from ..events.checker import check_history
from ..events.event import WorkStarted
from ..events.timeline import Record, Timeline, encode_record
from .load import JobPlan, LoadGenerator, LoadResult, RequestPlan, plan_requests, summarize_waits
from .localsite import LocalSite

REQUEST_COUNT = 1200
DURATION_S = 10.0
# How long the site runs on after the load has ended; its idle processor time is measured then.
SETTLE_S = 4.0
JOB_BODIES = {
    "batch": {"tasks": 6, "cores": 2, "memory_mb": 4096, "run_time_s": 2},
    "gang": {"tasks": 4, "cores": 4, "memory_mb": 8192, "run_time_s": 2},
    "service": {"tasks": 2, "cores": 1, "memory_mb": 1024},
}
JOBS_PER_QUEUE = 4
KIND_WEIGHTS = {"urgent": 1.0, "waitable": 3.0}


def plan_work(
    state: ConfigState,
    keys: dict[str, str],
    seed: int,
    requests: int = REQUEST_COUNT,
    seconds: float = DURATION_S,
    with_jobs: bool = True,
) -> list[RequestPlan | JobPlan]:
    """Plans requests and jobs for every queue of a configuration, from all teams of the queue."""
    mix, jobs = [], []
    for queue in state.queues.values():
        kind = name_kind(queue.kind)
        teams = sorted(queue.teams) or [""]
        if takes_requests(queue.kind):
            weight = KIND_WEIGHTS[kind] / len(teams)
            mix += [(queue.name, keys.get(team, ""), kind, weight) for team in teams]
            continue
        for index in range(JOBS_PER_QUEUE if kind != "service" else 1):
            key = keys[teams[index % len(teams)]]
            at_s = seconds / 2 * index / JOBS_PER_QUEUE
            jobs.append(JobPlan(at_s, queue.name, key, JOB_BODIES[kind]))
    return plan_requests(requests, seconds, mix, seed) + (jobs if with_jobs else [])


async def run_load(
    settings: SiteSettings,
    timeline: Timeline,
    requests: int,
    seconds: float,
    with_jobs: bool,
    seed: int,
) -> LoadResult:
    """Sends work to the gates of a running site, through the queues of its first ticket."""
    state = ConfigState()
    apply_ticket(state, read_ticket(settings.standin.first_ticket).value)
    urls = [f"http://{node.host}:{node.http_port}" for node in settings.nodes]
    plans = plan_work(state, settings.standin.demo_keys, seed, requests, seconds, with_jobs)
    return await LoadGenerator(urls, timeline, seed).run(plans)


def measure_packing(site: LocalSite) -> float:
    """Returns the mean utilization of the VMs that run tasks of jobs, from 0 to 1.

    The utilization of a VM is that of its cores or its memory, whichever is higher.
    """
    used = [
        max(
            1 - vm.free.millicores / vm.capacity.millicores,
            1 - vm.free.memory_mb / vm.capacity.memory_mb,
        )
        for placer in site.placers.values()
        for shard in placer.list_owned_shards()
        for vm in shard.cell.vms.values()
        if any(not task.need.slots for task in vm.tasks.values())
    ]
    return sum(used) / len(used) if used else 0.0


def measure_share_distance(site: LocalSite) -> float:
    """Returns how far the worst-served team is below its weighted fair share, from 0 to 1.

    Only teams that have work waiting count: a team without waiting work has all that it asked for.
    The fair share of a team in a shard is its part, by weight, of the sum of the dominant shares of
    these teams.
    """
    worst = 0.0
    for placer in site.placers.values():
        for shard in placer.list_owned_shards():
            rows = shard.cell.teams.values()
            backlogged = [r for r in rows if any(backlog.size for backlog in r.backlogs.values())]
            weights = sum(row.team.share for row in backlogged)
            shares = [compute_dominant_share(row.used, shard.cell.capacity) for row in backlogged]
            for row, share in zip(backlogged, shares, strict=True):
                fair = sum(shares) * row.team.share / weights
                worst = max(worst, fair - share)
    return worst


async def run_demo(settings: SiteSettings, events_path: str, seed: int = 1) -> dict:
    """Runs the demonstration, prints its summary and returns it."""
    site = LocalSite(settings, seed)
    await site.start()
    await site.wait_until_owned()
    cpu_s, wall_s = time.process_time(), time.monotonic()
    state = next(iter(site.gates.values())).follower.state
    urls = [f"http://127.0.0.1:{gate.http_port}" for gate in site.gates.values()]
    load_generator = LoadGenerator(urls, site.make_timeline("load"), seed)
    samples: list[tuple[float, float]] = []
    sampler = asyncio.create_task(_sample(site, samples))
    result = await load_generator.run(plan_work(state, settings.standin.demo_keys, seed))
    idle_wait = asyncio.create_task(asyncio.sleep(SETTLE_S))
    busy_cpu_percent = (time.process_time() - cpu_s) / (time.monotonic() - wall_s) * 100
    cpu_s, wall_s = time.process_time(), time.monotonic()
    await idle_wait
    idle_cpu = (time.process_time() - cpu_s) / (time.monotonic() - wall_s) * 100
    sampler.cancel()
    history = site.collect_history()
    violations = check_history(history)
    await site.close()
    write_history(history, events_path)
    summary = {
        "requests": result.requests,
        "answered": result.outcomes["answered"],
        "not_run": result.outcomes["not_run"],
        "unknown": result.outcomes["unknown"],
        "jobs": len(result.jobs),
        "tasks_started": _count_tasks(history),
        "violations": len(violations) + result.outcomes["crossed"],
        "wait_ms": summarize_waits(result),
        "packing": round(max((p for p, _ in samples), default=0.0), 3),
        "share_distance": round(max((d for _, d in samples), default=0.0), 3),
        "control_cpu_percent": round(idle_cpu / len(settings.nodes), 2),
    }
    show_summary(summary, busy_cpu_percent, violations, events_path)
    return summary


async def _sample(site: LocalSite, samples: list[tuple[float, float]]):
    while True:
        samples.append((measure_packing(site), measure_share_distance(site)))
        await asyncio.sleep(0.5)


def _count_tasks(history: list[Record]) -> int:
    return sum(
        isinstance(record.event, WorkStarted) and not record.event.slots for record in history
    )


def write_history(history: list[Record], path: str):
    """Writes a merged history to a file as JSON lines."""
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    Path(path).write_text("".join(encode_record(record) + "\n" for record in history))


def show_summary(summary: dict, busy_cpu_percent: float, violations: list, events_path: str):
    """Prints a table for people, then the summary as JSON on the last line."""
    console = Console()
    table = Table(title="caroblead demonstration")
    table.add_column("measure")
    table.add_column("value", justify="right")
    for name, value in summary.items():
        if name != "wait_ms":
            table.add_row(name, str(value))
    for kind, wait in summary["wait_ms"].items():
        table.add_row(f"wait of {kind} requests, median", f"{wait['p50']} ms")
        table.add_row(f"wait of {kind} requests, 99th percentile", f"{wait['p99']} ms")
    table.add_row("processor time of all programs under load", f"{busy_cpu_percent:.0f} %")
    console.print(table)
    for violation in violations[:20]:
        console.print(f"violated: {violation.promise}: {violation.detail}")
    console.print(f"timeline: {events_path} (see caroblead timeline show)")
    print(json.dumps(summary))
