"""Tests each required failure under load: alone, in pairs and repeated, with a check at the end.

The bounds are the stated targets: a takeover within 6 seconds and 3 lease periods, a ticket in
force within 3 seconds, and within 14 seconds over a lossy link.
"""

import pytest

from ..bench.faults import (
    change_team_limit,
    drain_owner,
    freeze_gate,
    freeze_owner,
    heal,
    kill_owner,
    partition_zone,
    race_tickets,
    restart_killed_placers,
    run_seed,
    set_platform_faults,
    thaw_all,
    withdraw_key,
)
from ..events.event import ProcessStopped, TicketInForce, WorkStarted
from .scenario import (
    list_lost_jobs,
    list_takeover_delays,
    list_unfinished_jobs,
    make_site_settings,
    plan_mixed_jobs,
    plan_mixed_requests,
    run_scenario,
)

MAX_TAKEOVER_S = 6.0
MAX_TAKEOVER_LEASES = 3
MAX_PROPAGATION_S = 3.0
MAX_URGENT_WAIT_S = 6.0
VM = "z1-v0"

KILL = [(5, kill_owner("z1.0")), (20, restart_killed_placers)]
KILL_TWICE = [*KILL, (12, kill_owner("z1.0")), (30, restart_killed_placers)]
FREEZE = [(5, freeze_owner("z1.0")), (14, thaw_all)]
FREEZE_GATE = [(5, freeze_gate), (14, thaw_all)]
CUT = [(5, partition_zone("z1", False)), (25, heal)]
CUT_ALL = [(5, partition_zone("z1", True)), (25, heal)]
LOG_DOWN = [(3, set_platform_faults(log="down")), (20, set_platform_faults(log="up"))]
LOG_SLOW = [(3, set_platform_faults(log="slow")), (20, set_platform_faults(log="up"))]
LOST_ANSWERS = [(1, set_platform_faults(log="lose_answers")), (20, set_platform_faults(log="up"))]
VM_KILLED = [(5, set_platform_faults(kill=[VM])), (9, set_platform_faults(remove=[VM]))]
VM_SILENT = [(5, set_platform_faults(silence=[VM])), (25, set_platform_faults(revive=[VM]))]
VM_LEAVES = [(5, set_platform_faults(leave=[VM]))]
VM_FAILS_ALL = [(2, set_platform_faults(**{"break": [VM]}))]
SILENT_CONNECTIONS = [(5, set_platform_faults(mute=True)), (11, set_platform_faults(mute=True))]
DRAIN = [(5, drain_owner("z1.0"))]
LIMITS = [(3, change_team_limit(4)), (9, change_team_limit(60))]

FAULTS = {
    "none": [],
    "kill": KILL,
    "kill twice": KILL_TWICE,
    "freeze": FREEZE,
    "freeze gate and withdraw key": [*FREEZE_GATE, (6, withdraw_key("south"))],
    "cut zone from zone": CUT,
    "cut zone from all": CUT_ALL,
    "log down": LOG_DOWN,
    "log slow": LOG_SLOW,
    "lost answers": LOST_ANSWERS,
    "vm dies": VM_KILLED,
    "vm silent": VM_SILENT,
    "vm leaves": VM_LEAVES,
    "vm fails everything": VM_FAILS_ALL,
    "silent connections twice": SILENT_CONNECTIONS,
    "drain": DRAIN,
    "limits change": LIMITS,
    "kill and log down": KILL + LOG_DOWN,
    "kill and vm dies": KILL + VM_KILLED,
    "freeze and lost answers": FREEZE + LOST_ANSWERS,
    "cut and kill": CUT_ALL + KILL,
    "drain and log slow": DRAIN + LOG_SLOW,
    "operators race while cut": [*CUT, (8, race_tickets)],
    "sizes ten times off": [(0, set_platform_faults(size_error=10.0))],
}


def run_mixed_load(faults, requests=240, jobs=12, **settings):
    """Runs requests and jobs of every kind under faults and returns the report."""
    plans = plan_mixed_requests(requests, 15) + plan_mixed_jobs(jobs, 10)
    return run_scenario(make_site_settings(**settings), plans, faults, settle_s=35)


@pytest.mark.parametrize("name", FAULTS)
def test_promises_hold_under(name):
    report = run_mixed_load(FAULTS[name])
    assert report.violations == []
    assert list_lost_jobs(report) == set()
    assert sum(report.result.outcomes.values()) == report.result.requests


def test_without_faults_everything_is_answered_and_done():
    report = run_mixed_load([])
    assert report.result.outcomes == {"answered": 240}
    assert report.result.job_outcomes == {"accepted": 12}
    assert list_unfinished_jobs(report) == set()


def test_takeover_after_a_kill_is_in_time():
    report = run_mixed_load(KILL)
    takeover_delays = list_takeover_delays(report)
    assert takeover_delays and takeover_delays[0] < MAX_TAKEOVER_S
    assert takeover_delays[0] < MAX_TAKEOVER_LEASES * report.site.site.limits.lease_s


def test_silent_connections_are_found_by_a_probe_and_replaced():
    """Urgent work has 6 s to start, so a silent connection must be detected well before that."""
    report = run_mixed_load(SILENT_CONNECTIONS)
    assert set(report.result.reasons) <= {
        ("unknown", "endpoint_lost"),
        ("job unknown", "log_down"),
    }
    repeatable = [report.result.waits[name] for name in ("check", "recalc", "hours")]
    assert all(wait.get_max_value() / 1e6 < MAX_URGENT_WAIT_S for wait in repeatable)


def test_drain_interrupts_no_work():
    report = run_mixed_load(DRAIN, zones=2, nodes=2)
    stops = [r.event for r in report.history if isinstance(r.event, ProcessStopped)]
    assert {stop.program for stop in stops} == {"gate", "placer"}
    assert report.result.outcomes == {"answered": 240}
    assert list_unfinished_jobs(report) == set()


def test_log_outage_rejects_only_work_that_needs_a_log_record():
    report = run_mixed_load(LOG_DOWN)
    assert report.result.outcomes == {"answered": 240}
    assert report.result.job_outcomes["not_run"] > 0
    assert set(report.result.reasons) == {("job not_run", "log_down")}


def test_lost_log_responses_duplicate_no_job():
    report = run_mixed_load(LOST_ANSWERS)
    assert report.result.job_outcomes == {"accepted": 12}
    starts = [r.event for r in report.history if isinstance(r.event, WorkStarted)]
    renders = [s.task for s in starts if not s.slots and not s.repeatable]
    assert renders and len(renders) == len(set(renders))


def test_accepted_jobs_finish_after_their_owner_is_killed():
    report = run_mixed_load(KILL_TWICE)
    assert list_unfinished_jobs(report) == set()


def test_one_of_two_racing_tickets_wins_everywhere():
    report = run_scenario(make_site_settings(), [], [(2, race_tickets)], settle_s=10)
    final = {
        record.node: record.event.config
        for record in report.history
        if isinstance(record.event, TicketInForce)
    }
    assert len(set(final.values())) == 1
    assert report.violations == []


def test_ticket_is_in_force_everywhere_in_time_at_nine_entry_vms():
    settings = make_site_settings(zones=3, nodes=3)
    report = run_scenario(settings, [], [(4, change_team_limit(30))], settle_s=10)
    accepted = [r for r in report.history if type(r.event).__name__ == "TicketAccepted"][-1]
    applied = [
        record.at_s - accepted.at_s
        for record in report.history
        if isinstance(record.event, TicketInForce) and record.event.ticket == 2
    ]
    assert len(applied) == 18
    assert max(applied) < MAX_PROPAGATION_S


def test_zone_without_the_log_gets_a_ticket_from_a_peer():
    """One zone can't reach the log, but it can reach its peers, which have the ticket."""

    def cut_log(site):
        site.platform.cuts = {(node.node, "log") for node in site.site.nodes if node.zone == "z2"}

    report = run_scenario(
        make_site_settings(), [], [(2, cut_log), (4, change_team_limit(30))], settle_s=20
    )
    informed_nodes = {
        r.node for r in report.history if isinstance(r.event, TicketInForce) and r.event.ticket == 2
    }
    assert len(informed_nodes) == 8


def test_log_truncated_by_retention_loses_no_configuration():
    settings = make_site_settings(record_refresh_s=20.0)
    standin = settings.standin.model_copy(update={"retention_s": 60.0})
    settings = settings.model_copy(update={"standin": standin})

    async def replace(site):
        node = site.site.nodes[0]
        await site.kill_placer(node.node)
        await site.kill_gate(node.node)
        await site.start_placer(node, 90)
        await site.start_gate(node, 91)

    report = run_scenario(
        settings, plan_mixed_requests(40, 150), [(2, change_team_limit(30)), (120, replace)], 20
    )
    assert report.violations == []
    assert report.result.outcomes["answered"] == 40
    last = [r.event.ticket for r in report.history if isinstance(r.event, TicketInForce)][-1]
    assert last == 2


def test_same_seed_gives_the_same_answers():
    first, second = run_seed(3)[0], run_seed(3)[0]
    assert first.result.outcomes == second.result.outcomes


# Seed 91: a placer drains while the connections to its endpoints are silent and a VM is killed. It
# stopped while requests that no endpoint would ever answer were in flight.
@pytest.mark.parametrize("seed", [91])
def test_seed_of_mixed_faults_that_once_failed_breaks_no_promise(seed):
    report, _ = run_seed(seed)
    assert report.violations == []
