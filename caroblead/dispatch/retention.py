"""Drops the records of jobs that ended long ago from the log."""

from ..core.clock import get_wall_s
from ..jobs.ledger import Ledger, list_early_cancellations
from ..jobs.progressparts import make_part_tombstones
from ..jobs.record import KeyedRecord, RecordKind, make_key
from .commit import CommitQueue

# How long the state of an ended job can be queried, and a job stays cancelled that isn't known.
KEEP_ENDED_S = 240.0
DROP_INTERVAL_S = 1.0
MAX_DROPS_PER_INTERVAL = 500


def drop_old_records(ledger: Ledger, commit: CommitQueue):
    """Deletes the records that nobody needs any more, some at a time."""
    _drop_old_jobs(ledger, commit)
    _drop_early_cancellations(ledger, commit)


def _drop_old_jobs(ledger: Ledger, commit: CommitQueue):
    """Deletes the records of the jobs whose state can't be queried any more."""
    limit_s = get_wall_s() - KEEP_ENDED_S
    old = [name for name, ended_s in ledger.ended_at_s.items() if ended_s < limit_s]
    for name in old[:MAX_DROPS_PER_INTERVAL]:
        for kind in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
            commit.add(KeyedRecord(make_key(kind, name), b""))
        ledger.ended_at_s.pop(name)


def _drop_early_cancellations(ledger: Ledger, commit: CommitQueue):
    """Deletes the cancellations of jobs that have not come, and can't any more."""
    limit_s = get_wall_s() - KEEP_ENDED_S
    early = list_early_cancellations(ledger).items()
    old = [job_id for job_id, cancellation in early if cancellation.at_s < limit_s]
    for job_id in old[:MAX_DROPS_PER_INTERVAL]:
        commit.add(KeyedRecord(make_key(RecordKind.CANCEL, job_id), b""))


def drop_stray_parts(ledger: Ledger, commit: CommitQueue):
    """Drops the parts of ended jobs that a former leader did not get to drop."""
    for job_id in ledger.parts.keys() - ledger.jobs.keys():
        for tombstone in make_part_tombstones(job_id, list(ledger.parts[job_id])):
            commit.add(tombstone)
