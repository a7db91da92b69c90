"""The gate program: its HTTP routes and the responses to calls that are refused or fail."""

from functools import partial

import eliot
from aiohttp import web

from ..core.outcome import Reason, Step
from ..events.event import ProcessStarted
from .access import RefusalError, make_error_response, make_fault
from .message import UNKNOWN_STATUS, describe_fault
from .operation import (
    check_new_ticket,
    publish_ticket,
    show_config,
    show_metrics,
    show_status,
    start_drain,
)
from .process import GateProcess
from .work import cancel_job, handle_job, handle_request, list_jobs


class Gate(GateProcess):
    """One gate process."""

    async def start(self):
        """Starts the servers for peers and callers and the polling of the configuration."""
        await self.server.start(self.settings.host, self.settings.gate_port)
        self.timeline.emit(ProcessStarted("gate", self.incarnation))
        self.timers.subscribe(self.site.limits.ticket_poll_s, self.follower.poll, immediately=True)
        self.runner = web.AppRunner(self._make_app(), access_log=None, handler_cancellation=False)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.settings.host, self.settings.http_port)
        await site.start()
        self.http_port = site._server.sockets[0].getsockname()[1]

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self.limits.max_body_bytes, middlewares=[self._handle_errors]
        )
        for method, path, handler in (
            ("POST", "/v1/queues/{queue}/requests", handle_request),
            ("POST", "/v1/queues/{queue}/jobs", handle_job),
            ("GET", "/v1/jobs", list_jobs),
            ("GET", "/v1/jobs/{job}", list_jobs),
            ("DELETE", "/v1/jobs/{job}", cancel_job),
            ("POST", "/v1/tickets", publish_ticket),
            ("POST", "/v1/tickets/check", check_new_ticket),
            ("GET", "/v1/config", show_config),
            ("GET", "/v1/status", show_status),
            ("POST", "/v1/drain", start_drain),
            ("GET", "/metrics", show_metrics),
        ):
            app.router.add_route(method, path, partial(handler, self))
        return app

    @web.middleware
    async def _handle_errors(self, request: web.Request, handler):
        try:
            return await handler(request)
        except RefusalError as refusal:
            return make_error_response(self, refusal.faults)
        except web.HTTPRequestEntityTooLarge:
            limit_bytes = self.site.limits.max_body_bytes
            fault = make_fault(
                self, Reason.TOO_LARGE, Step.READ_INPUT, f"the body exceeds {limit_bytes} bytes"
            )
            return make_error_response(self, [fault])
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
