"""The state of a placer process: the shards of its zone, its peers, and who owns which shard."""

import asyncio
import random

import eliot
import xxhash

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import list_shards
from ..events.timeline import Timeline
from ..fleet.interface import VmError
from ..fleet.membership import (
    Member,
    find_owner,
    get_remote_digest_interval,
    rank_members,
    update_member,
)
from ..fleet.process import NodeProcess
from ..wire.call import RpcServer
from ..wire.gen import ttypes
from .grant import GrantLedger, sync_teams
from .lease import LeaseHolder
from .ownership import apply_vm_list, check_leases, reset_shard, start_lease_call, try_acquire
from .request import schedule_tick
from .restore import restore_jobs
from .shard import Shard, ShardContext

# A candidate waits this long for each candidate of higher rank before it tries to acquire a shard.
RANK_DELAY_S = 1.5


class PlacerProcess(NodeProcess):
    """The shards of one placer process, its view of the other nodes, and shard acquisition.

    :class:`caroblead.placer.program.Placer` adds the handling of requests and jobs.
    """

    def __init__(
        self,
        site: SiteSettings,
        settings: NodeSettings,
        timeline: Timeline,
        injected_faults=None,
        seed=0,
    ):
        super().__init__("placer", site, settings, timeline, injected_faults, seed)
        self.ledger = GrantLedger(self.platform, site.limits.record_batch_s)
        self.shards: dict[str, Shard] = {}
        handlers = {
            ttypes.Digest: self.handle_digest,
            ttypes.FetchConfig: self.fetch_config,
            ttypes.Handover: self._handle_handover,
        }
        self.server = RpcServer(self.program, timeline.clock, handlers, self.injected_faults)
        self.draining = False
        self.settled = 0
        self.heartbeat_count = 0
        self.stopped = asyncio.Event()
        self.random = random.Random(seed)

    def list_owned_shards(self) -> list[Shard]:
        """Returns the shards that this process owns now."""
        return [shard for shard in self.shards.values() if shard.is_owned()]

    # Configuration and membership.

    def _apply_config(self):
        names = [
            name
            for name in list_shards(self.follower.state)
            if name.rpartition(".")[0] == self.settings.zone
        ]
        for name in names:
            if name not in self.shards:
                self.shards[name] = Shard(name, self._make_context())
        for name in [name for name in self.shards if name not in names]:
            if self.shards[name].is_owned():
                reset_shard(self.shards[name], "the shard was removed from the configuration")
            del self.shards[name]
        for shard in self.list_owned_shards():
            sync_teams(shard, self.ledger)
            schedule_tick(shard)

    def _make_context(self) -> ShardContext:
        limits = self.limits
        holder = LeaseHolder(self.incarnation, self.platform, limits.lease_s, limits.renew_s)
        return ShardContext(
            self.settings.node,
            self.settings.zone,
            holder,
            limits,
            self.timeline,
            self.follower,
            self.platform,
            self.random,
            start_lease_call,
            self._sync_grants,
            self._restore_and_claim,
        )

    def _sync_grants(self, shard: Shard):
        shard.settled = self.settled
        sync_teams(shard, self.ledger)

    async def _restore_and_claim(self, shard: Shard):
        tables = shard.tables
        await restore_jobs(shard)
        await self._claim_grants(shard)
        if shard.tables is tables and shard.is_owned():
            schedule_tick(shard)

    async def _claim_grants(self, shard: Shard):
        if shard.is_owned() and (shard.name, shard.epoch) not in self.ledger.confirmed_claims:
            if await self.ledger.claim(shard) and shard.is_owned():
                sync_teams(shard, self.ledger)
                schedule_tick(shard)

    def describe_node(self) -> ttypes.Digest:
        """Returns the digest that this node sends to the others: its shards, load and ticket."""
        digest = self.make_digest((self.server.port, self.settings.gate_port))
        digest.incarnation = self.incarnation
        digest.draining = self.draining
        digest.shards = [self._describe_shard(shard) for shard in self.list_owned_shards()]
        digest.settled = self.settled
        return digest

    def _describe_shard(self, shard: Shard) -> ttypes.ShardDigest:
        cell = shard.cell
        live = [lease.vm for lease in shard.leases.values() if lease.vm and not lease.lapsed]
        return ttypes.ShardDigest(
            shard=shard.name,
            epoch=shard.epoch,
            free_slots=sum(vm.free.slots for vm in live),
            free_millicores=sum(vm.free.millicores for vm in live),
            waiting=cell.waiting,
        )

    async def _heartbeat(self):
        self.heartbeat_count += 1
        await self.broadcast_digest(
            near_only=self.heartbeat_count % get_remote_digest_interval(self.members) != 1
        )

    async def broadcast_digest(self, near_only: bool = False):
        """Sends a digest to the gates of this zone and to the placers of the fleet.

        With ``near_only`` the placers of other zones are left out. A placer of another zone
        forwards the digest to its node's gate, which saves a second message between the zones.
        """
        digest = self.describe_node()
        now_s = self.timers.get_time()
        update_member(self.members, digest, now_s)
        self._update_settled()
        sends = []
        for member in list(self.members.table.values()):
            is_near = member.zone == self.settings.zone
            if near_only and not is_near:
                continue
            if member.node != self.settings.node:
                sends.append(self.rpc_client.send(member.placer, digest))
            if is_near:
                sends.append(self.rpc_client.send(member.gate, digest))
        await asyncio.gather(*sends)

    def _update_settled(self):
        """Updates the highest ticket number that the owners of all shards are known to apply."""
        now_s, state = self.timers.get_time(), self.follower.state
        owners = [find_owner(self.members, name, now_s) for name in list_shards(state)]
        settled = max(member.settled for member in self.members.table.values())
        if owners and all(owner is not None and owner.ticket >= state.number for owner in owners):
            settled = max(settled, state.number)
        if settled > self.settled:
            self.settled = settled
            for shard in self.list_owned_shards():
                self._sync_grants(shard)
                schedule_tick(shard)

    async def handle_member(self, member: Member, digest: ttypes.Digest):
        """Passes a digest from another zone on to the gate of this node."""
        if member.zone != self.settings.zone:
            await self.rpc_client.send(self.members.table[self.settings.node].gate, digest)

    # Ownership.

    async def _poll_list(self):
        try:
            vms = await self.platform.list_vms(self.settings.zone)
        except VmError as error:
            eliot.log_message("list:unreachable", detail=str(error))
            return
        count = len(self.shards)
        for shard in self.shards.values():
            index = int(shard.name.rpartition(".")[2])
            listed = {
                vm.name: vm
                for vm in vms
                if xxhash.xxh3_64_intdigest(vm.rack.encode()) % count == index
            }
            apply_vm_list(shard, listed)

    async def _check_shards(self):
        for shard in list(self.shards.values()):
            if shard.lifecycle.state in ("owning", "acquiring"):
                check_leases(shard)
            if not shard.is_owned() and not self.draining and self._should_take(shard):
                await try_acquire(shard)
                if shard.is_owned():
                    await self.broadcast_digest()

    def _should_take(self, shard: Shard) -> bool:
        now_s = self.timers.get_time()
        owner = find_owner(self.members, shard.name, now_s)
        if owner is not None and owner.node != self.settings.node:
            shard.ownerless_since_s = None
            return False
        if not shard.listed or shard.lifecycle.state == "leaving":
            return False
        if shard.ownerless_since_s is None:
            shard.ownerless_since_s = now_s
        if self.settings.node not in self.members.table:
            return False
        ranked = rank_members(self.members, shard.name, self.settings.zone, now_s)
        rank = ranked.index(self.settings.node) if self.settings.node in ranked else len(ranked)
        return now_s - shard.ownerless_since_s >= rank * RANK_DELAY_S

    async def _handle_handover(self, message: ttypes.Handover, envelope):
        shard = self.shards.get(message.shard)
        member = self.members.table.get(message.node)
        if member is not None:
            member.shards.pop(message.shard, None)
        if shard is not None and not self.draining:
            shard.ownerless_since_s = self.timers.get_time()
            if await try_acquire(shard):
                await self.broadcast_digest()
        return None
