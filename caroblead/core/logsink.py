"""Non-blocking log output: writes log lines to standard output without waiting for its reader.

Lines that can't be written at once are kept in a bounded buffer. Routine lines are rate limited per
second and message type, so that a burst of requests can't cause a burst of log lines. Lines about
failures, or about changes in what the process assumes of others, are not rate limited. Lines that
do not fit into the buffer or exceed the rate limit are dropped and counted, and the counts are
logged with the first message of a later second.
"""

import os
import time
from collections import Counter, deque

import eliot
import orjson

MAX_BUFFERED_BYTES = 1_000_000
ROUTINE_LINES_PER_S = 400
# Fields that the logging library adds and that are of no use in these log lines.
OMITTED_FIELDS = ("task_uuid", "task_level")


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
        """Writes or buffers a message; never blocks and never raises."""
        kind = message.get("message_type", "other")
        self._start_window()
        if message.pop("routine", False):
            self.lines[kind] += 1
            if self.lines[kind] > ROUTINE_LINES_PER_S:
                self.dropped[kind] += 1
                return
        self._enqueue(self._encode(message))
        self.flush()

    def _start_window(self):
        second = int(self.clock())
        if second == self.window_s:
            return
        self.window_s = second
        self.lines.clear()
        if self.dropped:
            counts, self.dropped = dict(self.dropped), Counter()
            self._enqueue(
                self._encode(
                    {"message_type": "log:dropped", "timestamp": time.time(), "lines": counts}
                )
            )

    def _encode(self, message: dict) -> bytes:
        for name in OMITTED_FIELDS:
            message.pop(name, None)
        message["node"] = self.node
        return orjson.dumps(message, default=str) + b"\n"

    def _enqueue(self, line: bytes):
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped["buffer_full"] += 1
            return
        self.buffer.append(line)
        self.buffered_bytes += len(line)

    def flush(self):
        """Writes buffered lines until the descriptor would block.

        Any other error of the descriptor discards the buffer.
        """
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
    """Writes all log messages of the process to a file descriptor as JSON lines."""
    sink = LogSink(descriptor, node)
    eliot.add_destinations(sink)
    return sink


def log(kind: str, **fields):
    """Logs a failure, a changed assumption about another process, or the state of a dependency."""
    eliot.log_message(kind, **fields)


def log_routine(kind: str, **fields):
    """Logs a decision on a request, within the rate limit of its message type."""
    eliot.log_message(kind, routine=True, **fields)
