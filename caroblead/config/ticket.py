"""Reading and checking of numbered change tickets.

A ticket is JSON. It carries the whole new state of every object that it touches, and a number that
is higher than that of every ticket accepted before::

    {"ticket": 7,
     "teams": [{"name": "clinic", "share": 2, "max_running": 40}],
     "keys": [{"digest": "9f86...", "team": "clinic"}],
     "queues": [{"name": "fixation", "kind": "urgent", "teams": ["clinic"]}],
     "zones": [{"name": "a1", "region": "anatolia", "shards": 1}]}

An object that is to go away is named with ``"removed": true``. A ticket is taken or refused as a
whole, and a refusal lists every error.
"""

import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.outcome import Checked, Fault, Reason, Step

MAX_TICKET_BYTES = 256 * 1024
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class TicketPart(BaseModel):
    """What all parts of a ticket have in common: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TeamPart(TicketPart):
    """The whole state of a team; ``max_running`` counts tasks and requests at a time."""

    name: Name
    share: float = Field(default=1.0, gt=0, le=1000)
    max_running: int = Field(default=100, ge=0, le=1_000_000)
    removed: bool = False


class KeyPart(TicketPart):
    """A key, by the SHA-256 digest of its text in hexadecimal digits."""

    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    team: Name = "none"
    removed: bool = False

    @property
    def name(self) -> str:
        """The digest, since a key has no other name."""
        return self.digest


class QueuePart(TicketPart):
    """The whole state of a queue; ``open_team`` makes it open and names who pays."""

    name: Name
    kind: Literal["urgent", "waitable", "batch", "gang", "service"] = "batch"
    teams: list[Name] = []
    open_team: str = ""
    region: str = ""
    max_waiting: int = Field(default=200, ge=1, le=100_000)
    deadline_s: float = Field(default=30.0, gt=0, le=604_800)
    repeatable: bool = True
    removed: bool = False


class ZonePart(TicketPart):
    """An availability zone and the number of shards into which its VMs are parted."""

    name: Name
    region: Name = "region"
    shards: int = Field(default=1, ge=1, le=16)
    removed: bool = False


class Ticket(TicketPart):
    """A change ticket as a whole."""

    ticket: int = Field(ge=1, le=2**53)
    teams: list[TeamPart] = []
    keys: list[KeyPart] = []
    queues: list[QueuePart] = []
    zones: list[ZonePart] = []


def _make_fault(field: str, detail: str) -> Fault:
    return Fault(Reason.BAD_INPUT, Step.CHECK_TICKET, "ticket", detail, field)


def parse_ticket(text: str | bytes) -> Checked:
    """Reads a ticket from JSON and returns it with every error of form.

    For example ``parse_ticket('{"ticket": 0}')`` has no value and one fault that names the field
    ``ticket``.
    """
    if len(text) > MAX_TICKET_BYTES:
        return Checked(None, [_make_fault("", f"larger than {MAX_TICKET_BYTES} bytes")])
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Checked(None, [_make_fault("", f"not JSON: {error}")])
    return read_ticket(raw)


def read_ticket(raw: object) -> Checked:
    """Reads a ticket from decoded JSON."""
    try:
        ticket = Ticket.model_validate(raw)
    except ValidationError as error:
        return Checked(None, list_faults(error, "ticket", Step.CHECK_TICKET))
    return Checked(ticket, _find_doubles(ticket))


def list_faults(error: ValidationError, peer: str, step: Step) -> list[Fault]:
    """Turns the errors of a checked document into faults that name each field."""
    faults = []
    for item in error.errors(include_url=False, include_input=False):
        where = ".".join(str(part) for part in item["loc"])
        faults.append(Fault(Reason.BAD_INPUT, step, peer, item["msg"], where))
    return faults


def _find_doubles(ticket: Ticket) -> list[Fault]:
    faults = []
    for section in ("teams", "keys", "queues", "zones"):
        seen = set()
        for index, part in enumerate(getattr(ticket, section)):
            if part.name in seen:
                faults.append(_make_fault(f"{section}.{index}", "named twice in this ticket"))
            seen.add(part.name)
    return faults
