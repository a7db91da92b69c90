"""Passes callers' calls on to peers, over the callers' own protocol.

A call that carries a ``Via`` header was passed on once and isn't passed on again. It also carries
the version of the configuration at the sender; a peer whose copy is older doesn't decide it. The
answer carries the version at the peer, and the caller gets the answer as it is unless it denies
something by an older version. A call that changes something and may have reached a peer that didn't
answer is in doubt: it is never told that it had no effect.
"""

from collections.abc import Callable, Iterable, Mapping

from aiohttp import web

from ..core.clock import get_elapsed_s
from ..core.logsink import log_routine
from ..core.outcome import Fault, Reason, Step
from ..jobs.record import NodeRecord
from ..node.access import NOTHING_SEEN, AccessControl, SeenVersion
from ..node.answer import InDoubt
from ..node.relaychoice import RelayChoice
from ..node.requesthandler import ANSWER_MARGIN_S
from .http import CallFailedError, HttpClient, Reply

VIA_HEADER = "Via"
# The version of the configuration at the sender of a call that was passed on, or of its answer.
VERSION_HEADER = "Configuration-Version"
MAX_VERSION_DIGITS = 18
# A caller who waits for an answer gets none if there is less time left.
MIN_RELAY_S = 0.1
# A question about a job is asked again at little cost, so a silent peer is given up soon.
QUESTION_TIMEOUT_S = 0.4
COPIED_HEADERS = ("Host", "Authorization", "Content-Type")
REJECTED_STATUS = 503
# The answers that say that a queue, a key or a job isn't there, or that a limit is exceeded.
DENIAL_STATUSES = frozenset({401, 403, 404, 410, 413})


def read_version(headers: Mapping[str, str]) -> int | None:
    """Returns the version of the configuration that the headers of a message tell, if any."""
    text = headers.get(VERSION_HEADER, "")
    is_version = text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if is_version else None


def read_seen_version(request: web.BaseRequest) -> SeenVersion:
    """Returns the version of the peer that passed a call on."""
    if VIA_HEADER not in request.headers:
        return NOTHING_SEEN
    return SeenVersion(read_version(request.headers) or 0, get_elapsed_s())


class Relay:
    """The peers of a node as a way to serve calls that it can't serve itself.

    ``list_peers`` returns the nodes that are known, and ``port`` is where they serve callers.
    """

    def __init__(
        self,
        node: str,
        http: HttpClient,
        list_peers: Callable[[], Iterable[NodeRecord]],
        port: int,
        access: AccessControl,
    ):
        self.node = node
        self.http = http
        self.list_peers = list_peers
        self.port = port
        self.access = access
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
            version = read_version(reply.headers)
            log_routine(
                "call:passed_on",
                method=request.method,
                peer=peer.node,
                status=reply.status,
                own_version=self.access.view.version,
                peer_version=version,
            )
            if self._may_hand_out(reply, version, is_question):
                self.choice.note_success(peer)
                self.access.note_shown(version or 0)
                return _make_response(reply)
            self.choice.note_failure(peer, get_elapsed_s())
        return None

    def _may_hand_out(self, reply: Reply, version: int | None, is_question: bool) -> bool:
        """Returns whether the caller gets the answer of a peer.

        An answer that was decided by an older version than callers of this node have seen, or by an
        unknown one, is not handed out unless the call has had its effect.
        """
        if reply.status == REJECTED_STATUS:
            return False
        if version is not None and version >= self.access.get_min_version():
            return True
        return not is_question and reply.status not in DENIAL_STATUSES

    async def _send(
        self, peer: NodeRecord, request: web.BaseRequest, body: bytes, timeout_s: float
    ) -> Reply:
        headers = {
            name: request.headers[name] for name in COPIED_HEADERS if name in request.headers
        }
        headers["Deadline-Ms"] = str(int(timeout_s * 1000))
        headers[VIA_HEADER] = f"1.1 {self.node}"
        headers[VERSION_HEADER] = str(self.access.get_min_version())
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
