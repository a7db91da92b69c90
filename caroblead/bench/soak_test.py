"""Tests a short run of the soak test, and that its proxy silences and resets connections."""

import asyncio

from ..standin.proxy import ForwardingMode, Proxy
from .soak import run_soak

SEED = 22


def test_short_soak_keeps_every_promise(tmp_path):
    soak, problems = asyncio.run(run_soak(SEED, tmp_path))
    assert problems == [], soak.faults
    assert len(soak.faults) >= 3
    assert len(soak.caller_records.accepted) > 30


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def ask(reader, writer) -> bytes:
    """Sends a word and returns the response, or nothing if none arrives within 0.3 s."""
    writer.write(b"word")
    try:
        return await asyncio.wait_for(reader.read(100), 0.3)
    except TimeoutError:
        return b""


def with_proxy(scenario):
    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(*server.sockets[0].getsockname())
        await proxy.start()
        host, port = proxy.address.split(":")
        try:
            await scenario(proxy, lambda: asyncio.open_connection(host, int(port)))
        finally:
            await proxy.close()
            server.close()

    asyncio.run(main())


def test_silenced_connection_stays_silent_while_new_ones_work():
    async def scenario(proxy, connect):
        old = await connect()
        assert await ask(*old) == b"word"
        for way in (ForwardingMode.SILENT, ForwardingMode.MUTE):
            proxy.impair(way)
            assert await ask(*old) == b""
            assert await ask(*await connect()) == b""
            proxy.heal()
            assert await ask(*old) == b""
            assert await ask(*await connect()) == b"word"

    with_proxy(scenario)


def test_reset_ends_open_connections():
    async def scenario(proxy, connect):
        reader, writer = await connect()
        assert await ask(reader, writer) == b"word"
        proxy.reset()
        try:
            assert await reader.read(100) == b""
        except ConnectionResetError:
            pass
        assert await ask(*await connect()) == b"word"

    with_proxy(scenario)
