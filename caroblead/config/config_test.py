"""Tests of tickets, of the configuration that results from them, and of settings."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from .setting import load_settings
from .state import (
    ConfigState,
    apply_ticket,
    compute_digest,
    decode_state,
    encode_state,
    merge_states,
)
from .ticket import parse_ticket, read_ticket


def make_ticket(number, limit):
    return read_ticket({"ticket": number, "teams": [{"name": "a", "max_running": limit}]}).value


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 12), st.integers(0, 3)), max_size=20), st.randoms())
def test_state_never_reverts_and_merges_in_any_order(tickets, random):
    state, copies = ConfigState(), []
    for number, limit in tickets:
        before = state.number
        apply_ticket(state, make_ticket(number, limit))
        assert state.number >= before
        copies.append(decode_state(encode_state(state)))
    random.shuffle(copies)
    merged = ConfigState()
    for copy in [*copies, *copies]:
        before = merged.number
        merge_states(merged, copy)
        assert merged.number >= before
    assert compute_digest(merged) == compute_digest(state)
    assert merged.teams == state.teams


def test_ticket_lists_every_error():
    checked = parse_ticket('{"ticket": 0, "teams": [{"name": "A B", "share": 0}], "extra": 1}')
    assert {fault.field for fault in checked.faults} == {
        "ticket",
        "teams.0.name",
        "teams.0.share",
        "extra",
    }
    assert parse_ticket("{").faults[0].detail.startswith("not JSON")


def test_duplicate_object_is_an_error():
    checked = read_ticket({"ticket": 1, "teams": [{"name": "a"}, {"name": "a"}]})
    assert [fault.field for fault in checked.faults] == ["teams.1"]


def test_settings_errors_name_the_field_and_the_range(tmp_path):
    path = tmp_path / "s.json"
    node = {"node": "n", "zone": "z", "http_port": 1, "gate_port": 2, "placer_port": 99999}
    path.write_text(json.dumps({"nodes": [node, node], "limits": {"lease_s": 900}}))
    faults = load_settings(str(path)).faults
    assert any(f.field == "nodes.0.placer_port" and "65535" in f.detail for f in faults)
    assert any(f.field == "limits.lease_s" and "60" in f.detail for f in faults)
    assert load_settings(str(tmp_path / "none.json")).faults


def test_examples_are_valid():
    for name in ("anatolia", "prairies"):
        assert load_settings(f"examples/{name}.json").faults == []
