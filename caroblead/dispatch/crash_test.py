"""Tests that a task that crashes its VMs is given up in time, and that no other task suffers."""

import asyncio
from functools import partial

import pytest

from ..core.resource import Resources
from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..standin.cluster import (
    find_leader,
    kill_node,
    make_listed_vm,
    put_vm_entry,
    run_scenario,
    start_node,
    start_site,
    submit,
    submit_stream,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step

# In these scenarios all jobs have reached their final states after this time.
SETTLE_S = 40.0


def judge(site):
    assert check_site(site) == []


def list_crashes(site, job: str) -> list:
    """Returns the crashes of VMs on which a crashing task of a job was running."""
    events = site.vm_simulator.history
    return [event for event in events if event.kind == "crashed" and event.task.job == job]


async def crash_and_list(site, number: int, down_s: float):
    """Crashes a VM for an external cause and registers it again when it is back."""
    vm = site.vm_simulator.vms[f"vm-{number}"]
    if not vm.up:
        return
    site.vm_simulator.crash(vm.listed.name, down_s)
    await asyncio.sleep(down_s + 0.3)
    put_vm_entry(site, make_listed_vm(number, vm.incarnation))


async def kill_leader_at_each_crash(site, until_s: float):
    """Kills the leader a moment after each crash, and starts it again a second later."""
    loop, handled = asyncio.get_running_loop(), 0
    while loop.time() < until_s:
        await asyncio.sleep(0.05)
        crashes = [event for event in site.vm_simulator.history if event.kind == "crashed"]
        leader = find_leader(site)
        if len(crashes) > handled and leader is not None:
            handled = len(crashes)
            await kill_node(site, leader)
            await asyncio.sleep(1.0)
            await start_node(site, leader)
            await wait_for_leader(site)


async def run_crashing_task_among_others(down_s: float = 1.5, **fields):
    """Runs one crashing task beside a stream of short jobs."""
    site = await start_site()
    await submit_stream(site, make_spec(make_step(2), seconds=1.5), 4, 0.05)
    await submit(site, "n0", make_spec(make_step(1), down_s=down_s, **fields))
    await submit_stream(site, make_spec(make_step(2), seconds=1.5), 40, 0.25)
    await asyncio.sleep(SETTLE_S)
    return site


@pytest.mark.parametrize("down_s", [0.3, 1.5, 6.0, 12.0])
def test_task_that_crashes_its_vms_is_not_started_without_end(down_s):
    scenario = partial(run_crashing_task_among_others, down_s, crashes_after_s=0.4)
    judge(run_scenario(scenario))


def test_task_that_crashes_its_vm_before_the_order_is_answered_is_not_started_without_end():
    scenario = partial(run_crashing_task_among_others, crashes_after_s=0.0)
    judge(run_scenario(scenario))


async def lose_leader_at_each_crash(after_s: float = 0.4):
    """Runs a crashing task beside other jobs, under a new leader after each crash."""
    site = await start_site()
    until_s = asyncio.get_running_loop().time() + 60
    killer = asyncio.create_task(kill_leader_at_each_crash(site, until_s))
    await submit(site, "n0", make_spec(make_step(1), crashes_after_s=after_s, down_s=1.5))
    for _ in range(10):
        await submit(site, sorted(site.nodes)[0], make_spec(make_step(2), seconds=2))
        await asyncio.sleep(1.0)
    await killer
    await asyncio.sleep(SETTLE_S)
    return site


@pytest.mark.parametrize("after_s", [0.0, 0.4])
def test_crashes_that_a_former_leader_saw_are_not_forgotten(after_s):
    judge(run_scenario(partial(lose_leader_at_each_crash, after_s)))


@pytest.mark.parametrize("indexes", [None, [0], [3]])
def test_gang_that_crashes_its_vms_is_not_started_without_end(indexes):
    async def scenario():
        site = await start_site()
        gang = make_step(4, need=Resources(2000, 1024), gang=True)
        fields = {"crashes_after_s": 0.5, "down_s": 1.5, "crashing_indexes": indexes}
        spec = make_spec(gang, seconds=8.0, **fields)
        await submit(site, "n0", spec)
        await submit_stream(site, make_spec(make_step(2), seconds=1.0), 20, 0.4)
        await asyncio.sleep(SETTLE_S)
        return site

    judge(run_scenario(scenario))


def test_endless_task_that_crashes_its_vms_is_not_started_without_end():
    async def scenario():
        site = await start_site()
        sound = await submit(site, "n0", make_spec(make_step(3, endless=True), seconds=1e6))
        spec = make_spec(make_step(1, endless=True), crashes_after_s=1.0, down_s=1.5)
        await submit(site, "n0", spec)
        await submit_stream(site, make_spec(make_step(2), seconds=1.0), 20, 0.4)
        await asyncio.sleep(SETTLE_S)
        running = [
            task
            for vm in site.vm_simulator.vms.values()
            for task in vm.active_runs
            if task.job == sound
        ]
        assert len(running) == 3
        return site

    judge(run_scenario(scenario))


def test_jobs_that_lose_all_their_vms_three_times_are_not_given_up():
    async def scenario():
        site = await start_site()
        await submit(site, "n0", make_spec(make_step(3, endless=True), seconds=1e6))
        await submit_stream(site, make_spec(make_step(2), seconds=4), 5, 0.02)
        for _ in range(3):
            await asyncio.sleep(1.5)
            await asyncio.gather(*(crash_and_list(site, number, 1.0) for number in range(4)))
            await asyncio.sleep(1.0)
        await asyncio.sleep(2 * SETTLE_S)
        return site

    judge(run_scenario(scenario))


def test_vm_that_is_cut_off_until_its_lease_lapses_is_no_evidence_against_its_tasks():
    async def scenario():
        site = await start_site(vm_count=2)
        job = await submit(site, "n0", make_spec(make_step(8), seconds=40))
        for number in (0, 1, 0, 1, 0):
            await asyncio.sleep(0.5)
            site.vm_simulator.cut = {(name, f"vm-{number}") for name in site.nodes}
            await asyncio.sleep(12)
            site.vm_simulator.cut = set()
            await asyncio.sleep(1)
            leader = site.nodes[find_leader(site)].leader
            (step,) = leader.state.open_jobs[job].steps.values()
            assert step.step_progress.crashes == {}
        await asyncio.sleep(3 * SETTLE_S)
        return site

    judge(run_scenario(scenario))


def test_several_crashing_tasks_do_not_keep_other_jobs_from_ending_in_time():
    async def scenario():
        site = await start_site(vm_count=6)
        others = []
        for number in range(4):
            spec = make_spec(make_step(1), crashes_after_s=0.3 + 0.2 * number, down_s=1.5)
            await submit(site, "n0", spec)
            others.append(await submit(site, "n1", make_spec(make_step(2), seconds=1.0)))
        await asyncio.sleep(25)
        ledger = site.nodes["n1"].ledger
        assert {find_state(ledger, job) for job in others} == {JobState.DONE}
        await asyncio.sleep(SETTLE_S)
        return site

    judge(run_scenario(scenario))


def test_crashing_tasks_that_crash_at_the_same_time_are_not_taken_for_a_common_loss():
    async def scenario():
        site = await start_site(vm_count=8)
        # Each of these tasks fills a VM, so that each crashes one of its own at the same time.
        step = make_step(6, need=Resources(4000, 1024))
        await submit(site, "n0", make_spec(step, crashes_after_s=0.5, down_s=1.5))
        for _ in range(3):
            step = make_step(1, need=Resources(4000, 1024))
            await submit(site, "n0", make_spec(step, crashes_after_s=0.5, down_s=1.5))
        await submit_stream(site, make_spec(make_step(2), seconds=1.0), 20, 0.4)
        await asyncio.sleep(SETTLE_S)
        return site

    judge(run_scenario(scenario))
