"""Tests of the causes to which late and lost jobs are put down."""

import pytest

from .jobtrace_test import make_line
from .losses import Cause, Grouping, Loss, collect_losses, encode_losses, format_losses

TARGET_S = 1.0


def make_job(job="aa", accepted_s=10.0, advised_s=0.1, placed_s=0.2, ended_s=0.8, shown_s=0.9):
    """Returns the lines of a job; the moments are in seconds after its acceptance."""
    at_s, task = accepted_s, f"{job}.0.0.0"
    due_in_s = TARGET_S - placed_s
    return [
        make_line(at_s, "n1", "job:accepted", job=job, queue="q", team="t"),
        make_line(at_s + advised_s, "n2", "advice:got", step=f"{job}.0.0", vms=4, allowed=2),
        make_line(
            at_s + placed_s, "n2", "task:placed", task=task, run=1, vm="v", due_in_s=due_in_s
        ),
        make_line(at_s + placed_s, "n2", "task:started", task=task, run=1, vm="v"),
        make_line(at_s + ended_s, "n2", "job:ended", job=job, state="done"),
        make_line(at_s + shown_s, "n1", "job:shown", job=job, state="done"),
    ]


def judge_one(lines):
    (item,) = collect_losses(lines).jobs
    return item.loss, item.cause


def make_end(at_s, reason):
    return make_line(
        at_s, "n2", "task:ended", task="aa.0.0.0", run=1, vm="v", reason=reason, wanted=True
    )


def test_job_shown_by_its_due_time_is_in_time():
    assert judge_one(make_job()) == (Loss.IN_TIME, None)


@pytest.mark.parametrize(
    ("moments", "expected"),
    [
        ({"shown_s": 1.5}, (Loss.LATE, Cause.SHOWN_LATE)),
        ({"advised_s": 1.0, "placed_s": 1.1, "ended_s": 1.7, "shown_s": 1.8}, Cause.ADVICE),
        ({"placed_s": 1.3, "ended_s": 1.9, "shown_s": 2.0}, Cause.ROOM),
        ({"ended_s": 2.4, "shown_s": 2.5}, Cause.WORK),
        ({"ended_s": 1.1, "shown_s": 9.0}, (Loss.LOST, Cause.SHOWN_LATE)),
    ],
)
def test_job_is_put_down_to_the_stage_that_took_longest(moments, expected):
    loss, cause = judge_one(make_job(**moments))
    assert (loss, cause) == (expected if isinstance(expected, tuple) else (Loss.LATE, expected))


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (make_end(10.6, "failed"), Cause.RUN_FAILED),
        (make_end(10.6, "lapsed"), Cause.VM_LOST),
        (make_end(10.6, "broken"), Cause.GANG_BROKEN),
        (make_line(10.6, "n2", "task:evicted", task="aa.0.0.0", run=1, vm="v"), Cause.EVICTED),
        (make_line(10.6, "n2", "task:gone", task="aa.0.0.0", run=1, vm="v"), Cause.VM_LOST),
    ],
)
def test_job_is_put_down_to_the_run_that_ended_without_success(line, cause):
    assert judge_one([*make_job(ended_s=2.0, shown_s=2.1), line]) == (Loss.LATE, cause)


def test_job_of_which_no_task_was_placed_is_lost():
    assert judge_one(make_job()[:2]) == (Loss.LOST, Cause.NOT_PLACED)


def test_cancelled_jobs_and_lines_of_other_kinds_do_not_count():
    lines = [*make_job(), make_line(10.5, "n1", "job:cancelled", job="aa"), "no log line", ""]
    assert collect_losses(lines).jobs == []


def test_order_of_the_files_does_not_matter():
    lines = make_job(shown_s=1.5)
    assert judge_one(reversed(lines)) == judge_one(lines)


def test_table_tells_the_groups_and_how_many_lines_were_dropped():
    dropped = make_line(12.0, "n1", "log:dropped", lines={"task:placed": 9, "x": 3})
    report = collect_losses([*make_job(), *make_job("bb", 13.5, shown_s=1.5), dropped])
    header, lost, in_time, total = format_losses(report, Grouping.SECOND)
    assert lost.split() == ["3", "done,", "shown", "late", "0", "1", "0"]
    assert in_time.split() == ["0", "1", "0", "0"]
    assert "2 jobs" in total and "48.0% of the lines dropped" in total
    assert encode_losses(report, Grouping.TEAM)[0]["team"] == "t"
