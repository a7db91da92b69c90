"""Handles callers' requests: to submit, show or cancel a job and to count the jobs of a queue.

A job is accepted only after its record is stored in the log. A request that was certainly not
stored is rejected with the time after which to retry; for one that may have been stored the caller
is told that the outcome is unknown.
"""

from collections.abc import Callable

from ..core.clock import get_wall_s
from ..core.logsink import log, log_routine
from ..core.outcome import Fault, Reason, Step
from ..dispatch.interface import ListedVm, find_service
from ..jobs.data import FINAL_STATES, Job, JobQueue, JobSpec, JobState
from ..jobs.ledger import Ledger, count_waiting, find_state, list_early_cancellations
from ..jobs.record import (
    PLAIN_CANCELLATION,
    Cancellation,
    KeyedRecord,
    RecordKind,
    encode_cancellation,
    encode_job,
    make_key,
)
from .access import AccessControl
from .admission import LoadControl, Verdict, can_ever_run
from .answer import (
    RETRY_AFTER_S,
    Accepted,
    Admission,
    Cancelled,
    Counted,
    InDoubt,
    Rejected,
    Shown,
)
from .appender import Appender, AppendResult
from .notifier import CompletionNotifier
from .tail import Tail

# An answer is sent this long before the caller's deadline.
ANSWER_MARGIN_S = 0.2
# How long an unknown job is searched for in the log before the caller is told that there is none.
LOOKUP_TIMEOUT_S = 1.0
# The number of waiting jobs, or the state of a job that hasn't ended, may be this old.
MAX_ANSWER_AGE_S = 2.0
# A node whose last read of the configuration, which is read all the time, is older than this, and
# whose appends fail, rejects jobs without trying to store them.
LOG_LOST_AGE_S = 1.0
# How long a job that would be rejected because of the load is searched for in the log. If the log
# can't be read to its end by then, the job is accepted.
REJECTION_LOOKUP_S = 0.1
# A team may have cancelled so many jobs at a time that are not known. The leader drops these
# cancellations after some minutes.
MAX_EARLY_CANCELLATIONS = 1000
EARLY_RETRY_AFTER_S = 30.0


class RequestHandler:
    """Decides on callers' requests and carries them out."""

    def __init__(
        self,
        access: AccessControl,
        ledger_tail: Tail,
        appender: Appender,
        notifier: CompletionNotifier,
        get_ledger,
        load_control: LoadControl | None = None,
        get_vms: Callable[[], dict[str, ListedVm]] = dict,
    ):
        self.node = access.settings.node
        self.access = access
        self.ledger_tail = ledger_tail
        self.appender = appender
        self.notifier = notifier
        self.get_ledger = get_ledger
        self.load_control = load_control
        self.get_vms = get_vms

    async def submit(
        self, admission: Admission, job_id: str, spec: JobSpec, budget_s: float
    ) -> Accepted | Rejected | InDoubt:
        """Stores a job; submitting the same id again has no further effect."""
        ledger: Ledger = self.get_ledger()
        if find_state(ledger, job_id) is not None:
            self._log_answer("job:accepted_before", job_id, admission)
            return Accepted(known_before=True)
        if self.appender.lost and self.access.tail.get_age_s() > LOG_LOST_AGE_S:
            log_routine("job:refused", job=job_id, queue=admission.queue.name, reason="log_lost")
            return Rejected(
                self._make_fault(
                    Reason.LOG_DOWN, Step.RECORD, "the job log is unreachable", RETRY_AFTER_S
                )
            )
        job = Job(job_id, admission.team, admission.queue, spec, round(get_wall_s(), 3))
        if self.load_control is not None:
            answer = await self._judge_by_load(self.load_control, job, admission, budget_s)
            if answer is not None:
                return answer
        record = KeyedRecord(make_key(RecordKind.JOB, job_id), encode_job(job))
        result = await self.appender.append(record, max(0.1, budget_s - ANSWER_MARGIN_S))
        if result is AppendResult.STORED or find_state(self.get_ledger(), job_id) is not None:
            self._log_answer("job:accepted", job_id, admission)
            return Accepted()
        if result is AppendResult.REFUSED:
            log("job:refused", job=job_id, queue=admission.queue.name, reason="too_large")
        elif result is AppendResult.NOT_STORED:
            log("job:refused", job=job_id, queue=admission.queue.name, reason="log_down")
        else:
            log("job:in_doubt", job=job_id, queue=admission.queue.name)
        return self._explain_failure(result)

    def is_unsettled(self, job_id: str) -> bool:
        """Returns whether a job may be stored later than now, by what this node has sent.

        Until that is settled, nobody is told that there is no such job or that it won't run.
        """
        return self.appender.is_unsettled(make_key(RecordKind.JOB, job_id))

    def note_unsettled(self, job_id: str):
        """Remembers that a peer may have stored a job, or may still do so."""
        self.appender.unsettled.note(make_key(RecordKind.JOB, job_id))

    def answer_unsettled(self, is_question: bool) -> Rejected | InDoubt:
        """Returns the answer to a call for a job that may still be stored."""
        detail = "the job log may still store the job"
        if is_question:
            return self._reject(Reason.LOG_DOWN, Step.ROUTE, detail, RETRY_AFTER_S)
        return InDoubt(self._make_fault(Reason.LOG_DOWN, Step.RECORD, detail))

    async def _judge_by_load(
        self, control: LoadControl, job: Job, admission: Admission, budget_s: float
    ) -> Accepted | Rejected | None:
        """Returns the answer to a job that the load report rejects, or ``None`` to store the job.

        The id may have been stored by an earlier attempt at another node, so a job is rejected only
        once the log has been read up to its end as of now.
        """
        verdict = control.judge(job, self._get_term())
        if verdict is None:
            return None
        if self.is_unsettled(job.id):
            return self._note_not_rejected(verdict, job, "an earlier attempt is not settled")
        configuration = self.access.view.current
        service = find_service(configuration, job.queue)
        team = configuration.teams.get(job.team)
        if not can_ever_run(job.spec, service, self.get_vms(), team):
            return self._note_not_rejected(verdict, job, "it can't run with any load")
        caught_up = await self.ledger_tail.catch_up_quickly(min(REJECTION_LOOKUP_S, budget_s))
        if find_state(self.get_ledger(), job.id) is not None:
            self._log_answer("job:accepted_before", job.id, admission)
            return Accepted(known_before=True)
        if not caught_up:
            return self._note_not_rejected(verdict, job, "the log was not read in time")
        # The report may have changed meanwhile, and another attempt may have begun here.
        verdict = control.judge(job, self._get_term())
        if verdict is None or self.is_unsettled(job.id):
            return None
        return self._reject_by_load(control, verdict, job)

    def _get_term(self) -> int | None:
        term = self.get_ledger().term
        return term.number if term is not None else None

    def _note_not_rejected(self, verdict: Verdict, job: Job, detail: str) -> None:
        log_routine("job:not_rejected", job=job.id, queue=verdict.queue, detail=detail)

    def _reject_by_load(self, control: LoadControl, verdict: Verdict, job: Job) -> Rejected:
        retry_s = control.reject(verdict, len(self.get_ledger().nodes))
        log_routine(
            "job:rejected",
            job=job.id,
            queue=verdict.queue,
            team=job.team,
            over_share=verdict.over_share,
            wait_s=verdict.wait_s,
            useful_s=round(verdict.useful_s, 3),
            term=verdict.term,
            serial=verdict.serial,
            age_s=verdict.age_s,
            retry_s=round(retry_s, 1),
        )
        share = "beyond" if verdict.over_share else "within"
        detail = f"a job {share} the team's share would wait {verdict.wait_s:.1f} s"
        return Rejected(self._make_fault(Reason.QUEUE_FULL, Step.ADMIT, detail, retry_s))

    def _log_answer(self, kind: str, job_id: str, admission: Admission):
        log_routine(
            kind,
            job=job_id,
            queue=admission.queue.name,
            team=admission.team,
            configuration=self.access.view.current.version,
            configuration_age_s=round(self.access.tail.get_age_s(), 3),
        )

    async def show(self, job_id: str, team: str = "") -> Shown | Rejected:
        """Returns the state of a job to a caller of ``team``."""
        state = find_state(self.get_ledger(), job_id)
        if state is not None and state not in FINAL_STATES:
            state = await self._get_newest_state(job_id)
        if state is None:
            state = await self._look_up(job_id)
        if state is None:
            state = self._show_unknown(job_id, team)
        if isinstance(state, Rejected):
            return state
        log_routine(
            "job:shown",
            job=job_id,
            state=state,
            ledger_age_s=round(self.ledger_tail.get_age_s(), 3),
        )
        return Shown(state)

    async def _get_newest_state(self, job_id: str) -> JobState | Rejected | None:
        newest = await self.notifier.ask(job_id)
        if newest is None:
            await self.ledger_tail.refresh()
        own = find_state(self.get_ledger(), job_id)
        # A final state or a cancellation that this node knows of takes precedence, because the
        # leader may not have read it when it answered.
        if own in FINAL_STATES or newest is not None:
            return own if own in FINAL_STATES else newest
        if not await self._is_ledger_recent():
            return self._reject_unread_log()
        return find_state(self.get_ledger(), job_id)

    async def _is_ledger_recent(self) -> bool:
        """Returns whether an answer that may be :data:`MAX_ANSWER_AGE_S` old can be given."""
        return self.ledger_tail.get_age_s() <= MAX_ANSWER_AGE_S or await self._catch_up()

    def _show_unknown(self, job_id: str, team: str) -> JobState | Rejected:
        """Returns what is shown of a job that isn't in the log.

        If it may still be stored, only its own team's cancellation makes sure that it never runs.
        """
        if not self.is_unsettled(job_id):
            log("job:unknown", job=job_id)
            return self._reject(Reason.NO_SUCH_JOB, Step.ROUTE, "there is no such job")
        cancellation = self.get_ledger().cancelled.get(job_id)
        if cancellation is not None and cancellation.team == team:
            return JobState.CANCELLED
        return self.answer_unsettled(is_question=True)

    async def cancel(
        self, job_id: str, budget_s: float, team: str = ""
    ) -> Cancelled | Rejected | InDoubt:
        """Cancels a job permanently, unless it has already ended.

        A job that isn't in the log is cancelled as well: an append of it may be on its way from any
        node, and the job must not run once its ``team`` was told that there is none.
        """
        state = find_state(self.get_ledger(), job_id)
        if state is None:
            state = await self._look_up(job_id)
        if isinstance(state, Rejected):
            return state
        if state in FINAL_STATES:
            return Cancelled()
        value = PLAIN_CANCELLATION
        if state is None:
            if self._count_early_cancellations(team) >= MAX_EARLY_CANCELLATIONS:
                detail = "the team has cancelled too many jobs that are not known"
                return self._reject(Reason.QUEUE_FULL, Step.ADMIT, detail, EARLY_RETRY_AFTER_S)
            value = encode_cancellation(Cancellation(team, round(get_wall_s(), 3)))
        record = KeyedRecord(make_key(RecordKind.CANCEL, job_id), value)
        result = await self.appender.append(record, max(0.1, budget_s - ANSWER_MARGIN_S))
        if result is AppendResult.STORED:
            log_routine("job:cancelled", job=job_id, known=state is not None)
            return Cancelled()
        log("job:cancel_failed", job=job_id, stored=result)
        return self._explain_failure(result)

    def _count_early_cancellations(self, team: str) -> int:
        early = list_early_cancellations(self.get_ledger()).values()
        return sum(cancellation.team == team for cancellation in early)

    def give_up(self) -> Rejected:
        """Ends the waits for the log, and returns the answer to requests that had no effect yet.

        A node that stops calls this when callers must be answered without delay.
        """
        self.appender.give_up()
        return self._reject(Reason.DRAINING, Step.ROUTE, "the node is stopping", RETRY_AFTER_S)

    def _explain_failure(self, result: AppendResult) -> Rejected | InDoubt:
        """Returns the answer to a caller whose record is not certainly stored in the log."""
        if result is AppendResult.REFUSED:
            return self._reject(
                Reason.TOO_LARGE, Step.RECORD, "the job log takes no job of this size"
            )
        if result is AppendResult.NOT_STORED:
            fault = self._make_fault(
                Reason.LOG_DOWN, Step.RECORD, "the job log did not store the request", RETRY_AFTER_S
            )
            return Rejected(fault)
        return InDoubt(
            self._make_fault(Reason.LOG_DOWN, Step.RECORD, "the job log did not answer in time")
        )

    async def count(self, queue: JobQueue) -> Counted | Rejected:
        """Returns the number of jobs in a queue of which no task has started."""
        await self.ledger_tail.refresh()
        if not await self._is_ledger_recent():
            return self._reject_unread_log()
        return Counted(count_waiting(self.get_ledger(), queue.name))

    async def _look_up(self, job_id: str) -> JobState | Rejected | None:
        """Searches the log for a job, and asks the leader if the log can't be read to its end.

        Returns the job's state, ``None`` if the log doesn't hold the job, or why neither can be
        told. Only a copy that was read to the end of the log since the call arrived proves that the
        log doesn't hold a job, and nothing proves that it won't later.
        """
        caught_up = await self._catch_up()
        state = find_state(self.get_ledger(), job_id)
        if state is not None:
            return state
        if not caught_up:
            return await self.notifier.ask(job_id) or self._reject_unread_log()
        return None

    async def _catch_up(self) -> bool:
        """Reads the log to its end as of now; returns false if that fails or takes too long."""
        return not self.ledger_tail.lost and await self.ledger_tail.catch_up(LOOKUP_TIMEOUT_S)

    def _reject_unread_log(self) -> Rejected:
        return self._reject(Reason.LOG_DOWN, Step.ROUTE, "the job log can't be read", RETRY_AFTER_S)

    def _make_fault(self, reason: Reason, step: Step, detail: str, retry_s: float = 0.0) -> Fault:
        return Fault(reason, step, self.node, detail, retry_after_s=retry_s)

    def _reject(self, reason: Reason, step: Step, detail: str, retry_s: float = 0.0) -> Rejected:
        if reason is not Reason.NO_SUCH_JOB:
            log_routine("call:rejected", reason=reason, step=step, detail=detail)
        return Rejected(self._make_fault(reason, step, detail, retry_s))
