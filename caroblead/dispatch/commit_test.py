"""Tests of the commit queue: order, retries, fencing, and what counts as recorded."""

import asyncio

import pytest

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, JobState, Progress, StepSpec
from ..jobs.progressrecord import read_state
from ..jobs.record import KeyedRecord
from ..standin.keyedlog import CallerFaults, MemoryLog, MemoryTopic
from .commit import CommitQueue
from .interface import LogLimits
from .work import open_due_occurrences, open_job


def make_work(name="a"):
    spec = JobSpec("", (StepSpec(1, Resources(1)),))
    work = open_job(Job(name, "t", JobQueue("q", "h", "/p/", "s"), spec, 1.0), Progress())
    open_due_occurrences(work, 1.0)
    return work


def play(scenario, limits=LogLimits()):
    async def main():
        loop = asyncio.get_running_loop()
        use_clocks(loop.time, loop.time)
        topic, caller_faults, lost = MemoryTopic(limits=limits), CallerFaults(), []
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
        assert commit.append_started_s is not None and not commit.entries
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


# Records that together exceed an append were refused together, and for ever.
def test_decisions_on_many_jobs_are_recorded_by_several_appends_before_they_are_carried_out():
    async def scenario(commit, topic, caller_faults, lost):
        seen = []
        for number in range(100):
            commit.mark_dirty(make_work(f"{number:016x}"))
        commit.add(KeyedRecord("l/load", b"x" * 400))
        commit.mark_dirty(make_work(), lambda: seen.append(len(topic.newest)))
        await asyncio.sleep(2)
        assert seen == [102] and commit.refused == 0
        assert commit.appends > 102 * 30 // 500

    play(scenario, LogLimits(500, 500))


def test_decision_waits_for_no_later_one_while_more_is_decided_than_an_append_holds():
    async def scenario(commit, topic, caller_faults, lost):
        works, waited_s = [make_work(f"{number:016x}") for number in range(40)], []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 5

        async def decide():
            while loop.time() < end_s:
                for work in works:
                    commit.mark_dirty(work)
                await asyncio.sleep(0.01)

        deciding = asyncio.create_task(decide())
        for _ in range(20):
            began_s = loop.time()
            commit.mark_dirty(
                works[0], lambda began_s=began_s: waited_s.append(loop.time() - began_s)
            )
            await asyncio.sleep(0.2)
        await deciding
        assert len(waited_s) == 20 and max(waited_s) < 1.0

    play(scenario, LogLimits(500, 500))


def test_record_that_is_no_progress_and_too_large_is_left_out_alone():
    async def scenario(commit, topic, caller_faults, lost):
        commit.add(KeyedRecord("d/queues", b"x" * 500))
        commit.mark_dirty(make_work())
        await asyncio.sleep(1)
        assert "p/a" in topic.newest and "d/queues" not in topic.newest
        assert (commit.refused, lost) == (1, [])

    play(scenario, LogLimits(500, 500))


def test_job_whose_progress_can_not_be_encoded_ends_the_records_of_no_other_job():
    async def scenario(commit, topic, caller_faults, lost):
        bad = make_work("bad")
        bad.steps[0, 0].step_progress.last_run = 2**70
        commit.mark_dirty(bad)
        commit.mark_dirty(make_work())
        await asyncio.sleep(1)
        assert "p/a" in topic.newest and not bad.is_recordable
        assert commit.appends > 3

    play(scenario)


def test_refusal_after_an_append_without_an_answer_ends_the_term():
    async def scenario(commit, topic, caller_faults, lost):
        caller_faults.lost_answers = 1
        commit.add(KeyedRecord("d/queues", b"x"))
        await asyncio.sleep(0.1)
        topic.limits = LogLimits(1, 1)
        await asyncio.sleep(5)
        assert len(lost) == 1

    play(scenario)
