"""Tests that VMs return to their capacity when tasks use more than they declared."""

import asyncio

from ..bench.faults import set_platform_faults
from ..standin.fleet import measure_use
from ..tools.load import JobPlan
from ..tools.scenario import KEYS, make_site_settings, run_scenario
from . import reconcile

SAMPLES = 60
SAMPLE_S = 0.5


def count_overloaded_samples(monkeypatch, relieve):
    """Returns the number of VM samples with usage over the capacity, and the violations found."""
    if not relieve:
        monkeypatch.setattr(reconcile, "_relieve", lambda *arguments: None)
    overloaded = 0

    async def watch(site):
        nonlocal overloaded
        for _ in range(SAMPLES):
            for vm in site.platform.fleet.vms.values():
                cores, memory = measure_use(vm)
                overloaded += cores > vm.capacity.millicores or memory > vm.capacity.memory_mb
            await asyncio.sleep(SAMPLE_S)

    body = {"tasks": 4, "cores": 1, "memory_mb": 2000, "run_time_s": 8}
    plans = [
        JobPlan(index / 2, "mix", KEYS["north"], {**body, "name": f"n{index}"})
        for index in range(30)
    ]
    faults = [(0, set_platform_faults(size_error=4.0)), (0.1, watch)]
    report = run_scenario(make_site_settings(), plans, faults, settle_s=30)
    return overloaded, report.violations


def test_relief_brings_usage_back_within_vm_capacity(monkeypatch):
    with monkeypatch.context() as patch:
        without_relief, _ = count_overloaded_samples(patch, relieve=False)
    with_relief, violations = count_overloaded_samples(monkeypatch, relieve=True)
    assert violations == []
    assert 0 < with_relief < without_relief
