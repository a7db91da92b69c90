"""Retries: a retry budget for each team, and exponential backoff.

Only work that may be repeated is retried. The budget of a team grows with its starts, so retries
stay a small part of the work however many attempts fail at once. There is no hedging, that is, no
second copy of slow work: the two copies would run in two places, and the system guarantees that a
task runs in at most one place at a time.
"""

import random

from ..core.data import Task
from .cell import TeamRow

# Each first attempt earns this part of a retry.
TOKENS_PER_START = 0.1
MAX_TOKENS = 20.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_ATTEMPTS = 5


def earn_retry(row: TeamRow):
    """Adds to a team's retry budget when a first attempt was started."""
    row.retry_tokens = min(MAX_TOKENS, row.retry_tokens + TOKENS_PER_START)


def spend_retry(row: TeamRow, task: Task) -> bool:
    """Takes a retry from the team's budget; returns whether the task may be retried."""
    if task.attempt >= MAX_ATTEMPTS or row.retry_tokens < 1:
        return False
    row.retry_tokens -= 1
    return True


def compute_backoff(attempt: int, generator: random.Random) -> float:
    """Returns the backoff before an attempt, in seconds.

    It is drawn uniformly between half of a bound and the bound, which doubles with each attempt.
    """
    bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return bound_s * (0.5 + 0.5 * generator.random())
