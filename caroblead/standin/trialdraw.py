"""Draws the jobs of a trial, and the moments at which VMs shrink and zones are evacuated."""

import random
from dataclasses import replace

from ..core.resource import Resources
from ..jobs.data import JobSpec, StepSpec
from .work import FAILS_EVERY_RUN, make_spec

TRAFFIC_S = 12.0
ZONES = ("a", "b")
FAILING_FRACTION = 0.15
SHRINKING_FRACTION = 0.3
MAX_SHRINKS = 3


def generate_job(rng: random.Random, checkpoint_length: int = 0) -> JobSpec:
    """Returns a random job of one or two steps.

    The first step may be a gang, save checkpoints, or run at most one task per VM.
    """
    need = Resources(rng.choice((500, 1000, 2000)), rng.choice((512, 1024)))
    options = rng.choice(
        ({}, {}, {"gang": True}, {"max_per_vm": 1}, {"checkpoints": True}, {"gang": True})
    )
    estimate_s = rng.uniform(0.3, 3.0)
    count = rng.randint(1, 4)
    steps = [StepSpec(count, need, estimate_s, **options)]
    if rng.random() < 0.3:
        steps.append(StepSpec(rng.randint(1, 3), need, estimate_s, after=(0,)))
    failing_run_count = (
        rng.choice((1, 1, FAILS_EVERY_RUN)) if rng.random() < FAILING_FRACTION else 0
    )
    return make_spec(
        *steps,
        seconds=estimate_s * rng.uniform(0.7, 1.5),
        failing_runs=failing_run_count,
        checkpoint_length=checkpoint_length,
    )


def generate_crashing_job(rng: random.Random) -> JobSpec:
    """Returns a random job whose tasks crash their VMs, at the start order or later.

    It may be a gang or endless.
    """
    options = rng.choice(({}, {}, {"gang": True}, {"endless": True}))
    step = StepSpec(rng.randint(1, 2), Resources(1000, 512), rng.uniform(0.3, 3.0), **options)
    after_s = rng.choice((0.0, rng.uniform(0.05, 2.0)))
    return make_spec(step, seconds=60.0, crashes_after_s=after_s, down_s=rng.uniform(0.5, 4.0))


def draw_schedule(seed: int, occurrences: int, wall_s: float) -> JobSpec:
    """Returns a job of so many small occurrences, most or all of which are overdue at ``wall_s``.

    Some of their runs may fail, so that later occurrences are done before earlier ones.
    """
    rng = random.Random(f"schedule of {seed}")
    need, gang = Resources(50, 16), rng.random() < 0.3
    steps = [StepSpec(rng.randint(1, 2), need, 0.2, gang=gang)]
    if rng.random() < 0.5:
        steps.append(StepSpec(1, need, 0.2, after=(0,)))
    spec = make_spec(*steps, seconds=rng.uniform(0.05, 0.5), failing_runs=rng.choice((0, 0, 1)))
    interval_s = rng.choice((0.001, 0.1, 1.0))
    first_due_s = wall_s + rng.uniform(0.0, TRAFFIC_S) - occurrences * interval_s
    return replace(spec, repeats=occurrences, first_due_s=first_due_s, interval_s=interval_s)


def draw_shrinks(seed: int) -> list[tuple[float, random.Random]]:
    """Returns when VMs shrink in the trial of a seed, each with its own generator.

    They are drawn apart from the other faults, so that a seed still draws the same other faults and
    jobs as before there were shrinks.
    """
    rng = random.Random(f"shrinks of {seed}")
    if rng.random() >= SHRINKING_FRACTION:
        return []
    count = rng.randint(1, MAX_SHRINKS)
    return [(rng.uniform(1.0, TRAFFIC_S), random.Random(rng.random())) for _ in range(count)]


def draw_restarts(seed: int, count: int) -> list[tuple[float, random.Random]]:
    """Returns when VMs restart at once in the trial of a seed, each with its own generator."""
    rng = random.Random(f"restarts of {seed}")
    return [(rng.uniform(1.0, TRAFFIC_S), random.Random(rng.random())) for _ in range(count)]


def draw_evacuations(seed: int, count: int) -> list[tuple[float, str, float]]:
    """Returns when a zone is evacuated in the trial of a seed, which one, and for how long."""
    rng = random.Random(f"evacuations of {seed}")
    return [
        (rng.uniform(0.5, TRAFFIC_S), rng.choice((*ZONES, "unknown")), rng.uniform(2.0, 12.0))
        for _ in range(count)
    ]
