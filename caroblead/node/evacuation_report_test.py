"""Tests of what operators see of evacuated zones: the gauge, and the reason why a step waits."""

import asyncio
import json

import eliot

from ..core.clock import get_elapsed_s
from ..core.resource import Resources
from ..events.jobtrace import collect_job_trace, format_job_trace
from ..standin.cluster import (
    evacuate_zone,
    make_listed_vm,
    put_vm_entry,
    restore_zone,
    run_scenario,
    start_site,
    submit,
)
from ..standin.trial import EVACUATION_MS
from ..standin.work import make_spec, make_step
from .gauges import write_metrics


def test_zones_are_not_evacuated_where_the_setting_is_0():
    metrics = []

    async def scenario():
        site = await start_site(zones=("a", "b"))
        for zone in site.zones:
            evacuate_zone(site, zone)
        await asyncio.sleep(1)
        job = await submit(site, "n0", make_spec(make_step(1)))
        await asyncio.sleep(2)
        assert [event.task.job for event in site.vm_simulator.history if event.kind == "start"] == [
            job
        ]
        metrics.append(write_metrics(site.nodes["n0"]))
        return site

    run_scenario(scenario)
    assert "zones_evacuated" not in metrics[0]


def test_gauge_counts_the_evacuated_zones_of_every_node():
    metrics = []

    async def scenario():
        site = await start_site(zones=("a", "b"), evacuation_ms=EVACUATION_MS)
        for zone in ("a", "nowhere"):
            evacuate_zone(site, zone)
        await asyncio.sleep(1)
        metrics.extend(write_metrics(node) for node in site.nodes.values())
        return site

    run_scenario(scenario)
    assert ["caroblead_zones_evacuated 2" in text for text in metrics] == [True] * 3


def capture_log(monkeypatch):
    """Returns a list to which each log message is appended as the line of a node's log."""
    lines = []

    def record(kind, **fields):
        fields |= {"timestamp": get_elapsed_s(), "node": "n", "message_type": kind}
        lines.append(json.dumps(fields, default=str))

    monkeypatch.setattr(eliot, "log_message", record)
    return lines


def test_explain_tells_why_a_step_that_can_only_run_in_an_evacuated_zone_waits(monkeypatch):
    lines, jobs = capture_log(monkeypatch), []

    async def scenario():
        site = await start_site(2, zones=("a", "b"), evacuation_ms=EVACUATION_MS)
        large = Resources(8000, 1024)
        site.vm_simulator.resize("vm-0", large)
        put_vm_entry(site, make_listed_vm(0, capacity=large))
        evacuate_zone(site, "a")
        await asyncio.sleep(1)
        jobs.append(await submit(site, "n0", make_spec(make_step(1, need=large))))
        await asyncio.sleep(4)
        restore_zone(site, "a")
        await asyncio.sleep(3)
        return site

    run_scenario(scenario)
    output_lines = format_job_trace(collect_job_trace(jobs[0], [("n.log", lines)]))
    (waits,) = [line for line in output_lines if "step:waits " in line]
    assert "zones=a" in waits
    assert "only VMs of evacuated zones could run it" in waits
    assert any("step:waits_no_longer" in line for line in output_lines)
    assert any("meanwhile" in line and "evacuation:applied" in line for line in output_lines)
