"""The log of the platform stand-in: streams of records with offsets, retention and a rate limit."""

from dataclasses import dataclass, field

PAGE_RECORDS = 500


@dataclass(slots=True)
class Stream:
    """The retained records of one stream with their append times in seconds.

    ``first`` is the offset of the oldest record.
    """

    first: int = 0
    records: list[tuple[float, str]] = field(default_factory=list)


class LogStore:
    """Streams in memory, with a token bucket that limits appends.

    Records older than ``retention_s`` are dropped when their stream is read.
    """

    def __init__(self, appends_per_s: float, retention_s: float):
        self.appends_per_s = appends_per_s
        self.retention_s = retention_s
        self.streams: dict[str, Stream] = {}
        self.tokens = appends_per_s
        self.refilled_s = 0.0
        self.appends = 0

    def take_append_token(self, now_s: float) -> bool:
        """Takes a token for an append and returns whether the rate limit allows the append."""
        refill = (now_s - self.refilled_s) * self.appends_per_s
        self.tokens = min(self.appends_per_s, self.tokens + refill)
        self.refilled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.appends += 1
        return True

    def append(self, name: str, records: list[str], now_s: float) -> int:
        """Appends records and returns the offset of the first."""
        stream = self.streams.setdefault(name, Stream())
        offset = stream.first + len(stream.records)
        stream.records.extend((now_s, record) for record in records)
        return offset

    def read(self, name: str, start: int, now_s: float) -> tuple[int, int, list[str]]:
        """Returns the first retained offset, the offset read from and at most a page of records."""
        stream = self.streams.setdefault(name, Stream())
        self._drop_expired(stream, now_s)
        start = max(start, stream.first)
        first_index = start - stream.first
        page = [text for _, text in stream.records[first_index : first_index + PAGE_RECORDS]]
        return stream.first, start, page

    def _drop_expired(self, stream: Stream, now_s: float):
        count = 0
        for at_s, _ in stream.records:
            if at_s + self.retention_s >= now_s:
                break
            count += 1
        del stream.records[:count]
        stream.first += count
