"""The gate program: its HTTP routes, what it hears of peers, and its planned stop."""

import asyncio
from functools import partial

import eliot
from aiohttp import web

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import encode_state
from ..core.outcome import Reason, Step
from ..events.event import DrainStarted, ProcessStarted, ProcessStopped
from ..events.timeline import Timeline
from ..fleet.membership import Member, hear_digest, list_owned
from ..fleet.process import NodeProcess
from ..wire.call import Address, WireServer
from ..wire.gen import ttypes
from .access import RefusalError, make_fault, refuse
from .message import UNKNOWN_STATUS, describe_fault
from .metric import Metrics
from .operation import (
    check_new_ticket,
    order_drain,
    publish_ticket,
    show_config,
    show_metrics,
    show_status,
)
from .route import Router
from .work import cancel_job, list_jobs, take_job, take_request

# How long a connection attempt may still arrive after the gate said that it is leaving.
LINGER_S = 0.3


class Gate(NodeProcess):
    """One gate process."""

    def __init__(
        self, site: SiteSettings, settings: NodeSettings, timeline: Timeline, links=None, seed=0
    ):
        super().__init__("gate", site, settings, timeline, links, seed)
        self.router = Router(settings.node, settings.zone, self.caller, self.members, seed)
        self.metrics = Metrics()
        handlers = {ttypes.Digest: self._hear_digest, ttypes.FetchConfig: self._fetch_config}
        self.server = WireServer(self.program, timeline.clock, handlers, self.links)
        self.runner: web.AppRunner | None = None
        self.http_port = 0
        self.in_flight = 0
        self.sequence = 0
        self.draining = False
        self.stopped = asyncio.Event()

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
            client_max_size=self.limits.max_body_bytes, middlewares=[self._answer_refusals]
        )
        for method, path, handler in (
            ("POST", "/v1/queues/{queue}/requests", take_request),
            ("POST", "/v1/queues/{queue}/jobs", take_job),
            ("GET", "/v1/jobs", list_jobs),
            ("GET", "/v1/jobs/{job}", list_jobs),
            ("DELETE", "/v1/jobs/{job}", cancel_job),
            ("POST", "/v1/tickets", publish_ticket),
            ("POST", "/v1/tickets/check", check_new_ticket),
            ("GET", "/v1/config", show_config),
            ("GET", "/v1/status", show_status),
            ("POST", "/v1/drain", order_drain),
            ("GET", "/metrics", show_metrics),
        ):
            app.router.add_route(method, path, partial(handler, self))
        return app

    @web.middleware
    async def _answer_refusals(self, request: web.Request, handler):
        try:
            return await handler(request)
        except RefusalError as refusal:
            return refuse(self, refusal.faults)
        except web.HTTPRequestEntityTooLarge:
            most = self.site.limits.max_body_bytes
            fault = make_fault(
                self, Reason.TOO_LARGE, Step.READ_INPUT, f"the body is over {most} bytes"
            )
            return refuse(self, [fault])
        except web.HTTPException as error:
            fault = make_fault(self, Reason.BAD_INPUT, Step.READ_INPUT, error.reason)
            return web.json_response(
                {"outcome": "not_run", "error": describe_fault(fault)}, status=error.status
            )
        except Exception as error:
            eliot.write_traceback()
            fault = make_fault(self, Reason.INTERNAL, Step.ROUTE, type(error).__name__)
            return web.json_response(
                {"outcome": "unknown", "error": describe_fault(fault)}, status=UNKNOWN_STATUS
            )

    def list_owned(self) -> dict[str, Member]:
        """Returns the owner of every shard that has one."""
        return list_owned(self.members, self.timers.get_time())

    async def tell_everyone(self):
        """Tells every placer and gate at once which ticket is in force here."""
        digest = self.make_digest((self.settings.placer_port, self.server.port))
        sends = []
        for member in list(self.members.table.values()):
            sends.append(self.caller.send(member.placer, digest))
            if member.node != self.settings.node:
                sends.append(self.caller.send(member.gate, digest))
        await asyncio.gather(*sends)

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
        await self.close_links()
