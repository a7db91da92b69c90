"""Appends what callers hand in to the log, many records in one call.

A record is there, or certainly not there, or unknown. An append without an answer is repeated until
its caller's time is up: the records of jobs are idempotent, so a second copy does no harm.
"""

import asyncio
import enum
from dataclasses import dataclass

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..dispatch.interface import KeyedLog
from ..fleet.interface import LogError
from ..jobs.record import KeyedRecord

APPEND_TIMEOUT_S = 0.6
RETRY_S = 0.05
# A log that turns every append down for this long won't take it in time for most callers.
GIVE_UP_REFUSED_S = 0.4
# A caller is told so when the log has not answered for this long, and can try another node.
GIVE_UP_UNANSWERED_S = 1.2
MAX_BATCH_RECORDS = 200


class Stored(enum.StrEnum):
    """What is known of a record after the attempt to store it."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Entry:
    """A record on its way; ``sent`` tells that some attempt may have taken effect."""

    record: KeyedRecord
    end_s: float
    done: asyncio.Future
    sent: bool = False
    first_try_s: float = 0.0


class Appender:
    """Groups records into appends, one at a time."""

    def __init__(self, keyed_log: KeyedLog):
        self.log = keyed_log
        self.waiting: list[Entry] = []
        self.wake = asyncio.Event()
        self.lost = False
        self.appends = 0

    async def append(self, record: KeyedRecord, timeout_s: float) -> Stored:
        """Stores a record and returns what is known when the time is up at the latest."""
        end_s = get_elapsed_s() + timeout_s
        entry = Entry(record, end_s, asyncio.get_running_loop().create_future())
        self.waiting.append(entry)
        self.wake.set()
        try:
            return await asyncio.wait_for(entry.done, timeout_s)
        except TimeoutError:
            if entry in self.waiting:
                self.waiting.remove(entry)
            return Stored.UNKNOWN if entry.sent else Stored.NO

    async def run(self):
        """Appends until it is cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                batch = self.waiting[:MAX_BATCH_RECORDS]
                del self.waiting[:MAX_BATCH_RECORDS]
                await self._append(batch)

    async def _append(self, batch: list[Entry]):
        now_s = get_elapsed_s()
        before = [entry.sent for entry in batch]
        for entry in batch:
            # From here on until an answer, the record may be there.
            entry.sent = True
            entry.first_try_s = entry.first_try_s or now_s
        try:
            await self.log.append([entry.record for entry in batch], None, APPEND_TIMEOUT_S)
        except LogError as error:
            self._take_failure(error)
            self._keep_open(batch, error.sent, before)
            await asyncio.sleep(RETRY_S)
            return
        self.appends += 1
        if self.lost:
            self.lost = False
            log("appender:log_back")
        for entry in batch:
            _resolve(entry, Stored.YES)

    def _keep_open(self, batch: list[Entry], sent: bool, before: list[bool]):
        now_s = get_elapsed_s()
        retry = []
        for entry, was_sent in zip(batch, before, strict=True):
            entry.sent = was_sent or sent
            if entry.done.done() or now_s >= entry.end_s:
                _resolve(entry, Stored.UNKNOWN if entry.sent else Stored.NO)
            elif not entry.sent and now_s - entry.first_try_s >= GIVE_UP_REFUSED_S:
                _resolve(entry, Stored.NO)
            elif entry.sent and now_s - entry.first_try_s >= GIVE_UP_UNANSWERED_S:
                _resolve(entry, Stored.UNKNOWN)
            else:
                retry.append(entry)
        self.waiting[:0] = retry

    def _take_failure(self, error: LogError):
        if not self.lost:
            self.lost = True
            log("appender:log_lost", error=str(error))


def _resolve(entry: Entry, stored: Stored):
    if not entry.done.done():
        entry.done.set_result(stored)
