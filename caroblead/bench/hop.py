"""Measures the cost of an extra process in the request path: ``python -m caroblead.bench.hop``.

A gate's call to a placer goes over a loopback connection; for comparison the same handler is also
called directly, as it would be if gate and placer were one process. Caller and server share one
event loop and process, so the CPU time includes both ends.
"""

import asyncio
import json
import sys
import time

from ..events.timeline import LogicalClock
from ..wire.call import Address, RpcClient, RpcServer
from ..wire.gen import ttypes

CALLS = 4000
PAYLOADS = (100, 10_000, 100_000)


async def _handle_request(message: ttypes.RunRequest, envelope) -> ttypes.Reply:
    return ttypes.Reply(outcome=0, status=200, body=message.payload)


def _make_request(size: int) -> ttypes.RunRequest:
    return ttypes.RunRequest(
        request="r-a1-1~0a0b0c0d-1",
        incarnation="a1-1~0a0b0c0d",
        shard="a1.0",
        team="izmir-clinic",
        queue="fixation",
        repeatable=True,
        deadline_ms=6000,
        payload=b"x" * size,
    )


async def _measure() -> dict[str, float]:
    server = RpcServer("b/placer", LogicalClock(), {ttypes.RunRequest: _handle_request})
    await server.start("127.0.0.1", 0)
    rpc_client = RpcClient("a", "a/gate", LogicalClock())
    address = Address("b", "127.0.0.1", server.port)
    figures = {}
    for size in PAYLOADS:
        message = _make_request(size)
        await rpc_client.call(address, message, 1.0)
        started = time.process_time()
        for _ in range(CALLS):
            await rpc_client.call(address, message, 1.0)
        wire_us = (time.process_time() - started) / CALLS * 1e6
        started = time.process_time()
        for _ in range(CALLS):
            await _handle_request(message, None)
        direct_us = (time.process_time() - started) / CALLS * 1e6
        figures[f"hop_us_at_{size}_bytes"] = round(wire_us - direct_us, 1)
    await rpc_client.close()
    await server.close()
    return figures


def main() -> int:
    """Measure the CPU time of the network hop between gate and placer, in microseconds per call."""
    print(json.dumps(asyncio.run(_measure())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
