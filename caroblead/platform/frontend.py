"""HTTP server for callers, in the platform's protocol; passes calls to the request handler."""

import asyncio
import socket

import orjson
from aiohttp import web

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.outcome import Reason
from ..node.answer import Accepted, Admission, Cancelled, Counted, InDoubt, Rejected, Shown
from ..node.relaychoice import NODE_REASONS
from ..node.requesthandler import RequestHandler
from .jobs import decode_spec, encode_state
from .listener import Listener
from .relay import VERSION_HEADER, VIA_HEADER, Relay, read_seen_version

JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")
# Applies to calls without a valid Deadline-Ms header.
DEFAULT_TIME_BUDGET_S = 3.0
MAX_TIME_BUDGET_S = 300.0
STOP_TIMEOUT_S = 1.0
# How long a call whose wait for the log has ended may take until its answer is sent.
ANSWER_S = 0.02
STATUS_BY_REASON = {
    Reason.BAD_INPUT: 400,
    Reason.NO_KEY: 401,
    Reason.BAD_KEY: 401,
    Reason.NO_SUCH_QUEUE: 404,
    Reason.NO_SUCH_JOB: 410,
    Reason.TOO_LARGE: 413,
    Reason.QUEUE_FULL: 429,
}
IN_DOUBT_STATUS = 504
# By method, the statuses that say of a job that there is none or that it never will run.
DENIALS_BY_METHOD = {"POST": {429, 503}, "GET": {410}, "DELETE": {410}}
DEFAULT_REJECTION_STATUS = 503


class Frontend:
    """The HTTP server of a node for callers and for the load balancer.

    ``rejection_of_open_calls`` is the answer to the calls that are cancelled because the time for a
    planned stop is over.
    """

    def __init__(
        self, request_handler: RequestHandler, is_ready, metrics, relay: Relay | None = None
    ):
        self.request_handler = request_handler
        self.access = request_handler.access
        self.is_ready = is_ready
        self.metrics = metrics
        self.relay = relay
        self.caller_listener = Listener(self._serve_caller, "callers")
        self.listeners = [self.caller_listener]
        self.rejection_of_open_calls: Rejected | None = None

    @property
    def open_calls(self) -> int:
        """The number of callers' requests in progress."""
        return len(self.caller_listener.calls)

    @property
    def closing(self) -> bool:
        """Whether the connection of a caller is closed after each response."""
        return self.caller_listener.closing

    @closing.setter
    def closing(self, value: bool):
        self.caller_listener.closing = value

    async def start(
        self,
        caller_address: str,
        readiness_address: str,
        caller_socket: socket.socket | None = None,
    ):
        """Listens for callers and for the load balancer's readiness checks.

        Both addresses have the form ``host:port`` and may be the same. Callers are served through
        ``caller_socket`` if it is given, which listens at their address already. A port that is
        taken is opened as soon as it is free.
        """
        if caller_socket is None:
            await _start_at(self.caller_listener, caller_address)
        else:
            await self.caller_listener.start_on(caller_socket)
        if readiness_address != caller_address:
            listener = Listener(self._serve_readiness, "readiness")
            self.listeners.append(listener)
            await _start_at(listener, readiness_address)

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        is_ready = self.is_ready() and self.caller_listener.is_open
        return web.Response(status=200 if is_ready else 503)

    async def _serve_caller(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/api/readyz":
            return await self._serve_readiness(request)
        started_s = asyncio.get_running_loop().time()
        try:
            response = await self._answer(request)
        except asyncio.CancelledError:
            if self.rejection_of_open_calls is None:
                raise
            asyncio.current_task().uncancel()
            outcome = self._withhold_denial(request, self.rejection_of_open_calls)
            response = _make_response(outcome)
        except web.HTTPException as error:
            response = _make_error_response(error.status, error.reason)
        except Exception as error:
            log("call:failed", method=request.method, error=f"{type(error).__name__}: {error}")
            response = web.Response(status=500)
        took_s = asyncio.get_running_loop().time() - started_s
        self.metrics.record_call(request.method, response.status, took_s)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        deadline_s = get_elapsed_s() + _read_time_budget_s(request)
        host = request.headers.get("Host", "").split(":")[0]
        key, seen = _read_api_key(request), read_seen_version(request)
        outcome = await self.access.decide(host, request.path, key, seen)
        version = self.access.view.version
        if isinstance(outcome, Admission):
            outcome = await self._execute(request, outcome, deadline_s)
        if isinstance(outcome, Rejected):
            # The whole request is read before it is rejected.
            body = await request.read()
            if self.relay is not None and outcome.fault.reason in NODE_REASONS:
                outcome = await self._pass_on(request, body, deadline_s) or outcome
        outcome = self._withhold_denial(request, outcome)
        response = _make_response(outcome)
        if VIA_HEADER in request.headers:
            response.headers[VERSION_HEADER] = str(version)
        return response

    async def _pass_on(self, request: web.BaseRequest, body: bytes, deadline_s: float):
        """Returns what came of passing a call on, or ``None`` if it certainly had no effect."""
        started_s = get_elapsed_s()
        try:
            outcome = await self.relay.pass_on(request, body, deadline_s)
        except asyncio.CancelledError:
            if self.rejection_of_open_calls is None or request.method == "GET":
                raise
            # The time for a planned stop is over, and the peer may have executed the call.
            asyncio.current_task().uncancel()
            return self.relay.make_doubt("the node stops before a peer has answered")
        self.metrics.record_span("call_passed_on", get_elapsed_s() - started_s)
        return outcome

    def _withhold_denial(self, request: web.BaseRequest, outcome):
        """Returns the outcome of a call, but no denial of a job that may still be stored.

        A peer, or a copy of the log that was read to its end, doesn't know what this node has sent.
        """
        handler, job_id = self.request_handler, request.path[-JOB_ID_LENGTH:]
        status = _get_status(outcome)
        if status == IN_DOUBT_STATUS and request.method == "POST":
            handler.note_unsettled(job_id)
        if status not in DENIALS_BY_METHOD.get(request.method, ()):
            return outcome
        if not handler.is_unsettled(job_id):
            return outcome
        log("job:denial_withheld", method=request.method, job=job_id)
        return handler.answer_unsettled(is_question=request.method == "GET")

    async def _execute(self, request: web.BaseRequest, admission: Admission, deadline_s: float):
        """Returns the outcome of an admitted call, or the response to one that is malformed."""
        handler = self.request_handler
        job_id = request.path[len(admission.queue.path) :]
        if request.method == "GET" and not job_id:
            return await handler.count(admission.queue)
        if len(job_id) != JOB_ID_LENGTH or not HEX_DIGITS.issuperset(job_id.lower()):
            return _make_error_response(400, "the job id must consist of 16 hexadecimal digits")
        if request.method == "GET":
            return await handler.show(job_id, admission.team)
        if request.method == "DELETE":
            return await handler.cancel(job_id, deadline_s - get_elapsed_s(), admission.team)
        if request.method == "POST":
            return await self._submit(request, admission, job_id, deadline_s)
        return _make_error_response(405, "the method must be POST, GET or DELETE")

    async def _submit(self, request, admission, job_id: str, deadline_s: float):
        body = await request.read()
        too_large = self.access.check_size(len(body))
        if too_large is not None:
            return too_large
        try:
            spec = decode_spec(body)
        except ValueError as error:
            return _make_error_response(400, str(error))
        budget_s = deadline_s - get_elapsed_s()
        return await self.request_handler.submit(admission, job_id, spec, budget_s)

    async def stop_listening(self, timeout_s: float = STOP_TIMEOUT_S):
        """Stops accepting connections, and closes each one once its call is answered.

        After half of ``timeout_s`` seconds, the calls in progress are answered with what is known
        about them. Connections that can't be closed within ``timeout_s`` are aborted.
        """
        for listener in self.listeners:
            await listener.stop_accepting()
        if not await self._close_when_idle(timeout_s / 2):
            await self._give_up()
            await self._close_when_idle(timeout_s / 2)
        for listener in self.listeners:
            await listener.abort()

    async def _close_when_idle(self, timeout_s: float) -> bool:
        closings = [listener.close_when_idle(timeout_s) for listener in self.listeners]
        return all(await asyncio.gather(*closings))

    async def _give_up(self):
        """Ends the waits of the calls in progress: first for the log, then all others."""
        log("node:gives_up", open_calls=self.open_calls)
        self.rejection_of_open_calls = self.request_handler.give_up()
        await asyncio.sleep(ANSWER_S)
        self.caller_listener.cancel_calls()


async def _start_at(listener: Listener, address: str):
    host, port = address.rsplit(":", 1)
    await listener.start(host, int(port))


def _read_api_key(request: web.BaseRequest) -> str | None:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme == "Bearer" else None


def _read_time_budget_s(request: web.BaseRequest) -> float:
    """Returns how long the caller waits for the response, in seconds."""
    try:
        budget_s = float(request.headers.get("Deadline-Ms", "")) / 1000
    except ValueError:
        return DEFAULT_TIME_BUDGET_S
    return budget_s if 0 <= budget_s <= MAX_TIME_BUDGET_S else DEFAULT_TIME_BUDGET_S


def _make_response(outcome) -> web.Response:
    if isinstance(outcome, web.Response):
        return outcome
    if isinstance(outcome, Accepted | Cancelled):
        return _make_json_response(200, b"{}")
    if isinstance(outcome, Shown):
        return _make_json_response(200, encode_state(outcome.state))
    if isinstance(outcome, Counted):
        return _make_json_response(200, orjson.dumps({"waiting": outcome.waiting}))
    if isinstance(outcome, InDoubt):
        return _make_error_response(IN_DOUBT_STATUS, outcome.fault.detail)
    return _make_rejection_response(outcome)


def _get_status(outcome) -> int:
    """Returns the status of a peer's answer or of an outcome that isn't a success, else 0."""
    if isinstance(outcome, web.Response):
        return outcome.status
    if isinstance(outcome, InDoubt):
        return IN_DOUBT_STATUS
    if isinstance(outcome, Rejected):
        return STATUS_BY_REASON.get(outcome.fault.reason, DEFAULT_REJECTION_STATUS)
    return 0


def _make_rejection_response(rejected: Rejected) -> web.Response:
    fault = rejected.fault
    response = _make_error_response(_get_status(rejected), fault.detail)
    if fault.retry_after_s:
        response.headers["Retry-After"] = str(max(1, round(fault.retry_after_s)))
    return response


def _make_error_response(status: int, detail: str) -> web.Response:
    return _make_json_response(status, orjson.dumps({"error": detail}))


def _make_json_response(status: int, body: bytes) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/json")
