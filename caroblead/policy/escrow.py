"""Upper limits of the whole fleet, held in escrow by the shards.

Each shard holds a part of every team's limit and may run no more than that, whoever else it can
reach. The parts come from an even split of the limit, and are moved by records in the log: the
giver has lowered its own part before the record is written, and the taker raises its part only once
it has read the record. At every moment the parts thus sum to at most the limit.

A record names the giver's epoch. Once a later owner has written its claim, records of the former
owner have no effect, in the same way for everyone who reads the log.
"""

from dataclasses import dataclass, field

import xxhash

# At least this part of the even split is never given away, so that an owner who takes over while
# the log is down knows a part that is certainly its own.
KEPT_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class Move:
    """A record that moves units of a team's limit from one shard to another."""

    team: str
    version: int
    source: str
    target: str
    units: int
    epoch: int


@dataclass(slots=True, frozen=True)
class Claim:
    """A record by which the owner of a shard shuts out the owners before it."""

    shard: str
    epoch: int


@dataclass(slots=True)
class GrantBook:
    """What the records of the log add up to."""

    claims: dict[str, int] = field(default_factory=dict)
    moved: dict[tuple[str, int], dict[str, int]] = field(default_factory=dict)


def split_limit(team: str, limit: int, shards: list[str]) -> dict[str, int]:
    """Splits a limit evenly; who gets a unit of the remainder depends on the team's name.

    For example a limit of 5 over three shards gives two of them 2 and one of them 1.
    """
    if not shards:
        return {}
    ordered = sorted(shards, key=lambda shard: xxhash.xxh3_64_intdigest(f"{team}/{shard}".encode()))
    base, rest = divmod(limit, len(ordered))
    return {shard: base + (index < rest) for index, shard in enumerate(ordered)}


def fold_claim(book: GrantBook, claim: Claim):
    """Takes in the claim of an owner."""
    book.claims[claim.shard] = max(book.claims.get(claim.shard, 0), claim.epoch)


def fold_move(book: GrantBook, move: Move) -> bool:
    """Takes in a move; returns whether it has effect."""
    if move.epoch < book.claims.get(move.source, 0) or move.units <= 0:
        return False
    table = book.moved.setdefault((move.team, move.version), {})
    table[move.source] = table.get(move.source, 0) - move.units
    table[move.target] = table.get(move.target, 0) + move.units
    return True


def compute_part(book: GrantBook, team: str, version: int, base: int, shard: str) -> int:
    """Returns the part of a shard by what has been read of the log."""
    return max(0, base + book.moved.get((team, version), {}).get(shard, 0))


def compute_certain_part(base: int) -> int:
    """Returns the part that a shard certainly has, whatever the log may hold unread."""
    return base - int(base * (1 - KEPT_FRACTION))


def compute_spare(base: int, part: int, running: int, waiting: int) -> int:
    """Returns how many units a shard can give away."""
    kept = max(compute_certain_part(base), running + waiting)
    return max(0, part - kept)
