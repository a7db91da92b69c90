"""RPC over TCP streams: each call has an id, a timeout and a typed error.

An answer is matched to its call by an id that is never reused on a connection, so an answer that
arrives late or out of order can't reach another caller. A connection on which a call timed out
while nothing at all was received is closed and replaced: a device on the network path may have
dropped its state for the connection, and only a new connection can show whether the peer is
reachable.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import eliot

from ..core.outcome import Fault, FaultError, Reason, Step
from ..core.timer import await_and_log_errors
from .frame import (
    MESSAGE_CLASSES,
    MESSAGE_KINDS,
    decode_message,
    encode_message,
    read_frame,
    write_frame,
)
from .gen import ttypes

CONNECT_TIMEOUT_S = 1.0
# A call that times out closes its connection only if nothing was received for at least this long,
# or for the whole timeout if that is shorter.
MIN_SILENCE_S = 1.5
WIRE_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, ConnectionError)


class CallError(FaultError):
    """A call got no answer; ``sent`` tells whether the peer may have received it."""

    def __init__(self, fault: Fault, sent: bool):
        super().__init__(fault)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Address:
    """The host and TCP port on which a program listens, and the node that it runs on."""

    node: str
    host: str
    port: int


class InjectedFaults:
    """Network partitions and frozen programs that failure tests inject; empty in production.

    ``cut_pairs`` holds the pairs of nodes between which messages are lost. ``frozen`` maps a
    program to the event that is set when the program resumes.
    """

    __slots__ = ("cut_pairs", "frozen")

    def __init__(self):
        self.cut_pairs: set[frozenset[str]] = set()
        self.frozen: dict[str, asyncio.Event] = {}

    def is_cut(self, left: str, right: str) -> bool:
        """Returns whether the link between two nodes is cut, so that messages are lost."""
        return bool(self.cut_pairs) and frozenset((left, right)) in self.cut_pairs

    async def wait_while_frozen(self, program: str):
        """Blocks for as long as the program is frozen."""
        resumed = self.frozen.get(program)
        if resumed is not None:
            await resumed.wait()


class Connection:
    """One TCP connection to a peer, with the pending calls by their id."""

    __slots__ = ("reader", "writer", "pending_calls", "task", "last_received_s", "closed")

    def __init__(self, reader, writer, now_s: float):
        self.reader = reader
        self.writer = writer
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.task = None
        self.last_received_s = now_s
        self.closed = False


class RpcClient:
    """RPC client: makes calls to peers and keeps one connection open to each."""

    def __init__(
        self, node: str, program: str, clock, injected_faults: InjectedFaults | None = None
    ):
        self.node = node
        self.program = program
        self.clock = clock
        self.injected_faults = injected_faults or InjectedFaults()
        self.connections: dict[Address, Connection] = {}
        self.dialing: dict[Address, asyncio.Task] = {}
        self.call_numbers = itertools.count(1)
        self.sent_bytes = 0

    async def call(self, address: Address, message, timeout_s: float, action: str = ""):
        """Sends a message and returns the answer, or raises :class:`CallError` by the timeout."""
        await self.injected_faults.wait_while_frozen(self.program)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = await self._get_connection(address, min(timeout_s, CONNECT_TIMEOUT_S))
        call_id = next(self.call_numbers)
        future = loop.create_future()
        connection.pending_calls[call_id] = future
        sent_s = loop.time()
        self._write(address, connection, call_id, message, timeout_s, action)
        try:
            return await asyncio.wait_for(future, max(deadline_s - loop.time(), 0.001))
        except TimeoutError:
            if connection.last_received_s < sent_s and loop.time() - sent_s >= min(
                MIN_SILENCE_S, timeout_s
            ):
                self._drop(address, connection)
            raise CallError(
                make_call_fault(address, "no answer before the timeout"), True
            ) from None
        finally:
            connection.pending_calls.pop(call_id, None)

    async def send(self, address: Address, message):
        """Sends a one-way message; it is lost without an error if no connection can be made."""
        await self.injected_faults.wait_while_frozen(self.program)
        try:
            connection = await self._get_connection(address, CONNECT_TIMEOUT_S)
            self._write(address, connection, 0, message, 0.0, "")
        except CallError:
            pass

    def _write(self, address, connection, call_id, message, timeout_s, action):
        envelope = ttypes.Envelope(
            call=call_id,
            kind=MESSAGE_KINDS[type(message)],
            clock=self.clock.advance(),
            budget_ms=int(timeout_s * 1000),
            body=encode_message(message),
            action=action or None,
        )
        if self.injected_faults.is_cut(self.node, address.node):
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
            # The waiting callers get the error. Reading it here as well keeps asyncio from logging
            # it as never retrieved when no caller waits any more.
            done.exception()

    async def _dial(self, address: Address) -> Connection:
        while self.injected_faults.is_cut(self.node, address.node):
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
                if self.injected_faults.is_cut(self.node, address.node):
                    continue
                connection.last_received_s = asyncio.get_running_loop().time()
                self.clock.observe(envelope.clock)
                future = connection.pending_calls.pop(envelope.call, None)
                if future is not None and not future.done():
                    future.set_result(decode_message(MESSAGE_CLASSES[envelope.kind], envelope.body))
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
        for future in connection.pending_calls.values():
            if not future.done():
                future.set_exception(CallError(make_call_fault(address, "connection lost"), True))
        connection.pending_calls.clear()

    async def close(self):
        """Closes every connection and cancels the attempts to connect."""
        for dialing in list(self.dialing.values()):
            dialing.cancel()
        for address, connection in list(self.connections.items()):
            self._drop(address, connection)
            connection.task.cancel()


def make_call_fault(address: Address, detail: str) -> Fault:
    """Returns the fault for a call that got no answer from a peer."""
    return Fault(Reason.PEER_LOST, Step.CALL, address.node, detail)


Handler = Callable[[object, ttypes.Envelope], Awaitable[object]]


class RpcServer:
    """RPC server: passes each message to the handler of its class and sends back the answer.

    A handler that returns ``None`` sends no answer.
    """

    def __init__(
        self,
        program: str,
        clock,
        handlers: dict[type, Handler],
        injected_faults: InjectedFaults | None = None,
    ):
        self.program = program
        self.injected_faults = injected_faults or InjectedFaults()
        self.clock = clock
        self.handlers = handlers
        self.server = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.sent_bytes = 0

    async def start(self, host: str, port: int):
        """Starts to listen; with port 0 the kernel chooses a free port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                envelope = await read_frame(reader)
                task = asyncio.create_task(await_and_log_errors(self._answer(envelope, writer)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except (*WIRE_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, envelope: ttypes.Envelope, writer):
        await self.injected_faults.wait_while_frozen(self.program)
        self.clock.observe(envelope.clock)
        message_class = MESSAGE_CLASSES.get(envelope.kind)
        handler = self.handlers.get(message_class)
        if handler is None:
            eliot.log_message("wire:unknown_message", kind=envelope.kind)
            return
        answer = await handler(decode_message(message_class, envelope.body), envelope)
        if envelope.call == 0 or answer is None or writer.is_closing():
            return
        reply = ttypes.Envelope(
            call=envelope.call,
            kind=MESSAGE_KINDS[type(answer)],
            clock=self.clock.advance(),
            budget_ms=0,
            body=encode_message(answer),
        )
        self.sent_bytes += write_frame(writer, reply)

    async def close(self, abort: bool = False):
        """Stops listening and closes all connections; ``abort`` also cancels running handlers."""
        if self.server:
            self.server.close()
        if abort:
            for task in list(self.tasks):
                task.cancel()
        for writer in list(self.writers):
            writer.close()
