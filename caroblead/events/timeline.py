"""Writing, reading and merging the events of many processes.

Every process keeps a logical clock that each message between processes carries, so that an effect
always has a higher clock than its cause. Merged histories are ordered by that clock; the time of
day of the processes may differ without harm.
"""

import dataclasses
import json
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..core.outcome import Checked, Fault, Reason, Step
from .clock import LogicalClock
from .event import EVENTS

MEMORY_EVENTS = 200_000


@dataclass(slots=True, frozen=True)
class Record:
    """An event with its place in the history."""

    clock: int
    at_s: float
    node: str
    sequence: int
    event: object


class Timeline:
    """The events of one process, kept in memory or written to a file as JSON lines."""

    def __init__(self, node: str, path: str = "", now=time.time):
        self.node = node
        self.clock = LogicalClock()
        self.now = now
        self.sequence = 0
        self.records: deque[Record] = deque(maxlen=MEMORY_EVENTS)
        self.file = open(path, "a", buffering=1) if path else None

    def emit(self, event: object):
        """Adds an event at the present clock."""
        self.sequence += 1
        clock = self.clock.advance()
        record = Record(clock, round(self.now(), 6), self.node, self.sequence, event)
        if self.file is None:
            self.records.append(record)
        else:
            self.file.write(encode_record(record) + "\n")

    def close(self):
        """Closes the file."""
        if self.file:
            self.file.close()
            self.file = None


def encode_record(record: Record) -> str:
    """Writes a record as a line of JSON."""
    line = {
        "clock": record.clock,
        "at": record.at_s,
        "node": record.node,
        "seq": record.sequence,
        "event": type(record.event).__name__,
    }
    for field in dataclasses.fields(record.event):
        line[field.name] = getattr(record.event, field.name)
    return json.dumps(line, separators=(",", ":"))


def decode_record(line: str) -> Record:
    """Reads a record from a line of JSON."""
    raw = json.loads(line)
    event_class = EVENTS[raw["event"]]
    names = [field.name for field in dataclasses.fields(event_class)]
    event = event_class(**{name: raw[name] for name in names})
    return Record(raw["clock"], raw["at"], raw["node"], raw["seq"], event)


def read_records(paths: Iterable[str]) -> Checked:
    """Reads the files of many processes and returns the merged history with its errors.

    A last line that a killed process left half written is reported and passed over.
    """
    records, faults = [], []
    for path in paths:
        for number, line in enumerate(Path(path).read_text().splitlines(), start=1):
            try:
                records.append(decode_record(line))
            except (ValueError, KeyError, TypeError) as error:
                detail = f"line {number}: {type(error).__name__}: {error}"
                faults.append(Fault(Reason.BAD_INPUT, Step.READ_INPUT, str(path), detail))
    return Checked(merge_records(records), faults)


def merge_records(records: Iterable[Record]) -> list[Record]:
    """Returns records in causal order: by clock, then node and sequence."""
    return sorted(records, key=lambda record: (record.clock, record.node, record.sequence))
