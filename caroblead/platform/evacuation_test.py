"""Tests of the platform's side of evacuations: keys, entries of VMs, reads and the settings."""

import json
import re
from pathlib import Path

import orjson
import pytest

from ..jobs.record import KeyedRecord
from ..node.evacuation import EvacuationView
from ..node.setting import check_node_settings
from ..standin.keyedlog import MemoryTopic
from .adapter_test import run_with_platform
from .configuration import TOPIC
from .evacuation import decode_evacuated_zone
from .log import PlatformLog
from .registry import decode_vm

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.json"
ENTRY = {
    "state": "available",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "north-1",
    "capacity": {"cpu": 1000, "memMb": 1000},
}


@pytest.mark.parametrize(
    ("key", "zone"),
    [
        ("evacuate/north-1", "north-1"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
    ],
)
def test_key_names_the_zone_that_is_evacuated(key, zone):
    assert decode_evacuated_zone(key) == zone


@pytest.mark.parametrize(
    ("fields", "cold_remaining_ms"),
    [
        ({}, 0),
        ({"coldRemainingMs": 2500}, 2500),
        ({"coldRemainingMs": 0.5}, 0),
        ({"coldRemainingMs": -1}, 0),
        ({"coldRemainingMs": None}, 0),
        ({"coldRemainingMs": "soon"}, 0),
    ],
)
def test_vm_stays_listed_whatever_its_entry_says_of_how_cold_it_is(fields, cold_remaining_ms):
    vm = decode_vm("v", orjson.dumps(ENTRY | fields))
    assert (vm.zone, vm.cold_remaining_ms) == ("north-1", cold_remaining_ms)


def test_evacuations_are_followed_through_changes_and_the_loss_of_history():
    async def scenario(server, http):
        log = PlatformLog(http, server.address, TOPIC)
        view = EvacuationView(decode_evacuated_zone)
        # Nodes may not write to the operators' topic.
        operators = server.topics[TOPIC] = MemoryTopic()
        first = [KeyedRecord("config", b"{}"), KeyedRecord("evacuate/a", b"{}")]
        operators.append(first, None)
        assert view.make_reading(5.0).read_s is None
        batch = await log.read_newest()
        view.consume(batch, True)
        assert (view.make_reading(5.0).zones, view.make_reading(5.0).read_s) == ({"a"}, 5.0)
        # A value of a later version must not let tasks start in the zone.
        changes = [KeyedRecord("evacuate/b", b"\xff"), KeyedRecord("evacuate/a", b"")]
        operators.append(changes, None)
        view.consume(await log.read(batch.next_offset, 0.0), False)
        assert view.zones == {"b"}
        operators.append([KeyedRecord("evacuate/b", b""), KeyedRecord("evacuate/c", b"{}")], None)
        operators.drop_history()
        view.consume(await log.read_newest(), True)
        assert view.zones == {"c"}

    run_with_platform(scenario)


def render_template(values):
    """Renders the template of the settings as the platform does."""

    def render_section(match):
        kind, name, body = match.groups()
        value = values.get(name)
        is_present = value is not None
        return body.replace("{{.}}", str(value)) if is_present is (kind == "#") else ""

    text = re.sub(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", render_section, TEMPLATE.read_text())
    return re.sub(r"{{([\w.]+)(\|json)?}}", lambda match: str(values.get(match[1], 1)), text)


@pytest.mark.parametrize(
    ("bounds", "evacuation_ms"), [({}, 0), ({"bounds.evacuationMs": 5000}, 5000)]
)
def test_settings_take_the_bound_of_the_platform_if_it_names_one(bounds, evacuation_ms):
    raw = json.loads(render_template(bounds))
    assert raw["evacuation_ms"] == evacuation_ms
    faults = check_node_settings(raw, "settings.json").faults
    assert "evacuation_ms" not in [fault.field for fault in faults]


@pytest.mark.parametrize(
    ("platform", "sizes"),
    [
        ({}, (262_144, 2_097_152)),
        ({"platform.recordBytes": 65_536, "platform.requestBytes": 500_000}, (65_536, 500_000)),
    ],
)
def test_settings_take_the_sizes_of_the_log_that_the_platform_names(platform, sizes):
    raw = json.loads(render_template(platform))
    assert (raw["record_bytes"], raw["request_bytes"]) == sizes
