"""Shows that each promise rests on its mechanism: with the mechanism taken out, it is broken.

These are the runs that fail first. ``trial_test`` runs trials of the same kind with every mechanism
in place, so neither the faults nor the checker are idle.
"""

from dataclasses import replace

import pytest

from ..dispatch import leader, planning, settle, tick, watch
from ..dispatch.commit import CommitQueue
from ..dispatch.fleet import RunPhase, observe_clock, put_vm
from ..dispatch.interface import NoAnswer
from ..dispatch.leader import Leader
from ..dispatch.leader_test import DRAIN_S, drain_a_vm, order_while_a_vm_starts_again
from ..dispatch.orders import OrderDesk
from ..jobs.ledger import JobCancelled
from ..standin.cluster import play
from ..standin.trial import judge_site, run_trial
from ..standin.verdict import list_late_starts
from .appender import Appender, Stored
from .election import Election
from .program_test import forget_history_early_in_a_term


def send_before_recording(monkeypatch):
    mark = CommitQueue.mark

    def mark_and_send(self, work, callback=None):
        mark(self, work)
        if callback is not None:
            callback()

    monkeypatch.setattr(CommitQueue, "mark", mark_and_send)


def forget_ends_before_recording(monkeypatch):
    async def trust(self, timeout_s):
        return True

    monkeypatch.setattr(Leader, "wait_recorded", trust)


def take_silence_for_lapse(monkeypatch):
    def is_silent(fleet, row, now_s):
        return row.answered and now_s - row.heard_s > 1.5

    monkeypatch.setattr(leader, "has_lapsed", is_silent)


def forget_leases_of_the_former_leader(monkeypatch):
    def take_first_answer(fleet, row, clock_ms, now_s):
        observe_clock(row, clock_ms, now_s)
        row.answered = True

    monkeypatch.setattr(watch, "observe_first_answer", take_first_answer)


def take_no_answer_for_refusal(monkeypatch):
    take = OrderDesk._take_start_outcome

    def give_up(self, run, outcome):
        if isinstance(outcome, NoAnswer):
            self.reports.on_gone(run, "no answer")
        else:
            take(self, run, outcome)

    monkeypatch.setattr(OrderDesk, "_take_start_outcome", give_up)


def take_new_life_for_empty(monkeypatch):
    reborn = Leader.on_reborn

    def drop_all(self, row, incarnation):
        for run in list(row.runs.values()):
            run.unanswered = False
            run.phase = RunPhase.STOPPING
        reborn(self, row, incarnation)

    monkeypatch.setattr(Leader, "on_reborn", drop_all)


def ignore_what_the_former_leader_ordered(monkeypatch):
    monkeypatch.setattr(Leader, "_inherit_run", lambda self, step, record: None)


def ignore_cap(monkeypatch):
    monkeypatch.setattr(planning, "count_allowance", lambda team, used, need: 1_000)


def ignore_room(monkeypatch):
    monkeypatch.setattr(planning, "fits", lambda need, free: True)
    monkeypatch.setattr(planning, "count_fit", lambda need, free: 4)


def ignore_order_of_steps(monkeypatch):
    monkeypatch.setattr(tick, "is_step_ready", lambda step: bool(step.waiting))


def allow_any_number_of_attempts(monkeypatch):
    def forget(step, run, settlement):
        step.part.failures.clear()

    monkeypatch.setattr(settle, "_settle_failed", forget)


def ignore_cancellations(monkeypatch):
    apply = Leader.apply_change

    def pass_over(self, change):
        if not isinstance(change, JobCancelled):
            apply(self, change)

    monkeypatch.setattr(Leader, "apply_change", pass_over)


def say_refused_when_unknown(monkeypatch):
    append = Appender.append

    async def append_or_deny(self, record, timeout_s):
        stored = await append(self, record, timeout_s)
        return Stored.NO if stored is Stored.UNKNOWN else stored

    monkeypatch.setattr(Appender, "append", append_or_deny)


def lead_twice_in_one_term(monkeypatch):
    take = Election._take_own_term

    def forget_and_take(self, term):
        self.led_number = 0
        take(self, term)

    monkeypatch.setattr(Election, "_take_own_term", forget_and_take)


@pytest.mark.parametrize(
    ("remove", "seed"),
    [
        (send_before_recording, 0),
        (forget_ends_before_recording, 0),
        (take_silence_for_lapse, 5),
        (forget_leases_of_the_former_leader, 0),
        (take_no_answer_for_refusal, 5),
        (ignore_what_the_former_leader_ordered, 0),
        (ignore_cap, 0),
        (ignore_room, 0),
        (ignore_order_of_steps, 0),
        (allow_any_number_of_attempts, 0),
        (ignore_cancellations, 5),
        (say_refused_when_unknown, 0),
    ],
)
def test_trial_breaks_a_promise_without_the_mechanism(remove, seed, monkeypatch):
    remove(monkeypatch)
    assert run_trial(seed).problems


@pytest.mark.parametrize(
    ("remove", "scenario"),
    [
        (take_new_life_for_empty, order_while_a_vm_starts_again),
        (lead_twice_in_one_term, forget_history_early_in_a_term),
    ],
)
def test_scenario_breaks_a_promise_without_the_mechanism(remove, scenario, monkeypatch):
    remove(monkeypatch)
    assert judge_site(play(scenario))


def test_vm_that_drains_gets_work_without_the_mechanism(monkeypatch):
    def put_as_available(fleet, listed):
        return put_vm(fleet, replace(listed, draining=False))

    monkeypatch.setattr(leader, "put_vm", put_as_available)
    site = play(drain_a_vm)
    assert list_late_starts(site.park.history, site.draining_s, DRAIN_S)
