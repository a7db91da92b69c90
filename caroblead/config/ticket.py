"""Parsing and validation of numbered change tickets.

A ticket is a JSON document. It has the complete new state of every object that it changes, and a
number that is higher than that of every ticket accepted before::

    {"ticket": 7,
     "teams": [{"name": "clinic", "share": 2, "max_running": 40}],
     "keys": [{"digest": "9f86...", "team": "clinic"}],
     "queues": [{"name": "fixation", "kind": "urgent", "teams": ["clinic"]}],
     "zones": [{"name": "a1", "region": "anatolia", "shards": 1}]}

An object is deleted by listing it with ``"removed": true``. A ticket is accepted or rejected as a
whole, and a rejection lists every error.
"""

import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.outcome import Checked, Fault, Reason, Step

MAX_TICKET_BYTES = 256 * 1024
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class StrictModel(BaseModel):
    """Base of the models of a ticket; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TeamSpec(StrictModel):
    """The complete state of a team.

    ``share`` is its weight when capacity is short; ``max_running`` limits the tasks and requests
    that it runs at the same time in the whole fleet.
    """

    name: Name
    share: float = Field(default=1.0, gt=0, le=1000)
    max_running: int = Field(default=100, ge=0, le=1_000_000)
    removed: bool = False


class KeySpec(StrictModel):
    """An API key of a team, identified by the SHA-256 digest of its text in hexadecimal digits."""

    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    team: Name = "none"
    removed: bool = False

    @property
    def name(self) -> str:
        """The digest, which serves as the name because a key has no other."""
        return self.digest


class QueueSpec(StrictModel):
    """The complete state of a queue.

    ``open_team`` opens the queue to callers without a key, or with the key of a team that is not in
    ``teams``, and names the team to which their work is charged. An empty ``region`` means any
    region.
    """

    name: Name
    kind: Literal["urgent", "waitable", "batch", "gang", "service"] = "batch"
    teams: list[Name] = []
    open_team: str = ""
    region: str = ""
    max_waiting: int = Field(default=200, ge=1, le=100_000)
    deadline_s: float = Field(default=30.0, gt=0, le=604_800)
    repeatable: bool = True
    removed: bool = False


class ZoneSpec(StrictModel):
    """An availability zone and the number of shards into which its VMs are partitioned."""

    name: Name
    region: Name = "region"
    shards: int = Field(default=1, ge=1, le=16)
    removed: bool = False


class Ticket(StrictModel):
    """A complete change ticket."""

    ticket: int = Field(ge=1, le=2**53)
    teams: list[TeamSpec] = []
    keys: list[KeySpec] = []
    queues: list[QueueSpec] = []
    zones: list[ZoneSpec] = []


def _make_fault(field: str, detail: str) -> Fault:
    return Fault(Reason.BAD_INPUT, Step.CHECK_TICKET, "ticket", detail, field)


def parse_ticket(text: str | bytes) -> Checked:
    """Parses a ticket from JSON and returns it with every validation error.

    For example, the result of ``parse_ticket('{"ticket": 0}')`` has no value and one fault, which
    names the field ``ticket``.
    """
    if len(text) > MAX_TICKET_BYTES:
        return Checked(None, [_make_fault("", f"larger than {MAX_TICKET_BYTES} bytes")])
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Checked(None, [_make_fault("", f"not JSON: {error}")])
    return read_ticket(raw)


def read_ticket(raw: object) -> Checked:
    """Validates a ticket that has been decoded from JSON."""
    try:
        ticket = Ticket.model_validate(raw)
    except ValidationError as error:
        return Checked(None, list_faults(error, "ticket", Step.CHECK_TICKET))
    return Checked(ticket, _find_duplicates(ticket))


def list_faults(error: ValidationError, peer: str, step: Step) -> list[Fault]:
    """Converts the errors of a pydantic validation to faults, each with the path of its field."""
    faults = []
    for item in error.errors(include_url=False, include_input=False):
        field_path = ".".join(str(element) for element in item["loc"])
        faults.append(Fault(Reason.BAD_INPUT, step, peer, item["msg"], field_path))
    return faults


def _find_duplicates(ticket: Ticket) -> list[Fault]:
    faults = []
    for section in ("teams", "keys", "queues", "zones"):
        seen = set()
        for index, spec in enumerate(getattr(ticket, section)):
            if spec.name in seen:
                faults.append(
                    _make_fault(f"{section}.{index}", "listed more than once in this ticket")
                )
            seen.add(spec.name)
    return faults
