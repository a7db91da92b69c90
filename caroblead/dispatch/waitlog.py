"""Logs and counts the steps that are due and wait, with the reason.

A step that waits at two looks in a row is logged when its reason is new. So a backlog costs a line
for each step and reason, and work that starts at once costs none.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from ..core.logsink import log_routine
from ..core.resource import NOTHING, fits
from ..jobs.data import StepKey
from .fleet import Fleet
from .interface import Configuration
from .room import count_allowance
from .waitreason import WaitReason
from .work import StepWork, get_booked_need

LOOK_INTERVAL_S = 1.0


@dataclass(slots=True)
class Wait:
    """Since when a step has been seen waiting, and why when it was last looked at."""

    team: str
    since_s: float
    reason: WaitReason | None = None


@dataclass(slots=True, eq=False)
class WaitTable:
    """The steps that waited at the last look."""

    waits: dict[StepKey, Wait] = field(default_factory=dict)
    next_look_s: float = 0.0

    def is_look_due(self, now_s: float) -> bool:
        """Returns whether the steps that wait should be looked at now."""
        return now_s >= self.next_look_s

    def list_known(self) -> Collection[StepKey]:
        """Returns the steps that waited at the last look, whose reasons are wanted at the next."""
        return self.waits.keys()

    def note(
        self,
        steps: Collection[StepWork],
        reasons: dict[StepKey, WaitReason],
        fleet: Fleet,
        configuration: Configuration,
        now_s: float,
    ):
        """Takes over a look: the ``steps`` that wait, and the reasons of those known before."""
        before, self.waits = self.waits, {}
        self.next_look_s = now_s + LOOK_INTERVAL_S
        for step in steps:
            wait = before.get(step.key) or Wait(step.work.job.team, now_s)
            self.waits[step.key] = wait
            reason = reasons.get(step.key)
            if reason is not None and reason is not wait.reason:
                wait.reason = reason
                _log_wait(step, wait, fleet, configuration, now_s)

    def count(self) -> Counter[tuple[str, str]]:
        """Returns how many steps wait, by reason and team."""
        known = (wait for wait in self.waits.values() if wait.reason is not None)
        return Counter((str(wait.reason), wait.team) for wait in known)


def _log_wait(step: StepWork, wait: Wait, fleet: Fleet, configuration: Configuration, now_s: float):
    advice, need = step.advice, get_booked_need(step.spec)
    used = fleet.used.get(wait.team, NOTHING)
    rows = [fleet.rows[name] for name in advice.allowed if name in fleet.rows]
    log_routine(
        "step:waiting",
        step=str(step.key),
        reason=wait.reason,
        since_s=round(now_s - wait.since_s, 3),
        queue=step.work.job.queue.name,
        team=wait.team,
        tasks=len(step.waiting),
        gang=step.spec.gang,
        quota_for=count_allowance(configuration.teams.get(wait.team), used, step.spec.need),
        asked=len(advice.asked),
        allowed=len(rows),
        allowed_with_room=sum(fits(need, row.free) for row in rows),
        answer_age_s=round(now_s - advice.received_s, 3) if advice.received_s else None,
    )
