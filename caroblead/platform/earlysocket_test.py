"""Guards against calls that are refused or rejected while a node starts."""

import asyncio
import json
import socket

import pytest

from ..standin.cluster import run_scenario, start_site
from .earlysocket import EXIT_USAGE, load_settings_or_exit, open_caller_socket
from .frontend import Frontend
from .frontend_test import BODY, JOB, RpcClient
from .http import HttpClient


def write_settings(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return str(path)


def make_settings(callers: str, **changed) -> str:
    settings = {
        "node": "n0",
        "zone": "a",
        "host": "127.0.0.1",
        "callers": callers,
        "readiness": "127.0.0.1:1",
        "peer_port": 0,
        "store": "127.0.0.1:1",
    }
    return json.dumps({**settings, **changed})


def open_at_free_port(tmp_path):
    return open_early(tmp_path, make_settings("127.0.0.1:0"))


def open_early(tmp_path, text: str) -> socket.socket | None:
    """Opens the callers' port as a program with settings of this text does."""
    return open_caller_socket(load_settings_or_exit(write_settings(tmp_path, text)))


def test_call_that_comes_before_the_node_is_loaded_is_accepted(tmp_path):
    early = open_at_free_port(tmp_path)

    async def scenario():
        site = await start_site()
        node = site.nodes["n0"]
        frontend = Frontend(node.request_handler, node.is_ready, node.metrics)
        # The connection and its request wait in the queue of the socket.
        reader, writer = await asyncio.open_connection(*early.getsockname())
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        await frontend.start("127.0.0.1:1", "127.0.0.1:0", early)
        assert b" 200 " in await reader.readline()
        writer.close()
        await frontend.stop_listening()
        return site

    run_scenario(scenario)


def test_call_on_a_node_that_has_not_read_its_configuration_waits_for_it(tmp_path):
    async def scenario():
        site = await start_site()
        node = site.nodes["n0"]
        frontend = Frontend(node.request_handler, node.is_ready, node.metrics)
        await frontend.start("127.0.0.1:0", "127.0.0.1:0")
        http = HttpClient()
        known = node.configuration_view.current
        node.configuration_view.current = None
        call = asyncio.create_task(RpcClient(http, frontend).call("POST", f"/c/{JOB}", BODY))
        await asyncio.sleep(0.05)
        node.configuration_view.current = known
        assert (await call).status == 200
        await http.close()
        await frontend.stop_listening()
        return site

    run_scenario(scenario)


def test_no_call_is_accepted_with_settings_that_are_unusable(tmp_path):
    texts = ["", "{", "[]", "{}", '{"callers": 7}', '{"callers": "127.0.0.1:x"}']
    for changed in ({"lease_s": -1}, {"peer_port": 70_000}, {"zone": 7}):
        texts.append(make_settings("127.0.0.1:0", **changed))
    for text in texts:
        with pytest.raises(SystemExit) as exit_info:
            open_early(tmp_path, text)
        assert exit_info.value.code == EXIT_USAGE
    with pytest.raises(SystemExit):
        load_settings_or_exit(str(tmp_path / "missing"))


def test_port_that_is_in_use_or_that_there_is_not_leaves_the_start_as_it_was(tmp_path):
    for callers in ("127.0.0.1:99999", "1.1.1.999:80"):
        assert open_early(tmp_path, make_settings(callers)) is None
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = "{}:{}".format(*other.getsockname())
        assert open_early(tmp_path, make_settings(address)) is None
