"""The platform's store as a log that keeps the newest record of each key."""

import base64
import struct
from urllib.parse import quote

from ..dispatch.interface import Batch, Fence, FencedError, HistoryGoneError
from ..fleet.interface import LogError
from ..jobs.record import KeyedRecord
from .http import CallFailedError, HttpClient, Reply

PRODUCER = "leader"
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
READ_SLACK_S = 0.5
# The most that one read may bring: a node that is far behind reads on in parts, each of which a
# thin link carries within the time limit of a read.
READ_KB = 128
NEWEST_TIMEOUT_S = 5.0
REFUSED_STATUSES = frozenset({429, 503, 507})


class PlatformLog:
    """One partition of a topic in the platform's store."""

    def __init__(self, http: HttpClient, address: str, topic: str):
        self.http = http
        self.base = f"http://{address}/api"
        self.place = f"topic={quote(topic)}&part=0"

    async def append(
        self, records: list[KeyedRecord], fence: Fence | None, timeout_s: float
    ) -> int:
        """Appends records; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        url = f"{self.base}/log-append?{self.place}"
        if fence is not None:
            url += f"&producer={PRODUCER}&epoch={fence.term}&sequence={fence.sequence}"
        body = b"".join(map(_frame_record, records))
        reply = await self._call("POST", url, timeout_s, body)
        if reply.status == 200:
            return int(self._decode(reply)["offset"])
        if reply.status in (409, 412):
            raise FencedError(reply.body.decode(errors="replace"))
        raise LogError(f"append got {reply.status}", reply.status not in REFUSED_STATUSES)

    async def read(self, offset: int, wait_s: float) -> Batch:
        """Reads on from an offset; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        url = f"{self.base}/log-read?{self.place}&fromRevision={offset}&maxSizeKb={READ_KB}"
        if wait_s > 0:
            url += f"&waitMs={int(wait_s * 1000)}"
        reply = await self._call("GET", url, wait_s + READ_SLACK_S)
        if reply.status == 410:
            raise HistoryGoneError(f"records before {reply.body!r} are gone")
        if reply.status != 200:
            raise LogError(f"read got {reply.status}", False)
        try:
            return parse_records(reply.body, offset)
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise LogError(f"unreadable records: {error}", False) from None

    async def read_newest(self) -> Batch:
        """Reads all keys; see :class:`caroblead.dispatch.interface.KeyedLog`."""
        found, end_offset, after = [], None, None
        while True:
            url = f"{self.base}/log-newest?{self.place}"
            if after is not None:
                url += f"&after={quote(after, safe='')}"
            reply = await self._call("GET", url, NEWEST_TIMEOUT_S)
            if reply.status != 200:
                raise LogError(f"newest got {reply.status}", False)
            page = self._decode(reply)
            # Pages are read one after the other, so reading on starts where the first one ended.
            end_offset = page["endOffset"] if end_offset is None else end_offset
            found += [(item["offset"], item["key"], item["value"]) for item in page["items"]]
            if not page.get("hasMore") or not page["items"]:
                break
            after = page["items"][-1]["key"]
        found.sort()
        records = [KeyedRecord(key, base64.b64decode(value)) for _, key, value in found]
        return Batch(records, end_offset, end_offset)

    async def _call(self, method: str, url: str, timeout_s: float, body=None) -> Reply:
        try:
            return await self.http.call(method, url, timeout_s, body)
        except CallFailedError as error:
            raise LogError(str(error), error.sent) from None

    def _decode(self, reply: Reply) -> dict:
        try:
            return reply.decode()
        except CallFailedError as error:
            raise LogError(str(error), True) from None


def _frame_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return LENGTH.pack(1 + len(key) + len(record.value)) + bytes((len(key),)) + key + record.value


def parse_records(body: bytes, offset: int) -> Batch:
    """Reads the body of an answer: the end, the first retained offset, then framed records."""
    end_offset, _ = OFFSETS.unpack_from(body)
    position, records = OFFSETS.size, []
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        record = body[position : position + size]
        position += size
        key_end = 1 + record[0]
        records.append(KeyedRecord(record[1:key_end].decode(), record[key_end:]))
    return Batch(records, offset + len(records), end_offset)
