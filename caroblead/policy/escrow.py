"""Escrow of fleet-wide quotas: each shard holds a part of every team's limit.

A shard may run no more than its part, also when it can't reach the other shards. The parts come
from an even split of the limit and are transferred by records in the log. The source shard lowers
its own part before the record is written, and the target shard raises its part only after it has
read the record. So at every moment the parts sum to at most the limit.

A record carries the epoch of the source shard's owner. Once a later owner has written its claim,
records of the former owner are fenced: they have no effect for any reader of the log.
"""

from dataclasses import dataclass, field

import xxhash

# At least this fraction of the even split is never given away. An owner that takes over a shard
# while the log is down can rely on this part without reading the log.
MIN_KEPT_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class Move:
    """A record that transfers units of a team's limit from one shard to another."""

    team: str
    version: int
    source: str
    target: str
    units: int
    epoch: int


@dataclass(slots=True, frozen=True)
class Claim:
    """A record by which the owner of a shard fences the owners with a lower epoch."""

    shard: str
    epoch: int


@dataclass(slots=True)
class GrantState:
    """The state that results from the claims and moves read from the log.

    ``claims`` maps a shard to its highest claimed epoch. ``moved`` maps a team and limit version to
    the units that each shard has received, less those given away.
    """

    claims: dict[str, int] = field(default_factory=dict)
    moved: dict[tuple[str, int], dict[str, int]] = field(default_factory=dict)


def split_limit(team: str, limit: int, shards: list[str]) -> dict[str, int]:
    """Splits a limit evenly over the shards.

    A hash of the team and shard names decides which shards get a unit of the remainder. For example
    a limit of 5 over three shards gives two of them 2 and one of them 1.
    """
    if not shards:
        return {}
    ordered = sorted(shards, key=lambda shard: xxhash.xxh3_64_intdigest(f"{team}/{shard}".encode()))
    base, rest = divmod(limit, len(ordered))
    return {shard: base + (index < rest) for index, shard in enumerate(ordered)}


def apply_claim(book: GrantState, claim: Claim):
    """Applies the claim of an owner to the grant state."""
    book.claims[claim.shard] = max(book.claims.get(claim.shard, 0), claim.epoch)


def apply_move(book: GrantState, move: Move) -> bool:
    """Applies a move; returns False when it is fenced or moves no units."""
    if move.epoch < book.claims.get(move.source, 0) or move.units <= 0:
        return False
    table = book.moved.setdefault((move.team, move.version), {})
    table[move.source] = table.get(move.source, 0) - move.units
    table[move.target] = table.get(move.target, 0) + move.units
    return True


def compute_part(book: GrantState, team: str, version: int, base: int, shard: str) -> int:
    """Returns a shard's part of a limit according to the records read so far."""
    return max(0, base + book.moved.get((team, version), {}).get(shard, 0))


def compute_guaranteed_part(base: int) -> int:
    """Returns the part that a shard has in any case, whatever unread log records say."""
    return base - int(base * (1 - MIN_KEPT_FRACTION))


def compute_spare(base: int, part: int, running: int, waiting: int) -> int:
    """Returns how many units of its part a shard can give away.

    It keeps what its running and waiting work needs, and at least its guaranteed part.
    """
    kept = max(compute_guaranteed_part(base), running + waiting)
    return max(0, part - kept)
