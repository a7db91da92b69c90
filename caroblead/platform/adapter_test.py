"""Tests of the adapters against a server that implements the platform's protocol."""

import asyncio

import orjson
import pytest

from ..core.outcome import LogError
from ..core.resource import Resources
from ..dispatch.interface import (
    EndReason,
    Fence,
    FencedError,
    HistoryGoneError,
    HoldAnswer,
    NoAnswer,
    Refused,
    Started,
    StartOrder,
    StartRefusal,
    Target,
    TaskName,
)
from ..jobs.data import JobState
from ..jobs.record import KeyedRecord
from ..standin.cluster import make_listed_vm
from ..standin.platform import HttpPlatform
from ..standin.vmsimulator import TaskBehavior, VmSimulator
from .advisor import PlatformAdvisor
from .configuration import decode_configuration
from .http import HttpClient
from .jobs import decode_spec, encode_state
from .log import PlatformLog
from .registry import decode_vm
from .vms import PlatformVms

TASK = TaskName("00000000000000aa", 0, 1, 2)


def run_with_platform(scenario):
    async def main():
        vm_simulator = VmSimulator(lambda task, number: TaskBehavior(0.01, Resources(1000, 1)))
        vm_simulator.add(make_listed_vm(0))
        server, http = HttpPlatform(vm_simulator), HttpClient()
        await server.start()
        try:
            await scenario(server, http)
        finally:
            await http.close()
            await server.close()

    asyncio.run(main())


def test_log_keeps_append_order_and_newest_records_and_rejects_older_terms():
    async def scenario(server, http):
        log = PlatformLog(http, server.address, "keyed.test")
        server.keys_per_page = 2
        first = [KeyedRecord("a", b"1"), KeyedRecord("b/ä", b"2"), KeyedRecord("a", b"3")]
        assert await log.append(first, None, 1.0) == 0
        batch = await log.read(1, 0.0)
        assert batch.records == first[1:]
        assert (batch.next_offset, batch.end_offset) == (3, 3)
        await log.append([KeyedRecord("c", b""), KeyedRecord("d", b"4")], Fence(2, 0), 1.0)
        assert await log.append([KeyedRecord("d", b"4")], Fence(2, 0), 1.0) == 3
        with pytest.raises(FencedError):
            await log.append([KeyedRecord("e", b"5")], Fence(1, 1), 1.0)
        newest = await log.read_newest()
        assert [(item.key, item.value) for item in newest.records] == [
            ("b/ä", b"2"),
            ("a", b"3"),
            ("d", b"4"),
        ]
        assert newest.next_offset == 5

    run_with_platform(scenario)


def test_long_log_is_read_in_parts_that_a_slow_link_transfers_in_time():
    async def scenario(server, http):
        log = PlatformLog(http, server.address, "keyed.test")
        records = [KeyedRecord(f"k{number}", bytes(10_000)) for number in range(100)]
        await log.append(records, None, 1.0)
        found = []
        while len(found) < len(records):
            batch = await log.read(len(found), 0.2)
            size = sum(len(record.value) for record in batch.records)
            # The timeout of a read leaves half a second for the transfer over a link of 4 Mbit/s.
            assert 0 < size * 8 <= 4_000_000 * 0.5
            found += batch.records
            assert batch.end_offset == len(records)
        assert found == records

    run_with_platform(scenario)


# A node asked for the same 128 KB for ever and never got beyond a record that is larger.
def test_record_that_is_larger_than_a_part_of_the_log_is_read():
    async def scenario(server, http):
        log = PlatformLog(http, server.address, "keyed.test")
        sizes = [10, 200_000, 262_000, 10]
        records = [KeyedRecord(f"k{number}", bytes(size)) for number, size in enumerate(sizes)]
        await log.append(records, None, 1.0)
        found = []
        for _ in sizes:
            found += (await log.read(len(found), 0.2)).records
        assert found == records

    run_with_platform(scenario)


def test_log_error_tells_whether_append_may_have_taken_effect():
    async def scenario(server, http):
        log = PlatformLog(http, server.address, "keyed.test")
        await log.append([KeyedRecord("a", b"1")], None, 1.0)
        server.topics["keyed.test"].drop_history()
        with pytest.raises(HistoryGoneError):
            await log.read(0, 0.0)
        server.status = 503
        with pytest.raises(LogError) as rejected:
            await log.append([KeyedRecord("a", b"1")], None, 1.0)
        assert not rejected.value.sent
        server.status = 500
        with pytest.raises(LogError) as in_doubt:
            await log.append([KeyedRecord("a", b"1")], None, 1.0)
        assert in_doubt.value.sent

    run_with_platform(scenario)


def test_vm_commands_are_sent_and_responses_are_decoded():
    async def scenario(server, http):
        vms = PlatformVms(http)
        target = Target("vm-0", 1, server.address)
        order = StartOrder(TASK, 1, "payload", 60_000, fence=3)
        assert isinstance(await vms.start(target, order), Started)
        answer = await vms.hold(target, 3, 0, 60_000, 1.0)
        assert isinstance(answer, HoldAnswer)
        assert [(end.task, end.reason) for end in answer.ended] == [(TASK, EndReason.DONE)]
        assert await vms.start(target, order) == Refused(StartRefusal.SUPERSEDED)
        assert await vms.stop(target, TASK, 1, 2) == Refused(StartRefusal.FENCED)
        assert isinstance(await vms.pace(target, TASK, 1, 50, 3), Started)
        assert await vms.pace(target, TASK, 1, 50, 2) == Refused(StartRefusal.FENCED)
        assert await vms.hold(target, 2, 0, None, 0.0) == Refused(StartRefusal.FENCED)
        server.status = 421
        assert await vms.start(target, order) == Refused(StartRefusal.OTHER_INCARNATION)
        server.status = 503
        assert await vms.start(target, order) == Refused(StartRefusal.UNHEALTHY)
        unreachable = Target("vm-0", 1, "127.0.0.1:1")
        assert isinstance(await vms.start(unreachable, order), NoAnswer)

    run_with_platform(scenario)


def test_advice_maps_allowed_vms_to_their_tickets():
    async def scenario(server, http):
        server.advice = {"vm-1": "t1"}
        advisor = PlatformAdvisor(http, server.address)
        assert (await advisor.ask("job.0.0", ["vm-0", "vm-1"], 1.0)).tickets == {"vm-1": "t1"}
        server.status = 429
        assert (await advisor.ask("job.0.0", ["vm-0"], 1.0)).tickets is None

    run_with_platform(scenario)


def test_job_fields_are_decoded_in_their_units():
    body = orjson.dumps(
        {
            "spec": "text",
            "steps": [
                {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
                {"count": 2, "cpu": 1, "after": [0], "gang": True, "antiAffinity": 1},
            ],
            "repetitions": 2,
            "startAtMs": 5000,
            "intervalMs": 250,
        }
    )
    spec = decode_spec(body)
    assert spec.steps[0].need == Resources(500, 256)
    assert spec.steps[0].estimate_s == 0.9
    assert spec.steps[1].after == (0,)
    assert (spec.repeats, spec.first_due_s, spec.interval_s) == (2, 5.0, 0.25)
    assert encode_state(JobState.DONE) == b'{"state":"completed"}'


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"spec":1,"steps":[{"count":1}]}',
        b'{"spec":"x"}',
        b'{"spec":"x","steps":[]}',
        b'{"spec":"x","steps":[{"count":0}]}',
        b'{"spec":"x","steps":[{"count":"2"}]}',
        b'{"spec":"x","steps":[{"count":1,"cpu":-1}]}',
        b'{"spec":"x","steps":[{"count":1,"after":[0]}]}',
    ],
)
def test_malformed_job_is_rejected(body):
    with pytest.raises(ValueError):
        decode_spec(body)


@pytest.mark.parametrize(
    "value",
    [b"", b"null", b"[]", b"{}", b'{"version":1}', b'{"version":1,"routes":[{"name":"x"}]}'],
)
def test_malformed_configuration_is_rejected(value):
    with pytest.raises(ValueError):
        decode_configuration(value)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"7",
        b"{}",
        b'{"service":1,"address":"a:1","zone":"z","state":"available","capacity":{}}',
        b'{"service":"s","address":"a:1","zone":"z","state":"odd","capacity":{"cpu":1,"memMb":1}}',
    ],
)
def test_registry_entry_without_usable_vm_is_rejected(value):
    with pytest.raises(ValueError):
        decode_vm("vm", value)
