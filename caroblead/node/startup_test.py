"""A node that has just started takes jobs before it has read the ledger, and says nothing untrue.

After a common loss all nodes read the whole ledger at the same moment, and the slow links take
longest; callers return meanwhile.
"""

import asyncio

from ..core.outcome import Reason
from ..dispatch.interface import Batch
from ..jobs import ledger
from ..jobs.data import JobState
from ..jobs.record import decode_job
from ..standin.cluster import QUEUES, kill_node, run_scenario, start_node, start_site, submit
from ..standin.work import make_spec, make_step
from .answer import Counted, Rejected, Shown

LEDGER_READ_S = 6.0


async def restart_with_slow_ledger(site, name):
    """Restarts a node whose first read of the ledger takes :data:`LEDGER_READ_S`."""
    await kill_node(site, name)
    await start_node(site, name)
    node = site.nodes[name]
    read_newest = node.ledger_tail.log.read_newest

    async def read_slowly() -> Batch:
        await asyncio.sleep(LEDGER_READ_S)
        return await read_newest()

    node.ledger_tail.log.read_newest = read_slowly
    return node


def test_starting_node_takes_jobs_before_it_has_read_the_ledger():
    async def scenario():
        site = await start_site()
        node = await restart_with_slow_ledger(site, "n2")
        await asyncio.sleep(0.5)
        assert node.is_ready()
        assert node.ledger_tail.offset is None
        job = await submit(site, "n2", make_spec(make_step(1), seconds=0.5))
        assert job in site.caller_records.accepted
        await asyncio.sleep(2.0)
        shown = await site.nodes["n0"].request_handler.show(job)
        assert shown == Shown(JobState.DONE)
        return site

    run_scenario(scenario)


def test_starting_node_denies_no_job_and_counts_none_before_it_has_read_the_ledger():
    async def scenario():
        site = await start_site()
        job = await submit(site, "n0", make_spec(make_step(1), seconds=20))
        node = await restart_with_slow_ledger(site, "n2")
        await asyncio.sleep(0.2)
        handler = node.request_handler
        for answer in (
            await handler.show(job),
            await handler.cancel(job, 3.0),
            await handler.count(QUEUES["checks"]),
        ):
            assert isinstance(answer, Rejected), answer
            assert answer.fault.reason is Reason.LOG_DOWN
            assert answer.fault.retry_after_s > 0
        await asyncio.sleep(LEDGER_READ_S)
        assert await handler.show(job) == Shown(JobState.RUNNING)
        assert await handler.count(QUEUES["checks"]) == Counted(0)
        return site

    run_scenario(scenario)


def test_node_that_reads_the_ledger_seldom_goes_on_storing_jobs_after_a_failed_append():
    async def scenario():
        site = await start_site(node_count=5)
        for name, node in site.nodes.items():
            node.appender.lost = True
            await asyncio.sleep(1.1)
            job = await submit(site, name, make_spec(make_step(1)))
            assert job in site.caller_records.accepted, name
        return site

    run_scenario(scenario)


def test_checks_whether_to_stand_for_election_create_no_tasks():
    async def scenario():
        site = await start_site()
        election = site.nodes["n0"].election
        assert all(election.stand_if_due() is None for _ in range(20))
        return site

    run_scenario(scenario)


def test_only_the_leader_decodes_jobs(monkeypatch):
    decoded = []

    def count_and_decode(job_id, record):
        decoded.append(job_id)
        return decode_job(job_id, record)

    monkeypatch.setattr(ledger, "decode_job", count_and_decode)

    async def scenario():
        site = await start_site(node_count=5)
        jobs = [await submit(site, "n0", make_spec(make_step(1))) for _ in range(6)]
        await asyncio.sleep(4)
        assert sorted(decoded) == sorted(jobs)
        return site

    run_scenario(scenario)
