"""Tests that the leader learns durations and keeps them across leader changes, in a small site."""

import asyncio
import math

import pytest

from ...jobs.ledger import MAX_LEARNED_RECORDS, Ledger, apply_record
from ...jobs.record import KeyedRecord, RecordKind, make_key
from ...node.gauges import write_metrics
from ...standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ...standin.work import make_spec, make_step
from ..work import get_expectation
from .duration import RunFeatures, predict
from .learnedsnapshot import QUEUES, SPEEDS, TEAMS
from .learning import SNAPSHOT_INTERVAL_S

LEARNED = {"learned_durations": True}
# The steps of the stand-in have an estimate of 0.5 s.
WORK_S = 1.5


async def submit_jobs(site, count=20, seconds=WORK_S, gap_s=0.3, **options):
    for _ in range(count):
        await submit(
            site, sorted(site.nodes)[0], make_spec(make_step(2, **options), seconds=seconds)
        )
        await asyncio.sleep(gap_s)


def get_learning(site):
    return site.nodes[find_leader(site)].leader.learning


def get_expected_s(site):
    features = RunFeatures("checks", 0, "north", 0, 0.5)
    table = get_learning(site).learner.durations
    return math.exp(predict(table, features, asyncio.get_running_loop().time()).log_median)


def list_learned(site):
    return [record for record in site.ledger.records if record.kind == RecordKind.LEARNED]


def test_leader_learns_how_long_runs_take():
    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site)
        await asyncio.sleep(3.0)
        assert get_expected_s(site) == pytest.approx(WORK_S, rel=0.15)
        job = await submit(site, find_leader(site), make_spec(make_step(2), seconds=WORK_S))
        await asyncio.sleep(0.5)
        leader = site.nodes[find_leader(site)].leader
        step = leader.state.open_jobs[job].steps[0, 0]
        assert get_expectation(step).median_s == pytest.approx(WORK_S, rel=0.15)
        assert get_expectation(step).samples >= 30
        run = step.active[0][0]
        assert run.expected_s == pytest.approx(WORK_S, rel=0.15)
        metrics = write_metrics(site.nodes[find_leader(site)]).splitlines()
        gauges = dict(line.split() for line in metrics if line.startswith("caroblead_durations"))
        assert float(gauges["caroblead_durations_samples"]) >= 30
        assert float(gauges["caroblead_durations_error"]) < 0.2
        return site

    run_scenario(scenario)


def test_without_the_setting_nothing_is_learned_or_written():
    """Guards against a change for deployments without the setting."""

    async def scenario():
        site = await start_site()
        await submit_jobs(site, 10)
        await asyncio.sleep(3.0)
        assert list_learned(site) == []
        leader = site.nodes[find_leader(site)].leader
        assert leader.fleet.speeds is None
        assert not leader.learning.learner.durations.queues
        assert "durations_samples" not in write_metrics(site.nodes[find_leader(site)])
        return site

    run_scenario(scenario)


def test_next_leader_continues_from_the_log_after_a_kill_at_any_moment():
    """Guards against a leader killed between the records of a snapshot."""

    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site, 40)
        names = {record.name for record in list_learned(site)}
        assert names == {QUEUES, TEAMS, SPEEDS}
        await kill_node(site, find_leader(site))
        # The records of teams and speeds are now older than that of the queues, or missing.
        site.ledger.append([KeyedRecord(make_key(RecordKind.LEARNED, TEAMS), b"")], None)
        await wait_for_leader(site)
        learning = get_learning(site)
        assert learning.learner.durations.queues["checks"].samples >= 30
        assert get_expected_s(site) == pytest.approx(WORK_S, rel=0.2)
        return site

    run_scenario(scenario)


def test_snapshot_whose_append_stays_in_doubt_is_read_by_whoever_leads_next():
    """Guards against a term that ends while a snapshot is written."""

    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site, 20)
        before, learning = len(list_learned(site)), get_learning(site)
        # The append takes effect, but the leader hears nothing of it and loses its term.
        learning.refresh()
        learning.snapshot_due_s = 0.0
        learning.next_record = 0
        learning.refresh()
        site.faults_by_node[find_leader(site)].lost_answers = 2
        await asyncio.sleep(6.0)
        assert get_learning(site) is not learning
        assert len(list_learned(site)) > before
        assert get_learning(site).learner.durations.queues["checks"].samples >= 20
        await submit_jobs(site, 6)
        assert get_expected_s(site) == pytest.approx(WORK_S, rel=0.3)
        return site

    run_scenario(scenario)


def test_error_in_what_is_learned_does_not_keep_a_run_from_ending(monkeypatch):
    """Guards against work that stands still because of the optional learning."""

    def fail(*arguments):
        raise ZeroDivisionError

    for name in ("learn", "predict"):
        monkeypatch.setattr(f"caroblead.dispatch.learning.learning.{name}", fail)
    monkeypatch.setattr("caroblead.dispatch.learning.speedwatch.observe_progress", fail)

    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site, 5)
        await asyncio.sleep(4.0)
        ledger = site.nodes["n0"].ledger
        assert len(ledger.ended) == 5 and not ledger.jobs
        return site

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value", [b"\x00older build", b"\xff newer build", b"\x01 not compressed", b"\x01"]
)
def test_record_that_cannot_be_read_is_ignored_and_logged(value, monkeypatch):
    """Guards against a term that fails because of a snapshot of another build."""
    lines = []
    monkeypatch.setattr(
        "caroblead.dispatch.learning.learning.log",
        lambda name, **fields: lines.append((name, fields)),
    )

    async def scenario():
        site = await start_site(**LEARNED)
        await kill_node(site, find_leader(site))
        for name in (QUEUES, TEAMS, SPEEDS):
            site.ledger.append([KeyedRecord(make_key(RecordKind.LEARNED, name), value)], None)
        await wait_for_leader(site)
        assert [fields["key"] for name, fields in lines if name == "durations:unreadable"] == [
            "d/queues",
            "d/teams",
            "d/speeds",
        ]
        await submit_jobs(site, 10)
        await asyncio.sleep(3.0)
        assert get_expected_s(site) == pytest.approx(WORK_S, rel=0.3)
        return site

    run_scenario(scenario)


def test_snapshots_are_written_at_most_once_per_interval():
    """Guards against load on the log by records that all nodes read."""

    async def scenario():
        site = await start_site(**LEARNED)
        started_s = asyncio.get_running_loop().time()
        await submit_jobs(site, 60, gap_s=0.1)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert 2 <= len(list_learned(site)) <= elapsed_s / SNAPSHOT_INTERVAL_S + 1
        return site

    run_scenario(scenario)


def test_runs_resumed_from_a_checkpoint_and_lasting_runs_tell_nothing():
    async def scenario():
        site = await start_site(**LEARNED)
        await submit(site, "n0", make_spec(make_step(1, endless=True), seconds=1.0))
        await submit(site, "n0", make_spec(make_step(1, fills=True), seconds=1.0))
        await asyncio.sleep(5.0)
        assert not get_learning(site).learner.durations.queues
        return site

    run_scenario(scenario)


def test_vm_that_becomes_slow_in_the_middle_of_its_runs_and_recovers_is_followed():
    """Guards against knowing of a slow VM only after its runs, four times as long, have ended."""

    async def scenario():
        site = await start_site(vm_count=3, **LEARNED)
        for _ in range(3):
            await submit_jobs(site, 4, seconds=12.0, gap_s=0.1)
        await asyncio.sleep(4.0)
        leader = site.nodes[find_leader(site)].leader
        name = max(leader.fleet.rows, key=lambda name: len(leader.fleet.rows[name].runs))
        row = leader.fleet.rows[name]
        assert len(row.runs) >= 2
        running = set(row.runs)
        site.vm_simulator.set_speed(name, 0.25)
        await asyncio.sleep(5.0)
        assert running & set(row.runs), "the runs have ended before the VM was known to be slow"
        assert row.speed < 0.5
        others = [other.speed for other in leader.fleet.rows.values() if other is not row]
        assert all(speed > 0.7 for speed in others)
        site.vm_simulator.set_speed(name, 1.0)
        await asyncio.sleep(5.0)
        assert row.speed > 0.7
        return site

    run_scenario(scenario)


def test_slow_vm_is_known_from_the_ends_of_its_runs():
    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site, 10, gap_s=0.2)
        site.vm_simulator.set_speed("vm-0", 0.25)
        await submit_jobs(site, 25, gap_s=0.2)
        leader = site.nodes[find_leader(site)].leader
        assert leader.fleet.rows["vm-0"].speed < 0.5
        assert get_expected_s(site) == pytest.approx(WORK_S, rel=0.3)
        return site

    run_scenario(scenario)


def test_restarted_vm_counts_as_normal_again():
    async def scenario():
        site = await start_site(**LEARNED)
        await submit_jobs(site)
        await asyncio.sleep(3.0)
        leader = site.nodes[find_leader(site)].leader
        name = next(iter(leader.fleet.rows))
        estimate = leader.fleet.speeds.estimates[name]
        estimate.log_speed = math.log(0.25)
        await asyncio.sleep(1.5)
        assert leader.fleet.rows[name].speed < 0.5
        site.vm_simulator.crash(name, 0.5)
        await asyncio.sleep(3.0)
        assert leader.fleet.rows[name].speed > 0.8
        return site

    run_scenario(scenario)


def test_ledger_bounds_the_records_that_it_keeps():
    """Guards against memory taken by records of unknown names or of any size."""
    ledger = Ledger()
    for number in range(MAX_LEARNED_RECORDS):
        apply_record(ledger, KeyedRecord(f"d/{number}", b"x"))
    with pytest.raises(ValueError):
        apply_record(ledger, KeyedRecord("d/more", b"x"))
    with pytest.raises(ValueError):
        apply_record(ledger, KeyedRecord("d/0", bytes(70_000)))
    assert len(ledger.learned) == MAX_LEARNED_RECORDS - 1
    apply_record(ledger, KeyedRecord("d/1", b""))
    assert "d/1" not in ledger.learned
