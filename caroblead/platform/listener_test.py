"""Tests that a listener that closes cuts off no call that the kernel has accepted for it."""

import asyncio
import socket

from aiohttp import web

from .listener import Listener

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CALLERS = 20


async def answer(request: web.BaseRequest) -> web.Response:
    return web.Response(body=b"whole")


async def read_status(caller: socket.socket) -> bytes:
    """Returns the first line of the response, empty if the connection was reset."""
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return await reader.readline()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_calls_that_wait_to_be_accepted_when_the_listener_closes_are_answered():
    async def scenario() -> list[bytes]:
        listener = Listener(answer)
        await listener.start("127.0.0.1", 0)
        # The loop doesn't turn between these calls and the close.
        callers = [socket.create_connection(listener.address) for _ in range(CALLERS)]
        for caller in callers:
            caller.sendall(REQUEST)
        await listener.close(1.0)
        return [await read_status(caller) for caller in callers]

    assert asyncio.run(scenario()) == [b"HTTP/1.1 200 OK\r\n"] * CALLERS


def test_listener_that_is_closed_refuses_connections():
    async def scenario():
        listener = Listener(answer)
        await listener.start("127.0.0.1", 0)
        address = listener.address
        await listener.close(1.0)
        try:
            await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return True
        return False

    assert asyncio.run(scenario())
