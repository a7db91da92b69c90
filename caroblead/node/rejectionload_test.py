"""An overload of real nodes by one team: rejections begin, spare the others, and end."""

import asyncio

from ..core.resource import Resources
from ..dispatch.interface import TeamLimits
from ..jobs.record import KeyedRecord
from ..standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from .answer import Accepted
from .rejection_test import SPEC, is_rejected, judge, send

# How long the work that was accepted during an overload takes to end.
DRAIN_S = 60.0
CALM_TEAM = "south"


class Overload:
    """Submits 24 jobs a second, three times what can be served, until it is stopped.

    ``outcomes`` are the outcomes by the time of submission. A caller of another team submits one
    job a second, which is within its share.
    """

    def __init__(self, site):
        self.site = site
        self.outcomes = []
        self.calm_outcomes = []
        self.tasks = []
        self.loop_task = asyncio.create_task(self._run())

    async def _run(self):
        number = 0
        while True:
            number += 1
            self._spawn(number, "north", self.outcomes)
            if number % 24 == 0:
                self._spawn(number, CALM_TEAM, self.calm_outcomes)
            await asyncio.sleep(1 / 24)

    def _spawn(self, number, team, outcomes):
        names = sorted(self.site.nodes)
        self.tasks.append(
            asyncio.create_task(self._send(names[number % len(names)], team, outcomes))
        )

    async def _send(self, name, team, outcomes):
        began_s = asyncio.get_running_loop().time()
        outcomes.append((began_s, await send(self.site, name, team=team)))

    async def stop(self):
        self.loop_task.cancel()
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(DRAIN_S)

    def count_rejected(self, from_s, until_s=float("inf")):
        return sum(is_rejected(item) for at_s, item in self.outcomes if from_s <= at_s < until_s)


async def start_overload():
    """Starts a site, and an overload of it that lasts until rejections have begun."""
    site = await start_site(admission=True)
    site.teams[CALM_TEAM] = TeamLimits(CALM_TEAM, 2.0, Resources())
    site.teams["north"] = TeamLimits("north", 4.0, Resources())
    overload = Overload(site)
    await asyncio.sleep(8)
    assert overload.count_rejected(0) > 0
    return site, overload


def get_now_s():
    return asyncio.get_running_loop().time()


def test_rejections_begin_and_end_with_the_overload_and_spare_the_team_within_its_share():
    async def scenario():
        site, overload = await start_overload()
        await asyncio.sleep(6)
        await overload.stop()
        assert not any(is_rejected(item) for _, item in overload.calm_outcomes)
        assert len(overload.calm_outcomes) > 10
        for name in site.nodes:
            assert isinstance(await send(site, name), Accepted)
        await asyncio.sleep(5)
        assert not site.nodes[find_leader(site)].load_control.report.waits
        return site

    judge(run_scenario(scenario))


def test_leader_killed_in_the_middle_of_rejecting():
    """No report of the old term rejects once the new one is known, and no accepted job is lost."""

    async def scenario():
        site, overload = await start_overload()
        await kill_node(site, find_leader(site))
        await wait_for_leader(site)
        await asyncio.sleep(1)
        began_s = get_now_s()
        assert site.nodes[find_leader(site)].leader.term == 2
        await asyncio.sleep(0.8)
        assert overload.count_rejected(began_s) == 0
        await asyncio.sleep(5)
        assert overload.count_rejected(began_s) > 0
        await overload.stop()
        assert not any(is_rejected(item) for _, item in overload.calm_outcomes)
        return site

    judge(run_scenario(scenario))


def test_burst_of_one_team_that_begins_during_a_leader_change():
    async def scenario():
        site = await start_site(admission=True)
        site.teams[CALM_TEAM] = TeamLimits(CALM_TEAM, 2.0, Resources())
        site.teams["north"] = TeamLimits("north", 4.0, Resources())
        await submit(site, find_leader(site), SPEC)
        await kill_node(site, find_leader(site))
        overload = Overload(site)
        await asyncio.sleep(12)
        assert overload.count_rejected(0) > 0
        await overload.stop()
        assert not any(is_rejected(item) for _, item in overload.calm_outcomes)
        return site

    judge(run_scenario(scenario))


def count_waiting_records(leader):
    entries = leader.commit.entries.values()
    return sum(isinstance(entry.item, KeyedRecord) for entry in entries)


def test_leader_whose_log_is_slow_or_silent_under_load_publishes_no_pile_of_reports():
    """Reports that waited for the log would be old when they are read."""

    async def scenario():
        site, overload = await start_overload()
        leader = site.nodes[find_leader(site)].leader
        site.faults_by_node[find_leader(site)].silent = True
        await asyncio.sleep(0.5)
        count = count_waiting_records(leader)
        await asyncio.sleep(3)
        assert count_waiting_records(leader) <= count + 1
        for faults in site.faults_by_node.values():
            faults.silent = False
        await overload.stop()
        return site

    judge(run_scenario(scenario))


def test_change_of_weights_under_load_counts_with_the_next_reports():
    async def scenario():
        site, overload = await start_overload()
        leader = site.nodes[find_leader(site)]
        assert "north" in leader.load_control.report.teams_over_share
        site.teams["north"] = TeamLimits("north", 1000.0, Resources())
        site.config.append([KeyedRecord("config", b"2")], None)
        await asyncio.sleep(3)
        assert "north" not in leader.load_control.report.teams_over_share
        await overload.stop()
        return site

    judge(run_scenario(scenario))
