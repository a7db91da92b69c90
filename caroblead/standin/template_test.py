"""Tests that settings are made from the deploy file's template as the platform makes them."""

import json
from pathlib import Path

from ..node.setting import check_node_settings
from .template import fill_template

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.json"
VALUES = {
    "nodeName": "n0",
    "zone": "a",
    "ip": "127.1.0.1",
    "listen": {"frontend": "127.1.0.1:8183", "readiness": "127.1.0.1:8184"},
    "internalPorts": [7420, 7435],
    "platform": {"address": "127.1.1.1:8182", "recordBytes": 4096},
    "recommendation": "127.1.2.1:8182",
    "bounds": {"strictRevocation": True, "configApplyMs": 2000, "revokeMs": 5000, "graceS": 6},
    "limits": {"cpuShares": 0.5, "cores": 2, "linkMbps": 1000.0},
}


def test_template_of_the_deploy_file_gives_valid_settings_with_all_switches():
    raw = json.loads(fill_template(TEMPLATE.read_text(), VALUES))
    checked = check_node_settings(raw, "settings.json")
    assert checked.faults == []
    settings = checked.value
    assert (settings.advisor, settings.relay, settings.admission) == ("127.1.2.1:8182", True, True)
    assert (settings.record_bytes, settings.request_bytes) == (4096, 2_097_152)


def test_sections_stay_or_go_by_whether_there_is_a_value():
    text = "{{#a.b}}[{{.}}]{{/a.b}}{{^a.b}}none{{/a.b}} {{c.1}}{{missing}}"
    assert fill_template(text, {"a": {"b": 3}, "c": ["x", "y"]}) == "[3] y"
    assert fill_template(text, {"c": ["x"]}) == "none "
