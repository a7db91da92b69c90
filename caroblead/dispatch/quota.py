"""Keeps freed quota of a team for its more urgent steps.

This is meant for a burst of one team. At its quota, each end of a small task frees a little, which
the next small task takes at once, however unimportant, while an urgent task or a gang needs more.
So what is free is kept for the first steps that lack quota, in the order of service, but only for
as many tasks as the VMs that they may use have room for: quota that is kept without need is idle.
"""

from collections import Counter
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add
from .eviction import count_fit, limit_per_vm
from .interface import TeamLimits
from .rank import Tier
from .work import StepWork, get_booked_need

# For so many steps of a team quota is kept at once; a search through their VMs takes time.
MAX_KEEPING_STEPS = 3


@dataclass(slots=True)
class QuotaTable:
    """The quota that is kept in a tick, by team, and for how many of the team's steps."""

    kept: dict[str, Resources] = field(default_factory=dict)
    steps: Counter[str] = field(default_factory=Counter)


def get_taken(table: QuotaTable, used: dict[str, Resources], team: str) -> Resources:
    """Returns what a team uses together with what is kept for its more urgent steps."""
    taken = used.get(team, NOTHING)
    kept = table.kept.get(team)
    return taken if kept is None else add(taken, kept)


def keep_quota(table: QuotaTable, step: StepWork, rank: tuple, missing: int, room: int):
    """Keeps quota for the missing tasks of a step that have room; a gang needs room for all."""
    team = step.work.job.team
    count = min(missing, room)
    if rank[0] > Tier.LATE or count <= 0 or (step.spec.gang and count < missing):
        return
    need = step.spec.need
    kept = Resources(need.millicores * count, need.memory_mb * count, need.accelerators * count)
    table.kept[team] = add(table.kept.get(team, NOTHING), kept)
    table.steps[team] += 1


def may_ask_ahead(table: QuotaTable, step: StepWork, rank: tuple) -> bool:
    """Returns whether the advice service is asked about a step whose team has no quota left.

    Its tickets are there when quota becomes free. Requests about gangs take too long for that.
    """
    if step.spec.gang or rank[0] > Tier.LATE:
        return False
    table.steps[step.work.job.team] += 1
    return True


def may_keep(table: QuotaTable, step: StepWork, team: TeamLimits | None) -> bool:
    """Returns whether quota may be kept for another step of this team."""
    return team is not None and table.steps[step.work.job.team] < MAX_KEEPING_STEPS


def count_room(step: StepWork, candidates, free: dict[str, Resources], missing: int) -> int:
    """Returns for how many of the missing tasks of a step its VMs have room now."""
    need, limit, total = get_booked_need(step.spec), limit_per_vm(step, missing), 0
    for row in candidates:
        total += min(limit, count_fit(need, free[row.name]))
        if total >= missing:
            return missing
    return total
