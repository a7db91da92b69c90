"""How long the rest of a job takes, along the longest chain of its remaining steps."""

from .expectation import ChainEstimate
from .work import StepWork, get_expectation

# The request for advice that a step still needs is expected to be about this many VMs.
VMS_PER_REQUEST = 30
# An estimate is used again for this long, since it is needed in every tick.
ESTIMATE_AGE_S = 0.5


def estimate_chain(step: StepWork, wall_s: float) -> ChainEstimate:
    """Returns an estimate for a step, which may have been made shortly before."""
    found = step.chain
    if found is None or not 0 <= wall_s - found.made_s < ESTIMATE_AGE_S:
        found = step.chain = _make_estimate(step, wall_s)
    return found


def _make_estimate(step: StepWork, wall_s: float) -> ChainEstimate:
    terms = step.work.job.queue.advice
    advice_s = 0.0 if terms is None else terms.decision_s + VMS_PER_REQUEST * terms.per_vm_s
    expected_s, estimate_s = _measure_tail(step, advice_s)
    # A step that holds tickets needs no further request unless they expire.
    saved_s = advice_s if step.advice.tickets else 0.0
    unplanned_s = max(0.0, expected_s - estimate_s)
    return ChainEstimate(max(0.0, expected_s - saved_s), unplanned_s, wall_s)


def _measure_tail(step: StepWork, advice_s: float) -> tuple[float, float]:
    """Returns the longest chain from a step on as expected, and by the caller's estimates."""
    specs = step.work.job.spec.steps
    first, occurrence = step.key.step, step.key.occurrence
    if len(specs) == 1:
        return get_expectation(step).median_s + advice_s, step.spec.estimate_s
    expected, estimated = [0.0] * len(specs), [0.0] * len(specs)
    # Steps only come after ones with a lower index.
    for number in range(len(specs) - 1, first - 1, -1):
        later = step.work.steps[occurrence, number]
        expected[number] += get_expectation(later).median_s + advice_s
        estimated[number] += later.spec.estimate_s
        for index in later.spec.after:
            expected[index] = max(expected[index], expected[number])
            estimated[index] = max(estimated[index], estimated[number])
    return expected[first], estimated[first]
