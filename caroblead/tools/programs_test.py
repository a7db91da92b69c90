"""Tests the programs as separate processes: a SIGTERM on an owner under load interrupts no work."""

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
import pytest

from ..events.checker import check_history
from ..events.event import OwnerChanged
from ..events.timeline import read_records
from .load import LoadGenerator
from .localsite import use_free_ports
from .programs import open_timeline
from .scenario import make_site_settings, plan_mixed_jobs, plan_mixed_requests

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
REQUEST_COUNT = 400


def start_program(name: str, path: Path, *arguments: str) -> subprocess.Popen:
    """Starts one of the programs as a separate process."""
    code = f"from caroblead.tools.programs import run_{name}; run_{name}()"
    command = [sys.executable, "-c", code, "--settings", str(path), *arguments]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


@pytest.fixture
def site(tmp_path):
    """Starts the platform stand-in and two zones of two entry VMs; stops all of it afterwards."""
    events = tmp_path / "events"
    settings = use_free_ports(make_site_settings(service_ms=150.0))
    settings = settings.model_copy(update={"events_directory": str(events)})
    path = tmp_path / "site.json"
    path.write_text(settings.model_dump_json())
    programs = {("platform", ""): start_program("platform", path)}
    time.sleep(0.5)
    for node in settings.nodes:
        for name in ("placer", "gate"):
            programs[name, node.node] = start_program(name, path, "--node", node.node)
    yield settings, programs, events
    for program in programs.values():
        if program.poll() is None:
            program.send_signal(signal.SIGTERM)
    for program in programs.values():
        program.wait(STOP_TIMEOUT_S)


async def wait_for_owners(settings) -> dict[str, str]:
    """Waits until every gate knows the owners of both shards and returns their nodes."""
    end_s = time.monotonic() + START_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_s:
            owners_by_gate = [await fetch_shard_owners(session, node) for node in settings.nodes]
            if all(set(known) == {"z1.0", "z2.0"} for known in owners_by_gate):
                return owners_by_gate[0]
            await asyncio.sleep(0.2)
    raise TimeoutError("not every gate knows the owners of both shards")


async def fetch_shard_owners(session, node) -> dict[str, str]:
    """Returns the owner of each shard as one gate knows it; empty while the gate is down."""
    try:
        async with session.get(f"http://{node.host}:{node.http_port}/v1/status") as response:
            status = await response.json()
    except aiohttp.ClientError:
        return {}
    return {item["shard"]: entry["node"] for entry in status["nodes"] for item in entry["shards"]}


async def send_while_stopping(settings, programs, timeline):
    """Sends load and stops the owner of ``z1.0`` by SIGTERM after 4 s; returns result and node."""
    owners = await wait_for_owners(settings)
    urls = [f"http://{node.host}:{node.http_port}" for node in settings.nodes]
    load_generator = LoadGenerator(urls, timeline)
    plans = plan_mixed_requests(REQUEST_COUNT, 8) + plan_mixed_jobs(6, 4)

    async def stop_owner():
        await asyncio.sleep(4)
        for name in ("placer", "gate"):
            programs[name, owners["z1.0"]].send_signal(signal.SIGTERM)

    stopping = asyncio.create_task(stop_owner())
    result = await load_generator.run(plans)
    await stopping
    await asyncio.sleep(8)
    return result, owners["z1.0"]


def test_sigterm_on_an_owner_under_load_interrupts_no_work(site):
    settings, programs, events = site
    timeline = open_timeline(settings, "load")
    result, stopped = asyncio.run(send_while_stopping(settings, programs, timeline))
    timeline.close()
    for name in ("placer", "gate"):
        assert programs[name, stopped].wait(STOP_TIMEOUT_S) == 0
    checked = read_records(sorted(events.glob("*.events.jsonl")))
    assert checked.faults == []
    assert result.outcomes == {"answered": REQUEST_COUNT}
    assert result.job_outcomes == {"accepted": 6}
    assert check_history(checked.value) == []
    changes = [r for r in checked.value if isinstance(r.event, OwnerChanged)]
    assert len([r for r in changes if r.event.shard == "z1.0"]) == 2
