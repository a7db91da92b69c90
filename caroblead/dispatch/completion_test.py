"""Tests of how the ends of runs are counted, also across a change of the leader."""

from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, JobState, Progress, StepSpec
from ..jobs.progressrecord import decode_progress, encode_progress
from .completion import settle_end
from .fleet import Run
from .interface import EndReason
from .planning_test import make_fleet
from .work import add_run, open_due_occurrences, open_job, snapshot_progress

QUEUE = JobQueue("q", "h", "/p/", "s", max_attempts=2)
GANG = Job("a", "t", QUEUE, JobSpec("", (StepSpec(2, Resources(1000, 1), gang=True),)), 1.0)


def open_gang(progress=None):
    """Returns the step of a gang of two, new or as a new leader takes it over."""
    work = open_job(GANG, progress or Progress())
    open_due_occurrences(work, 1.0)
    return work.steps[0, 0]


def start_run(step, index, number):
    row = make_fleet(2).rows[f"v{index}"]
    run = Run(step.make_task_name(index), number, row, "t", step.spec.need)
    add_run(step, run)
    return run


def hand_over(step):
    """Returns the step as the next leader reads it, with the runs whose end wasn't recorded."""
    step.work.state = JobState.RUNNING
    progress = decode_progress(encode_progress(snapshot_progress(step.work), 1.0))
    found = open_gang(progress)
    runs = [start_run(found, item.task, item.number) for item in progress.steps[0, 0].runs]
    return found, runs


def test_members_of_one_gang_run_that_fail_under_two_leaders_count_as_one_attempt():
    step = open_gang()
    first, _ = start_run(step, 0, 1), start_run(step, 1, 1)
    settle_end(step, first, EndReason.FAILED, "")
    step, (second,) = hand_over(step)
    settle_end(step, second, EndReason.FAILED, "")
    assert step.work.state is not JobState.FAILED
    assert step.step_progress.failures == {0: 1}


def test_next_run_of_a_gang_that_fails_under_the_next_leader_counts_again():
    step = open_gang()
    for index in (0, 1):
        settle_end(step, start_run(step, index, 1), EndReason.FAILED, "")
    step, _ = hand_over(step)
    settle_end(step, start_run(step, 0, 2), EndReason.FAILED, "")
    assert step.work.state is JobState.FAILED
