"""One term of the leader: its tables, its tick and its handlers for events of the log and the VMs.

A term begins when its record is read from the log. The leader takes over every open job from the
ledger, asks each VM for its runs, and is then the only one to decide until its term is lost.
"""

import asyncio

from ..core.clock import get_elapsed_s
from ..core.logsink import log, log_routine
from ..core.timer import Timer, await_and_log_errors, call_and_log_errors
from ..jobs.data import FINAL_STATES, Job, JobState, Progress, RunRecord
from ..jobs.ledger import MALFORMED, Change, JobAdded, JobCancelled, StoredJob
from ..jobs.progressparts import ProgressPart, decode_parts
from .begun import BEGUN_INTERVAL_S, note_begun, record_begun
from .commit import CommitQueue
from .completion import drop_runs, settle_end
from .crash import note_crash
from .doubt import doubt_vm
from .fleet import (
    Fleet,
    Run,
    VmRow,
    put_vm,
    release_run,
)
from .health import STALL_AVOID_S, record_end
from .interface import EndedTask, EndReason, ListedVm, RunningTask, StartRefusal
from .lateorder import (
    expect_late_orders,
    handle_unknown_run,
    has_late_orders,
    list_gone,
    note_late_order,
)
from .learning.learning import Learning
from .lease import reset_incarnation
from .loadreport import start_load_reports
from .orders import OrderSender
from .rank import take_share_token
from .retention import DROP_INTERVAL_S, drop_old_records, drop_stray_parts
from .sweep import SWEEP_INTERVAL_S, Sweep
from .takeover import inherit_run
from .term import LeaderDependencies, TermState
from .tick import run_ticks
from .watch import Watch
from .work import JobWork, StepWork, back_off, count_required_runs, open_job


class Leader:
    """The tables of one term and the tasks and timers that work on them."""

    def __init__(self, dependencies: LeaderDependencies, term: int, term_confirmed_s: float):
        self.dependencies = dependencies
        self.term = term
        self.fleet = Fleet(
            term=term,
            term_began_s=get_elapsed_s(),
            lease_s=dependencies.lease_s,
            longest_lease_s=dependencies.longest_lease_s,
        )
        self.watch_tasks: dict[str, asyncio.Task] = {}
        self.vm_watches: dict[str, Watch] = {}
        self.commit = CommitQueue(dependencies.log, term, term_confirmed_s, self.lose_term)
        self.order_sender = OrderSender(self.fleet, dependencies.vms, self)
        self.state = TermState(dependencies, term, self.fleet, self.commit, self.order_sender)
        self.learning = Learning(self.state)
        self.sweep = Sweep(self.state, self, self._finish, self._record_steps)
        self.unserved_jobs: set[str] = set()
        self.tasks: list[asyncio.Task] = []
        self.timers: list[Timer] = []

    def start(self):
        """Takes over the open jobs and starts the activities of the term."""
        self._refresh_vms()
        self.timers = self.learning.start()
        self._take_over_jobs()
        subscribe, ledger = self.dependencies.timers.subscribe, self.dependencies.ledger
        self.timers += [
            subscribe(SWEEP_INTERVAL_S, self.sweep.run),
            subscribe(DROP_INTERVAL_S, lambda: drop_old_records(ledger, self.commit)),
            subscribe(BEGUN_INTERVAL_S, lambda: record_begun(self.state)),
            *start_load_reports(self.state),
        ]
        self.tasks = [
            asyncio.create_task(await_and_log_errors(self.commit.run())),
            asyncio.create_task(await_and_log_errors(run_ticks(self.state))),
        ]
        log(
            "leader:began",
            term=self.term,
            jobs=len(self.state.open_jobs),
            vms=len(self.fleet.rows),
            inherited=sum(len(row.runs) for row in self.fleet.rows.values()),
        )
        self.state.wake.set()

    def lose_term(self, detail: str):
        """Ends the term: no order is sent from now on."""
        if self.state.lost:
            return
        self.state.lost = True
        log("leader:lost", term=self.term, detail=detail)
        self.dependencies.on_lost(detail)

    async def resign(self, successor: str = ""):
        """Records the end of the term, and the node that should lead next if one is named."""
        self.state.resigning = True
        await self.commit.resign(successor)

    def close(self):
        """Stops all activity of the term."""
        self.state.lost = True
        self.order_sender.close()
        self.dependencies.advice_queue.clear()
        for timer in self.timers:
            self.dependencies.timers.unsubscribe(timer)
        for task in [*self.tasks, *self.watch_tasks.values()]:
            task.cancel()

    # Jobs.

    def _take_over_jobs(self):
        stored_jobs = self.dependencies.ledger.jobs.values()
        pairs = [(self._decode(stored), stored.encoded_progress) for stored in stored_jobs]
        found = [(job, progress) for job, progress in pairs if job is not None]
        drop_stray_parts(self.dependencies.ledger, self.commit)
        for job, encoded_progress in sorted(found, key=lambda pair: pair[0].accepted_s):
            self._take_over_or_leave_out(job, encoded_progress)
        for row in self.fleet.rows.values():
            # The VM has restarted since some of its runs were recorded.
            if any(run.incarnation < row.incarnation for run in row.runs.values()):
                self.state.failures.call(
                    "crashes", row.name, self._note_crash, row, row.incarnation
                )

    def _decode(self, stored: StoredJob) -> Job | None:
        """Returns the job of a record, or ``None`` for a malformed one, which is logged."""
        try:
            return stored.decode()
        except MALFORMED as error:
            self.unserved_jobs.add(stored.id)
            log("job:unreadable", job=stored.id, error=f"{type(error).__name__}: {error}")
            return None

    def _take_over_or_leave_out(self, job: Job, encoded_progress: bytes):
        if not call_and_log_errors(self._take_over, job, encoded_progress):
            # Without its recorded runs, a task of the job could start a second time.
            self.state.open_jobs.pop(job.id, None)
            self.unserved_jobs.add(job.id)
            log("job:unreadable", job=job.id, error="its progress can't be taken over")

    def _take_over(self, job: Job, encoded_progress: bytes) -> bool:
        """Opens a job with its recorded runs and returns true."""
        others = self.dependencies.ledger.parts.get(job.id, {})
        progress, parts = decode_parts(encoded_progress, others)
        work = self._open_job(job, progress, parts)
        for (occurrence, number), step_progress in progress.steps.items():
            step = work.steps.get((occurrence, number))
            if step is None:
                # Its occurrence is done.
                continue
            if step_progress.crashes:
                self.state.crash_table.suspects[step.key] = step
            for record in step_progress.runs:
                self._inherit_run(step, record)
        if job.cancelled:
            self._finish(work, JobState.CANCELLED)
        return True

    def _open_job(self, job: Job, progress: Progress, parts: list[ProgressPart]) -> JobWork:
        work = open_job(job, progress, parts)
        team = self.dependencies.get_configuration().teams.get(job.team)
        work.surplus = take_share_token(self.state.buckets, team, job)
        if self.state.load_meter is not None:
            self.state.load_meter.count_job(job, team)
        self.state.open_jobs[job.id] = work
        self.learning.set_expectations(work.steps.values())
        return work

    def _inherit_run(self, step: StepWork, record: RunRecord):
        inherit_run(self.fleet, step, record)

    def apply_change(self, change: Change):
        """Handles a change that was read from the log."""
        if isinstance(change, JobAdded):
            job = self._decode(change.job)
            if job is not None:
                # Progress can be read before its job, when the log has dropped the older of two
                # copies of the job.
                self._take_over_or_leave_out(job, change.job.encoded_progress)
                self.state.wake.set()
        elif isinstance(change, JobCancelled):
            work = self.state.open_jobs.get(change.job_id)
            if work is not None:
                work.job.cancelled = True
                self._finish(work, JobState.CANCELLED)
                self.state.wake.set()

    def _finish(self, work: JobWork, state: JobState):
        work.state = state
        for run in drop_runs(work):
            self.order_sender.stop(run)
        self._record(work)

    def _record(self, work: JobWork):
        self.commit.mark_dirty(work)
        if work.state in FINAL_STATES:
            self.state.open_jobs.pop(work.job.id, None)
            log_routine("job:ended", job=work.job.id, state=work.state, team=work.job.team)

    # VMs.

    def on_listed(self):
        """Handles a change of the registry."""
        self._refresh_vms()
        self.state.wake.set()

    def _refresh_vms(self):
        listed = self.dependencies.get_listed()
        for row in list(self.fleet.rows.values()):
            if row.name not in listed:
                row.in_registry = False
                if not (row.runs or row.unknown_runs or has_late_orders(row, get_elapsed_s())):
                    self._remove_row(row)
        for vm in listed.values():
            self.state.failures.call("registry", vm.name, self._update_vm, vm)

    def _update_vm(self, vm: ListedVm):
        row = self.fleet.rows.get(vm.name)
        if row is not None and vm.incarnation > row.incarnation:
            self.on_restarted(row, vm.incarnation)
        row = put_vm(self.fleet, vm)
        if row.name not in self.watch_tasks:
            self._start_watch(row)

    def _start_watch(self, row: VmRow):
        watch = Watch(self.fleet, row, self.dependencies.vms, self.order_sender, self)
        self.vm_watches[row.name] = watch
        self.watch_tasks[row.name] = asyncio.create_task(await_and_log_errors(watch.run()))

    async def poll_vm(self, row: VmRow):
        """Reads a VM's run lists at once, in parallel to a renewal that may be waiting there."""
        watch = self.vm_watches.get(row.name)
        if watch is not None and row.answered:
            await watch.poll_once()

    def _remove_row(self, row: VmRow):
        del self.fleet.rows[row.name]
        task = self.watch_tasks.pop(row.name, None)
        if task is not None:
            task.cancel()

    def on_restarted(self, row: VmRow, incarnation: int):
        """Handles the restart of a VM: no run of its former incarnation exists any more."""
        log("vm:started_again", vm=row.name, incarnation=incarnation, runs=len(row.runs))
        last_list_s = row.heard_s
        self._note_crash(row, incarnation)
        reset_incarnation(self.fleet, row, incarnation, get_elapsed_s())
        for run in list_gone(row, last_list_s):
            self.on_gone(run, "its VM has restarted")
        expect_late_orders(self.state, row)

    def on_unanswered(self, row: VmRow, sent_s: float):
        """Handles a call to a VM, sent at ``sent_s``, that got no answer in time."""
        for other in doubt_vm(self.fleet, row, sent_s):
            log("vm:doubted", vm=other.name, zone=other.listed.zone)
            self.order_sender.spawn(await_and_log_errors(self.poll_vm(other)))

    def on_unknown_run(self, row: VmRow, running: RunningTask):
        """Handles a run that a VM lists but that isn't in the table: takes it back or stops it."""
        handle_unknown_run(self.state, row, running)

    def _note_crash(self, row: VmRow, incarnation: int):
        """Counts a restart for the runs on a VM, unless it was planned."""
        if row.listed.draining:
            return
        at_s = row.heard_s or self.fleet.term_began_s
        table, open_jobs = self.state.crash_table, self.state.open_jobs
        self._record_steps(note_crash(table, open_jobs, row, incarnation, at_s))

    def _record_steps(self, steps: list[StepWork]):
        for step in steps:
            self.commit.mark_dirty(step.work)

    def on_fenced(self, row: VmRow, fence: int) -> bool:
        """Handles an answer that shows that a VM has seen a higher fence than this one.

        Returns whether it is that of a later term, and not that of its next incarnation.
        """
        if fence < row.fence:
            return False
        self.lose_term(f"{row.name} has seen a later term")
        return True

    def on_free_room(self):
        """Triggers a tick because resources may be free now."""
        self.state.wake.set()

    def get_confirmed_s(self) -> float:
        """Returns the time at which the last acknowledged append of this term was sent."""
        return self.commit.term_confirmed_s

    async def wait_recorded(self, timeout_s: float) -> bool:
        """Waits until all earlier decisions are stored in the log; returns false on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.commit.wait_flushed()
            return True
        except TimeoutError:
            return False

    # Starts and ends.

    def on_begun(self, run: Run):
        """Handles a run that has started on its VM."""
        note_begun(self.state, run)

    def on_end(self, row: VmRow, ended: EndedTask):
        """Handles the end of a run that a VM lists."""
        run = row.runs.get((ended.task, ended.number))
        if run is None:
            return
        note_begun(self.state, run)
        release_run(self.fleet, run)
        log_routine(
            "task:ended",
            task=str(ended.task),
            run=ended.number,
            vm=row.name,
            reason=ended.reason,
            wanted=run.wanted,
        )
        if record_end(self.state.health, row, run, ended.reason, get_elapsed_s()):
            log("vm:avoided", vm=row.name, failed_jobs=len(row.failed_jobs))
        self.learning.record_end(row, run, ended.reason)
        if run.wanted:
            self._settle(run, ended.reason, ended.checkpoint)
        self.state.wake.set()

    def on_gone(self, run: Run, detail: str):
        """Handles a run that certainly doesn't exist although its VM listed no end for it."""
        if not release_run(self.fleet, run):
            return
        if run.unanswered:
            note_late_order(run, get_elapsed_s())
        log("task:gone", task=str(run.task), run=run.number, vm=run.vm.name, detail=detail)
        self.learning.record_gone(run)
        if run.wanted:
            self._settle(run, EndReason.LAPSED, "")
        self.state.wake.set()

    def _settle(self, run: Run, reason: EndReason, checkpoint: str):
        step = self.state.find_step(run.task)
        if step is None:
            return
        settlement = settle_end(step, run, reason, checkpoint)
        for other in settlement.to_stop:
            self.order_sender.stop(other)
        self._record(step.work)

    def on_stalled(self, run: Run):
        """Handles a stalled run: stops it so that its task goes on elsewhere, and avoids its VM."""
        step = self.state.find_step(run.task)
        if step is None or not run.wanted or len(step.active) < count_required_runs(step):
            return
        run.vm.avoid_until_s = get_elapsed_s() + STALL_AVOID_S
        log("vm:stalls", vm=run.vm.name, task=str(run.task), run=run.number, percent=run.percent)
        self.order_sender.stop(run)

    def on_refused(self, run: Run, reason: StartRefusal):
        """Handles a run that a VM refused to start and won't start later."""
        step = self.state.find_step(run.task)
        if step is not None:
            if reason is StartRefusal.NO_TICKET:
                step.advice.tickets.clear()
            elif reason is StartRefusal.INVALID:
                back_off(step.work, get_elapsed_s())
        self.on_gone(run, f"refused: {reason}")
