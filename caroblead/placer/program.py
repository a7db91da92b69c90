"""The placer program: the shards of its zone, the heartbeat, and the calls that it answers."""

import asyncio
import random

import eliot
import xxhash

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import encode_state, find_limit_version, list_shards
from ..core.data import takes_jobs
from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step
from ..core.timer import guard
from ..events.event import DrainStarted, ProcessStarted, ProcessStopped
from ..events.timeline import Timeline
from ..fleet.interface import LogError, VmError
from ..fleet.membership import (
    count_far_heartbeats,
    find_owner,
    hear_digest,
    is_heard,
    list_owned,
    rank_members,
)
from ..fleet.process import NodeProcess
from ..wire.call import Address, CallError, WireServer
from ..wire.convert import ANSWERED, to_reply
from ..wire.gen import ttypes
from .grant import GrantLedger, answer_move, find_short_teams, sync_teams
from .job import (
    cancel_job,
    describe_job,
    drop_late_jobs,
    flush_ends,
    submit_job,
)
from .lease import Holder
from .ownership import apply_list, check_leases, hand_over, kick_lease, reset_shard, try_acquire
from .request import count_in_flight, expire_requests, run_request, wake
from .restore import follow_book, restore_jobs
from .shard import Shard, Surroundings

BEAT_S = 0.25
HOUSEKEEPING_S = 0.25
BOOK_POLL_S = 4.0
GRANT_POLL_S = 5.0
MOVE_TIMEOUT_S = 1.5
MOVE_INTERVAL_S = 0.5
# A candidate of lower rank waits this much longer for each one before it.
RANK_DELAY_S = 1.5


def continue_action(action: str, request: str):
    """Goes on with the action that a gate began, so that both logs carry the same id."""
    if not action:
        return eliot.start_action(action_type="placer:request", request=request)
    return eliot.Action.continue_task(task_id=action, action_type="placer:request", request=request)


class Placer(NodeProcess):
    """One placer process."""

    def __init__(
        self, site: SiteSettings, settings: NodeSettings, timeline: Timeline, links=None, seed=0
    ):
        super().__init__("placer", site, settings, timeline, links, seed)
        self.ledger = GrantLedger(self.platform, site.limits.record_batch_s)
        self.shards: dict[str, Shard] = {}
        handlers = self._make_handlers()
        self.server = WireServer(self.program, timeline.clock, handlers, self.links)
        self.draining = False
        self.settled = 0
        self.beats = 0
        self.stopped = asyncio.Event()
        self.random = random.Random(seed)

    def _make_handlers(self) -> dict:
        return {
            ttypes.RunRequest: self._run_request,
            ttypes.SubmitJob: self._submit_job,
            ttypes.CancelJob: self._cancel_job,
            ttypes.ListJobs: self._list_jobs,
            ttypes.Digest: self._hear_digest,
            ttypes.FetchConfig: self._fetch_config,
            ttypes.Handover: self._hear_handover,
            ttypes.MoveGrant: self._move_grant,
            ttypes.Drain: self._drain,
        }

    async def start(self):
        """Listens, learns the configuration and begins to take part."""
        await self.server.start(self.settings.host, self.settings.placer_port)
        self.timeline.emit(ProcessStarted("placer", self.incarnation))
        self.follower.listen(self._apply_config)
        limits = self.limits
        self.timers.subscribe(limits.heartbeat_s, self._heartbeat, soon=True)
        self.timers.subscribe(limits.ticket_poll_s, self.follower.poll, soon=True)
        self.timers.subscribe(limits.list_poll_s, self._poll_list, soon=True)
        self.timers.subscribe(BEAT_S, self._beat)
        self.timers.subscribe(HOUSEKEEPING_S, self._keep_house)
        self.timers.subscribe(limits.record_batch_s * 4, self._flush)
        self.timers.subscribe(BOOK_POLL_S, self._follow_books)
        self.timers.subscribe(GRANT_POLL_S, self._poll_grants)
        self.timers.subscribe(limits.record_refresh_s / 10, self._refresh)

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
                self.shards[name] = Shard(name, self._make_surroundings())
        for name in [name for name in self.shards if name not in names]:
            if self.shards[name].is_owned():
                reset_shard(self.shards[name], "the shard is gone from the configuration")
            del self.shards[name]
        for shard in self.list_owned_shards():
            sync_teams(shard, self.ledger)
            wake(shard)

    def _make_surroundings(self) -> Surroundings:
        limits = self.limits
        holder = Holder(self.incarnation, self.platform, limits.lease_s, limits.renew_s)
        return Surroundings(
            self.settings.node,
            self.settings.zone,
            holder,
            limits,
            self.timeline,
            self.follower,
            self.platform,
            self.random,
            kick_lease,
            self._sync_shard,
            self._claim_shard,
        )

    def _sync_shard(self, shard: Shard):
        shard.settled = self.settled
        sync_teams(shard, self.ledger)

    async def _claim_shard(self, shard: Shard):
        tables = shard.tables
        await restore_jobs(shard)
        await self._claim_grants(shard)
        if shard.tables is tables and shard.is_owned():
            wake(shard)

    async def _claim_grants(self, shard: Shard):
        if shard.is_owned() and (shard.name, shard.epoch) not in self.ledger.current:
            if await self.ledger.claim(shard) and shard.is_owned():
                sync_teams(shard, self.ledger)
                wake(shard)

    def describe_node(self) -> ttypes.Digest:
        """Returns what this node tells the others of itself."""
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
        self.beats += 1
        await self.tell_everyone(near_only=self.beats % count_far_heartbeats(self.members) != 1)

    async def tell_everyone(self, near_only: bool = False):
        """Sends a digest to the placers and gates of the zone, or of the fleet.

        Placers of other zones pass it on to their own gates, which spares a second message over
        the longer way.
        """
        digest = self.describe_node()
        now_s = self.timers.get_time()
        hear_digest(self.members, digest, now_s)
        self._update_settled()
        sends = []
        for member in list(self.members.table.values()):
            is_near = member.zone == self.settings.zone
            if near_only and not is_near:
                continue
            if member.node != self.settings.node:
                sends.append(self.caller.send(member.placer, digest))
            if is_near:
                sends.append(self.caller.send(member.gate, digest))
        await asyncio.gather(*sends)

    def _update_settled(self):
        """Notes the highest ticket that the owners of all shards are known to apply."""
        now_s, state = self.timers.get_time(), self.follower.state
        owners = [find_owner(self.members, name, now_s) for name in list_shards(state)]
        settled = max(member.settled for member in self.members.table.values())
        if owners and all(owner is not None and owner.ticket >= state.number for owner in owners):
            settled = max(settled, state.number)
        if settled > self.settled:
            self.settled = settled
            for shard in self.list_owned_shards():
                self._sync_shard(shard)
                wake(shard)

    async def _hear_digest(self, digest: ttypes.Digest, envelope):
        if not digest.incarnation:
            peer = Address(digest.node, digest.host, digest.gate_port)
            await self.follower.hear(digest.ticket or 0, digest.config or 0, peer)
            return None
        member = hear_digest(self.members, digest, self.timers.get_time())
        if member.zone != self.settings.zone:
            await self.caller.send(self.members.table[self.settings.node].gate, digest)
        await self.follower.hear(digest.ticket or 0, digest.config or 0, member.placer)
        return None

    async def _fetch_config(self, message, envelope):
        state = self.follower.state
        return ttypes.ConfigReply(ticket=state.number, state=encode_state(state, message.since))

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
            apply_list(shard, listed)

    async def _beat(self):
        for shard in list(self.shards.values()):
            if shard.life.state in ("owning", "acquiring"):
                check_leases(shard)
            if not shard.is_owned() and not self.draining and self._should_take(shard):
                await try_acquire(shard)
                if shard.is_owned():
                    await self.tell_everyone()

    def _should_take(self, shard: Shard) -> bool:
        now_s = self.timers.get_time()
        owner = find_owner(self.members, shard.name, now_s)
        if owner is not None and owner.node != self.settings.node:
            shard.without_owner_s = None
            return False
        if not shard.listed or shard.life.state == "leaving":
            return False
        if shard.without_owner_s is None:
            shard.without_owner_s = now_s
        if self.settings.node not in self.members.table:
            return False
        ranked = rank_members(self.members, shard.name, self.settings.zone, now_s)
        rank = ranked.index(self.settings.node) if self.settings.node in ranked else len(ranked)
        return now_s - shard.without_owner_s >= rank * RANK_DELAY_S

    async def _hear_handover(self, message: ttypes.Handover, envelope):
        shard = self.shards.get(message.shard)
        member = self.members.table.get(message.node)
        if member is not None:
            member.shards.pop(message.shard, None)
        if shard is not None and not self.draining:
            shard.without_owner_s = self.timers.get_time()
            if await try_acquire(shard):
                await self.tell_everyone()
        return None

    # Work of callers.

    def _refuse(self, reason: Reason, detail: str) -> NotRun:
        return NotRun(Fault(reason, Step.ROUTE, self.settings.node, detail, "", 0.2))

    def _find_shard(self, name: str) -> Shard | None:
        shard = self.shards.get(name)
        return shard if shard is not None and shard.is_owned() else None

    async def _run_request(self, message: ttypes.RunRequest, envelope):
        return to_reply(await self._decide_request(message, envelope.action or ""))

    async def _decide_request(self, message: ttypes.RunRequest, action: str) -> Outcome:
        if message.incarnation != self.incarnation:
            return self._refuse(Reason.NOT_OWNER, "meant for another incarnation")
        shard = self.shards.get(message.shard)
        if shard is not None and message.request in shard.tables.requests:
            return await asyncio.shield(shard.tables.requests[message.request].future)
        if shard is None or not shard.is_owned():
            return self._refuse(Reason.NOT_OWNER, f"does not own {message.shard}")
        queue = self.follower.state.queues.get(message.queue)
        if queue is None:
            return self._refuse(Reason.NO_SUCH_QUEUE, f"no queue {message.queue!r}")
        with continue_action(action, message.request):
            return await run_request(shard, queue, message, action)

    async def _submit_job(self, message: ttypes.SubmitJob, envelope):
        shard = self._find_shard(message.shard)
        if shard is None:
            return to_reply(self._refuse(Reason.NOT_OWNER, f"does not own {message.shard}"))
        queue = self.follower.state.queues.get(message.queue)
        if queue is None or not takes_jobs(queue.kind):
            return to_reply(self._refuse(Reason.NO_SUCH_QUEUE, f"no queue {message.queue!r}"))
        outcome = await submit_job(shard, queue, message)
        wake(shard)
        return to_reply(outcome)

    async def _cancel_job(self, message: ttypes.CancelJob, envelope):
        for shard in self.list_owned_shards():
            job = shard.cell.jobs.get(message.job)
            if job is not None and job.team == message.team:
                return to_reply(await cancel_job(shard, job))
        return to_reply(self._refuse(Reason.NO_SUCH_JOB, f"no job {message.job!r}"))

    async def _list_jobs(self, message: ttypes.ListJobs, envelope):
        jobs = [
            describe_job(job)
            for shard in self.list_owned_shards()
            for job in shard.cell.jobs.values()
            if job.team == message.team and message.job in (None, job.name)
        ]
        return ttypes.Reply(outcome=ANSWERED, status=200, jobs=jobs)

    # Upkeep.

    def _keep_house(self):
        for shard in self.list_owned_shards():
            expire_requests(shard)
            drop_late_jobs(shard)
            if shard.cell.waiting:
                wake(shard)
                self._ask_for_parts(shard)

    async def _flush(self):
        for shard in self.list_owned_shards():
            await flush_ends(shard)

    async def _follow_books(self):
        for shard in self.list_owned_shards():
            await follow_book(shard)
            await self._claim_grants(shard)
            wake(shard)

    async def _poll_grants(self):
        try:
            await self.ledger.read_log()
        except LogError as error:
            eliot.log_message("grant:log_unreachable", detail=str(error))
            return
        for shard in self.list_owned_shards():
            sync_teams(shard, self.ledger)

    async def _refresh(self):
        """Rewrites shared records in time; the first live node of all does it."""
        now_s = self.timers.get_time()
        live = [m.node for m in self.members.table.values() if is_heard(self.members, m, now_s)]
        if live and min(live) == self.settings.node:
            await self.follower.refresh(self.limits.record_refresh_s)
            await self.ledger.refresh(self.limits.record_refresh_s)

    def _ask_for_parts(self, shard: Shard):
        now_s = self.timers.get_time()
        for team, units in find_short_teams(shard).items():
            if now_s - shard.tables.asked_s.get(team, 0.0) < MOVE_INTERVAL_S:
                continue
            shard.tables.asked_s[team] = now_s
            asyncio.ensure_future(guard(self._ask_for_part(shard, team, units)))

    async def _ask_for_part(self, shard: Shard, team: str, units: int):
        version = find_limit_version(self.follower.state, team)
        owners = list(list_owned(self.members, self.timers.get_time()).items())
        self.random.shuffle(owners)
        for name, member in owners:
            if name == shard.name or units <= 0:
                continue
            ask = ttypes.MoveGrant(
                team=team, version=version, source=name, target=shard.name, units=units
            )
            try:
                reply = await self.caller.call(member.placer, ask, MOVE_TIMEOUT_S)
            except CallError:
                continue
            if reply.outcome == ANSWERED:
                units -= int(reply.body)
                await self._poll_grants()
                wake(shard)

    async def _move_grant(self, message: ttypes.MoveGrant, envelope):
        shard = self._find_shard(message.source)
        if shard is None:
            return to_reply(self._refuse(Reason.NOT_OWNER, f"does not own {message.source}"))
        return to_reply(await answer_move(shard, self.ledger, message))

    # Ending.

    def count_in_flight(self) -> int:
        """Returns how many requests have no outcome yet."""
        return sum(count_in_flight(shard) for shard in self.shards.values())

    async def _drain(self, message: ttypes.Drain, envelope):
        asyncio.ensure_future(guard(self.drain()))
        return to_reply(Answered(202, b""))

    async def drain(self):
        """Stops in a planned way: hands the shards over and finishes what is in flight."""
        if self.draining:
            await self.stopped.wait()
            return
        self.draining = True
        self.timeline.emit(DrainStarted("placer"))
        for shard in self.list_owned_shards():
            await self._hand_over(shard)
        await self.tell_everyone()
        end_s = self.timers.get_time() + self.limits.drain_s
        while self.count_in_flight() and self.timers.get_time() < end_s:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        in_flight = self.count_in_flight()
        await self.close()
        self.timeline.emit(ProcessStopped("placer", self.incarnation, in_flight))
        self.stopped.set()

    async def _hand_over(self, shard: Shard):
        epoch = shard.epoch
        await hand_over(shard)
        now_s = self.timers.get_time()
        self.members.table[self.settings.node].draining = True
        ranked = rank_members(self.members, shard.name, self.settings.zone, now_s)
        heirs = [node for node in ranked if node != self.settings.node]
        if heirs:
            message = ttypes.Handover(shard=shard.name, epoch=epoch, node=self.settings.node)
            await self.caller.send(self.members.table[heirs[0]].placer, message)

    async def close(self):
        """Ends the process's part at once, without handing anything over."""
        self.timers.close()
        await self.server.close(abort=True)
        self.ledger.recorder.cancel()
        for shard in self.shards.values():
            shard.recorder.cancel()
            for task in list(shard.background):
                task.cancel()
            if shard.tick_handle is not None:
                shard.tick_handle.cancel()
        await self.close_links()
