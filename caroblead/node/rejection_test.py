"""Rejections because of the load, on real nodes: they are true under faults and end in time."""

import asyncio

import pytest

from ..core.clock import get_wall_s
from ..core.outcome import Reason
from ..core.resource import Resources
from ..jobs.data import Job
from ..jobs.record import KeyedRecord, LoadReport, QueueWait, encode_job, encode_load_report
from ..standin.cluster import (
    QUEUES,
    find_leader,
    kill_node,
    run_scenario,
    start_node,
    start_site,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .answer import Accepted, Admission, Rejected
from .gauges import write_metrics

# Four tasks of half a second on 16 cores: eight jobs a second can be served.
SPEC = make_spec(make_step(4), seconds=0.5)
LONG_WAIT = {"checks": QueueWait(60.0, 60.0, 8.0)}


async def start_busy_site(**options):
    """Starts a site in whose log a record is appended every 30 ms, as is usual under load."""
    site = await start_site(admission=True, **options)
    loop = asyncio.get_running_loop()

    def append():
        site.ledger.append([KeyedRecord("x/other", b"1")], None)
        loop.call_later(0.03, append)

    append()
    return site


async def publish_report(site, waits=None, term_change=0, age_s=0.0, serial=None, value=None):
    """Appends a report as the leader does, and waits until the nodes have read it."""
    term = site.nodes[find_leader(site)].leader.term + term_change
    serial = serial or next(site.ids)
    report = LoadReport(term, serial, get_wall_s() - age_s, waits or LONG_WAIT)
    record = KeyedRecord("l/load", value or encode_load_report(report))
    site.ledger.append([record], None)
    await asyncio.sleep(1.0)


async def send(site, name, job_id=None, team="north", queue="checks"):
    """Submits a job to a node and returns the outcome, which is recorded for the checker."""
    job_id = job_id or f"{next(site.ids):016x}"
    records = site.caller_records
    records.jobs[job_id], records.queues[job_id] = SPEC, QUEUES[queue]
    handler = site.nodes[name].request_handler
    outcome = await handler.submit(Admission(QUEUES[queue], team), job_id, SPEC, 3.0)
    if isinstance(outcome, Accepted):
        records.accepted.add(job_id)
        records.rejected.discard(job_id)
    elif isinstance(outcome, Rejected) and job_id not in records.accepted:
        records.rejected.add(job_id)
    return outcome


def is_rejected(outcome):
    return isinstance(outcome, Rejected) and outcome.fault.reason is Reason.QUEUE_FULL


def make_job_record(job_id):
    job = Job(job_id, "north", QUEUES["checks"], SPEC, get_wall_s())
    return KeyedRecord(f"j/{job_id}", encode_job(job))


def get_other_node(site):
    return next(name for name in sorted(site.nodes) if name != find_leader(site))


def judge(site):
    assert check_site(site) == []


def test_job_is_rejected_by_a_current_report_and_never_runs():
    async def scenario():
        site = await start_busy_site()
        await publish_report(site)
        for name in list(site.nodes):
            outcome = await send(site, name)
            assert is_rejected(outcome) and outcome.fault.retry_after_s >= 1
        assert isinstance(await send(site, "n0", queue="reviews"), Accepted)
        await asyncio.sleep(5)
        assert "caroblead_jobs_rejected_total" in write_metrics(site.nodes["n0"])
        return site

    judge(run_scenario(scenario))


def test_node_without_the_setting_ignores_reports():
    async def scenario():
        site = await start_site()
        await publish_report(site)
        assert isinstance(await send(site, "n0"), Accepted)
        assert "rejected" not in write_metrics(site.nodes["n0"])
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize(
    "fields",
    [{"term_change": -1}, {"term_change": 1}, {"age_s": 2.5}],
    ids=["former term", "later term", "late"],
)
def test_report_that_is_not_current_rejects_nothing(fields):
    async def scenario():
        site = await start_busy_site()
        await publish_report(site, **fields)
        for name in sorted(site.nodes):
            assert isinstance(await send(site, name), Accepted)
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("value", [b"[9,1]", b"noise"], ids=["unknown version", "malformed"])
def test_report_that_can_not_be_decoded_ends_the_rejections(value):
    async def scenario():
        site = await start_busy_site()
        await publish_report(site)
        assert is_rejected(await send(site, "n0"))
        await publish_report(site, value=value)
        assert isinstance(await send(site, "n0"), Accepted)
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


def test_lost_reports_end_the_rejections():
    async def scenario():
        site = await start_busy_site()
        await publish_report(site)
        assert is_rejected(await send(site, "n0"))
        await asyncio.sleep(2.1)
        assert isinstance(await send(site, "n0"), Accepted)
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


def test_id_that_is_stored_is_accepted_at_every_node_although_its_answer_was_lost():
    """The caller of a job that will run must not be told that it was rejected."""

    async def scenario():
        site = await start_busy_site()
        first = get_other_node(site)
        job_id = f"{next(site.ids):016x}"
        site.faults_by_node[first].lost_answers = 9
        attempt = asyncio.create_task(send(site, first, job_id))
        await asyncio.sleep(0.01)
        await publish_report(site)
        for name in sorted(site.nodes):
            assert not is_rejected(await send(site, name, job_id))
        assert not is_rejected(await attempt)
        assert job_id in site.caller_records.accepted
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


def test_id_that_was_stored_a_moment_ago_is_found_in_the_log_before_a_rejection():
    """Only the read before the rejection can tell this node of the earlier attempt."""

    async def scenario():
        site = await start_busy_site()
        name = get_other_node(site)
        await publish_report(site)
        for _ in range(5):
            job_id = f"{next(site.ids):016x}"
            site.nodes[name].ledger_tail.pause_s = 0.8
            await asyncio.sleep(0.5)
            site.ledger.append([make_job_record(job_id)], None)
            assert await send(site, name, job_id) == Accepted(known_before=True)
            await publish_report(site)
        await asyncio.sleep(10)
        return site

    judge(run_scenario(scenario))


def test_node_that_lags_behind_accepts_because_it_cannot_prove_a_rejection():
    async def scenario():
        site = await start_busy_site()
        lagging = get_other_node(site)
        await publish_report(site)
        faults = site.faults_by_node[lagging]
        faults.max_read_records, faults.read_delay_s = 1, 0.3
        job_id = f"{next(site.ids):016x}"
        assert is_rejected(await send(site, lagging, "f" * 16)) is False
        assert isinstance(await send(site, lagging, job_id), Accepted)
        await asyncio.sleep(20)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("fault", ["silent", "down", "frozen"])
def test_node_that_is_cut_off_or_paused_rejects_nothing_because_of_the_load(fault):
    """Its report may be current when the fault begins, but it can't read the log."""

    async def scenario():
        site = await start_busy_site()
        name = get_other_node(site)
        await publish_report(site)
        setattr(site.faults_by_node[name], fault, True)
        attempt = asyncio.create_task(send(site, name))
        await asyncio.sleep(4)
        setattr(site.faults_by_node[name], fault, False)
        assert not is_rejected(await attempt)
        assert not is_rejected(await send(site, name))
        await asyncio.sleep(15)
        return site

    judge(run_scenario(scenario))


def test_node_that_has_just_started_knows_a_stored_job_before_it_rejects():
    async def scenario():
        site = await start_busy_site()
        leader = find_leader(site)
        name = get_other_node(site)
        job_id = f"{next(site.ids):016x}"
        assert isinstance(await send(site, leader, job_id), Accepted)
        await publish_report(site)
        await kill_node(site, name)
        await start_node(site, name)
        for _ in range(30):
            assert not is_rejected(await send(site, name, job_id))
            await asyncio.sleep(0.02)
        await asyncio.sleep(5)
        return site

    judge(run_scenario(scenario))


def test_retry_at_the_node_whose_append_got_no_answer_is_not_rejected():
    """The append may take effect after the answer, when the rejection would have been untrue."""

    async def scenario():
        site = await start_busy_site()
        name, job_id = get_other_node(site), f"{next(site.ids):016x}"
        site.faults_by_node[name].late_s = 6.0
        assert not isinstance(await send(site, name, job_id), Accepted | Rejected)
        site.faults_by_node[name].late_s = 0.0
        await publish_report(site)
        assert isinstance(await send(site, name, job_id), Accepted)
        assert is_rejected(await send(site, name))
        await asyncio.sleep(15)
        return site

    judge(run_scenario(scenario))


def test_job_that_can_never_run_is_accepted_and_waits():
    async def scenario():
        site = await start_busy_site()
        await publish_report(site)
        spec = make_spec(make_step(1, need=Resources(64_000, 64)))
        handler = site.nodes["n0"].request_handler
        outcome = await handler.submit(Admission(QUEUES["checks"], "north"), "e" * 16, spec, 3.0)
        assert isinstance(outcome, Accepted)
        return site

    run_scenario(scenario)
