"""Decodes the entries with which VMs register themselves in the platform's log store."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import ListedVm

TOPIC = "keyed.servers"
STATES = frozenset({"available", "draining"})


def decode_vm(name: str, value: bytes) -> ListedVm:
    """Decodes the entry of the VM ``name``.

    Raises ``ValueError`` for an entry that does not describe a usable VM; other writers may put
    such entries into the topic.
    """
    try:
        return _decode(name, orjson.loads(value))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed entry: {type(error).__name__}: {error}") from None


def _decode(name: str, raw: dict) -> ListedVm:
    state, service, address = raw["state"], raw["service"], raw["address"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    if not isinstance(service, str) or not isinstance(address, str) or ":" not in address:
        raise ValueError("service must be a string and address must be host:port")
    raw_capacity = raw["capacity"]
    capacity = Resources(
        int(raw_capacity["cpu"]), int(raw_capacity["memMb"]), int(raw_capacity.get("gpu", 0))
    )
    labels = tuple(str(label) for label in raw.get("labels", ()))
    return ListedVm(
        name=name,
        incarnation=int(raw.get("born", 0)),
        service=service,
        address=address,
        zone=str(raw["zone"]),
        # By convention of the platform, the last label is the name of the rack.
        rack=labels[-1] if labels else "",
        labels=labels,
        capacity=capacity,
        draining=state == "draining",
        cold_remaining_ms=_decode_cold_ms(raw.get("coldRemainingMs", 0)),
    )


def _decode_cold_ms(value: object) -> int:
    """Returns how long a VM is still slow; a malformed value counts as 0."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return max(0, int(value)) if is_number else 0
