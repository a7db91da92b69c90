"""A loopback TCP proxy that delays, silences or resets the connections that go through it."""

import asyncio
import enum
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536


class Way(enum.StrEnum):
    """What becomes of the bytes of a connection.

    ``SILENT`` drops them both ways and ``MUTE`` only those that come back, so that requests are
    carried out and not answered.
    """

    OPEN = "open"
    SILENT = "silent"
    MUTE = "mute"


@dataclass(slots=True, eq=False)
class Channel:
    """One connection through the proxy; what it was spoiled to, it stays."""

    transports: list[asyncio.Transport]
    way: Way


@dataclass(slots=True, eq=False)
class Proxy:
    """Passes connections on to a target.

    ``way`` and ``delay_s`` hold for what is sent from now on; a connection that was open while the
    way was spoiled stays spoiled, as one does whose peer has vanished behind a cut.
    """

    host: str
    port: int
    address: str = ""
    way: Way = Way.OPEN
    delay_s: float = 0.0
    channels: set[Channel] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self):
        """Listens on a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Stops listening and drops all connections."""
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def spoil(self, way: Way):
        """Silences open and new connections until :meth:`heal`."""
        self.way = way
        for channel in self.channels:
            channel.way = way

    def heal(self):
        """Lets new connections work again."""
        self.way, self.delay_s = Way.OPEN, 0.0

    def reset(self):
        """Resets all open connections."""
        for channel in list(self.channels):
            for transport in channel.transports:
                transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            target_reader, target_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        channel = Channel([writer.transport, target_writer.transport], self.way)
        self.channels.add(channel)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, channel, Way.SILENT)),
            asyncio.create_task(self._pump(target_reader, writer, channel, Way.SILENT, Way.MUTE)),
        ]
        self.tasks.update(pumps)
        await asyncio.gather(*pumps, return_exceptions=True)
        self.tasks.difference_update(pumps)
        self.channels.discard(channel)
        for transport in channel.transports:
            transport.abort()

    async def _pump(self, reader, writer, channel: Channel, *dropped: Way):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if channel.way not in dropped:
                writer.write(data)
                await writer.drain()
        writer.close()
