"""Appends of many nodes to a slow store, which carries out one append at a time."""

import asyncio

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..core.outcome import LogError
from ..jobs.record import KeyedRecord
from .appender import Appender, AppendResult, compute_pause_s

APPEND_S = 0.078
NODES = 7
JOBS_PER_S = 40.0
LOAD_S = 6.0


class SerialLog:
    """A partition whose appends each take :data:`APPEND_S` and wait for one another."""

    def __init__(self):
        self.lock = asyncio.Lock()

    async def append(self, records, fence, timeout_s):
        async with asyncio.timeout(timeout_s), self.lock:
            await asyncio.sleep(APPEND_S)
        return 0


async def measure_leader_append_s() -> float:
    """Returns how long an append of the leader takes in the mean, under jobs at every node."""
    log = SerialLog()
    appenders = [Appender(log) for _ in range(NODES)]
    tasks = [asyncio.create_task(appender.run()) for appender in appenders]
    calls, spent_s = [], []
    loop = asyncio.get_running_loop()

    async def lead():
        while True:
            began_s = loop.time()
            await log.append([], None, 10.0)
            spent_s.append(loop.time() - began_s)

    tasks.append(asyncio.create_task(lead()))
    for number in range(int(LOAD_S * JOBS_PER_S)):
        appender = appenders[number % NODES]
        record = KeyedRecord(f"j/{number}", b"1")
        calls.append(asyncio.create_task(appender.append(record, 3.0)))
        await asyncio.sleep(1 / JOBS_PER_S)
    results = await asyncio.gather(*calls)
    assert set(results) == {AppendResult.STORED}
    for task in tasks:
        task.cancel()
    return sum(spent_s) / len(spent_s)


def play(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        use_clocks(loop.time, loop.time)
        try:
            return await scenario()
        finally:
            use_system_clocks()

    return run_in_virtual_time(main())


def test_leader_waits_behind_few_appends_of_jobs_while_the_store_is_slow():
    assert play(measure_leader_append_s) < 0.6 * (NODES + 1) * APPEND_S


def test_appends_follow_each_other_without_a_pause_while_the_store_is_fast():
    assert compute_pause_s(0.006) == 0.0
    assert compute_pause_s(0.1) == 0.2
    assert compute_pause_s(5.0) == 0.4


class SilentLog:
    """A log that never answers an append."""

    async def append(self, records, fence, timeout_s):
        await asyncio.sleep(timeout_s)
        raise LogError("no response from the store", True)


async def give_up_early() -> list[AppendResult]:
    """Returns the results of a record in flight, one in the queue and one that comes later."""
    appender = Appender(SilentLog())
    running = asyncio.create_task(appender.run())
    calls = []
    for number in range(2):
        record = KeyedRecord(f"j/{number}", b"1")
        calls.append(asyncio.create_task(appender.append(record, 3.0)))
        await asyncio.sleep(0.1)
    appender.give_up()
    results = await asyncio.wait_for(asyncio.gather(*calls), 0.1)
    results.append(await asyncio.wait_for(appender.append(record, 3.0), 0.1))
    await asyncio.sleep(1.0)
    assert appender.waiting == []
    running.cancel()
    return results


def test_record_that_may_have_been_sent_is_never_reported_as_not_stored_when_appends_are_given_up():
    results = play(give_up_early)
    assert results == [AppendResult.UNKNOWN, AppendResult.NOT_STORED, AppendResult.NOT_STORED]
