"""A node that lags behind the log, as on a slow link after a cut, says nothing untrue."""

import asyncio

import pytest

from ..core.outcome import Reason
from ..jobs.data import JobState
from ..standin.cluster import (
    KEY,
    QUEUES,
    find_leader,
    publish_config,
    run_scenario,
    start_site,
    submit,
)
from ..standin.work import make_spec, make_step
from .answer import Cancelled, Counted, Rejected, Shown
from .requesthandler import MAX_ANSWER_AGE_S

# The slow link transfers a record in this time, and the leader alone writes four records a second.
READ_DELAY_S = 0.4
# How long after its acceptance every node that reaches the store must know a job.
VISIBLE_S = 3.0


async def ignore_question(job_id, wait_s):
    """Stands for a leader that does not answer."""
    return None


def put_behind_slow_link(site):
    """Puts a node that does not lead behind a slow link, so that it falls ever further behind."""
    name = next(name for name in site.nodes if name != find_leader(site))
    faults = site.faults_by_node[name]
    faults.max_read_records, faults.read_delay_s = 1, READ_DELAY_S
    return site.nodes[name]


def test_node_that_lags_behind_denies_no_accepted_job():
    async def scenario():
        site = await start_site()
        lagging = put_behind_slow_link(site)
        await asyncio.sleep(10)
        job = await submit(site, find_leader(site), make_spec(make_step(1), seconds=60))
        assert job in site.caller_records.accepted
        await asyncio.sleep(VISIBLE_S + 0.5)
        assert not lagging.ledger_tail.caught_up
        lagging.notifier.ask_leader = ignore_question
        handler = lagging.request_handler
        for answer in (await handler.show(job), await handler.cancel(job, 3.0)):
            assert isinstance(answer, Rejected), answer
            assert answer.fault.reason is Reason.LOG_DOWN
            assert answer.fault.retry_after_s > 0
        return site

    run_scenario(scenario)


def test_node_that_lags_behind_shows_and_cancels_a_job_that_the_leader_knows():
    async def scenario():
        site = await start_site()
        lagging = put_behind_slow_link(site)
        await asyncio.sleep(10)
        job = await submit(site, find_leader(site), make_spec(make_step(1), seconds=60))
        await asyncio.sleep(1)
        lagging.notifier.ask_leader = site.nodes[find_leader(site)].notifier.wait_for_end
        handler = lagging.request_handler
        assert await handler.show(job) == Shown(JobState.RUNNING)
        assert await handler.cancel(job, 3.0) == Cancelled()
        await asyncio.sleep(1)
        assert await site.nodes[find_leader(site)].request_handler.show(job) == Shown(
            JobState.CANCELLED
        )
        return site

    run_scenario(scenario)


def test_node_that_has_read_to_the_end_denies_a_job_that_nobody_submitted():
    async def scenario():
        site = await start_site()
        lagging = put_behind_slow_link(site)
        await asyncio.sleep(10)
        faults = site.faults_by_node[lagging.settings.node]
        faults.max_read_records, faults.read_delay_s = 0, 0.0
        job = await submit(site, find_leader(site), make_spec(make_step(1), seconds=60))
        await asyncio.sleep(2)
        handler = lagging.request_handler
        assert await handler.show(job) == Shown(JobState.RUNNING)
        unknown = await handler.show("0" * 16)
        assert isinstance(unknown, Rejected)
        assert unknown.fault.reason is Reason.NO_SUCH_JOB
        return site

    run_scenario(scenario)


def test_node_that_lags_behind_the_configuration_trusts_no_key_and_is_not_ready():
    async def scenario():
        site = await start_site()
        lagging = put_behind_slow_link(site)
        current = site.nodes[find_leader(site)]
        for version in range(2, 50):
            publish_config(site, version)
            await asyncio.sleep(READ_DELAY_S / 2)
        assert current.configuration_view.current.version == 49
        assert lagging.configuration_view.current.version < 49
        assert current.is_ready()
        assert not lagging.is_ready()
        answer = lagging.access.admit("x.example", "/c/", KEY)
        assert isinstance(answer, Rejected)
        assert answer.fault.reason is Reason.NO_CONFIG
        return site

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_node_that_was_just_cut_off_denies_no_job_that_another_has_accepted(fault):
    async def scenario():
        site = await start_site()
        cut = next(name for name in site.nodes if name != find_leader(site))
        setattr(site.faults_by_node[cut], fault, True)
        await asyncio.sleep(0.5)
        job = await submit(site, find_leader(site), make_spec(make_step(1), seconds=60))
        node = site.nodes[cut]
        node.notifier.ask_leader = ignore_question
        for answer in (
            await node.request_handler.show(job),
            await node.request_handler.cancel(job, 3.0),
        ):
            assert isinstance(answer, Rejected), answer
            assert answer.fault.reason is Reason.LOG_DOWN
        return site

    run_scenario(scenario)


def test_node_that_is_cut_off_counts_no_waiting_jobs_by_an_old_ledger():
    async def scenario():
        site = await start_site(vm_count=0)
        cut = next(name for name in site.nodes if name != find_leader(site))
        handler = site.nodes[cut].request_handler
        site.faults_by_node[cut].down = True
        await submit(site, find_leader(site), make_spec(make_step(1), seconds=60))
        assert await handler.count(QUEUES["checks"]) == Counted(0)
        await asyncio.sleep(MAX_ANSWER_AGE_S)
        answer = await handler.count(QUEUES["checks"])
        assert answer.fault.reason is Reason.LOG_DOWN
        site.faults_by_node[cut].down = False
        await asyncio.sleep(1)
        assert await handler.count(QUEUES["checks"]) == Counted(1)
        return site

    run_scenario(scenario)


def test_node_that_is_cut_off_shows_no_state_that_may_have_ended_meanwhile():
    async def scenario():
        site = await start_site()
        cut = next(name for name in site.nodes if name != find_leader(site))
        node = site.nodes[cut]
        job = await submit(site, cut, make_spec(make_step(1), seconds=1))
        await asyncio.sleep(0.5)
        site.faults_by_node[cut].down = True
        node.notifier.ask_leader = ignore_question
        assert await node.request_handler.show(job) == Shown(JobState.RUNNING)
        await asyncio.sleep(MAX_ANSWER_AGE_S)
        answer = await node.request_handler.show(job)
        assert isinstance(answer, Rejected) and answer.fault.reason is Reason.LOG_DOWN
        site.faults_by_node[cut].down = False
        await asyncio.sleep(1)
        assert await node.request_handler.show(job) == Shown(JobState.DONE)
        # What has ended never changes again.
        site.faults_by_node[cut].down = True
        await asyncio.sleep(MAX_ANSWER_AGE_S + 1)
        assert await node.request_handler.show(job) == Shown(JobState.DONE)
        return site

    run_scenario(scenario)
