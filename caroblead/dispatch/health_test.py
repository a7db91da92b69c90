"""Tests that VMs that fail, stall or slow down are detected and get tasks again later."""

from ..core.resource import Resources
from .fleet import Run, RunPhase, VmRow
from .health import HealthTable, is_slow, mark_slow, record_end, record_progress
from .interface import EndReason, ListedVm, RunningTask, TaskName


def make_row(name="v"):
    listed = ListedVm(name, 1, "s", "a:1", "z", "r", (), Resources(1000, 1000), False)
    return VmRow(name, listed, 1, listed.capacity)


def make_run(row, job="j", started_s=1.0):
    task = TaskName(job, 0, 0, 0)
    run = Run(task, 1, row, "t", Resources(1), RunPhase.RUNNING, started_s=started_s)
    run.estimate_s, run.expects_progress = 1.0, True
    return run


def test_vm_on_which_three_jobs_failed_in_a_row_is_avoided():
    table, row = HealthTable(), make_row()
    for job in ("a", "b"):
        assert not record_end(table, row, make_run(row, job), EndReason.FAILED, 1.0)
    assert record_end(table, row, make_run(row, "c"), EndReason.FAILED, 1.0)
    assert row.avoid_until_s > 1.0
    record_end(table, row, make_run(row, "d"), EndReason.DONE, 9.0)
    assert not record_end(table, row, make_run(row, "e"), EndReason.FAILED, 9.0)


def test_slow_vm_is_found_against_the_others_and_tried_again():
    table = HealthTable()
    for name, took_s in (("a", 2.0), ("b", 2.2), ("c", 1.9), ("slow", 7.0)):
        row = make_row(name)
        for _ in range(4):
            record_end(table, row, make_run(row), EndReason.DONE, took_s)
    assert mark_slow(table, 10.0) == ["slow"]
    assert is_slow(table, "slow", 11.0)
    assert not is_slow(table, "slow", 30.0)
    assert mark_slow(table, 30.0) == []


def test_run_of_a_former_term_does_not_count_toward_the_speed_of_its_vm():
    table = HealthTable()
    for name in ("a", "b", "c", "d"):
        row = make_row(name)
        for _ in range(4):
            started_s = 0.0 if name == "d" else 5000.0
            record_end(table, row, make_run(row, started_s=started_s), EndReason.DONE, 5001.0)
    assert mark_slow(table, 5002.0) == []


def test_run_is_compared_with_what_is_learned_and_not_with_its_estimate():
    """Guards against a VM that counts as slow because it got the jobs with the worst estimates."""
    table = HealthTable()
    for name, estimate_s, took_s in (
        ("a", 2.0, 2.0),
        ("b", 2.0, 2.1),
        ("c", 0.5, 2.0),
        ("d", 2.0, 8.0),
    ):
        row = make_row(name)
        for _ in range(4):
            run = make_run(row, started_s=1.0)
            run.estimate_s, run.expected_s = estimate_s, 2.0
            record_end(table, row, run, EndReason.DONE, 1.0 + took_s)
    assert mark_slow(table, 10.0) == ["d"]


def test_run_that_saved_a_checkpoint_counts_if_it_was_not_resumed_from_one():
    for resumed, samples in ((False, 1), (True, 0)):
        table, row = HealthTable(), make_row()
        run = make_run(row)
        run.expected_s, run.checkpoint, run.resumed = 2.0, "saved", resumed
        record_end(table, row, run, EndReason.DONE, 2.0)
        assert sum(speed.samples for speed in table.speeds.values()) == samples


def test_run_without_progress_over_several_polls_is_stalled():
    row = make_row()
    run = make_run(row)

    def poll(percent, now_s):
        return record_progress(run, RunningTask(run.task, 1, "", percent), now_s)

    assert not any(poll(percent, now_s) for percent, now_s in ((10, 1.0), (20, 1.7), (20, 2.4)))
    assert not poll(20, 3.0)
    assert poll(20, 3.7)
    assert not poll(21, 4.4)
