"""Opens ports, also ones that something else still holds.

A process that ends because one of its ports is taken cuts off whatever it serves at its others. So
it goes on without that port and tries again, until the port is free.
"""

import asyncio
from collections.abc import Awaitable, Callable

from .logsink import log

RETRY_S = 1.0
# How often a port that stays taken is logged.
LOG_INTERVAL_S = 60.0

Listen = Callable[[], Awaitable[None]]


async def open_port(listen: Listen, purpose: str) -> asyncio.Task | None:
    """Calls ``listen``, which opens a port or raises ``OSError``.

    Returns ``None`` if the port is open, else the task that opens it as soon as possible.
    """
    try:
        await listen()
    except OSError as error:
        log("port:not_open", purpose=purpose, error=str(error))
        return asyncio.create_task(_open_later(listen, purpose))
    return None


async def _open_later(listen: Listen, purpose: str):
    loop = asyncio.get_running_loop()
    began_s = logged_s = loop.time()
    while True:
        await asyncio.sleep(RETRY_S)
        waited_s = round(loop.time() - began_s, 1)
        try:
            await listen()
        except OSError as error:
            if loop.time() - logged_s >= LOG_INTERVAL_S:
                logged_s = loop.time()
                log("port:not_open", purpose=purpose, error=str(error), waited_s=waited_s)
        else:
            log("port:open", purpose=purpose, waited_s=waited_s)
            return
