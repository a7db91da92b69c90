"""Guards against callers turned away by a node whose peers could serve them, and against lies.

A call that a peer may have executed must never be answered as one that had no effect.
"""

import asyncio
import socket

import pytest
from aiohttp import web

from ..core.outcome import LogError
from ..jobs.record import NodeRecord
from ..node.access_test import CHANGED_IN, NEW_KEY, start_changing_site
from ..node.relaychoice import BACKOFF_S
from ..standin.cluster import publish_config, run_scenario, start_site
from .frontend import Frontend
from .frontend_test import BODY, JOB, RpcClient, _make_spec
from .http import CallFailedError, HttpClient
from .listener import Listener
from .relay import VERSION_HEADER, Relay
from .serve import PEER_CONNECT_TIMEOUT_S

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


def run_with_peer(scenario, serve_peer, start=start_site):
    """Runs a scenario with a caller of n0, which the store turns away and which has one peer."""

    async def main():
        site = await start()
        peer = await serve_peer(site)
        http = HttpClient()
        records, port = make_peer(peer)
        access = site.nodes["n0"].access
        front = await serve_node(site, "n0", Relay("n0", http, lambda: records, port, access))
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


# A second call for a job was told that the job would never run, or that there was none, while the
# first one was still on its way.
@pytest.mark.parametrize(("method", "status"), [("POST", 504), ("GET", 503)])
def test_job_that_a_silent_peer_may_still_store_is_not_denied(method, status):
    async def scenario(site, caller):
        assert (
            await caller.call("POST", f"/c/{JOB}", BODY, **{"Deadline-Ms": "900"})
        ).status == 504
        body = BODY if method == "POST" else None
        # The peer is left alone for a while, so the node answers by itself.
        assert (await caller.call(method, f"/c/{JOB}", body)).status == status
        other = "0" * 16
        assert (await caller.call(method, f"/c/{other}", body)).status == 503
        site.faults_by_node["n0"].down = False
        await asyncio.sleep(1.0)
        if method == "GET":
            assert (await caller.call(method, f"/c/{JOB}")).status == 503
            assert (await caller.call(method, f"/c/{other}")).status == 410
            assert (await caller.call("DELETE", f"/c/{JOB}")).status == 200
            await asyncio.sleep(0.5)
            assert (await caller.call(method, f"/c/{JOB}")).decode() == {"state": "cancelled"}

    run_with_peer(scenario, serve_silent_peer)


@pytest.mark.parametrize("denial", [410, 429])
def test_peer_denies_no_job_that_the_sender_may_have_stored(denial):
    async def serve_denying_peer(site) -> Listener:
        async def answer(request: web.BaseRequest) -> web.Response:
            await request.read()
            return web.Response(status=denial, headers={VERSION_HEADER: "9"})

        listener = Listener(answer)
        await listener.start("127.0.0.1", 0)
        return listener

    async def scenario(site, caller):
        site.nodes["n0"].request_handler.note_unsettled(JOB)
        expected = {("POST", 429): 504, ("DELETE", 410): 504, ("GET", 410): 503}
        for method in ("POST", "DELETE", "GET"):
            body = BODY if method == "POST" else None
            reply = await caller.call(method, f"/c/{JOB}", body)
            assert reply.status == expected.get((method, denial), denial)

    run_with_peer(scenario, serve_denying_peer)


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


# A node passed on what a peer said by version 14, and then said 404 by its own version 2.
def test_node_never_goes_back_behind_the_answer_of_a_peer():
    async def scenario(site, caller):
        publish_config(site, CHANGED_IN)
        await asyncio.sleep(1)
        new = {"Authorization": f"Bearer {NEW_KEY}"}
        site.caller_records.jobs[JOB] = _make_spec()
        assert (await caller.call("POST", f"/c/{JOB}", BODY, **new)).status == 200
        assert (await caller.call("GET", "/n/")).decode() == {"waiting": 0}
        assert (await caller.call("GET", "/none/")).status == 404
        site.faults_by_node["n1"].down = True
        await asyncio.sleep(OUTAGE_S)
        for path in ("/n/", "/none/", "/c/"):
            assert (await caller.call("GET", path)).status == 503

    run_with_peer(scenario, serve_second_node, start_changing_site)


def test_peer_with_an_older_configuration_denies_nothing_to_callers_of_a_newer_node():
    async def scenario(site, caller):
        site.faults_by_node["n0"].down = False
        site.faults_by_node["n1"].down = True
        publish_config(site, CHANGED_IN)
        await asyncio.sleep(0.5)

        async def refuse(records, fence, timeout_s):
            raise LogError("log-append returned status 503", False)

        site.nodes["n0"].appender.log.append = refuse
        new = {"Authorization": f"Bearer {NEW_KEY}"}
        assert (await caller.call("POST", f"/c/{JOB}", BODY, **new)).status == 503
        calls = site.nodes["n1"].metrics.calls
        assert {status for method, status in calls} == {503}

    run_with_peer(scenario, serve_second_node, start_changing_site)


async def serve_peer_that_denies(site) -> Listener:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=404)

    listener = Listener(answer)
    await listener.start("127.0.0.1", 0)
    return listener


def test_denial_by_a_peer_that_tells_no_version_is_not_handed_out():
    async def scenario(site, caller):
        for method in ("GET", "POST", "DELETE"):
            body = BODY if method == "POST" else None
            assert (await caller.call(method, f"/c/{JOB}", body)).status == 503
            await asyncio.sleep(BACKOFF_S)

    run_with_peer(scenario, serve_peer_that_denies)


@pytest.mark.parametrize("version", ["99999999999999999", "-1", "x", "9" * 5000, "\u0663"])
def test_version_that_a_caller_makes_up_changes_nothing(version):
    async def scenario(site, caller):
        site.faults_by_node["n0"].down = False
        await asyncio.sleep(1.5)
        headers = {"Via": "1.1 n9", "Configuration-Version": version}
        for _ in range(2):
            assert (await caller.call("GET", "/c/", **headers)).status == 200
            assert (await caller.call("GET", "/c/")).status == 200

    run_with_peer(scenario, serve_second_node)


def test_peer_that_accepts_no_connection_is_given_up_soon_and_certainly_got_nothing():
    async def main():
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        address = listening.getsockname()
        # The queue of connections that wait to be accepted is full after these.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        http = HttpClient(connect_timeout_s=PEER_CONNECT_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(CallFailedError) as caught:
            await http.call("POST", f"http://127.0.0.1:{address[1]}/", 5.0, b"")
        assert not caught.value.sent
        assert loop.time() - began_s < 1.0
        await http.close()
        for each in (*fillers, listening):
            each.close()

    asyncio.run(main())
