"""Jobs that may still be stored: none is denied, and a cancelled one never runs."""

import asyncio

import pytest

from ..core.clock import get_wall_s
from ..core.outcome import Reason
from ..jobs.data import JobState
from ..jobs.ledger import Ledger, apply_record, find_state
from ..jobs.record import Cancellation, KeyedRecord, encode_cancellation
from ..standin.cluster import (
    QUEUES,
    kill_node,
    run_scenario,
    start_node,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .answer import Accepted, Admission, Cancelled, InDoubt, Rejected, Shown
from .rejection_test import make_job_record
from .requesthandler import MAX_EARLY_CANCELLATIONS

SPEC = make_spec(make_step(2), seconds=3.0)
LATE_S = 5.8
JOB = "00000000000000c1"


async def submit_late(site, name, job_id=JOB, team="north"):
    """Submits a job whose append the log carries out late and without an answer."""
    site.caller_records.jobs[job_id], site.caller_records.queues[job_id] = SPEC, QUEUES["checks"]
    faults, handler = site.faults_by_node[name], site.nodes[name].request_handler
    faults.late_s = LATE_S
    outcome = await handler.submit(Admission(QUEUES["checks"], team), job_id, SPEC, 3.0)
    faults.late_s = 0.0
    assert isinstance(outcome, InDoubt)
    return handler


def list_starts(site, job_id=JOB):
    history = site.vm_simulator.history
    return [event for event in history if event.kind == "start" and event.task.job == job_id]


def judge(site):
    assert check_site(site) == []


# A cancel was answered 410 and not recorded while the append of its job was on its way, at the node
# that had sent it or at any other; the job was stored later and ran to its end.
@pytest.mark.parametrize("canceller", ["n0", "n1"])
def test_job_that_is_stored_after_it_was_cancelled_never_starts(canceller):
    async def scenario():
        site = await start_site()
        await submit_late(site, "n0")
        outcome = await site.nodes[canceller].request_handler.cancel(JOB, 3.0, "north")
        assert outcome == Cancelled()
        site.caller_records.cancelled_s[JOB] = asyncio.get_running_loop().time()
        await asyncio.sleep(LATE_S + 3)
        assert list_starts(site) == []
        for node in site.nodes.values():
            assert await node.request_handler.show(JOB) == Shown(JobState.CANCELLED)
        assert "c/" + JOB not in site.ledger.newest
        return site

    judge(run_scenario(scenario))


def test_job_that_is_stored_after_its_cancel_and_a_change_of_the_leader_never_starts():
    async def scenario():
        site = await start_site()
        await submit_late(site, "n0")
        assert await site.nodes["n1"].request_handler.cancel(JOB, 3.0, "north") == Cancelled()
        leader = await wait_for_leader(site)
        await kill_node(site, leader)
        site.ledger.drop_history()
        await start_node(site, leader)
        await asyncio.sleep(LATE_S + 3)
        assert list_starts(site) == []
        return site

    judge(run_scenario(scenario))


def test_node_that_sent_a_job_does_not_deny_it_while_it_may_still_be_stored():
    async def scenario():
        site = await start_site()
        handler = await submit_late(site, "n0")
        answer = await handler.show(JOB)
        assert isinstance(answer, Rejected) and answer.fault.reason is Reason.LOG_DOWN
        assert answer.fault.retry_after_s > 0
        await handler.cancel(JOB, 3.0, "north")
        await asyncio.sleep(0.5)
        assert await handler.show(JOB, "north") == Shown(JobState.CANCELLED)
        # The cancellation of another team would not keep the job from running.
        assert isinstance(await handler.show(JOB, "south"), Rejected)
        unknown = await handler.show("0" * 16)
        assert unknown.fault.reason is Reason.NO_SUCH_JOB
        return site

    run_scenario(scenario)


# Known red: the second node can't know of the first attempt.
def test_second_node_does_not_reject_a_job_that_the_first_may_still_store():
    async def scenario():
        site = await start_site()
        await submit_late(site, "n0")
        site.faults_by_node["n1"].down = True
        handler = site.nodes["n1"].request_handler
        outcome = await handler.submit(Admission(QUEUES["checks"], "north"), JOB, SPEC, 3.0)
        await asyncio.sleep(LATE_S + 3)
        assert not (isinstance(outcome, Rejected) and list_starts(site))
        return site

    run_scenario(scenario)


@pytest.mark.parametrize("team", ["south", ""])
def test_team_can_not_cancel_the_job_that_another_one_submits_later(team):
    async def scenario():
        site = await start_site()
        assert await site.nodes["n0"].request_handler.cancel(JOB, 3.0, team) == Cancelled()
        site.caller_records.jobs[JOB], site.caller_records.queues[JOB] = SPEC, QUEUES["checks"]
        handler = site.nodes["n1"].request_handler
        assert (
            await handler.submit(Admission(QUEUES["checks"], "north"), JOB, SPEC, 3.0) == Accepted()
        )
        site.caller_records.accepted.add(JOB)
        await asyncio.sleep(8)
        assert len(list_starts(site)) == 2
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("cancelled_first", [True, False])
@pytest.mark.parametrize(("team", "is_cancelled"), [("north", True), ("south", False)])
def test_cancel_and_job_have_the_same_effect_in_either_order(cancelled_first, team, is_cancelled):
    ledger = Ledger()
    job = make_job_record(JOB)
    cancel = KeyedRecord("c/" + JOB, encode_cancellation(Cancellation(team, 1.0)))
    for record in (cancel, job) if cancelled_first else (job, cancel):
        apply_record(ledger, record)
    expected = JobState.CANCELLED if is_cancelled else JobState.QUEUED
    assert find_state(ledger, JOB) is expected
    assert (JOB in ledger.cancelled) is is_cancelled


def test_cancel_of_a_job_that_never_comes_is_dropped_after_some_minutes():
    async def scenario():
        site = await start_site()
        assert await site.nodes["n0"].request_handler.cancel(JOB, 3.0, "north") == Cancelled()
        await asyncio.sleep(200)
        assert "c/" + JOB in site.ledger.newest
        await asyncio.sleep(60)
        assert "c/" + JOB not in site.ledger.newest
        assert all(node.ledger.cancelled == {} for node in site.nodes.values())
        return site

    run_scenario(scenario)


def test_team_that_cancels_too_many_unknown_jobs_is_rejected_alone():
    async def scenario():
        site = await start_site()
        at_s = get_wall_s()
        value = encode_cancellation(Cancellation("north", at_s))
        records = [KeyedRecord(f"c/{n:016x}", value) for n in range(MAX_EARLY_CANCELLATIONS)]
        site.ledger.append(records, None)
        await asyncio.sleep(1)
        handler = site.nodes["n0"].request_handler
        outcome = await handler.cancel(JOB, 3.0, "north")
        assert isinstance(outcome, Rejected) and outcome.fault.reason is Reason.QUEUE_FULL
        assert outcome.fault.retry_after_s > 0
        assert await handler.cancel(JOB, 3.0, "south") == Cancelled()
        known = await submit(site, "n1", SPEC)
        assert await handler.cancel(known, 3.0, "north") == Cancelled()
        return site

    run_scenario(scenario)


def test_cancel_in_the_form_of_earlier_builds_concerns_any_job():
    ledger = Ledger()
    apply_record(ledger, KeyedRecord("c/" + JOB, b"1"))
    apply_record(ledger, make_job_record(JOB))
    assert find_state(ledger, JOB) is JobState.CANCELLED


@pytest.mark.parametrize("value", [b"2", b"{}", b"[1, 2]", b'["t", "x"]', b'["t", 1, 2]', b"\xff"])
def test_malformed_cancel_is_told_apart(value):
    ledger = Ledger()
    with pytest.raises((ValueError, TypeError)):
        apply_record(ledger, KeyedRecord("c/" + JOB, value))
    assert ledger.cancelled == {}
