"""Fleet membership and failure detection by digests, and the ranking of nodes to own a shard.

A digest is a summary of a node's state. Every placer sends one to its own availability zone at each
heartbeat and to other zones less often. A node is suspected if no digest has arrived from it for a
timeout. It is not declared dead, since only the leases of the VMs prove that an owner has stopped.
"""

from dataclasses import dataclass, field

import xxhash

from ..wire.call import Address
from ..wire.gen.ttypes import Digest, ShardDigest

# Nodes of other zones are sent a digest every 3 heartbeats, or every n / 4 heartbeats in a fleet of
# n nodes if that is longer, so that digests stay a small share of the bytes that a node sends.
MIN_REMOTE_DIGEST_HEARTBEATS = 3
NODES_PER_REMOTE_HEARTBEAT = 4


@dataclass(slots=True)
class Member:
    """A node with the content of the latest digest received from it.

    ``ticket`` is the highest ticket that the node applies, ``settled`` the highest ticket that,
    as far as it knows, the owners of all shards apply.
    """

    node: str
    zone: str
    host: str
    placer_port: int
    gate_port: int
    last_digest_s: float = float("-inf")
    incarnation: str = ""
    draining: bool = False
    ticket: int = 0
    settled: int = 0
    shards: dict[str, ShardDigest] = field(default_factory=dict)

    @property
    def placer(self) -> Address:
        """The address at which the node's placer receives calls and digests."""
        return Address(self.node, self.host, self.placer_port)

    @property
    def gate(self) -> Address:
        """The address at which the node's gate receives digests."""
        return Address(self.node, self.host, self.gate_port)


@dataclass(slots=True)
class Members:
    """All nodes known to a process, by name, and the timeouts of its failure detector.

    ``zone`` is the zone of the process. Nodes of other zones send digests less often, so their
    timeout is longer than ``suspect_after_s``.
    """

    zone: str
    suspect_after_s: float
    heartbeat_s: float
    table: dict[str, Member] = field(default_factory=dict)


def get_remote_digest_interval(members: Members) -> int:
    """Returns the number of heartbeats between two digests to nodes of other zones."""
    return max(MIN_REMOTE_DIGEST_HEARTBEATS, len(members.table) // NODES_PER_REMOTE_HEARTBEAT)


def seed_members(members: Members, nodes) -> None:
    """Adds the nodes that the settings name; they count as suspected until their first digest."""
    for node in nodes:
        members.table[node.node] = Member(
            node.node, node.zone, node.host, node.placer_port, node.gate_port
        )


def update_member(members: Members, digest: Digest, now_s: float) -> Member:
    """Updates a member from its digest, and adds the member if it was unknown."""
    member = members.table.get(digest.node)
    if member is None:
        member = Member(digest.node, digest.zone, digest.host, digest.placer_port, digest.gate_port)
        members.table[digest.node] = member
    member.host = digest.host
    member.placer_port = digest.placer_port
    member.gate_port = digest.gate_port
    member.last_digest_s = now_s
    member.incarnation = digest.incarnation
    member.draining = bool(digest.draining)
    member.ticket = digest.ticket or 0
    member.settled = digest.settled or 0
    member.shards = {item.shard: item for item in digest.shards or ()}
    return member


def is_live(members: Members, member: Member, now_s: float) -> bool:
    """Returns whether a node's last digest is recent enough that the node is not suspected.

    The timeout for a node of another zone is longer by two digest intervals.
    """
    suspect_timeout_s = members.suspect_after_s
    if member.zone != members.zone:
        suspect_timeout_s += 2 * get_remote_digest_interval(members) * members.heartbeat_s
    return now_s - member.last_digest_s <= suspect_timeout_s


def compute_node_weight(shard: str, node: str) -> int:
    """Returns the rendezvous hashing weight of a node for a shard; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{shard}/{node}".encode())


def rank_members(members: Members, shard: str, zone: str, now_s: float) -> list[str]:
    """Returns the live nodes of a zone that are not draining, a shard's preferred owner first."""
    live = [
        member.node
        for member in members.table.values()
        if member.zone == zone and is_live(members, member, now_s) and not member.draining
    ]
    return sorted(live, key=lambda node: compute_node_weight(shard, node), reverse=True)


def find_owner(members: Members, shard: str, now_s: float) -> Member | None:
    """Returns the unsuspected node that claims a shard with the highest epoch."""
    best = None
    for member in members.table.values():
        item = member.shards.get(shard)
        if item is None or not is_live(members, member, now_s):
            continue
        if best is None or item.epoch > best.shards[shard].epoch:
            best = member
    return best


def list_shard_owners(members: Members, now_s: float) -> dict[str, Member]:
    """Returns the owner of each shard, without the shards that have none."""
    names = {shard for member in members.table.values() for shard in member.shards}
    owners = {shard: find_owner(members, shard, now_s) for shard in names}
    return {shard: owner for shard, owner in owners.items() if owner is not None}
