"""Decodes the entries with which VMs register themselves in the platform's log store."""

import re

import orjson

from ..core.resource import Resources
from ..dispatch.interface import ListedVm
from .fields import (
    check_number,
    check_object,
    check_text,
    read_list,
    read_number,
    read_object,
    read_text,
    read_whole,
)

TOPIC = "keyed.servers"
STATES = frozenset({"available", "draining"})
# The bounds of what is taken for the description of a VM; a larger one is a mistake.
MAX_MILLICORES = 10_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 100_000
MAX_LABELS = 64
MAX_BORN_MS = 10**14
MAX_COLD_MS = 3_600_000
MAX_PORT = 65_535
# The name of a VM is sent to it in a header.
NAME = re.compile(r"[!-~]{1,255}")
ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,253}:([0-9]{1,5})")


def decode_vm(name: str, value: bytes) -> ListedVm:
    """Decodes the entry of the VM ``name``.

    Raises ``ValueError`` for an entry that does not describe a usable VM; other writers may put
    such entries into the topic.
    """
    if not NAME.fullmatch(name):
        raise ValueError("the name of a VM must consist of printable ASCII characters")
    raw = check_object(orjson.loads(value), "entry")
    state = read_text(raw, "state")
    if state not in STATES:
        raise ValueError("state: is unknown")
    labels = _decode_labels(read_list(raw, "labels", []))
    return ListedVm(
        name=name,
        incarnation=read_whole(raw, "born", 0, high=MAX_BORN_MS),
        service=read_text(raw, "service"),
        address=_decode_address(read_text(raw, "address")),
        zone=read_text(raw, "zone"),
        # By convention of the platform, the last label is the name of the rack.
        rack=labels[-1] if labels else "",
        labels=labels,
        capacity=_decode_capacity(read_object(raw, "capacity")),
        draining=state == "draining",
        cold_remaining_ms=_decode_cold_ms(raw.get("coldRemainingMs")),
    )


def _decode_address(address: str) -> str:
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[1]) <= MAX_PORT:
        raise ValueError("address: must be a host and a port")
    return address


def _decode_labels(labels: list) -> tuple[str, ...]:
    if len(labels) > MAX_LABELS:
        raise ValueError(f"labels: there must be at most {MAX_LABELS}")
    return tuple(check_text(label, "labels") for label in labels)


def _decode_capacity(raw: dict) -> Resources:
    return Resources(
        int(read_number(raw, "cpu", high=MAX_MILLICORES)),
        int(read_number(raw, "memMb", high=MAX_MEMORY_MB)),
        int(read_number(raw, "gpu", 0, high=MAX_ACCELERATORS)),
    )


def _decode_cold_ms(value: object) -> int:
    """Returns how long a VM is still slow; a malformed value counts as 0."""
    try:
        return int(check_number(value, "coldRemainingMs", high=MAX_COLD_MS))
    except ValueError:
        return 0
