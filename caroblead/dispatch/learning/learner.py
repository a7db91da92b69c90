"""Learns durations and speeds jointly from the ends of runs: duration = work / speed.

What a run says about the work at its keys assumes the speed of its VM as known so far, and the
reverse. Both estimates are robust against single long runs and change slowly, so that they
converge.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

from .duration import MIN_WORK_S, DurationTable, RunFeatures, predict, record_run
from .speed import SpeedTable, find_log_speed, observe_gang, observe_run

# Below this number of samples a queue says nothing about the speed of VMs.
MIN_QUEUE_SAMPLES = 16


@dataclass(slots=True)
class Learner:
    """What is known of durations and speeds."""

    durations: DurationTable = field(default_factory=DurationTable)
    speeds: SpeedTable = field(default_factory=SpeedTable)


@dataclass(slots=True, frozen=True)
class ObservedRun:
    """A run, or all members of a gang, from its beginning to its end.

    ``vms`` are the names and incarnations of the VMs of its members. A run that was not ``exact``
    ended before its work was done.
    """

    features: RunFeatures
    step: Hashable
    vms: list[tuple[str, int]]
    began_s: float
    duration_s: float
    exact: bool
    sampled: bool = True


def learn(learner: Learner, run: ObservedRun, now_s: float) -> bool:
    """Learns from an observed run; returns whether it shows that the speed of its VM has changed.

    A run that spans a detected change of speed tells neither its work nor a speed.
    """
    speeds = learner.speeds
    for vm, incarnation in run.vms:
        estimate = speeds.estimates.get(vm)
        if estimate and estimate.incarnation == incarnation and run.began_s < estimate.changed_s:
            return False
    log_duration = math.log(max(run.duration_s, MIN_WORK_S))
    log_speed = find_slowest(speeds, run.vms)
    prediction = predict(learner.durations, run.features, now_s)
    if run.sampled:
        log_work = log_duration + log_speed
        record_run(learner.durations, run.features, run.step, log_work, run.exact, now_s)
    if not run.exact or prediction.samples < MIN_QUEUE_SAMPLES:
        return False
    suggested = prediction.log_median - log_duration
    if len(run.vms) > 1:
        observe_gang(speeds, run.vms, suggested, prediction.deviation, run.step, now_s)
        return False
    vm, incarnation = run.vms[0]
    return observe_run(speeds, vm, incarnation, suggested, prediction.deviation, run.step, now_s)


def find_slowest(speeds: SpeedTable, vms: list[tuple[str, int]]) -> float:
    """Returns the logarithm of the speed of the slowest VM, whose pace a gang has."""
    return min(find_log_speed(speeds, vm, incarnation) for vm, incarnation in vms)
