"""Records the leader's decisions in the log before they are carried out.

Decisions made while one append is in flight are batched into the next one. An append without an
answer is retried with the same sequence number, so that the log can detect the duplicate; an append
that is fenced ends the term. The time at which the last acknowledged append was sent is the last
time at which the leader's term is known to have been current.
"""

import asyncio
from collections.abc import Callable

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log
from ..core.outcome import LogError
from ..core.timer import call_and_log_errors, wait_for_event
from ..jobs.data import FINAL_STATES
from ..jobs.ledger import HEARTBEAT_NAME, RESIGNATION_NAME
from ..jobs.progressrecord import encode_progress
from ..jobs.record import KeyedRecord, RecordKind, make_key
from .interface import Fence, FencedError, KeyedLog
from .work import JobWork, snapshot_progress

HEARTBEAT_INTERVAL_S = 0.25
# Decisions made within this time share an append.
BATCH_DELAY_S = 0.01
APPEND_TIMEOUT_S = 1.5
RETRY_S = 0.05
MAX_JOBS_PER_APPEND = 300


class CommitQueue:
    """The leader's queue of records to append to the log."""

    def __init__(
        self, keyed_log: KeyedLog, term: int, term_confirmed_s: float, lose_term: Callable
    ):
        self.log = keyed_log
        self.term = term
        self.sequence = 0
        self.term_confirmed_s = term_confirmed_s
        self.lose_term = lose_term
        self.dirty_jobs: dict[str, JobWork] = {}
        self.extra_records: list[KeyedRecord] = []
        self.callbacks: list[Callable] = []
        self.wake = asyncio.Event()
        # The first append shows the other nodes at once that the new leader is at work.
        self.wake.set()
        self.appends = 0
        self.append_started_s: float | None = None

    def get_delay_s(self) -> float:
        """Returns how long the append in flight has been waiting for its answer, in seconds."""
        return 0.0 if self.append_started_s is None else get_elapsed_s() - self.append_started_s

    def mark_dirty(self, work: JobWork, callback: Callable | None = None):
        """Records the progress of a job with the next append and calls back once it is stored."""
        self.dirty_jobs[work.job.id] = work
        if callback is not None:
            self.callbacks.append(callback)
        self.wake.set()

    def add(self, record: KeyedRecord):
        """Adds a record to the next append."""
        self.extra_records.append(record)
        self.wake.set()

    async def wait_flushed(self):
        """Waits until everything marked so far is stored in the log."""
        idle = self.append_started_s is None
        if idle and not self.dirty_jobs and not self.callbacks and not self.extra_records:
            return
        done = asyncio.get_running_loop().create_future()
        self.callbacks.append(lambda: done.done() or done.set_result(None))
        self.wake.set()
        await done

    async def resign(self, successor: str = ""):
        """Records the end of the term, and the node that should lead next if one is named."""
        value = f"{self.term} {successor}".rstrip().encode()
        self.add(KeyedRecord(make_key(RecordKind.HEARTBEAT, RESIGNATION_NAME), value))
        await self.wait_flushed()

    async def run(self):
        """Appends batches, or a heartbeat if there is nothing to record, until the term is lost."""
        while True:
            if await wait_for_event(self.wake, HEARTBEAT_INTERVAL_S):
                await asyncio.sleep(BATCH_DELAY_S)
            self.wake.clear()
            records, callbacks = self._take_batch()
            self.append_started_s = get_elapsed_s()
            if not await self._append(records):
                return
            self.append_started_s = None
            for callback in callbacks:
                call_and_log_errors(callback)

    def _take_batch(self) -> tuple[list[KeyedRecord], list[Callable]]:
        now_s = get_wall_s()
        names = list(self.dirty_jobs)[:MAX_JOBS_PER_APPEND]
        records = []
        for name in names:
            records += _make_progress_records(self.dirty_jobs.pop(name), now_s)
        records += self.extra_records
        self.extra_records = []
        if not records:
            records.append(
                KeyedRecord(make_key(RecordKind.HEARTBEAT, HEARTBEAT_NAME), b"%d" % self.term)
            )
        if self.dirty_jobs:
            self.wake.set()
            return records, []
        callbacks, self.callbacks = self.callbacks, []
        return records, callbacks

    async def _append(self, records: list[KeyedRecord]) -> bool:
        self.sequence += 1
        fence = Fence(self.term, self.sequence)
        failed_s = 0.0
        while True:
            sent_s = get_elapsed_s()
            try:
                await self.log.append(records, fence, APPEND_TIMEOUT_S)
            except FencedError as error:
                self.lose_term(f"append was fenced: {error}")
                return False
            except LogError as error:
                if not failed_s:
                    failed_s = sent_s
                    log("leader:log_lost", term=self.term, error=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self.term_confirmed_s = sent_s
            self.appends += 1
            if failed_s:
                log("leader:log_back", term=self.term, after_s=get_elapsed_s() - failed_s)
            return True


def _make_progress_records(work: JobWork, now_s: float) -> list[KeyedRecord]:
    job_id = work.job.id
    value = encode_progress(snapshot_progress(work), now_s)
    records = [KeyedRecord(make_key(RecordKind.PROGRESS, job_id), value)]
    if work.state in FINAL_STATES:
        records.append(KeyedRecord(make_key(RecordKind.JOB, job_id), b""))
        if work.job.cancelled:
            records.append(KeyedRecord(make_key(RecordKind.CANCEL, job_id), b""))
    return records
