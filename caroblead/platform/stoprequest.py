"""A planned stop that may be requested before the program can handle it."""

import asyncio
import signal

from ..core.clock import get_elapsed_s

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Whether and when a process was told to stop; the time is in elapsed seconds.

    A process has its grace period from ``requested_s`` on, also if it couldn't handle the signal
    then.
    """

    def __init__(self):
        self.requested_s: float | None = None
        self.event: asyncio.Event | None = None

    def note_signals(self):
        """Notes the signals that arrive while the program is being loaded."""
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *arguments: self.request())

    def request(self):
        """Notes that the process is to stop; further requests change nothing."""
        if self.requested_s is None:
            self.requested_s = get_elapsed_s()
        if self.event is not None:
            self.event.set()

    def handle_signals(self):
        """Handles the signals in the event loop from now on."""
        self.event = asyncio.Event()
        for number in STOP_SIGNALS:
            asyncio.get_running_loop().add_signal_handler(number, self.request)
        if self.requested_s is not None:
            self.event.set()

    async def wait(self):
        """Returns once the stop is requested."""
        await self.event.wait()
