"""Tests of collecting the log lines of one job over all processes."""

import json

from .jobtrace import collect_job_trace, format_job_trace


def make_line(at_s, node, kind, **fields):
    return json.dumps({"timestamp": at_s, "node": node, "message_type": kind, **fields})


SOURCES = [
    (
        "n1.log",
        [
            make_line(10.0, "n1", "job:accepted", job="aa", queue="q"),
            "not a log line",
            make_line(10.2, "n1", "job:accepted", job="bb", queue="q"),
            make_line(12.9, "n1", "job:shown", job="aa", state="done"),
        ],
    ),
    (
        "n2.log",
        [
            "  3.1 n2 " + make_line(10.1, "n2", "task:placed", task="aa.0.0.1", run=1, vm="v"),
            make_line(11.0, "n2", "leader:lost", term=3),
            make_line(12.8, "n2", "job:ended", job="aa", state="done"),
        ],
    ),
]


def test_lines_of_one_job_are_sorted_by_time_over_all_files():
    trace = collect_job_trace("aa", SOURCES)
    assert [line.kind for line in trace.lines] == [
        "job:accepted",
        "task:placed",
        "job:ended",
        "job:shown",
    ]
    assert dict(trace.skipped_lines) == {"n1.log": 1}


def test_gap_is_shown_with_background_lines_in_it():
    output_lines = format_job_trace(collect_job_trace("aa", SOURCES))
    gap = next(
        number for number, text in enumerate(output_lines) if "2.700 s without a line" in text
    )
    assert "leader:lost" in output_lines[gap + 1]
    assert "0.100 n2" in output_lines[1]


def test_unfinished_job_is_noted_and_unknown_job_has_no_lines():
    assert (
        format_job_trace(collect_job_trace("bb", SOURCES))[-1].strip()
        == "nothing more is known of it"
    )
    assert format_job_trace(collect_job_trace("cc", SOURCES)) == []
