"""A virtual-time event loop: its time jumps to the next timer whenever no I/O is ready.

Tests run the real code of many processes in one such loop. Bytes between them still go through
loopback sockets, but timers take no real time: a scenario of a minute runs in about a second, and
the order of timers does not depend on the load of the machine.
"""

import asyncio
import selectors

# How often to poll before the time jumps. Loopback delivers a written byte at once, but a new
# connection may be ready to accept only at a later poll.
MAX_IDLE_POLLS = 3


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        """Returns the ready events, or advances the time by the timeout when there are none."""
        for _ in range(MAX_IDLE_POLLS):
            ready = super().select(0)
            if ready or timeout == 0:
                return ready
        if timeout is None:
            return super().select(0.01)
        self.now += max(timeout, 1e-6)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on the virtual time of a :class:`VirtualTimeSelector`."""

    def __init__(self):
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(main):
    """Runs a coroutine to its end in a new virtual-time loop.

    For example ``run_in_virtual_time(asyncio.sleep(3600))`` returns at once.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
