"""Replays heavy loads on the tables of a leader, without a network, a log or a clock.

The jobs of a customer with many large gangs arrive at a simulated fleet, and a simple loop over
``plan_starts`` starts them. The figures are those of the table in ``docs/WORK-hard-load.md``.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..core.resource import Resources
from ..dispatch.advice.advicerequest import choose_vms_to_ask, store_answer
from ..dispatch.advice.advicesize import (
    AdviceShares,
    choose_vms_for_step,
    count_new_answers,
    get_allowed_share,
    learn_allowed_share,
)
from ..dispatch.features import Features
from ..dispatch.fleet import Fleet, Run, RunPhase, book_run, put_vm, release_run
from ..dispatch.interface import Configuration, ListedVm, TeamLimits
from ..dispatch.planning import plan_starts
from ..dispatch.rank import Tier, find_tier, take_share_token
from ..dispatch.share import ShareTable, sample_use
from ..dispatch.work import (
    JobWork,
    StepWork,
    add_run,
    copy_step_attributes,
    get_booked_need,
    is_job_done,
    is_step_ready,
    open_due_occurrences,
    open_job,
    remove_run,
)
from ..jobs.data import AdviceTimes, Job, JobQueue, JobSpec, Progress, StepKey, StepSpec

TICK_S = 0.05
VMS = 176
SPEEDS = (0.8, 1.0, 1.25)
WARM_UP_S = 5.0
# An objective allows for one request about this many VMs for each step of the chain.
OBJECTIVE_VMS = 30


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of jobs: its queue, arrivals, widths, durations and the share of VMs allowed to it."""

    queue: JobQueue
    jobs_per_s: float
    steps: float
    tasks: int
    work_s: float
    cores: float
    error: float
    gangs: float
    checkpoints: float
    allowed: float


def _define_queue(name, priority, stretch, latency_s, advice):
    return JobQueue(
        name, "h", f"/{name}/", "s", priority, stretch=stretch, latency_s=latency_s, advice=advice
    )


EXAMS = (
    Kind(
        _define_queue("reviews", 1, 2.2, 1.0, AdviceTimes(0.715, 0.01, 1.5)),
        *(1.88, 1.2, 20, 6.2, 4.5, 0.2, 1.0, 0.5, 0.25),
    ),
    Kind(
        _define_queue("marking", 2, 4.0, 3.0, AdviceTimes(0.13, 0.0018, 1.5)),
        *(4.93, 1.5, 25, 2.7, 1.7, 0.5, 0.0, 0.0, 0.45),
    ),
    Kind(
        _define_queue("autosaves", 0, 1.5, 0.3, AdviceTimes(0.012, 0.00017, 1.5)),
        *(55.0, 1.0, 3, 0.8, 2.5, 0.9, 0.3, 0.0, 0.7),
    ),
)
# The part of the load that each of 20 teams sends: a few are large.
TEAM_PARTS = {f"t{number:02}": part for number, part in enumerate((8, 5, 4, 3, 2, 2, *[1] * 14))}


@dataclass(slots=True)
class Load:
    """What is replayed: factors of queues and teams over time, and when some VMs leave.

    A burst is a queue or a team with the time from and until which it sends ``factor`` times its
    usual load. A tenth of the VMs leaves at ``leave_s``, for which they are marked 2 s before, and
    returns at ``return_s``. After the last arrival the replay goes on for ``drain_s`` at most.
    """

    duration_s: float = 30.0
    bursts: list[tuple[str, float, float, float]] = field(default_factory=list)
    leave_s: float | None = None
    return_s: float = 1e9
    scale: float = 1.0
    seed: int = 1
    leader_change_s: float | None = None
    drain_s: float = 30.0


@dataclass(slots=True)
class Outcome:
    """The jobs of a replay that were served in time, by group, such as the name of a team.

    ``work`` and ``work_in_time`` are in core-seconds.
    """

    sent: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    work: Counter = field(default_factory=Counter)
    work_in_time: Counter = field(default_factory=Counter)

    def add(self, groups: list[str], is_in_time: bool, core_s: float):
        """Counts a job in its groups."""
        for group in groups:
            self.sent[group] += 1
            self.in_time[group] += is_in_time
            self.work[group] += core_s
            self.work_in_time[group] += core_s * is_in_time

    def get(self, group: str) -> float:
        """Returns the fraction of the jobs of a group that were served in time."""
        return self.in_time[group] / max(1, self.sent[group])

    def get_by_work(self, *groups: str) -> float:
        """Returns the fraction of the work of groups that was served in time."""
        whole = sum(self.work[group] for group in groups)
        return sum(self.work_in_time[group] for group in groups) / max(1e-9, whole)

    def get_worst_tenth(self) -> float:
        """Returns the work in time of the worst-served tenth of teams over that of all teams."""
        rates = sorted(self.get_by_work(group) for group in self.sent if group in TEAM_PARTS)
        worst = rates[: max(1, len(rates) // 10)]
        return sum(worst) / len(worst) / max(1e-9, sum(rates) / len(rates))


class Replay:
    """The tables of a leader, and the jobs and VMs that it decides about."""

    def __init__(self, load: Load, features: Features, teams: dict[str, TeamLimits] | None = None):
        self.load, self.features = load, features
        self.random = random.Random(load.seed)
        self.configuration = Configuration(teams=teams or make_teams())
        self.fleet = Fleet()
        self.speeds: dict[str, float] = {}
        for number in range(round(VMS * load.scale)):
            listed = ListedVm(
                f"v{number}", 1, "s", "a:1", "z", "r", (), Resources(16_000, 64_000), False
            )
            put_vm(self.fleet, listed).answered = True
            self.speeds[listed.name] = SPEEDS[number % len(SPEEDS)]
        self.kinds = {kind.queue.name: kind for kind in EXAMS}
        self.works: dict[str, JobWork] = {}
        self.seconds: dict[str, list[float]] = {}
        self.ended_s: dict[str, float] = {}
        self.events: list[tuple] = []
        self.serials = itertools.count()
        self.buckets: dict = {}
        self.advice_shares = AdviceShares()
        self.shares = ShareTable()
        self.outcome = Outcome()
        self.on_tick: Callable[[float], None] = lambda now_s: None
        self.begin_term()

    def begin_term(self):
        """Forgets what a leader knows only by itself."""
        self.advice_shares, self.shares = AdviceShares(), ShareTable()

    def run(self) -> Outcome:
        """Replays the load and then lets the last jobs end, and returns how jobs were served."""
        now_s = 0.0
        for kind in EXAMS:
            self._push(self._draw_gap(kind, 0.0), self._arrive, kind)
        if self.load.leave_s is not None:
            self._push(self.load.leave_s - 2.0, self._mark_leaving, True)
            self._push(self.load.leave_s, self._leave)
            self._push(self.load.return_s, self._mark_leaving, False)
        if self.load.leader_change_s is not None:
            self._push(self.load.leader_change_s, lambda now_s: self.begin_term())
        while now_s < self.load.duration_s + self.load.drain_s and (self.events or self.works):
            while self.events and self.events[0][0] <= now_s:
                at_s, _, action, arguments = heapq.heappop(self.events)
                action(at_s, *arguments)
            self._tick(now_s)
            self.on_tick(now_s)
            now_s += TICK_S
        return self._count()

    def _push(self, at_s: float, action, *arguments):
        heapq.heappush(self.events, (at_s, next(self.serials), action, arguments))

    def _draw_gap(self, kind: Kind, now_s: float) -> float:
        factor = 1.0
        for name, begin_s, end_s, value in self.load.bursts:
            if name == kind.queue.name and begin_s <= now_s < end_s:
                factor *= value
        return self.random.expovariate(kind.jobs_per_s * self.load.scale * factor)

    def _arrive(self, now_s: float, kind: Kind):
        if now_s >= self.load.duration_s:
            return
        self._push(now_s + self._draw_gap(kind, now_s), self._arrive, kind)
        team = self.random.choices(list(TEAM_PARTS), list(TEAM_PARTS.values()))[0]
        self._accept(kind, team, now_s)
        for name, begin_s, end_s, value in self.load.bursts:
            part = TEAM_PARTS.get(name, 0) / sum(TEAM_PARTS.values())
            extra = part * (value - 1.0) if begin_s <= now_s < end_s else 0.0
            while self.random.random() < extra:
                self._accept(kind, name, now_s)
                extra -= 1.0

    def _accept(self, kind: Kind, team: str, now_s: float):
        generator = self.random
        steps, seconds = [], []
        for number in range(1 + (generator.random() < kind.steps - 1.0)):
            count = max(1, round(kind.tasks * generator.uniform(0.3, 1.7)))
            work_s = kind.work_s * generator.lognormvariate(-0.08, 0.4)
            estimate_s = work_s * (1.0 + generator.uniform(-kind.error, kind.error))
            need = Resources(int(kind.cores * 1000), int(kind.cores * 2000))
            gang = generator.random() < kind.gangs
            after = (number - 1,) if number else ()
            checkpoints = generator.random() < kind.checkpoints
            spec = StepSpec(count, need, estimate_s, after, gang, checkpoints=checkpoints)
            steps.append(spec)
            seconds.append(work_s)
        job = Job(f"j{next(self.serials)}", team, kind.queue, JobSpec("", tuple(steps)), now_s)
        work = open_job(job, Progress())
        open_due_occurrences(work, now_s)
        limits = self.configuration.teams.get(team)
        work.surplus = take_share_token(self.buckets, limits, job)
        self.works[job.id], self.seconds[job.id] = work, seconds

    def _mark_leaving(self, now_s: float, draining: bool):
        for number in range(0, round(VMS * self.load.scale), 10):
            row = self.fleet.rows[f"v{number}"]
            put_vm(self.fleet, replace(row.listed, draining=draining))

    def _leave(self, now_s: float):
        for number in range(0, round(VMS * self.load.scale), 10):
            for run in list(self.fleet.rows[f"v{number}"].runs.values()):
                self._stop(run)

    def _stop(self, run: Run):
        """Ends a run, or its whole gang, before its work is done."""
        step = self.works[run.task.job].steps[run.task.occurrence, run.task.step]
        runs = [run]
        if step.spec.gang:
            runs = [run for runs in step.active.values() for run in runs]
        for item in runs:
            if release_run(self.fleet, item):
                remove_run(step, item)

    def _tick(self, now_s: float):
        for row in self.fleet.rows.values():
            row.heard_s = now_s
        steps = [
            step
            for work in self.works.values()
            for step in work.steps.values()
            if is_step_ready(step)
        ]
        if not steps:
            return
        plan = self._plan(steps, now_s)
        starts: dict[StepWork, list[Run]] = defaultdict(list)
        for placement in plan.placements:
            step = placement.step
            number = step.step_progress.last_run + 1
            run = Run(
                step.make_task_name(placement.index),
                number,
                placement.vm,
                step.work.job.team,
                get_booked_need(step.spec),
                RunPhase.RUNNING,
                started_s=now_s,
            )
            book_run(self.fleet, run)
            add_run(step, copy_step_attributes(step, run))
            starts[step].append(run)
        for step, runs in starts.items():
            step.step_progress.last_run += 1
            self._schedule_ends(step, runs, now_s)
        for run in plan.evictions:
            self._stop(run)
        self._ask(steps, plan.advice_needed, now_s)

    def _plan(self, steps: list[StepWork], now_s: float):
        sample_use(self.shares, self.fleet, now_s)
        tables = (self.fleet, self.configuration, now_s, now_s)
        return plan_starts(steps, *tables, features=self.features, shares=self.shares)

    def _schedule_ends(self, step: StepWork, runs: list[Run], now_s: float):
        work_s = self.seconds[step.key.job][step.key.step]
        slowest = min(self.speeds[run.vm.name] for run in runs)
        for run in runs:
            speed = slowest if step.spec.gang else self.speeds[run.vm.name]
            self._push(now_s + work_s / speed, self._end, step, run)

    def _end(self, now_s: float, step: StepWork, run: Run):
        if not release_run(self.fleet, run):
            return
        step.step_progress.done.add(run.task.index)
        remove_run(step, run)
        if is_job_done(step.work):
            self.ended_s[step.key.job] = now_s
            self.works.pop(step.key.job, None)
            self._settle(step.work, now_s)

    def _ask(self, steps: list[StepWork], needed: list[StepWork], now_s: float):
        sized = self.features.sized_advice
        shares = self.shares if self.features.fair_share else None
        if sized and needed:
            pending = [step for step in steps if step.advice.pending]
            tiers = {step.key: find_tier(step, now_s, shares) for step in (*needed, *pending)}
            needed = select_requests(needed, pending, tiers)
        for step in needed:
            queue = step.work.job.queue
            if sized:
                share = get_allowed_share(self.advice_shares, queue.name)
                rows = list(self.fleet.rows.values())
                found = choose_vms_for_step(step, len(step.waiting), rows, self.fleet, share, now_s)
                names = [option.name for option in found[:100]]
            else:
                need = get_booked_need(step.spec)
                names = choose_vms_to_ask(self.fleet, "s", step.advice, need)
            step.advice.pending = True
            took_s = queue.advice.decision_s + queue.advice.per_vm_s * len(names)
            self._push(now_s + took_s, self._answer, step, names)

    def _answer(self, now_s: float, step: StepWork, names: list[str]):
        queue, advice = step.work.job.queue.name, step.advice
        allowed = self.kinds[queue].allowed
        tickets = {
            name: "t" for name in names if random.Random(f"{step.key}{name}").random() < allowed
        }
        learn_allowed_share(self.advice_shares, queue, *count_new_answers(advice, names, tickets))
        store_answer(advice, names, tickets)
        advice.received_s, advice.pending = now_s, False

    def _settle(self, work: JobWork, ended_s: float):
        """Counts a job; its objective follows its actual work, which its caller may not know."""
        queue = work.job.queue
        advice_s = queue.advice.decision_s + OBJECTIVE_VMS * queue.advice.per_vm_s
        chain_s = sum(seconds + advice_s for seconds in self.seconds[work.job.id])
        wanted_s = queue.stretch * chain_s + queue.latency_s
        if WARM_UP_S <= work.job.accepted_s:
            in_time = ended_s <= work.job.accepted_s + wanted_s
            core_s = sum(
                spec.count * spec.need.millicores / 1000 * work_s
                for spec, work_s in zip(work.job.spec.steps, self.seconds[work.job.id], strict=True)
            )
            self.outcome.add(_list_groups(work), in_time, core_s)

    def _count(self) -> Outcome:
        for work in self.works.values():
            self._settle(work, float("inf"))
        return self.outcome


def _list_groups(work: JobWork) -> list[str]:
    """Returns the groups in which a job counts: all, its kind, its team, and the largest tenth."""
    queue = work.job.queue.name
    groups = ["all", queue, work.job.team]
    kind = next(kind for kind in EXAMS if kind.queue.name == queue)
    # Widths are spread evenly over 0.3 to 1.7 times the usual one, so this is the largest tenth.
    if max(step.count for step in work.job.spec.steps) > kind.tasks * 1.56:
        groups.append(f"{queue}-largest")
    return groups


def make_teams(total: float = 400.0) -> dict[str, TeamLimits]:
    """Returns teams whose weights are in proportion to their usual load."""
    whole = sum(TEAM_PARTS.values())
    return {
        name: TeamLimits(name, total * part / whole, Resources())
        for name, part in TEAM_PARTS.items()
    }


def select_requests(
    needed: list[StepWork], pending: list[StepWork], tiers: dict[StepKey, Tier]
) -> list[StepWork]:
    """Returns the steps to ask about; one of no use any more asks alone, after all others."""
    useful = [step for step in needed if tiers[step.key] is not Tier.USELESS]
    useless = [step for step in needed if tiers[step.key] is Tier.USELESS]
    if useful or any(tiers[step.key] is Tier.USELESS for step in pending):
        return useful
    return useless[:1]
