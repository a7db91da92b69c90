"""Choice of an endpoint for a request, with the naive ways it is measured against.

The owner of a shard knows how many slots of each endpoint it has filled, so it need not guess. Of
the endpoints with a free slot it takes the one with the least expected wait: the requests on it,
with this one, times the latency seen there.
"""

import random
from collections.abc import Callable

from ..core.data import Vm, VmState

LATENCY_WEIGHT = 0.2
FIRST_LATENCY_S = 0.02


def observe_latency(vm: Vm, latency_s: float):
    """Takes in the latency of a request that an endpoint answered."""
    if vm.latency_s == 0.0:
        vm.latency_s = latency_s
    else:
        vm.latency_s += LATENCY_WEIGHT * (latency_s - vm.latency_s)


def list_open(endpoints: dict[str, Vm]) -> list[Vm]:
    """Returns the endpoints that may get a request and have a free slot."""
    return [vm for vm in endpoints.values() if vm.state is VmState.LIVE and vm.free.slots > 0]


def choose_expected(endpoints: dict[str, Vm]) -> Vm | None:
    """Returns the endpoint with the least expected wait."""
    best, best_cost = None, float("inf")
    for vm in endpoints.values():
        if vm.state is VmState.LIVE and vm.free.slots > 0:
            busy = vm.capacity.slots - vm.free.slots
            cost = (1 + busy / vm.capacity.slots) * (vm.latency_s or FIRST_LATENCY_S)
            if cost < best_cost:
                best, best_cost = vm, cost
    return best


def choose_least_loaded(endpoints: dict[str, Vm]) -> Vm | None:
    """Returns the endpoint with the most free slots."""
    return max(list_open(endpoints), key=lambda vm: vm.free.slots, default=None)


def make_random_choice(seed: int) -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a chooser that picks any open endpoint."""
    generator = random.Random(seed)

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        found = list_open(endpoints)
        return generator.choice(found) if found else None

    return choose


def make_two_choice(seed: int) -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a chooser that picks the better of two random open endpoints."""
    generator = random.Random(seed)

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        found = list_open(endpoints)
        if not found:
            return None
        pair = (generator.choice(found), generator.choice(found))
        return max(pair, key=lambda vm: vm.free.slots)

    return choose


def make_round_robin() -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a chooser that goes round the open endpoints."""
    turn = 0

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        nonlocal turn
        found = list_open(endpoints)
        if not found:
            return None
        turn += 1
        return found[turn % len(found)]

    return choose
