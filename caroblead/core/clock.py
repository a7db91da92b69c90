"""Time that goes on while a machine is suspended, and the time of day.

The monotonic clock stands still during a suspension, so a lease counted on it would seem valid
although it has lapsed for everybody else. Every span that proves something is counted here. Tests
put the time of a virtual loop in the place of both clocks.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass


def _read_boottime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class ClockSource:
    """Where both times come from."""

    elapsed: Callable[[], float] = _read_boottime
    wall: Callable[[], float] = time.time


_source = ClockSource()


def get_elapsed_s() -> float:
    """Returns seconds since the machine started, suspensions included."""
    return _source.elapsed()


def get_wall_s() -> float:
    """Returns the time of day in seconds since 1970."""
    return _source.wall()


def use_clocks(elapsed: Callable[[], float], wall: Callable[[], float]):
    """Replaces both clocks, for tests."""
    _source.elapsed, _source.wall = elapsed, wall


def use_system_clocks():
    """Goes back to the clocks of the system."""
    _source.elapsed, _source.wall = _read_boottime, time.time
