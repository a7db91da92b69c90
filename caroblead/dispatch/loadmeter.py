"""Measures how fast the work of each queue is started, and which teams exceed their share.

Work is counted in thousandths of a core times seconds, by the expected duration of a task. An error
of that expectation that is common to a queue cancels out, because the backlog of the queue, which
is divided by its rate, is counted in the same way.
"""

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ..jobs.data import Job
from .interface import TeamLimits
from .rank import BURST_S, USELESS_AFTER_TARGETS
from .work import StepWork, get_expectation

# A rate that rises is followed within about this time, so that a queue that gets more room is not
# taken for a slow one.
FAST_S = 2.0
# A team that has exceeded its share by more than this many seconds of it owes no more than that: it
# counts as within its share again at most so long after it has slowed down. While a report is made
# and read, a team at seven times its share gets ahead by about 12 s of its share; a smaller limit
# would forgive most of this each time.
MAX_DEBT_S = 4.0
# The least amounts that a task counts for, so that a task of no cores or no estimate counts too.
MIN_MILLICORES = 50
MIN_TASK_S = 0.05
# A rate below this belongs to a queue that isn't used any more.
FORGOTTEN_RATE = 1.0


def compute_work(step: StepWork) -> float:
    """Returns the work of one task of a step."""
    millicores = max(MIN_MILLICORES, step.spec.need.millicores)
    return millicores * max(MIN_TASK_S, get_expectation(step).median_s)


@dataclass(slots=True)
class MovingRate:
    """The work started per second, as a fast and a slow moving average.

    The higher one counts: a wait that is estimated too short only accepts a job too many.
    """

    fast: float = 0.0
    slow: float = 0.0

    def get(self) -> float:
        """Returns the estimate of the rate."""
        return max(self.fast, self.slow)

    def reset(self, rate: float):
        """Sets both averages to a rate."""
        self.fast = self.slow = rate

    def update(self, rate: float, elapsed_s: float, horizon_s: float):
        """Adds the rate of the last ``elapsed_s`` seconds; the slow average spans the horizon."""
        self.fast += (1 - math.exp(-elapsed_s / FAST_S)) * (rate - self.fast)
        self.slow += (1 - math.exp(-elapsed_s / horizon_s)) * (rate - self.slow)


@dataclass(slots=True)
class QueueRates:
    """The rates of a queue: all of its work, the same as ``measured`` only, and surplus work.

    While nothing waits, a queue gets only what is asked of it, which says nothing about what it
    could get. ``total`` and ``surplus`` therefore start from the rate that may become available,
    and approach the measured one from the moment that work waits.
    """

    total: MovingRate = field(default_factory=MovingRate)
    measured: MovingRate = field(default_factory=MovingRate)
    surplus: MovingRate = field(default_factory=MovingRate)


@dataclass(slots=True)
class ShareAccount:
    """What a team may still submit within its share, in jobs; negative if it has exceeded it."""

    jobs: float
    updated_s: float


@dataclass(slots=True)
class LoadMeter:
    """The work started since the last sample by queue and surplus, the rates, and the accounts."""

    started: defaultdict[tuple[str, bool], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    rates: dict[str, QueueRates] = field(default_factory=dict)
    accounts: dict[str, ShareAccount] = field(default_factory=dict)

    def count_start(self, step: StepWork):
        """Counts the start of a task."""
        if not step.spec.endless:
            self.started[step.work.job.queue.name, step.work.surplus] += compute_work(step)

    def count_job(self, job: Job, team: TeamLimits | None):
        """Charges an accepted job to its team.

        Unlike :func:`caroblead.dispatch.rank.take_share_token`, jobs beyond the share are charged
        too, up to :data:`MAX_DEBT_S`: the nodes reject jobs by teams named here, and a team whose
        rejected jobs cost it nothing would be named and forgotten in turns.
        """
        if team is None or team.weight <= 0:
            return
        account = _refill(self.accounts, team, job.accepted_s)
        account.jobs = max(-MAX_DEBT_S * team.weight, account.jobs - 1.0)

    def list_teams_over_share(self, teams: dict[str, TeamLimits], wall_s: float) -> frozenset[str]:
        """Returns the teams that have submitted more than their share by their present weights."""
        for name in self.accounts.keys() - teams.keys():
            del self.accounts[name]
        named = (teams[name] for name in self.accounts)
        return frozenset(
            team.name
            for team in named
            if team.weight > 0 and _refill(self.accounts, team, wall_s).jobs < 0
        )


def _refill(accounts: dict[str, ShareAccount], team: TeamLimits, at_s: float) -> ShareAccount:
    limit = max(1.0, team.weight * BURST_S)
    account = accounts.setdefault(team.name, ShareAccount(limit, at_s))
    elapsed_s = max(0.0, at_s - account.updated_s)
    account.jobs = min(limit, max(-MAX_DEBT_S * team.weight, account.jobs))
    account.jobs = min(limit, account.jobs + elapsed_s * team.weight)
    account.updated_s = max(account.updated_s, at_s)
    return account


@dataclass(slots=True)
class Backlog:
    """The work of a queue that waits for room and is still of use, within share and surplus.

    ``in_time`` is the part of the work within share that isn't late yet. The amounts of resources
    sum those of the waiting tasks, ``job_ids`` has the jobs that they belong to, and ``target_s``
    sums the objectives of the steps counted in ``steps``. ``slots`` is how many tasks of mean size
    would fit into what is free.
    """

    service: str
    in_time: float = 0.0
    work: dict[bool, float] = field(default_factory=lambda: {False: 0.0, True: 0.0})
    tasks: Counter[bool] = field(default_factory=Counter)
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    job_ids: set[str] = field(default_factory=set)
    target_s: float = 0.0
    steps: int = 0
    slots: int = 0

    def get_work(self, surplus: bool) -> float:
        """Returns the work that doesn't fit into what is free; that within share goes first."""
        count = self.tasks[surplus]
        if not count:
            return 0.0
        slots = max(0, self.slots - self.tasks[False]) if surplus else self.slots
        return self.work[surplus] * max(0.0, 1.0 - slots / count)


# The span over which the rate of a queue is averaged is the useful time of its jobs, within these
# bounds: a queue whose callers wait for long isn't judged by a pause of a few seconds.
MIN_HORIZON_S = 2.0
MAX_HORIZON_S = 30.0


def get_horizon_s(backlog: Backlog | None) -> float:
    """Returns the span over which the rate of a queue is averaged."""
    if backlog is None or not backlog.steps:
        return MIN_HORIZON_S
    useful_s = USELESS_AFTER_TARGETS * backlog.target_s / backlog.steps
    return min(MAX_HORIZON_S, max(MIN_HORIZON_S, useful_s))


def update_rates(
    meter: LoadMeter, backlogs: dict[str, Backlog], potentials: dict[str, float], elapsed_s: float
):
    """Updates the rates by what was started in the last ``elapsed_s`` seconds.

    ``potentials`` is the rate at which the VMs of each service work when all are busy.
    """
    started, meter.started = meter.started, defaultdict(float)
    for name in {name for name, _ in started} | backlogs.keys() | meter.rates.keys():
        backlog = backlogs.get(name)
        surplus = started.get((name, True), 0.0) / elapsed_s
        total = started.get((name, False), 0.0) / elapsed_s + surplus
        potential = _find_potential(backlog, potentials)
        rates = meter.rates.get(name)
        if rates is None:
            rates = meter.rates[name] = QueueRates()
            for rate in (rates.total, rates.measured, rates.surplus):
                rate.reset(potential)
        _update_queue(rates, backlog, total, surplus, elapsed_s)
        if backlog is None:
            rates.total.reset(potential)
            if rates.measured.get() < FORGOTTEN_RATE:
                del meter.rates[name]


def _find_potential(backlog: Backlog | None, potentials: dict[str, float]) -> float:
    if backlog is not None:
        return potentials.get(backlog.service, 0.0)
    return max(potentials.values(), default=0.0)


def _update_queue(
    rates: QueueRates, backlog: Backlog | None, total: float, surplus: float, elapsed_s: float
):
    horizon_s = get_horizon_s(backlog)
    rates.measured.update(total, elapsed_s, horizon_s)
    rates.total.update(total, elapsed_s, horizon_s)
    if backlog is None or not backlog.get_work(True):
        rates.surplus.reset(rates.measured.get())
    else:
        rates.surplus.update(surplus, elapsed_s, horizon_s)
