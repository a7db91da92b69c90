"""Tests that no reservation keeps VMs unused without a bound in time.

Each test guards against VMs that stay idle for a step that can't start, while other work waits.
"""

import asyncio
from dataclasses import replace

import pytest

from ..core.resource import Resources
from ..jobs.data import AdviceTimes, CrashRecord, JobQueue, JobState, StepSpec
from ..jobs.ledger import find_state
from ..standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .fleet import Run, RunPhase, book_run, release_run
from .interface import Configuration, TaskName
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps
from .work import add_run, copy_step_attributes

WHOLE_VM = Resources(4000, 1000)
SMALL = Resources(1000, 1000)
URGENT = JobQueue("u", "h", "/u/", "s", priority=0, stretch=1.5, latency_s=5.0)
GANGS = JobQueue("g", "h", "/g/", "s", priority=1, stretch=2.0, latency_s=1.0)
SLACK = JobQueue("l", "h", "/l/", "s", priority=2, stretch=4.0, latency_s=100.0)
TICK_S = 0.1
# No step that can't start holds VMs for longer in these tests, whose jobs take a second: the least
# time for which it may, that for advice, and some ticks.
BOUND_S = 11.0


class Player:
    """Plans tick after tick, books what starts, and records when each job started.

    Unlike a leader, it lets a run start at once and go on until ``end`` is called.
    """

    def __init__(self, fleet, steps=()):
        self.fleet, self.steps = fleet, list(steps)
        self.now_s = NOW_S
        self.started_s = {}

    def play(self, duration_s, wall_s=None):
        until_s = self.now_s + duration_s - TICK_S / 2
        while self.now_s < until_s:
            self.now_s += TICK_S
            for row in self.fleet.rows.values():
                row.heard_s = self.now_s
            waiting = [step for step in self.steps if step.waiting]
            wall = self.now_s - NOW_S if wall_s is None else wall_s
            for item in plan_starts(
                waiting, self.fleet, Configuration(), self.now_s, wall
            ).placements:
                self.start(item.step, item.index, item.vm)

    def start(self, step, index, row, phase=RunPhase.RUNNING):
        run = Run(step.make_task_name(index), 1, row, "t", step.spec.need, phase)
        run.started_s = self.now_s
        book_run(self.fleet, run)
        add_run(step, copy_step_attributes(step, run))
        self.started_s.setdefault(step.key.job, self.now_s)
        return run

    def end(self, vm):
        for run in list(self.fleet.rows[vm].runs.values()):
            release_run(self.fleet, run)


def fill(fleet, vm, need=WHOLE_VM, estimate_s=1.0, name="other"):
    run = Run(TaskName(name, 0, 0, 0), 1, fleet.rows[vm], "o", need, RunPhase.RUNNING)
    run.started_s, run.high_s, run.priority = NOW_S, 2 * estimate_s, 0
    run.expects_progress = True
    book_run(fleet, run)


def make_gang(name, count=3, queue=GANGS, **options):
    (step,) = make_steps(
        StepSpec(count, WHOLE_VM, 1.0, gang=True, **options), queue=queue, name=name
    )
    return step


def make_small(name="small", count=1):
    (step,) = make_steps(StepSpec(count, SMALL, 1.0), queue=SLACK, name=name)
    return step


def isolate(step):
    """Lets a step be one that must run alone, as after two crashes that it is blamed for."""
    step.step_progress.crashes[0] = CrashRecord(2, 2, 0)
    return step


def test_two_late_gangs_that_hold_what_the_other_needs_both_start():
    fleet = make_fleet(4)
    for name in fleet.rows:
        fill(fleet, name)
    gangs = [isolate(make_gang(name, 2)) for name in ("a", "b")]
    player = Player(fleet, gangs)
    player.play(1, wall_s=1.0)
    assert {found.step.job for found in fleet.reservations.values()} == {"a", "b"}
    lost = [
        max(name for name, found in fleet.reservations.items() if found.step == gang.key)
        for gang in gangs
    ]
    for name in lost:
        fleet.rows[name].in_registry = False
    for name in fleet.rows:
        player.end(name)
    player.play(2 * BOUND_S, wall_s=30.0)
    assert len(player.started_s) == 1
    for name in set(fleet.rows) - set(lost):
        player.end(name)
    player.play(2 * BOUND_S, wall_s=60.0)
    assert len(player.started_s) == 2


def test_gang_of_which_a_member_is_not_known_to_have_ended_holds_no_vms():
    fleet = make_fleet(4)
    for name in ("v0", "v1"):
        fill(fleet, name)
    gang, small = make_gang("g"), make_small(count=8)
    player = Player(fleet, [gang, small])
    # As after a change of the leader, for a VM that doesn't answer until its lease has expired.
    player.start(gang, 2, fleet.rows["v3"], RunPhase.INHERITED)
    fill(fleet, "v2", Resources(2000, 1000))
    player.play(0.5)
    assert fleet.reservations == {}
    assert len(small.waiting) == 6
    player.end("v0")
    player.play(0.5)
    assert len(small.waiting) == 2


def play_beside_small_work(player, vm, duration_s):
    """Plays while small tasks run on a VM, which end one by one and are followed by others."""
    row = player.fleet.rows[vm]
    player.end(vm)
    for number in range(4):
        player.start(make_small(f"t{number}"), 0, row)
    for number in range(int(duration_s / 0.5)):
        player.steps.append(make_small(f"s{number}"))
        for run in list(row.runs.values())[:1]:
            release_run(player.fleet, run)
        player.play(0.5, wall_s=1.0)


@pytest.mark.parametrize("alone", [False, True])
def test_gang_does_not_wait_on_for_a_vm_that_has_shrunk(alone):
    fleet = make_fleet(4)
    for name in fleet.rows:
        fill(fleet, name)
    gang = make_gang("g")
    if alone:
        isolate(gang)
    player = Player(fleet, [gang])
    player.play(0.5, wall_s=1.0)
    held = sorted(fleet.reservations)
    assert len(held) == 3
    shrunk = fleet.rows[held[0]]
    shrunk.listed = replace(shrunk.listed, capacity=Resources(500, 8000))
    shrunk.free = Resources(-3500, 7000)
    for name in held:
        player.end(name)
    (other,) = set(fleet.rows) - set(held)
    play_beside_small_work(player, other, BOUND_S)
    assert "g" in player.started_s


def test_gang_that_must_be_alone_does_not_hold_a_vm_on_which_a_lasting_run_has_started():
    fleet = make_fleet(4)
    for name in fleet.rows:
        fill(fleet, name)
    gang = isolate(make_gang("g"))
    player = Player(fleet, [gang])
    player.play(0.5, wall_s=1.0)
    held = sorted(fleet.reservations)
    assert len(held) == 3
    for name in held:
        player.end(name)
    fill(fleet, held[0], name="service")
    for run in fleet.rows[held[0]].runs.values():
        run.endless, run.expects_progress = True, False
    (other,) = set(fleet.rows) - set(held)
    play_beside_small_work(player, other, BOUND_S)
    assert "g" in player.started_s


def test_place_that_goes_to_more_urgent_work_again_and_again_does_not_keep_the_others_idle():
    fleet = make_fleet(3)
    for name in fleet.rows:
        fill(fleet, name)
    gang, small = make_gang("g"), make_small(count=8)
    player = Player(fleet, [gang, small])
    player.play(0.5)
    assert len(fleet.reservations) == 3
    for name in ("v0", "v1"):
        player.end(name)
    for number in range(30):
        player.end("v2")
        (urgent,) = make_steps(StepSpec(1, WHOLE_VM, 1.0), queue=URGENT, name=f"u{number}")
        urgent.work.due_s += number
        player.steps.append(urgent)
        player.start(urgent, 0, fleet.rows["v2"])
        player.play(0.5)
    assert player.started_s["small"] < NOW_S + BOUND_S
    assert "g" not in player.started_s
    # The gang holds them again, and starts once the urgent work has ended.
    for name in fleet.rows:
        player.end(name)
    player.play(2)
    assert "g" in player.started_s


def test_run_far_over_its_estimate_does_not_keep_the_other_vms_of_a_gang_idle():
    fleet = make_fleet(4)
    for name in fleet.rows:
        fill(fleet, name)
    gang, small = make_gang("g"), make_small(count=8)
    player = Player(fleet, [gang, small])
    player.play(0.5)
    *_, stuck = held = sorted(fleet.reservations)
    for name in held:
        if name != stuck:
            player.end(name)
    player.play(BOUND_S)
    assert player.started_s["small"] < NOW_S + BOUND_S
    # At the next attempt it waits for another VM than the one whose room didn't come.
    for name in fleet.rows:
        if name != stuck:
            player.end(name)
    player.play(2)
    assert "g" in player.started_s


def test_gang_whose_advice_does_not_come_does_not_keep_vms_idle():
    queue = replace(GANGS, latency_s=100.0, advice=AdviceTimes(0.1, 0.01, 1.5))
    fleet = make_fleet(3)
    gang, small = make_gang("g", queue=queue), make_small(count=8)
    gang.advice.asked = gang.advice.allowed = set(fleet.rows)
    gang.advice.tickets = dict.fromkeys(fleet.rows, "t")
    gang.advice.received_s, gang.advice.pending = NOW_S - 10, True
    player = Player(fleet, [gang, small])
    player.play(2 * BOUND_S)
    assert player.started_s["small"] < NOW_S + BOUND_S
    for name in fleet.rows:
        player.end(name)
    player.play(5)
    gang.advice.received_s = player.now_s
    player.play(2)
    assert "g" in player.started_s


def test_gang_keeps_its_vms_as_long_as_their_runs_are_expected_to_take():
    fleet = make_fleet(3)
    for name in fleet.rows:
        fill(fleet, name, estimate_s=12.0)
    queue = replace(GANGS, latency_s=20.0)
    gang, small = make_gang("g", queue=queue), make_small(count=8)
    player = Player(fleet, [gang, small])
    player.play(0.5)
    for name in ("v0", "v1"):
        player.end(name)
    player.play(20)
    assert player.started_s == {}
    player.end("v2")
    player.play(0.5)
    assert set(player.started_s) == {"g"}


def test_gang_starts_although_the_leader_changed_and_one_of_its_vms_is_gone():
    async def scenario():
        site = await start_site(vm_count=4)
        gang = await submit(
            site, "n0", make_spec(make_step(3, need=WHOLE_VM, gang=True), seconds=4)
        )
        await asyncio.sleep(1)
        gone, *_ = sorted(event.vm for event in site.vm_simulator.history if event.kind == "start")
        site.vm_simulator.cut |= {(name, gone) for name in site.faults_by_node}
        await kill_node(site, find_leader(site))
        await wait_for_leader(site)
        small = await submit(site, "n1", make_spec(make_step(4), seconds=0.5))
        await asyncio.sleep(4)
        ledger = site.nodes[find_leader(site)].ledger
        assert find_state(ledger, small) is JobState.DONE
        await asyncio.sleep(40)
        assert find_state(ledger, gang) is JobState.DONE
        return site

    assert check_site(run_scenario(scenario)) == []
