"""Weighted fair share of the fleet among teams, for the time in which it is full.

This is meant for a team that sends five to ten times its usual load while others send theirs. When
work waits without room, each team is entitled to a part of what runs: the parts are in proportion
to the weights, and what a team doesn't need is left to the others. What a team uses is its dominant
share, the largest fraction that it takes of any resource of the fleet, half of it as used now and
half as used in the last seconds. Steps beyond the entitlement of their team are served after those
within. The order of the work of one team isn't changed.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, compute_dominant_share
from ..jobs.data import StepKey
from .fleet import Fleet
from .interface import TeamLimits
from .work import StepWork

# The history of what a team used loses half of its weight in this time. Bursts last for 4 to 8 s.
HISTORY_HALF_LIFE_S = 4.0
# The weight of the history against the present use.
HISTORY_WEIGHT = 0.5
# The interval at which the use of the teams is sampled.
SAMPLE_INTERVAL_S = 0.1
# Urgent steps are only charged with the urgent runs of their team: otherwise its long runs would
# make its callers' short requests wait behind the long work of others. Less urgent steps are
# charged with all runs, or a team could hide its long work behind another priority.
URGENT_PRIORITY = 0
# The interval at which the urgent runs of the teams are summed up, which visits every run.
URGENT_INTERVAL_S = 0.5
# Steps count as waiting without room until this long after one was seen last, because the room that
# each end of a run frees would otherwise let teams over their share take it.
FULL_HOLD_S = 1.0
# The shares of so many different needs are remembered, whatever callers send.
MAX_TASK_SHARES = 2_000
# A team that uses nothing is forgotten when its history is below this.
MIN_HISTORY = 1e-6


@dataclass(slots=True)
class TeamUse:
    """The dominant share that a team uses now, and its decaying history."""

    now: float = 0.0
    history: float = 0.0

    def get_effective(self) -> float:
        """Returns the share that counts against the team's entitlement."""
        return HISTORY_WEIGHT * self.history + (1 - HISTORY_WEIGHT) * self.now


@dataclass(slots=True)
class ShareTable:
    """What the teams use, and what each may use while the fleet is full.

    ``over`` holds the steps beyond the entitlement of their team, by the last tick. ``level`` is
    the entitlement for each unit of weight, infinite while nothing waits without room. ``limits``
    holds the teams with steps in ``over`` and their entitlement, and ``reported`` those that the
    log shows as over their share. ``urgent_parts`` is the part of each team's running
    cores that is for urgent work, measured at ``urgent_s``.
    """

    teams: dict[str, TeamUse] = field(default_factory=dict)
    capacity: Resources = NOTHING
    sampled_s: float | None = None
    full_until_s: float = float("-inf")
    over: set[StepKey] = field(default_factory=set)
    level: float = float("inf")
    limits: dict[str, float] = field(default_factory=dict)
    task_shares: dict[Resources, float] = field(default_factory=dict)
    reported: set[str] = field(default_factory=set)
    urgent_parts: dict[str, float] = field(default_factory=dict)
    urgent_s: float = float("-inf")


def sample_use(table: ShareTable, fleet: Fleet, now_s: float):
    """Samples what the teams use now; does nothing if the last sample is recent.

    At the first sample of a term the history is what the recorded runs use that the leader has
    taken over, so a change of leader doesn't forgive a team that has just filled the fleet.
    """
    if table.sampled_s is not None and now_s - table.sampled_s < SAMPLE_INTERVAL_S:
        return
    capacity = NOTHING
    for row in fleet.rows.values():
        if row.in_registry:
            capacity = add(capacity, row.listed.capacity)
    if capacity != table.capacity:
        table.capacity = capacity
        table.task_shares.clear()
    if now_s <= table.full_until_s and now_s - table.urgent_s >= URGENT_INTERVAL_S:
        _measure_urgent_parts(table, fleet)
        table.urgent_s = now_s
    is_first = table.sampled_s is None
    kept = 0.0 if is_first else 0.5 ** ((now_s - table.sampled_s) / HISTORY_HALF_LIFE_S)
    table.sampled_s = now_s
    for name in table.teams.keys() | fleet.used.keys():
        use = table.teams.setdefault(name, TeamUse())
        now = compute_dominant_share(fleet.used.get(name, NOTHING), capacity)
        use.history = kept * use.history + (1 - kept) * (now if is_first else use.now)
        use.now = now
        if not now and use.history < MIN_HISTORY:
            del table.teams[name]


def _measure_urgent_parts(table: ShareTable, fleet: Fleet):
    """Measures which part of the running cores of each team is for urgent work."""
    whole: defaultdict[str, int] = defaultdict(int)
    urgent: defaultdict[str, int] = defaultdict(int)
    for row in fleet.rows.values():
        for run in row.runs.values():
            millicores = run.get_charge().millicores
            whole[run.team] += millicores
            if run.priority == URGENT_PRIORITY:
                urgent[run.team] += millicores
    table.urgent_parts = {name: urgent[name] / max(1, whole[name]) for name in whole}


def note_without_room(table: ShareTable, now_s: float):
    """Notes that a step waits now for which no VM has room."""
    table.full_until_s = now_s + FULL_HOLD_S


def clear_over_share(table: ShareTable):
    """Removes all marks, as while nothing waits."""
    table.over.clear()
    table.limits.clear()
    table.level = float("inf")


def mark_over_share(
    table: ShareTable, steps: list[StepWork], teams: dict[str, TeamLimits], now_s: float
):
    """Marks the steps beyond their team's entitlement; ``steps`` are in the order of service.

    A step counts as within it if the use of its team and of its steps before is. So the first step
    of a team that uses less than its entitlement is always within, however large it is. Teams
    without a weight have no limit.
    """
    clear_over_share(table)
    if now_s > table.full_until_s:
        return
    demands = _sum_demands(table, steps, teams)
    in_use = sum(use.now for use in table.teams.values())
    if not in_use:
        # Nothing ran at the last sample, so there is nothing to divide yet.
        return
    table.level = compute_level(
        [
            (teams[name].weight, demand)
            for name, demand in demands.items()
            if name in teams and teams[name].weight > 0
        ],
        in_use,
    )
    claimed: defaultdict[str, float] = defaultdict(float)
    for step in steps:
        name = step.work.job.team
        team = teams.get(name)
        if team is None or team.weight <= 0:
            continue
        limit = table.level * team.weight
        before = claimed[name] + _get_use(table, name, step.work.job.queue.priority)
        if before >= limit:
            table.over.add(step.key)
            table.limits[name] = limit
        else:
            claimed[name] += _get_waiting_share(table, step)


def report_changes(table: ShareTable) -> list[tuple[str, bool]]:
    """Returns the teams that went over their share or back, and updates the set of those over it.

    A team counts as back only when the fleet isn't full any more, so that one that uses just about
    its entitlement isn't reported in every tick.
    """
    reported = table.reported
    went_over = [name for name in table.limits if name not in reported]
    is_full = table.level != float("inf")
    came_back = [] if is_full else sorted(reported)
    reported.update(went_over)
    reported.difference_update(came_back)
    return [(name, True) for name in went_over] + [(name, False) for name in came_back]


def compute_level(demands: list[tuple[float, float]], amount: float) -> float:
    """Returns the level for each unit of weight at which the teams together use an amount.

    ``demands`` are pairs of weight and demand. No team gets more than its demand; the level is
    infinite if they don't need the amount. For example, teams of weight 1 that demand 0.1 and 0.9
    of an amount of 0.5 have a level of 0.4.
    """
    left = amount
    weight_left = sum(weight for weight, _ in demands)
    for weight, demand in sorted(demands, key=lambda item: item[1] / item[0]):
        if demand / weight >= left / weight_left:
            return max(0.0, left / weight_left)
        left -= demand
        weight_left -= weight
    return float("inf")


def _sum_demands(
    table: ShareTable, steps: list[StepWork], teams: dict[str, TeamLimits]
) -> dict[str, float]:
    """Returns what each team uses and waits for, at most its quota."""
    demands: defaultdict[str, float] = defaultdict(float)
    for name, use in table.teams.items():
        demands[name] = use.get_effective()
    for step in steps:
        demands[step.work.job.team] += _get_waiting_share(table, step)
    for name in demands.keys() & teams.keys():
        cap = teams[name].cap
        if cap != NOTHING:
            demands[name] = min(demands[name], compute_dominant_share(cap, table.capacity))
    return demands


def _get_use(table: ShareTable, team: str, priority: int) -> float:
    """Returns the use of a team that counts against a step: for an urgent one only urgent runs."""
    use = table.teams.get(team)
    if use is None:
        return 0.0
    part = table.urgent_parts.get(team, 1.0) if priority == URGENT_PRIORITY else 1.0
    return use.get_effective() * part


def _get_waiting_share(table: ShareTable, step: StepWork) -> float:
    """Returns the share of the fleet that the waiting tasks of a step need."""
    need = step.spec.need
    share = table.task_shares.get(need)
    if share is None:
        if len(table.task_shares) >= MAX_TASK_SHARES:
            table.task_shares.clear()
        share = table.task_shares[need] = compute_dominant_share(need, table.capacity)
    return share * len(step.waiting)
