"""Signals that come before the program can handle them: to stop, or to read the settings again.

This is imported before all else, so that signals are noted soon after the process begins; it must
import little.
"""

import signal
import time
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Signals:
    """What a process was told to do by signals; the time is in elapsed seconds.

    A process has its grace period from ``stop_requested_s`` on, also if it couldn't handle the
    signal then.
    """

    def __init__(self):
        self.stop_requested_s: float | None = None
        self.reload_requested = False
        self.on_stop: Callable[[], None] | None = None
        self.on_reload: Callable[[], None] | None = None

    def note(self):
        """Notes the signals that arrive while the program is being loaded."""
        signal.signal(signal.SIGHUP, lambda *arguments: self.request_reload())
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *arguments: self.request_stop())

    def request_stop(self):
        """Notes that the process is to stop; further requests change nothing."""
        if self.stop_requested_s is None:
            # The clock of core.clock, whose import takes longer than all else here.
            self.stop_requested_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self.on_stop is not None:
            self.on_stop()

    def request_reload(self):
        """Notes that the settings have changed."""
        self.reload_requested = True
        if self.on_reload is not None:
            self.on_reload()

    def handle(self, loop, on_stop: Callable[[], None], on_reload: Callable[[], None]):
        """Handles signals in an event loop, and calls the functions for those that came before."""
        self.on_stop, self.on_reload = on_stop, on_reload
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.request_reload)
        if self.stop_requested_s is not None:
            loop.call_soon(on_stop)
        if self.reload_requested:
            loop.call_soon(on_reload)
