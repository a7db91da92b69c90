"""The order in which waiting steps are served.

Work that can still be done in time goes before work that is late already or that its team sent
beyond its share, and both go before work that is too late to be of use; it answers load over what
the fleet holds, where serving the oldest first would make everything late. Within a tier the
priority of the queue decides and then the time by which the job should be done.
"""

import enum
from dataclasses import dataclass

from ..jobs.data import Job
from .interface import TeamLimits
from .work import StepWork

# A job that takes so many times its target is of no use to its caller any more.
USELESS_AFTER_TARGETS = 3.0
# A team may send so many seconds' worth of its share at once.
BURST_S = 2.0


class Tier(enum.IntEnum):
    """How much serving a step now is worth to its caller."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


@dataclass(slots=True)
class Allowance:
    """What a team may still send within its share."""

    tokens: float
    filled_s: float


def rank_step(step: StepWork, wall_s: float) -> tuple:
    """Returns a step's place in the order; lower goes first."""
    work = step.work
    return (find_tier(step, wall_s), work.job.queue.priority, work.due_s, step.key)


def find_tier(step: StepWork, wall_s: float) -> Tier:
    """Returns whether a step is in time, late or of no use any more."""
    work = step.work
    began_s = work.due_s - work.target_s
    if wall_s > began_s + USELESS_AFTER_TARGETS * work.target_s:
        return Tier.USELESS
    if work.surplus or wall_s > work.due_s:
        return Tier.LATE
    return Tier.IN_TIME


def count_surplus(allowances: dict[str, Allowance], team: TeamLimits | None, job: Job) -> bool:
    """Returns whether a job lies beyond what its team may send by its share, and counts it."""
    if team is None or team.weight <= 0:
        return False
    full = max(1.0, team.weight * BURST_S)
    allowance = allowances.setdefault(team.name, Allowance(full, job.accepted_s))
    passed_s = max(0.0, job.accepted_s - allowance.filled_s)
    allowance.tokens = min(full, allowance.tokens + passed_s * team.weight)
    allowance.filled_s = max(allowance.filled_s, job.accepted_s)
    if allowance.tokens < 1.0:
        return True
    allowance.tokens -= 1.0
    return False
