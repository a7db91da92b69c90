"""Records the leader's decisions in the log before they are carried out.

Decisions made while one append is in flight are batched into the next one. An append without an
answer is retried with the same sequence number, so that the log can detect the duplicate; an append
that is fenced ends the term. The time at which the last acknowledged append was sent is the last
time at which the leader's term is known to have been current.

No record and no append is larger than the log accepts. Should the log refuse records all the same,
they are appended apart, so that no other record waits for the one that it refuses.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import islice

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.logsink import log
from ..core.outcome import LogError
from ..core.timer import call_and_log_errors, wait_for_event
from ..jobs.data import FINAL_STATES
from ..jobs.ledger import HEARTBEAT_NAME, RESIGNATION_NAME
from ..jobs.progressparts import encode_parts
from ..jobs.record import KeyedRecord, RecordKind, make_key
from .interface import Fence, FencedError, KeyedLog, RecordsRefusedError
from .work import JobWork, snapshot_progress

HEARTBEAT_INTERVAL_S = 0.25
# Decisions made within this time share an append.
BATCH_DELAY_S = 0.01
APPEND_TIMEOUT_S = 1.5
RETRY_S = 0.05
MAX_ENTRIES_PER_APPEND = 300
# Progress isn't divided into smaller records than this when the log refuses it.
MIN_RECORD_BYTES = 1024


@dataclass(slots=True, frozen=True)
class Entry:
    """A job whose progress is to be recorded, or another record, by the order of its first mark."""

    serial: int
    item: JobWork | KeyedRecord


@dataclass(slots=True, frozen=True)
class QueuedRecord:
    """An encoded record of an entry."""

    record: KeyedRecord
    entry: Entry


@dataclass(slots=True, frozen=True)
class Waiter:
    """A callback for the time when all entries up to a serial are stored."""

    serial: int
    callback: Callable


class CommitQueue:
    """The leader's queue of records to append to the log, first in, first out.

    ``entries`` holds what is to be encoded, by job id or by record key, and ``backlog`` the encoded
    records that did not fit into an append yet. ``record_bytes`` is the size that no record of
    progress exceeds.
    """

    def __init__(
        self, keyed_log: KeyedLog, term: int, term_confirmed_s: float, lose_term: Callable
    ):
        self.log = keyed_log
        self.term = term
        self.sequence = 0
        self.term_confirmed_s = term_confirmed_s
        self.lose_term = lose_term
        self.entries: dict[str, Entry] = {}
        self.last_serial = 0
        self.backlog: deque[QueuedRecord] = deque()
        self.waiters: deque[Waiter] = deque()
        self.record_bytes = keyed_log.limits.record_bytes
        self.refused = 0
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
        self._enqueue(work.job.id, work)
        if callback is not None:
            self.waiters.append(Waiter(self.last_serial, callback))

    def add(self, record: KeyedRecord):
        """Adds a record to the next append; one that the log won't accept is left out."""
        if record.size > self.log.limits.record_bytes:
            self._note_refused(record, "the record is too large")
            return
        self._enqueue(record.key, record)

    def _enqueue(self, key: str, item: JobWork | KeyedRecord):
        """Adds an entry, or gives the one with the same key what is to be recorded now."""
        known = self.entries.get(key)
        if known is None:
            self.last_serial += 1
        self.entries[key] = Entry(known.serial if known else self.last_serial, item)
        self.wake.set()

    def _is_empty(self) -> bool:
        return not (self.backlog or self.entries)

    async def wait_flushed(self):
        """Waits until everything marked so far is stored in the log."""
        if self.append_started_s is None and self._is_empty():
            return
        done = asyncio.get_running_loop().create_future()
        self.waiters.append(Waiter(self.last_serial, partial(_set_done, done)))
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
            batch = self._take_batch()
            self.append_started_s = get_elapsed_s()
            if not await self._append(batch):
                return
            self.append_started_s = None
            self._call_waiters()

    def _take_batch(self) -> list[QueuedRecord]:
        """Returns the records of the next append: as many as it may hold, or a heartbeat."""
        now_s, entry_count = get_wall_s(), 0
        batch, size = [], 0
        while not self._is_empty() and entry_count <= MAX_ENTRIES_PER_APPEND:
            if not self.backlog:
                self._encode_next(now_s)
                entry_count += 1
                continue
            size += self.backlog[0].record.size
            if batch and size > self.log.limits.call_bytes:
                break
            batch.append(self.backlog.popleft())
        if not self._is_empty():
            self.wake.set()
        return batch or [self._make_heartbeat()]

    def _call_waiters(self):
        """Calls back those who wait for nothing that is still to be stored."""
        left = [queued.entry for queued in islice(self.backlog, 1)]
        left += islice(self.entries.values(), 1)
        first_serial = min((entry.serial for entry in left), default=self.last_serial + 1)
        while self.waiters and self.waiters[0].serial < first_serial:
            call_and_log_errors(self.waiters.popleft().callback)

    def _encode_next(self, now_s: float):
        """Encodes the entry that has waited longest."""
        entry = self.entries.pop(next(iter(self.entries)))
        if isinstance(entry.item, KeyedRecord):
            self.backlog.append(QueuedRecord(entry.item, entry))
            return
        if not entry.item.is_recordable:
            return
        try:
            records = _make_progress_records(entry.item, self.record_bytes, now_s)
        except Exception as error:
            # Nothing that is wrong with one job may end the records of the others.
            self._set_aside(entry.item, f"{type(error).__name__}: {error}")
            return
        self.backlog.extend(QueuedRecord(record, entry) for record in records)

    def _set_aside(self, work: JobWork, detail: str):
        """Ends the records of a job, none of whose tasks starts from now on."""
        work.is_recordable = False
        log("job:not_recordable", job=work.job.id, detail=detail)

    def _make_heartbeat(self) -> QueuedRecord:
        record = KeyedRecord(make_key(RecordKind.HEARTBEAT, HEARTBEAT_NAME), b"%d" % self.term)
        return QueuedRecord(record, Entry(0, record))

    async def _append(self, batch: list[QueuedRecord], unanswered: bool = False) -> bool:
        """Appends records; returns false if the term has ended.

        ``unanswered`` tells that an append with the next sequence number got no answer.
        """
        fence = Fence(self.term, self.sequence + 1)
        records = [item.record for item in batch]
        failed_s = 0.0
        while True:
            sent_s = get_elapsed_s()
            try:
                await self.log.append(records, fence, APPEND_TIMEOUT_S)
            except FencedError as error:
                self.lose_term(f"append was fenced: {error}")
                return False
            except RecordsRefusedError as error:
                return await self._append_apart(batch, unanswered, error)
            except LogError as error:
                unanswered = unanswered or error.sent
                if not failed_s:
                    failed_s = sent_s
                    log("leader:log_lost", term=self.term, error=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self.sequence += 1
            self.term_confirmed_s = sent_s
            self.appends += 1
            if failed_s:
                log("leader:log_back", term=self.term, after_s=get_elapsed_s() - failed_s)
            return True

    async def _append_apart(
        self, batch: list[QueuedRecord], unanswered: bool, error: RecordsRefusedError
    ) -> bool:
        """Appends the two halves of a refused batch; a record that is refused alone is left out.

        Returns false if the term has ended.
        """
        middle = len(batch) // 2
        if middle:
            before = self.sequence
            if not await self._append(batch[:middle], unanswered):
                return False
            unanswered = unanswered and self.sequence == before
            return await self._append(batch[middle:], unanswered)
        if unanswered:
            # Another append with this sequence number could be taken for a repetition of this one.
            self.lose_term(f"an append that got no answer was refused: {error}")
            return False
        self._leave_out(batch[0], str(error))
        return True

    def _leave_out(self, item: QueuedRecord, detail: str):
        """Leaves out a refused record; the progress of a job is recorded again in smaller ones."""
        self._note_refused(item.record, detail)
        work = item.entry.item
        if isinstance(work, KeyedRecord):
            return
        smaller = item.record.size // 2
        if smaller < MIN_RECORD_BYTES:
            self._set_aside(work, detail)
            return
        self.record_bytes = min(self.record_bytes, smaller)
        for part in work.parts:
            part.written = None
        # Whoever waits for this entry goes on waiting.
        self.entries.pop(work.job.id, None)
        self.entries = {work.job.id: Entry(item.entry.serial, work), **self.entries}
        self.wake.set()

    def _note_refused(self, record: KeyedRecord, detail: str):
        self.refused += 1
        log("leader:record_refused", key=record.key, size=record.size, error=detail)


def _set_done(done: asyncio.Future):
    if not done.done():
        done.set_result(None)


def _make_progress_records(work: JobWork, max_bytes: int, now_s: float) -> list[KeyedRecord]:
    job_id = work.job.id
    records = encode_parts(job_id, snapshot_progress(work), work.parts, max_bytes, now_s)
    if work.state in FINAL_STATES:
        records.append(KeyedRecord(make_key(RecordKind.JOB, job_id), b""))
        if work.job.cancelled:
            records.append(KeyedRecord(make_key(RecordKind.CANCEL, job_id), b""))
    return records
