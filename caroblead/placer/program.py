"""The placer program: message handlers for requests and jobs, periodic work, and draining."""

import asyncio

import eliot

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import find_limit_version
from ..core.data import takes_jobs
from ..core.outcome import Answered, Fault, LogError, NotRun, Outcome, Reason, Step
from ..core.timer import await_and_log_errors
from ..events.event import DrainStarted, ProcessStarted, ProcessStopped
from ..events.timeline import Timeline
from ..fleet.membership import is_live, list_shard_owners, rank_members
from ..wire.call import CallError
from ..wire.convert import ANSWERED, to_reply
from ..wire.gen import ttypes
from .grant import answer_move, find_short_teams, sync_teams
from .job import (
    cancel_job,
    describe_job,
    expire_jobs,
    flush_ends,
    submit_job,
)
from .ownership import hand_over
from .process import PlacerProcess
from .request import (
    count_in_flight,
    end_unanswered_requests,
    expire_requests,
    run_request,
    schedule_tick,
)
from .restore import follow_job_stream
from .shard import Shard

SHARD_CHECK_INTERVAL_S = 0.25
HOUSEKEEPING_INTERVAL_S = 0.25
JOB_STREAM_POLL_S = 4.0
GRANT_POLL_S = 5.0
MOVE_TIMEOUT_S = 1.5
MOVE_INTERVAL_S = 0.5
# The time in which the last answers of a drain reach the gates.
ANSWER_FLUSH_S = 0.1


def continue_action(action: str, request: str):
    """Continues the log action that a gate started, so that the logs of both have the same id.

    Starts a new action if ``action`` is empty.
    """
    if not action:
        return eliot.start_action(action_type="placer:request", request=request)
    return eliot.Action.continue_task(task_id=action, action_type="placer:request", request=request)


class Placer(PlacerProcess):
    """A placer process: serves requests and jobs on the shards that it owns."""

    def __init__(
        self,
        site: SiteSettings,
        settings: NodeSettings,
        timeline: Timeline,
        injected_faults=None,
        seed=0,
    ):
        super().__init__(site, settings, timeline, injected_faults, seed)
        self.server.handlers |= {
            ttypes.RunRequest: self._run_request,
            ttypes.SubmitJob: self._submit_job,
            ttypes.CancelJob: self._cancel_job,
            ttypes.ListJobs: self._list_jobs,
            ttypes.MoveGrant: self._move_grant,
            ttypes.Drain: self._drain,
        }

    async def start(self):
        """Starts the server and the periodic work.

        That is heartbeats, polls of the configuration and the VM list, and upkeep of the shards.
        """
        await self.server.start(self.settings.host, self.settings.placer_port)
        self.timeline.emit(ProcessStarted("placer", self.incarnation))
        self.follower.add_listener(self._apply_config)
        limits = self.limits
        self.timers.subscribe(limits.heartbeat_s, self._heartbeat, immediately=True)
        self.timers.subscribe(limits.ticket_poll_s, self.follower.poll, immediately=True)
        self.timers.subscribe(limits.list_poll_s, self._poll_list, immediately=True)
        self.timers.subscribe(SHARD_CHECK_INTERVAL_S, self._check_shards)
        self.timers.subscribe(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self.timers.subscribe(limits.record_batch_s * 4, self._flush)
        self.timers.subscribe(JOB_STREAM_POLL_S, self._follow_job_streams)
        self.timers.subscribe(GRANT_POLL_S, self._poll_grants)
        self.timers.subscribe(limits.record_refresh_s / 10, self._refresh)

    # Requests and jobs.

    def _refuse(self, reason: Reason, detail: str) -> NotRun:
        return NotRun(Fault(reason, Step.ROUTE, self.settings.node, detail, "", 0.2))

    def _find_shard(self, name: str) -> Shard | None:
        shard = self.shards.get(name)
        return shard if shard is not None and shard.is_owned() else None

    async def _run_request(self, message: ttypes.RunRequest, envelope):
        return to_reply(await self._handle_request(message, envelope.action or ""))

    async def _handle_request(self, message: ttypes.RunRequest, action: str) -> Outcome:
        if message.incarnation != self.incarnation:
            return self._refuse(
                Reason.NOT_OWNER, "the request was sent to another incarnation of this placer"
            )
        shard = self.shards.get(message.shard)
        if shard is not None and message.request in shard.tables.requests:
            return await asyncio.shield(shard.tables.requests[message.request].future)
        if shard is None or not shard.is_owned():
            return self._refuse(Reason.NOT_OWNER, f"this placer does not own shard {message.shard}")
        queue = self.follower.state.queues.get(message.queue)
        if queue is None:
            return self._refuse(Reason.NO_SUCH_QUEUE, f"no queue {message.queue!r}")
        with continue_action(action, message.request):
            return await run_request(shard, queue, message, action)

    async def _submit_job(self, message: ttypes.SubmitJob, envelope):
        shard = self._find_shard(message.shard)
        if shard is None:
            return to_reply(
                self._refuse(Reason.NOT_OWNER, f"this placer does not own shard {message.shard}")
            )
        queue = self.follower.state.queues.get(message.queue)
        if queue is None or not takes_jobs(queue.kind):
            return to_reply(self._refuse(Reason.NO_SUCH_QUEUE, f"no queue {message.queue!r}"))
        outcome = await submit_job(shard, queue, message)
        schedule_tick(shard)
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

    # Periodic work.

    def _run_housekeeping(self):
        for shard in self.list_owned_shards():
            expire_requests(shard)
            expire_jobs(shard)
            if shard.cell.waiting:
                schedule_tick(shard)
                self._request_units_for_teams(shard)

    async def _flush(self):
        for shard in self.list_owned_shards():
            await flush_ends(shard)

    async def _follow_job_streams(self):
        for shard in self.list_owned_shards():
            await follow_job_stream(shard)
            await self._claim_grants(shard)
            schedule_tick(shard)

    async def _poll_grants(self):
        try:
            await self.ledger.read_log()
        except LogError as error:
            eliot.log_message("grant:log_unreachable", detail=str(error))
            return
        for shard in self.list_owned_shards():
            sync_teams(shard, self.ledger)

    async def _refresh(self):
        """Rewrites shared records before they expire; only the first live node by name does it."""
        now_s = self.timers.get_time()
        live = [m.node for m in self.members.table.values() if is_live(self.members, m, now_s)]
        if live and min(live) == self.settings.node:
            await self.follower.write_snapshot(self.limits.record_refresh_s)
            await self.ledger.write_snapshot(self.limits.record_refresh_s)

    def _request_units_for_teams(self, shard: Shard):
        now_s = self.timers.get_time()
        for team, units in find_short_teams(shard).items():
            if now_s - shard.tables.move_requested_s.get(team, 0.0) < MOVE_INTERVAL_S:
                continue
            shard.tables.move_requested_s[team] = now_s
            asyncio.ensure_future(await_and_log_errors(self._request_units(shard, team, units)))

    async def _request_units(self, shard: Shard, team: str, units: int):
        version = find_limit_version(self.follower.state, team)
        owners = list(list_shard_owners(self.members, self.timers.get_time()).items())
        self.random.shuffle(owners)
        for name, member in owners:
            if name == shard.name or units <= 0:
                continue
            move_request = ttypes.MoveGrant(
                team=team, version=version, source=name, target=shard.name, units=units
            )
            try:
                reply = await self.rpc_client.call(member.placer, move_request, MOVE_TIMEOUT_S)
            except CallError:
                continue
            if reply.outcome == ANSWERED:
                units -= int(reply.body)
                await self._poll_grants()
                schedule_tick(shard)

    async def _move_grant(self, message: ttypes.MoveGrant, envelope):
        shard = self._find_shard(message.source)
        if shard is None:
            return to_reply(
                self._refuse(Reason.NOT_OWNER, f"this placer does not own shard {message.source}")
            )
        return to_reply(await answer_move(shard, self.ledger, message))

    # Draining and shutdown.

    def count_in_flight(self) -> int:
        """Returns the number of requests of all shards that have no outcome yet."""
        return sum(count_in_flight(shard) for shard in self.shards.values())

    async def _drain(self, message: ttypes.Drain, envelope):
        asyncio.ensure_future(await_and_log_errors(self.drain()))
        return to_reply(Answered(202, b""))

    async def drain(self):
        """Stops gracefully: hands over the shards, then waits for requests in flight.

        The wait ends after the limit ``drain_s`` at the latest. A request whose endpoint hasn't
        answered by then is answered as unknown, so that no caller is left without an answer.
        """
        if self.draining:
            await self.stopped.wait()
            return
        self.draining = True
        self.timeline.emit(DrainStarted("placer"))
        for shard in self.list_owned_shards():
            await self._hand_over(shard)
        await self.broadcast_digest()
        end_s = self.timers.get_time() + self.limits.drain_s
        while self.count_in_flight() and self.timers.get_time() < end_s:
            await asyncio.sleep(0.05)
        for shard in self.shards.values():
            end_unanswered_requests(shard)
        await asyncio.sleep(ANSWER_FLUSH_S)
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
        successors = [node for node in ranked if node != self.settings.node]
        if successors:
            message = ttypes.Handover(shard=shard.name, epoch=epoch, node=self.settings.node)
            await self.rpc_client.send(self.members.table[successors[0]].placer, message)

    async def close(self):
        """Stops at once, without a handover, and drops records that were not written yet."""
        self.timers.close()
        await self.server.close(abort=True)
        self.ledger.recorder.cancel()
        for shard in self.shards.values():
            shard.recorder.cancel()
            for task in list(shard.background):
                task.cancel()
            if shard.tick_handle is not None:
                shard.tick_handle.cancel()
        await self.close_connections()
