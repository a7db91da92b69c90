"""Guards against a version of the configuration that is only half understood and in force."""

import copy
import json

import orjson
import pytest

from ..core.resource import Resources
from ..dispatch.interface import Batch
from ..jobs.data import AdviceTimes
from ..jobs.record import KeyedRecord
from ..node.configuration import ConfigurationView
from .configuration import KEY, decode_configuration

ROUTE = {
    "name": "r-1",
    "host": "x.example",
    "pathPrefix": "/a/",
    "service": "planner",
    "priority": 1,
    "maxAttempts": 4,
    "targetFactor": 2.2,
    "targetLatencyMs": 250,
    "timeoutMs": 3000,
    "public": False,
    "recommendation": {"decisionMs": 73.6, "periodMs": 0.66, "validityMs": 2500},
}
TENANT = {"name": "t-1", "apiKeys": ["k-1"], "weight": 17, "cap": {"cpu": 1000, "memMb": 2000}}
VALID = {
    "version": 7,
    "routes": [ROUTE],
    "tenants": [TENANT],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
    "services": [{"name": "planner"}],
}
DEEP = orjson.loads(b"[" * 300 + b"]" * 300)
WRONG = {
    "version": [0, -1, 1.5, "7", True, None, 1e308],
    "routes": [None, {}, "ab", [[]], [7]],
    "tenants": ["ab", [None], {"a": 1}],
    "limits": [[], "x"],
    "limits.maxBodyBytes": ["1000", True, -1, 1e308, DEEP],
    "routes.0.name": [None, 7, DEEP, "x" * 5000],
    "routes.0.host": [None, ["x.example"]],
    "routes.0.pathPrefix": [None, 5],
    "routes.0.service": [None, DEEP],
    "routes.0.priority": ["high", True, 1e308],
    "routes.0.maxAttempts": ["4", -1, []],
    "routes.0.targetFactor": ["2", -2.0, DEEP],
    "routes.0.targetLatencyMs": ["250", -1],
    "routes.0.timeoutMs": [False, "3 s"],
    "routes.0.public": ["false", 1, []],
    "routes.0.recommendation": [5, "none", [1, 2]],
    "routes.0.recommendation.decisionMs": [None, "1", -1],
    "tenants.0.name": [None, 1],
    "tenants.0.apiKeys": [None, "k-1", [1], [None], [DEEP], {"k": 1}],
    "tenants.0.weight": ["17", -1, 1e308],
    "tenants.0.cap": [5, []],
    "tenants.0.cap.cpu": ["1000", -1, DEEP],
}


def encode_with(path, value) -> bytes:
    message = copy.deepcopy(VALID)
    *parents, last = [int(part) if part.isdecimal() else part for part in path.split(".")]
    place = message
    for part in parents:
        place = place[part]
    place[last] = value
    return json.dumps(message).encode()


def test_every_field_of_a_valid_version_is_taken_over():
    found = decode_configuration(orjson.dumps(VALID))
    queue = found.queues["r-1"]
    assert (found.version, found.max_body_bytes, found.keys) == (7, 1000, {"k-1": "t-1"})
    assert (queue.priority, queue.max_attempts, queue.stretch) == (1, 4, 2.2)
    assert queue.advice == AdviceTimes(0.0736, 0.00066, 2.5)
    assert found.teams["t-1"].cap == Resources(1000, 2000)
    bare = {name: ROUTE[name] for name in ("name", "host", "pathPrefix", "service")}
    found = decode_configuration(encode_with("routes.0", {**bare, "recommendation": None}))
    assert found.queues["r-1"].advice is None


@pytest.mark.parametrize(
    ("path", "value"), [(path, value) for path, values in WRONG.items() for value in values]
)
def test_version_with_a_field_of_another_type_stays_out_and_the_one_before_in_force(path, value):
    view = ConfigurationView(KEY, decode_configuration)
    before = orjson.dumps({**VALID, "version": 6})
    after = orjson.dumps({**VALID, "version": 8})
    for offset, encoded in enumerate((before, encode_with(path, value))):
        view.consume(Batch([KeyedRecord(KEY, encoded)], offset + 1, offset + 1), False)
    assert view.version == 6
    view.consume(Batch([KeyedRecord(KEY, after)], 3, 3), False)
    assert view.version == 8


# A cap of 24000.0 was taken over as a fraction, by which no list can be cut: nothing started any
# more, of any team.
@pytest.mark.parametrize(
    ("written", "cores"),
    [
        ("24000", 24000),
        ("24000.0", 24000),
        ("2.4e4", 24000),
        ("24000.5", 24000),
        ("0.0", 0),
        ("-0.0", 0),
        ("null", 0),
        # It is a limit, so it isn't 0, which is none.
        ("0.5", 1),
    ],
)
def test_cap_is_a_whole_amount_however_its_number_is_written(written, cores):
    text = json.dumps(VALID).replace('"cpu": 1000', f'"cpu": {written}')
    cap = decode_configuration(text.encode()).teams["t-1"].cap
    assert cap == Resources(cores, 2000)
    assert all(type(amount) is int for amount in cap)


def test_largest_body_is_a_whole_amount_however_its_number_is_written():
    for written in ("1000", "1000.0", "1e3", "1000.9"):
        text = json.dumps(VALID).replace('"maxBodyBytes": 1000', f'"maxBodyBytes": {written}')
        size = decode_configuration(text.encode()).max_body_bytes
        assert (size, type(size)) == (1000, int)


def write_numbers(value, write):
    """Returns a document with each of its whole numbers written in another way."""
    if isinstance(value, dict):
        return {name: write_numbers(item, write) for name, item in value.items()}
    if isinstance(value, list):
        return [write_numbers(item, write) for item in value]
    return write(value) if type(value) is int else value


def test_version_with_decimal_points_means_what_the_same_one_with_whole_numbers_does():
    whole = decode_configuration(json.dumps(VALID).encode())
    points = decode_configuration(json.dumps(write_numbers(VALID, float)).encode())
    assert points == whole
    queue, team = points.queues["r-1"], points.teams["t-1"]
    amounts = (points.version, points.max_body_bytes, queue.priority, queue.max_attempts, *team.cap)
    assert all(type(amount) is int for amount in amounts)
