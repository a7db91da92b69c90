"""The configuration that results from the accepted tickets.

Each object is stored with the number of the ticket that set it, and a change is applied only if its
number is higher. Merging two states is therefore idempotent and independent of order, and a change
that was applied is never reverted, even by data that is read late, twice or from a peer.
"""

import json
from dataclasses import dataclass, field

import xxhash

from ..core.data import KINDS, Key, Queue, Team
from ..core.outcome import Fault, Reason, Step
from .ticket import KeySpec, QueueSpec, TeamSpec, Ticket, ZoneSpec

SECTIONS = ("teams", "keys", "queues", "zones")
SPEC_CLASSES = {"teams": TeamSpec, "keys": KeySpec, "queues": QueueSpec, "zones": ZoneSpec}


@dataclass(slots=True, frozen=True)
class Entry:
    """One object of the configuration and the number of the ticket that set it last.

    ``first_number`` is the number of the ticket that created the object, 0 if it is not known yet.
    """

    section: str
    number: int
    spec: TeamSpec | KeySpec | QueueSpec | ZoneSpec
    first_number: int = 0


@dataclass(slots=True)
class ConfigState:
    """The configuration in force: the highest ticket number and every object.

    ``entries`` also keeps removed objects, by section and name, so that an older ticket can't bring
    them back. The other tables have only the objects that exist.
    """

    number: int = 0
    entries: dict[tuple[str, str], Entry] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    zones: dict[str, ZoneSpec] = field(default_factory=dict)


def _put(state: ConfigState, entry: Entry):
    entry_key = (entry.section, entry.spec.name)
    current = state.entries.get(entry_key)
    if current is not None and current.number >= entry.number:
        return
    if not entry.first_number:
        first_number = current.first_number if current is not None else entry.number
        entry = Entry(entry.section, entry.number, entry.spec, first_number)
    state.entries[entry_key] = entry
    spec = entry.spec
    table = getattr(state, entry.section)
    if spec.removed:
        table.pop(spec.name, None)
    elif entry.section == "teams":
        table[spec.name] = Team(spec.name, spec.share, spec.max_running)
    elif entry.section == "keys":
        table[spec.name] = Key(spec.digest, spec.team)
    elif entry.section == "queues":
        table[spec.name] = _make_queue(spec)
    else:
        table[spec.name] = spec


def _make_queue(spec: QueueSpec) -> Queue:
    return Queue(
        name=spec.name,
        kind=KINDS[spec.kind],
        teams=frozenset(spec.teams),
        open_team=spec.open_team,
        region=spec.region,
        max_waiting=spec.max_waiting,
        deadline_s=spec.deadline_s,
        repeatable=spec.repeatable,
    )


def check_ticket(state: ConfigState, ticket: Ticket) -> list[Fault]:
    """Returns a fault for each reason why a ticket can't be applied to a state."""
    faults = []
    if ticket.ticket <= state.number:
        detail = f"ticket {state.number} is in force; a new ticket needs a higher number"
        faults.append(Fault(Reason.CONFLICT, Step.CHECK_TICKET, "config", detail, "ticket"))
    teams = set(state.teams)
    for spec in ticket.teams:
        (teams.discard if spec.removed else teams.add)(spec.name)
    for index, spec in enumerate(ticket.keys):
        if not spec.removed and spec.team not in teams:
            faults.append(_make_unknown_team_fault(f"keys.{index}.team", spec.team))
    for index, spec in enumerate(ticket.queues):
        if spec.removed:
            continue
        team_names = list(spec.teams) + ([spec.open_team] if spec.open_team else [])
        faults.extend(
            _make_unknown_team_fault(f"queues.{index}.teams", name)
            for name in team_names
            if name not in teams
        )
    return faults


def _make_unknown_team_fault(field_name: str, team: str) -> Fault:
    detail = f"there is no team {team!r}"
    return Fault(Reason.BAD_INPUT, Step.CHECK_TICKET, "config", detail, field_name)


def apply_ticket(state: ConfigState, ticket: Ticket) -> list[Fault]:
    """Applies a ticket as a whole, or leaves the state unchanged and returns the faults."""
    faults = check_ticket(state, ticket)
    if faults:
        return faults
    for section in SECTIONS:
        for spec in getattr(ticket, section):
            _put(state, Entry(section, ticket.ticket, spec))
    state.number = ticket.ticket
    return []


def merge_states(state: ConfigState, other: ConfigState) -> bool:
    """Merges what is newer in another state into this one; returns whether anything was."""
    before = len(state.entries), state.number
    changed = False
    for entry_key, entry in other.entries.items():
        current = state.entries.get(entry_key)
        if current is None or current.number < entry.number:
            _put(state, entry)
            changed = True
    state.number = max(state.number, other.number)
    return changed or before != (len(state.entries), state.number)


def compute_digest(state: ConfigState) -> int:
    """Returns a 63-bit hash that is equal on nodes with the same configuration."""
    text = [f"{state.number}"]
    text += sorted(
        f"{entry_key[0]}/{entry_key[1]}@{entry.number}"
        for entry_key, entry in state.entries.items()
    )
    return xxhash.xxh3_64_intdigest("\n".join(text).encode()) >> 1


def encode_state(state: ConfigState, since: int = 0) -> str:
    """Encodes the objects newer than a ticket number as JSON, for a log record or a peer."""
    entries = [
        {
            "section": entry.section,
            "number": entry.number,
            "first": entry.first_number,
            "part": entry.spec.model_dump(),
        }
        for entry in state.entries.values()
        if entry.number > since
    ]
    return json.dumps({"number": state.number, "entries": entries}, separators=(",", ":"))


def decode_state(text: str | bytes) -> ConfigState:
    """Decodes a complete or partial state that :func:`encode_state` encoded."""
    raw = json.loads(text)
    state = ConfigState(number=raw["number"])
    for item in raw["entries"]:
        spec = SPEC_CLASSES[item["section"]].model_validate(item["part"])
        _put(state, Entry(item["section"], item["number"], spec, item["first"]))
    return state


def list_shards(state: ConfigState) -> list[str]:
    """Returns the names of all shards of the fleet: zone and index, such as ``a1.0``."""
    return [
        f"{zone.name}.{index}"
        for zone in sorted(state.zones.values(), key=lambda zone: zone.name)
        for index in range(zone.shards)
    ]


def find_key_team(state: ConfigState, digest: str) -> str | None:
    """Returns the team of a key by its digest; ``None`` if key or team is unknown or removed."""
    key = state.keys.get(digest)
    return key.team if key is not None and key.team in state.teams else None


def find_limit_version(state: ConfigState, team: str) -> int:
    """Returns the number of the last ticket that changed how a team's limit is split."""
    entry = state.entries.get(("teams", team))
    numbers = [item.number for entry_key, item in state.entries.items() if entry_key[0] == "zones"]
    return max([entry.number if entry else 0, *numbers])


def find_first_version(state: ConfigState, team: str) -> int:
    """Returns the number of the ticket that created a team, 0 for an unknown team."""
    entry = state.entries.get(("teams", team))
    return entry.first_number if entry else 0
