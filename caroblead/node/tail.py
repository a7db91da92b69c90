"""Follows a keyed log: reads its records in order and passes them to a consumer.

A follower that doesn't need new records immediately pauses between reads, so that records written
shortly after one another cost a single read. :meth:`Tail.refresh` ends the pause for a caller that
needs the current state.
"""

import asyncio
from collections.abc import Callable

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.outcome import LogError
from ..core.timer import await_and_log_errors, wait_for_event
from ..dispatch.interface import Batch, HistoryGoneError, KeyedLog
from ..jobs.record import KeyedRecord

RETRY_INTERVAL_S = 0.1
# How long a caller of :meth:`Tail.refresh` waits for the read that it has triggered.
REFRESH_TIMEOUT_S = 0.05
MAX_ERROR_LENGTH = 200


def apply_each(name: str, records: list[KeyedRecord], apply: Callable[[KeyedRecord], None]):
    """Applies records one by one; one that raises any error is logged and has no further effect.

    Every writer of a log can put any content into it, and a follower that stopped at a record
    would read it again for ever. ``name`` is the name of the log.
    """
    for record in records:
        try:
            apply(record)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
            log(f"{name}:unreadable", key=record.key, error=detail)


class Tail:
    """The reader of one keyed log.

    ``answered_s`` is when the last answer arrived, ``caught_up`` tells whether that read reached
    the end of the log, and ``current_s`` is when the last read that did so was sent. ``lost`` is
    set while reads fail. While ``current_s`` is before ``needed_s`` or callers are ``hurried``,
    reads don't wait for new records.
    """

    def __init__(
        self,
        name: str,
        keyed_log: KeyedLog,
        consume: Callable[[Batch, bool], None],
        wait_s: float,
        pause_s: float,
    ):
        self.name = name
        self.log = keyed_log
        self.consume = consume
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.offset: int | None = None
        self.current_s = 0.0
        self.needed_s = 0.0
        self.answered_s = 0.0
        self.caught_up = False
        self.lost = False
        self.read_now = asyncio.Event()
        self.pausing = False
        self.answered = asyncio.Event()
        self.hurried = 0

    async def run(self):
        """Reads until it is cancelled; an unexpected error in one read doesn't end the others."""
        while True:
            if not await await_and_log_errors(self._try_read()):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _try_read(self) -> bool:
        """Reads once and returns whether the log answered."""
        try:
            await self._read_once()
        except HistoryGoneError as error:
            log("log:history_gone", log=self.name, offset=self.offset, detail=str(error))
            self.offset = None
        except LogError as error:
            self._mark_lost(error)
            return False
        return True

    async def _read_once(self):
        sent_s = get_elapsed_s()
        if self.offset is None:
            batch = await self.log.read_newest()
            complete = True
        else:
            needs_news = self.hurried or self.current_s < self.needed_s
            batch = await self.log.read(self.offset, 0.0 if needs_news else self.wait_s)
            complete = False
        if self.lost:
            self.lost = False
            log("log:back", log=self.name, silent_s=get_elapsed_s() - self.answered_s)
        self.consume(batch, complete)
        self.offset = batch.next_offset
        self.answered_s = get_elapsed_s()
        self.caught_up = batch.next_offset >= batch.end_offset
        if self.caught_up:
            self.current_s = sent_s
        self._wake_waiters()
        if self.caught_up and not complete:
            await self._pause()

    def _wake_waiters(self):
        self.answered.set()
        self.answered = asyncio.Event()

    async def _pause(self):
        if self.pause_s <= 0:
            return
        self.read_now.clear()
        self.pausing = True
        await wait_for_event(self.read_now, self.pause_s)
        self.pausing = False

    def _mark_lost(self, error: LogError):
        if not self.lost:
            self.lost = True
            log("log:lost", log=self.name, error=str(error))

    async def refresh(self):
        """Ends a pause and waits for the next read, for :data:`REFRESH_TIMEOUT_S` at most.

        Returns immediately while a read is waiting at the log, because that read delivers any new
        record without delay.
        """
        if not self.pausing:
            return
        answered = self.answered
        self.read_now.set()
        await wait_for_event(answered, REFRESH_TIMEOUT_S)

    async def catch_up(self, timeout_s: float) -> bool:
        """Waits until every record that was in the log at the time of the call has been consumed.

        Returns false if that takes longer than ``timeout_s`` seconds.
        """
        started_s = get_elapsed_s()
        while not (self.caught_up and self.current_s >= started_s):
            left_s = started_s + timeout_s - get_elapsed_s()
            if left_s <= 0:
                return False
            self.read_now.set()
            if not await wait_for_event(self.answered, left_s):
                return False
        return True

    async def catch_up_quickly(self, timeout_s: float) -> bool:
        """Does the same as :meth:`catch_up`, by reads that return at once if nothing is new.

        This costs more reads, so it is for callers with little time.
        """
        self.hurried += 1
        try:
            return await self.catch_up(timeout_s)
        finally:
            self.hurried -= 1

    def get_age_s(self) -> float:
        """Returns the age of this node's copy of the log.

        It is the time since the last read that reached the end of the log was sent: every record
        that was in the log before is known.
        """
        return get_elapsed_s() - self.current_s
