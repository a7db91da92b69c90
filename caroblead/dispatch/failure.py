"""Keeps an unexpected error in one part of the leader's work from ending the rest of it.

The leader's loops go over all jobs, steps, VMs or runs. Each handles one item at a time through
:meth:`Failures.call`, so that an error costs the item at hand, this time, and nothing else. It is
counted, and logged with the place where it was raised.

For example, a step whose planning fails in each tick isn't started, while all others are.
"""

import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.clock import get_elapsed_s
from ..core.logsink import log

# An error that comes back all the time is logged so often, with the number of times.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True, eq=False)
class Failures:
    """How often each activity has failed in this term, and when its next failure is logged."""

    counts: Counter[str] = field(default_factory=Counter)
    next_report_s: dict[str, float] = field(default_factory=dict)

    def call(self, activity: str, item: object, function: Callable, *arguments):
        """Calls a function for an item; returns its result, or ``None`` after an exception."""
        try:
            return function(*arguments)
        except Exception as error:
            self.note(activity, item, error)
            return None

    def note(self, activity: str, item: object, error: Exception):
        """Counts the failure of an activity on an item, and logs it unless that was done lately."""
        self.counts[activity] += 1
        now_s = get_elapsed_s()
        if now_s < self.next_report_s.get(activity, now_s):
            return
        self.next_report_s[activity] = now_s + REPORT_INTERVAL_S
        log(
            "leader:failed",
            activity=activity,
            item=str(item),
            error=f"{type(error).__name__}: {error}",
            origin=_find_origin(error),
            count=self.counts[activity],
        )


def _find_origin(error: Exception) -> str:
    """Returns the file, line and function in which an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
