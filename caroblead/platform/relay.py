"""Passes callers' calls on to peers, over the callers' own protocol.

A call that carries a ``Via`` header was passed on once and isn't passed on again. The caller gets
the answer of the peer as it is. A call that changes something and may have reached a peer that
didn't answer is in doubt: it is never told that it had no effect.
"""

from collections.abc import Callable, Iterable

from aiohttp import web

from ..core.clock import get_elapsed_s
from ..core.logsink import log_routine
from ..core.outcome import Fault, Reason, Step
from ..jobs.record import NodeRecord
from ..node.answer import InDoubt
from ..node.relaychoice import RelayChoice
from ..node.requesthandler import ANSWER_MARGIN_S
from .http import CallFailedError, HttpClient, Reply

VIA_HEADER = "Via"
# In the answer to a call that was passed on: the version of the configuration at the peer.
VERSION_HEADER = "Configuration-Version"
# A caller who waits for an answer gets none if there is less time left.
MIN_RELAY_S = 0.1
# A question about a job is asked again at little cost, so a silent peer is given up soon.
QUESTION_TIMEOUT_S = 0.4
COPIED_HEADERS = ("Host", "Authorization", "Content-Type")
REJECTED_STATUS = 503


class Relay:
    """The peers of a node as a way to serve calls that it can't serve itself.

    ``list_peers`` returns the nodes that are known, and ``port`` is where they serve callers.
    ``get_version`` returns the version of this node's configuration.
    """

    def __init__(
        self,
        node: str,
        http: HttpClient,
        list_peers: Callable[[], Iterable[NodeRecord]],
        port: int,
        get_version: Callable[[], int] = lambda: 0,
    ):
        self.node = node
        self.get_version = get_version
        self.http = http
        self.list_peers = list_peers
        self.port = port
        self.choice = RelayChoice(node)

    async def pass_on(
        self, request: web.BaseRequest, body: bytes, deadline_s: float
    ) -> web.Response | InDoubt | None:
        """Returns a peer's answer to a call, or ``None`` if the call certainly had no effect.

        The caller waits for the answer until ``deadline_s``, in elapsed time.
        """
        if VIA_HEADER in request.headers:
            return None
        peers = self.choice.choose(list(self.list_peers()), request.path, get_elapsed_s())
        for peer in peers:
            left_s = deadline_s - ANSWER_MARGIN_S - get_elapsed_s()
            if left_s < MIN_RELAY_S:
                return None
            is_question = request.method == "GET"
            timeout_s = min(left_s, QUESTION_TIMEOUT_S) if is_question else left_s
            try:
                reply = await self._send(peer, request, body, timeout_s)
            except CallFailedError as error:
                self.choice.note_failure(peer, get_elapsed_s())
                if error.sent and not is_question:
                    return self.make_doubt(f"{peer.node} did not answer in time: {error}")
                continue
            log_routine(
                "call:passed_on",
                method=request.method,
                peer=peer.node,
                status=reply.status,
                own_version=self.get_version(),
                peer_version=reply.headers.get(VERSION_HEADER),
            )
            if reply.status != REJECTED_STATUS:
                return _make_response(reply)
            self.choice.note_failure(peer, get_elapsed_s())
        return None

    async def _send(
        self, peer: NodeRecord, request: web.BaseRequest, body: bytes, timeout_s: float
    ) -> Reply:
        headers = {
            name: request.headers[name] for name in COPIED_HEADERS if name in request.headers
        }
        headers["Deadline-Ms"] = str(int(timeout_s * 1000))
        headers[VIA_HEADER] = f"1.1 {self.node}"
        url = f"http://{peer.host}:{self.port}{request.raw_path}"
        return await self.http.call(request.method, url, timeout_s, body, headers)

    def make_doubt(self, detail: str) -> InDoubt:
        """Returns the outcome of a call that a peer may have executed or may still execute."""
        return InDoubt(Fault(Reason.LOG_DOWN, Step.ROUTE, self.node, detail))


def _make_response(reply: Reply) -> web.Response:
    response = web.Response(status=reply.status, body=reply.body, content_type="application/json")
    if reply.retry_after:
        response.headers["Retry-After"] = reply.retry_after
    return response
