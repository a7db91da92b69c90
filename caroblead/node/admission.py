"""Decides on a node, by the leader's last load report, which jobs to reject because of the load.

The load addressed is that of :mod:`caroblead.dispatch.loadreport`. A job is rejected only if the
report is certainly current and the expected wait exceeds the useful time of the job, which is three
times its objective, or if it would wait for advice for :data:`MAX_ADVICE_WAIT_S`. In every other
case, such as without a report, the job is accepted.
"""

from collections import Counter
from dataclasses import dataclass

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.metric import write_labelled_gauge
from ..core.resource import Resources, fits
from ..dispatch.interface import ListedVm, TeamLimits
from ..dispatch.rank import USELESS_AFTER_TARGETS
from ..dispatch.work import compute_target_s
from ..jobs.data import Job, JobSpec
from ..jobs.record import LoadReport, QueueWait

# An older report causes no rejections. Clocks that differ by more have the same effect.
MAX_REPORT_AGE_S = 3.0
# No job is accepted that would wait for so long until the advice service can be asked about it: VMs
# would be idle meanwhile. The users want urgent work to start within this time.
MAX_ADVICE_WAIT_S = 6.0
# Of that, a team over its share may use this part.
ADVICE_FRACTION_OVER_SHARE = 0.5
# Rejection ends when the expected wait falls below this fraction of the useful time. Without a
# margin it would begin and end with each report, because rejections shorten the wait.
END_FRACTION = 0.7
MIN_RETRY_AFTER_S = 1.0
# Returning callers may take this part of the rate at which jobs begin. If more return, they take
# the room of jobs that could still be done in time.
RETURNING_FRACTION = 0.05
# Rejected callers are spread over this long at most.
MAX_RETRY_AFTER_S = 60.0


@dataclass(slots=True, frozen=True)
class Verdict:
    """Why a job should be rejected: the expected wait, the useful time and the report behind it."""

    queue: str
    over_share: bool
    wait_s: float
    useful_s: float
    term: int
    serial: int
    age_s: float


def compute_useful_s(job: Job) -> float | None:
    """Returns how long after its acceptance a job is of use, or ``None`` if that has no limit."""
    if job.spec.repeats or any(step.endless for step in job.spec.steps):
        return None
    return USELESS_AFTER_TARGETS * compute_target_s(job)


def can_ever_run(
    spec: JobSpec, service: str, vms: dict[str, ListedVm], team: TeamLimits | None
) -> bool:
    """Returns whether some VM could hold each task and each gang is within its team's quota.

    A job that can never run isn't rejected because of the load: its caller would retry it in vain.
    """
    for step in spec.steps:
        count = step.count if step.gang else 1
        charge = Resources(*(amount * count for amount in step.need))
        if team is not None and not _is_within_quota(charge, team.cap):
            return False
        if not any(
            vm.service == service
            and not vm.draining
            and fits(step.need, vm.capacity)
            and (not step.label or step.label in vm.labels)
            for vm in vms.values()
        ):
            return False
    return True


def _is_within_quota(charge: Resources, quota: Resources) -> bool:
    pairs = zip(charge, quota, strict=True)
    return all(amount <= limit for amount, limit in pairs if limit)


class LoadControl:
    """The last load report that a node has read, and what it has decided by it.

    ``limits`` are the useful times up to which jobs are rejected, by queue and whether their team
    is over its share, and ``advice_limits`` the same for the wait for advice, by queue.
    ``retry_at_s`` is when the last rejected caller was told to return.
    """

    def __init__(self):
        self.report: LoadReport | None = None
        self.read_s = 0.0
        self.limits: dict[tuple[str, bool], float] = {}
        self.advice_limits: dict[str, float] = {}
        self.retry_at_s: dict[tuple[str, bool], float] = {}
        self.rejections: Counter[tuple[str, bool]] = Counter()

    def observe(self, report: LoadReport | None):
        """Takes over a report that was read from the log; ``None`` stands for a malformed one."""
        now_s, last = get_elapsed_s(), self.report
        if report is None:
            self.report, self.limits, self.advice_limits = None, {}, {}
            return
        if last is not None and (report.term, report.serial) <= (last.term, last.serial):
            return
        expired = now_s - self.read_s > MAX_REPORT_AGE_S
        if last is None or report.term != last.term or expired:
            self.limits, self.advice_limits = {}, {}
        self.report, self.read_s = report, now_s
        self.limits = self._update_limits(report)
        self.advice_limits = {
            name: _follow(wait.advice_s, self.advice_limits.get(name, 0.0))
            for name, wait in report.waits.items()
        }

    def _update_limits(self, report: LoadReport) -> dict[tuple[str, bool], float]:
        """Returns the new limits, which follow the waits with hysteresis.

        A limit rises to the wait at once and falls only to the useful time of which the wait is the
        fraction :data:`END_FRACTION`. So the rejection of jobs of any one useful time begins and
        ends as if they had a state of their own.
        """
        limits = {}
        for queue, wait in report.waits.items():
            for over_share, wait_s in ((False, wait.within_s), (True, wait.beyond_s)):
                before = self.limits.get((queue, over_share), 0.0)
                limits[queue, over_share] = _follow(wait_s, before)
        return limits

    def get_age_s(self) -> float | None:
        """Returns the age of the report, or ``None`` if there is none.

        It is the longer of the times since the leader made it, by both wall clocks, and since this
        node read it. A report from the future counts as old by as much, as the clocks disagree.
        """
        if self.report is None:
            return None
        return max(abs(get_wall_s() - self.report.at_s), get_elapsed_s() - self.read_s)

    def judge(self, job: Job, term: int | None) -> Verdict | None:
        """Returns why a job should be rejected in the term that this node knows, or ``None``."""
        report = self.report
        if report is None or report.term != term:
            return None
        age_s, useful_s = self.get_age_s(), compute_useful_s(job)
        if age_s > MAX_REPORT_AGE_S or useful_s is None:
            return None
        queue, over_share = job.queue.name, job.team in report.teams_over_share
        advice_s = min(useful_s, MAX_ADVICE_WAIT_S)
        advice_s *= ADVICE_FRACTION_OVER_SHARE if over_share else 1.0
        if useful_s < self.limits.get((queue, over_share), 0.0):
            wait_s = _get_wait_s(report.waits[queue], over_share)
        elif advice_s < self.advice_limits.get(queue, 0.0):
            wait_s, useful_s = report.waits[queue].advice_s, advice_s
        else:
            return None
        return Verdict(
            queue, over_share, wait_s, useful_s, report.term, report.serial, round(age_s, 3)
        )

    def reject(self, verdict: Verdict, node_count: int) -> float:
        """Counts a rejection and returns after how many seconds the caller should retry.

        Room for the first of the rejected callers is expected when the wait has fallen to their
        useful time. This node sends them back one by one, at its part of the rate at which jobs
        begin; those of teams over their share after those within it.
        """
        queue, over_share = verdict.queue, verdict.over_share
        self.rejections[queue, over_share] += 1
        now_s, wait = get_elapsed_s(), self.report.waits[queue]
        end_s = verdict.wait_s - END_FRACTION * verdict.useful_s
        earliest_s = now_s + max(MIN_RETRY_AFTER_S, end_s)
        rate = wait.jobs_per_s * RETURNING_FRACTION
        gap_s = max(1, node_count) / rate if rate else 0.0
        last_s = self.retry_at_s.get((queue, over_share), 0.0)
        if over_share:
            last_s = max(last_s, self.retry_at_s.get((queue, False), 0.0))
        at_s = min(max(earliest_s, last_s + gap_s), now_s + MAX_RETRY_AFTER_S)
        self.retry_at_s[queue, over_share] = at_s
        return at_s - now_s

    def write_metrics(self) -> list[str]:
        """Returns the rejections, the age of the report and its waits in the Prometheus format."""
        lines = ["# TYPE caroblead_jobs_rejected_total counter"]
        for (queue, over_share), count in sorted(self.rejections.items()):
            labels = _write_labels(queue, over_share)
            lines.append(f"caroblead_jobs_rejected_total{{{labels}}} {count}")
        age_s = self.get_age_s()
        if age_s is None or self.report is None:
            return lines
        lines.append("# TYPE caroblead_load_report_age_seconds gauge")
        lines.append(f"caroblead_load_report_age_seconds {age_s:.3f}")
        lines.append("# TYPE caroblead_expected_wait_seconds gauge")
        for queue, wait in sorted(self.report.waits.items()):
            for over_share in (False, True):
                labels = _write_labels(queue, over_share)
                seconds = _get_wait_s(wait, over_share)
                lines.append(f"caroblead_expected_wait_seconds{{{labels}}} {seconds:.1f}")
        advice_s = {name: wait.advice_s for name, wait in self.report.waits.items()}
        return lines + write_labelled_gauge("expected_advice_wait_seconds", "queue", advice_s)


def _follow(wait_s: float, before_s: float) -> float:
    """Returns the new limit: it rises to the wait at once, and falls once that is much shorter."""
    return max(wait_s, min(before_s, wait_s / END_FRACTION))


def _get_wait_s(wait: QueueWait, over_share: bool) -> float:
    return wait.beyond_s if over_share else wait.within_s


def _write_labels(queue: str, over_share: bool) -> str:
    return f'queue="{queue}",share="{"beyond" if over_share else "within"}"'
