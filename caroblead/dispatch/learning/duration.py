"""Learned durations of runs, for queues whose estimates are wrong by an unknown amount.

The load that this addresses: on one queue the callers' estimates are right within 0.2, on another
they are off by up to 0.9, and three runs in a hundred take seven times as long as expected. From
the ends of runs the work (the duration at speed 1.0) is learned on four levels, from the queue down
to the tasks of one size of one step of one team. What is expected of a run begins with its
estimate; each level moves it toward the median of its samples, the more of them the further. How
much the estimate counts is fitted for each queue. The high quantile is taken from the errors of the
latest predictions of the queue, so that it holds whatever the errors come from.

The two coarse levels are shared by all teams, and one team may fill a quarter of their windows. The
two fine ones belong to one team, and a team has a bounded number of them, so that a flood of jobs
with new resource requirements replaces only entries of the same team.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from ...core.resource import Resources
from ..expectation import UNKNOWN_SPREAD, Expectation
from .samplewindow import (
    Sample,
    SampleWindow,
    add_sample,
    fit_slope,
    is_young,
    set_open_samples,
    summarize,
)

QUEUE_WINDOW = 384
STEP_WINDOW = 192
TEAM_WINDOW = 48
# Of a step with more tasks about so many are sampled, chosen by their index: those that end first
# would be the short ones.
SAMPLES_PER_STEP = 3
# The number of sampled steps at which a level counts as much as the coarser ones, or the queue as
# much as the estimate.
LEVEL_STEPS = 4.0
PRIOR_STEPS = 2.0
# The number of sampled steps at which the measured errors count as much as the assumed ones.
ERROR_STEPS = 4.0
# Samples count half as much for each such time in which their level got no new one.
AGE_HALF_LIFE_S = 60.0
# Bounds of the tables.
MAX_QUEUES = 64
MAX_STEP = 7
MAX_TEAM_ENTRIES = 12
MAX_TEAMS = 400
# The slope is fitted anew after so many samples.
SLOPE_INTERVAL = 16
MIN_WORK_S = 0.001
# Estimates of 0 stand for an unknown duration.
DEFAULT_ESTIMATE_S = 1.0
UNKNOWN_DEVIATION = 0.6
# The weight of the newest run in the averages of the prediction error and of the part of runs that
# took longer than the high quantile.
ERROR_WEIGHT = 0.02


@dataclass(slots=True, frozen=True)
class RunFeatures:
    """What is known of a run when its task is placed."""

    queue: str
    step: int
    team: str
    size: int
    estimate_s: float


@dataclass(slots=True, eq=False)
class QueueDurations:
    """The shared levels of a queue, and how well its runs were predicted.

    ``slope`` is how much the estimate counts. ``errors`` holds the logarithms of the work over its
    prediction. ``error`` is the mean absolute error of the logarithm, and ``over_high`` the part of
    the runs that took longer than the high quantile.
    """

    window: SampleWindow = field(default_factory=lambda: SampleWindow(QUEUE_WINDOW, True))
    errors: SampleWindow = field(default_factory=lambda: SampleWindow(QUEUE_WINDOW, True))
    steps: dict[int, SampleWindow] = field(default_factory=dict)
    slope: float = 1.0
    since_slope: int = 0
    samples: int = 0
    error: float = 0.0
    over_high: float = 0.0


@dataclass(slots=True, eq=False)
class DurationTable:
    """The levels of all queues, and the entries of each team with the latest used ones last."""

    queues: OrderedDict[str, QueueDurations] = field(default_factory=OrderedDict)
    teams: OrderedDict[str, OrderedDict[tuple, SampleWindow]] = field(default_factory=OrderedDict)


@dataclass(slots=True, frozen=True)
class Prediction:
    """The natural logarithms of the expected work and of its high quantile, in seconds.

    ``deviation`` is the standard deviation of the logarithm, and ``samples`` the number of samples
    of the queue.
    """

    log_median: float
    log_high: float
    deviation: float
    samples: int

    def make_expectation(self) -> Expectation:
        """Returns the prediction in seconds."""
        return Expectation(math.exp(self.log_median), math.exp(self.log_high), self.samples)


def find_size(need: Resources) -> int:
    """Returns the class of a resource requirement: cores and memory by powers of two."""
    return need.millicores.bit_length() * 64 + need.memory_mb.bit_length()


def predict(table: DurationTable, features: RunFeatures, now_s: float) -> Prediction:
    """Returns what is expected of a run; without any samples it is the estimate."""
    log_estimate = _get_log_estimate(features)
    median, spread, deviation = log_estimate, math.log(UNKNOWN_SPREAD), UNKNOWN_DEVIATION
    known = table.queues.get(features.queue)
    if known is None:
        return Prediction(median, median + spread, deviation, 0)
    offset = known.slope * log_estimate
    prior_steps = PRIOR_STEPS
    for window in _list_windows(table, known, features):
        summary = summarize(window, known.slope)
        if summary is None:
            continue
        steps = summary.steps * _get_freshness(window, now_s)
        median += steps / (steps + prior_steps) * (offset + summary.median - median)
        prior_steps = LEVEL_STEPS
    errors = summarize(known.errors, 0.0)
    if errors is not None:
        part = errors.steps / (errors.steps + ERROR_STEPS)
        spread += part * (errors.high - spread)
        deviation += part * (errors.deviation - deviation)
    return Prediction(median, median + max(0.0, spread), deviation, known.samples)


def is_sampled(index: int, count: int) -> bool:
    """Returns whether a task of a step of so many tasks is among those that are sampled."""
    return index * SAMPLES_PER_STEP % max(1, count) < SAMPLES_PER_STEP


def record_run(
    table: DurationTable,
    features: RunFeatures,
    step: Hashable,
    log_work: float,
    exact: bool,
    now_s: float,
):
    """Adds the work of a run to all of its levels; ``step`` identifies its step."""
    step_hash = hash(step)
    _record_error(table, features, step_hash, log_work, exact, now_s)
    known = put_queue(table, features.queue)
    sample = Sample(log_work, _get_log_estimate(features), exact, features.team, step_hash)
    add_sample(known.window, sample, now_s)
    add_sample(put_step(known, features.step), sample, now_s)
    for key in _make_team_keys(features):
        add_sample(put_team_entry(table, features.team, key), sample, now_s)
    known.samples += exact
    known.since_slope += 1
    if known.since_slope >= SLOPE_INTERVAL or known.samples < SLOPE_INTERVAL:
        known.since_slope = 0
        known.slope = fit_slope(known.window)


def has_young_window(table: DurationTable) -> bool:
    """Returns whether a shared level has so few samples that runs that have not ended count."""
    return any(
        is_young(window)
        for known in table.queues.values()
        for window in (known.window, *known.steps.values())
    )


def set_running(table: DurationTable, running: list[tuple[RunFeatures, float]]):
    """Sets the censored samples of the runs that have not ended: features and log of work so far.

    They count at the shared levels of queues that have few samples yet.
    """
    by_window: dict[tuple, list[Sample]] = {}
    for features, log_work in running:
        sample = Sample(log_work, _get_log_estimate(features), False, features.team)
        by_window.setdefault((features.queue, -1), []).append(sample)
        by_window.setdefault((features.queue, min(features.step, MAX_STEP)), []).append(sample)
    for name, known in table.queues.items():
        for step, window in ((-1, known.window), *known.steps.items()):
            samples = by_window.get((name, step), []) if is_young(window) else []
            set_open_samples(window, samples)


def _record_error(
    table: DurationTable,
    features: RunFeatures,
    step: int,
    log_work: float,
    exact: bool,
    now_s: float,
):
    known = table.queues.get(features.queue)
    if known is None or not known.samples:
        return
    prediction = predict(table, features, now_s)
    error = log_work - prediction.log_median
    add_sample(known.errors, Sample(error, 0.0, exact, features.team, step), now_s)
    if exact:
        weight = max(ERROR_WEIGHT, 1.0 / known.samples)
        known.error += weight * (abs(error) - known.error)
        known.over_high += weight * ((log_work > prediction.log_high) - known.over_high)


def _get_log_estimate(features: RunFeatures) -> float:
    return math.log(features.estimate_s if features.estimate_s > 0 else DEFAULT_ESTIMATE_S)


def _get_freshness(window: SampleWindow, now_s: float) -> float:
    return 0.5 ** (max(0.0, now_s - window.updated_s) / AGE_HALF_LIFE_S)


def _list_windows(
    table: DurationTable, known: QueueDurations, features: RunFeatures
) -> list[SampleWindow]:
    """Returns the windows that hold samples for a run, from the coarsest to the finest."""
    entries = table.teams.get(features.team, {})
    step = known.steps.get(min(features.step, MAX_STEP))
    windows = [known.window, step, *(entries.get(key) for key in _make_team_keys(features))]
    return [window for window in windows if window is not None]


def _make_team_keys(features: RunFeatures) -> tuple[tuple, tuple]:
    step = min(features.step, MAX_STEP)
    return (features.queue, step), (features.queue, step, features.size)


def put_queue(table: DurationTable, name: str) -> QueueDurations:
    """Returns the shared levels of a queue, which replace the least used ones if there are many."""
    known = table.queues.get(name)
    if known is None:
        while len(table.queues) >= MAX_QUEUES:
            table.queues.popitem(last=False)
        known = table.queues[name] = QueueDurations()
    table.queues.move_to_end(name)
    return known


def put_step(known: QueueDurations, step: int) -> SampleWindow:
    """Returns the window of a step; the last one is shared by all further steps."""
    number = min(step, MAX_STEP)
    window = known.steps.get(number)
    if window is None:
        window = known.steps[number] = SampleWindow(STEP_WINDOW, True)
    return window


def put_team_entry(table: DurationTable, team: str, key: tuple) -> SampleWindow:
    """Returns an entry of a team, which replaces its oldest one if it has too many."""
    entries = table.teams.get(team)
    if entries is None:
        while len(table.teams) >= MAX_TEAMS:
            table.teams.popitem(last=False)
        entries = table.teams[team] = OrderedDict()
    table.teams.move_to_end(team)
    window = entries.get(key)
    if window is None:
        while len(entries) >= MAX_TEAM_ENTRIES:
            entries.popitem(last=False)
        window = entries[key] = SampleWindow(TEAM_WINDOW)
    entries.move_to_end(key)
    return window
