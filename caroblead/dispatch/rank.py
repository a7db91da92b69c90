"""Ranks the waiting steps in the order in which they are served.

A lasting step that has served its users goes first, since they are without a task that has ended.
Work that can still be done in time goes before work that is already late or that its team submitted
beyond its share, and both go before work that is too late to be of use, which a lasting step never
is. This is meant for overload, in which serving the oldest work first would make all of it late.
Within a tier the priority of the queue decides, and then the time by which the job should be done.
"""

import enum
from dataclasses import dataclass

from ..jobs.data import Job
from .interface import TeamLimits
from .work import StepWork

# A job that takes more than this many times its target time is of no use to its caller any more.
USELESS_AFTER_TARGETS = 3.0
# The size of a team's token bucket, in seconds of its share: what it may submit at once.
BURST_S = 2.0


class Tier(enum.IntEnum):
    """How much it is worth to the caller to serve a step now; the most valuable tier is first."""

    SERVING = 0
    IN_TIME = 1
    LATE = 2
    USELESS = 3


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of a team: the jobs that it may still submit within its share.

    It is refilled with the team's weight in tokens per second.
    """

    tokens: float
    refilled_s: float


def rank_step(step: StepWork, wall_s: float) -> tuple:
    """Returns the sort key of a step; the lowest goes first."""
    work = step.work
    return (find_tier(step, wall_s), work.job.queue.priority, work.due_s, step.key)


def find_tier(step: StepWork, wall_s: float) -> Tier:
    """Returns the tier of a step: serving, in time, late, or of no use any more."""
    work, endless = step.work, step.spec.endless
    if endless and step.step_progress.last_run >= step.spec.count:
        return Tier.SERVING
    began_s = work.due_s - work.target_s
    if not endless and wall_s > began_s + USELESS_AFTER_TARGETS * work.target_s:
        return Tier.USELESS
    if work.surplus or wall_s > work.due_s:
        return Tier.LATE
    return Tier.IN_TIME


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
