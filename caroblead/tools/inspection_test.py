"""Tests of the commands that inspect files, on valid, foreign and faulty input."""

import json

import pytest

from ..node.setting import NodeSettings, merge_settings
from .command import app
from .inspection import EXIT_NO_EVENTS, EXIT_REFUSED, EXIT_USAGE

NODE = {
    "node": "n1",
    "zone": "a",
    "host": "10.0.0.1",
    "callers": "10.0.0.1:80",
    "readiness": "10.0.0.1:81",
    "peer_port": 7000,
    "store": "10.0.0.2:80",
}


def run(*tokens):
    try:
        return app(tokens, exit_on_error=False, result_action="return_value") or 0
    except SystemExit as exit_request:
        return exit_request.code


def test_files_without_events_do_not_pass_the_check(tmp_path, capsys):
    path = tmp_path / "a.events.jsonl"
    path.write_text('{"foreign": 1}\n' * 500)
    assert run("timeline", "check", str(path)) == EXIT_NO_EVENTS
    printed = capsys.readouterr()
    assert "holds" not in printed.out
    assert printed.err.count("\n") == 2
    assert "500 lines skipped" in printed.err


def test_explain_prints_the_history_of_a_job_or_reports_none(tmp_path, capsys):
    lines = [
        {"timestamp": 1.0, "message_type": "job:accepted", "node": "n", "job": "aa"},
        {"timestamp": 1.1, "message_type": "job:ended", "node": "n", "job": "aa"},
    ]
    (tmp_path / "n.log").write_text("".join(json.dumps(line) + "\n" for line in lines))
    assert run("explain", "aa", str(tmp_path)) == 0
    assert "job:ended" in capsys.readouterr().out
    assert run("explain", "bb", str(tmp_path)) == EXIT_REFUSED
    assert run("explain", "aa", str(tmp_path / "none")) == EXIT_USAGE


@pytest.mark.parametrize(
    ("change", "field"),
    [({"callers": "here"}, "callers"), ({"lease_s": 60}, "lease_s"), ({"peer_port": -1}, "peer")],
)
def test_settings_of_a_node_are_checked_field_by_field(tmp_path, capsys, change, field):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**NODE, "a_new_field": 1}))
    assert run("settings", "check", str(path)) == 0
    path.write_text(json.dumps({**NODE, **change}))
    assert run("settings", "check", str(path)) == EXIT_USAGE
    assert field in capsys.readouterr().err


def test_reload_applies_reloadable_fields_and_names_the_rest():
    old = NodeSettings(**NODE)
    new = NodeSettings(**{**NODE, "grace_s": 9, "lease_s": 4, "peer_port": 7001})
    merged = merge_settings(old, new)
    assert merged.changed == ["grace_s"]
    assert sorted(merged.needs_restart) == ["lease_s", "peer_port"]
    assert (merged.settings.grace_s, merged.settings.lease_s) == (9, old.lease_s)
