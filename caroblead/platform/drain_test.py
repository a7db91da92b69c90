"""Tests of a planned stop with real connections: no request that a node has read is cut off."""

import asyncio
import socket
from collections import Counter

import pytest
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..core.clock import get_elapsed_s, use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..node.peer import ALIVE_TIMEOUT_S
from ..standin.cluster import KEY, find_leader, publish_config, run_scenario, start_site
from .frontend import Frontend
from .frontend_test import BODY
from .jobs import decode_spec
from .listener import Listener
from .serve import CLOSE_FRACTION

GRACE_S = 2.0
# How often the load balancer asks whether a node is ready.
PROBE_INTERVAL_S = 1.0
LARGE_BYTES = 8_000_000
JOB = "00000000000000b{:x}"


class Connection:
    """A caller's connection, on which requests are written piece by piece."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.name = writer.get_extra_info("sockname")
        self.sent_bytes = 0

    def send(self, data: bytes):
        """Writes a part of a request."""
        self.writer.write(data)
        self.sent_bytes += len(data)

    async def read_response(self) -> tuple[int, dict[str, str]] | None:
        """Returns the status and headers of a complete response, or None if it is cut off."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")[:-2]
            headers = dict(line.lower().split(": ", 1) for line in lines)
            await self.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(first.split()[1]), headers


def encode_request(method: str, number: int = 0, body: bytes = b"", deadline_ms: int = 3000):
    """Returns the bytes of a valid request."""
    return (
        f"{method} /c/{JOB.format(number)} HTTP/1.1\r\nHost: x.example\r\n"
        f"Authorization: Bearer {KEY}\r\nDeadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Stop:
    """A node with a frontend that is stopped as the node program stops it."""

    def __init__(self, site, frontend):
        self.site = site
        self.node = site.nodes["n0"]
        self.faults = site.faults_by_node["n0"]
        self.frontend = frontend
        self.address = frontend.caller_listener.address
        self.read_bytes: Counter = Counter()

    def record_reads(self, monkeypatch):
        """Counts the bytes that the node reads from each connection from now on."""
        receive = RequestHandler.data_received

        def receive_and_count(handler, data):
            self.read_bytes[handler.peername] += len(data)
            receive(handler, data)

        monkeypatch.setattr(RequestHandler, "data_received", receive_and_count)

    def has_read_all(self, caller: Connection) -> bool:
        """Returns whether the node has read all that was sent on a connection."""
        return self.read_bytes[caller.name] == caller.sent_bytes

    async def connect(self) -> Connection:
        """Opens a connection to the frontend."""
        return Connection(*await asyncio.open_connection(*self.address))

    async def stop(self) -> float:
        """Stops the frontend and returns how long that took, in seconds."""
        started_s = get_elapsed_s()
        await self.node.drain(self.frontend, get_elapsed_s())
        await self.frontend.stop_listening(CLOSE_FRACTION * self.node.settings.grace_s)
        return get_elapsed_s() - started_s


def run_stop(scenario, grace_s: float = GRACE_S):
    async def main():
        site = await start_site(node_count=2)
        node = site.nodes["n0"]
        node.settings = type(node.settings)(**{**_list_fields(node.settings), "grace_s": grace_s})
        site.caller_records.jobs.update({JOB.format(n): decode_spec(BODY) for n in range(16)})
        frontend = Frontend(node.request_handler, node.is_ready, node.metrics)
        await frontend.start("127.0.0.1:0", "127.0.0.1:0")
        await scenario(Stop(site, frontend))
        return site

    run_scenario(main)


def _list_fields(settings) -> dict:
    return {name: getattr(settings, name) for name in settings.__slots__ if name[0] != "_"}


def test_request_whose_body_arrives_until_after_the_drain_is_answered():
    async def scenario(stop):
        caller = await stop.connect()
        request = encode_request("POST", 1, BODY)
        stopped = asyncio.create_task(stop.stop())
        await asyncio.sleep(0.3 * GRACE_S)
        caller.send(request[:-20])
        await asyncio.sleep(0.5 * GRACE_S)
        caller.send(request[-20:])
        status, headers = await caller.read_response()
        assert status == 200
        assert headers["connection"] == "close"
        assert await stopped < GRACE_S

    run_stop(scenario)


def test_request_whose_body_does_not_arrive_in_time_is_rejected_within_the_grace_period():
    async def scenario(stop):
        caller = await stop.connect()
        stopped = asyncio.create_task(stop.stop())
        await asyncio.sleep(0.3 * GRACE_S)
        caller.send(encode_request("POST", 1, BODY)[:-20])
        status, headers = await caller.read_response()
        assert status == 503
        assert headers["connection"] == "close"
        assert await stopped < GRACE_S

    run_stop(scenario)


def test_submission_that_the_store_leaves_unanswered_gets_its_answer_within_the_grace_period():
    async def scenario(stop):
        caller = await stop.connect()
        request = encode_request("POST", 2, BODY, deadline_ms=30_000)
        stopped = asyncio.create_task(stop.stop())
        await asyncio.sleep(0.3 * GRACE_S)
        caller.send(request[:-20])
        await asyncio.sleep(0.4 * GRACE_S)
        stop.faults.silent = True
        caller.send(request[-20:])
        status, headers = await caller.read_response()
        assert status == 504
        assert headers["connection"] == "close"
        assert await stopped < GRACE_S

    run_stop(scenario)


def test_question_for_a_job_gets_its_answer_within_the_grace_period_without_the_store():
    async def scenario(stop):
        caller, asker = await stop.connect(), await stop.connect()
        stopped = asyncio.create_task(stop.stop())
        await asyncio.sleep(0.3 * GRACE_S)
        caller.send(encode_request("POST", 2, BODY)[:-20])
        stop.faults.silent = True
        await asyncio.sleep(0.4 * GRACE_S)
        asker.send(encode_request("GET", 9))
        status, headers = await asker.read_response()
        assert status == 503
        assert headers["connection"] == "close"
        assert await stopped < GRACE_S

    run_stop(scenario)


@pytest.mark.parametrize("turns", range(8))
def test_connection_accepted_in_the_moment_of_the_stop_does_not_delay_it(turns):
    async def scenario(stop):
        with socket.create_connection(stop.address):
            for _ in range(turns):
                await asyncio.sleep(0)
            began_s = get_elapsed_s()
            await stop.frontend.stop_listening()
            assert get_elapsed_s() - began_s < GRACE_S

    run_stop(scenario)


@pytest.mark.parametrize("late_bytes", [0, 20])
@pytest.mark.parametrize("turns", range(16))
def test_request_that_was_read_while_connections_are_closed_is_answered(
    turns, late_bytes, monkeypatch
):
    async def scenario(stop):
        caller = await stop.connect()
        await asyncio.sleep(0.1)
        stop.record_reads(monkeypatch)
        request = encode_request("POST", 3, BODY)
        stopped = asyncio.create_task(stop.frontend.stop_listening())
        for _ in range(turns):
            await asyncio.sleep(0)
        caller.send(request[: len(request) - late_bytes])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        caller.send(request[len(request) - late_bytes :])
        response = await caller.read_response()
        assert response is not None or not stop.has_read_all(caller)
        await stopped

    run_stop(scenario)


def test_callers_that_keep_using_their_connections_are_answered_until_the_node_is_gone(monkeypatch):
    async def scenario(stop):
        stop.record_reads(monkeypatch)
        answered, cut_off = [], []

        async def call(number):
            while True:
                caller = await stop.connect()
                caller.send(encode_request("POST", number, BODY))
                response = await caller.read_response()
                if response is not None:
                    answered.append(response[0])
                elif stop.has_read_all(caller):
                    cut_off.append(number)
                await asyncio.sleep(0.01)

        callers = [asyncio.create_task(call(number)) for number in range(6, 12)]
        assert await stop.stop() < GRACE_S
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        assert set(answered) == {200}
        assert cut_off == []

    run_stop(scenario)


def test_pipelined_request_that_was_read_before_the_stop_is_answered():
    async def scenario(stop):
        caller = await stop.connect()
        stopped = asyncio.create_task(stop.stop())
        await asyncio.sleep(0.1)
        caller.send(encode_request("POST", 4, BODY) + encode_request("POST", 5, BODY))
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 200
        await stopped

    run_stop(scenario)


def test_caller_that_closes_its_connection_does_not_delay_the_stop():
    async def scenario(stop):
        for number in range(5):
            caller = await stop.connect()
            caller.send(encode_request("POST", number, BODY)[: -number or None])
            await asyncio.sleep(0.001)
            caller.writer.transport.abort()
        await asyncio.sleep(0.1)
        assert stop.frontend.open_calls == 0
        assert await stop.stop() < 0.5 * GRACE_S

    run_stop(scenario)


def test_calls_are_answered_while_the_leadership_is_handed_over_to_silent_peers():
    async def scenario(stop):
        leader = find_leader(stop.site)
        stop.node = stop.site.nodes[leader]

        async def keep_silent(record):
            await asyncio.sleep(ALIVE_TIMEOUT_S)
            return False

        stop.node.peers.is_alive = keep_silent
        stop.frontend.request_handler = stop.node.request_handler
        stopped = asyncio.create_task(stop.stop())
        for number in range(5):
            caller, started_s = await stop.connect(), get_elapsed_s()
            caller.send(encode_request("POST", number, BODY))
            assert (await caller.read_response())[0] == 200
            assert get_elapsed_s() - started_s < 0.1
            await asyncio.sleep(0.08 * GRACE_S)
        await stopped

    run_stop(scenario)


def test_new_callers_are_served_until_the_load_balancer_has_missed_two_answers():
    async def scenario(stop):
        balancer = await stop.connect()
        stopped = asyncio.create_task(stop.stop())
        misses = 0
        await asyncio.sleep(PROBE_INTERVAL_S - 0.01)
        while misses < 2:
            balancer = await stop.connect()
            balancer.send(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            misses += (await balancer.read_response())[0] == 503
            caller = await stop.connect()
            caller.send(encode_request("POST", misses, BODY))
            assert (await caller.read_response())[0] == 200
            await asyncio.sleep(PROBE_INTERVAL_S)
        await stopped

    run_stop(scenario, grace_s=6.0)


def test_calls_in_progress_are_answered_across_a_new_configuration():
    async def scenario(stop):
        callers = [await stop.connect() for _ in range(10)]
        for version, caller in enumerate(callers):
            caller.send(encode_request("POST", version, BODY)[:-5])
            await asyncio.sleep(0.01)
            publish_config(stop.site, version + 2)
            caller.send(BODY[-5:])
        for caller in callers:
            assert (await caller.read_response())[0] == 200
        await stop.stop()

    run_stop(scenario)


def test_response_that_is_still_being_sent_is_sent_whole_before_the_listener_is_closed():
    async def answer(request):
        return web.Response(body=b"x" * LARGE_BYTES)

    async def main():
        use_clocks(asyncio.get_running_loop().time, asyncio.get_running_loop().time)
        listener = Listener(answer)
        await listener.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.01)
        (connection,) = listener.server.connections
        transport = connection.transport
        assert transport.get_write_buffer_size() > 0
        closed = asyncio.create_task(listener.close(5.0))
        await asyncio.sleep(0.5)
        assert not closed.done()
        response = await reader.read()
        assert len(response) > LARGE_BYTES
        await closed
        use_system_clocks()

    run_in_virtual_time(main())
