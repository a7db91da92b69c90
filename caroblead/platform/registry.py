"""Decodes the entries by which VMs register themselves."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import ListedVm

TOPIC = "keyed.servers"
STATES = frozenset({"available", "draining"})


def decode_vm(name: str, value: bytes) -> ListedVm:
    """Reads an entry; one from another writer that names no VM to use raises ``ValueError``."""
    try:
        return _decode(name, orjson.loads(value))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed entry: {type(error).__name__}: {error}") from None


def _decode(name: str, raw: dict) -> ListedVm:
    state, service, address = raw["state"], raw["service"], raw["address"]
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    if not isinstance(service, str) or not isinstance(address, str) or ":" not in address:
        raise ValueError("service or address is not a name")
    room = raw["capacity"]
    capacity = Resources(int(room["cpu"]), int(room["memMb"]), int(room.get("gpu", 0)))
    labels = tuple(str(label) for label in raw.get("labels", ()))
    return ListedVm(
        name=name,
        incarnation=int(raw.get("born", 0)),
        service=service,
        address=address,
        zone=str(raw["zone"]),
        # By the platform's convention the last label names the rack.
        rack=labels[-1] if labels else "",
        labels=labels,
        capacity=capacity,
        draining=state == "draining",
    )
