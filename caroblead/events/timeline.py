"""Writes, reads and merges the events of many processes.

Every process keeps a logical clock, whose value is sent with each message between processes, so
that an effect always has a higher clock value than its cause. Merged histories are ordered by that
clock; a difference between the processes' times of day does no harm.
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

MAX_MEMORY_EVENTS = 200_000


@dataclass(slots=True, frozen=True)
class Record:
    """An event with its position in the history."""

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
        self.records: deque[Record] = deque(maxlen=MAX_MEMORY_EVENTS)
        self.file = open(path, "a", buffering=1) if path else None

    def emit(self, event: object):
        """Advances the logical clock and records an event at its new value."""
        self.sequence += 1
        clock = self.clock.advance()
        record = Record(clock, round(self.now(), 6), self.node, self.sequence, event)
        if self.file is None:
            self.records.append(record)
        else:
            self.file.write(encode_record(record) + "\n")

    def close(self):
        """Closes the event file, if there is one."""
        if self.file:
            self.file.close()
            self.file = None


def encode_record(record: Record) -> str:
    """Encodes a record as a line of JSON."""
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
    """Decodes a record from a line of JSON."""
    raw = json.loads(line)
    event_class = EVENTS[raw["event"]]
    names = [field.name for field in dataclasses.fields(event_class)]
    event = event_class(**{name: raw[name] for name in names})
    return Record(raw["clock"], raw["at"], raw["node"], raw["seq"], event)


def read_records(paths: Iterable[str]) -> Checked:
    """Reads the event files of many processes and returns the merged history with all errors.

    A line that can't be decoded, such as the incomplete last line of a process that was killed, is
    reported as an error and skipped.
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
    """Sorts records in causal order: by logical clock, then node and sequence number."""
    return sorted(records, key=lambda record: (record.clock, record.node, record.sequence))
