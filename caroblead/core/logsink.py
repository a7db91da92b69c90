"""Writes log lines to standard output without ever waiting for its reader.

Lines that can't be written at once are kept in a bounded buffer; what does not fit is counted and
the count is written as soon as there is room. Routine lines have a budget a second for each kind,
so that a flood of requests can't turn into a flood of lines; lines of failures and of beliefs are
not limited by it.
"""

import os
import time
from collections import Counter, deque

import eliot
import orjson

MAX_BUFFERED_BYTES = 1_000_000
ROUTINE_LINES_PER_S = 400
# Fields of the logging library that say nothing to a reader here.
DROPPED_FIELDS = ("task_uuid", "task_level")


class LogSink:
    """A destination for log messages that writes JSON lines to a file descriptor."""

    def __init__(self, descriptor: int, node: str, clock=time.monotonic):
        self.descriptor = descriptor
        self.node = node
        self.clock = clock
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.window_s = 0
        self.lines: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict):
        """Takes a message; never blocks and never raises."""
        kind = message.get("message_type", "other")
        self._start_window()
        if message.pop("routine", False):
            self.lines[kind] += 1
            if self.lines[kind] > ROUTINE_LINES_PER_S:
                self.dropped[kind] += 1
                return
        self._put(self._encode(message))
        self.flush()

    def _start_window(self):
        second = int(self.clock())
        if second == self.window_s:
            return
        self.window_s = second
        self.lines.clear()
        if self.dropped:
            counts, self.dropped = dict(self.dropped), Counter()
            self._put(
                self._encode(
                    {"message_type": "log:dropped", "timestamp": time.time(), "lines": counts}
                )
            )

    def _encode(self, message: dict) -> bytes:
        for name in DROPPED_FIELDS:
            message.pop(name, None)
        message["node"] = self.node
        return orjson.dumps(message, default=str) + b"\n"

    def _put(self, line: bytes):
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped["buffer_full"] += 1
            return
        self.buffer.append(line)
        self.buffered_bytes += len(line)

    def flush(self):
        """Writes as much as the reader takes."""
        while self.buffer:
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()


def install_sink(node: str, descriptor: int = 1) -> LogSink:
    """Sends all log messages of the process to a descriptor as JSON lines."""
    sink = LogSink(descriptor, node)
    eliot.add_destinations(sink)
    return sink


def log(kind: str, **fields):
    """Writes a line about a failure, a belief or a dependency."""
    eliot.log_message(kind, **fields)


def log_routine(kind: str, **fields):
    """Writes a line about a decision on a request, within the budget of its kind."""
    eliot.log_message(kind, routine=True, **fields)
