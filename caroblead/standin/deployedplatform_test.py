"""Tests that the platform of a deployed site treats nodes apart and refuses what it must."""

import asyncio

import pytest

from ..dispatch.interface import LogLimits
from ..jobs.data import AdviceTimes, JobQueue
from ..platform.http import CallFailedError, HttpClient
from .cluster import make_listed_vm
from .deployedplatform import DeployedPlatform, StoreFault
from .network import PROBE_PORT, choose_network
from .verdict import CallerRecords
from .vmsimulator import VmSimulator
from .work import make_behavior_lookup, make_spec, make_step

JOB = "a" * 16
QUEUE = JobQueue("renders", "x.example", "/a/", "planner", advice=AdviceTimes(0.01, 0.0, 0.2))
TIMEOUT_S = 0.5


class Setup:
    """A platform with one VM, which two nodes reach at addresses of their own."""

    def __init__(self):
        records = CallerRecords({JOB: make_spec(make_step(1))}, {JOB: QUEUE})
        self.vms = VmSimulator(make_behavior_lookup(records.jobs))
        self.platform = DeployedPlatform(self.vms, LogLimits(), records, seed=1)
        self.platform.allowed_fractions = {QUEUE.name: 1.0}
        self.http = HttpClient()
        network = choose_network()
        self.hosts = [f"{network}.101", f"{network}.102"]

    async def post(self, path: str, message: dict, node: int = 0):
        """Sends a call as a node."""
        url = f"http://{self.hosts[node]}:{PROBE_PORT}/api/{path}"
        return await self.http.post(url, message, TIMEOUT_S, {"Expect-Instance": "vm-0"})

    async def read(self, node: int) -> int:
        """Returns the status of a read of the store by a node."""
        url = f"http://{self.hosts[node]}:{PROBE_PORT}/api/log-newest?topic=keyed.op&part=0"
        return (await self.http.call("GET", url, TIMEOUT_S)).status

    async def start_task(self, ticket: str, run: int = 1):
        """Orders the start of a run, and returns the answer."""
        task = {"task": f"{JOB}.0.0.0", "runId": run, "spec": "", "fencingToken": 1}
        return await self.post("run-start", {**task, "deadlineMs": 5000, "ticket": ticket})


def run_setup(scenario):
    async def main():
        setup = Setup()
        setup.vms.add(make_listed_vm(0))
        await setup.platform.start(setup.hosts, PROBE_PORT)
        try:
            await scenario(setup)
        finally:
            await setup.http.close()
            await setup.platform.close()

    asyncio.run(main())


def test_store_turns_one_node_away_and_serves_the_other():
    async def scenario(setup):
        setup.platform.store_faults[setup.hosts[0]] = StoreFault.REFUSE
        assert [await setup.read(0), await setup.read(1)] == [503, 200]
        setup.platform.store_faults[setup.hosts[0]] = StoreFault.RESET
        with pytest.raises(CallFailedError):
            await setup.read(0)

    run_setup(scenario)


def test_start_without_a_valid_ticket_is_refused():
    async def scenario(setup):
        assert (await setup.start_task("")).decode()["reason"] == "ticket"
        question = {"stepId": f"{JOB}.0.0", "workers": ["vm-0"]}
        advice = (await setup.post("advise", question)).decode()
        ticket = dict(advice["allowed"])["vm-0"]
        assert (await setup.start_task(ticket)).status == 200
        await asyncio.sleep(QUEUE.advice.valid_s + 0.1)
        assert (await setup.start_task(ticket, run=2)).decode()["reason"] == "ticket"

    run_setup(scenario)


def test_vm_without_power_gives_no_answer():
    async def scenario(setup):
        setup.vms.crash("vm-0", 0.2)
        with pytest.raises(CallFailedError):
            await setup.start_task("")
        assert (await setup.start_task("")).decode()["reason"] == "ticket"

    run_setup(scenario)
