"""A loopback TCP proxy that can delay, drop or reset the traffic that passes through it."""

import asyncio
import enum
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536


class ForwardingMode(enum.StrEnum):
    """How the proxy treats the bytes of a connection.

    ``OPEN`` forwards them, ``SILENT`` drops them in both directions, and ``MUTE`` drops only those
    from the target, so that requests are executed but their responses are lost.
    """

    OPEN = "open"
    SILENT = "silent"
    MUTE = "mute"


@dataclass(slots=True, eq=False)
class Channel:
    """One connection through the proxy; an impairment of it lasts until it is closed."""

    transports: list[asyncio.Transport]
    mode: ForwardingMode


@dataclass(slots=True, eq=False)
class Proxy:
    """Forwards connections to a target address.

    ``mode`` applies to new connections and ``delay_s`` to all data sent from now on. A connection
    that was open while the proxy dropped traffic stays impaired, like a connection whose peer has
    vanished behind a network partition.
    """

    host: str
    port: int
    address: str = ""
    mode: ForwardingMode = ForwardingMode.OPEN
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

    def impair(self, mode: ForwardingMode):
        """Drops traffic of open connections permanently, and of new ones until :meth:`heal`.

        ``mode`` says in which directions.
        """
        self.mode = mode
        for channel in self.channels:
            channel.mode = mode

    def heal(self):
        """Lets new connections work again and ends the delay."""
        self.mode, self.delay_s = ForwardingMode.OPEN, 0.0

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
        channel = Channel([writer.transport, target_writer.transport], self.mode)
        self.channels.add(channel)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, channel, ForwardingMode.SILENT)),
            asyncio.create_task(
                self._pump(
                    target_reader, writer, channel, ForwardingMode.SILENT, ForwardingMode.MUTE
                )
            ),
        ]
        self.tasks.update(pumps)
        await asyncio.gather(*pumps, return_exceptions=True)
        self.tasks.difference_update(pumps)
        self.channels.discard(channel)
        for transport in channel.transports:
            transport.abort()

    async def _pump(self, reader, writer, channel: Channel, *dropped: ForwardingMode):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if channel.mode not in dropped:
                writer.write(data)
                await writer.drain()
        writer.close()
