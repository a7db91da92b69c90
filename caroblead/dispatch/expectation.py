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


@dataclass(slots=True, frozen=True)
class ChainEstimate:
    """The expected duration of the rest of a job, from the start of a step that waits.

    ``remaining_s`` includes the requests for advice that are still needed. ``unplanned_s`` is how
    much longer the chain is than the caller's estimates, by those requests and by what is expected
    of the work itself. It was made at ``made_s``.
    """

    remaining_s: float
    unplanned_s: float
    made_s: float
