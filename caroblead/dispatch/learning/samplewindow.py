"""A window of the latest samples of durations, and their quantiles.

Some samples are censored: a run that was stopped, or that still runs, is only known to take longer
than it has. Quantiles follow the product-limit estimator (Kaplan and Meier), which counts such a
sample up to its value and no further.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple

QUANTILES = (0.25, 0.5, 0.75, 0.9)
# The product of survival probabilities is rounded.
ROUNDING = 1e-9
# The spread between the quartiles of a normal distribution in standard deviations.
QUARTILE_DEVIATIONS = 1.349
# Summaries are computed anew after this part of the window has been replaced.
RENEWED_PART = 0.125
# A team may fill this part of a window that teams share, so that one team's flood of unusual jobs
# does not change what is expected of the others.
MAX_TEAM_PART = 0.25
# Samples that deviate from the median by more than this are left out of the slope.
MAX_SLOPE_DEVIATION = 1.5
# The weight of the assumption that work is proportional to the estimate, in samples whose
# logarithms of the estimate vary by SLOPE_PRIOR_VARIANCE.
SLOPE_PRIOR_SAMPLES = 4.0
SLOPE_PRIOR_VARIANCE = 0.1


class Sample(NamedTuple):
    """The natural logarithms of the work and the estimate of a run, in seconds.

    The work of a sample that is not ``exact`` is a lower bound. ``step`` identifies the step of the
    run, whose other runs have similar work.
    """

    log_work: float
    log_estimate: float
    exact: bool
    team: str
    step: int = 0


@dataclass(slots=True, frozen=True)
class Summary:
    """The distribution of log work less ``slope`` times log estimate.

    ``deviation`` is the standard deviation by the quartiles, ``high`` the 0.9 quantile and
    ``steps`` the number of steps with an exact sample, since runs of one step are no independent
    samples.
    """

    median: float
    high: float
    deviation: float
    steps: int
    slope: float


@dataclass(slots=True, eq=False)
class SampleWindow:
    """The latest ``size`` samples; of one that is ``shared``, a team fills at most a part.

    ``open_samples`` are those of runs that have not ended. They count only until the window is
    full: before, the ends alone would show only the shortest runs.
    """

    size: int
    shared: bool = False
    samples: deque[Sample] = field(default_factory=deque)
    open_samples: list[Sample] = field(default_factory=list)
    team_counts: Counter[str] = field(default_factory=Counter)
    updated_s: float = 0.0
    renewed: int = 0
    summary: Summary | None = None


def add_sample(window: SampleWindow, sample: Sample, now_s: float):
    """Adds a sample in place of the oldest one, or of the oldest of its team if it has its part."""
    samples = window.samples
    if window.shared:
        counts = window.team_counts
        if counts[sample.team] >= MAX_TEAM_PART * window.size:
            oldest = next(index for index, old in enumerate(samples) if old.team == sample.team)
            del samples[oldest]
            counts[sample.team] -= 1
        elif len(samples) >= window.size:
            removed = samples.popleft()
            counts[removed.team] -= 1
            if not counts[removed.team]:
                del counts[removed.team]
        counts[sample.team] += 1
    elif len(samples) >= window.size:
        samples.popleft()
    samples.append(sample)
    window.updated_s = now_s
    window.renewed += 1


def is_young(window: SampleWindow) -> bool:
    """Returns whether the window has room, so that runs that have not ended count too."""
    part = MAX_TEAM_PART if window.shared else 1.0
    return len(window.samples) < part * window.size


def set_open_samples(window: SampleWindow, samples: list[Sample]):
    """Sets the censored samples of the runs that have not ended."""
    if samples or window.open_samples:
        window.open_samples = samples
        window.summary = None


def summarize(window: SampleWindow, slope: float) -> Summary | None:
    """Returns the distribution of the samples, or ``None`` without an exact sample."""
    summary = window.summary
    if (
        summary is not None
        and abs(summary.slope - slope) < 0.02
        and window.renewed < max(1.0, RENEWED_PART * len(window.samples))
    ):
        return summary
    window.renewed = 0
    window.summary = _compute_summary(window, slope)
    return window.summary


def _compute_summary(window: SampleWindow, slope: float) -> Summary | None:
    samples = [*window.samples, *window.open_samples]
    steps = len({sample.step for sample in samples if sample.exact})
    if not steps:
        return None
    values = [
        (sample.log_work - slope * sample.log_estimate, not sample.exact) for sample in samples
    ]
    low, median, upper, high = find_quantiles(values, QUANTILES)
    return Summary(median, high, (upper - low) / QUARTILE_DEVIATIONS, steps, slope)


def find_quantiles(values: list[tuple[float, bool]], quantiles: tuple[float, ...]) -> list[float]:
    """Returns quantiles, in ascending order, of values paired with whether they are censored.

    A quantile beyond the last uncensored value is the greatest value, which is then a lower bound.
    """
    values.sort()
    at_risk = len(values)
    found: list[float] = []
    survival = 1.0
    for value, censored in values:
        if not censored:
            survival *= 1.0 - 1.0 / at_risk
            while (
                len(found) < len(quantiles) and 1.0 - survival >= quantiles[len(found)] - ROUNDING
            ):
                found.append(value)
        at_risk -= 1
    found += [values[-1][0]] * (len(quantiles) - len(found))
    return found


def fit_slope(window: SampleWindow) -> float:
    """Returns how much of a difference between estimates shows in the work, from 0.0 to 1.0.

    It is the slope of a line fitted to the logarithms: 1.0 if work is proportional to the estimate,
    0.0 if the estimate says nothing. Samples far from the others are left out.
    """
    exact = [sample for sample in window.samples if sample.exact]
    prior = SLOPE_PRIOR_SAMPLES * SLOPE_PRIOR_VARIANCE
    if len(exact) < 2:
        return 1.0
    middle = sorted(sample.log_work for sample in exact)[len(exact) // 2]
    ratio = sorted(sample.log_work - sample.log_estimate for sample in exact)[len(exact) // 2]
    kept = [
        sample
        for sample in exact
        if abs(sample.log_work - middle) < MAX_SLOPE_DEVIATION
        or abs(sample.log_work - sample.log_estimate - ratio) < MAX_SLOPE_DEVIATION
    ]
    mean_work = math.fsum(sample.log_work for sample in kept) / len(kept)
    mean_estimate = math.fsum(sample.log_estimate for sample in kept) / len(kept)
    square = math.fsum((sample.log_estimate - mean_estimate) ** 2 for sample in kept)
    product = math.fsum(
        (sample.log_estimate - mean_estimate) * (sample.log_work - mean_work) for sample in kept
    )
    return max(0.0, min(1.0, (product + prior) / (square + prior)))
