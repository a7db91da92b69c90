"""Tests that the records of what is learned restore it, are bounded, and fail if malformed."""

import math
import random
import zlib

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from .duration import DurationTable, RunFeatures, predict, record_run
from .learnedsnapshot import (
    MAX_BYTES,
    QUEUES,
    SPEEDS,
    TEAMS,
    VERSION,
    SnapshotError,
    decode_queues,
    decode_speeds,
    decode_teams,
    encode_queues,
    encode_speeds,
    encode_teams,
)
from .speed import SpeedTable, find_log_speed, observe_run

MAX_TOTAL_BYTES = 65_536
SEED = 3


def make_durations(queues=3, teams=20, runs=3000):
    generator, table = random.Random(SEED), DurationTable()
    for number in range(runs):
        features = RunFeatures(
            f"queue-{generator.randrange(queues)}",
            generator.randrange(3),
            f"team-{generator.randrange(teams)}",
            generator.randrange(400, 410),
            generator.uniform(0.5, 8.0),
        )
        log_work = math.log(features.estimate_s) + generator.gauss(0.7, 0.3)
        record_run(table, features, number, log_work, generator.random() < 0.9, 1.0)
    return table


def make_speeds(vms=20):
    generator, table = random.Random(SEED), SpeedTable()
    for number in range(vms):
        for step in range(20):
            name = f"i-{number * 987_654_321:010x}"
            value = math.log(0.6) + generator.gauss(0, 0.2)
            observe_run(table, name, 1_786_878_362_975, value, 0.3, step, 1.0 + step)
    return table


def test_next_leader_expects_about_the_same():
    table = make_durations()
    value = encode_queues(table, 1.0, 1000.0)
    found = decode_queues(value, 5.0, 1000.0)
    decode_teams(found, encode_teams(table, 1.0, 1000.0), 5.0, 1000.0)
    for queue in table.queues:
        features = RunFeatures(queue, 1, "team-4", 405, 2.0)
        before, after = predict(table, features, 1.0), predict(found, features, 5.0)
        assert after.log_median == pytest.approx(before.log_median, abs=0.25)
        assert after.log_high == pytest.approx(before.log_high, abs=0.4)
        assert after.samples == before.samples


def test_next_leader_knows_the_speeds_of_the_same_incarnations():
    table = make_speeds()
    found = decode_speeds(encode_speeds(table, 21.0, 1000.0), 7.0, 1000.0)
    for name in table.estimates:
        before = find_log_speed(table, name, 1_786_878_362_975)
        assert find_log_speed(found, name, 1_786_878_362_975) == pytest.approx(before, abs=0.01)
        assert find_log_speed(found, name, 1_786_878_362_976) == 0.0


def test_records_of_a_large_site_stay_within_their_bounds():
    """Guards against records that grow with the site until the log refuses them."""
    durations, speeds = make_durations(64, 400, 60_000), make_speeds(2000)
    values = {
        QUEUES: encode_queues(durations, 1.0, 1000.0),
        TEAMS: encode_teams(durations, 1.0, 1000.0),
        SPEEDS: encode_speeds(speeds, 21.0, 1000.0),
    }
    assert sum(MAX_BYTES.values()) < MAX_TOTAL_BYTES
    for name, value in values.items():
        assert 0 < len(value) <= MAX_BYTES[name], name
    assert decode_queues(values[QUEUES], 1.0, 1000.0).queues
    assert decode_speeds(values[SPEEDS], 1.0, 1000.0).estimates


def test_record_of_another_build_is_not_read():
    """Guards against samples that a build of another version means in another way."""
    value = encode_queues(make_durations(), 1.0, 1000.0)
    for version in (0, VERSION + 1, 255):
        with pytest.raises(SnapshotError):
            decode_queues(bytes([version]) + value[1:], 1.0, 1000.0)


def pack(rows, saved_s=1000.0):
    return bytes([VERSION]) + zlib.compress(orjson.dumps([saved_s, rows]))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        bytes([VERSION]),
        bytes([VERSION]) + b"no zlib",
        bytes([VERSION]) + zlib.compress(b"{"),
        pack([["q"]]),
        pack([[1, 1.0, [1, 0, 0], [0, [], []], [0, [], []], []]]),
        pack([["q", None, [1, 0, 0], [0, [], []], [0, [], []], []]]),
        pack([["q", 1.0, [1, 0, 0], [0, ["t"], [[1e9, 0, 1, 0, 0]]], [0, [], []], []]]),
        pack([["q", 1.0, [1, 0, 0], [0, ["t"], [[1, 0, 1, 7, 0]]], [0, [], []], []]]),
        pack([["q", 1.0, [1, 0, 0], [0, [], []], [0, [], []], [["x", 0, [], []]]]]),
        pack("rows"),
    ],
)
def test_malformed_record_of_queues_is_refused(value):
    with pytest.raises(SnapshotError):
        decode_queues(value, 1.0, 1000.0)


def test_malformed_record_of_teams_changes_nothing():
    table = make_durations()
    teams = table.teams
    with pytest.raises(SnapshotError):
        decode_teams(table, pack([["t", ["q", 0], 0, [], [[1, 0, 1, 0, 0]]], ["t", 5]]), 1.0, 1.0)
    assert table.teams is teams


@given(st.binary(max_size=60))
def test_no_bytes_raise_anything_else(value):
    """Guards against a term that fails at its start because of a record in the log."""
    for found in (value, bytes([VERSION]) + value, bytes([VERSION]) + zlib.compress(value)):
        try:
            decode_speeds(found, 1.0, 1000.0)
            decode_queues(found, 1.0, 1000.0)
        except SnapshotError:
            pass


@given(st.recursive(st.none() | st.integers() | st.text() | st.floats(), st.lists, max_leaves=12))
def test_no_json_raises_anything_else(rows):
    try:
        value = pack(rows)
    except TypeError:
        return
    try:
        decode_speeds(value, 1.0, 1000.0)
        decode_queues(value, 1.0, 1000.0)
    except SnapshotError:
        pass
