"""Searches mixed faults for violations, by seed: ``python -m caroblead.bench.faults --seeds 20``.

Each seed draws two to four faults, some of them at the same time and some of them twice, and
injects them while requests and jobs of every kind run; then the history is checked. The table
counts the outcomes. The exit code is 1 when any history violates a promise or an accepted job
was lost.
"""

import asyncio
import random
import sys
import time

import cyclopts
import eliot
from rich.console import Console
from rich.table import Table

from ..tools.localsite import LocalSite
from ..tools.scenario import (
    KEYS,
    FaultAction,
    ScenarioReport,
    hash_key,
    list_lost_jobs,
    make_site_settings,
    plan_mixed_jobs,
    plan_mixed_requests,
    run_scenario,
)

REQUESTS = 300
TRAFFIC_S = 20.0
JOBS = 16
SETTLE_S = 60.0
FAULT_COUNTS = (2, 3, 4)
LONGEST_FAULT_S = 15.0


def find_owner_node(site: LocalSite, shard: str) -> str | None:
    """Returns the name of the node that currently owns a shard, or None."""
    owner = site.find_owner(shard)
    return owner.settings.node if owner is not None else None


def set_platform_faults(**faults) -> FaultAction:
    """Returns a fault that sets fault switches of the platform stand-in."""

    def apply(site: LocalSite):
        site.platform.apply_faults(faults)

    return apply


def kill_owner(shard: str) -> FaultAction:
    """Returns a fault that kills the placer that owns a shard.

    Its node is recorded, so that :func:`restart_killed_placers` starts a new placer there later.
    """

    async def apply(site: LocalSite):
        node = find_owner_node(site, shard)
        if node is None:
            return
        await site.kill_placer(node)
        site.nodes_to_restart.append(node)

    return apply


async def restart_killed_placers(site: LocalSite):
    """Starts a new placer on every node whose placer was killed."""
    while site.nodes_to_restart:
        await site.start_placer(site.find_node(site.nodes_to_restart.pop()), len(site.timelines))


def freeze_owner(shard: str) -> FaultAction:
    """Returns a fault that freezes the placer that owns a shard."""

    def apply(site: LocalSite):
        node = find_owner_node(site, shard)
        if node is not None:
            site.freeze(f"{node}/placer")

    return apply


def thaw_all(site: LocalSite):
    """Resumes every frozen program."""
    for program in list(site.injected_faults.frozen):
        site.thaw(program)


def partition_zone(zone: str, platform: bool) -> FaultAction:
    """Returns a fault that partitions a zone from the others.

    With ``platform``, the zone is cut off from the platform as well.
    """

    def apply(site: LocalSite):
        inside = {node.node for node in site.site.nodes if node.zone == zone}
        outside = {node.node for node in site.site.nodes} - inside
        site.cut(inside, outside, platform)

    return apply


def heal(site: LocalSite):
    """Heals every network partition."""
    site.heal()


def drain_owner(shard: str) -> FaultAction:
    """Returns a fault that drains the node that owns a shard and starts a new placer on it.

    It does nothing while fewer than three gates run.
    """

    async def apply(site: LocalSite):
        node = find_owner_node(site, shard)
        if node is None or len(site.gates) < 3:
            return
        settings = site.find_node(node)
        await site.drain_node(node)
        await site.start_placer(settings, len(site.timelines))

    return apply


def change_team_limit(limit: int) -> FaultAction:
    """Returns a fault that publishes a ticket with a new ``max_running`` for team ``north``."""

    async def apply(site: LocalSite):
        state = next(iter(site.gates.values())).follower.state
        ticket = {
            "ticket": state.number + 1,
            "teams": [{"name": "north", "share": 2, "max_running": limit}],
        }
        await site.publish(ticket)

    return apply


def withdraw_key(team: str) -> FaultAction:
    """Returns a fault that publishes a ticket which removes the key of a team."""

    async def apply(site: LocalSite):
        state = next(iter(site.gates.values())).follower.state
        part = {"digest": hash_key(KEYS[team]), "removed": True}
        await site.publish({"ticket": state.number + 1, "keys": [part]})

    return apply


def race_tickets(site: LocalSite):
    """Has two operators publish different tickets with the same number at the same time."""
    gates = list(site.gates)
    number = site.gates[gates[0]].follower.state.number + 1
    tickets = [
        {"ticket": number, "teams": [{"name": "south", "share": share, "max_running": 50}]}
        for share in (1, 3)
    ]
    return asyncio.gather(site.publish(tickets[0], gates[0]), site.publish(tickets[1], gates[-1]))


def freeze_gate(site: LocalSite):
    """Freezes the first gate."""
    site.freeze(f"{next(iter(site.gates))}/gate")


def draw_faults(generator: random.Random) -> list[tuple[float, FaultAction, str]]:
    """Draws faults with the actions that end them.

    Only two start times are drawn, so several faults may start at once, and a kind of fault may be
    drawn twice.
    """
    drawn = []
    moments = [generator.uniform(1, TRAFFIC_S) for _ in range(2)]
    for _ in range(generator.choice(FAULT_COUNTS)):
        at_s = generator.choice(moments)
        end_s = at_s + generator.uniform(1, LONGEST_FAULT_S)
        zone = generator.choice(("z1", "z2"))
        vm = f"{zone}-v{generator.randrange(3)}"
        shard = f"{zone}.0"
        choices = {
            "kill": [(at_s, kill_owner(shard)), (end_s, restart_killed_placers)],
            "freeze": [(at_s, freeze_owner(shard)), (end_s, thaw_all)],
            "cut": [(at_s, partition_zone(zone, False)), (end_s, heal)],
            "cut_all": [(at_s, partition_zone(zone, True)), (end_s, heal)],
            "log_down": [
                (at_s, set_platform_faults(log="down")),
                (end_s, set_platform_faults(log="up")),
            ],
            "log_slow": [
                (at_s, set_platform_faults(log="slow")),
                (end_s, set_platform_faults(log="up")),
            ],
            "lost_answers": [
                (at_s, set_platform_faults(log="lose_answers")),
                (end_s, set_platform_faults(log="up")),
            ],
            "list_down": [
                (at_s, set_platform_faults(list="down")),
                (end_s, set_platform_faults(list="up")),
            ],
            "vm_killed": [
                (at_s, set_platform_faults(kill=[vm])),
                (end_s, set_platform_faults(remove=[vm])),
            ],
            "vm_silent": [
                (at_s, set_platform_faults(silence=[vm])),
                (end_s, set_platform_faults(revive=[vm])),
            ],
            "vm_leaves": [(at_s, set_platform_faults(leave=[vm]))],
            "vm_breaks": [
                (at_s, set_platform_faults(**{"break": [vm]})),
                (end_s, set_platform_faults(mend=[vm])),
            ],
            "mute": [(at_s, set_platform_faults(mute=True))],
            "drain": [(at_s, drain_owner(shard))],
            "withdraw": [(at_s, withdraw_key("south"))],
            "race": [(at_s, race_tickets)],
            "freeze_gate": [(at_s, freeze_gate), (end_s, thaw_all)],
            "limit": [(at_s, change_team_limit(generator.choice((4, 20, 90))))],
        }
        name = generator.choice(sorted(choices))
        drawn += [(when, fault, name) for when, fault in choices[name]]
    return drawn


def run_seed(seed: int) -> tuple[ScenarioReport, list[str]]:
    """Runs the scenario of a seed and returns its report and the names of its faults."""
    generator = random.Random(seed)
    drawn = draw_faults(generator)
    plans = plan_mixed_requests(REQUESTS, TRAFFIC_S, seed) + plan_mixed_jobs(JOBS, TRAFFIC_S)
    faults = [(at_s, fault) for at_s, fault, _ in drawn]
    faults += [
        (TRAFFIC_S + LONGEST_FAULT_S, end) for end in (heal, thaw_all, restart_killed_placers)
    ]
    report = run_scenario(make_site_settings(), plans, faults, SETTLE_S, seed)
    return report, sorted({name for _, _, name in drawn})


def search(seeds: int = 20, first: int = 1) -> int:
    """Run the search and print a table with one row per seed.

    Parameters
    ----------
    seeds: how many seeds to run
    first: the first seed
    """
    eliot.to_file(open("/dev/null", "w"))
    columns = "seed faults answered not_run unknown jobs lost violations seconds".split()
    table = Table(title="mixed faults")
    for column in columns:
        table.add_column(column)
    failures = 0
    for seed in range(first, first + seeds):
        start_s = time.monotonic()
        report, names = run_seed(seed)
        lost = list_lost_jobs(report)
        failures += len(report.violations) + len(lost)
        outcomes = report.result.outcomes
        row = [seed, " ".join(names), outcomes["answered"], outcomes["not_run"]]
        row += [outcomes["unknown"], len(report.result.jobs), len(lost)]
        row += [len(report.violations), f"{time.monotonic() - start_s:.1f}"]
        table.add_row(*map(str, row))
        for violation in report.violations[:3]:
            print(f"seed {seed}: {violation.promise}: {violation.detail}")
    Console(width=140).print(table)
    print(f"{seeds} seeds, {failures} violations or lost jobs")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(cyclopts.App(default_command=search)())
