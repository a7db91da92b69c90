"""One term of the leader: its tables, its tick and its reactions to what the log and the VMs say.

A term begins when the log shows its record. The leader takes over every open job from the ledger,
asks each VM what runs there, and from then on decides alone until its term is lost.
"""

import asyncio

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.resource import NOTHING
from ..core.timer import Timer, guard
from ..jobs.data import FINAL_STATES, Job, JobState, Progress, StepKey
from ..jobs.ledger import Change, JobAdded, JobCancelled
from ..jobs.record import KeyedRecord, RecordKind, decode_progress, make_key
from .commit import CommitQueue
from .fleet import (
    Fleet,
    Run,
    RunPhase,
    VmRow,
    book_run,
    has_lapsed,
    put_vm,
    release_run,
    reset_incarnation,
)
from .health import STALL_AVOID_S, mark_slow, take_end
from .interface import (
    EndedTask,
    EndReason,
    ListedVm,
    StartRefusal,
)
from .orders import OrderDesk
from .rank import count_surplus
from .settle import drop_runs, list_broken_gang, settle_end
from .term import LeaderParts, TermState
from .tick import run_ticks
from .watch import Watch
from .work import (
    JobWork,
    StepWork,
    add_run,
    count_due,
    describe_run,
    get_booked_need,
    open_job,
)

SWEEP_S = 0.1
# By how much answers on different connections to a VM may overtake each other.
CROSSED_ANSWERS_S = 0.5
# How long the state of an ended job can be asked for.
KEEP_ENDED_S = 240.0
DROP_S = 1.0
MAX_DROPS_PER_TURN = 500
# A step whose order was invalid is left alone for this long.
INVALID_BACKOFF_S = 1.0


class Leader:
    """The tables of one term and the systems that run over them."""

    def __init__(self, parts: LeaderParts, term: int, proved_s: float):
        self.parts = parts
        self.term = term
        self.fleet = Fleet(term_began_s=get_elapsed_s(), lease_s=parts.lease_s)
        self.watches: dict[str, asyncio.Task] = {}
        self.looks: dict[str, Watch] = {}
        self.broken_since: dict[StepKey, float] = {}
        self.commit = CommitQueue(parts.log, term, proved_s, self.lose)
        self.desk = OrderDesk(self.fleet, parts.vms, term, self)
        self.state = TermState(parts, term, self.fleet, self.commit, self.desk)
        self.tasks: list[asyncio.Task] = []
        self.timers: list[Timer] = []

    def start(self):
        """Takes over the open jobs and begins to decide."""
        self._refresh_vms()
        jobs = sorted(self.parts.ledger.jobs.values(), key=lambda job: job.accepted_s)
        for job in jobs:
            self._take_over(job)
        subscribe = self.parts.timers.subscribe
        self.timers = [subscribe(SWEEP_S, self._sweep), subscribe(DROP_S, self._drop_old_jobs)]
        self.tasks = [
            asyncio.create_task(guard(self.commit.run())),
            asyncio.create_task(guard(run_ticks(self.state))),
        ]
        log(
            "leader:began",
            term=self.term,
            jobs=len(self.state.works),
            vms=len(self.fleet.rows),
            inherited=sum(len(row.runs) for row in self.fleet.rows.values()),
        )
        self.state.wake.set()

    def lose(self, detail: str):
        """Ends the term; nothing is ordered any more."""
        if self.state.lost:
            return
        self.state.lost = True
        log("leader:lost", term=self.term, detail=detail)
        self.parts.on_lost(detail)

    def close(self):
        """Stops all activity of the term."""
        self.state.lost = True
        self.desk.close()
        self.parts.counsel.clear()
        for timer in self.timers:
            self.parts.timers.unsubscribe(timer)
        for task in [*self.tasks, *self.watches.values()]:
            task.cancel()

    # Jobs.

    def _take_over(self, job: Job):
        progress = decode_progress(job.stored) if job.stored else Progress()
        work = self._open(job, progress)
        for (occurrence, number), part in progress.steps.items():
            step = work.steps[occurrence, number]
            for record in part.runs:
                self._inherit_run(step, record)
        if job.cancelled:
            self._finish(work, JobState.CANCELLED)

    def _open(self, job: Job, progress: Progress) -> JobWork:
        work = open_job(job, progress)
        team = self.parts.get_configuration().teams.get(job.team)
        work.surplus = count_surplus(self.state.allowances, team, job)
        self.state.works[job.id] = work
        return work

    def _inherit_run(self, step: StepWork, record):
        row = self.fleet.rows.get(record.vm)
        if row is None:
            row = self._add_unlisted(record.vm)
        task = step.name_task(record.task)
        need = get_booked_need(step.spec)
        run = Run(task, record.number, row, step.work.job.team, need, RunPhase.INHERITED)
        run.charge, run.pace = step.spec.need, None
        book_run(self.fleet, run)
        add_run(step, describe_run(step, run))
        if not row.incarnation:
            row.incarnation = record.incarnation

    def _add_unlisted(self, name: str) -> VmRow:
        """Keeps a place for a VM that the registry doesn't show but where runs may be going on."""
        listed = ListedVm(name, 0, "", "", "", "", (), NOTHING, False)
        row = put_vm(self.fleet, listed)
        row.in_registry = False
        return row

    def apply_change(self, change: Change):
        """Takes in what the log says."""
        if isinstance(change, JobAdded):
            work = self._open(change.job, Progress())
            if change.job.cancelled:
                self._finish(work, JobState.CANCELLED)
            self.state.wake.set()
        elif isinstance(change, JobCancelled):
            work = self.state.works.get(change.job_id)
            if work is not None:
                self._finish(work, JobState.CANCELLED)
                self.state.wake.set()

    def _finish(self, work: JobWork, state: JobState):
        work.state = state
        for run in drop_runs(work):
            self.desk.stop(run)
        self._record(work)

    def _record(self, work: JobWork):
        self.commit.mark(work)
        if work.state in FINAL_STATES:
            self.state.works.pop(work.job.id, None)
            log_routine("job:ended", job=work.job.id, state=work.state, team=work.job.team)

    # VMs.

    def on_listed(self):
        """Takes in that the registry has changed."""
        self._refresh_vms()
        self.state.wake.set()

    def _refresh_vms(self):
        listed = self.parts.get_listed()
        for row in list(self.fleet.rows.values()):
            if row.name not in listed:
                row.in_registry = False
                if not row.runs and not row.strangers:
                    self._remove_row(row)
        for vm in listed.values():
            row = put_vm(self.fleet, vm)
            if vm.incarnation > row.incarnation:
                self.on_reborn(row, vm.incarnation)
            if row.name not in self.watches:
                self._watch(row)

    def _watch(self, row: VmRow):
        watch = Watch(self.fleet, row, self.parts.vms, self.term, self.desk, self)
        self.looks[row.name] = watch
        self.watches[row.name] = asyncio.create_task(guard(watch.run()))

    async def look_at(self, row: VmRow):
        """Has a VM's lists read at once, beside the renewal that may be waiting there."""
        watch = self.looks.get(row.name)
        if watch is not None and row.answered:
            await watch.look()

    def _remove_row(self, row: VmRow):
        del self.fleet.rows[row.name]
        task = self.watches.pop(row.name, None)
        if task is not None:
            task.cancel()

    def on_reborn(self, row: VmRow, incarnation: int):
        """Takes in that a VM has started again: nothing of its former life runs any more.

        An order that was not answered may still be carried out by the new life, and one that was
        answered since the last lists may have been answered by the new life, for an order names a
        VM and not its life. Until the new life has refused it, by having seen this term or a stop,
        or doesn't list it, its task is not run elsewhere.
        """
        log("vm:started_again", vm=row.name, incarnation=incarnation, runs=len(row.runs))
        last_lists_s = row.heard_s - CROSSED_ANSWERS_S
        reset_incarnation(row, incarnation, get_elapsed_s())
        for run in list(row.runs.values()):
            if run.phase is RunPhase.INHERITED:
                continue
            may_be_new = run.phase is RunPhase.RUNNING and run.settled_s > last_lists_s
            if run.unanswered or may_be_new or run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNSURE
                run.unanswered = True
            else:
                self.on_gone(run, "its VM has started again")

    def on_fenced(self, vm: str):
        """Takes in that a VM has seen a later term."""
        self.lose(f"{vm} has seen a later term")

    def on_room(self):
        """Takes in that there may be room now."""
        self.state.wake.set()

    def get_proof_s(self) -> float:
        """Returns the time at which the last acknowledged append of this term was sent."""
        return self.commit.proved_s

    async def wait_recorded(self, timeout_s: float) -> bool:
        """Returns whether everything decided before the call stands in the log in time."""
        try:
            await asyncio.wait_for(self.commit.wait_flushed(), timeout_s)
            return True
        except TimeoutError:
            return False

    # Ends.

    def on_end(self, row: VmRow, ended: EndedTask):
        """Takes in an end that a VM lists."""
        run = row.runs.get((ended.task, ended.number))
        if run is None:
            return
        release_run(self.fleet, run)
        log_routine(
            "task:ended",
            task=str(ended.task),
            run=ended.number,
            vm=row.name,
            reason=ended.reason,
            wanted=run.wanted,
        )
        if take_end(self.state.health, row, run, ended.reason, get_elapsed_s()):
            log("vm:avoided", vm=row.name, failed_jobs=len(row.failed_jobs))
        if run.wanted:
            self._settle(run, ended.reason, ended.checkpoint)
        self.state.wake.set()

    def on_gone(self, run: Run, detail: str):
        """Takes in that a run is certainly not there without a listed end."""
        if not release_run(self.fleet, run):
            return
        log("task:gone", task=str(run.task), run=run.number, vm=run.vm.name, detail=detail)
        if run.wanted:
            self._settle(run, EndReason.LAPSED, "")
        self.state.wake.set()

    def _settle(self, run: Run, reason: EndReason, checkpoint: str):
        step = self._find_step(run)
        if step is None:
            return
        settlement = settle_end(step, run, reason, checkpoint)
        for other in settlement.to_stop:
            self.desk.stop(other)
        self._record(step.work)

    def _find_step(self, run: Run) -> StepWork | None:
        work = self.state.works.get(run.task.job)
        return work and work.steps.get((run.task.occurrence, run.task.step))

    def on_stalled(self, run: Run):
        """Takes in that a run stands still: it goes on elsewhere, and its VM rests."""
        step = self._find_step(run)
        if step is None or not run.wanted or len(step.active) < count_due(step):
            return
        run.vm.avoid_until_s = get_elapsed_s() + STALL_AVOID_S
        log("vm:stalls", vm=run.vm.name, task=str(run.task), run=run.number, percent=run.percent)
        self.desk.stop(run)

    def on_refused(self, run: Run, reason: StartRefusal):
        """Takes in that a VM did not start a run and won't."""
        step = self._find_step(run)
        if step is not None:
            if reason is StartRefusal.NO_TICKET:
                step.advice.tickets.clear()
            elif reason is StartRefusal.INVALID:
                step.work.ready_s = get_elapsed_s() + INVALID_BACKOFF_S
        self.on_gone(run, f"refused: {reason}")

    # What has to be done now and then.

    def _sweep(self):
        now_s = get_elapsed_s()
        for row in list(self.fleet.rows.values()):
            if row.runs and has_lapsed(self.fleet, row, now_s):
                silent_s = round(now_s - (row.heard_s or self.fleet.term_began_s), 3)
                log("vm:lapsed", vm=row.name, runs=len(row.runs), silent_s=silent_s)
                for run in list(row.runs.values()):
                    if run.phase is not RunPhase.RECORDING:
                        self.on_gone(run, "the lease has lapsed")
        for work in self.state.works.values():
            for step in work.steps.values():
                for run in list_broken_gang(step, now_s, self.broken_since):
                    self.desk.stop(run)
        for name in mark_slow(self.state.health, now_s):
            log("vm:slow", vm=name, slowness=round(self.state.health.paces[name].slowness, 2))
        if self.broken_since:
            works = self.state.works
            self.broken_since = {k: at_s for k, at_s in self.broken_since.items() if k.job in works}
        self.state.wake.set()

    def _drop_old_jobs(self):
        ledger, limit_s = self.parts.ledger, get_wall_s() - KEEP_ENDED_S
        old = [name for name, ended_s in ledger.ended_at_s.items() if ended_s < limit_s]
        for name in old[:MAX_DROPS_PER_TURN]:
            for kind in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
                self.commit.add(KeyedRecord(make_key(kind, name), b""))
            ledger.ended_at_s.pop(name)
