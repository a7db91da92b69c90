"""Tests that a start which can't go as planned takes no caller's request along."""

import asyncio
import json
import signal
import socket
import subprocess
import sys

import pytest

from ..standin.network import choose_network
from .earlysocket import SETTINGS_VARIABLE

PORTS = {"callers": 8183, "readiness": 8184, "peers": 7420, "metrics": 9464, "store": 8182}
GRACE_S = 2.0
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0
REQUEST = (
    b"GET /c/00000000000000b1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 300\r\n"
    b"Authorization: Bearer key\r\n\r\n"
)


def start_node(folder, host: str, program: str = "", **changed) -> subprocess.Popen:
    """Starts the node program, or a variant of it, whose store doesn't answer."""
    settings = {
        "node": "n0",
        "zone": "a",
        "host": host,
        "callers": f"{host}:{PORTS['callers']}",
        "readiness": f"{host}:{PORTS['readiness']}",
        "peer_port": PORTS["peers"],
        "metrics_port": PORTS["metrics"],
        "store": f"{host}:{PORTS['store']}",
        "grace_s": GRACE_S,
    }
    path = folder / "n0.json"
    path.write_text(json.dumps({**settings, **changed}))
    return subprocess.Popen(
        [sys.executable, *(("-c", program) if program else ("-m", "caroblead.platform"))],
        env={SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


async def connect(host: str, process: subprocess.Popen):
    """Connects to a node as soon as it listens, or returns None if its process ends before."""
    for _ in range(int(START_TIMEOUT_S / 0.01)):
        try:
            return await asyncio.open_connection(host, PORTS["callers"])
        except OSError:
            if process.poll() is not None:
                return None
            await asyncio.sleep(0.01)
    raise TimeoutError("the node does not listen")


async def ask(streams) -> bytes:
    """Sends a request and returns the first line of the response, empty if it is cut off."""
    reader, writer = streams
    writer.write(REQUEST)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.readline()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize("port", ["metrics", "readiness", "peers"])
def test_port_that_is_taken_takes_no_request_along(tmp_path, port):
    host = f"{choose_network()}.1"

    async def scenario() -> bytes:
        with socket.create_server((host, PORTS[port])):
            process = start_node(tmp_path, host)
            try:
                return await ask(await connect(host, process))
            finally:
                process.kill()
                process.wait()

    assert b" 503 " in asyncio.run(scenario())


def test_metrics_are_served_as_soon_as_their_port_is_free(tmp_path):
    host = f"{choose_network()}.1"

    async def scenario() -> bytes:
        with socket.create_server((host, PORTS["metrics"])):
            process = start_node(tmp_path, host)
            (await connect(host, process))[1].close()
            # The node has got to its metrics when it answers a caller.
            await ask(await connect(host, process))
        try:
            return await read_metrics(host)
        finally:
            process.kill()
            process.wait()

    assert b" 200 " in asyncio.run(scenario())


async def read_metrics(host: str) -> bytes:
    """Returns the first line of the metrics, which is empty if they aren't served in time."""
    for _ in range(int(START_TIMEOUT_S / 0.05)):
        try:
            reader, writer = await asyncio.open_connection(host, PORTS["metrics"])
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return line
    return b""


def test_settings_that_are_invalid_take_no_request_along(tmp_path):
    host = f"{choose_network()}.1"

    async def scenario() -> int:
        process = start_node(tmp_path, host, lease_s=-1)
        assert await connect(host, process) is None, "a node accepts callers that it can't serve"
        return process.wait()

    assert asyncio.run(scenario()) == 2


def test_stop_while_the_program_is_loaded_takes_no_request_along(tmp_path):
    host = f"{choose_network()}.1"

    async def scenario() -> tuple[bytes, int]:
        process = start_node(tmp_path, host)
        try:
            streams = await connect(host, process)
            process.send_signal(signal.SIGTERM)
            return await ask(streams), await asyncio.to_thread(process.wait, START_TIMEOUT_S)
        finally:
            process.kill()

    answer, status = asyncio.run(scenario())
    assert b" 503 " in answer
    assert status == 0


# A program that fails after it has listened for callers.
FAILING_PROGRAM = """
from caroblead.platform import __main__, serve
async def fail(*arguments):
    raise RuntimeError("out of luck")
{function} = fail
__main__.main()
"""


async def ask_and_wait_for_end(folder, host: str, **options) -> tuple[bytes, int]:
    """Returns what a node that can't start answers, and its exit status."""
    process = start_node(folder, host, **options)
    try:
        answer = await ask(await connect(host, process))
        return answer, await asyncio.to_thread(process.wait, START_TIMEOUT_S)
    finally:
        process.kill()


@pytest.mark.parametrize("function", ["serve.Node.start", "serve.start_metrics"])
def test_start_that_fails_takes_no_request_along(tmp_path, function):
    program = FAILING_PROGRAM.format(function=function)
    run = ask_and_wait_for_end(tmp_path, f"{choose_network()}.1", program=program)
    answer, status = asyncio.run(run)
    assert b" 503 " in answer
    assert status == 1


def test_port_that_there_is_not_takes_no_request_along(tmp_path):
    host = f"{choose_network()}.1"
    run = ask_and_wait_for_end(tmp_path, host, readiness=f"{host}:99999")
    answer, status = asyncio.run(run)
    assert b" 503 " in answer
    assert status == 1
