"""The ledger: the state of every job in the log, built by applying the log's records in order.

All nodes apply the same records and therefore agree on every job. The first submission of a job id
takes effect, and later ones with the same id change nothing. A final state never changes again.
"""

from dataclasses import dataclass, field

from .data import FINAL_STATES, Job, JobState
from .progressparts import TaskPlace, parse_part_name
from .progressrecord import read_final_time, read_state
from .record import (
    Cancellation,
    KeyedRecord,
    LoadReport,
    NodeRecord,
    RecordKind,
    Term,
    decode_cancellation,
    decode_job,
    decode_load_report,
    decode_node,
    decode_term,
)

# Records of what former leaders learned are kept up to so many and this size.
MAX_LEARNED_RECORDS = 8
MAX_LEARNED_BYTES = 65_536
# What decoding a malformed record raises.
MALFORMED = (ValueError, LookupError, TypeError, AttributeError)


@dataclass(slots=True, eq=False)
class StoredJob:
    """A job that hasn't ended, with its record as read from the log.

    ``state`` is the state that may be reported to callers and ``encoded_progress`` the latest
    recorded progress. Every node reads every job, but only the leader needs what is in the record;
    the others don't spend the time to decode it.
    """

    id: str
    record: bytes
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    encoded_progress: bytes = b""
    queue: str = ""

    def decode(self) -> Job:
        """Decodes the record; raises ``ValueError`` and others if it is malformed."""
        job = decode_job(self.id, self.record)
        job.cancelled = self.cancelled
        return job

    def get_queue(self) -> str:
        """Returns the name of the job's queue, or an empty string if the record is malformed."""
        if not self.queue:
            try:
                self.queue = self.decode().queue.name
            except MALFORMED:
                return ""
        return self.queue


@dataclass(slots=True)
class Ledger:
    """The jobs, the leader's term and the nodes, as far as the log has been read.

    ``cancelled`` holds the cancellations of jobs that haven't ended or aren't known, and ``parts``
    the parts of each job's progress but the first, by their first task. ``ended`` holds the final
    state of jobs whose specification has been dropped. ``learned`` holds what leaders learned of
    durations and speeds, as read, for the next leader to decode. ``load_report`` is the leader's
    last load report, or ``None`` if that can't be decoded.
    """

    jobs: dict[str, StoredJob] = field(default_factory=dict)
    ended: dict[str, JobState] = field(default_factory=dict)
    ended_at_s: dict[str, float] = field(default_factory=dict)
    cancelled: dict[str, Cancellation] = field(default_factory=dict)
    pending_progress: dict[str, bytes] = field(default_factory=dict)
    parts: dict[str, dict[TaskPlace, bytes]] = field(default_factory=dict)
    term: Term | None = None
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    learned: dict[str, bytes] = field(default_factory=dict)
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class JobAdded:
    """A job was submitted for the first time."""

    job: StoredJob


@dataclass(slots=True, frozen=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclass(slots=True, frozen=True)
class ProgressRecorded:
    """The leader recorded the progress of a job."""

    job_id: str


@dataclass(slots=True, frozen=True)
class TermBegun:
    """A node became the leader and began a new term."""

    term: Term


@dataclass(slots=True, frozen=True)
class HeartbeatReceived:
    """The leader recorded a heartbeat, or anything else that is as good a sign of it."""


@dataclass(slots=True, frozen=True)
class LeaderResigned:
    """The leader ended its term voluntarily, so that another node can begin one immediately.

    ``successor`` is the node that should lead next, if the leader named one.
    """

    successor: str = ""


Change = JobAdded | JobCancelled | ProgressRecorded | TermBegun | HeartbeatReceived | LeaderResigned

HEARTBEAT_NAME = "leader"
RESIGNATION_NAME = "resigned"
LOAD_REPORT_NAME = "load"


def apply_record(ledger: Ledger, record: KeyedRecord) -> Change | None:
    """Applies one record and returns what it changed, if anything.

    Raises ``ValueError`` for a record that can't be decoded; the caller logs it and continues with
    the next record.
    """
    if record.kind == RecordKind.JOB:
        return _apply_job(ledger, record)
    if record.kind == RecordKind.PROGRESS:
        return _apply_progress(ledger, record)
    if record.kind == RecordKind.PART:
        _apply_part(ledger, record)
        return HeartbeatReceived()
    if record.kind == RecordKind.CANCEL:
        return _apply_cancel(ledger, record)
    if record.kind == RecordKind.HEARTBEAT:
        if record.name != RESIGNATION_NAME:
            return HeartbeatReceived()
        return _apply_resignation(ledger, record)
    if record.kind == RecordKind.LOAD and record.name == LOAD_REPORT_NAME:
        # A report that can't be decoded also ends the effect of the one before.
        ledger.load_report = None
        ledger.load_report = decode_load_report(record.value)
        return HeartbeatReceived()
    if record.kind == RecordKind.TERM and record.value:
        term = decode_term(record.value)
        if ledger.term is not None and term.number <= ledger.term.number:
            return None
        ledger.term = term
        return TermBegun(term)
    if record.kind == RecordKind.NODE:
        if record.value:
            ledger.nodes[record.name] = decode_node(record.value)
        else:
            ledger.nodes.pop(record.name, None)
    if record.kind == RecordKind.LEARNED:
        _apply_learned(ledger, record)
    return None


def _apply_learned(ledger: Ledger, record: KeyedRecord):
    ledger.learned.pop(record.name, None)
    if len(record.value) > MAX_LEARNED_BYTES or len(ledger.learned) >= MAX_LEARNED_RECORDS:
        raise ValueError(f"learned record of {len(record.value)} bytes is one too many or too long")
    if record.value:
        ledger.learned[record.name] = record.value


def _apply_resignation(ledger: Ledger, record: KeyedRecord) -> Change | None:
    term, _, successor = record.value.decode().partition(" ")
    if ledger.term is None or term != str(ledger.term.number):
        return None
    return LeaderResigned(successor)


def _apply_job(ledger: Ledger, record: KeyedRecord) -> Change | None:
    job_id = record.name
    if not record.value or job_id in ledger.jobs or job_id in ledger.ended:
        return None
    job = StoredJob(job_id, record.value)
    cancellation = ledger.cancelled.get(job_id)
    if cancellation is not None and not _concerns(cancellation, job):
        del ledger.cancelled[job_id]
    elif cancellation is not None:
        job.cancelled = True
        job.state = JobState.CANCELLED
    job.encoded_progress = ledger.pending_progress.pop(job_id, b"")
    if job.encoded_progress and not job.cancelled:
        job.state = read_state(job.encoded_progress)
    ledger.jobs[job_id] = job
    return JobAdded(job)


def _apply_progress(ledger: Ledger, record: KeyedRecord) -> Change | None:
    job_id = record.name
    if not record.value:
        ledger.ended.pop(job_id, None)
        ledger.ended_at_s.pop(job_id, None)
        ledger.jobs.pop(job_id, None)
        return None
    state = read_state(record.value)
    job = ledger.jobs.get(job_id)
    if state in FINAL_STATES:
        if job_id in ledger.ended:
            return None
        if job is not None and job.cancelled:
            state = JobState.CANCELLED
        ledger.jobs.pop(job_id, None)
        ledger.cancelled.pop(job_id, None)
        ledger.pending_progress.pop(job_id, None)
        ledger.ended[job_id] = state
        ledger.ended_at_s[job_id] = read_final_time(record.value)
        return ProgressRecorded(job_id)
    if job is None:
        # The job was submitted twice. The log keeps only the newest copy of its record, which comes
        # after this progress record, so the progress is kept until the job is read.
        ledger.pending_progress[job_id] = record.value
        return None
    job.encoded_progress = record.value
    if not job.cancelled:
        job.state = state
    return ProgressRecorded(job_id)


def _apply_part(ledger: Ledger, record: KeyedRecord):
    job_id, start = parse_part_name(record.name)
    parts = ledger.parts.setdefault(job_id, {})
    if record.value:
        parts[start] = record.value
    else:
        parts.pop(start, None)
    if not parts:
        del ledger.parts[job_id]


def _apply_cancel(ledger: Ledger, record: KeyedRecord) -> Change | None:
    job_id = record.name
    if not record.value:
        ledger.cancelled.pop(job_id, None)
        return None
    if job_id in ledger.ended:
        return None
    job, cancellation = ledger.jobs.get(job_id), decode_cancellation(record.value)
    if job is not None and not _concerns(cancellation, job):
        return None
    ledger.cancelled[job_id] = cancellation
    if job is None or job.cancelled:
        return None
    job.cancelled = True
    job.state = JobState.CANCELLED
    return JobCancelled(job_id)


def _concerns(cancellation: Cancellation, job: StoredJob) -> bool:
    """Returns whether the team that cancelled a job may do so; both may come first."""
    if cancellation.team is None:
        return True
    try:
        found = job.decode()
    except MALFORMED:
        return True
    return found.team == cancellation.team or found.queue.open_to_all


def list_early_cancellations(ledger: Ledger) -> dict[str, Cancellation]:
    """Returns the cancellations of jobs that aren't known, by the id of the job."""
    return {
        job_id: cancellation
        for job_id, cancellation in ledger.cancelled.items()
        if job_id not in ledger.jobs
    }


def find_state(ledger: Ledger, job_id: str) -> JobState | None:
    """Returns the state of a job, or ``None`` if the job is unknown."""
    job = ledger.jobs.get(job_id)
    if job is not None:
        return job.state
    return ledger.ended.get(job_id)


def count_waiting(ledger: Ledger, queue: str) -> int:
    """Returns the number of jobs in a queue of which no task has started."""
    return sum(
        1
        for job in ledger.jobs.values()
        if job.state is JobState.QUEUED and job.get_queue() == queue
    )
