"""A replay of the load that backfilling is meant for: long gangs beside bursts of short work.

It guards against idle reserved VMs while short work waits, and against gangs that start later
because of that work. Nothing but the planning is played: runs start and end at once.
"""

import random
from dataclasses import dataclass, field

import pytest

from ..core.resource import Resources, add
from ..jobs.data import StepSpec
from .backfill_test import GANGS, OFF, ON, SHORT, URGENT, make_one
from .eviction import count_fit
from .expectation import Expectation
from .features import Features
from .fleet import Fleet, Run, RunPhase, book_run, put_vm, release_run
from .interface import Configuration, ListedVm, TaskName
from .planning import plan_starts
from .work import StepWork, add_run, copy_step_attributes, remove_run

TICK_S = 0.05
REPLAY_VMS = 8
REPLAY_CAPACITY = Resources(16_000, 64_000)
REPLAY_S = 240.0
# How long an evicted run keeps its room.
STOP_S = 0.1
# Durations are off by up to this factor.
SPREAD = 1.25


@dataclass(slots=True)
class Replay:
    """A fleet under a load whose durations don't depend on the decisions, and what came of it.

    Times are in seconds since the start. ``idle_core_s`` is how many cores of reserved VMs were
    idle for how long, and ``held_up_s`` how long a gang had room but for work that was backfilled.
    """

    features: Features
    fleet: Fleet = field(default_factory=Fleet)
    steps: list[StepWork] = field(default_factory=list)
    ends: list[tuple[float, int, StepWork, Run]] = field(default_factory=list)
    gang_starts: dict[str, float] = field(default_factory=dict)
    idle_core_s: float = 0.0
    short_waits: list[float] = field(default_factory=list)
    held_up_s: float = 0.0
    backfilled: int = 0
    evicted: int = 0


def draw_load(seed):
    """Returns the arrivals: long gangs beside bursts of short work.

    The urgent work is beyond the share of its team, since urgent work in time may use reserved VMs
    without any backfill.
    """
    rng = random.Random(seed)
    arrivals = []

    def add_jobs(name, queue, until_s, gap_s, draw_specs):
        at_s, number = rng.uniform(*gap_s), 0
        while at_s < until_s:
            for spec in draw_specs():
                arrivals.append((at_s, f"{name}{number:04}", queue, spec))
                number += 1
            at_s += rng.uniform(*gap_s)

    def draw_gang():
        return [StepSpec(5, Resources(14_000, 100), rng.uniform(6.0, 16.0), gang=True)]

    def draw_burst():
        need = Resources(2500, 100)
        return [
            StepSpec(rng.randint(1, 4), need, rng.uniform(0.5, 1.5))
            for _ in range(rng.randint(4, 24))
        ]

    add_jobs("gang", GANGS, REPLAY_S * 0.7, (5.0, 15.0), draw_gang)
    add_jobs("urgent", URGENT, REPLAY_S * 0.8, (3.0, 8.0), draw_burst)
    add_jobs("short", SHORT, REPLAY_S * 0.8, (2.0, 5.0), draw_burst)
    return sorted(arrivals, key=lambda item: (item[0], item[1]))


def draw_duration(step, index):
    """Returns how long a run takes; the members of a gang end together."""
    name = step.key.job if step.spec.gang else f"{step.key.job}.{index}"
    return step.spec.estimate_s * random.Random(name).uniform(1 / SPREAD, SPREAD)


def play(seed, features, learned=True):
    replay = Replay(features)
    for number in range(REPLAY_VMS):
        rack = f"r{number % 2}"
        name = f"v{number}"
        row = put_vm(
            replay.fleet,
            ListedVm(name, 1, "s", "a:1", "z", rack, (rack,), REPLAY_CAPACITY, False),
        )
        row.answered = True
    arrivals = draw_load(seed)
    now_s = 0.0
    while now_s < 2 * REPLAY_S and (arrivals or replay.steps):
        now_s = round(now_s + TICK_S, 3)
        while arrivals and arrivals[0][0] <= now_s:
            at_s, name, queue, spec = arrivals.pop(0)
            step = make_one(name, queue, spec)
            step.work.due_s += at_s - step.work.job.accepted_s
            step.work.surplus = queue is URGENT
            if learned:
                step.expectation = Expectation(spec.estimate_s, SPREAD * spec.estimate_s, 50)
            replay.steps.append(step)
        end_runs(replay, now_s)
        run_tick(replay, now_s)
    assert not arrivals and not replay.steps, "work that was accepted did not end"
    return replay


def end_runs(replay, now_s):
    for item in [item for item in replay.ends if item[0] <= now_s]:
        replay.ends.remove(item)
        _, _, step, run = item
        release_run(replay.fleet, run)
        remove_run(step, run)
        if run.phase is RunPhase.RUNNING:
            step.step_progress.done.add(run.task.index)
            step.waiting.discard(run.task.index)
    replay.steps = [step for step in replay.steps if step.waiting or step.active]


def run_tick(replay, now_s):
    for row in replay.fleet.rows.values():
        row.heard_s = now_s
    waiting = [step for step in replay.steps if step.waiting]
    found = plan_starts(
        waiting, replay.fleet, Configuration(), now_s, now_s, frozenset(), replay.features
    )
    for run in found.evictions:
        run.phase = RunPhase.STOPPING
        (item,) = [item for item in replay.ends if item[3] is run]
        replay.ends.remove(item)
        replay.ends.append((now_s + STOP_S, *item[1:]))
        item[2].evicted.add(run.task.index)
        replay.evicted += 1
    for placement in found.placements:
        step, index = placement.step, placement.index
        is_gang = step.spec.gang
        name = TaskName(step.key.job, 0, 0, index)
        run = Run(name, 1, placement.vm, "t", step.spec.need, RunPhase.RUNNING, started_s=now_s)
        run.backfills = placement.backfills
        replay.backfilled += placement.backfills is not None
        book_run(replay.fleet, run)
        add_run(step, copy_step_attributes(step, run))
        end_s = now_s + draw_duration(step, index)
        replay.ends.append((end_s, len(replay.ends), step, run))
        if is_gang:
            replay.gang_starts.setdefault(step.key.job, now_s)
        elif step.spec.estimate_s < 2.0:
            replay.short_waits.append(now_s - (step.work.due_s - step.work.target_s))
    for step in waiting:
        if step.spec.gang and is_held_up(replay.fleet, step):
            replay.held_up_s += TICK_S
    for name in replay.fleet.reservations:
        row = replay.fleet.rows[name]
        replay.idle_core_s += max(0, row.free.millicores) / 1000 * TICK_S


def is_held_up(fleet, gang):
    """Returns whether a waiting gang has room on its VMs but for the work that was backfilled."""
    count = 0
    for name, found in fleet.reservations.items():
        if found.step == gang.key:
            free = fleet.rows[name].free
            for run in fleet.rows[name].runs.values():
                free = add(free, run.need) if run.backfills is not None else free
            count += count_fit(gang.spec.need, free)
    return bool(gang.waiting) and count >= gang.spec.count


@pytest.mark.parametrize(("seed", "idle_ratio"), [(0, 0.85), (2, 0.75)])
def test_bursts_use_idle_reserved_vms_and_no_gang_starts_later_for_it(seed, idle_ratio):
    without, with_backfill = play(seed, OFF), play(seed, ON)
    assert with_backfill.backfilled > 100
    assert with_backfill.idle_core_s < idle_ratio * without.idle_core_s
    assert sum(with_backfill.short_waits) < 0.6 * sum(without.short_waits)
    check_gangs(without, with_backfill)


def test_no_gang_starts_later_where_only_estimates_are_known():
    check_gangs(play(0, OFF, learned=False), play(0, ON, learned=False))


def check_gangs(without, with_backfill):
    assert with_backfill.held_up_s == 0
    assert len(without.gang_starts) > 10
    for gang, started_s in without.gang_starts.items():
        assert with_backfill.gang_starts[gang] <= started_s
