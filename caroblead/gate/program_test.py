"""Tests of the responses over HTTP that callers and operators get for valid and invalid input."""

import asyncio

import aiohttp
import pytest

from ..core.loop import run_in_virtual_time
from ..tools.localsite import LocalSite
from ..tools.scenario import KEYS, hash_key, make_site_settings
from .route import Router

# Urgent work must have started within this time.
URGENT_START_S = 6.0
OPERATOR_KEY = "op-key"
NORTH = {"Authorization": f"Bearer {KEYS['north']}"}
OPERATOR = {"Authorization": f"Bearer {OPERATOR_KEY}"}


def run_against_gate(steps):
    """Starts a site with one entry VM and runs the coroutine ``steps`` against its gate."""

    async def main():
        settings = make_site_settings(zones=1, nodes=1, service_ms=10.0)
        platform = settings.platform.model_copy(
            update={"operator_key_digest": hash_key(OPERATOR_KEY)}
        )
        site = LocalSite(settings.model_copy(update={"platform": platform}))
        await site.start()
        await site.wait_until_owned()
        gate = next(iter(site.gates.values()))
        async with aiohttp.ClientSession(f"http://127.0.0.1:{gate.http_port}") as session:
            result = await steps(session, site)
        await site.close()
        return result

    return run_in_virtual_time(main())


async def post(session, path, body, headers=None):
    async with session.post(path, json=body, headers=headers or {}) as response:
        return response.status, await response.json(), response.headers


INVALID_CALLS = {
    "no key": ("check", "requests", {}, None, 401, "no_key"),
    "bad key": ("check", "requests", {}, {"Authorization": "Bearer wrong"}, 401, "bad_key"),
    "no queue": ("nothing", "requests", {}, NORTH, 404, "no_such_queue"),
    "request to a job queue": ("mix", "requests", {}, NORTH, 404, "no_such_queue"),
    "unknown field": ("check", "requests", {"pay": 1}, NORTH, 400, "bad_input"),
    "bad deadline": ("check", "requests", {"deadline_s": -1}, NORTH, 400, "bad_input"),
    "no tasks": ("mix", "jobs", {"tasks": 0}, NORTH, 400, "bad_input"),
    "never fits": ("mix", "jobs", {"cores": 900}, NORTH, 409, "never_fits"),
    "gang over the cell": ("book", "jobs", {"tasks": 50, "cores": 8}, NORTH, 409, "never_fits"),
    "too large": ("check", "requests", {"payload": "x" * 2_000_000}, NORTH, 413, "too_large"),
}


@pytest.mark.parametrize("name", INVALID_CALLS)
def test_invalid_call_gets_status_and_reason(name):
    queue, work_type, body, headers, status, reason = INVALID_CALLS[name]

    async def steps(session, site):
        return await post(session, f"/v1/queues/{queue}/{work_type}", body, headers)

    actual_status, document, _ = run_against_gate(steps)
    assert (actual_status, document["outcome"], document["error"]["reason"]) == (
        status,
        "not_run",
        reason,
    )
    assert document["error"]["step"] and document["error"]["peer"]


def test_team_of_another_queue_is_forbidden():
    async def steps(session, site):
        ticket = {"ticket": 2, "queues": [{"name": "check", "kind": "urgent", "teams": ["south"]}]}
        await post(session, "/v1/tickets", ticket, OPERATOR)
        return await post(session, "/v1/queues/check/requests", {}, NORTH)

    status, document, _ = run_against_gate(steps)
    assert (status, document["error"]["reason"]) == (403, "forbidden")


def test_request_and_job_are_accepted_and_job_is_cancelled():
    async def steps(session, site):
        answered = await post(session, "/v1/queues/check/requests", {"payload": 7}, NORTH)
        open_queue_answer = await post(session, "/v1/queues/hours/requests", {})
        job = {"tasks": 2, "cores": 1, "run_time_s": 500, "name": "weekly"}
        first = await post(session, "/v1/queues/mix/jobs", job, NORTH)
        again = await post(session, "/v1/queues/mix/jobs", job, NORTH)
        path = f"/v1/jobs/{first[1]['job']}"
        async with session.delete(path, headers=NORTH) as response:
            cancelled = response.status
        async with session.get("/v1/jobs", headers=NORTH) as response:
            jobs = (await response.json())["jobs"]
        return answered, open_queue_answer, first, again, cancelled, jobs

    answered, open_queue_answer, first, again, cancelled, jobs = run_against_gate(steps)
    assert answered[0] == open_queue_answer[0] == 200
    assert first[0] == 201 and again[0] == 200
    assert first[1]["job"] == again[1]["job"]
    assert cancelled == 200 and len(jobs) == 1


def test_invalid_ticket_is_rejected_whole_with_every_error():
    async def steps(session, site):
        ticket = {
            "ticket": 1,
            "teams": [{"name": "east"}],
            "queues": [{"name": "new", "teams": ["nobody"]}],
        }
        refused = await post(session, "/v1/tickets", ticket, OPERATOR)
        async with session.get("/v1/config", headers=OPERATOR) as response:
            config = await response.json()
        without_key = await post(session, "/v1/tickets", ticket)
        return refused, config, without_key

    refused, config, without_key = run_against_gate(steps)
    assert refused[0] == 409 and len(refused[1]["errors"]) == 2
    assert {team["name"] for team in config["teams"]} == {"north", "south"}
    assert without_key[0] == 401
    assert not any(key in str(config) for key in KEYS.values())


def test_metrics_and_status_are_served():
    async def steps(session, site):
        await post(session, "/v1/queues/check/requests", {"payload": 7}, NORTH)
        async with session.get("/metrics") as response:
            metrics = await response.text()
        async with session.get("/v1/status") as response:
            return metrics, await response.json()

    metrics, status = run_against_gate(steps)
    assert 'caroblead_requests_total{queue="check",outcome="answered",reason=""} 1' in metrics
    assert status["nodes"][0]["shards"][0]["shard"] == "z1.0"


def test_urgent_queue_takes_jobs_too_and_makes_room_for_them():
    async def steps(session, site):
        fill = {"tasks": 6, "cores": 8, "run_time_s": 300}
        await post(session, "/v1/queues/mix/jobs", fill, NORTH)
        await asyncio.sleep(1)
        urgent = {"tasks": 1, "cores": 8, "run_time_s": 300}
        job = (await post(session, "/v1/queues/check/jobs", urgent, NORTH))[1]["job"]
        await asyncio.sleep(URGENT_START_S)
        async with session.get(f"/v1/jobs/{job}", headers=NORTH) as response:
            return await response.json()

    assert run_against_gate(steps)["state"] == "running"


def test_internal_error_is_answered_as_unknown(monkeypatch):
    async def fail(self, state, call):
        raise RuntimeError("broken")

    monkeypatch.setattr(Router, "run", fail)

    async def steps(session, site):
        return await post(session, "/v1/queues/check/requests", {}, NORTH)

    status, document, _ = run_against_gate(steps)
    assert (status, document["outcome"], document["error"]["reason"]) == (
        504,
        "unknown",
        "internal",
    )
