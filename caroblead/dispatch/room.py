"""The working state of a tick: its tables, the pools of VMs, and the room that is left on them.

A pool is the usable VMs of a service, or those of them with a label. A step whose needs are above
what any VM of its pool has free is skipped without a look at the single VMs.
"""

from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..jobs.data import StepKey
from .features import Features
from .fleet import Fleet, Run, VmRow
from .interface import TeamLimits
from .isolation import IsolationState
from .orderwindow import OrderLimits
from .quota import QuotaTable
from .reservation import ReservationTable
from .waitreason import WaitReason
from .work import StepWork, get_booked_need

# The upper bound of the free resources of a pool is recomputed after so many steps without room.
MISSES_PER_UPDATE = 10
# The most runs that are stopped for more urgent work in one tick.
MAX_EVICTIONS_PER_TICK = 24
# How many steps without room may search for runs to evict or VMs to reserve in one tick.
MAX_SEARCHES_PER_TICK = 8


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the VM on which it should run; ``backfills`` is the step that the VM waits for."""

    step: StepWork
    index: int
    vm: VmRow
    ticket: str
    backfills: StepKey | None = None


@dataclass(slots=True)
class Plan:
    """The tasks to start, the runs to evict, and the steps for which to request advice.

    The steps in ``lapsed`` have had VMs reserved for too long and have given them up. ``waits``
    tells why steps wait, for those about which this was asked.
    """

    placements: list[Placement] = field(default_factory=list)
    evictions: list[Run] = field(default_factory=list)
    advice_needed: list[StepWork] = field(default_factory=list)
    lapsed: list[StepWork] = field(default_factory=list)
    waits: dict[StepKey, WaitReason] = field(default_factory=dict)


@dataclass(slots=True)
class Pool:
    """The usable VMs of a service, or those of them with a label.

    No VM of the pool has more free resources than ``max_free``, an upper bound that is only
    recomputed after a number of ``misses``.
    """

    rows: dict[str, VmRow]
    max_free: Resources
    misses: int = 0


@dataclass(slots=True)
class PlanningState:
    """The working state of a tick: the tables, the time, and what is left once the plan is done.

    ``free`` and ``used`` already include the placements of the plan. ``steps`` are all steps of the
    tick, and ``earliest_starts`` is when gangs may have room on their VMs, as far as known.
    ``log_speeds`` holds the logarithms of the speeds of the VMs if they are learned.
    """

    fleet: Fleet
    now_s: float
    free: dict[str, Resources]
    used: dict[str, Resources]
    rows: list[VmRow]
    reservations: ReservationTable
    isolation: IsolationState
    plan: Plan = field(default_factory=Plan)
    slow: frozenset[str] | set[str] = frozenset()
    features: Features = Features()
    limits: OrderLimits = OrderLimits()
    wall_s: float = 0.0
    steps: dict[StepKey, StepWork] = field(default_factory=dict)
    earliest_starts: dict[StepKey, float] = field(default_factory=dict)
    log_speeds: dict[str, float] = field(default_factory=dict)
    quota: QuotaTable = field(default_factory=QuotaTable)
    evictions_left: int = MAX_EVICTIONS_PER_TICK
    searches_left: int = MAX_SEARCHES_PER_TICK
    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)


def find_pool(state: PlanningState, service: str, label: str) -> Pool:
    """Returns the pool of a service and a label, which may be empty for all its VMs."""
    pool = state.pools.get((service, label))
    if pool is None:
        rows = {
            row.name: row
            for row in state.rows
            if row.listed.service == service and (not label or label in row.listed.labels)
        }
        pool = state.pools[service, label] = Pool(rows, NOTHING)
        _update_max_free(state, pool)
    return pool


def _update_max_free(state: PlanningState, pool: Pool):
    frees = [state.free[name] for name in pool.rows]
    pool.max_free = Resources(
        max((free.millicores for free in frees), default=0),
        max((free.memory_mb for free in frees), default=0),
        max((free.accelerators for free in frees), default=0),
    )
    pool.misses = 0


def may_fit(state: PlanningState, pool: Pool, need: Resources) -> bool:
    """Returns false only if certainly no VM of the pool has room for a task."""
    if pool.misses >= MISSES_PER_UPDATE:
        _update_max_free(state, pool)
    return fits(need, pool.max_free)


def list_candidates(
    state: PlanningState, pool: Pool, step: StepWork, backfillable: set[str]
) -> list[VmRow]:
    """Returns the VMs that a step may use, whether they have room or not."""
    blocked = state.reservations.list_blocked_for(step.key)
    if backfillable:
        blocked = blocked - backfillable
    if step.work.job.queue.advice is None:
        return [row for name, row in pool.rows.items() if name not in blocked]
    # Sorted because sets are unordered and the same tables must give the same plan.
    allowed = sorted(step.advice.allowed & pool.rows.keys())
    return [pool.rows[name] for name in allowed if name not in blocked]


def may_fit_elsewhere(state: PlanningState, pool: Pool, step: StepWork, need: Resources) -> bool:
    """Returns whether a VM about which the advice service hasn't been asked has room."""
    unasked = pool.rows.keys() - step.advice.asked
    return any(fits(need, state.free[name]) for name in unasked)


def book_room(state: PlanningState, step: StepWork, chosen: list[tuple[int, VmRow]]):
    """Subtracts the room of chosen tasks from that of their VMs for the rest of the tick."""
    need = get_booked_need(step.spec)
    team = step.work.job.team
    for _, row in chosen:
        state.free[row.name] = subtract(state.free[row.name], need)
        state.used[team] = add(state.used.get(team, NOTHING), step.spec.need)


def count_allowance(team: TeamLimits | None, used: Resources, need: Resources) -> int:
    """Returns how many more tasks of this need a team may run within its quota."""
    if team is None:
        return 1_000_000
    counts = [
        (limit - have) // want
        for limit, have, want in (
            (team.cap.millicores, used.millicores, need.millicores),
            (team.cap.memory_mb, used.memory_mb, need.memory_mb),
            (team.cap.accelerators, used.accelerators, need.accelerators),
        )
        if limit and want
    ]
    return max(0, min(counts, default=1_000_000))
