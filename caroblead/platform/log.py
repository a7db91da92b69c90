"""Client of the platform's log store, which retains the newest record of each key."""

import base64
import math
import struct
from urllib.parse import quote

from ..core.logsink import log
from ..core.outcome import LogError
from ..dispatch.interface import (
    Batch,
    Fence,
    FencedError,
    HistoryGoneError,
    LogLimits,
    RecordsRefusedError,
)
from ..jobs.record import KeyedRecord
from .fields import check_object, check_text, read_list, read_text, read_whole
from .http import MAX_BODY_BYTES, CallFailedError, HttpClient, Reply

PRODUCER = "leader"
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
# The length of a key is written as one byte.
MAX_KEY_BYTES = 255
READ_TIMEOUT_MARGIN_S = 0.5
# Upper bound on the response of one read. A node that is far behind reads the log in several parts,
# and a slow link can transfer each part within the timeout of a read.
MAX_READ_KB = 128
# A read that hangs must end sooner than the node counts as connected again after a cut.
READ_NEWEST_TIMEOUT_S = 2.0
# The largest page of newest records, in base64.
MAX_PAGE_BYTES = 1_500_000
# The heartbeats of the leader wait behind an append for so long.
MAX_APPEND_TRANSFER_S = 0.25
# Other traffic of the node takes its part of the link.
TRANSFER_FACTOR = 2.0
# The store has appended nothing when it responds with one of these statuses.
REFUSED_STATUSES = frozenset({403, 404, 429, 503, 507})
# The same, and it will respond so to the same records whenever they are sent.
FINAL_STATUSES = frozenset({400, 413})


def compute_transfer_s(size_bytes: int, link_mbps: float) -> float:
    """Returns how long a response of this size may take on a link, in seconds."""
    return TRANSFER_FACTOR * size_bytes * 8 / (link_mbps * 1e6)


def _limit_to_link(limits: LogLimits, link_mbps: float) -> LogLimits:
    """Returns the limits with appends that the link transfers in time, if the records allow it."""
    transferred = int(MAX_APPEND_TRANSFER_S * link_mbps * 1e6 / 8 / TRANSFER_FACTOR)
    record_bytes = min(limits.record_bytes, limits.call_bytes)
    return LogLimits(record_bytes, max(record_bytes, min(limits.call_bytes, transferred)))


class PlatformLog:
    """Partition 0 of a topic in the platform's log store, read over a link of ``link_mbps``.

    ``limits`` are the sizes that the store accepts. An append holds no more than the link transfers
    in :data:`MAX_APPEND_TRANSFER_S`, unless a single record does.
    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        topic: str,
        link_mbps: float = 1000.0,
        limits: LogLimits = LogLimits(),
    ):
        self.http = http
        self.limits = _limit_to_link(limits, link_mbps)
        self.link_mbps = link_mbps
        record_transfer_s = compute_transfer_s(limits.record_bytes, link_mbps)
        self.read_margin_s = READ_TIMEOUT_MARGIN_S + record_transfer_s
        self.page_timeout_s = READ_NEWEST_TIMEOUT_S + compute_transfer_s(MAX_PAGE_BYTES, link_mbps)
        self.base_url = f"http://{address}/api"
        self.partition_query = f"topic={quote(topic)}&part=0"

    async def append(
        self, records: list[KeyedRecord], fence: Fence | None, timeout_s: float
    ) -> int:
        """Appends records and returns the offset of the first.

        See :class:`caroblead.dispatch.interface.KeyedLog`.
        """
        url = f"{self.base_url}/log-append?{self.partition_query}"
        if fence is not None:
            url += f"&producer={PRODUCER}&epoch={fence.term}&sequence={fence.sequence}"
        body = b"".join(map(_frame_record, records))
        timeout_s += compute_transfer_s(len(body), self.link_mbps)
        reply = await self._call("POST", url, timeout_s, body)
        if reply.status == 200:
            return self._decode_offset(reply)
        if reply.status in (409, 412):
            raise FencedError(reply.body.decode(errors="replace"))
        if reply.status in FINAL_STATUSES:
            raise RecordsRefusedError(f"log-append returned status {reply.status}")
        raise LogError(
            f"log-append returned status {reply.status}", reply.status not in REFUSED_STATUSES
        )

    async def read(self, offset: int, wait_s: float) -> Batch:
        """Reads records from an offset on; one read does not always reach the end of the log.

        See :class:`caroblead.dispatch.interface.KeyedLog`.
        """
        batch = await self._read(offset, wait_s, MAX_READ_KB)
        if batch.records or batch.end_offset <= offset:
            return batch
        # The next record alone is larger than the part that was asked for.
        return await self._read(
            offset, 0.0, MAX_READ_KB + math.ceil(self.limits.record_bytes / 1024)
        )

    async def _read(self, offset: int, wait_s: float, max_kb: int) -> Batch:
        url = (
            f"{self.base_url}/log-read?{self.partition_query}"
            f"&fromRevision={offset}&maxSizeKb={max_kb}"
        )
        if wait_s > 0:
            url += f"&waitMs={int(wait_s * 1000)}"
        reply = await self._call("GET", url, wait_s + self.read_margin_s)
        if reply.status == 410:
            raise HistoryGoneError(
                f"the requested records have expired (the store sent {reply.body!r})"
            )
        if reply.status != 200:
            raise LogError(f"log-read returned status {reply.status}", False)
        try:
            return parse_records(reply.body, offset)
        except (struct.error, ValueError) as error:
            raise LogError(f"log-read returned malformed records: {error}", False) from None

    async def read_newest(self) -> Batch:
        """Reads the newest record of every key, page by page.

        See :class:`caroblead.dispatch.interface.KeyedLog`.
        """
        entries, end_offset, after = [], None, None
        while True:
            url = f"{self.base_url}/log-newest?{self.partition_query}"
            if after is not None:
                url += f"&after={quote(after, safe='')}"
            reply = await self._call("GET", url, self.page_timeout_s)
            if reply.status != 200:
                raise LogError(f"log-newest returned status {reply.status}", False)
            try:
                page = self._decode(reply)
                # Records may be appended while the pages are read, so reading continues at the end
                # offset of the first page.
                end_offset = read_whole(page, "endOffset") if end_offset is None else end_offset
                items = read_list(page, "items")
                entries += _decode_items(items)
                if not page.get("hasMore") or not items:
                    break
                after = _find_last_key(items, after)
            except ValueError as error:
                raise LogError(f"log-newest returned a malformed page: {error}", False) from None
        entries.sort()
        records = [KeyedRecord(key, value) for _, key, value in entries]
        return Batch(records, end_offset, end_offset)

    async def _call(self, method: str, url: str, timeout_s: float, body=None) -> Reply:
        try:
            return await self.http.call(method, url, timeout_s, body)
        except CallFailedError as error:
            raise LogError(str(error), error.sent) from None

    def _decode_offset(self, reply: Reply) -> int:
        try:
            return read_whole(self._decode(reply), "offset")
        except ValueError as error:
            # The status says that the records were stored.
            raise LogError(f"log-append returned a malformed answer: {error}", True) from None

    def _decode(self, reply: Reply) -> dict:
        try:
            return reply.decode()
        except CallFailedError as error:
            raise LogError(str(error), True) from None


def _decode_items(items: list) -> list[tuple[int, str, bytes]]:
    """Returns the offset, the key and the value of each entry of a page of newest records.

    An odd entry is logged and left out.
    """
    entries = []
    for item in items:
        try:
            raw = check_object(item, "item")
            text = check_text(raw.get("value"), "value", MAX_BODY_BYTES)
            value = base64.b64decode(text, validate=True)
            entries.append((read_whole(raw, "offset"), read_text(raw, "key"), value))
        except ValueError as error:
            log("log:unreadable", error=str(error))
    return entries


def _find_last_key(items: list, before: str | None) -> str:
    """Returns the last key of a page, after which the next page begins.

    An odd entry is passed over, as if the page ended before it. Raises ``ValueError`` if no key is
    left with which the pages go on.
    """
    for item in reversed(items):
        try:
            key = read_text(check_object(item, "item"), "key")
        except ValueError:
            continue
        if key != before:
            return key
    raise ValueError("key: the page does not go on from the one before")


def _frame_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    if len(key) > MAX_KEY_BYTES:
        raise RecordsRefusedError(f"the key of a record has {len(key)} bytes")
    return (
        RECORD_LENGTH.pack(1 + len(key) + len(record.value))
        + bytes((len(key),))
        + key
        + record.value
    )


def parse_records(body: bytes, offset: int) -> Batch:
    """Decodes the body of a response to log-read; its first record is at ``offset``.

    The body holds the end offset of the log, the first retained offset, and then the records. Each
    record is preceded by its length and consists of the length of the key, the key and the value.
    One that doesn't is taken for a record without a key, since readers count the records.
    """
    end_offset, _ = READ_HEADER.unpack_from(body)
    position, records = READ_HEADER.size, []
    while position < len(body):
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        record = body[position : position + size]
        if len(record) < size:
            raise ValueError("the last record is cut short")
        position += size
        records.append(_parse_record(record))
    return Batch(records, offset + len(records), end_offset)


def _parse_record(record: bytes) -> KeyedRecord:
    key_end = 1 + record[0] if record else 1
    if key_end > len(record):
        log("log:unreadable", size=len(record))
        return KeyedRecord("", b"")
    return KeyedRecord(record[1:key_end].decode(errors="replace"), record[key_end:])
