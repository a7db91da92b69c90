"""Notifies callers of the end of a job as soon as it is known.

A request for the state of a running job is answered when the job ends, or after a short wait (a
long poll). A node that isn't the leader forwards the request to the leader, whose copy of the log
is the newest. If the leader does not answer, the node answers from its own copy.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ..core.clock import get_elapsed_s
from ..core.timer import wait_for_event
from ..jobs.data import FINAL_STATES, JobState
from ..jobs.ledger import Ledger, find_state

# How long a request for the state of a running job waits for the job to end.
COMPLETION_WAIT_S = 0.15
# After a request to the leader was not answered, the leader isn't asked again for this long.
LEADER_BACKOFF_S = 1.0

AskLeader = Callable[[str, float], Awaitable[JobState | None]]


class CompletionNotifier:
    """Wakes the requests that wait for the end of a job."""

    def __init__(self, get_ledger: Callable[[], Ledger], is_leading: Callable[[], bool]):
        self.get_ledger = get_ledger
        self.is_leading = is_leading
        self.ask_leader: AskLeader | None = None
        self.waiting: dict[str, asyncio.Event] = {}
        self.backoff_until_s = 0.0

    def notify(self, job_id: str):
        """Wakes the requests that wait for a job, if the job has ended."""
        event = self.waiting.get(job_id)
        if event is not None and job_id in self.get_ledger().ended:
            event.set()

    async def wait_for_end(self, job_id: str, wait_s: float) -> JobState | None:
        """Returns the state of a job once it has ended, or its state after ``wait_s`` seconds."""
        state = find_state(self.get_ledger(), job_id)
        if state in FINAL_STATES:
            return state
        event = self.waiting.setdefault(job_id, asyncio.Event())
        await wait_for_event(event, wait_s)
        if self.waiting.get(job_id) is event:
            del self.waiting[job_id]
        return find_state(self.get_ledger(), job_id)

    async def ask(self, job_id: str) -> JobState | None:
        """Returns the newest state of a job, or ``None`` if no node with a newer ledger answers."""
        if self.is_leading():
            return await self.wait_for_end(job_id, COMPLETION_WAIT_S)
        if self.ask_leader is None or get_elapsed_s() < self.backoff_until_s:
            return None
        state = await self.ask_leader(job_id, COMPLETION_WAIT_S)
        if state is None:
            self.backoff_until_s = get_elapsed_s() + LEADER_BACKOFF_S
        return state
