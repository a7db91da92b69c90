"""Records of each job that it has begun: that a task of it has started on a VM.

A start that was only planned proves nothing, since the VM may refuse it or leave it unanswered.
Until a task has started, the job counts as waiting. That it has begun is recorded with its next
progress, or a moment later together with other jobs.
"""

from ..jobs.data import JobState
from .fleet import Run
from .term import TermState
from .work import INVALID_BACKOFF_S

BEGUN_INTERVAL_S = 0.25


def note_begun(state: TermState, run: Run):
    """Notes that a run has started on its VM."""
    work = state.open_jobs.get(run.task.job)
    if work is None:
        return
    work.invalid_backoff_s = INVALID_BACKOFF_S
    if work.state is JobState.QUEUED:
        work.state = JobState.RUNNING
        state.begun_jobs.append(work)


def record_begun(state: TermState):
    """Records the jobs that have begun lately and haven't ended yet."""
    begun, state.begun_jobs = state.begun_jobs, []
    for work in begun:
        if state.open_jobs.get(work.job.id) is work:
            state.commit.mark_dirty(work)
