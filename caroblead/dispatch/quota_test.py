"""Guards against a team whose small tasks take all quota that its urgent ones need."""

from ..core.resource import Resources
from ..jobs.data import AdviceTimes, JobQueue, StepSpec
from .features import Features
from .fleet import Run, RunPhase, book_run, release_run
from .interface import Configuration, TaskName, TeamLimits
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps

KEPT = Features(kept_quota=True)
URGENT = JobQueue("urgent", "h", "/u/", "s", priority=0)
ADVISED = JobQueue("advised", "h", "/a/", "s", priority=0, advice=AdviceTimes(0.1, 0.1, 2.5))
SMALL = JobQueue("small", "h", "/s/", "s", priority=2)
CAP = Resources(8000, 0)
# Within which urgent tasks are expected to start while their team has quota and VMs have room.
URGENT_START_S = 0.25
URGENT_NEED, SMALL_NEED = Resources(3000, 1), Resources(1000, 1)


def use_quota(fleet, need, vm) -> Run:
    """Books a run of the team, which takes room on a VM and part of the quota."""
    row = fleet.rows[vm]
    run = Run(TaskName("x", 0, 0, len(row.runs)), 1, row, "t", need, RunPhase.RUNNING)
    book_run(fleet, run)
    return run


def make_fleet_at_quota(vm_count):
    """Returns VMs of 4 cores, two of which run 3 cores each of the team's quota of 8."""
    fleet = make_fleet(vm_count)
    for vm in ("v0", "v1"):
        use_quota(fleet, Resources(3000, 1), vm)
    return fleet


def plan(steps, fleet, features=KEPT):
    teams = {"t": TeamLimits("t", 1, CAP)}
    return plan_starts(steps, fleet, Configuration(teams=teams), NOW_S, 1.0, features=features)


def make_urgent(count=1, gang=False, queue=URGENT):
    return make_steps(StepSpec(count, URGENT_NEED, gang=gang), queue=queue, name="u")


def make_small(count=4):
    return make_steps(StepSpec(count, SMALL_NEED), queue=SMALL, name="s")


def list_placed(found):
    return [placement.step.work.job.id for placement in found.placements]


def test_small_tasks_leave_freed_quota_to_an_urgent_one():
    fleet = make_fleet_at_quota(4)
    steps = [*make_urgent(), *make_small()]
    assert list_placed(plan(steps, fleet, Features())) == ["s", "s"]
    assert list_placed(plan(steps, fleet)) == []
    first = next(iter(fleet.rows["v0"].runs.values()))
    release_run(fleet, first)
    assert list_placed(plan(steps, fleet)) == ["u", "s", "s"]


def test_quota_is_not_kept_while_the_urgent_step_has_no_room():
    fleet = make_fleet_at_quota(2)
    assert list_placed(plan([*make_urgent(), *make_small()], fleet)) == ["s", "s"]


def test_quota_is_kept_for_a_gang_only_while_all_of_it_has_room():
    for vm_count, placed in ((3, ["s", "s"]), (4, [])):
        fleet = make_fleet_at_quota(vm_count)
        steps = [*make_urgent(2, gang=True), *make_small()]
        assert list_placed(plan(steps, fleet)) == placed


def test_no_quota_is_kept_for_work_that_exceeds_the_whole_quota():
    fleet = make_fleet(4)
    gang = make_urgent(3, gang=True)
    large = make_steps(StepSpec(1, Resources(9000, 1)), queue=URGENT, name="l")
    assert list_placed(plan([*gang, *large, *make_small()], fleet)) == ["s"] * 4


def test_other_teams_are_not_held_back():
    fleet = make_fleet_at_quota(4)
    others = make_steps(StepSpec(2, SMALL_NEED), queue=SMALL, name="o", team="other")
    assert list_placed(plan([*make_urgent(), *others], fleet)) == ["o", "o"]


def test_advice_is_asked_ahead_for_urgent_steps_without_quota():
    fleet = make_fleet(4)
    for vm in ("v0", "v1"):
        use_quota(fleet, Resources(4000, 1), vm)
    urgent, gang = make_urgent(queue=ADVISED), make_urgent(2, gang=True, queue=ADVISED)
    for steps, ahead in ((urgent, True), (gang, False)):
        found = plan(steps, fleet)
        assert [step.advice.ahead for step in found.advice_needed] == [ahead]


def play_burst(features) -> float:
    """Returns the mean wait for a start of urgent tasks beside a backlog of small ones, in seconds.

    Half of the fleet is the quota of the team. A small task takes 4 cores for 2.2 s in the mean.
    Three urgent ones come a second, and each takes 5.6 cores for 0.8 s.
    """
    fleet = make_fleet(8, Resources(16_000, 64_000))
    teams = Configuration(teams={"t": TeamLimits("t", 1, Resources(64_000, 0))})
    steps = make_steps(StepSpec(200, Resources(4000, 1)), queue=SMALL, name="s")
    waits, ends, came = [], [], {}
    for tick in range(120):
        now_s = NOW_S + tick * 0.05
        for at_s, run in list(ends):
            if at_s <= now_s:
                ends.remove((at_s, run))
                release_run(fleet, run)
        if tick % 7 == 0:
            spec = StepSpec(1, Resources(5600, 1))
            steps += make_steps(spec, queue=URGENT, name=f"u{tick}")
            came[f"u{tick}"] = now_s
        for row in fleet.rows.values():
            row.heard_s = now_s
        for placement in plan_starts(steps, fleet, teams, now_s, 1.0, features=features).placements:
            job = placement.step.work.job
            urgent = job.queue is URGENT
            task = TaskName(job.id, 0, 0, placement.index)
            run = Run(task, 1, placement.vm, "t", placement.step.spec.need, RunPhase.RUNNING)
            book_run(fleet, run)
            placement.step.waiting.discard(placement.index)
            ends.append((now_s + (0.8 if urgent else 1.6 + 0.1 * (placement.index % 13)), run))
            if urgent:
                waits.append(now_s - came.pop(job.id))
        steps = [step for step in steps if step.waiting]
    waits += [now_s - at_s for at_s in came.values()]
    return sum(waits) / len(waits)


def test_burst_of_a_team_at_its_quota_does_not_keep_its_urgent_work_waiting():
    without_s, with_s = play_burst(Features()), play_burst(KEPT)
    assert with_s < URGENT_START_S < without_s
