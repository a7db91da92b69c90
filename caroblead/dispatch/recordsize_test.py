"""Records that the log doesn't accept: no job, however large, holds up itself or any other."""

import asyncio
import random

import pytest

from ..core.outcome import Reason
from ..core.resource import Resources
from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..jobs.record import KeyedRecord
from ..node.answer import Admission, Rejected
from ..standin.cluster import (
    QUEUES,
    find_leader,
    kill_node,
    run_scenario,
    start_node,
    start_site,
    submit,
)
from ..standin.keyedlog import MemoryTopic
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .interface import LogLimits, RecordsRefusedError

LIMITS = LogLimits(record_bytes=16_384, call_bytes=65_536)
SMALL = Resources(250, 200)
WIDE = make_spec(make_step(48, need=SMALL, checkpoints=True), seconds=6.0, checkpoint_length=2400)
URGENT = make_spec(make_step(1, need=Resources(4000, 1024)), seconds=1.0)


async def evict_wide_job(site):
    """Lets urgent jobs evict most tasks of a wide job, whose checkpoints are then recorded."""
    wide = await submit(site, "n0", WIDE, "reviews")
    await asyncio.sleep(3)
    for _ in range(3):
        await submit(site, "n1", URGENT)
    await asyncio.sleep(1.5)
    return wide


def list_starts(site, job_id):
    history = site.vm_simulator.history
    return [event for event in history if event.kind == "start" and event.task.job == job_id]


def judge(site):
    assert check_site(site) == []


# A progress record larger than the log accepts was refused and repeated for ever, in each term, and
# everything else waited behind it.
def test_job_whose_checkpoints_exceed_a_record_holds_up_nobody():
    async def scenario():
        site = await start_site(limits=LIMITS)
        wide = await evict_wide_job(site)
        small = await submit(site, "n2", make_spec(make_step(1), seconds=0.5))
        await asyncio.sleep(2)
        assert list_starts(site, small)
        assert site.nodes[find_leader(site)].ledger.parts[wide]
        await asyncio.sleep(25)
        leader = site.nodes[find_leader(site)]
        assert leader.leader.term == 1 and leader.leader.commit.refused == 0
        assert find_state(leader.ledger, wide) is JobState.DONE
        assert not [key for key in site.ledger.newest if key.startswith("q/")]
        return site

    judge(run_scenario(scenario))


def test_new_leader_continues_the_tasks_of_a_job_in_several_records_once_each():
    async def scenario():
        site = await start_site(limits=LIMITS)
        wide = await evict_wide_job(site)
        for _ in range(2):
            leader = find_leader(site)
            await kill_node(site, leader)
            await start_node(site, leader)
            await asyncio.sleep(4)
        await asyncio.sleep(30)
        leader = site.nodes[find_leader(site)]
        assert leader.leader.term > 2 and find_state(leader.ledger, wide) is JobState.DONE
        assert leader.ledger.parts == {}
        return site

    judge(run_scenario(scenario))


def test_parts_that_a_leader_did_not_get_to_drop_are_dropped_by_the_next():
    async def scenario():
        site = await start_site(limits=LIMITS)
        site.ledger.append([KeyedRecord("q/00000000000000ff/0.0.7", b"r")], None)
        await asyncio.sleep(1)
        await kill_node(site, find_leader(site))
        await asyncio.sleep(5)
        assert "q/00000000000000ff/0.0.7" not in site.ledger.newest
        return site

    judge(run_scenario(scenario))


def refuse_records(site, monkeypatch, is_refused):
    """Lets the log refuse records whatever its limits are; returns the list of refused appends."""
    check_sizes, refused = MemoryTopic.check_sizes, []

    def check(topic, records):
        if topic is site.ledger and any(map(is_refused, records)):
            refused.append(records)
            raise RecordsRefusedError("refused")
        check_sizes(topic, records)

    monkeypatch.setattr(MemoryTopic, "check_sizes", check)
    return refused


def test_log_that_accepts_less_than_its_settings_say_holds_up_nobody(monkeypatch):
    async def scenario():
        site = await start_site()
        refused = refuse_records(site, monkeypatch, lambda record: record.size > 12_000)
        wide = await evict_wide_job(site)
        await asyncio.sleep(25)
        leader = site.nodes[find_leader(site)]
        assert leader.leader.term == 1 and 0 < len(refused) < 60
        assert find_state(leader.ledger, wide) is JobState.DONE
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("kinds", ["p", "pq"])
def test_job_whose_progress_is_always_refused_starts_nothing_and_holds_up_nobody(
    kinds, monkeypatch
):
    async def scenario():
        site = await start_site()
        bad = f"{next(site.ids) + 1:016x}"
        refused = refuse_records(
            site, monkeypatch, lambda record: record.kind in kinds and bad in record.key
        )
        assert await submit(site, "n0", make_spec(make_step(3), seconds=0.5)) == bad
        others = [await submit(site, "n1", URGENT) for _ in range(5)]
        await asyncio.sleep(15)
        assert list_starts(site, bad) == []
        assert all(list_starts(site, job_id) for job_id in others)
        leader = site.nodes[find_leader(site)]
        assert leader.leader.term == 1 and len(refused) < 40
        assert not any(row.runs for row in leader.leader.fleet.rows.values())
        site.caller_records.accepted.discard(bad)
        return site

    judge(run_scenario(scenario))


def test_job_that_the_log_can_not_store_is_rejected_at_once_and_takes_no_other_with_it():
    async def scenario():
        site = await start_site(limits=LogLimits(record_bytes=2048, call_bytes=8192))
        loop = asyncio.get_running_loop()
        rng = random.Random(1)
        steps = [make_step(1, image=rng.randbytes(50).hex()) for _ in range(64)]
        large, began_s = make_spec(*steps), loop.time()
        handler, queue = site.nodes["n0"].request_handler, QUEUES["checks"]
        calls = [submit(site, "n0", make_spec(make_step(1), seconds=0.5)) for _ in range(30)]
        answer = handler.submit(Admission(queue, "north"), "00000000000000ee", large, 3.0)
        outcome, *_ = await asyncio.gather(answer, *calls)
        assert isinstance(outcome, Rejected) and outcome.fault.reason is Reason.TOO_LARGE
        assert loop.time() - began_s < 0.5
        assert len(site.caller_records.accepted) == 30
        await asyncio.sleep(10)
        assert "j/00000000000000ee" not in site.ledger.newest
        return site

    judge(run_scenario(scenario))
