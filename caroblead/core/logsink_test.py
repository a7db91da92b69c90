"""Tests of the log sink: JSON lines, the limit on routine lines, and a reader that never reads."""

import json
import os

from .logsink import MAX_BUFFERED_BYTES, ROUTINE_LINES_PER_S, LogSink


def make_sink(now):
    reader, writer = os.pipe()
    return LogSink(writer, "n", clock=lambda: now[0]), reader


def read_lines(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_line_has_its_fields_and_the_node():
    sink, reader = make_sink([1.0])
    sink({"message_type": "job:accepted", "job": "a", "task_uuid": "x", "task_level": [1]})
    assert read_lines(reader) == [{"message_type": "job:accepted", "job": "a", "node": "n"}]


def test_routine_lines_past_the_budget_are_counted_and_others_are_kept():
    now = [1.0]
    sink, reader = make_sink(now)
    for _ in range(ROUTINE_LINES_PER_S + 7):
        sink({"message_type": "x", "routine": True})
    sink({"message_type": "failure"})
    now[0] = 2.0
    sink({"message_type": "x", "routine": True})
    lines = read_lines(reader)
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("x") == ROUTINE_LINES_PER_S + 1
    assert "failure" in kinds
    dropped = [line for line in lines if line["message_type"] == "log:dropped"]
    assert dropped[0]["lines"] == {"x": 7}


def test_reader_that_never_reads_blocks_nothing_and_bounds_the_buffer():
    sink, _ = make_sink([1.0])
    for _ in range(5000):
        sink({"message_type": "failure", "detail": "y" * 1000})
    assert sink.buffered_bytes <= MAX_BUFFERED_BYTES
    assert sink.dropped["buffer_full"] > 0
