"""The configuration that the accepted tickets add up to.

Each object is kept with the number of the ticket that set it, and a change is taken only when its
number is higher. Joining two states is therefore idempotent and independent of order, and what has
been applied can never go back, whatever is read late, twice or from a peer.
"""

import json
from dataclasses import dataclass, field

import xxhash

from ..core.data import KINDS, Key, Queue, Team
from ..core.outcome import Fault, Reason, Step
from .ticket import KeyPart, QueuePart, TeamPart, Ticket, ZonePart

SECTIONS = ("teams", "keys", "queues", "zones")
PARTS = {"teams": TeamPart, "keys": KeyPart, "queues": QueuePart, "zones": ZonePart}


@dataclass(slots=True, frozen=True)
class Entry:
    """One object of the configuration and the number of the ticket that set it.

    ``first`` is the number of the ticket that made the object.
    """

    section: str
    number: int
    part: TeamPart | KeyPart | QueuePart | ZonePart
    first: int = 0


@dataclass(slots=True)
class ConfigState:
    """The configuration in force: the highest ticket number and every object."""

    number: int = 0
    entries: dict[tuple[str, str], Entry] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    zones: dict[str, ZonePart] = field(default_factory=dict)


def _put(state: ConfigState, entry: Entry):
    place = (entry.section, entry.part.name)
    known = state.entries.get(place)
    if known is not None and known.number >= entry.number:
        return
    if not entry.first:
        first = known.first if known is not None else entry.number
        entry = Entry(entry.section, entry.number, entry.part, first)
    state.entries[place] = entry
    part = entry.part
    table = getattr(state, entry.section)
    if part.removed:
        table.pop(part.name, None)
    elif entry.section == "teams":
        table[part.name] = Team(part.name, part.share, part.max_running)
    elif entry.section == "keys":
        table[part.name] = Key(part.digest, part.team)
    elif entry.section == "queues":
        table[part.name] = _make_queue(part)
    else:
        table[part.name] = part


def _make_queue(part: QueuePart) -> Queue:
    return Queue(
        name=part.name,
        kind=KINDS[part.kind],
        teams=frozenset(part.teams),
        open_team=part.open_team,
        region=part.region,
        max_waiting=part.max_waiting,
        deadline_s=part.deadline_s,
        repeatable=part.repeatable,
    )


def check_ticket(state: ConfigState, ticket: Ticket) -> list[Fault]:
    """Returns every reason why a ticket can't be accepted on top of a state."""
    faults = []
    if ticket.ticket <= state.number:
        detail = f"ticket {state.number} is in force; a new ticket needs a higher number"
        faults.append(Fault(Reason.CONFLICT, Step.CHECK_TICKET, "config", detail, "ticket"))
    teams = set(state.teams)
    for part in ticket.teams:
        (teams.discard if part.removed else teams.add)(part.name)
    for index, part in enumerate(ticket.keys):
        if not part.removed and part.team not in teams:
            faults.append(_unknown_team(f"keys.{index}.team", part.team))
    for index, part in enumerate(ticket.queues):
        if part.removed:
            continue
        named = list(part.teams) + ([part.open_team] if part.open_team else [])
        faults.extend(
            _unknown_team(f"queues.{index}.teams", name) for name in named if name not in teams
        )
    return faults


def _unknown_team(field_name: str, team: str) -> Fault:
    detail = f"there is no team {team!r}"
    return Fault(Reason.BAD_INPUT, Step.CHECK_TICKET, "config", detail, field_name)


def apply_ticket(state: ConfigState, ticket: Ticket) -> list[Fault]:
    """Applies a ticket whole, or leaves the state as it is and returns the errors."""
    faults = check_ticket(state, ticket)
    if faults:
        return faults
    for section in SECTIONS:
        for part in getattr(ticket, section):
            _put(state, Entry(section, ticket.ticket, part))
    state.number = ticket.ticket
    return []


def join_states(state: ConfigState, other: ConfigState) -> bool:
    """Takes over every object that is newer in the other state; returns whether any was."""
    before = len(state.entries), state.number
    changed = False
    for place, entry in other.entries.items():
        known = state.entries.get(place)
        if known is None or known.number < entry.number:
            _put(state, entry)
            changed = True
    state.number = max(state.number, other.number)
    return changed or before != (len(state.entries), state.number)


def compute_digest(state: ConfigState) -> int:
    """Returns a number of 63 bits that is equal on nodes with the same configuration."""
    text = [f"{state.number}"]
    text += sorted(
        f"{place[0]}/{place[1]}@{entry.number}" for place, entry in state.entries.items()
    )
    return xxhash.xxh3_64_intdigest("\n".join(text).encode()) >> 1


def encode_state(state: ConfigState, since: int = 0) -> str:
    """Writes the objects newer than a ticket number as JSON, for a record or a peer."""
    entries = [
        {
            "section": entry.section,
            "number": entry.number,
            "first": entry.first,
            "part": entry.part.model_dump(),
        }
        for entry in state.entries.values()
        if entry.number > since
    ]
    return json.dumps({"number": state.number, "entries": entries}, separators=(",", ":"))


def decode_state(text: str | bytes) -> ConfigState:
    """Reads a state, or a part of one, that :func:`encode_state` wrote."""
    raw = json.loads(text)
    state = ConfigState(number=raw["number"])
    for item in raw["entries"]:
        part = PARTS[item["section"]].model_validate(item["part"])
        _put(state, Entry(item["section"], item["number"], part, item["first"]))
    return state


def list_shards(state: ConfigState) -> list[str]:
    """Returns the names of all shards of the fleet, such as ``a1.0``."""
    return [
        f"{zone.name}.{index}"
        for zone in sorted(state.zones.values(), key=lambda zone: zone.name)
        for index in range(zone.shards)
    ]


def find_key_team(state: ConfigState, digest: str) -> str | None:
    """Returns the team that a key's digest stands for, or nothing once it is withdrawn."""
    key = state.keys.get(digest)
    return key.team if key is not None and key.team in state.teams else None


def find_limit_version(state: ConfigState, team: str) -> int:
    """Returns the number of the last ticket that changed how a team's limit is split."""
    entry = state.entries.get(("teams", team))
    numbers = [item.number for place, item in state.entries.items() if place[0] == "zones"]
    return max([entry.number if entry else 0, *numbers])


def find_first_version(state: ConfigState, team: str) -> int:
    """Returns the number of the ticket that made a team."""
    entry = state.entries.get(("teams", team))
    return entry.first if entry else 0
