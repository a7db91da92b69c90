"""Guards against a task that runs twice because a restarted VM carries out an order given up."""

import asyncio

import pytest

from ..core.resource import Resources
from ..standin.cluster import CAPACITY, find_leader, run_scenario, start_site, submit
from ..standin.trial import run_trial
from ..standin.work import make_spec, make_step
from .fleet import RunPhase
from .interface import RunningTask
from .lateorder import expect_late_orders, handle_unknown_run

# Trials, as pairs of a seed and the number of crashing jobs, in which a restarted VM carries out an
# order of a task that waits again.
TRIALS = ((1013, 3), (602, 2), (1037, 3))


@pytest.mark.parametrize(("seed", "crashing_jobs"), TRIALS)
def test_task_of_an_order_carried_out_late_starts_nowhere_else(seed, crashing_jobs):
    assert run_trial(seed, crashing_jobs).problems == []


def list_by_vm(state, row, task):
    handle_unknown_run(state, row, RunningTask(task, 1, "", 0.0))


def expect_after_restart(state, row, task):
    row.late_orders[task, 1] = float("inf")
    expect_late_orders(state, row)


# A restarted VM runs the task, or may yet begin to: as one that waits, it would start elsewhere.
@pytest.mark.parametrize("learn", [list_by_vm, expect_after_restart])
def test_task_that_a_restarted_vm_may_run_by_a_settled_order_does_not_wait_any_more(learn):
    async def scenario():
        site = await start_site(vm_count=2)
        whole_vm = make_step(1, need=Resources(CAPACITY.millicores, 100))
        for _ in range(3):
            job = await submit(site, "n0", make_spec(whole_vm, seconds=30.0))
            await asyncio.sleep(0.2)
        state = site.nodes[find_leader(site)].leader.state
        step, row = state.open_jobs[job].steps[0, 0], state.fleet.rows["vm-0"]
        assert step.waiting == {0}
        learn(state, row, step.make_task_name(0))
        assert not step.waiting
        assert [run.phase for run in step.active[0]] == [RunPhase.UNSURE]
        assert row.runs[step.make_task_name(0), 1].unanswered
        return site

    run_scenario(scenario)
