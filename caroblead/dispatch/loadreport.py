"""Decides what the leader reports on its load, by which the nodes reject jobs that come too late.

The load addressed is a burst of one queue to 1.7 to 2.2 times its usual load, one of a team to 5 to
7 times its own, and the loss of a tenth of the VMs, for some seconds and often at the same time.
Without a rejection the jobs that can't be served in time wait until they are of no use, and their
callers learn that last.

The expected wait of a queue is the work that is ahead of a new job and doesn't fit into what is
free, divided by the rate at which the queue has been served lately. Work that waits for something
other than room, or is of no use any more, isn't ahead. Where the estimate is uncertain, it is low.
The wait for the advice service is reported by itself: see
:mod:`caroblead.dispatch.advice.adviceload`.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.resource import NOTHING, Resources, add, fits
from ..core.timer import Timer
from ..jobs.ledger import LOAD_REPORT_NAME
from ..jobs.record import (
    KeyedRecord,
    LoadReport,
    QueueWait,
    RecordKind,
    encode_load_report,
    make_key,
)
from .advice.adviceload import AdviceWait, list_waiting_for_advice
from .eviction import count_fit
from .failure import Failures
from .fleet import Fleet, VmRow, is_usable
from .interface import Configuration, find_service
from .loadmeter import Backlog, LoadMeter, compute_work, update_rates
from .planning import count_allowance
from .rank import Tier, find_tier
from .term import TermState, is_registry_current
from .work import JobWork, StepWork, is_step_ready

# The timer calls up to a twentieth earlier than its interval, and at most one report a second may
# be published.
REPORT_INTERVAL_S = 1.06
# A leader reports no wait for room for this long: its VMs have yet to answer, and nothing has
# started.
QUIET_S = 2.0
# A sample that comes this late shows that the process was paused, and says nothing about the load.
MAX_SAMPLE_S = 3.0
# While the log has not answered for this long, no start is planned, so the time doesn't count.
MAX_RECORD_DELAY_S = 0.4
# Waits are rounded to a tenth of a second, so that the moment between two ticks isn't a wait.
WAIT_DIGITS = 1
# The longest wait that is reported, also for a queue from which nothing starts.
MAX_WAIT_S = 600.0
# A shorter wait for advice is what requests in flight take, and isn't reported.
MIN_ADVICE_WAIT_S = 1.0
# Of the sizes that fit no VM, no more are looked for than this in one sample.
MAX_SIZES_WITHOUT_VM = 64


@dataclass(slots=True)
class Vms:
    """The usable VMs by service, and the sizes found to fit none or some of them."""

    rows: dict[str, list[VmRow]]
    fit: dict[tuple[str, str, Resources], bool]
    without_vm: int = 0


def make_vms(fleet: Fleet, now_s: float) -> Vms:
    """Returns the VMs that may get new tasks now."""
    rows = defaultdict(list)
    for row in fleet.rows.values():
        if is_usable(row, now_s):
            rows[row.listed.service].append(row)
    return Vms(rows, {})


def _fits_some_vm(vms: Vms, service: str, step: StepWork) -> bool:
    place = (service, step.spec.label, step.spec.need)
    known = vms.fit.get(place)
    if known is None:
        if vms.without_vm >= MAX_SIZES_WITHOUT_VM:
            return False
        label, need = step.spec.label, step.spec.need
        known = vms.fit[place] = any(
            fits(need, row.listed.capacity) and (not label or label in row.listed.labels)
            for row in vms.rows.get(service, ())
        )
        vms.without_vm += not known
    return known


def measure_backlogs(
    works: list[JobWork],
    fleet: Fleet,
    configuration: Configuration,
    now_s: float,
    wall_s: float,
    failures: Failures | None = None,
) -> dict[str, Backlog]:
    """Returns what waits for room in each queue, and how much of that is free now.

    Occurrences that aren't open yet don't count: their job is late before their turn comes, and
    work that is in time goes first.

    An unexpected error about a job goes to ``failures``; the job is left out then.
    """
    failures = failures or Failures()
    vms, used = make_vms(fleet, now_s), dict(fleet.used)
    backlogs: dict[str, Backlog] = {}

    def add_job(work: JobWork):
        service = find_service(configuration, work.job.queue)
        for step in work.steps.values():
            if not _waits_for_room(step, wall_s):
                continue
            count = _count_waiting(step, vms, service, configuration, used)
            if count:
                _add_step(backlogs, step, service, count, wall_s)

    for work in works:
        if now_s >= work.ready_s:
            failures.call("backlog", work.job.id, add_job, work)
    for backlog in backlogs.values():
        backlog.slots = _count_slots(vms, backlog)
    return backlogs


def _waits_for_room(step: StepWork, wall_s: float) -> bool:
    if not step.waiting or step.spec.endless or step.advice.pending:
        return False
    return is_step_ready(step) and find_tier(step, wall_s) is not Tier.USELESS


def _count_waiting(
    step: StepWork,
    vms: Vms,
    service: str,
    configuration: Configuration,
    used: dict[str, Resources],
) -> int:
    """Returns how many tasks of a step wait for room only, and charges them to their team.

    A task beyond the quota of its team waits for its own team, and one that fits no VM for nothing
    that other jobs use.
    """
    name, need = step.work.job.team, step.spec.need
    charged = used.get(name, NOTHING)
    count = min(len(step.waiting), count_allowance(configuration.teams.get(name), charged, need))
    if step.spec.gang and count < len(step.waiting):
        return 0
    if count <= 0 or not _fits_some_vm(vms, service, step):
        return 0
    used[name] = add(charged, Resources(*(amount * count for amount in need)))
    return count


def _add_step(
    backlogs: dict[str, Backlog], step: StepWork, service: str, count: int, wall_s: float
):
    work, need = step.work, step.spec.need
    backlog = backlogs.setdefault(work.job.queue.name, Backlog(service))
    backlog.work[work.surplus] += count * compute_work(step)
    if find_tier(step, wall_s) <= Tier.IN_TIME:
        backlog.in_time += count * compute_work(step)
    backlog.tasks[work.surplus] += count
    backlog.millicores += count * need.millicores
    backlog.memory_mb += count * need.memory_mb
    backlog.accelerators += count * need.accelerators
    backlog.job_ids.add(work.job.id)
    backlog.target_s += work.target_s
    backlog.steps += 1


def _count_slots(vms: Vms, backlog: Backlog) -> int:
    """Returns how many waiting tasks of mean size fit into what is free."""
    count = backlog.tasks.total()
    mean = Resources(
        backlog.millicores // count, backlog.memory_mb // count, backlog.accelerators // count
    )
    if mean == NOTHING:
        return count
    rows = vms.rows.get(backlog.service, ())
    return sum(count_fit(mean, row.free) for row in rows if fits(mean, row.free))


def estimate_wait(meter: LoadMeter, name: str, backlog: Backlog) -> QueueWait:
    """Returns how long a new job of a queue is expected to wait.

    Work within the share of its team goes first and gets all that the queue is served with. If all
    that is ahead and not late yet is served before the objective, late work is not ahead. Surplus
    work gets what is left over, which is what it has got lately.
    """
    rates = meter.rates[name]
    within, surplus = backlog.get_work(False), backlog.get_work(True)
    within_s = _divide(within, rates.total.get())
    in_time_s = _divide(min(within, backlog.in_time), rates.total.get())
    if in_time_s <= backlog.target_s / backlog.steps:
        within_s = in_time_s
    beyond_s = max(within_s, _divide(surplus, rates.surplus.get()))
    per_job = (backlog.work[False] + backlog.work[True]) / len(backlog.job_ids)
    return QueueWait(within_s, beyond_s, round(rates.total.get() / per_job, 2))


def _divide(work: float, rate: float) -> float:
    if not work:
        return 0.0
    return round(work / rate if rate * MAX_WAIT_S > work else MAX_WAIT_S, WAIT_DIGITS)


def compute_potentials(fleet: Fleet) -> dict[str, float]:
    """Returns the work per second that the VMs of each service do when all are busy."""
    potentials: dict[str, float] = defaultdict(float)
    for row in fleet.rows.values():
        if row.in_registry and not row.listed.draining:
            potentials[row.listed.service] += row.listed.capacity.millicores
    return potentials


class LoadReporter:
    """Samples the load of a term and makes the reports; ``reported`` tells that waits were last."""

    def __init__(self, meter: LoadMeter, term: int, now_s: float, failures: Failures | None = None):
        self.failures = failures or Failures()
        self.meter = meter
        self.term = term
        self.sampled_s = now_s
        self.serial = 0
        self.reported = False

    def skip(self, now_s: float):
        """Leaves the time since the last sample out, because the leader could start nothing."""
        self.sampled_s = now_s
        self.meter.started.clear()

    def make_report(
        self,
        works: list[JobWork],
        fleet: Fleet,
        configuration: Configuration,
        now_s: float,
        wall_s: float,
        advice_waits: dict[str, AdviceWait] | None = None,
    ) -> LoadReport | None:
        """Returns the report to publish now, or ``None`` while there is no wait to report.

        ``advice_waits`` are the waits for advice by queue.
        """
        elapsed_s = now_s - self.sampled_s
        if not 0 < elapsed_s <= MAX_SAMPLE_S:
            self.skip(now_s)
            return None
        self.sampled_s = now_s
        backlogs = measure_backlogs(works, fleet, configuration, now_s, wall_s, self.failures)
        update_rates(self.meter, backlogs, compute_potentials(fleet), elapsed_s)
        if now_s - fleet.term_began_s < QUIET_S:
            backlogs = {}
        waits = {name: estimate_wait(self.meter, name, item) for name, item in backlogs.items()}
        waits = {name: wait for name, wait in waits.items() if wait.beyond_s > 0}
        waits |= _add_advice_waits(waits, advice_waits or {})
        if not waits and not self.reported:
            return None
        self.reported = bool(waits)
        self.serial += 1
        teams = self.meter.list_teams_over_share(configuration.teams, wall_s)
        return LoadReport(self.term, self.serial, round(wall_s, 3), waits, teams)


def _add_advice_waits(
    waits: dict[str, QueueWait], advice_waits: dict[str, AdviceWait]
) -> dict[str, QueueWait]:
    """Returns the waits of the queues that wait for advice, with their waits for room."""
    added = {}
    for name, found in advice_waits.items():
        if found.wait_s >= MIN_ADVICE_WAIT_S:
            wait = waits.get(name, QueueWait(0.0, 0.0, found.jobs_per_s))
            per_s = round(min(wait.jobs_per_s, found.jobs_per_s), 2)
            advice_s = round(found.wait_s, WAIT_DIGITS)
            added[name] = replace(wait, jobs_per_s=per_s, advice_s=advice_s)
    return added


def start_load_reports(state: TermState) -> list[Timer]:
    """Publishes load reports during a term if admission control is enabled; returns the timers."""
    if state.load_meter is None:
        return []
    reporter = LoadReporter(state.load_meter, state.term, get_elapsed_s(), state.failures)
    subscribe = state.dependencies.timers.subscribe
    return [subscribe(REPORT_INTERVAL_S, lambda: publish_report(state, reporter))]


def _estimate_advice_waits(state: TermState, elapsed_s: float) -> dict[str, AdviceWait]:
    if elapsed_s > 0:
        state.advice_meter.update(elapsed_s)
    steps = [step for work in state.open_jobs.values() for step in work.steps.values()]
    wall_s, nodes = get_wall_s(), state.dependencies.advice_queue.count_nodes()
    waiting = list_waiting_for_advice(steps, wall_s)
    return state.advice_meter.estimate_waits(waiting, nodes, get_elapsed_s())


def publish_report(state: TermState, reporter: LoadReporter):
    """Adds the report to the next append of the leader if there is one to publish."""
    now_s = get_elapsed_s()
    if state.lost or state.resigning:
        return
    delayed = state.commit.get_delay_s() > MAX_RECORD_DELAY_S
    if delayed or not is_registry_current(state.dependencies):
        reporter.skip(now_s)
        return
    configuration = state.dependencies.get_configuration()
    works = list(state.open_jobs.values())
    elapsed_s = now_s - reporter.sampled_s
    advice_waits = state.failures.call("advice waits", "", _estimate_advice_waits, state, elapsed_s)
    report = reporter.make_report(
        works, state.fleet, configuration, now_s, get_wall_s(), advice_waits
    )
    if report is None:
        return
    key = make_key(RecordKind.LOAD, LOAD_REPORT_NAME)
    state.commit.add(KeyedRecord(key, encode_load_report(report)))
    if not report.waits:
        log("load:ended", term=report.term, serial=report.serial)
        return
    waits = {
        name: [wait.within_s, wait.beyond_s, wait.advice_s] for name, wait in report.waits.items()
    }
    log_routine(
        "load:reported",
        term=report.term,
        serial=report.serial,
        waits=waits,
        teams_over_share=sorted(report.teams_over_share),
    )
