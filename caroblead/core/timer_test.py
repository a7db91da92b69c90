"""Tests of the timer service."""

import asyncio

import pytest

from .loop import run_in_virtual_time
from .timer import TimerService, wait_for_event


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


@pytest.mark.parametrize("passes", range(5))
def test_loop_that_is_cancelled_as_its_event_is_set_ends(passes):
    async def scenario():
        event = asyncio.Event()

        async def work():
            while True:
                await wait_for_event(event, 0.25)
                event.clear()

        task = asyncio.create_task(work())
        await asyncio.sleep(0.1)
        event.set()
        for _ in range(passes):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(1)
        assert task.done()

    run_in_virtual_time(scenario())


def test_wait_for_an_event_tells_whether_it_was_set_in_time():
    async def scenario():
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.1)
        asyncio.get_running_loop().call_later(0.1, event.set)
        assert await wait_for_event(event, 0.2)
        assert await wait_for_event(event, 0.0)

    run_in_virtual_time(scenario())
