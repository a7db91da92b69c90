"""Tests that each promise depends on its mechanism: without it, the checker finds a violation.

Each test replaces a mechanism by a faulty one and expects a violation of the promise. The same
scenarios pass in ``scenario_test`` with the mechanisms in place. Together they show that the faults
take effect and that the checker detects violations.
"""

from ..bench.faults import (
    change_team_limit,
    drain_owner,
    freeze_gate,
    freeze_owner,
    kill_owner,
    race_tickets,
    set_platform_faults,
    thaw_all,
    withdraw_key,
)
from ..config import state as config_state
from ..core.outcome import NotRun, Reason, Step
from ..events.event import ProcessStopped
from ..fleet.follower import Follower
from ..gate.program import Gate
from ..placer import grant, ownership, reconcile, request
from ..policy import fit, placement
from ..standin.fleet import Fleet
from ..wire.call import RpcClient
from .scenario import (
    make_site_settings,
    plan_mixed_jobs,
    plan_mixed_requests,
    run_scenario,
)


def find_violated_promises(faults, requests=240, jobs=8, seconds=15.0, **settings):
    """Runs a mixed load under faults and returns the names of the promises that were violated."""
    plans = plan_mixed_requests(requests, seconds) + plan_mixed_jobs(jobs, seconds / 2)
    report = run_scenario(make_site_settings(**settings), plans, faults, settle_s=20)
    return {violation.promise for violation in report.violations}


def grant_to_any_holder(self, vm, call, now_s):
    """Grants a lease even while another holder has it."""
    vm.holder, vm.epoch = call["holder"], max(vm.epoch, call["epoch"])
    vm.lease_end_s = now_s + call["ttl_ms"] / 1000
    return True


def begin_at_any_epoch(self, vm, name, team, epoch, repeatable, now_s, begin=Fleet.begin_request):
    """Starts a request whatever its epoch, and also when the lease has expired."""
    vm.lease_end_s = max(vm.lease_end_s, now_s + 1)
    return begin(self, vm, name, team, vm.epoch, repeatable, now_s)


def test_leases_with_epochs_keep_two_owners_apart(monkeypatch):
    monkeypatch.setattr(Fleet, "_grant", grant_to_any_holder)
    monkeypatch.setattr(Fleet, "begin_request", begin_at_any_epoch)
    monkeypatch.setattr(ownership, "_handle_refusal", lambda *arguments: None)
    monkeypatch.setattr(ownership, "_handle_lapsed_lease", lambda *arguments: None)
    monkeypatch.setattr(request, "is_valid", lambda lease, now_s: True)
    found = find_violated_promises(
        [(5, freeze_owner("z1.0")), (11, thaw_all)], service_ms=1500.0, requests=500
    )
    assert found & {"capacity", "single_place", "once"}


def test_capacity_is_reserved_before_dispatch(monkeypatch):
    monkeypatch.setattr(fit, "fits", lambda need, free: True)
    monkeypatch.setattr(fit, "list_candidates", lambda cell, need: list(cell.vms.values()))
    assert "capacity" in find_violated_promises([], jobs=48)


def test_escrow_keeps_teams_within_their_limits(monkeypatch):
    def grant_all(shard, ledger, state, team):
        return state.teams[team].max_running

    monkeypatch.setattr(grant, "compute_grant", grant_all)
    assert "limits" in find_violated_promises([(1, change_team_limit(3))], jobs=24, zones=3)


def test_request_with_a_lost_attempt_is_not_reported_as_not_run(monkeypatch):
    def finish_as_not_run(shard, entry, fault):
        request.finish_entry(shard, entry, NotRun(fault))

    def lose_as_not_run(shard, entry, lease, current):
        fault = request.make_fault(shard, Reason.ENDPOINT_LOST, Step.DISPATCH, "")
        finish_as_not_run(shard, entry, fault)

    monkeypatch.setattr(request, "_handle_lost_request", lose_as_not_run)
    monkeypatch.setattr(reconcile, "finish_without_answer", finish_as_not_run)
    found = find_violated_promises(
        [(5, set_platform_faults(mute=True)), (7, set_platform_faults(kill=["z1-v0"]))]
    )
    assert "not_run" in found


def test_lost_attempt_is_resolved_before_a_retry(monkeypatch):
    def retry_at_once(shard, entry, lease, current):
        if current:
            request.release_allocation(shard.cell, entry.task, shard.get_time())
            request.enqueue_task(shard.cell, entry.task)

    monkeypatch.setattr(request, "_handle_lost_request", retry_at_once)
    found = find_violated_promises(
        [(5, set_platform_faults(mute=True))], service_ms=3000.0, endpoint_timeout_s=2.0
    )
    assert found & {"single_place", "once"}


def test_new_owner_adopts_running_work(monkeypatch):
    monkeypatch.setattr(reconcile, "_reconcile_task", lambda *arguments: None)
    found = find_violated_promises([(5, kill_owner("z1.0")), (6, kill_owner("z2.0"))], jobs=16)
    assert found & {"single_place", "once", "capacity"}


def test_gate_refreshes_its_configuration_after_a_pause(monkeypatch):
    async def skip_refresh(self):
        return None

    async def ignore_digest(self, *arguments):
        return None

    monkeypatch.setattr(Follower, "ensure_fresh", skip_refresh)
    monkeypatch.setattr(Follower, "handle_peer_digest", ignore_digest)
    faults = [(2, freeze_gate), (3, withdraw_key("south")), (9, thaw_all)]
    assert "keys" in find_violated_promises(faults, ticket_poll_s=20.0)


def test_vm_list_of_the_platform_stops_new_work_on_a_leaving_vm(monkeypatch):
    def apply_names_only(shard, listed):
        if not shard.is_owned():
            shard.listed = listed

    monkeypatch.setattr("caroblead.placer.process.apply_vm_list", apply_names_only)
    assert "leaving" in find_violated_promises([(2, set_platform_faults(leave=["z1-v0"]))])


def test_drain_waits_for_work_in_flight(monkeypatch):
    async def stop_at_once(self):
        self.draining = True
        in_flight = self.in_flight
        await self.close()
        self.timeline.emit(ProcessStopped("gate", self.incarnation, in_flight))
        self.stopped.set()

    monkeypatch.setattr(Gate, "drain", stop_at_once)
    assert "graceful" in find_violated_promises([(5, drain_owner("z1.0"))], service_ms=1500.0)


def test_number_of_a_ticket_is_used_once(monkeypatch):
    monkeypatch.setattr("caroblead.fleet.follower.check_ticket", lambda state, ticket: [])

    def apply_number(state, ticket):
        state.number = ticket.ticket
        for section in config_state.SECTIONS:
            for part in getattr(ticket, section):
                entry = config_state.Entry(section, ticket.ticket, part)
                state.entries.pop((section, part.name), None)
                config_state._put(state, entry)
        return []

    monkeypatch.setattr("caroblead.fleet.follower.apply_ticket", apply_number)

    async def publish_lower_number(site):
        await site.publish({"ticket": 5, "teams": [{"name": "south", "max_running": 9}]})
        await site.publish({"ticket": 4, "teams": [{"name": "south", "max_running": 50}]})

    assert "configuration" in find_violated_promises(
        [(2, race_tickets), (4, publish_lower_number)], requests=20, jobs=0
    )


def test_answers_are_matched_by_call_id(monkeypatch):
    read_answers = RpcClient._read_answers

    async def read_mismatched(self, address, connection):
        class MismatchedCalls(dict):
            """Gives each answer to the oldest open call, whatever its call id."""

            def pop(self, key, default=None):
                oldest = next(iter(self), key)
                return super().pop(oldest, default)

        connection.pending_calls = MismatchedCalls(connection.pending_calls)
        await read_answers(self, address, connection)

    monkeypatch.setattr(RpcClient, "_read_answers", read_mismatched)
    assert "answers" in find_violated_promises([], jobs=0)


def test_tick_does_not_place_beyond_the_grant(monkeypatch):
    original = placement._place_class

    def place_without_grant(cell, kind, tick):
        for row in cell.teams.values():
            row.grant = 10_000
        original(cell, kind, tick)

    monkeypatch.setattr(placement, "_place_class", place_without_grant)
    assert "limits" in find_violated_promises(
        [(1, change_team_limit(3))], jobs=24, seconds=40.0, service_ms=1500.0
    )
