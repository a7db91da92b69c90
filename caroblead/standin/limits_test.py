"""The stand-ins refuse what the platform refuses: else no test could meet such a refusal."""

import asyncio

import pytest

from ..core.outcome import LogError
from ..core.resource import Resources
from ..dispatch.interface import LogLimits, RecordsRefusedError, StartOrder, TaskName
from ..jobs.record import KeyedRecord
from ..platform.http import HttpClient
from ..platform.log import PlatformLog
from .cluster import make_listed_vm
from .keyedlog import MemoryTopic
from .limits import (
    MAX_ENDS_PER_ANSWER,
    MAX_TOPICS,
    MAX_WAITING_QUESTIONS,
    READS_PER_S,
    CallRate,
    Partition,
)
from .platform import HttpPlatform
from .vmsimulator import TaskBehavior, VmSimulator

LIMITS = LogLimits(record_bytes=100, call_bytes=250)


def make_record(size, key="k"):
    record = KeyedRecord(key, b"")
    return KeyedRecord(key, bytes(size - record.size))


def run_with_platform(scenario, **options):
    async def main():
        server, http = HttpPlatform(VmSimulator(lambda task, number: None)), HttpClient()
        await server.start()
        server.topics["keyed.test"] = MemoryTopic(**options)
        try:
            await scenario(server, PlatformLog(http, server.address, "keyed.test"), http)
        finally:
            await http.close()
            await server.close()

    asyncio.run(main())


@pytest.mark.parametrize("sizes", [[101], [10, 101], [90, 90, 90]])
def test_records_beyond_the_sizes_of_the_log_are_refused_all_together(sizes):
    async def scenario(server, log, http):
        await log.append([make_record(100), make_record(100), make_record(50)], None, 1.0)
        with pytest.raises(RecordsRefusedError) as refused:
            await log.append([make_record(size) for size in sizes], None, 1.0)
        assert not refused.value.sent
        assert server.topics["keyed.test"].end_offset == 3

    run_with_platform(scenario, limits=LIMITS)


def test_full_store_and_topics_of_others_take_no_record():
    async def scenario(server, log, http):
        server.topics["keyed.test"].stored_bytes = 400_000_000
        with pytest.raises(LogError, match="507"):
            await log.append([make_record(100)], None, 1.0)
        with pytest.raises(LogError, match="403"):
            await PlatformLog(http, server.address, "keyed.op").append([make_record(9)], None, 1.0)

    run_with_platform(scenario)


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("log-read?topic=keyed.test&part=0&fromRevision=0&waitMs=30001", None),
        ("log-read?topic=keyed.one-too-many&part=0&fromRevision=0", None),
        ("hold", {"fencingToken": 1, "lastSeen": 0, "waitMs": 2001}),
        ("advise", {"stepId": "a.0.0", "workers": [f"i-{n}" for n in range(101)]}),
        ("run-start", {"spec": "é" * 2001}),
    ],
)
def test_call_beyond_a_limit_of_the_protocol_is_refused(path, body):
    async def scenario(server, log, http):
        for number in range(MAX_TOPICS - 1):
            server.topics[f"t{number}"] = MemoryTopic()
        url = f"http://{server.address}/api/{path}"
        reply = await (http.call("GET", url, 1.0) if body is None else http.post(url, body, 1.0))
        assert reply.status == 400

    run_with_platform(scenario)


def test_calls_beyond_the_rate_of_the_store_are_turned_away():
    rate = CallRate()
    assert all(rate.admit("log_read", 1.0) for _ in range(READS_PER_S - 1))
    assert rate.admit("log_newest", 1.5)
    assert not rate.admit("log_read", 1.9)
    assert rate.admit("log_append", 1.9) and rate.admit("hold", 1.9)
    assert rate.admit("log_read", 2.0)


def test_append_that_would_wait_too_long_at_its_partition_is_turned_away():
    partition = Partition()
    assert partition.enqueue(2_000_000, 1.0) == pytest.approx(0.102)
    for _ in range(19):
        assert partition.enqueue(2_000_000, 1.0) is not None
    assert partition.enqueue(100, 1.0) is None
    assert partition.enqueue(100, 1.1) is not None


def test_advice_service_turns_away_calls_beyond_those_that_may_wait():
    async def scenario(server, log, http):
        server.advice_s = 0.005
        url = f"http://{server.address}/api/advise"
        http = HttpClient(connections_per_host=64)
        message = {"stepId": "a.0.0", "workers": []}
        calls = [http.post(url, message, 5.0) for _ in range(MAX_WAITING_QUESTIONS + 10)]
        statuses = [reply.status for reply in await asyncio.gather(*calls)]
        assert statuses.count(200) == MAX_WAITING_QUESTIONS + 1
        assert statuses.count(429) == 9
        await http.close()

    run_with_platform(scenario)


def test_vm_lists_its_ends_a_limited_number_at_a_time():
    async def main():
        simulator = VmSimulator(lambda task, number: TaskBehavior(0.01, Resources(1)))
        simulator.add(make_listed_vm(0))
        vm = simulator.vms["vm-0"]
        for index in range(MAX_ENDS_PER_ANSWER + 1):
            simulator.start(vm, StartOrder(TaskName("a", 0, 0, index), 1, "", 5000, 1))
        await asyncio.sleep(0.1)
        answer = await simulator.hold(vm, 1, 0, 5000, 0.0)
        assert [item.serial for item in answer.ended] == list(range(1, MAX_ENDS_PER_ANSWER + 1))
        answer = await simulator.hold(vm, 1, MAX_ENDS_PER_ANSWER, 5000, 0.0)
        assert [item.serial for item in answer.ended] == [MAX_ENDS_PER_ANSWER + 1]

    asyncio.run(main())
