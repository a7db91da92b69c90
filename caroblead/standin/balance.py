"""Checks that a leader's figures of VMs and teams are the sums of their runs."""

from ..core.resource import NOTHING, Resources, add, subtract
from ..dispatch.fleet import Fleet


def list_unbalanced(fleet: Fleet) -> list[str]:
    """Returns the VMs and teams of a fleet whose figures differ from what their runs add up to.

    Room or quota that isn't given back with a run would keep other work waiting for good.
    """
    problems = []
    used: dict[str, Resources] = {}
    for row in fleet.rows.values():
        free = row.listed.capacity
        for run in row.runs.values():
            free = subtract(free, run.need)
            used[run.team] = add(used.get(run.team, NOTHING), run.get_charge())
        if free != row.free:
            problems.append(f"{row.name} has {row.free} free, by its runs {free}")
    for team in fleet.used.keys() | used.keys():
        counted, summed = fleet.used.get(team, NOTHING), used.get(team, NOTHING)
        if counted != summed:
            problems.append(f"{team} uses {counted}, by its runs {summed}")
    return problems
