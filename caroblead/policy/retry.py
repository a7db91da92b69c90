"""Retries: only what may be repeated, only within a budget, and with growing pauses.

The budget of a team fills with its starts, so retries stay a small part of the work however many
things fail at once. Hedging, a second copy of slow work, is left out: two copies would run in two
places, which the promises rule out.
"""

import random

from ..core.data import Task
from .cell import TeamRow

TOKENS_PER_START = 0.1
MAX_TOKENS = 20.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_ATTEMPTS = 5


def earn_retry(row: TeamRow):
    """Adds to a team's budget for a first attempt that was started."""
    row.retry_tokens = min(MAX_TOKENS, row.retry_tokens + TOKENS_PER_START)


def spend_retry(row: TeamRow, task: Task) -> bool:
    """Takes a retry from the budget; returns whether the task may be tried again."""
    if task.attempt >= MAX_ATTEMPTS or row.retry_tokens < 1:
        return False
    row.retry_tokens -= 1
    return True


def compute_backoff(attempt: int, generator: random.Random) -> float:
    """Returns the pause before an attempt, drawn evenly up to a bound that doubles."""
    bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return bound_s * (0.5 + 0.5 * generator.random())
