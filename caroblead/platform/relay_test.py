"""Guards against callers turned away by a node whose peers could serve them, and against lies.

A call that a peer may have executed must never be answered as one that had no effect.
"""

import asyncio

import pytest
from aiohttp import web

from ..jobs.record import NodeRecord
from ..standin.cluster import run_scenario, start_site
from .frontend import Frontend
from .frontend_test import BODY, JOB, RpcClient, _make_spec
from .http import HttpClient
from .listener import Listener
from .relay import Relay

# Longer than a node may go on with keys that it has not read anew.
OUTAGE_S = 6.0


def make_peer(listener) -> tuple[list[NodeRecord], int]:
    host, port = listener.address
    return [NodeRecord("n1", "a", host, 1, "i")], port


async def serve_node(site, name, relay=None):
    node = site.nodes[name]
    frontend = Frontend(node.request_handler, node.is_ready, node.metrics, relay)
    await frontend.start("127.0.0.1:0", "127.0.0.1:0")
    return frontend


def run_with_peer(scenario, serve_peer):
    """Runs a scenario with a caller of n0, which the store turns away and which has one peer."""

    async def main():
        site = await start_site()
        peer = await serve_peer(site)
        http = HttpClient()
        records, port = make_peer(peer)
        front = await serve_node(site, "n0", Relay("n0", http, lambda: records, port))
        site.faults_by_node["n0"].down = True
        await asyncio.sleep(OUTAGE_S)
        try:
            caller = RpcClient(http, front)
            caller.frontend = front
            await scenario(site, caller)
        finally:
            await http.close()
            await front.stop_listening()
            await peer.close(0.1)
        return site

    return run_scenario(main)


async def serve_second_node(site) -> Listener:
    return (await serve_node(site, "n1")).caller_listener


def test_node_that_the_store_turns_away_serves_through_a_peer():
    async def scenario(site, caller):
        site.caller_records.jobs[JOB] = _make_spec()
        assert (await caller.call("POST", f"/c/{JOB}", BODY)).status == 200
        assert (await caller.call("POST", f"/c/{JOB}", BODY)).status == 200
        await asyncio.sleep(1.5)
        assert (await caller.call("GET", f"/c/{JOB}")).decode() == {"state": "completed"}
        starts = [event for event in site.vm_simulator.history if event.kind == "start"]
        assert len(starts) == 2
        assert (await caller.call("DELETE", f"/c/{JOB}")).status == 200
        assert (await caller.call("GET", f"/none/{JOB}")).status == 404

    run_with_peer(scenario, serve_second_node)


def test_call_that_was_passed_on_is_not_passed_on_again():
    async def scenario(site, caller):
        assert (await caller.call("POST", f"/c/{JOB}", BODY, Via="1.1 n2")).status == 503
        assert not site.nodes["n1"].ledger.jobs

    run_with_peer(scenario, serve_second_node)


def test_peers_without_the_store_are_left_alone_and_the_rejection_is_true():
    async def scenario(site, caller):
        for faults in site.faults_by_node.values():
            faults.down = True
        await asyncio.sleep(OUTAGE_S)
        for _ in range(3):
            assert (await caller.call("POST", f"/c/{JOB}", BODY)).status == 503
        assert site.nodes["n1"].metrics.calls["POST", 503] == 1
        assert not site.vm_simulator.history

    run_with_peer(scenario, serve_second_node)


async def serve_silent_peer(site) -> Listener:
    async def answer(request: web.BaseRequest) -> web.Response:
        await request.read()
        await asyncio.sleep(60)
        return web.Response()

    listener = Listener(answer)
    await listener.start("127.0.0.1", 0)
    return listener


@pytest.mark.parametrize(("method", "status"), [("POST", 504), ("DELETE", 504), ("GET", 503)])
def test_call_that_a_silent_peer_may_have_executed_is_in_doubt(method, status):
    async def scenario(site, caller):
        headers = {"Deadline-Ms": "900"}
        body = BODY if method == "POST" else None
        assert (await caller.call(method, f"/c/{JOB}", body, **headers)).status == status

    run_with_peer(scenario, serve_silent_peer)


@pytest.mark.parametrize(("method", "status"), [("POST", 504), ("DELETE", 504), ("GET", 503)])
def test_call_that_was_passed_on_when_its_node_stops_is_in_doubt(method, status):
    async def scenario(site, caller):
        body = BODY if method == "POST" else None
        call = asyncio.create_task(caller.call(method, f"/c/{JOB}", body))
        await asyncio.sleep(0.1)
        await caller.frontend.stop_listening(0.4)
        assert (await call).status == status

    run_with_peer(scenario, serve_silent_peer)


async def serve_peer_that_is_full(site) -> Listener:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=429, headers={"Retry-After": "7"})

    listener = Listener(answer)
    await listener.start("127.0.0.1", 0)
    return listener


def test_answer_of_a_peer_keeps_the_time_after_which_to_try_again():
    async def scenario(site, caller):
        reply = await caller.call("POST", f"/c/{JOB}", BODY)
        assert (reply.status, reply.retry_after) == (429, "7")

    run_with_peer(scenario, serve_peer_that_is_full)
