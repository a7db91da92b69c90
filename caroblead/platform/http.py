"""HTTP client for all calls to the platform."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import orjson

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 60.0
CONNECTIONS_PER_HOST = 8
# A page of the store has at most 1 MB, a third more in base64; the lists of a VM may have several.
MAX_BODY_BYTES = 16 * 1024 * 1024
CLIENT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, asyncio.IncompleteReadError)


class CallFailedError(Exception):
    """A call that got no valid response.

    ``sent`` tells whether the request may have reached the platform and taken effect.
    """

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Reply:
    """Status, body and headers of an HTTP response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def retry_after(self) -> str:
        """The ``Retry-After`` of the response in seconds, or an empty string."""
        return self.headers.get("Retry-After", "")

    def decode(self) -> dict:
        """Returns the JSON object in the body.

        Raises :class:`CallFailedError` with ``sent`` set if the body is anything else.
        """
        try:
            value = orjson.loads(self.body)
        except ValueError as error:
            raise CallFailedError(f"the response is not valid JSON: {error}", True) from None
        if not isinstance(value, dict):
            raise CallFailedError("the response is not a JSON object", True)
        return value


class _BodyTooLargeError(Exception):
    """A response is larger than any that the platform sends."""


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise _BodyTooLargeError()
        chunks.append(chunk)
    return b"".join(chunks)


class HttpClient:
    """Sends calls over persistent connections.

    A connection whose call gets no response within its timeout is closed.
    """

    def __init__(
        self,
        connections_per_host: int = CONNECTIONS_PER_HOST,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        self.connect_timeout_s = connect_timeout_s
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=connections_per_host,
                keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
                use_dns_cache=False,
            ),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def call(
        self, method: str, url: str, timeout_s: float, body: bytes | None = None, headers=None
    ) -> Reply:
        """Sends a request and returns the reply, or raises :class:`CallFailedError`."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=self.connect_timeout_s)
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                return Reply(response.status, await _read_body(response), response.headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise CallFailedError(f"can't connect: {type(error).__name__}", False) from None
        except (*CLIENT_ERRORS, _BodyTooLargeError) as error:
            raise CallFailedError(f"no response: {type(error).__name__}", True) from None

    async def post(self, url: str, message: dict, timeout_s: float, headers=None) -> Reply:
        """Posts a message as JSON."""
        merged = {"Content-Type": "application/json", **(headers or {})}
        return await self.call("POST", url, timeout_s, orjson.dumps(message), merged)

    async def close(self):
        """Closes all connections."""
        await self.session.close()
