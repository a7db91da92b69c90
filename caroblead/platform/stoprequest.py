"""A planned stop that may be requested before the program can handle it.

This is imported before all else, so that signals are noted soon after the process begins; it must
import little.
"""

import signal
import time
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Whether and when a process was told to stop; the time is in elapsed seconds.

    A process has its grace period from ``requested_s`` on, also if it couldn't handle the signal
    then.
    """

    def __init__(self):
        self.requested_s: float | None = None
        self.on_request: Callable[[], None] | None = None

    def note_signals(self):
        """Notes the signals that arrive while the program is being loaded.

        A request to reload the settings is ignored, since they haven't been read yet.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *arguments: self.request())

    def request(self):
        """Notes that the process is to stop; further requests change nothing."""
        if self.requested_s is None:
            # The clock of core.clock, whose import takes longer than all else here.
            self.requested_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self.on_request is not None:
            self.on_request()

    def handle_signals(self, loop, on_request: Callable[[], None]):
        """Handles the signals in an event loop; ``on_request`` is called if one came or comes."""
        self.on_request = on_request
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request)
        if self.requested_s is not None:
            on_request()
