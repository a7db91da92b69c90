"""The leader's periodic look at its tables: lapsed leases, broken gangs, slow VMs and crashes."""

from collections.abc import Callable

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..jobs.data import FINAL_STATES, JobState, StepKey
from .completion import list_broken_gang
from .crash import clear_survivors, list_condemned, note_loss
from .fleet import VmRow
from .health import mark_slow
from .lease import is_lease_expired, list_expired_runs
from .report import Reports
from .term import TermState
from .work import JobWork, StepWork

SWEEP_INTERVAL_S = 0.1


class Sweep:
    """The sweep of one term; ``finish`` ends a job in a state, ``record`` records changed steps."""

    def __init__(
        self,
        state: TermState,
        reports: Reports,
        finish: Callable[[JobWork, JobState], None],
        record: Callable[[list[StepWork]], None],
    ):
        self.state = state
        self.reports = reports
        self.finish = finish
        self.record = record
        self.broken_since: dict[StepKey, float] = {}

    def run(self):
        """Looks at all VMs and jobs once; an error about one of them costs only itself."""
        now_s, call = get_elapsed_s(), self.state.failures.call
        for row in list(self.state.fleet.rows.values()):
            call("lapse", row.name, self._end_lapsed_runs, row, now_s)
        for work in list(self.state.open_jobs.values()):
            call("gangs", work.job.id, self._stop_broken_gangs, work, now_s)
        known = self.state.open_jobs
        self.broken_since = {k: at_s for k, at_s in self.broken_since.items() if k.job in known}
        call("slowness", "", self._mark_slow, now_s)
        call("crashes", "", self._give_up_crashing, now_s)
        self.state.wake.set()

    def _end_lapsed_runs(self, row: VmRow, now_s: float):
        state = self.state
        if not row.runs or not is_lease_expired(state.fleet, row, now_s):
            return
        expired = list_expired_runs(state.fleet, row, now_s)
        if not expired:
            return
        silent_s = round(now_s - (row.heard_s or state.fleet.term_began_s), 3)
        log("vm:lapsed", vm=row.name, runs=len(expired), silent_s=silent_s)
        if not row.in_registry and not row.listed.draining:
            self.record(note_loss(state.crash_table, state.open_jobs, row, expired))
        for run in expired:
            self.reports.on_gone(run, "the lease of its VM has expired")

    def _stop_broken_gangs(self, work: JobWork, now_s: float):
        for step in work.steps.values():
            for run in list_broken_gang(step, now_s, self.broken_since):
                self.state.order_sender.stop(run)

    def _mark_slow(self, now_s: float):
        health = self.state.health
        for name in mark_slow(health, now_s):
            log("vm:slow", vm=name, slowness=round(health.speeds[name].slowness, 2))

    def _give_up_crashing(self, now_s: float):
        table = self.state.crash_table
        self.record(clear_survivors(table, now_s, self.state.fleet.term_began_s))
        for step, index in list_condemned(table, now_s):
            if step.work.state not in FINAL_STATES:
                task, crashes = step.make_task_name(index), step.step_progress.crashes[index]
                log("job:given_up", job=task.job, task=str(task), crashes=crashes.total)
                self.finish(step.work, JobState.FAILED)
