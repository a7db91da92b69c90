"""The timer service, through which the components of a process run periodic callbacks.

A component subscribes a callback with an interval and gets a handle back. All time comes from the
event loop, so that a test can run the same code under the virtual time of
:mod:`caroblead.core.loop`.
"""

import asyncio
import random
from collections.abc import Callable

import eliot

JITTER_FRACTION = 0.1


class Timer:
    """One subscription: a callback and the interval at which it is called."""

    __slots__ = ("callback", "interval_s", "handle", "task", "stopped")

    def __init__(self, callback: Callable, interval_s: float):
        self.callback = callback
        self.interval_s = interval_s
        self.handle = None
        self.task = None
        self.stopped = False


class TimerService:
    """Calls its subscribers at their intervals, with jitter.

    The jitter comes from a seeded random generator. It prevents processes that were started
    together from calling the platform at the same time. No callback runs while ``is_frozen``
    returns true.
    """

    __slots__ = ("loop", "random", "timers", "is_frozen")

    def __init__(self, seed: int = 0, is_frozen: Callable[[], bool] = lambda: False):
        self.is_frozen = is_frozen
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        self.timers: list[Timer] = []

    def get_time(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.loop.time()

    def subscribe(self, interval_s: float, callback: Callable, immediately: bool = False) -> Timer:
        """Calls a function or coroutine function every ``interval_s`` seconds.

        A coroutine that the function returns is run as a task, and a call is skipped while the task
        of the previous one is still running. With
        ``immediately`` the first call is made at once instead of after an interval.
        """
        timer = Timer(callback, interval_s)
        self.timers.append(timer)
        self._schedule(timer, 0.0 if immediately else self._add_jitter(interval_s))
        return timer

    def _add_jitter(self, interval_s: float) -> float:
        return interval_s * (1.0 + JITTER_FRACTION * (self.random.random() - 0.5))

    def _schedule(self, timer: Timer, delay_s: float):
        timer.handle = self.loop.call_later(delay_s, self._run_callback, timer)

    def _run_callback(self, timer: Timer):
        if timer.stopped:
            return
        idle = timer.task is None or timer.task.done()
        if idle and not self.is_frozen():
            result = call_and_log_errors(timer.callback)
            if asyncio.iscoroutine(result):
                timer.task = self.loop.create_task(await_and_log_errors(result))
        self._schedule(timer, self._add_jitter(timer.interval_s))

    def unsubscribe(self, timer: Timer):
        """Ends a subscription."""
        timer.stopped = True
        if timer.handle:
            timer.handle.cancel()
        if timer.task and not timer.task.done():
            timer.task.cancel()
        if timer in self.timers:
            self.timers.remove(timer)

    def close(self):
        """Ends every subscription."""
        for timer in list(self.timers):
            self.unsubscribe(timer)


def call_and_log_errors(callback: Callable, *arguments):
    """Calls a function and logs any exception, so that an error does not end a timer or a loop.

    Returns what the function returns, or ``None`` after an exception.
    """
    try:
        return callback(*arguments)
    except Exception:
        eliot.write_traceback()
        return None


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits until an event is set; returns False when the timeout has passed before.

    ``asyncio.wait_for`` would swallow a cancellation that comes just after the event was set, and
    the loop of the cancelled task would never end.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def await_and_log_errors(awaitable):
    """Awaits the work of a background task and logs any exception.

    Nothing awaits such a task. Without this, asyncio would report an error only when the task is
    garbage collected.
    """
    try:
        return await awaitable
    except asyncio.CancelledError:
        raise
    except Exception:
        eliot.write_traceback()
        return None
