"""The gate program: callers' and operators' HTTP, and the path of a request to its placer."""

import asyncio
import hashlib
import json
import math
import secrets
import time

import eliot
from aiohttp import web

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import ConfigState, check_ticket, encode_state, find_key_team
from ..config.ticket import Ticket, parse_ticket
from ..core.data import Queue, name_kind, takes_jobs, takes_requests
from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step, Unknown
from ..core.timer import TimerService, guard
from ..events.event import (
    AnswerSent,
    DrainStarted,
    ProcessStarted,
    ProcessStopped,
    RequestAccepted,
    TicketAccepted,
)
from ..events.timeline import Timeline
from ..fleet.follower import Follower
from ..fleet.membership import Members, hear_digest, is_heard, list_owned, seed_members
from ..platform.client import HttpPlatform
from ..wire.call import Address, Caller, CallError, LinkSwitch, WireServer
from ..wire.convert import ANSWERED, from_reply
from ..wire.gen import ttypes
from .message import (
    HTTP_STATUS,
    UNAVAILABLE,
    JobBody,
    RequestBody,
    describe_fault,
    describe_outcome,
    digest_bytes,
    name_outcome,
    parse_body,
)
from .metric import Metrics, write_metrics
from .route import RequestCall, Router

KEY_SHOWN = 12
CALL_TIMEOUT_S = 3.0
# How long a connection attempt may still arrive after the gate said that it is leaving.
LINGER_S = 0.3
# How long a fresh gate waits for its first configuration before it refuses.
FIRST_CONFIG_S = 2.0


class RefusalError(Exception):
    """Ends the handling of a caller's call with faults."""

    def __init__(self, *faults: Fault):
        super().__init__(faults[0].detail)
        self.faults = faults


class Gate:
    """One gate process."""

    def __init__(
        self, site: SiteSettings, settings: NodeSettings, timeline: Timeline, links=None, seed=0
    ):
        self.site = site
        self.settings = settings
        self.timeline = timeline
        self.incarnation = f"{settings.node}~{secrets.token_hex(4)}"
        self.links = links or LinkSwitch()
        self.timers = TimerService(seed, self.is_frozen)
        clock = timeline.clock
        self.platform = HttpPlatform(
            settings.node, clock, site.platform.log_url, site.platform.list_url, self.pause
        )
        program = f"{settings.node}/gate"
        self.caller = Caller(settings.node, program, clock, self.links)
        self.follower = Follower("gate", self.platform, self.caller, timeline)
        limits = site.limits
        patience_s = limits.suspect_after_s + limits.heartbeat_s
        self.members = Members(settings.zone, patience_s, limits.heartbeat_s)
        seed_members(self.members, site.nodes)
        self.router = Router(settings.node, settings.zone, self.caller, self.members, seed)
        self.metrics = Metrics()
        self.server = WireServer(
            program,
            clock,
            {ttypes.Digest: self._hear_digest, ttypes.FetchConfig: self._fetch_config},
            self.links,
        )
        self.runner: web.AppRunner | None = None
        self.http_port = 0
        self.in_flight = 0
        self.sequence = 0
        self.draining = False
        self.stopped = asyncio.Event()

    def is_frozen(self) -> bool:
        """Returns whether a failure test has frozen this program."""
        return f"{self.settings.node}/gate" in self.links.frozen

    async def pause(self):
        """Stands still while a failure test has frozen this program."""
        await self.links.wait_while_frozen(f"{self.settings.node}/gate")

    async def start(self):
        """Listens for peers and callers and learns the configuration."""
        await self.server.start(self.settings.host, self.settings.gate_port)
        self.timeline.emit(ProcessStarted("gate", self.incarnation))
        self.timers.subscribe(self.site.limits.ticket_poll_s, self.follower.poll, soon=True)
        self.runner = web.AppRunner(self._make_app(), access_log=None, handler_cancellation=False)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.settings.host, self.settings.http_port)
        await site.start()
        self.http_port = site._server.sockets[0].getsockname()[1]

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self.site.limits.max_body_bytes, middlewares=[self._answer_refusals]
        )
        app.router.add_post("/v1/queues/{queue}/requests", self._take_request)
        app.router.add_post("/v1/queues/{queue}/jobs", self._take_job)
        app.router.add_get("/v1/jobs", self._list_jobs)
        app.router.add_get("/v1/jobs/{job}", self._list_jobs)
        app.router.add_delete("/v1/jobs/{job}", self._cancel_job)
        app.router.add_post("/v1/tickets", self._publish_ticket)
        app.router.add_post("/v1/tickets/check", self._check_ticket)
        app.router.add_get("/v1/config", self._show_config)
        app.router.add_get("/v1/status", self._show_status)
        app.router.add_post("/v1/drain", self._order_drain)
        app.router.add_get("/metrics", self._show_metrics)
        return app

    # Refusals.

    @web.middleware
    async def _answer_refusals(self, request: web.Request, handler):
        try:
            return await handler(request)
        except RefusalError as refusal:
            return self._refuse(refusal.faults)
        except web.HTTPRequestEntityTooLarge:
            most = self.site.limits.max_body_bytes
            fault = self._make_fault(
                Reason.TOO_LARGE, Step.READ_INPUT, f"the body is over {most} bytes"
            )
            return self._refuse([fault])
        except web.HTTPException as error:
            fault = self._make_fault(Reason.BAD_INPUT, Step.READ_INPUT, error.reason)
            return web.json_response(
                {"outcome": "not_run", "error": describe_fault(fault)}, status=error.status
            )

    def _refuse(self, faults) -> web.Response:
        first = faults[0]
        shown = {"outcome": "not_run", "error": describe_fault(first)}
        if len(faults) > 1:
            shown["errors"] = [describe_fault(fault) for fault in faults]
        status = HTTP_STATUS.get(first.reason, UNAVAILABLE)
        return web.json_response(shown, status=status, headers=make_retry(first.retry_after_s))

    def _make_fault(self, reason: Reason, step: Step, detail: str, field: str = "") -> Fault:
        return Fault(reason, step, self.settings.node, detail, field)

    # Keys and queues.

    def _read_key(self, request: web.Request) -> str:
        """Returns the digest of the bearer key, or nothing when none came."""
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return ""
        return hashlib.sha256(key.strip().encode()).hexdigest()

    def _check_key(self, digest: str) -> str:
        if not digest:
            raise RefusalError(
                self._make_fault(Reason.NO_KEY, Step.CHECK_KEY, "no bearer key came")
            )
        team = find_key_team(self.follower.state, digest)
        if team is None:
            raise RefusalError(
                self._make_fault(Reason.BAD_KEY, Step.CHECK_KEY, "the key is not valid")
            )
        return team

    async def _find_queue(self, request: web.Request, for_requests: bool) -> Queue:
        await self._wait_for_config()
        name = request.match_info["queue"]
        queue = self.follower.state.queues.get(name)
        takes = takes_requests if for_requests else takes_jobs
        if queue is None or not takes(queue.kind):
            what = "requests" if for_requests else "jobs"
            detail = f"no queue {name!r} takes {what}"
            raise RefusalError(self._make_fault(Reason.NO_SUCH_QUEUE, Step.ADMIT, detail, "queue"))
        return queue

    async def _wait_for_config(self):
        """Gives a fresh process a moment to learn the configuration before it refuses."""
        end_s = self.timers.get_time() + FIRST_CONFIG_S
        while self.follower.state.number == 0:
            if self.timers.get_time() > end_s:
                detail = "no configuration is known here yet"
                raise RefusalError(
                    Fault(Reason.NO_CONFIG, Step.ADMIT, self.settings.node, detail, "", 1.0)
                )
            await asyncio.sleep(0.05)
        await self.follower.ensure_fresh()

    def _find_team(self, queue: Queue, digest: str) -> tuple[str, bool]:
        """Returns the team that work on a queue is for, and whether the queue is open."""
        if queue.open_team and not digest:
            return queue.open_team, True
        team = self._check_key(digest)
        if team in queue.teams:
            return team, False
        if queue.open_team:
            return queue.open_team, True
        detail = f"team {team!r} may not use queue {queue.name!r}"
        raise RefusalError(self._make_fault(Reason.FORBIDDEN, Step.CHECK_KEY, detail))

    # Requests.

    async def _take_request(self, request: web.Request):
        arrived_s = self.timers.get_time()
        self.in_flight += 1
        try:
            queue = await self._find_queue(request, for_requests=True)
            parsed = parse_body(RequestBody, await request.read())
            if parsed.faults:
                raise RefusalError(*parsed.faults)
            call = self._accept_request(queue, parsed.value, self._read_key(request))
            with eliot.start_action(action_type="gate:request", request=call.request) as action:
                call.action = action.serialize_task_id().decode()
                outcome = await self.router.run(self.follower.state, call)
            return self._answer(queue, call.request, outcome, arrived_s)
        finally:
            self.in_flight -= 1

    def _accept_request(self, queue: Queue, body: RequestBody, digest: str) -> RequestCall:
        team, is_open = self._find_team(queue, digest)
        self.sequence += 1
        payload = json.dumps(body.payload, separators=(",", ":")).encode()
        repeatable = queue.repeatable if body.repeatable is None else body.repeatable
        call = RequestCall(
            f"r-{self.incarnation}-{self.sequence}",
            team,
            queue,
            repeatable and queue.repeatable,
            min(body.deadline_s or queue.deadline_s, queue.deadline_s),
            payload,
            "",
        )
        self.timeline.emit(
            RequestAccepted(
                call.request,
                team,
                queue.name,
                digest[:KEY_SHOWN],
                team if not is_open else "",
                is_open,
                call.repeatable,
                digest_bytes(payload),
            )
        )
        return call

    def _answer(self, queue: Queue, request: str, outcome: Outcome, arrived_s: float):
        status, shown, retry_s = describe_outcome(request, outcome)
        reason = "" if isinstance(outcome, Answered) else str(outcome.fault.reason)
        body = digest_bytes(outcome.body) if isinstance(outcome, Answered) else ""
        self.timeline.emit(AnswerSent(request, name_outcome(outcome), body, reason))
        self.metrics.count_outcome(queue.name, name_outcome(outcome), reason)
        self.metrics.record_wait(queue.name, self.timers.get_time() - arrived_s)
        return web.json_response(shown, status=status, headers=make_retry(retry_s))

    # Jobs.

    async def _take_job(self, request: web.Request):
        queue = await self._find_queue(request, for_requests=False)
        parsed = parse_body(JobBody, await request.read())
        if parsed.faults:
            raise RefusalError(*parsed.faults)
        team, _ = self._find_team(queue, self._read_key(request))
        self.in_flight += 1
        try:
            return await self._submit(queue, team, parsed.value)
        finally:
            self.in_flight -= 1

    async def _submit(self, queue: Queue, team: str, body: JobBody):
        choices = self.router.list_choices(self.follower.state, queue)
        if body.name:
            mark = hashlib.sha256(f"{team}/{body.name}".encode()).hexdigest()[:16]
            names = sorted(choices)
            shards = names[int(mark, 16) % len(names) :][:1] if names else []
        else:
            mark = secrets.token_hex(8)
            shards = sorted(
                choices,
                key=lambda shard: choices[shard].shards[shard].free_millicores,
                reverse=True,
            )
        outcome: Outcome = NotRun(
            Fault(Reason.NO_PLACER, Step.ROUTE, self.settings.node, "no shard has an owner", "", 2)
        )
        for shard in shards:
            job = f"j-{shard}-{mark}"
            outcome = await self._submit_to(choices[shard], shard, job, queue, team, body)
            if isinstance(outcome, Answered):
                shown = {"outcome": "accepted", "job": job, "tasks": body.tasks}
                return web.json_response(shown, status=outcome.status)
            if isinstance(outcome, Unknown):
                break
        status, shown, retry_s = describe_outcome("", outcome)
        shown["job"] = f"j-{shards[0]}-{mark}" if isinstance(outcome, Unknown) else ""
        return web.json_response(shown, status=status, headers=make_retry(retry_s))

    async def _submit_to(self, owner, shard, job, queue, team, body: JobBody) -> Outcome:
        message = ttypes.SubmitJob(
            job=job,
            shard=shard,
            team=team,
            queue=queue.name,
            tasks=body.tasks,
            millicores=math.ceil(body.cores * 1000),
            memory_mb=body.memory_mb,
            accelerators=body.accelerators,
            run_time_ms=0 if name_kind(queue.kind) == "service" else int(body.run_time_s * 1000),
            deadline_ms=int((body.deadline_s or 0) * 1000),
            repeatable=body.repeatable and queue.repeatable,
        )
        try:
            return from_reply(await self.caller.call(owner.placer, message, 2 * CALL_TIMEOUT_S))
        except CallError as error:
            return Unknown(error.fault) if error.sent else NotRun(error.fault)

    async def _ask_owners(self, message) -> list:
        """Sends a message to every owner of a shard and returns the replies that came."""
        owners = {owner.node: owner for owner in self._list_owned().values()}
        replies = await asyncio.gather(
            *(self.caller.call(o.placer, message, CALL_TIMEOUT_S) for o in owners.values()),
            return_exceptions=True,
        )
        return [reply for reply in replies if isinstance(reply, ttypes.Reply)]

    def _list_owned(self):
        return list_owned(self.members, self.timers.get_time())

    async def _list_jobs(self, request: web.Request):
        await self._wait_for_config()
        team = self._check_key(self._read_key(request))
        job = request.match_info.get("job")
        replies = await self._ask_owners(ttypes.ListJobs(team=team, job=job))
        jobs = [describe_job(item) for reply in replies for item in reply.jobs or ()]
        if job is None:
            return web.json_response({"jobs": sorted(jobs, key=lambda item: item["job"])})
        if not jobs:
            detail = f"no job {job!r} of team {team!r}"
            raise RefusalError(self._make_fault(Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job"))
        return web.json_response(jobs[0])

    async def _cancel_job(self, request: web.Request):
        await self._wait_for_config()
        team = self._check_key(self._read_key(request))
        job = request.match_info["job"]
        replies = await self._ask_owners(ttypes.CancelJob(job=job, team=team))
        if any(reply.outcome == ANSWERED for reply in replies):
            return web.json_response({"outcome": "cancelled", "job": job})
        faults = [from_reply(reply).fault for reply in replies if reply.fault]
        worst = [fault for fault in faults if fault.reason is not Reason.NO_SUCH_JOB]
        detail = f"no job {job!r} of team {team!r}"
        missing = self._make_fault(Reason.NO_SUCH_JOB, Step.ROUTE, detail, "job")
        raise RefusalError(*(worst or [missing]))

    # Operators.

    def _check_operator(self, request: web.Request):
        wanted = self.site.platform.operator_key_digest
        digest = self._read_key(request)
        if wanted and not secrets.compare_digest(wanted, digest):
            reason = Reason.BAD_KEY if digest else Reason.NO_KEY
            raise RefusalError(
                self._make_fault(reason, Step.CHECK_KEY, "an operator's key is needed")
            )

    async def _read_ticket(self, request: web.Request) -> Ticket:
        self._check_operator(request)
        parsed = parse_ticket(await request.read())
        if parsed.faults:
            raise RefusalError(*parsed.faults)
        return parsed.value

    async def _check_ticket(self, request: web.Request):
        ticket = await self._read_ticket(request)
        await self.follower.poll()
        faults = check_ticket(self.follower.state, ticket)
        if faults:
            raise RefusalError(*faults)
        return web.json_response({"outcome": "valid", "ticket": ticket.ticket})

    async def _publish_ticket(self, request: web.Request):
        ticket = await self._read_ticket(request)
        faults = await self.follower.publish(ticket)
        if faults and faults[0].reason is Reason.PEER_LOST:
            shown = {"outcome": "unknown", "error": describe_fault(faults[0])}
            return web.json_response(shown, status=504)
        if faults:
            raise RefusalError(*faults)
        self.timeline.emit(describe_ticket(ticket))
        await self.tell_everyone()
        return web.json_response({"outcome": "accepted", "ticket": ticket.ticket})

    async def tell_everyone(self):
        """Tells every placer and gate at once which ticket is in force here."""
        digest = ttypes.Digest(
            node=self.settings.node,
            zone=self.settings.zone,
            incarnation="",
            host=self.settings.host,
            placer_port=self.settings.placer_port,
            gate_port=self.server.port,
            ticket=self.follower.state.number,
            config=self.follower.digest,
            draining=False,
            shards=[],
            settled=0,
        )
        sends = []
        for member in list(self.members.table.values()):
            sends.append(self.caller.send(member.placer, digest))
            if member.node != self.settings.node:
                sends.append(self.caller.send(member.gate, digest))
        await asyncio.gather(*sends)

    async def _show_config(self, request: web.Request):
        self._check_operator(request)
        return web.json_response(describe_config(self.follower.state))

    async def _show_status(self, request: web.Request):
        now_s = self.timers.get_time()
        nodes = [
            {
                "node": member.node,
                "zone": member.zone,
                "live": is_heard(self.members, member, now_s),
                "draining": member.draining,
                "ticket": member.ticket,
                "shards": [
                    {
                        "shard": item.shard,
                        "epoch": item.epoch,
                        "free_slots": item.free_slots,
                        "free_cores": item.free_millicores / 1000,
                        "waiting": item.waiting,
                    }
                    for item in member.shards.values()
                ],
            }
            for member in sorted(self.members.table.values(), key=lambda m: m.node)
        ]
        shown = {
            "node": self.settings.node,
            "ticket": self.follower.state.number,
            "in_flight": self.in_flight,
            "nodes": nodes,
        }
        return web.json_response(shown)

    async def _show_metrics(self, request: web.Request):
        gauges = {
            "requests_in_flight": self.in_flight,
            "ticket": self.follower.state.number,
            "control_sent_bytes": self.caller.traffic.sent_bytes + self.server.traffic.sent_bytes,
            "process_cpu_seconds": time.process_time(),
        }
        return web.Response(text=write_metrics(self.metrics, gauges))

    async def _order_drain(self, request: web.Request):
        self._check_operator(request)
        member = self.members.table[self.settings.node]
        await self.caller.send(member.placer, ttypes.Drain(node=self.settings.node))
        asyncio.ensure_future(guard(self.drain()))
        return web.json_response({"outcome": "draining", "node": self.settings.node}, status=202)

    # Peers.

    async def _hear_digest(self, digest: ttypes.Digest, envelope):
        if not digest.incarnation:
            peer = Address(digest.node, digest.host, digest.gate_port)
            await self.follower.hear(digest.ticket or 0, digest.config or 0, peer)
            return None
        member = hear_digest(self.members, digest, self.timers.get_time())
        await self.follower.hear(digest.ticket or 0, digest.config or 0, member.placer)
        return None

    async def _fetch_config(self, message, envelope):
        state = self.follower.state
        return ttypes.ConfigReply(ticket=state.number, state=encode_state(state, message.since))

    # Ending.

    async def drain(self):
        """Stops in a planned way: takes no new connection and finishes what is in flight."""
        if self.draining:
            await self.stopped.wait()
            return
        self.draining = True
        self.timeline.emit(DrainStarted("gate"))
        for site in list(self.runner.sites):
            await site.stop()
        await asyncio.sleep(LINGER_S)
        end_s = self.timers.get_time() + self.site.limits.drain_s
        while self.in_flight and self.timers.get_time() < end_s:
            await asyncio.sleep(0.05)
        in_flight = self.in_flight
        await self.close()
        self.timeline.emit(ProcessStopped("gate", self.incarnation, in_flight))
        self.stopped.set()

    async def close(self):
        """Ends the process's part at once."""
        self.timers.close()
        await self.server.close(abort=True)
        await self.runner.cleanup()
        await self.caller.close()
        await self.platform.close()


def make_retry(seconds: float) -> dict[str, str]:
    """Returns the header that tells a caller when to try again."""
    return {"Retry-After": str(max(1, math.ceil(seconds)))} if seconds > 0 else {}


def describe_job(item: ttypes.JobState) -> dict:
    """Returns the state of a job as it is shown to callers."""
    return {
        "job": item.job,
        "queue": item.queue,
        "kind": item.detail,
        "state": item.state,
        "tasks": item.tasks,
        "waiting": item.waiting,
        "running": item.running,
        "done": item.done,
        "failed": item.failed,
        "unknown": item.unknown,
    }


def describe_ticket(ticket: Ticket) -> TicketAccepted:
    """Returns the event of a ticket's acceptance, with the changes that the checker needs."""
    withdrawn = ",".join(key.digest[:KEY_SHOWN] for key in ticket.keys if key.removed)
    limits = ",".join(
        f"{team.name}={0 if team.removed else team.max_running}" for team in ticket.teams
    )
    return TicketAccepted(ticket.ticket, withdrawn, limits)


def describe_config(state: ConfigState) -> dict:
    """Returns the configuration in force, with keys by the beginning of their digest only."""
    shown: dict = {"ticket": state.number, "teams": [], "keys": [], "queues": [], "zones": []}
    for (section, name), entry in sorted(state.entries.items()):
        if entry.part.removed:
            continue
        item = entry.part.model_dump(exclude={"removed"})
        if section == "keys":
            item = {"key": name[:KEY_SHOWN], "team": entry.part.team}
        shown[section].append({**item, "set_by": entry.number})
    return shown
