"""Clocks: elapsed time that includes suspension of the machine, and the time of day.

The monotonic clock of Linux stops while the machine is suspended, so a lease timed by it would seem
valid although it has expired for all other nodes. :mod:`caroblead.dispatch` and
:mod:`caroblead.node` measure the intervals on which correctness depends with the elapsed time of
this module. Tests replace both clocks by the time of a virtual loop.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass


def _read_boottime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class ClockSource:
    """The functions that read the elapsed time and the time of day, in seconds."""

    elapsed: Callable[[], float] = _read_boottime
    wall: Callable[[], float] = time.time


_source = ClockSource()


def get_elapsed_s() -> float:
    """Returns the seconds since the machine started, time in suspension included."""
    return _source.elapsed()


def get_wall_s() -> float:
    """Returns the time of day in seconds since 1970."""
    return _source.wall()


def use_clocks(elapsed: Callable[[], float], wall: Callable[[], float]):
    """Replaces both clocks, for tests."""
    _source.elapsed, _source.wall = elapsed, wall


def use_system_clocks():
    """Restores the clocks of the operating system after :func:`use_clocks`."""
    _source.elapsed, _source.wall = _read_boottime, time.time
