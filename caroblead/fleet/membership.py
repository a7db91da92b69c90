"""Who is alive, as told by digests, and who should own a shard.

Every placer sends a digest at each heartbeat, more often within its availability zone than beyond
it. A node that has not been heard for a while is suspected; it is not declared dead, since only the
leases of the VMs can tell that an owner has stopped.
"""

from dataclasses import dataclass, field

import xxhash

from ..wire.call import Address
from ..wire.gen.ttypes import Digest, ShardDigest

# Nodes outside the zone are told of at least every this many heartbeats, and of fewer in a fleet of
# more than this many nodes for each, so that digests stay a small part of a node's bytes.
FAR_HEARTBEATS = 3
NODES_PER_FAR_HEARTBEAT = 4


@dataclass(slots=True)
class Member:
    """A node with the latest digest heard from it."""

    node: str
    zone: str
    host: str
    placer_port: int
    gate_port: int
    heard_s: float = float("-inf")
    incarnation: str = ""
    draining: bool = False
    ticket: int = 0
    settled: int = 0
    shards: dict[str, ShardDigest] = field(default_factory=dict)

    @property
    def placer(self) -> Address:
        """The address of the node's placer."""
        return Address(self.node, self.host, self.placer_port)

    @property
    def gate(self) -> Address:
        """The address at which the node's gate hears digests."""
        return Address(self.node, self.host, self.gate_port)


@dataclass(slots=True)
class Members:
    """All nodes known to a process, by name.

    Nodes of other zones send digests less often, so they are suspected later.
    """

    zone: str
    suspect_after_s: float
    heartbeat_s: float
    table: dict[str, Member] = field(default_factory=dict)


def count_far_heartbeats(members: Members) -> int:
    """Returns after how many heartbeats nodes of other zones are sent a digest."""
    return max(FAR_HEARTBEATS, len(members.table) // NODES_PER_FAR_HEARTBEAT)


def seed_members(members: Members, nodes) -> None:
    """Adds the nodes that the settings name, as not yet heard."""
    for node in nodes:
        members.table[node.node] = Member(
            node.node, node.zone, node.host, node.placer_port, node.gate_port
        )


def hear_digest(members: Members, digest: Digest, now_s: float) -> Member:
    """Takes in a digest, also from a node that was unknown so far."""
    member = members.table.get(digest.node)
    if member is None:
        member = Member(digest.node, digest.zone, digest.host, digest.placer_port, digest.gate_port)
        members.table[digest.node] = member
    member.host = digest.host
    member.placer_port = digest.placer_port
    member.gate_port = digest.gate_port
    member.heard_s = now_s
    member.incarnation = digest.incarnation
    member.draining = bool(digest.draining)
    member.ticket = digest.ticket or 0
    member.settled = digest.settled or 0
    member.shards = {item.shard: item for item in digest.shards or ()}
    return member


def is_heard(members: Members, member: Member, now_s: float) -> bool:
    """Returns whether a node was heard recently enough not to be suspected."""
    patience_s = members.suspect_after_s
    if member.zone != members.zone:
        patience_s += 2 * count_far_heartbeats(members) * members.heartbeat_s
    return now_s - member.heard_s <= patience_s


def rank_node(shard: str, node: str) -> int:
    """Returns the weight of a node for a shard by rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{shard}/{node}".encode())


def rank_members(members: Members, shard: str, zone: str, now_s: float) -> list[str]:
    """Returns the live nodes of a zone that take no part in a drain, best owner first."""
    live = [
        member.node
        for member in members.table.values()
        if member.zone == zone and is_heard(members, member, now_s) and not member.draining
    ]
    return sorted(live, key=lambda node: rank_node(shard, node), reverse=True)


def find_owner(members: Members, shard: str, now_s: float) -> Member | None:
    """Returns the node that claims a shard with the highest epoch and was heard lately."""
    best = None
    for member in members.table.values():
        item = member.shards.get(shard)
        if item is None or not is_heard(members, member, now_s):
            continue
        if best is None or item.epoch > best.shards[shard].epoch:
            best = member
    return best


def list_owned(members: Members, now_s: float) -> dict[str, Member]:
    """Returns the owner of every shard that has one."""
    names = {shard for member in members.table.values() for shard in member.shards}
    owners = {shard: find_owner(members, shard, now_s) for shard in names}
    return {shard: owner for shard, owner in owners.items() if owner is not None}
