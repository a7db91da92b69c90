"""The ledger: every job that the log knows, built by applying its records in order.

All nodes apply the same records and so agree on every job. A first hand-in of an id counts and
later ones change nothing; a final state never changes again.
"""

from dataclasses import dataclass, field

from .data import FINAL_STATES, Job, JobState
from .record import (
    KeyedRecord,
    NodeRecord,
    RecordKind,
    Term,
    decode_job,
    decode_node,
    decode_term,
    read_final_time,
    read_state,
)


@dataclass(slots=True)
class Ledger:
    """The jobs, the leader's term and the nodes, as far as the log has been read.

    ``ended`` holds the final state of jobs whose description is dropped.
    """

    jobs: dict[str, Job] = field(default_factory=dict)
    ended: dict[str, JobState] = field(default_factory=dict)
    ended_at_s: dict[str, float] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    early: dict[str, bytes] = field(default_factory=dict)
    term: Term | None = None
    nodes: dict[str, NodeRecord] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class JobAdded:
    """A job was handed in for the first time."""

    job: Job


@dataclass(slots=True, frozen=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclass(slots=True, frozen=True)
class ProgressMade:
    """The leader recorded the progress of a job."""

    job_id: str


@dataclass(slots=True, frozen=True)
class TermBegun:
    """A node became the leader."""

    term: Term


@dataclass(slots=True, frozen=True)
class LeaderHeard:
    """The leader showed that it is there."""


@dataclass(slots=True, frozen=True)
class LeaderResigned:
    """The leader ends its term by itself, so that another can begin at once.

    ``heir`` is the node that should be the next leader, if the leader named one.
    """

    heir: str = ""


Change = JobAdded | JobCancelled | ProgressMade | TermBegun | LeaderHeard | LeaderResigned

BEAT_NAME = "leader"
RESIGN_NAME = "resigned"


def apply_record(ledger: Ledger, record: KeyedRecord) -> Change | None:
    """Applies one record and returns what it changed, if anything.

    A record that can't be read raises ``ValueError``; the caller logs it and goes on.
    """
    if record.kind == RecordKind.JOB:
        return _apply_job(ledger, record)
    if record.kind == RecordKind.PROGRESS:
        return _apply_progress(ledger, record)
    if record.kind == RecordKind.CANCEL:
        return _apply_cancel(ledger, record)
    if record.kind == RecordKind.BEAT:
        if record.name != RESIGN_NAME:
            return LeaderHeard()
        return _apply_resignation(ledger, record)
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
    return None


def _apply_resignation(ledger: Ledger, record: KeyedRecord) -> Change | None:
    term, _, heir = record.value.decode().partition(" ")
    if ledger.term is None or term != str(ledger.term.number):
        return None
    return LeaderResigned(heir)


def _apply_job(ledger: Ledger, record: KeyedRecord) -> Change | None:
    job_id = record.name
    if not record.value or job_id in ledger.jobs or job_id in ledger.ended:
        return None
    job = decode_job(job_id, record.value)
    if job_id in ledger.cancelled:
        job.cancelled = True
        job.state = JobState.CANCELLED
    job.stored = ledger.early.pop(job_id, b"")
    if job.stored and not job.cancelled:
        job.state = read_state(job.stored)
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
        ledger.cancelled.discard(job_id)
        ledger.early.pop(job_id, None)
        ledger.ended[job_id] = state
        ledger.ended_at_s[job_id] = read_final_time(record.value)
        return ProgressMade(job_id)
    if job is None:
        # The newest copy of the job stands later in the log, because it was handed in twice.
        ledger.early[job_id] = record.value
        return None
    job.stored = record.value
    if not job.cancelled:
        job.state = state
    return ProgressMade(job_id)


def _apply_cancel(ledger: Ledger, record: KeyedRecord) -> Change | None:
    job_id = record.name
    if not record.value:
        ledger.cancelled.discard(job_id)
        return None
    if job_id in ledger.ended:
        return None
    job = ledger.jobs.get(job_id)
    ledger.cancelled.add(job_id)
    if job is None or job.cancelled:
        return None
    job.cancelled = True
    job.state = JobState.CANCELLED
    return JobCancelled(job_id)


def find_state(ledger: Ledger, job_id: str) -> JobState | None:
    """Returns the state of a job, or nothing when no such job is known."""
    job = ledger.jobs.get(job_id)
    if job is not None:
        return job.state
    return ledger.ended.get(job_id)


def count_waiting(ledger: Ledger, queue: str) -> int:
    """Returns how many jobs of a queue have no task that has started."""
    return sum(
        1
        for job in ledger.jobs.values()
        if job.queue.name == queue and job.state is JobState.QUEUED
    )
