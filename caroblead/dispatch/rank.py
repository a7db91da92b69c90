"""Ranks the waiting steps in the order in which they are served.

A lasting step that has served its users goes first, since they are without a task that has ended.
Work that can still be done in time goes before work that is already late or that its team submitted
beyond its share, and both go before work that is too late to be of use, which a lasting step never
is. This is meant for overload, in which serving the oldest work first would make all of it late.
Within a tier the priority of the queue decides, and then the time by which the job should be done.

With fair share, work counts as late as soon as it can't be finished in time any more, by the
expected durations of the rest of its chain of steps, and as of no use when it can't be finished
within three times its objective. What a team submitted beyond its share is replaced by what it uses
beyond its share (:mod:`caroblead.dispatch.share`).
"""

import enum
from dataclasses import dataclass

from ..jobs.data import Job
from .chain import estimate_chain
from .failure import Failures
from .interface import TeamLimits
from .share import ShareTable, mark_over_share
from .work import StepWork

# A job that takes more than this many times its target time is of no use to its caller any more.
USELESS_AFTER_TARGETS = 3.0
# The size of a team's token bucket, in seconds of its share: what it may submit at once.
BURST_S = 2.0
# How long it takes to plan, record and order a start.
START_DELAY_S = 0.1


class Tier(enum.IntEnum):
    """How much it is worth to the caller to serve a step now; the most valuable tier is first.

    The tiers of work over its team's share are only used with fair share.
    """

    SERVING = 0
    IN_TIME = 1
    OVER_SHARE = 2
    LATE = 3
    LATE_OVER_SHARE = 4
    USELESS = 5


# The tier of a step over its team's share, by its tier otherwise.
_OVER_SHARE = (
    Tier.SERVING,
    Tier.OVER_SHARE,
    Tier.OVER_SHARE,
    Tier.LATE_OVER_SHARE,
    Tier.LATE_OVER_SHARE,
    Tier.USELESS,
)


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of a team: the jobs that it may still submit within its share.

    It is refilled with the team's weight in tokens per second.
    """

    tokens: float
    refilled_s: float


def rank_step(step: StepWork, wall_s: float, shares: ShareTable | None = None) -> tuple:
    """Returns the sort key of a step; the lowest goes first.

    ``shares`` is given where fair share is enabled.
    """
    work = step.work
    return (find_tier(step, wall_s, shares), work.job.queue.priority, work.due_s, step.key)


def rank_steps(
    steps: list[StepWork],
    wall_s: float,
    shares: ShareTable | None = None,
    teams: dict[str, TeamLimits] | None = None,
    now_s: float = 0.0,
    failures: Failures | None = None,
) -> list[tuple[tuple, StepWork]]:
    """Returns the steps with their ranks in the order of service, under fair share if given.

    An unexpected error goes to ``failures``. A step that can't be ranked is left out.
    """
    failures = failures or Failures()
    ranked = []
    for step in steps:
        tier = failures.call("rank", step.key, _find_own_tier, step, wall_s, shares)
        if tier is not None:
            ranked.append(((tier, step.work.job.queue.priority, step.work.due_s, step.key), step))
    ranked.sort(key=lambda item: item[0])
    if shares is None:
        return ranked
    claiming = [step for (tier, *_), step in ranked if tier is not Tier.USELESS]
    failures.call("shares", "", mark_over_share, shares, claiming, teams or {}, now_s)
    final = [((_lower_if_over(tier, step, shares), *rest), step) for (tier, *rest), step in ranked]
    if shares.over:
        final.sort(key=lambda item: item[0])
    return final


def find_tier(step: StepWork, wall_s: float, shares: ShareTable | None = None) -> Tier:
    """Returns the tier of a step, by the shares as of the last tick where fair share is enabled."""
    tier = _find_own_tier(step, wall_s, shares)
    return tier if shares is None else _lower_if_over(tier, step, shares)


def _find_own_tier(step: StepWork, wall_s: float, shares: ShareTable | None) -> Tier:
    """Returns the tier of a step, whatever its team uses."""
    return _find_planned_tier(step, wall_s) if shares is None else _find_expected_tier(step, wall_s)


def _find_planned_tier(step: StepWork, wall_s: float) -> Tier:
    work, endless = step.work, step.spec.endless
    if endless and step.step_progress.last_run >= step.spec.count:
        return Tier.SERVING
    began_s = work.due_s - work.target_s
    if not endless and wall_s > began_s + USELESS_AFTER_TARGETS * work.target_s:
        return Tier.USELESS
    if work.surplus or wall_s > work.due_s:
        return Tier.LATE
    return Tier.IN_TIME


def _lower_if_over(tier: Tier, step: StepWork, shares: ShareTable) -> Tier:
    return _OVER_SHARE[tier] if step.key in shares.over else tier


def _find_expected_tier(step: StepWork, wall_s: float) -> Tier:
    """Returns the tier by when the job can be done at the earliest, whatever its team uses.

    The objective follows the caller's estimates, but allows for the requests for advice and for
    work that is expected to take longer than estimated: otherwise a job whose caller estimates too
    little would count as late when it arrives.
    """
    work = step.work
    if step.spec.endless:
        if step.step_progress.last_run >= step.spec.count:
            return Tier.SERVING
        return Tier.LATE if wall_s > work.due_s else Tier.IN_TIME
    chain = estimate_chain(step, wall_s)
    done_s = wall_s + START_DELAY_S + chain.remaining_s
    extra_s = work.job.queue.stretch * chain.unplanned_s
    if done_s <= work.due_s + extra_s:
        return Tier.IN_TIME
    if done_s <= work.due_s + extra_s + (USELESS_AFTER_TARGETS - 1) * (work.target_s + extra_s):
        return Tier.LATE
    return Tier.USELESS


def take_share_token(buckets: dict[str, TokenBucket], team: TeamLimits | None, job: Job) -> bool:
    """Takes a token for a job; returns true if its team has none left, so it is over its share."""
    if team is None or team.weight <= 0:
        return False
    capacity = max(1.0, team.weight * BURST_S)
    bucket = buckets.setdefault(team.name, TokenBucket(capacity, job.accepted_s))
    elapsed_s = max(0.0, job.accepted_s - bucket.refilled_s)
    bucket.tokens = min(capacity, bucket.tokens + elapsed_s * team.weight)
    bucket.refilled_s = max(bucket.refilled_s, job.accepted_s)
    if bucket.tokens < 1.0:
        return True
    bucket.tokens -= 1.0
    return False
