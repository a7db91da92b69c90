"""How long a run of a task is expected to take, for the decisions that depend on it."""

from dataclasses import dataclass

from ..jobs.data import StepSpec

# The high quantile of a duration of which only the caller's estimate is known, as a multiple of it.
UNKNOWN_SPREAD = 2.0


@dataclass(slots=True, frozen=True)
class Expectation:
    """The expected duration of a run on a VM of normal speed, in seconds.

    ``median_s`` is for ordering work, ``high_s`` (nine runs of ten are shorter) for decisions that
    must not be wrong often. ``samples`` is the number of finished runs behind them; without any the
    caller's estimate is all that is known.
    """

    median_s: float
    high_s: float
    samples: int = 0


def expect_by_estimate(spec: StepSpec) -> Expectation:
    """Returns what the caller's estimate says about the duration of a task of a step."""
    return Expectation(spec.estimate_s, UNKNOWN_SPREAD * spec.estimate_s)
