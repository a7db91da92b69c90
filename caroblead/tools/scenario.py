"""Failure scenarios: run a small site under load, inject faults and check the recorded history.

The failure tests and the longer search of ``make faults`` share this module. A scenario runs in
virtual time, so that a minute of it takes about a second and the same seed gives the same run.
"""

import asyncio
import hashlib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..config.setting import SiteSettings
from ..core.loop import run_in_virtual_time
from ..events.checker import Violation, check_history
from ..events.event import JobEnded, OwnerChanged, ProcessKilled
from ..events.timeline import Record
from ..placer.job import describe_job
from .load import JobPlan, LoadGenerator, LoadResult, RequestPlan, plan_requests
from .localsite import LocalSite

SEED = 7
# The bearer key of each team.
KEYS = {"north": "key-north", "south": "key-south"}


@dataclass(slots=True)
class ScenarioReport:
    """The results of a scenario: violations, outcomes of the load, history and states of jobs."""

    violations: list[Violation]
    result: LoadResult
    history: list[Record]
    site: LocalSite
    state_counts: Counter = field(default_factory=Counter)
    job_states: dict[str, str] = field(default_factory=dict)


def hash_key(key: str) -> str:
    """Returns the SHA-256 digest by which tickets identify a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_first_ticket(zones: list[str]) -> dict:
    """Returns the first ticket of a scenario's site: two teams and queues of every kind."""
    teams = list(KEYS)
    queues = [
        {"name": "check", "kind": "urgent", "teams": teams, "deadline_s": 10},
        {"name": "recalc", "kind": "waitable", "teams": teams, "deadline_s": 30},
        {"name": "hold", "kind": "urgent", "teams": teams, "deadline_s": 10, "repeatable": False},
        {"name": "mix", "kind": "batch", "teams": teams},
        {"name": "render", "kind": "batch", "teams": teams, "repeatable": False},
        {"name": "book", "kind": "gang", "teams": teams},
        {"name": "desk", "kind": "service", "teams": teams},
        {"name": "hours", "kind": "waitable", "open_team": "south", "deadline_s": 10},
    ]
    return {
        "ticket": 1,
        "teams": [{"name": name, "share": 1, "max_running": 60} for name in teams],
        "keys": [{"digest": hash_key(key), "team": team} for team, key in KEYS.items()],
        "queues": queues,
        "zones": [{"name": zone, "region": "r", "shards": 1} for zone in zones],
    }


def make_site_settings(
    zones: int = 2, nodes: int = 2, vms: int = 3, service_ms: float = 400.0, **limits
) -> SiteSettings:
    """Returns the settings of a small site, with the given numbers of nodes and VMs per zone."""
    names = [f"z{index + 1}" for index in range(zones)]
    raw = {
        "limits": limits,
        "nodes": [
            {
                "node": f"{zone}-{index + 1}",
                "zone": zone,
                "http_port": 0,
                "gate_port": 0,
                "placer_port": 0,
            }
            for zone in names
            for index in range(nodes)
        ],
        "standin": {
            "zones": [{"zone": zone, "region": "r", "vms": vms, "rack_size": 2} for zone in names],
            "cores": 8,
            "memory_mb": 16384,
            "service_ms": service_ms,
            "first_ticket": make_first_ticket(names),
            "demo_keys": KEYS,
        },
    }
    return SiteSettings.model_validate(raw)


def plan_mixed_requests(count: int, seconds: float, seed: int = SEED) -> list[RequestPlan]:
    """Plans requests of every kind from both teams, and some without a key."""
    mix = [
        (queue, key, queue, weight)
        for key in KEYS.values()
        for queue, weight in (("check", 2.0), ("recalc", 3.0), ("hold", 2.0))
    ]
    mix.append(("hours", "", "hours", 1.0))
    return plan_requests(count, seconds, mix, seed)


def plan_mixed_jobs(count: int, seconds: float) -> list[JobPlan]:
    """Plans jobs of every kind at even intervals over a period."""
    bodies = [
        ("mix", {"tasks": 3, "cores": 2, "memory_mb": 2048, "run_time_s": 4}),
        ("render", {"tasks": 2, "cores": 2, "memory_mb": 2048, "run_time_s": 5}),
        ("book", {"tasks": 3, "cores": 2, "memory_mb": 1024, "run_time_s": 3}),
        ("desk", {"tasks": 2, "cores": 1, "memory_mb": 512}),
    ]
    keys = list(KEYS.values())
    plans = []
    for index in range(count):
        queue, body = bodies[index % len(bodies)]
        plans.append(JobPlan(seconds * index / count, queue, keys[index % len(keys)], body))
    return plans


# Injects a fault into a running site; may be a coroutine function.
FaultAction = Callable[[LocalSite], Awaitable[None] | None]


async def execute_scenario(
    settings: SiteSettings,
    plans: list,
    faults: list[tuple[float, FaultAction]],
    settle_s: float = 30.0,
    seed: int = SEED,
) -> ScenarioReport:
    """Runs one scenario in the current event loop and returns its report.

    After the load has ended, the site runs on for ``settle_s`` before its history is checked.
    """
    site = LocalSite(settings, seed)
    await site.start()
    await site.wait_until_owned()
    urls = [f"http://127.0.0.1:{gate.http_port}" for gate in site.gates.values()]
    load_generator = LoadGenerator(urls, site.make_timeline("load"), seed)
    injection = asyncio.create_task(inject_faults(site, faults))
    result = await load_generator.run(plans)
    await injection
    await asyncio.sleep(settle_s)
    states = collect_job_states(site)
    history = site.collect_history()
    await site.close()
    report = ScenarioReport(check_history(history), result, history, site, job_states=states)
    report.state_counts = Counter(states.values())
    return report


async def inject_faults(site: LocalSite, faults: list[tuple[float, FaultAction]]):
    """Injects each fault at its time; a fault that takes long does not delay the others."""
    start_s = site.loop.time()
    pending = []
    for at_s, fault in sorted(faults, key=lambda item: item[0]):
        await asyncio.sleep(max(0.0, start_s + at_s - site.loop.time()))
        effect = fault(site)
        if effect is not None:
            pending.append(asyncio.ensure_future(effect))
    await asyncio.gather(*pending)


def collect_job_states(site: LocalSite) -> dict[str, str]:
    """Returns the state of every job that the owner of a shard knows."""
    return {
        job.name: describe_job(job).state
        for placer in site.placers.values()
        for shard in placer.list_owned_shards()
        for job in shard.cell.jobs.values()
    }


def run_scenario(
    settings: SiteSettings,
    plans: list,
    faults: list[tuple[float, FaultAction]],
    settle_s: float = 30.0,
    seed: int = SEED,
) -> ScenarioReport:
    """Runs a scenario in virtual time and returns its report."""
    return run_in_virtual_time(execute_scenario(settings, plans, faults, settle_s, seed))


def list_takeover_delays(report: ScenarioReport) -> list[float]:
    """Returns the seconds from the last kill of a placer to each change of owner after it."""
    killed_s, found = None, []
    for record in sorted(report.history, key=lambda record: record.at_s):
        if isinstance(record.event, ProcessKilled) and record.event.program == "placer":
            killed_s = record.at_s
        elif isinstance(record.event, OwnerChanged) and killed_s is not None:
            found.append(record.at_s - killed_s)
    return found


def list_unfinished_jobs(report: ScenarioReport) -> set[str]:
    """Returns the accepted jobs that have neither ended nor are running, as services do."""
    running = {job for job, state in report.job_states.items() if state == "running"}
    return set(report.result.jobs) - _list_ended_jobs(report) - running


def list_lost_jobs(report: ScenarioReport) -> set[str]:
    """Returns the accepted jobs that have not ended and that no owner of a shard knows."""
    return set(report.result.jobs) - _list_ended_jobs(report) - set(report.job_states)


def _list_ended_jobs(report: ScenarioReport) -> set[str]:
    return {record.event.job for record in report.history if isinstance(record.event, JobEnded)}
