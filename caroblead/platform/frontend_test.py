"""End-to-end tests of the HTTP interface for callers, on a node with the platform stand-in."""

import asyncio

import orjson

from ..core.resource import Resources
from ..standin.cluster import KEY, run_scenario, start_site
from .frontend import Frontend
from .http import HttpClient

JOB = "00000000000000a1"
BODY = orjson.dumps({"spec": '{"seconds":0.2}', "steps": [{"count": 2, "cpu": 1000, "memMb": 100}]})
HEADERS = {"Host": "x.example", "Authorization": f"Bearer {KEY}", "Deadline-Ms": "3000"}


class RpcClient:
    """HTTP client that calls one frontend with the headers of a valid caller."""

    def __init__(self, http, frontend):
        self.http = http
        host, port = frontend.caller_listener.address
        self.base_url = f"http://{host}:{port}"

    async def call(self, method, path, body=None, **headers):
        merged = {name: value for name, value in {**HEADERS, **headers}.items() if value}
        return await self.http.call(method, self.base_url + path, 3.0, body, merged)


def run_with_frontend(scenario):
    async def main():
        site = await start_site()
        node = site.nodes["n0"]
        frontend = Frontend(node.request_handler, node.is_ready, node.metrics)
        await frontend.start("127.0.0.1:0", "127.0.0.1:0")
        http = HttpClient()
        try:
            await scenario(site, RpcClient(http, frontend))
        finally:
            await http.close()
            await frontend.stop_listening()
        return site

    run_scenario(main)


def test_job_completes_and_is_not_run_again_when_resubmitted():
    async def scenario(site, caller):
        site.caller_records.jobs[JOB] = _make_spec()
        assert (await caller.call("POST", f"/c/{JOB}", BODY)).status == 200
        states = []
        for _ in range(10):
            states.append((await caller.call("GET", f"/c/{JOB}")).decode()["state"])
        assert states[-1] == "completed"
        assert (await caller.call("POST", f"/c/{JOB}", BODY)).status == 200
        assert (await caller.call("DELETE", f"/c/{JOB}")).status == 200
        assert (await caller.call("GET", f"/c/{JOB}")).decode() == {"state": "completed"}
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len(starts) == 2
        assert (await caller.call("GET", "/c/")).decode() == {"waiting": 0}

    run_with_frontend(scenario)


def _make_spec():
    from .jobs import decode_spec

    return decode_spec(BODY)


def test_invalid_calls_get_the_matching_error_status_and_start_nothing():
    async def scenario(site, caller):
        send = caller.call
        assert (await send("POST", f"/none/{JOB}", BODY)).status == 404
        assert (await send("POST", f"/c/{JOB}", BODY, Host="y.example")).status == 404
        assert (await send("POST", f"/c/{JOB}", BODY, Authorization="Bearer no")).status == 401
        assert (await send("POST", f"/c/{JOB}", BODY, Authorization="")).status == 401
        assert (await send("POST", f"/c/{JOB}", b"{}")).status == 400
        assert (await send("POST", "/c/short", BODY)).status == 400
        assert (await send("POST", f"/c/{JOB}", b"x" * 300_000)).status == 413
        assert (await send("POST", f"/c/{JOB}", b"x" * 3_000_000)).status == 413
        assert (await send("GET", f"/c/{JOB}")).status == 410
        assert (await send("PUT", f"/c/{JOB}")).status == 405
        # No read proves that the job isn't on its way, so the cancel is stored and has an effect.
        assert (await send("DELETE", f"/c/{JOB}")).status == 200
        assert (await send("GET", f"/c/{JOB}")).status == 410
        site.caller_records.jobs[JOB] = _make_spec()
        assert (await send("POST", f"/c/{JOB}", BODY)).status == 200
        await asyncio.sleep(2)
        assert (await send("GET", f"/c/{JOB}")).decode() == {"state": "cancelled"}
        assert site.vm_simulator.history == []

    run_with_frontend(scenario)


def test_host_in_capitals_finds_its_queue():
    async def scenario(site, caller):
        assert (await caller.call("GET", "/c/", Host="X.Example:80")).status == 200
        assert site.vm_simulator.history == []

    run_with_frontend(scenario)


def test_node_without_the_store_returns_errors_and_is_not_ready():
    async def scenario(site, caller):
        assert (await caller.call("GET", "/api/readyz")).status == 200
        site.faults_by_node["n0"].silent = True
        first_reply = await caller.call("POST", f"/c/{JOB}", BODY)
        assert first_reply.status == 504
        assert (await caller.call("POST", f"/c/{JOB[:-1]}2", BODY)).status == 503
        assert (await caller.call("GET", "/api/readyz")).status == 503
        later_job = "0" * 15 + "3"
        for _ in range(6):
            reply = await caller.call("POST", f"/c/{later_job}", BODY)
        assert reply.status == 503
        assert site.cap == Resources()

    run_with_frontend(scenario)
