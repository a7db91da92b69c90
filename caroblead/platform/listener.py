"""HTTP server that stops without cutting off a request that it has read.

The HTTP library's own shutdown drops what arrives on every open connection, also the rest of a
request whose first part was read, and may wait for a connection that it accepted a moment before.
A listener closes a connection only after it has stopped reading from it and no call is in progress
on it, and the port only after it has taken over the connections that wait there.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..core.clock import get_elapsed_s
from ..core.port import open_port
from .earlysocket import BACKLOG

# After this many turns of the event loop, an accepted connection is known to the server, and the
# handler of a request that was read has begun.
TURNS_UNTIL_BEGUN = 4
CLOSE_INTERVAL_S = 0.01
# How long the HTTP library may take to abort the connections that could not be closed in time.
ABORT_TIMEOUT_S = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class Listener:
    """Serves HTTP requests at one address.

    ``calls`` maps each connection on which a call is in progress to the task of the call. While
    ``closing`` is set, each connection is closed after the response to the last request read on it.
    ``purpose`` names the listener in the log.
    """

    def __init__(self, handler: Handler, purpose: str = ""):
        self.purpose = purpose
        self.opening: asyncio.Task | None = None
        self.sockets: list[socket.socket] = []
        self.handler = handler
        self.server = web.Server(self._serve, access_log=None)
        self.runner = web.ServerRunner(self.server, shutdown_timeout=ABORT_TIMEOUT_S)
        self.calls: dict[RequestHandler, asyncio.Task] = {}
        self.closing = False

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the listener accepts connections."""
        return self.runner.addresses[0][:2]

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return bool(self.runner.sites)

    async def start(self, host: str, port: int):
        """Starts to accept connections, or does so later if the port is taken."""
        await self.runner.setup()
        self.opening = await open_port(lambda: self._listen(host, port), self.purpose)

    async def _listen(self, host: str, port: int):
        await self._serve_socket(socket.create_server((host, port), backlog=BACKLOG))

    async def start_on(self, listening: socket.socket):
        """Starts to accept the connections of a socket, also those that wait there already."""
        await self.runner.setup()
        await self._serve_socket(listening)

    async def _serve_socket(self, listening: socket.socket):
        self.sockets.append(listening)
        await web.SockSite(self.runner, listening, backlog=BACKLOG).start()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        connection = request.protocol
        self.calls[connection] = asyncio.current_task()
        try:
            response = await self.handler(request)
        finally:
            del self.calls[connection]
        if self.closing and not _has_read_more(connection):
            response.force_close()
        return response

    async def stop_accepting(self):
        """Refuses new connections; those that the kernel has accepted are served."""
        self.closing = True
        if self.opening is not None:
            self.opening.cancel()
        waiting = _accept_waiting(self.sockets)
        for site in self.runner.sites:
            await site.stop()
        for connection in waiting:
            await asyncio.get_running_loop().connect_accepted_socket(self.server, connection)
        await _wait_until_begun()

    async def close_when_idle(self, timeout_s: float) -> bool:
        """Closes each connection once it has no call in progress and its responses are sent.

        Returns false if that takes longer than ``timeout_s`` seconds.
        """
        deadline_s = get_elapsed_s() + timeout_s
        while True:
            await self._close_idle()
            if not self.server.connections:
                return True
            if get_elapsed_s() >= deadline_s:
                return False
            await asyncio.sleep(CLOSE_INTERVAL_S)

    async def _close_idle(self):
        idle = self._pause_idle()
        await _wait_until_begun()
        for connection, transport in idle:
            if connection in self.calls:
                transport.resume_reading()
            else:
                connection.force_close()

    def _pause_idle(self) -> list[tuple[RequestHandler, asyncio.Transport]]:
        """Stops reading from all connections without a call in progress, and returns them."""
        idle = [
            (connection, connection.transport)
            for connection in self.server.connections
            if connection not in self.calls and connection.transport is not None
        ]
        for _, transport in idle:
            transport.pause_reading()
        return idle

    def cancel_calls(self):
        """Cancels the tasks of all calls in progress."""
        for task in self.calls.values():
            task.cancel()

    async def abort(self):
        """Closes the remaining connections at once."""
        await self.runner.cleanup()

    async def close(self, timeout_s: float):
        """Stops, and aborts the connections that can't be closed within ``timeout_s`` seconds."""
        await self.stop_accepting()
        await self.close_when_idle(timeout_s)
        await self.abort()


def _has_read_more(connection: RequestHandler) -> bool:
    """Returns whether further requests were read on a connection, whose caller pipelines them.

    The library has no public name for the queue of these requests.
    """
    return bool(connection._messages)


def _accept_waiting(sockets: list[socket.socket]) -> list[socket.socket]:
    """Returns the connections in the queues of sockets, which would be reset with them."""
    accepted = []
    for listening in sockets:
        with contextlib.suppress(OSError):
            while True:
                accepted.append(listening.accept()[0])
    for connection in accepted:
        connection.setblocking(False)
    return accepted


async def _wait_until_begun():
    for _ in range(TURNS_UNTIL_BEGUN):
        await asyncio.sleep(0)
