"""Guards against a record of the log that stops the readers of the configuration."""

import asyncio
import json

import pytest

from ..core.loop import run_in_virtual_time
from .follower import Follower
from .interface import LogPage


class FakeTimeline:
    def emit(self, event):
        pass


class FakeLog:
    """Holds all records of one stream."""

    def __init__(self, records):
        self.records = records

    async def read(self, stream, start):
        return LogPage(0, start, self.records[start:])


def encode_ticket(number) -> str:
    ticket = {"ticket": number, "teams": [{"name": "a", "max_running": number}]}
    return json.dumps({"ticket": ticket, "nonce": f"n{number}"})


@pytest.mark.parametrize(
    "odd",
    [
        "",
        "{",
        "[]",
        "7",
        "{}",
        '{"ticket":7}',
        '{"ticket":{"ticket":9}}',
        '{"state":7,"through":0}',
        '{"state":{"number":"x"}}',
        "[" * 100_000,
        '{"state":' + "[" * 900 + "]" * 900 + "}",
    ],
)
def test_odd_record_is_passed_over_and_the_next_ticket_is_in_force(odd):
    async def main():
        log = FakeLog([encode_ticket(1), odd, encode_ticket(2)])
        follower = Follower("gate", log, None, FakeTimeline())
        await asyncio.wait_for(follower.read_log(), 1.0)
        assert follower.state.number == 2
        assert follower.offset == 3

    run_in_virtual_time(main())
