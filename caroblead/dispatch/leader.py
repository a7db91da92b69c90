"""One term of the leader: its tables, its tick and its reactions to what the log and the VMs say.

A term begins when the log shows its record. The leader takes over every open job from the ledger,
asks each VM what runs there, and from then on decides alone until its term is lost.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log, log_routine
from ..core.resource import NOTHING
from ..core.timer import TimerService, guard
from ..jobs.data import FINAL_STATES, Job, JobState, Progress
from ..jobs.ledger import Change, JobAdded, JobCancelled, Ledger
from ..jobs.record import KeyedRecord, RecordKind, decode_progress, make_key
from .commit import CommitQueue
from .counsel import Counsel
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
from .health import STALL_AVOID_S, HealthBook, is_slow, mark_slow, take_end
from .interface import (
    Configuration,
    EndedTask,
    EndReason,
    KeyedLog,
    ListedVm,
    StartRefusal,
    VmControl,
)
from .orders import OrderDesk
from .planning import Placement, plan_starts
from .rank import Allowance, count_surplus, rank_step
from .settle import drop_runs, list_broken_gang, settle_end
from .watch import Watch
from .work import (
    JobWork,
    StepWork,
    add_run,
    describe_run,
    get_booked_need,
    is_step_ready,
    open_due_occurrences,
    open_job,
)

TICK_GAP_S = 0.01
SWEEP_S = 0.1
# How long the state of an ended job can be asked for.
KEEP_ENDED_S = 240.0
MAX_DROPS_PER_SWEEP = 50
# A step whose order was invalid is left alone for this long.
INVALID_BACKOFF_S = 1.0
# Nothing new is decided while the log has not answered for this long: it could not be carried out.
MAX_RECORD_DELAY_S = 0.4


@dataclass(slots=True)
class LeaderParts:
    """What a term works with."""

    log: KeyedLog
    vms: VmControl
    counsel: Counsel
    ledger: Ledger
    timers: TimerService
    get_configuration: Callable[[], Configuration]
    get_listed: Callable[[], dict[str, ListedVm]]
    on_lost: Callable[[str], None]
    lease_s: float


class Leader:
    """The tables of one term and the systems that run over them."""

    def __init__(self, parts: LeaderParts, term: int, proved_s: float):
        self.parts = parts
        self.term = term
        self.lost = False
        self.fleet = Fleet(term_began_s=get_elapsed_s(), lease_s=parts.lease_s)
        self.works: dict[str, JobWork] = {}
        self.watches: dict[str, asyncio.Task] = {}
        self.looks: dict[str, Watch] = {}
        self.broken_since: dict = {}
        self.health = HealthBook()
        self.allowances: dict[str, Allowance] = {}
        self.wake = asyncio.Event()
        self.commit = CommitQueue(parts.log, term, proved_s, self.lose)
        self.desk = OrderDesk(
            self.fleet,
            parts.vms,
            term,
            lambda: self.commit.proved_s,
            self._take_refusal,
            self.on_fenced,
            self._look,
        )
        self.tasks: list[asyncio.Task] = []
        self.timer = None

    def start(self):
        """Takes over the open jobs and begins to decide."""
        self._refresh_vms()
        jobs = sorted(self.parts.ledger.jobs.values(), key=lambda job: job.accepted_s)
        for job in jobs:
            self._take_over(job)
        self.timer = self.parts.timers.subscribe(SWEEP_S, self._sweep)
        self.tasks = [
            asyncio.create_task(guard(self.commit.run())),
            asyncio.create_task(guard(self._run_ticks())),
        ]
        log(
            "leader:began",
            term=self.term,
            jobs=len(self.works),
            vms=len(self.fleet.rows),
            inherited=sum(len(row.runs) for row in self.fleet.rows.values()),
        )
        self.wake.set()

    def lose(self, detail: str):
        """Ends the term; nothing is ordered any more."""
        if self.lost:
            return
        self.lost = True
        log("leader:lost", term=self.term, detail=detail)
        self.parts.on_lost(detail)

    def close(self):
        """Stops all activity of the term."""
        self.lost = True
        self.desk.close()
        self.parts.counsel.clear()
        if self.timer is not None:
            self.parts.timers.unsubscribe(self.timer)
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
        work.surplus = count_surplus(self.allowances, team, job)
        self.works[job.id] = work
        return work

    def _inherit_run(self, step: StepWork, record):
        row = self.fleet.rows.get(record.vm)
        if row is None:
            row = self._add_unlisted(record.vm)
        task = step.name_task(record.task)
        need = get_booked_need(step.spec)
        run = Run(task, record.number, row, step.work.job.team, need, RunPhase.INHERITED)
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
            self.wake.set()
        elif isinstance(change, JobCancelled):
            work = self.works.get(change.job_id)
            if work is not None:
                self._finish(work, JobState.CANCELLED)
                self.wake.set()

    def _finish(self, work: JobWork, state: JobState):
        work.state = state
        for run in drop_runs(work):
            self.desk.stop(run)
        self._record(work)

    def _record(self, work: JobWork):
        self.commit.mark(work)
        if work.state in FINAL_STATES:
            self.works.pop(work.job.id, None)
            log_routine("job:ended", job=work.job.id, state=work.state, team=work.job.team)

    # VMs.

    def on_listed(self):
        """Takes in that the registry has changed."""
        self._refresh_vms()
        self.wake.set()

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
        watch = Watch(
            self.fleet,
            row,
            self.parts.vms,
            self.term,
            lambda: self.commit.proved_s,
            self.desk,
            self,
        )
        self.looks[row.name] = watch
        self.watches[row.name] = asyncio.create_task(guard(watch.run()))

    async def _look(self, row: VmRow):
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

        An order that was not answered may still be carried out by the new life. Until that life has
        refused it, by having seen this term or a stop, its task is not run elsewhere.
        """
        log("vm:started_again", vm=row.name, incarnation=incarnation, runs=len(row.runs))
        reset_incarnation(row, incarnation, get_elapsed_s())
        for run in list(row.runs.values()):
            if run.phase is RunPhase.INHERITED:
                continue
            if run.unanswered or run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNSURE
                run.unanswered = True
            else:
                self.on_gone(run, "its VM has started again")

    def on_fenced(self, vm: str):
        """Takes in that a VM has seen a later term."""
        self.lose(f"{vm} has seen a later term")

    def on_room(self):
        """Takes in that there may be room now."""
        self.wake.set()

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
        if take_end(self.health, row, run, ended.reason, get_elapsed_s()):
            log("vm:avoided", vm=row.name, failed_jobs=len(row.failed_jobs))
        if run.wanted:
            self._settle(run, ended.reason, ended.checkpoint)
        self.wake.set()

    def on_gone(self, run: Run, detail: str):
        """Takes in that a run is certainly not there without a listed end."""
        if not release_run(self.fleet, run):
            return
        log("task:gone", task=str(run.task), run=run.number, vm=run.vm.name, detail=detail)
        if run.wanted:
            self._settle(run, EndReason.LAPSED, "")
        self.wake.set()

    def _settle(self, run: Run, reason: EndReason, checkpoint: str):
        step = self._find_step(run)
        if step is None:
            return
        settlement = settle_end(step, run, reason, checkpoint)
        for other in settlement.to_stop:
            self.desk.stop(other)
        self._record(step.work)

    def _find_step(self, run: Run) -> StepWork | None:
        work = self.works.get(run.task.job)
        return work and work.steps.get((run.task.occurrence, run.task.step))

    def on_stalled(self, run: Run):
        """Takes in that a run stands still: it goes on elsewhere, and its VM rests."""
        step = self._find_step(run)
        if step is None or not run.wanted or len(step.active) < _count_due(step):
            return
        run.vm.avoid_until_s = get_elapsed_s() + STALL_AVOID_S
        log("vm:stalls", vm=run.vm.name, task=str(run.task), run=run.number, percent=run.percent)
        self.desk.stop(run)

    def _take_refusal(self, run: Run, reason: StartRefusal):
        step = self._find_step(run)
        if step is not None:
            if reason is StartRefusal.NO_TICKET:
                step.advice.tickets.clear()
            elif reason is StartRefusal.INVALID:
                step.work.ready_s = get_elapsed_s() + INVALID_BACKOFF_S
        self.on_gone(run, f"refused: {reason}")

    # The tick.

    async def _run_ticks(self):
        while True:
            await self.wake.wait()
            self.wake.clear()
            self._tick()
            await asyncio.sleep(TICK_GAP_S)

    def _tick(self):
        now_s, wall_s = get_elapsed_s(), get_wall_s()
        steps = []
        for work in self.works.values():
            if work.occurrences < max(1, work.job.spec.repeats):
                open_due_occurrences(work, wall_s)
            if now_s >= work.ready_s:
                steps += [step for step in work.steps.values() if is_step_ready(step)]
        if not steps or self.commit.get_delay_s() > MAX_RECORD_DELAY_S:
            return
        configuration = self.parts.get_configuration()
        services = {name: queue.service for name, queue in configuration.queues.items()}
        slow = {name for name in self.health.paces if is_slow(self.health, name, now_s)}
        plan = plan_starts(steps, self.fleet, configuration.teams, services, now_s, wall_s, slow)
        self._carry_out(plan.placements, now_s)
        for run in plan.evictions:
            log_routine("task:evicted", task=str(run.task), run=run.number, vm=run.vm.name)
            self.desk.stop(run)
        for step in plan.advice_needed:
            step.advice.pending = True
            self.desk.spawn(guard(self._ask_advice(step, services)))

    def _carry_out(self, placements: list[Placement], now_s: float):
        numbers: dict = {}
        for placement in placements:
            step, row = placement.step, placement.vm
            gang_number = numbers.get(step.key) if step.spec.gang else None
            if gang_number is None:
                step.part.last_run += 1
                gang_number = numbers[step.key] = step.part.last_run
            run = Run(
                step.name_task(placement.index),
                gang_number,
                row,
                step.work.job.team,
                get_booked_need(step.spec),
                ticket=placement.ticket,
                ticket_until_s=_get_ticket_end(step),
                started_s=now_s,
                checkpoint=step.part.checkpoints.get(placement.index, ""),
            )
            book_run(self.fleet, run)
            add_run(step, describe_run(step, run))
            if step.work.state is JobState.QUEUED:
                step.work.state = JobState.RUNNING
            log_routine(
                "task:placed",
                task=str(run.task),
                run=run.number,
                vm=row.name,
                waited_s=round(get_wall_s() - step.work.job.accepted_s, 3),
                heard_s=round(now_s - row.heard_s, 3),
            )
            payload = step.work.job.spec.payload
            self.commit.mark(step.work, lambda run=run, payload=payload: self._send(run, payload))

    def _send(self, run: Run, payload: str):
        if not self.lost:
            self.desk.spawn(guard(self.desk.start(run, payload)))

    async def _ask_advice(self, step: StepWork, services: dict[str, str]):
        queue = step.work.job.queue
        service = services.get(queue.name, queue.service)
        advice = step.advice
        names = [
            row.name
            for row in self.fleet.rows.values()
            if row.listed.service == service
            and row.in_registry
            and (row.name in advice.allowed or row.name not in advice.asked)
        ]
        terms = queue.advice
        expected_s = terms.decision_s + terms.per_vm_s * len(names)
        key = step.key
        started_s = get_elapsed_s()
        answer = await self.parts.counsel.ask(
            f"{key.job}.{key.occurrence}.{key.step}",
            names,
            expected_s,
            rank_step(step, get_wall_s()),
        )
        advice.pending = False
        if answer.tickets is None:
            advice.retry_s = get_elapsed_s() + 0.1
            log("advice:failed", step=f"{key.job}.{key.occurrence}.{key.step}", vms=len(names))
        else:
            advice.asked.update(names)
            advice.allowed.update(answer.tickets)
            advice.tickets = dict(answer.tickets)
            advice.got_s = get_elapsed_s()
            log_routine(
                "advice:got",
                step=f"{key.job}.{key.occurrence}.{key.step}",
                vms=len(names),
                allowed=len(answer.tickets),
                took_s=round(advice.got_s - started_s, 3),
            )
        self.wake.set()

    # What has to be done now and then.

    def _sweep(self):
        now_s = get_elapsed_s()
        for row in list(self.fleet.rows.values()):
            if row.runs and has_lapsed(self.fleet, row, now_s):
                log("vm:lapsed", vm=row.name, runs=len(row.runs), heard_s=now_s - row.heard_s)
                for run in list(row.runs.values()):
                    if run.phase is not RunPhase.RECORDING:
                        self.on_gone(run, "the lease has lapsed")
        for work in self.works.values():
            for step in work.steps.values():
                for run in list_broken_gang(step, now_s, self.broken_since):
                    self.desk.stop(run)
        for name in mark_slow(self.health, now_s):
            log("vm:slow", vm=name, slowness=round(self.health.paces[name].slowness, 2))
        self._drop_old_jobs()
        self.wake.set()

    def _drop_old_jobs(self):
        ledger, limit_s = self.parts.ledger, get_wall_s() - KEEP_ENDED_S
        old = [name for name, ended_s in ledger.ended_at_s.items() if ended_s < limit_s]
        for name in old[:MAX_DROPS_PER_SWEEP]:
            for kind in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
                self.commit.add(KeyedRecord(make_key(kind, name), b""))
            ledger.ended_at_s.pop(name)


def _count_due(step: StepWork) -> int:
    """Returns how many tasks must run before one of them should show progress."""
    return step.spec.count if step.spec.gang else 0


def _get_ticket_end(step: StepWork) -> float:
    """Returns until when the tickets of a step can be used."""
    terms = step.work.job.queue.advice
    return step.advice.got_s + terms.valid_s if terms is not None else float("inf")
