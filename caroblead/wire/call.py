"""Calls over streams: each has an id, a deadline and a typed failure.

An answer is matched to its call by an id that is never used twice on a connection, so an answer
that comes late or crossed can't reach another caller. A connection on which a call ran out of time
while nothing at all came back is closed and replaced: something between the two ends may have lost
track of it, and only a new connection can tell.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import eliot

from ..core.outcome import Fault, FaultError, Reason, Step
from ..core.timer import guard
from .frame import KIND_NUMBERS, MESSAGES, decode_message, encode_message, read_frame, write_frame
from .gen import ttypes

CONNECT_TIMEOUT_S = 1.0
SILENCE_S = 1.5
WIRE_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, ConnectionError)


class CallError(FaultError):
    """A call without an answer; ``sent`` tells whether the peer may have seen it."""

    def __init__(self, fault: Fault, sent: bool):
        super().__init__(fault)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Address:
    """Where a program listens, and the node that it runs on."""

    node: str
    host: str
    port: int


class LinkSwitch:
    """Which links carry nothing and which programs stand still; empty but in failure tests."""

    __slots__ = ("cut_pairs", "frozen")

    def __init__(self):
        self.cut_pairs: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}

    def is_cut(self, left: str, right: str) -> bool:
        """Returns whether nothing gets through between two nodes."""
        return bool(self.cut_pairs) and frozenset((left, right)) in self.cut_pairs

    async def wait_while_frozen(self, program: str):
        """Stands still for as long as the program is frozen."""
        thawed = self.frozen.get(program)
        if thawed is not None:
            await thawed.wait()


class Connection:
    """One stream to a peer with the calls that wait on it."""

    __slots__ = ("reader", "writer", "waiting", "task", "heard_s", "closed")

    def __init__(self, reader, writer, now_s: float):
        self.reader = reader
        self.writer = writer
        self.waiting: dict[int, asyncio.Future] = {}
        self.task = None
        self.heard_s = now_s
        self.closed = False


class Caller:
    """Makes calls to peers and keeps one connection to each."""

    def __init__(self, node: str, program: str, clock, links: LinkSwitch | None = None):
        self.node = node
        self.program = program
        self.clock = clock
        self.links = links or LinkSwitch()
        self.connections: dict[Address, Connection] = {}
        self.dialing: dict[Address, asyncio.Task] = {}
        self.call_numbers = itertools.count(1)
        self.sent_bytes = 0

    async def call(self, address: Address, message, timeout_s: float, action: str = ""):
        """Sends a message and returns the answer, or raises :class:`CallError` in time."""
        await self.links.wait_while_frozen(self.program)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        connection = await self._get_connection(address, min(timeout_s, CONNECT_TIMEOUT_S))
        number = next(self.call_numbers)
        future = loop.create_future()
        connection.waiting[number] = future
        sent_s = loop.time()
        self._write(address, connection, number, message, timeout_s, action)
        try:
            return await asyncio.wait_for(future, max(end_s - loop.time(), 0.001))
        except TimeoutError:
            if connection.heard_s < sent_s and loop.time() - sent_s >= min(SILENCE_S, timeout_s):
                self._drop(address, connection)
            raise CallError(make_call_fault(address, "no answer in time"), True) from None
        finally:
            connection.waiting.pop(number, None)

    async def send(self, address: Address, message):
        """Sends a message that has no answer; failures are the receiver's loss."""
        await self.links.wait_while_frozen(self.program)
        try:
            connection = await self._get_connection(address, CONNECT_TIMEOUT_S)
            self._write(address, connection, 0, message, 0.0, "")
        except CallError:
            pass

    def _write(self, address, connection, number, message, timeout_s, action):
        envelope = ttypes.Envelope(
            call=number,
            kind=KIND_NUMBERS[type(message)],
            clock=self.clock.advance(),
            budget_ms=int(timeout_s * 1000),
            body=encode_message(message),
            action=action or None,
        )
        if self.links.is_cut(self.node, address.node):
            return
        self.sent_bytes += write_frame(connection.writer, envelope)

    async def _get_connection(self, address: Address, timeout_s: float) -> Connection:
        connection = self.connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        dialing = self.dialing.get(address)
        if dialing is None:
            dialing = asyncio.create_task(self._dial(address))
            self.dialing[address] = dialing
            dialing.add_done_callback(lambda done: self._forget_dial(address, done))
        try:
            return await asyncio.wait_for(asyncio.shield(dialing), timeout_s)
        except (TimeoutError, *WIRE_ERRORS) as error:
            detail = f"can't connect: {type(error).__name__}"
            raise CallError(make_call_fault(address, detail), False) from None

    def _forget_dial(self, address: Address, done: asyncio.Task):
        self.dialing.pop(address, None)
        if not done.cancelled():
            # Whoever waits gets the error; reading it here keeps it from being reported as lost.
            done.exception()

    async def _dial(self, address: Address) -> Connection:
        while self.links.is_cut(self.node, address.node):
            await asyncio.sleep(0.2)
        dial = asyncio.open_connection(address.host, address.port)
        reader, writer = await asyncio.wait_for(dial, CONNECT_TIMEOUT_S)
        connection = Connection(reader, writer, asyncio.get_running_loop().time())
        self.connections[address] = connection
        connection.task = asyncio.create_task(self._read_answers(address, connection))
        return connection

    async def _read_answers(self, address: Address, connection: Connection):
        try:
            while True:
                envelope = await read_frame(connection.reader)
                if self.links.is_cut(self.node, address.node):
                    continue
                connection.heard_s = asyncio.get_running_loop().time()
                self.clock.observe(envelope.clock)
                future = connection.waiting.pop(envelope.call, None)
                if future is not None and not future.done():
                    future.set_result(decode_message(MESSAGES[envelope.kind], envelope.body))
        except WIRE_ERRORS:
            pass
        finally:
            self._drop(address, connection)

    def _drop(self, address: Address, connection: Connection):
        if connection.closed:
            return
        connection.closed = True
        if self.connections.get(address) is connection:
            del self.connections[address]
        connection.writer.close()
        for future in connection.waiting.values():
            if not future.done():
                future.set_exception(CallError(make_call_fault(address, "connection lost"), True))
        connection.waiting.clear()

    async def close(self):
        """Closes every connection."""
        for dialing in list(self.dialing.values()):
            dialing.cancel()
        for address, connection in list(self.connections.items()):
            self._drop(address, connection)
            connection.task.cancel()


def make_call_fault(address: Address, detail: str) -> Fault:
    """Returns the fault of a call that got no answer from a peer."""
    return Fault(Reason.PEER_LOST, Step.CALL, address.node, detail)


Handler = Callable[[object, ttypes.Envelope], Awaitable[object]]


class WireServer:
    """Answers calls with the handler of each message class."""

    def __init__(
        self,
        program: str,
        clock,
        handlers: dict[type, Handler],
        links: LinkSwitch | None = None,
    ):
        self.program = program
        self.links = links or LinkSwitch()
        self.clock = clock
        self.handlers = handlers
        self.server = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.sent_bytes = 0

    async def start(self, host: str, port: int):
        """Listens; with port 0 the kernel chooses one."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                envelope = await read_frame(reader)
                task = asyncio.create_task(guard(self._answer(envelope, writer)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except (*WIRE_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, envelope: ttypes.Envelope, writer):
        await self.links.wait_while_frozen(self.program)
        self.clock.observe(envelope.clock)
        message_class = MESSAGES.get(envelope.kind)
        handler = self.handlers.get(message_class)
        if handler is None:
            eliot.log_message("wire:unknown_message", kind=envelope.kind)
            return
        answer = await handler(decode_message(message_class, envelope.body), envelope)
        if envelope.call == 0 or answer is None or writer.is_closing():
            return
        reply = ttypes.Envelope(
            call=envelope.call,
            kind=KIND_NUMBERS[type(answer)],
            clock=self.clock.advance(),
            budget_ms=0,
            body=encode_message(answer),
        )
        self.sent_bytes += write_frame(writer, reply)

    async def close(self, abort: bool = False):
        """Stops listening and closes the streams; aborting also drops running handlers."""
        if self.server:
            self.server.close()
        if abort:
            for task in list(self.tasks):
                task.cancel()
        for writer in list(self.writers):
            writer.close()
