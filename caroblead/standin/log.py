"""The stand-in's log: streams of records with offsets, retention and an append limit."""

from dataclasses import dataclass, field

PAGE_RECORDS = 500


@dataclass(slots=True)
class Stream:
    """The retained records of one stream; ``first`` is the offset of the oldest."""

    first: int = 0
    records: list[tuple[float, str]] = field(default_factory=list)


class LogStore:
    """Streams in memory. Appends over the limit are refused, old records are dropped."""

    def __init__(self, appends_per_s: float, retention_s: float):
        self.appends_per_s = appends_per_s
        self.retention_s = retention_s
        self.streams: dict[str, Stream] = {}
        self.allowance = appends_per_s
        self.allowance_s = 0.0
        self.appends = 0

    def take_append(self, now_s: float) -> bool:
        """Counts an append against the limit; returns whether it may go ahead."""
        gained = (now_s - self.allowance_s) * self.appends_per_s
        self.allowance = min(self.appends_per_s, self.allowance + gained)
        self.allowance_s = now_s
        if self.allowance < 1:
            return False
        self.allowance -= 1
        self.appends += 1
        return True

    def append(self, name: str, records: list[str], now_s: float) -> int:
        """Appends records and returns the offset of the first."""
        stream = self.streams.setdefault(name, Stream())
        offset = stream.first + len(stream.records)
        stream.records.extend((now_s, record) for record in records)
        return offset

    def read(self, name: str, start: int, now_s: float) -> tuple[int, int, list[str]]:
        """Returns the first retained offset, the offset read from and up to a page of records."""
        stream = self.streams.setdefault(name, Stream())
        self._expire(stream, now_s)
        start = max(start, stream.first)
        begin = start - stream.first
        page = [text for _, text in stream.records[begin : begin + PAGE_RECORDS]]
        return stream.first, start, page

    def _expire(self, stream: Stream, now_s: float):
        count = 0
        for at_s, _ in stream.records:
            if at_s + self.retention_s >= now_s:
                break
            count += 1
        del stream.records[:count]
        stream.first += count
