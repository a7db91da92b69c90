"""What callers are told about their records while the log refuses, loses and delays appends."""

import asyncio
import random

import pytest

from ..core.outcome import LogError
from ..dispatch.interface import LogLimits, RecordsRefusedError
from ..jobs.record import KeyedRecord
from .appender import Appender, AppendResult
from .appender_test import play

RECORDS = 60
LATEST_S = 8.0
STEPS = ("store", "refuse", "refuse_for_good", "lose_answer", "delay", "fail", "lose_request")


class FaultyLog:
    """A log that draws the outcome of each append; an append without an answer may come later."""

    limits = LogLimits()

    def __init__(self, generator: random.Random):
        self.generator = generator
        self.stored: set[str] = set()

    async def append(self, records, fence, timeout_s):
        step = self.generator.choice(STEPS)
        keys = [record.key for record in records]
        await asyncio.sleep(self.generator.uniform(0.0, 0.1))
        if step == "refuse_for_good":
            raise RecordsRefusedError("refused")
        if step == "refuse":
            raise LogError("refused", False)
        if step == "lose_request":
            await asyncio.sleep(timeout_s)
            raise LogError("no response", True)
        if step == "delay":
            delay_s = self.generator.uniform(0.0, LATEST_S)
            asyncio.get_running_loop().call_later(delay_s, self.stored.update, keys)
            await asyncio.sleep(timeout_s)
            raise LogError("no response", True)
        self.stored.update(keys)
        if step == "lose_answer":
            raise LogError("connection reset", True)
        if step == "fail":
            raise ValueError("an unexpected answer")
        return 0


async def append_and_give_up(seed: int) -> tuple[dict[str, AppendResult], set[str]]:
    """Returns what the callers were told, by record, and which records the log has in the end."""
    generator = random.Random(seed)
    log = FaultyLog(generator)
    appender, told = Appender(log), {}
    running = asyncio.create_task(appender.run())

    async def call(key: str):
        record = KeyedRecord(key, b"1")
        told[key] = await appender.append(record, generator.uniform(0.05, 3.0))

    calls = []
    for number in range(RECORDS):
        calls.append(asyncio.create_task(call(f"j/{number}")))
        await asyncio.sleep(generator.uniform(0.0, 0.1))
        if generator.random() < 0.1:
            generator.choice(calls).cancel()
    if generator.random() < 0.5:
        appender.give_up()
    await asyncio.gather(*calls, return_exceptions=True)
    await asyncio.sleep(LATEST_S)
    running.cancel()
    return told, log.stored


@pytest.mark.parametrize("seed", range(30))
def test_record_reported_as_not_stored_is_never_in_the_log_and_a_stored_one_always(seed):
    told, stored = play(lambda: append_and_give_up(seed))
    for key, result in told.items():
        if result is not AppendResult.UNKNOWN:
            assert (result is AppendResult.STORED) == (key in stored), key
