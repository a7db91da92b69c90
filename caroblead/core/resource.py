"""Amounts of resources, as a VM offers them and a task needs them.

All amounts are integers, so that sums have no rounding error: processors in thousandths of a core,
memory in mebibytes, and accelerators, slots and connections as counts.
"""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource.

    For example ``Resources(2000, 4096)`` is two cores and four gibibytes.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0


NOTHING = Resources()


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two amounts."""
    return Resources(
        left.millicores + right.millicores,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
        left.slots + right.slots,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns the difference of two amounts; a component may be negative."""
    return Resources(
        left.millicores - right.millicores,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
        left.slots - right.slots,
    )


def fits(need: Resources, free: Resources) -> bool:
    """Returns whether the need is at most the free amount in every resource."""
    return (
        need.millicores <= free.millicores
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
        and need.slots <= free.slots
    )


def compute_dominant_share(need: Resources, capacity: Resources) -> float:
    """Returns the largest fraction that the need takes of any one resource.

    A resource of which the capacity has none counts as 1.0 when it is needed, and is ignored
    otherwise. For example ``compute_dominant_share(Resources(1000), Resources(4000))`` is 0.25.
    """
    share = 0.0
    if need.millicores:
        share = need.millicores / capacity.millicores if capacity.millicores else 1.0
    if need.memory_mb:
        share = max(share, need.memory_mb / capacity.memory_mb if capacity.memory_mb else 1.0)
    if need.accelerators:
        part = need.accelerators / capacity.accelerators if capacity.accelerators else 1.0
        share = max(share, part)
    if need.slots:
        share = max(share, need.slots / capacity.slots if capacity.slots else 1.0)
    return share
