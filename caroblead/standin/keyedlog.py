"""One topic of the platform stand-in's in-memory store.

It keeps the newest record of each key, fences appends of earlier terms and can inject the faults of
a store: unavailability, lost responses, and appends that are executed late. A caller can be frozen:
its calls are sent, and the responses to it delivered, only once it is thawed.
"""

import asyncio
from dataclasses import dataclass, field

from ..core.outcome import LogError
from ..core.timer import wait_for_event
from ..dispatch.interface import (
    Batch,
    Fence,
    FencedError,
    HistoryGoneError,
    LogLimits,
    RecordsRefusedError,
)
from ..jobs.record import KeyedRecord
from .limits import MAX_STORED_BYTES

RESPONSE_DELAY_S = 0.004
# The store deduplicates: a retry of one of this many latest appends gets the original offset.
MAX_CACHED_OFFSETS = 5
FROZEN_POLL_S = 0.02


@dataclass(slots=True)
class CallerFaults:
    """The injected faults of one caller and of its connection to the store.

    ``down`` refuses its calls, ``silent`` drops them without a response, and ``frozen`` pauses the
    caller. ``lost_answers`` is the number of next appends that take effect without a response.
    ``late_s`` is the delay of its appends in seconds, which then get no response either. On a slow
    link a read returns ``max_read_records`` at most and takes ``read_delay_s`` longer; 0 means no
    limit. An append reaches the store ``append_delay_s`` after it was made, as that of a process
    that gets little processor time.
    """

    down: bool = False
    silent: bool = False
    lost_answers: int = 0
    late_s: float = 0.0
    frozen: bool = False
    max_read_records: int = 0
    read_delay_s: float = 0.0
    append_delay_s: float = 0.0

    async def wait_while_frozen(self):
        """Returns once the caller is not frozen."""
        while self.frozen:
            await asyncio.sleep(FROZEN_POLL_S)


@dataclass(slots=True)
class MemoryTopic:
    """The records of a topic, and the term and sequence number that fence appends to it.

    ``newest`` maps each key to the offset and value of its newest record, and ``appended`` is set
    and replaced by every append. Records beyond the ``limits`` are refused, and ``stored_bytes`` is
    the size of the newest records.
    """

    limits: LogLimits = LogLimits()
    stored_bytes: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    cached_offsets: dict[int, int] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """The offset that the next appended record will get."""
        return self.first_offset + len(self.records)

    def append(self, records: list[KeyedRecord], fence: Fence | None) -> int:
        """Appends records and returns the offset of the first, or raises :class:`FencedError`.

        Within a term appends must come in sequence; a retry of a recent one changes nothing. Raises
        :class:`RecordsRefusedError` for records beyond the limits.
        """
        self.check_sizes(records)
        if fence is not None:
            if fence.term < self.epoch:
                raise FencedError("fenced")
            if fence.term > self.epoch:
                self.epoch, self.sequence = fence.term, fence.sequence - 1
                self.cached_offsets.clear()
            if fence.sequence in self.cached_offsets:
                return self.cached_offsets[fence.sequence]
            if fence.sequence != self.sequence + 1:
                raise FencedError(f"expected {self.sequence + 1}")
            self.sequence = fence.sequence
            self.cached_offsets[fence.sequence] = self.end_offset
            self.cached_offsets.pop(fence.sequence - MAX_CACHED_OFFSETS, None)
        offset = self.end_offset
        for record in records:
            _, before = self.newest.pop(record.key, (0, b""))
            if record.value:
                self.newest[record.key] = (self.end_offset, record.value)
            self.stored_bytes += len(record.value) - len(before)
            self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def check_sizes(self, records: list[KeyedRecord]):
        """Raises ``LogError`` if the store takes no records of these sizes."""
        sizes = [record.size for record in records]
        if sizes and max(sizes) > self.limits.record_bytes:
            largest = max(records, key=lambda record: record.size)
            raise RecordsRefusedError(f"{largest.key} has {largest.size} bytes")
        if sum(sizes) > self.limits.call_bytes:
            raise RecordsRefusedError(f"the records have {sum(sizes)} bytes")
        if self.stored_bytes + sum(sizes) > MAX_STORED_BYTES:
            raise LogError("the store is full", False)

    def drop_history(self):
        """Drops all records from the history but keeps the newest record of each key."""
        self.first_offset, self.records = self.end_offset, []


class MemoryLog:
    """One caller's client of a topic, subject to the faults injected for that caller."""

    def __init__(self, topic: MemoryTopic, caller_faults: CallerFaults):
        self.topic = topic
        self.caller_faults = caller_faults
        self.limits = topic.limits

    async def append(self, records, fence, timeout_s: float) -> int:
        """Appends records; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        await asyncio.sleep(self.caller_faults.append_delay_s)
        await self._check_link(timeout_s)
        self.topic.check_sizes(records)
        if self.caller_faults.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.caller_faults.late_s, self._append_late, records, fence)
            await asyncio.sleep(timeout_s)
            raise LogError("no response from the store", True)
        offset = self.topic.append(records, fence)
        await self.caller_faults.wait_while_frozen()
        if self.caller_faults.lost_answers > 0:
            self.caller_faults.lost_answers -= 1
            await asyncio.sleep(timeout_s)
            raise LogError("no response from the store", True)
        return offset

    def _append_late(self, records, fence):
        try:
            self.topic.append(records, fence)
        except (FencedError, LogError):
            pass

    async def read(self, offset: int, wait_s: float) -> Batch:
        """Reads from an offset on; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        await self._check_link(wait_s + 0.5)
        topic = self.topic
        if offset < topic.first_offset:
            raise HistoryGoneError("gone")
        if offset >= topic.end_offset and wait_s > 0:
            await wait_for_event(topic.appended, wait_s)
            await self._check_link(0.5)
        if offset < topic.first_offset:
            raise HistoryGoneError("gone")
        end_offset = topic.end_offset
        records = topic.records[offset - topic.first_offset :]
        if self.caller_faults.max_read_records:
            records = records[: self.caller_faults.max_read_records]
        await asyncio.sleep(self.caller_faults.read_delay_s)
        await self.caller_faults.wait_while_frozen()
        return Batch(records, offset + len(records), end_offset)

    async def read_newest(self) -> Batch:
        """Reads the newest records; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        await self._check_link(1.0)
        topic = self.topic
        newest_by_offset = sorted(
            (offset, key, value) for key, (offset, value) in topic.newest.items()
        )
        records = [KeyedRecord(key, value) for _, key, value in newest_by_offset]
        return Batch(records, topic.end_offset, topic.end_offset)

    async def _check_link(self, timeout_s: float):
        await self.caller_faults.wait_while_frozen()
        if self.caller_faults.silent:
            await asyncio.sleep(timeout_s)
            raise LogError("no response from the store", True)
        await asyncio.sleep(RESPONSE_DELAY_S)
        if self.caller_faults.down:
            raise LogError("store refused the call", False)
