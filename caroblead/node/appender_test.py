"""Appends of many nodes to a slow store, which carries out one append at a time."""

import asyncio

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..core.outcome import LogError
from ..dispatch.interface import LogLimits, RecordsRefusedError
from ..jobs.record import KeyedRecord
from ..standin.keyedlog import CallerFaults, MemoryLog, MemoryTopic
from .appender import Appender, AppendResult, compute_pause_s

APPEND_S = 0.078
NODES = 7
JOBS_PER_S = 40.0
LOAD_S = 6.0


class SerialLog:
    """A partition whose appends each take :data:`APPEND_S` and wait for one another."""

    limits = LogLimits()

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

    limits = LogLimits()

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


LIMITS = LogLimits(record_bytes=300, call_bytes=700)


async def append_all(topic: MemoryTopic, records, **faults) -> list[AppendResult]:
    """Returns the results of records that callers append at the same time."""
    appender = Appender(MemoryLog(topic, CallerFaults(**faults)))
    running = asyncio.create_task(appender.run())
    results = await asyncio.gather(*(appender.append(record, 3.0) for record in records))
    running.cancel()
    return results


# The appends of up to 200 callers went into one call of any size, which the log refused for all.
def test_records_that_exceed_an_append_together_are_all_stored():
    topic = MemoryTopic(limits=LIMITS)
    records = [KeyedRecord(f"j/{number}", bytes(250)) for number in range(20)]
    results = play(lambda: append_all(topic, records))
    assert set(results) == {AppendResult.STORED}
    assert set(topic.newest) == {record.key for record in records}


def test_record_that_is_too_large_is_refused_at_once_and_alone():
    topic = MemoryTopic(limits=LIMITS)
    records = [KeyedRecord("j/0", b"1"), KeyedRecord("j/1", bytes(300)), KeyedRecord("j/2", b"1")]
    results = play(lambda: append_all(topic, records))
    assert results == [AppendResult.STORED, AppendResult.REFUSED, AppendResult.STORED]


class PickyTopic(MemoryTopic):
    """A topic that refuses one key for a reason that no limit tells."""

    calls = 0

    def check_sizes(self, records):
        self.calls += 1
        if any(record.key == "j/13" for record in records):
            raise RecordsRefusedError("refused")


def test_record_that_the_log_refuses_takes_no_other_of_its_batch_with_it():
    topic = PickyTopic()
    records = [KeyedRecord(f"j/{number}", b"1") for number in range(40)]
    results = play(lambda: append_all(topic, records))
    assert results.pop(13) is AppendResult.REFUSED
    assert set(results) == {AppendResult.STORED} and len(topic.newest) == 39
    assert topic.calls < 60


def test_record_in_a_refused_batch_is_in_doubt_while_an_earlier_append_of_it_is():
    async def scenario():
        topic, faults = PickyTopic(), CallerFaults(late_s=2.0)
        appender = Appender(MemoryLog(topic, faults))
        running = asyncio.create_task(appender.run())
        first = asyncio.create_task(appender.append(KeyedRecord("j/1", b"1"), 1.0))
        await asyncio.sleep(0.3)
        second = asyncio.create_task(appender.append(KeyedRecord("j/13", b"1"), 1.0))
        await asyncio.sleep(0.1)
        faults.late_s, faults.down = 0.0, True
        results = await asyncio.gather(first, second)
        running.cancel()
        return results

    assert play(scenario) == [AppendResult.UNKNOWN, AppendResult.NOT_STORED]
