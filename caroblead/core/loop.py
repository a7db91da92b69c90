"""An event loop whose time jumps to the next timer whenever nothing is ready.

Tests run the real code of many processes in one such loop. Bytes between them still cross loopback
sockets, but waiting costs nothing: a scenario of a minute runs in about a second, and the order of
timers does not depend on how busy the machine is.
"""

import asyncio
import selectors

# Loopback delivers a written byte at once, yet an accept may need one more look.
SETTLE_LOOKS = 3


class JumpingSelector(selectors.DefaultSelector):
    """A selector that moves the time forward instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        """Returns what is ready, or jumps ahead by the timeout when nothing is."""
        for _ in range(SETTLE_LOOKS):
            ready = super().select(0)
            if ready or timeout == 0:
                return ready
        if timeout is None:
            return super().select(0.01)
        self.now += max(timeout, 1e-6)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on the time of a :class:`JumpingSelector`."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Returns the virtual time in seconds."""
        return self._jumping.now


def run_in_virtual_time(main):
    """Runs a coroutine to its end in a new loop of virtual time.

    For example ``run_in_virtual_time(asyncio.sleep(3600))`` returns at once.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
