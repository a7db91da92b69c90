"""Guards against odd entries of the registry that stop its readers or are taken for VMs."""

import asyncio
import json

import pytest

from ..core.loop import run_in_virtual_time
from ..dispatch.interface import Batch
from ..jobs.record import KeyedRecord
from ..node.registry import Registry
from ..node.tail import Tail
from ..standin.keyedlog import CallerFaults, MemoryLog, MemoryTopic
from .registry import decode_vm

ENTRY = {
    "state": "available",
    "service": "planner",
    "address": "10.0.0.1:8182",
    "zone": "a",
    "labels": ["large", "r1"],
    "capacity": {"cpu": 1000, "memMb": 1000},
    "born": 1_700_000_000_000,
}


def nest(depth: int) -> str:
    return "[" * depth + "]" * depth


def encode(**fields) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


def encode_raw(name: str, text: str) -> bytes:
    """Returns an entry with a field whose value is given as JSON text."""
    return json.dumps({**ENTRY, name: "@"}).replace('"@"', text).encode()


ODD = {
    "zone 1000 deep": encode_raw("zone", nest(1000)),
    "zone 300 deep": encode_raw("zone", nest(300)),
    "zone beyond the parser": encode_raw("zone", nest(200_000)),
    "label 1000 deep": encode_raw("labels", f'["large",{nest(1000)}]'),
    "state 1000 deep": encode_raw("state", nest(1000)),
    "service 1000 deep": encode_raw("service", nest(1000)),
    "capacity 1000 deep": encode_raw("capacity", nest(1000)),
    "entry 1000 deep": nest(1000).encode(),
    "born 1e308": encode(born=1e308),
    "born 1e25": encode(born=10**25),
    "born in words": encode(born="now"),
    "born a fraction": encode(born=1.5),
    "born below 0": encode(born=-1),
    "cores 1e308": encode(capacity={"cpu": 1e308, "memMb": 1}),
    "cores out of range": encode_raw("capacity", '{"cpu":1e999,"memMb":1}'),
    "cores 10**30": encode(capacity={"cpu": 10**30, "memMb": 1}),
    "cores below 0": encode(capacity={"cpu": -1, "memMb": 1}),
    "cores in words": encode(capacity={"cpu": "many", "memMb": 1}),
    "cores true": encode(capacity={"cpu": True, "memMb": 1}),
    "memory 1e308": encode(capacity={"cpu": 1, "memMb": 1e308}),
    "accelerators 1e308": encode(capacity={"cpu": 1, "memMb": 1, "gpu": 1e308}),
    "no capacity": encode(capacity=None),
    "port 99999": encode(address="10.0.0.1:99999"),
    "port 0": encode(address="10.0.0.1:0"),
    "port -1": encode(address="10.0.0.1:-1"),
    "port in words": encode(address="10.0.0.1:http"),
    "port in other digits": encode(address="10.0.0.1:\u0664\u0665"),
    "no port": encode(address="10.0.0.1"),
    "no host": encode(address=":8182"),
    "user in host": encode(address="x@10.0.0.1:8182"),
    "path in host": encode(address="10.0.0.1/x:8182"),
    "line in address": encode(address="10.0.0.1:8182\n"),
    "state unknown": encode(state="asleep"),
    "state very long": encode(state="x" * 200_000),
    "zone a number": encode(zone=5),
    "labels a string": encode(labels="large"),
    "labels numbers": encode(labels=[1, 2]),
    "labels too many": encode(labels=["x"] * 10_000),
    "no JSON": b"\xff\x00",
    "no object": b"[]",
    "a number of 5000 digits": b"9" * 5000,
}


@pytest.mark.parametrize("value", ODD.values(), ids=list(ODD))
def test_odd_entry_names_no_vm_and_the_others_hold(value):
    with pytest.raises(ValueError) as caught:
        decode_vm("odd", value)
    assert len(str(caught.value)) < 300
    registry = Registry(decode_vm)
    changes = []
    registry.on_change = lambda: changes.append(sorted(registry.vms))
    records = [KeyedRecord("vm-1", encode()), KeyedRecord("odd", value)]
    registry.consume(Batch([*records, KeyedRecord("vm-2", encode())], 3, 3), True)
    registry.consume(Batch([KeyedRecord("odd", value), KeyedRecord("vm-1", b"")], 5, 5), False)
    assert changes == [["vm-1", "vm-2"], ["vm-2"]]


@pytest.mark.parametrize("name", ["", "a b", "a\nb", "\ufffd", "x" * 300])
def test_entry_whose_name_can_not_be_sent_to_its_vm_names_no_vm(name):
    with pytest.raises(ValueError, match="name"):
        decode_vm(name, encode())


def test_vm_whose_entry_is_overwritten_by_an_odd_one_is_not_used_until_it_writes_again():
    registry = Registry(decode_vm)
    for offset, value in enumerate((encode(), ODD["port 99999"], encode())):
        registry.consume(Batch([KeyedRecord("vm-1", value)], offset + 1, offset + 1), False)
        assert list(registry.vms) == ([] if offset == 1 else ["vm-1"])


def test_reader_goes_on_behind_an_entry_whose_decoding_fails_in_any_way():
    def decode(name, value):
        if value == b"odd":
            raise RecursionError("maximum recursion depth exceeded")
        return decode_vm(name, value)

    async def scenario():
        topic = MemoryTopic()
        registry = Registry(decode)
        tail = Tail("registry", MemoryLog(topic, CallerFaults()), registry.consume, 0.2, 0.0)
        reader = asyncio.create_task(tail.run())
        await asyncio.sleep(1)
        for value in (b"odd", encode()):
            topic.append([KeyedRecord("vm-1", value), KeyedRecord("vm-2", encode())], None)
            await asyncio.sleep(1)
        starting = Registry(decode)
        topic.append([KeyedRecord("odd", b"odd")], None)
        starting.consume(await tail.log.read_newest(), True)
        reader.cancel()
        assert sorted(registry.vms) == sorted(starting.vms) == ["vm-1", "vm-2"]
        assert tail.caught_up

    run_in_virtual_time(scenario())
