"""Guards against an error about one step, job or VM that ends the work of all others."""

import asyncio
import importlib

import pytest

from ..core.resource import NOTHING, Resources
from ..jobs.data import Job, JobQueue, JobSpec, JobState, Progress, StepSpec
from ..jobs.ledger import find_state
from ..standin.cluster import find_leader, run_scenario, start_site, submit
from ..standin.work import make_spec, make_step
from .failure import Failures
from .fleet import Fleet, put_vm
from .interface import Configuration, ListedVm, TeamLimits
from .lease import observe_first_answer
from .planning import plan_starts
from .work import open_due_occurrences, open_job

SMALL = Resources(200, 100)
ALL_DECISIONS = dict.fromkeys(
    ("admission", "fair_share", "learned_durations", "backfill", "sized_advice", "kept_quota"), True
)


def get_job(argument):
    """Returns the id of the job that an argument is about, if it is about one."""
    for item in (argument, getattr(argument, "step", None)):
        if hasattr(item, "step_progress"):
            return item.key.job
    return argument.job.id if hasattr(argument, "job") else None


# The functions that handle one item of a loop of the leader, by module, class if any, and name.
PARTS = [
    ("tick", "", "_list_ready"),
    ("planning", "", "_plan_step"),
    ("planning", "", "_place_step"),
    ("planning", "", "_keep_quota"),
    ("rank", "", "_find_own_tier"),
    ("tick", "", "_book_placement"),
    ("tick", "", "copy_step_attributes"),
    ("loadreport", "", "_waits_for_room"),
    ("sweep", "Sweep", "_stop_broken_gangs"),
    ("learning.learning", "Learning", "_set_expectation"),
]


@pytest.mark.parametrize(("module", "owner", "name"), PARTS)
def test_error_about_one_job_ends_the_work_of_no_other(module, owner, name, monkeypatch):
    place = importlib.import_module(f"caroblead.dispatch.{module}")
    place = getattr(place, owner) if owner else place
    function, bad = getattr(place, name), []

    def fail_for_one_job(*arguments, **options):
        if any(job in bad for job in map(get_job, arguments)):
            raise TypeError("about one job only")
        return function(*arguments, **options)

    monkeypatch.setattr(place, name, fail_for_one_job)

    async def scenario():
        site = await start_site(**ALL_DECISIONS)
        bad.append(f"{next(site.ids) + 1:016x}")
        spec = make_spec(make_step(2, need=SMALL), seconds=0.5)
        long = make_spec(make_step(2, need=SMALL), seconds=2.0)
        assert await submit(site, "n0", long) == bad[0]
        jobs = []
        for _ in range(6):
            jobs.append(await submit(site, "n1", spec))
            await asyncio.sleep(0.3)
        await asyncio.sleep(3.0)
        leader = site.nodes[find_leader(site)].leader
        assert [find_state(site.nodes["n0"].ledger, job) for job in jobs] == [JobState.DONE] * 6
        assert leader.term == 1 and leader.state.failures.counts.total() > 0
        assert not any(row.runs for row in leader.fleet.rows.values())
        assert all(used == NOTHING for used in leader.fleet.used.values())
        return site

    run_scenario(scenario)


# A cap that was a fraction made the planning of one step fail, and so that of all steps.
def test_step_whose_planning_fails_is_left_out_of_the_plan_with_all_members_of_its_gang():
    fleet, queue = Fleet(), JobQueue("q", "h", "/", "s")
    for number in range(4):
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", "r", (), Resources(1000, 1000), False)
        observe_first_answer(fleet, put_vm(fleet, listed), 1, 0.0)
    steps = []
    for team, gang in (("a", True), ("b", False)):
        spec = JobSpec("", (StepSpec(2, Resources(500, 1), 1.0, gang=gang),))
        work = open_job(Job(f"job-of-{team}", team, queue, spec, 0.0), Progress())
        open_due_occurrences(work, 0.0)
        steps += work.steps.values()
    teams = {"a": TeamLimits("a", 1, Resources("x", 0)), "b": TeamLimits("b", 1, Resources())}
    failures = Failures()
    plan = plan_starts(steps, fleet, Configuration(1, {}, teams), 0.1, 1.0, failures=failures)
    assert [str(placement.step.key) for placement in plan.placements] == ["job-of-b.0.0"] * 2
    assert failures.counts == {"plan": 1}


def test_error_about_one_vm_keeps_no_other_out_of_the_table(monkeypatch):
    leader_module = importlib.import_module("caroblead.dispatch.leader")
    put = leader_module.put_vm

    def fail_for_one_vm(fleet, listed):
        if listed.name == "vm-0":
            raise ValueError("about one VM only")
        return put(fleet, listed)

    monkeypatch.setattr(leader_module, "put_vm", fail_for_one_vm)

    async def scenario():
        site = await start_site()
        job = await submit(site, "n0", make_spec(make_step(2, need=SMALL), seconds=0.5))
        await asyncio.sleep(3.0)
        assert find_state(site.nodes["n0"].ledger, job) is JobState.DONE
        return site

    run_scenario(scenario)
