"""Load balancing: the choice of an endpoint for a request, and simple baselines to compare with.

The owner of a shard knows how many slots of each endpoint are in use, so it needs no estimate. Of
the endpoints with a free slot it takes the one with the least expected wait. The wait grows with
the part of the slots in use and with the latency observed there.
"""

import random
from collections.abc import Callable

from ..core.data import Vm, VmState

# Weight of the newest observation in the moving average of an endpoint's latency.
LATENCY_WEIGHT = 0.2
# The latency assumed for an endpoint that has not answered a request yet.
FIRST_LATENCY_S = 0.02


def observe_latency(vm: Vm, latency_s: float):
    """Adds the latency of an answered request to the endpoint's moving average."""
    if vm.latency_s == 0.0:
        vm.latency_s = latency_s
    else:
        vm.latency_s += LATENCY_WEIGHT * (latency_s - vm.latency_s)


def list_available(endpoints: dict[str, Vm]) -> list[Vm]:
    """Returns the live endpoints that have a free slot."""
    return [vm for vm in endpoints.values() if vm.state is VmState.LIVE and vm.free.slots > 0]


def choose_shortest_wait(endpoints: dict[str, Vm]) -> Vm | None:
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
    return max(list_available(endpoints), key=lambda vm: vm.free.slots, default=None)


def make_random_choice(seed: int) -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a function that picks a random available endpoint."""
    generator = random.Random(seed)

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        found = list_available(endpoints)
        return generator.choice(found) if found else None

    return choose


def make_two_choice(seed: int) -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a function that picks the one with more free slots of two random endpoints."""
    generator = random.Random(seed)

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        found = list_available(endpoints)
        if not found:
            return None
        pair = (generator.choice(found), generator.choice(found))
        return max(pair, key=lambda vm: vm.free.slots)

    return choose


def make_round_robin() -> Callable[[dict[str, Vm]], Vm | None]:
    """Returns a function that picks the available endpoints in turn."""
    turn = 0

    def choose(endpoints: dict[str, Vm]) -> Vm | None:
        nonlocal turn
        found = list_available(endpoints)
        if not found:
            return None
        turn += 1
        return found[turn % len(found)]

    return choose
