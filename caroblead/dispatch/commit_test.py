"""Tests of the commit queue: order, retries, fencing, and what counts as recorded."""

import asyncio

import pytest

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, JobState, Progress, StepSpec
from ..jobs.progressrecord import read_state
from ..standin.keyedlog import CallerFaults, MemoryLog, MemoryTopic
from .commit import CommitQueue
from .work import open_due_occurrences, open_job


def make_work(name="a"):
    spec = JobSpec("", (StepSpec(1, Resources(1)),))
    work = open_job(Job(name, "t", JobQueue("q", "h", "/p/", "s"), spec, 1.0), Progress())
    open_due_occurrences(work, 1.0)
    return work


def play(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        use_clocks(loop.time, loop.time)
        topic, caller_faults, lost = MemoryTopic(), CallerFaults(), []
        commit = CommitQueue(MemoryLog(topic, caller_faults), 1, loop.time(), lost.append)
        task = asyncio.create_task(commit.run())
        try:
            await scenario(commit, topic, caller_faults, lost)
        finally:
            task.cancel()
            use_system_clocks()

    run_in_virtual_time(main())


def test_decision_is_carried_out_only_once_it_is_stored_in_the_log():
    async def scenario(commit, topic, caller_faults, lost):
        work, seen = make_work(), []
        work.state = JobState.RUNNING
        caller_faults.down = True
        commit.mark_dirty(work, lambda: seen.append(topic.newest["p/a"][1]))
        await asyncio.sleep(2)
        assert seen == []
        caller_faults.down = False
        await asyncio.sleep(0.2)
        assert [read_state(value) for value in seen] == [JobState.RUNNING]

    play(scenario)


def test_append_with_a_lost_answer_is_stored_once():
    async def scenario(commit, topic, caller_faults, lost):
        caller_faults.lost_answers = 2
        commit.mark_dirty(make_work())
        await asyncio.sleep(6)
        assert [record.key for record in topic.records].count("p/a") == 1
        assert lost == []

    play(scenario)


def test_fenced_append_ends_the_term():
    async def scenario(commit, topic, caller_faults, lost):
        topic.epoch = 2
        commit.mark_dirty(make_work())
        await asyncio.sleep(1)
        assert len(lost) == 1
        assert commit.appends == 0

    play(scenario)


def test_append_in_flight_does_not_count_as_recorded():
    async def scenario(commit, topic, caller_faults, lost):
        commit.mark_dirty(make_work())
        caller_faults.lost_answers = 1
        await asyncio.sleep(0.1)
        assert commit.append_started_s is not None and not commit.dirty_jobs
        waiting = asyncio.create_task(commit.wait_flushed())
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await asyncio.sleep(3)
        assert waiting.done()

    play(scenario)


def test_idle_leader_sends_several_heartbeats_a_second():
    async def scenario(commit, topic, caller_faults, lost):
        await asyncio.sleep(2)
        assert len(topic.records) >= 6

    play(scenario)


@pytest.mark.parametrize("passes", range(5))
def test_queue_that_is_closed_as_a_decision_arrives_records_nothing_more(passes):
    async def main():
        topic = MemoryTopic()
        commit = CommitQueue(MemoryLog(topic, CallerFaults()), 1, 0.0, [].append)
        task = asyncio.create_task(commit.run())
        await asyncio.sleep(1)
        commit.mark_dirty(make_work())
        for _ in range(passes):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(0.1)
        recorded = len(topic.records)
        await asyncio.sleep(5)
        assert len(topic.records) == recorded
        assert task.done()

    run_in_virtual_time(main())
