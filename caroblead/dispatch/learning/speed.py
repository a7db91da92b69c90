"""Learned speeds of the VMs, for fleets whose VMs differ in speed and change it while they run.

The load that this addresses: VMs of speeds 0.6 to 1.6 behind one service, some of which become
several times slower for seconds to minutes, under work whose duration nobody reports reliably. A
run takes its work divided by the speed of its VM. The logarithm of each VM's speed is estimated by
a scalar Kalman filter whose state returns to 1.0 without samples. Two signals show a change of
speed at once: several ends in a row that deviate in the same direction, and a change in the rate of
progress of runs, which needs no knowledge of their work.
"""

import math
import statistics
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

# The prior standard deviation of the logarithm of a speed: ln 1.6 is 0.47.
PRIOR_VARIANCE = 0.4**2
# An estimate without new samples returns to the prior with this half-life, so that a VM that was
# slow is tried again.
RETURN_HALF_LIFE_S = 180.0
# A VM slower than this has a passing trouble: the slowest VMs of the customers have 0.6. It returns
# sooner, since it gets little work by which its recovery could show.
TROUBLED_LOG_SPEED = math.log(0.45)
TROUBLED_HALF_LIFE_S = 8.0
# An innovation is clipped at so many of its standard deviations: three runs in a hundred take
# seven times as long as the others on any VM.
MAX_DEVIATIONS = 2.0
# Two-sided cumulative sum of the normalized innovations: allowance for each sample and limit. With
# innovations clipped at 3.0 and a limit of 4.0, runs that take seven times as long gave 35 false
# changes in 60 s on 176 VMs, and these values 5.
CHANGE_ALLOWANCE = 0.75
CHANGE_LIMIT = 3.5
# Runs of one step have durations that are correlated, so a repeated sample of a step counts less.
REPEATED_STEP_FACTOR = 4.0
MIN_NOISE = 0.1
# Progress is compared over at least so many ms and percent, or over the longer time.
MIN_RATE_MS = 600
MIN_RATE_PERCENT = 4.0
LONG_RATE_MS = 2500
# The least progress that is assumed over such a time.
FLOOR_PERCENT = 0.5
# A change of the progress rates by less than this factor is taken as noise.
MIN_RATE_CHANGE = math.log(1.6)
MAX_RATE_CHANGE = math.log(10.0)
# The number of polls in a row that must show the change if only one run is there to compare.
LONE_RUN_POLLS = 2
# The standard deviation of the speed that a first progress rate suggests. The end of the run tells
# it again, so the rate counts for less than the end.
PROGRESS_NOISE = 0.8
# The variance added to an estimate that was moved by a change of progress rates.
RATE_CHANGE_VARIANCE = 0.15**2
MIN_LOG_SPEED, MAX_LOG_SPEED = math.log(0.05), math.log(8.0)
# The estimates are kept centered on 1.0 by this part of their median offset at each refresh; with
# fewer VMs the median says nothing.
CENTER_PART = 0.1
MIN_CENTERED_VMS = 5
# Estimates of VMs that left are dropped beyond this number, oldest first.
MAX_ESTIMATES = 4000


@dataclass(slots=True, frozen=True)
class ProgressReport:
    """The progress of a run in percent; ``expected_s`` is its expected work, 0 if unknown."""

    step: Hashable
    run: Hashable
    percent: float
    expected_s: float = 0.0


@dataclass(slots=True)
class ProgressMark:
    """The progress of a run at its last comparison, and its rate before in percent per ms."""

    percent: float
    clock_ms: int
    rate: float = 0.0


@dataclass(slots=True)
class SpeedEstimate:
    """The estimated speed of one incarnation of a VM.

    ``log_speed`` has the variance ``variance``. ``drifts`` are the cumulative sums of upward and
    downward deviations, ``drift_sum`` and ``drift_count`` the innovations since they left zero.
    Runs that began before ``changed_s`` span a change of speed. ``rate_polls`` counts the polls in
    a row in which a lone run showed a change.
    """

    incarnation: int
    log_speed: float = 0.0
    variance: float = PRIOR_VARIANCE
    updated_s: float = 0.0
    samples: int = 0
    last_step: Hashable = None
    drifts: list[float] = field(default_factory=lambda: [0.0, 0.0])
    drift_sum: float = 0.0
    drift_count: int = 0
    changed_s: float = float("-inf")
    checked_ms: int = 0
    rate_polls: int = 0
    marks: dict[Hashable, ProgressMark] = field(default_factory=dict)

    def get_speed(self) -> float:
        """Returns the speed, 1.0 for a VM without samples."""
        return math.exp(self.log_speed)

    def get_deviation(self) -> float:
        """Returns the standard deviation of the logarithm of the speed."""
        return math.sqrt(self.variance)


@dataclass(slots=True)
class SpeedTable:
    """The estimates by the name of the VM, and how many changes of speed were detected."""

    estimates: dict[str, SpeedEstimate] = field(default_factory=dict)
    changes: int = 0


def get_estimate(table: SpeedTable, vm: str, incarnation: int) -> SpeedEstimate:
    """Returns the estimate of an incarnation of a VM; a new incarnation starts without samples."""
    estimate = table.estimates.get(vm)
    if estimate is None or estimate.incarnation != incarnation:
        table.estimates.pop(vm, None)
        while len(table.estimates) >= MAX_ESTIMATES:
            table.estimates.pop(next(iter(table.estimates)))
        estimate = table.estimates[vm] = SpeedEstimate(incarnation)
    return estimate


def find_log_speed(table: SpeedTable, vm: str, incarnation: int) -> float:
    """Returns the logarithm of a VM's speed, 0.0 if nothing is known of this incarnation."""
    estimate = table.estimates.get(vm)
    known = estimate is not None and estimate.incarnation == incarnation
    return estimate.log_speed if known else 0.0


def observe_run(
    table: SpeedTable,
    vm: str,
    incarnation: int,
    log_speed: float,
    noise: float,
    step: Hashable,
    now_s: float,
) -> bool:
    """Applies the speed that the end of a run suggests; returns whether the VM's speed changed.

    ``log_speed`` is the logarithm of the expected work divided by the duration, and ``noise`` its
    standard deviation.
    """
    estimate = get_estimate(table, vm, incarnation)
    _return_to_prior(estimate, now_s)
    variance = max(noise, MIN_NOISE) ** 2
    repeated = step == estimate.last_step
    if repeated:
        variance *= REPEATED_STEP_FACTOR
    estimate.last_step = step
    total = estimate.variance + variance
    innovation = log_speed - estimate.log_speed
    scale = math.sqrt(total)
    normalized = max(-MAX_DEVIATIONS, min(MAX_DEVIATIONS, innovation / scale))
    gain = estimate.variance / total
    _set_log_speed(estimate, estimate.log_speed + gain * normalized * scale)
    estimate.variance *= 1.0 - gain
    estimate.samples += 1
    if not _detect_drift(estimate, normalized, innovation):
        return False
    jump = estimate.drift_sum / estimate.drift_count
    _set_log_speed(estimate, estimate.log_speed + jump * (1.0 - gain))
    estimate.variance = min(PRIOR_VARIANCE, variance / estimate.drift_count + MIN_NOISE**2)
    _note_change(table, estimate, now_s)
    return True


def observe_gang(
    table: SpeedTable,
    vms: list[tuple[str, int]],
    log_speed: float,
    noise: float,
    step: Hashable,
    now_s: float,
):
    """Applies the end of a gang, which runs at the pace of its slowest member.

    ``vms`` are the names and incarnations of its VMs. The duration tells the speed of the slowest
    one, and that none of the others is slower than that.
    """
    vms = sorted(set(vms), key=lambda vm: (find_log_speed(table, *vm), vm))
    observe_run(table, *vms[0], log_speed, noise, step, now_s)
    for vm in vms[1:]:
        if find_log_speed(table, *vm) < log_speed:
            observe_run(table, *vm, log_speed, noise, step, now_s)


def observe_progress(
    table: SpeedTable,
    vm: str,
    incarnation: int,
    clock_ms: int,
    reports: Iterable[ProgressReport],
    now_s: float,
) -> bool:
    """Compares the progress rates of a VM's runs with those before; returns whether they changed.

    ``reports`` are about the time ``clock_ms`` on the clock of the VM. That all runs of a VM become
    faster or slower by the same factor says that the VM has. The first rate of a run tells the
    speed before the run ends.
    """
    estimate = get_estimate(table, vm, incarnation)
    if 0 <= clock_ms - estimate.checked_ms < MIN_RATE_MS:
        return False
    estimate.checked_ms = clock_ms
    changes, marks = [], {}
    for report in reports:
        key = report.step, report.run
        mark = estimate.marks.get(key)
        if mark is None or clock_ms < mark.clock_ms:
            marks[key] = ProgressMark(report.percent, clock_ms)
            continue
        marks[key] = mark
        rate = _measure_rate(mark, report.percent, clock_ms)
        if not rate:
            continue
        mark.percent, mark.clock_ms = report.percent, clock_ms
        if mark.rate:
            changes.append((math.log(rate / mark.rate), mark, rate))
        else:
            mark.rate = rate
            if report.expected_s > 0:
                log_speed = math.log(report.expected_s * 1000 * rate / 100)
                step = report.step
                observe_run(table, vm, incarnation, log_speed, PROGRESS_NOISE, step, now_s)
    estimate.marks = marks
    return _apply_rate_changes(table, estimate, changes, now_s)


def _measure_rate(mark: ProgressMark, percent: float, clock_ms: int) -> float:
    """Returns the rate since a mark, or 0.0 if too little time has passed to tell."""
    elapsed_ms, gained = clock_ms - mark.clock_ms, percent - mark.percent
    if elapsed_ms < MIN_RATE_MS or (gained < MIN_RATE_PERCENT and elapsed_ms < LONG_RATE_MS):
        return 0.0
    return max(gained, FLOOR_PERCENT) / elapsed_ms


def _apply_rate_changes(
    table: SpeedTable, estimate: SpeedEstimate, changes: list, now_s: float
) -> bool:
    if not changes:
        return False
    change = statistics.median(item[0] for item in changes)
    if abs(change) < MIN_RATE_CHANGE:
        estimate.rate_polls = 0
        return False
    estimate.rate_polls += 1
    if len(changes) == 1 and estimate.rate_polls < LONE_RUN_POLLS:
        # The mark keeps the earlier rate, so that the next poll compares with it once more.
        return False
    change = max(-MAX_RATE_CHANGE, min(MAX_RATE_CHANGE, change))
    _return_to_prior(estimate, now_s)
    _set_log_speed(estimate, estimate.log_speed + change)
    estimate.variance = min(PRIOR_VARIANCE, estimate.variance + RATE_CHANGE_VARIANCE)
    for _, mark, rate in changes:
        mark.rate = rate
    _note_change(table, estimate, now_s)
    return True


def _note_change(table: SpeedTable, estimate: SpeedEstimate, now_s: float):
    estimate.drifts = [0.0, 0.0]
    estimate.drift_sum, estimate.drift_count, estimate.rate_polls = 0.0, 0, 0
    estimate.changed_s = now_s
    table.changes += 1


def _detect_drift(estimate: SpeedEstimate, normalized: float, innovation: float) -> bool:
    """Adds an innovation to the cumulative sums; returns whether one of them is over the limit."""
    up = max(0.0, estimate.drifts[0] + normalized - CHANGE_ALLOWANCE)
    down = max(0.0, estimate.drifts[1] - normalized - CHANGE_ALLOWANCE)
    estimate.drifts = [up, down]
    if not up and not down:
        estimate.drift_sum, estimate.drift_count = 0.0, 0
        return False
    estimate.drift_sum += innovation
    estimate.drift_count += 1
    return max(up, down) > CHANGE_LIMIT


def _return_to_prior(estimate: SpeedEstimate, now_s: float):
    elapsed_s = now_s - estimate.updated_s if estimate.updated_s else 0.0
    estimate.updated_s = now_s
    if elapsed_s <= 0:
        return
    troubled = estimate.log_speed < TROUBLED_LOG_SPEED
    kept = 0.5 ** (elapsed_s / (TROUBLED_HALF_LIFE_S if troubled else RETURN_HALF_LIFE_S))
    estimate.log_speed *= kept
    estimate.variance = PRIOR_VARIANCE - (PRIOR_VARIANCE - estimate.variance) * kept * kept


def _set_log_speed(estimate: SpeedEstimate, log_speed: float):
    estimate.log_speed = max(MIN_LOG_SPEED, min(MAX_LOG_SPEED, log_speed))


def center_speeds(table: SpeedTable, names: Iterable[str], now_s: float):
    """Updates the estimates of the named VMs to now and shifts all toward a median of 1.0.

    Only the products of speeds and work can be observed, so a common offset would otherwise drift.
    """
    estimates = [table.estimates[name] for name in names if name in table.estimates]
    for estimate in estimates:
        _return_to_prior(estimate, now_s)
    known = [estimate.log_speed for estimate in estimates if estimate.samples]
    if len(known) < MIN_CENTERED_VMS:
        return
    shift = CENTER_PART * statistics.median(known)
    for estimate in estimates:
        if estimate.samples:
            _set_log_speed(estimate, estimate.log_speed - shift)
