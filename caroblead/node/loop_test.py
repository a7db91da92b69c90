"""An unexpected error in one entry of a loop is logged, and the loop goes on.

A node whose loops ended at the first error would still answer, with knowledge that grows old.
"""

import asyncio

from ..dispatch import tick
from ..dispatch.advice import advicerequest
from ..dispatch.watch import Watch
from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..standin.cluster import ADVISED, find_leader, run_scenario, start_site, submit
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .appender import Appender
from .program import Node


def fail_every_third_call(monkeypatch, owner, name):
    """Makes a function or method raise an unexpected error in every third call."""
    original, calls = getattr(owner, name), []

    def count_call():
        calls.append(1)
        if len(calls) % 3 == 0:
            raise RuntimeError("an error that nobody expected")

    def fail_sometimes(*arguments):
        count_call()
        return original(*arguments)

    async def fail_sometimes_when_awaited(*arguments):
        count_call()
        return await original(*arguments)

    is_coroutine = asyncio.iscoroutinefunction(original)
    replacement = fail_sometimes_when_awaited if is_coroutine else fail_sometimes
    monkeypatch.setattr(owner, name, replacement)


def run_jobs():
    """Submits twelve jobs and checks that those that were accepted are done."""

    async def scenario():
        site = await start_site()
        jobs = []
        for _ in range(12):
            job = await submit(site, "n0", make_spec(make_step(2), seconds=0.3))
            if job in site.caller_records.accepted:
                jobs.append(job)
            await asyncio.sleep(0.1)
        await asyncio.sleep(10)
        ledger = site.nodes[find_leader(site)].ledger
        assert len(jobs) >= 6
        assert {find_state(ledger, job) for job in jobs} == {JobState.DONE}
        return site

    return run_scenario(scenario)


def test_errors_of_the_tick_do_not_end_the_ticks(monkeypatch):
    fail_every_third_call(monkeypatch, tick, "plan_starts")
    assert check_site(run_jobs()) == []


def test_errors_of_a_poll_do_not_end_the_watch_of_a_vm(monkeypatch):
    fail_every_third_call(monkeypatch, Watch, "_reconcile")
    assert check_site(run_jobs()) == []


def test_errors_of_an_append_do_not_end_the_appender(monkeypatch):
    fail_every_third_call(monkeypatch, Appender, "_append")
    run_jobs()


def test_errors_of_a_consumer_do_not_end_the_reading_of_the_log(monkeypatch):
    fail_every_third_call(monkeypatch, Node, "_consume")
    run_jobs()


def test_error_in_a_request_for_advice_does_not_leave_its_step_waiting(monkeypatch):
    fail_every_third_call(monkeypatch, advicerequest, "choose_vms_to_ask")

    async def scenario():
        site = await start_site()
        for _ in range(6):
            await submit(site, "n0", make_spec(make_step(2), seconds=0.3), ADVISED.name)
        await asyncio.sleep(10)
        return site

    assert check_site(run_scenario(scenario)) == []
