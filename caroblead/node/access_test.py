"""Guards against denials by a node whose copy of the configuration is too old to prove them."""

import asyncio

import pytest

from ..core.outcome import Reason
from ..dispatch.interface import Configuration
from ..jobs.data import JobQueue
from ..standin.cluster import KEY, QUEUES, SERVICE, publish_config, run_scenario, start_site
from .access import SeenVersion
from .answer import Admission, Rejected

# The settings' default for the time within which a change must be in force.
APPLY_S = 2.0
# Long enough for a read of the configuration after a fault has ended.
READ_S = 1.5
HOST = "x.example"
# The first version with the queue ``ADDED``, the key ``NEW_KEY`` and a limit of ``LARGE`` bytes.
CHANGED_IN = 2
ADDED = JobQueue("added", HOST, "/n/", SERVICE, open_to_all=True)
NEW_KEY = "key-of-south"
SMALL, LARGE = 100, 1000


def decode_version(value: bytes) -> Configuration:
    version = int(value)
    if version < CHANGED_IN:
        return Configuration(version, dict(QUEUES), {}, {KEY: "north"}, SMALL)
    queues = {**QUEUES, ADDED.name: ADDED}
    return Configuration(version, queues, {}, {KEY: "north", NEW_KEY: "south"}, LARGE)


async def start_changing_site(**options):
    """Starts a site whose version 1 has been read by all nodes, with :func:`decode_version`."""
    site = await start_site(**options)
    for node in site.nodes.values():
        node.configuration_view.decode = decode_version
        node.configuration_view.current = decode_version(b"1")
    return site


def list_denials(access):
    """Returns the reasons for which the calls are rejected that only version 2 allows."""
    answers = [
        access.admit(HOST, "/n/", KEY),
        access.admit(HOST, "/c/1", NEW_KEY),
        access.check_size(LARGE),
    ]
    return [answer.fault.reason for answer in answers if isinstance(answer, Rejected)]


@pytest.mark.parametrize("fault", ["silent", "down", "frozen"])
def test_node_without_the_store_denies_nothing_that_was_added_meanwhile(fault):
    async def scenario():
        site = await start_changing_site()
        access = site.nodes["n0"].access
        setattr(site.faults_by_node["n0"], fault, True)
        publish_config(site, CHANGED_IN)
        for _ in range(6):
            await asyncio.sleep(APPLY_S)
            assert list_denials(access) == [Reason.NO_CONFIG] * 3
        setattr(site.faults_by_node["n0"], fault, False)
        await asyncio.sleep(READ_S)
        assert list_denials(access) == []
        return site

    run_scenario(scenario)


def test_node_that_the_store_turns_away_denies_nothing_from_the_first_failed_read_on():
    async def scenario():
        site = await start_changing_site()
        site.faults_by_node["n0"].down = True
        await asyncio.sleep(APPLY_S / 4)
        assert list_denials(site.nodes["n0"].access) == [Reason.NO_CONFIG] * 3
        return site

    run_scenario(scenario)


def test_node_without_the_store_still_admits_what_its_copy_allows():
    async def scenario():
        site = await start_changing_site()
        site.faults_by_node["n0"].down = True
        await asyncio.sleep(APPLY_S)
        answer = await site.nodes["n0"].access.decide(HOST, "/c/1", KEY)
        assert answer == Admission(QUEUES["checks"], "north")
        return site

    run_scenario(scenario)


def test_node_with_the_store_denies_at_once():
    async def scenario():
        site = await start_changing_site()
        loop = asyncio.get_running_loop()
        for _ in range(20):
            await asyncio.sleep(0.13)
            began_s = loop.time()
            answer = await site.nodes["n0"].access.decide(HOST, "/none/", KEY)
            assert answer.fault.reason is Reason.NO_SUCH_QUEUE
            assert loop.time() == began_s
        return site

    run_scenario(scenario)


def test_first_call_after_a_pause_waits_for_the_configuration_and_is_not_denied():
    async def scenario():
        site = await start_changing_site()
        faults = site.faults_by_node["n0"]
        faults.frozen = True
        publish_config(site, CHANGED_IN)
        await asyncio.sleep(APPLY_S)
        faults.frozen = False
        answer = await site.nodes["n0"].access.decide(HOST, "/n/", KEY)
        assert answer == Admission(ADDED, "north")
        return site

    run_scenario(scenario)


def test_copy_that_is_older_than_what_a_peer_showed_decides_nothing_until_it_is_read_again():
    async def scenario():
        site = await start_changing_site()
        access = site.nodes["n0"].access
        site.faults_by_node["n0"].down = True
        await asyncio.sleep(0.5)
        access.note_shown(CHANGED_IN + 1)
        answer = await access.decide(HOST, "/c/1", KEY)
        assert answer.fault.reason is Reason.NO_CONFIG
        assert access.get_min_version() == CHANGED_IN + 1
        site.faults_by_node["n0"].down = False
        await asyncio.sleep(READ_S)
        # Nothing was published: what the peer showed does not hold against the log.
        assert isinstance(await access.decide(HOST, "/c/1", KEY), Admission)
        assert access.get_min_version() == 1
        site.faults_by_node["n0"].down = True
        await asyncio.sleep(0.5)
        access.note_shown(CHANGED_IN)
        assert access.get_min_version() == CHANGED_IN
        return site

    run_scenario(scenario)


def test_call_of_a_peer_with_a_newer_version_waits_for_that_version():
    async def scenario():
        site = await start_changing_site()
        access, loop = site.nodes["n0"].access, asyncio.get_running_loop()
        publish_config(site, CHANGED_IN)
        seen = SeenVersion(CHANGED_IN, loop.time())
        assert await access.decide(HOST, "/n/", KEY, seen) == Admission(ADDED, "north")
        # A version that the log does not have is forgotten with the call.
        seen = SeenVersion(10**17, loop.time())
        assert isinstance(await access.decide(HOST, "/c/1", KEY, seen), Admission)
        assert isinstance(access.admit(HOST, "/c/1", KEY), Admission)
        return site

    run_scenario(scenario)
