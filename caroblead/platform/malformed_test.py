"""Malformed messages of every other party: each is an error of its own and ends nothing else."""

import asyncio
import json

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..core.outcome import LogError
from ..dispatch.interface import (
    Advice,
    Batch,
    HoldAnswer,
    NoAnswer,
    Refused,
    Started,
    StartOrder,
    Target,
    TaskName,
)
from ..jobs.data import JobSpec
from ..jobs.ledger import Ledger
from ..jobs.record import KeyedRecord
from ..node.program import apply_or_log
from ..node.registry import Registry
from .advisor import PlatformAdvisor
from .configuration import decode_configuration
from .http import Reply
from .jobs import decode_spec
from .log import PlatformLog
from .registry import decode_vm
from .vms import PlatformVms

FIELD_NAMES = (
    "spec steps count cpu memMb after repetitions running finished clockMs born reason offset "
    "items endOffset hasMore key value version routes tenants name host pathPrefix service "
    "apiKeys cap limits recommendation state address capacity labels zone allowed estimatedMs"
)
NAMES = st.sampled_from(FIELD_NAMES.split())
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=6),
    max_leaves=12,
)
MESSAGES = st.dictionaries(NAMES, VALUES, max_size=8)
TARGET = Target("vm", 1, "127.0.0.1:1")
TASK = TaskName("a", 0, 0, 0)


class FakeHttp:
    """Answers every call with one status and body."""

    def __init__(self, status: int, body: bytes):
        self.reply = Reply(status, body)

    async def call(self, method, url, timeout_s, body=None, headers=None):
        return self.reply

    async def post(self, url, message, timeout_s, headers=None):
        return self.reply


def encode(message) -> bytes:
    return json.dumps(message).encode()


@given(MESSAGES | VALUES)
def test_job_of_a_caller_is_decoded_or_named_as_invalid(message):
    try:
        assert isinstance(decode_spec(encode(message)), JobSpec)
    except ValueError as error:
        assert str(error)


@pytest.mark.parametrize("after", [5, "0", [True], [1.0], {"0": 1}])
def test_step_numbers_of_another_type_are_named_as_invalid(after):
    body = orjson.dumps({"steps": [{"count": 1}, {"count": 1, "after": after}]})
    with pytest.raises(ValueError, match="after"):
        decode_spec(body)


@given(st.sampled_from([200, 409]), MESSAGES | VALUES)
def test_every_answer_of_a_vm_has_an_outcome(status, message):
    vms = PlatformVms(FakeHttp(status, encode(message)))
    order = StartOrder(TASK, 1, "", 0, 1)
    lists = asyncio.run(vms.hold(TARGET, 1, 0, None, 0.0))
    assert isinstance(lists, HoldAnswer | Refused | NoAnswer)
    assert isinstance(asyncio.run(vms.start(TARGET, order)), Started | Refused | NoAnswer)


@pytest.mark.parametrize(
    "lists",
    [
        {"running": [["a.0.0.0", 1]], "finished": []},
        {"running": [[7, 1, "", 0]], "finished": []},
        {"running": [], "finished": [[1, "a.0.0.0", 1, "eaten", ""]]},
        {"running": None, "finished": []},
    ],
)
def test_malformed_run_lists_of_a_vm_count_as_no_answer(lists):
    vms = PlatformVms(FakeHttp(200, encode({"clockMs": 1, "born": 1, **lists})))
    assert isinstance(asyncio.run(vms.hold(TARGET, 1, 0, None, 0.0)), NoAnswer)


@given(MESSAGES | VALUES)
def test_answers_of_the_advice_service_give_advice(message):
    advisor = PlatformAdvisor(FakeHttp(200, encode(message)), "127.0.0.1:1")
    assert asyncio.run(advisor.ask("a.0.0", ["vm"], 1.0)) is not None


@pytest.mark.parametrize(
    "allowed", ["ab", ["ab"], {"ab": "cd"}, [["vm"]], [["vm", 5]], [[5, "t"]], [["vm", [["x"]]]]]
)
def test_odd_advice_is_no_advice(allowed):
    advisor = PlatformAdvisor(FakeHttp(200, encode({"allowed": allowed})), "127.0.0.1:1")
    assert asyncio.run(advisor.ask("a.0.0", ["vm"], 1.0)) == Advice(None)


@given(MESSAGES | VALUES, st.binary(max_size=60))
def test_answers_of_the_store_are_read_or_are_log_errors(message, records):
    pages = PlatformLog(FakeHttp(200, encode(message)), "127.0.0.1:1", "keyed.t")
    raw = PlatformLog(FakeHttp(200, records), "127.0.0.1:1", "keyed.t")
    for call in (pages.read_newest(), pages.append([], None, 1.0), raw.read(0, 0.0)):
        try:
            asyncio.run(call)
        except LogError as error:
            assert str(error)


@given(st.text(max_size=4), MESSAGES | VALUES, st.binary(max_size=20))
def test_entries_of_other_writers_change_nothing(name, message, noise):
    for value in (encode(message), noise):
        for decode in (decode_configuration, lambda raw: decode_vm("vm", raw)):
            try:
                decode(value)
            except ValueError as error:
                assert str(error)


@given(st.sampled_from("jcptbnlx"), st.text(max_size=4), VALUES, st.binary(max_size=20))
def test_malformed_records_of_the_ledger_are_skipped(kind, name, value, noise):
    for content in (encode(value), noise, b"q" + noise, b"d" + noise):
        apply_or_log(Ledger(), KeyedRecord(f"{kind}/{name}", content))
        apply_or_log(Ledger(), KeyedRecord("l/load", content))


@given(VALUES, VALUES, VALUES, VALUES)
def test_load_reports_with_malformed_fields_are_skipped_or_hold_numbers(serial, at, waits, teams):
    ledger = Ledger()
    for fields in ([1, 1, serial, at, waits, teams], [1, 1, 1, 1.0, {"q": waits}, []]):
        apply_or_log(ledger, KeyedRecord("l/load", encode(fields)))
        report = ledger.load_report
        if report is not None:
            assert all(wait.within_s >= 0 <= wait.beyond_s for wait in report.waits.values())


def test_registry_keeps_the_other_entries_beside_malformed_ones():
    entry = {
        "state": "available",
        "service": "s",
        "address": "h:1",
        "zone": "a",
        "capacity": {"cpu": 1, "memMb": 1},
    }
    values = {"x": b"\xff", "y": b"[]", "good": encode(entry), "z": encode({**entry, "state": 1})}
    records = [KeyedRecord(name, value) for name, value in values.items()]
    registry = Registry(decode_vm)
    registry.consume(Batch(records, 4, 4), True)
    assert list(registry.vms) == ["good"]
