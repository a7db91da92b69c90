"""Appends the records of callers' requests to the log, many records in one call.

An attempt ends with the record stored, with the record certainly not stored, or with the outcome
unknown. An append that was not answered is retried until the caller's deadline or one of the limits
below. Retrying is safe because the records of jobs are idempotent, so a second copy has no effect.

A batch holds no more than the log accepts. If the log refuses one all the same, its halves are
appended apart, so that only the record that the log refuses is not stored.
"""

import asyncio
import enum
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.outcome import LogError
from ..core.timer import await_and_log_errors
from ..dispatch.interface import KeyedLog, RecordsRefusedError
from ..jobs.record import KeyedRecord
from .unsettled import UnsettledRecords

APPEND_TIMEOUT_S = 0.6
RETRY_INTERVAL_S = 0.05
# Retries of a record stop when the log has refused every append for this long, because it is then
# unlikely to accept the record before the deadline of most callers.
REFUSED_TIMEOUT_S = 0.4
# When the log has not answered for this long, the caller is told that the outcome is unknown, so
# that it can try another node.
UNANSWERED_TIMEOUT_S = 1.2
MAX_BATCH_RECORDS = 200
# After an append that took longer than this, the store counts as slow.
SLOW_APPEND_S = 0.05
# While the store is slow, a node pauses between appends for this many times as long as the last one
# took, up to the maximum.
PAUSE_FACTOR = 2.0
MAX_PAUSE_S = 0.4


class AppendResult(enum.StrEnum):
    """What is known about a record after the attempts to store it.

    A record that the log will never accept is ``REFUSED``; one that is not stored may be accepted
    later.
    """

    STORED = "yes"
    NOT_STORED = "no"
    REFUSED = "never"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class PendingRecord:
    """A record whose append is in flight or queued.

    ``sent`` tells that some attempt may have taken effect, or may still do so.
    """

    record: KeyedRecord
    deadline_s: float
    future: asyncio.Future
    sent: bool = False
    first_attempt_s: float = 0.0


def compute_pause_s(append_s: float) -> float:
    """Returns how long to wait after an append that took ``append_s`` seconds.

    The store carries out the appends to a partition one at a time. If it is slow, the appends of
    all nodes queue up there, and the leader's records wait behind them: every start and every end
    waits for one of these. Larger and fewer appends of jobs leave room for the leader's.
    """
    if append_s <= SLOW_APPEND_S:
        return 0.0
    return min(MAX_PAUSE_S, PAUSE_FACTOR * append_s)


class Appender:
    """Groups records into batches and appends one batch at a time.

    ``lost`` is set while appends fail, from the first failed one to the next successful one.
    ``in_flight`` holds the batch that is being appended, and ``given_up`` tells that no further
    record is appended. ``unsettled`` holds the records of which an append got no answer.
    """

    def __init__(self, keyed_log: KeyedLog):
        self.log = keyed_log
        self.waiting: list[PendingRecord] = []
        self.in_flight: list[PendingRecord] = []
        self.given_up = False
        self.wake = asyncio.Event()
        self.lost = False
        self.appends = 0
        self.unsettled = UnsettledRecords()

    async def append(self, record: KeyedRecord, timeout_s: float) -> AppendResult:
        """Stores a record and returns the result, after ``timeout_s`` seconds at the latest."""
        if record.size > self.log.limits.record_bytes:
            log("appender:refused", key=record.key, size=record.size)
            return AppendResult.REFUSED
        if self.given_up:
            return AppendResult.NOT_STORED
        deadline_s = get_elapsed_s() + timeout_s
        entry = PendingRecord(record, deadline_s, asyncio.get_running_loop().create_future())
        self.waiting.append(entry)
        self.wake.set()
        try:
            return await asyncio.wait_for(entry.future, timeout_s)
        except TimeoutError:
            if entry in self.waiting:
                self.waiting.remove(entry)
            return AppendResult.UNKNOWN if entry.sent else AppendResult.NOT_STORED

    def is_unsettled(self, key: str) -> bool:
        """Returns whether a record with this key may be stored later than now.

        It is being appended or is about to be, or an append of it got no answer.
        """
        if key in self.unsettled:
            return True
        pending = [*self.in_flight, *self.waiting]
        return any(entry.record.key == key and not entry.future.done() for entry in pending)

    def give_up(self):
        """Ends all attempts with what is known about each record, so that its caller can be told.

        Records that are passed to :meth:`append` later are not stored.
        """
        self.given_up = True
        for entry in self.in_flight:
            _resolve(entry, AppendResult.UNKNOWN)
        for entry in self.waiting:
            _resolve(entry, AppendResult.UNKNOWN if entry.sent else AppendResult.NOT_STORED)
        self.waiting.clear()

    async def run(self):
        """Appends queued records until it is cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                batch = self._take_batch()
                self.in_flight = batch
                await await_and_log_errors(self._append(batch))
                self.in_flight = []
                # After an unexpected error nobody knows whether the records were stored.
                for entry in batch:
                    if entry not in self.waiting:
                        _resolve(entry, AppendResult.UNKNOWN)

    def _take_batch(self) -> list[PendingRecord]:
        """Takes as many of the first waiting records as one append may hold, at least one."""
        sizes = accumulate(entry.record.size for entry in self.waiting[:MAX_BATCH_RECORDS])
        count = max(1, bisect_right(list(sizes), self.log.limits.call_bytes))
        batch = self.waiting[:count]
        del self.waiting[:count]
        return batch

    async def _append(self, batch: list[PendingRecord]):
        now_s = get_elapsed_s()
        sent_before = [entry.sent for entry in batch]
        settled = [entry.record.key for entry in batch if entry.record.key not in self.unsettled]
        for entry in batch:
            # Until an answer arrives, the record may have been stored.
            entry.sent = True
            self.unsettled.note(entry.record.key)
            entry.first_attempt_s = entry.first_attempt_s or now_s
        try:
            await self.log.append([entry.record for entry in batch], None, APPEND_TIMEOUT_S)
        except RecordsRefusedError as error:
            self._restore_sent(batch, sent_before, settled)
            await self._append_apart(batch, error)
            return
        except LogError as error:
            self._mark_lost(error)
            if not error.sent:
                self._restore_sent(batch, sent_before, settled)
            self._requeue_or_resolve(batch)
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        self.appends += 1
        if self.lost:
            self.lost = False
            log("appender:log_back")
        for entry in batch:
            self.unsettled.settle(entry.record.key)
            _resolve(entry, AppendResult.STORED)
        pause_s = compute_pause_s(get_elapsed_s() - now_s)
        if pause_s:
            await asyncio.sleep(pause_s)

    async def _append_apart(self, batch: list[PendingRecord], error: RecordsRefusedError):
        """Appends the halves of a refused batch; ends the attempts for a record alone."""
        middle = len(batch) // 2
        if middle:
            await self._append(batch[:middle])
            # Callers that gave up meanwhile were told that their records aren't stored.
            rest = [entry for entry in batch[middle:] if not entry.future.done()]
            if rest:
                await self._append(rest)
            return
        record = batch[0].record
        log("appender:refused", key=record.key, size=record.size, error=str(error))
        _resolve(batch[0], AppendResult.UNKNOWN if batch[0].sent else AppendResult.REFUSED)

    def _restore_sent(
        self, batch: list[PendingRecord], sent_before: list[bool], settled: list[str]
    ):
        """Takes back that an append was sent, which certainly had no effect."""
        for entry, was_sent in zip(batch, sent_before, strict=True):
            entry.sent = was_sent
        for key in settled:
            self.unsettled.settle(key)

    def _requeue_or_resolve(self, batch: list[PendingRecord]):
        now_s = get_elapsed_s()
        retry = []
        for entry in batch:
            if entry.future.done() or now_s >= entry.deadline_s:
                _resolve(entry, AppendResult.UNKNOWN if entry.sent else AppendResult.NOT_STORED)
            elif not entry.sent and now_s - entry.first_attempt_s >= REFUSED_TIMEOUT_S:
                _resolve(entry, AppendResult.NOT_STORED)
            elif entry.sent and now_s - entry.first_attempt_s >= UNANSWERED_TIMEOUT_S:
                _resolve(entry, AppendResult.UNKNOWN)
            else:
                retry.append(entry)
        self.waiting[:0] = retry

    def _mark_lost(self, error: LogError):
        if not self.lost:
            self.lost = True
            log("appender:log_lost", error=str(error))


def _resolve(entry: PendingRecord, result: AppendResult):
    if not entry.future.done():
        entry.future.set_result(result)
