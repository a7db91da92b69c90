"""Tests of the timer service."""

import asyncio

from .loop import run_in_virtual_time
from .timer import TimerService


def test_callback_may_return_a_coroutine_and_is_skipped_while_it_runs():
    async def scenario():
        calls, finished = [], []

        async def work():
            await asyncio.sleep(0.25)
            finished.append(1)

        def start_work():
            calls.append(1)
            return work() if len(calls) == 1 else None

        timers = TimerService()
        timers.subscribe(0.1, start_work)
        await asyncio.sleep(0.3)
        assert (len(calls), len(finished)) == (1, 0)
        await asyncio.sleep(0.3)
        assert len(calls) > 1
        assert finished == [1]
        timers.close()

    run_in_virtual_time(scenario())


def test_timer_survives_an_exception_in_its_callback():
    async def scenario():
        calls = []

        def fail():
            calls.append(1)
            raise ValueError("one malformed entry")

        timers = TimerService()
        timers.subscribe(0.1, fail)
        await asyncio.sleep(1.0)
        timers.close()
        return len(calls)

    assert run_in_virtual_time(scenario()) >= 8
