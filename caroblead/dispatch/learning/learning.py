"""Learns durations and speeds of VMs during a term, and keeps them in the log for the next leader.

The leader reports each end of a run here. The expectations of the steps and the speeds of the VMs
follow once a second, and one record with a part of what is known goes to the log every two seconds.
Without the setting ``learned_durations`` nothing is learned and nothing is written. An error here
is logged and changes nothing else: the leader's decisions do not depend on what is learned.
"""

import math
from collections.abc import Callable, Iterable

from ...core.clock import get_elapsed_s, get_wall_s
from ...core.logsink import log
from ...core.timer import Timer, call_and_log_errors
from ...jobs.record import KeyedRecord, RecordKind, make_key
from ..fleet import Run, RunPhase, VmRow
from ..interface import EndReason
from ..term import TermState
from ..work import StepWork
from .duration import (
    MIN_WORK_S,
    RunFeatures,
    find_size,
    has_young_window,
    is_sampled,
    predict,
    set_running,
)
from .learnedsnapshot import (
    QUEUES,
    SPEEDS,
    TEAMS,
    SnapshotError,
    decode_queues,
    decode_speeds,
    decode_teams,
    encode_queues,
    encode_speeds,
    encode_teams,
)
from .learner import Learner, ObservedRun, find_slowest, learn
from .speed import center_speeds
from .speedwatch import log_change

REFRESH_INTERVAL_S = 1.0
# One record is written in each such interval, in turn.
SNAPSHOT_INTERVAL_S = 2.0
RECORD_ORDER = (QUEUES, SPEEDS, QUEUES, TEAMS)
REPORT_INTERVAL_S = 10.0
# Runs that ended for these reasons would have gone on.
CENSORED_REASONS = frozenset({EndReason.STOPPED, EndReason.LAPSED, EndReason.BROKEN})


class Learning:
    """The learner of a term, between the leader's tables and the log."""

    def __init__(self, state: TermState):
        self.state = state
        self.enabled = state.dependencies.features.learned_durations
        self.learner = Learner()
        state.on_steps_opened = self.set_expectations
        self.next_record = 0
        self.snapshot_due_s = 0.0
        self.report_due_s = 0.0

    def start(self) -> list[Timer]:
        """Reads what the former leader recorded, and returns the timers of the periodic work.

        A record that cannot be read is left out.
        """
        if not self.enabled:
            return []
        self._restore()
        return [self.state.dependencies.timers.subscribe(REFRESH_INTERVAL_S, self.refresh)]

    def _restore(self):
        records = self.state.dependencies.ledger.learned
        now_s, wall_s = get_elapsed_s(), get_wall_s()
        learner = self.learner
        self._restore_record(QUEUES, records, self._restore_queues, now_s, wall_s)
        self._restore_record(TEAMS, records, self._restore_teams, now_s, wall_s)
        self._restore_record(SPEEDS, records, self._restore_speeds, now_s, wall_s)
        self.state.fleet.speeds = learner.speeds
        self.snapshot_due_s = now_s + SNAPSHOT_INTERVAL_S
        self.report_due_s = now_s + REPORT_INTERVAL_S
        self._set_speeds()
        log(
            "durations:restored",
            queues=len(learner.durations.queues),
            teams=len(learner.durations.teams),
            vms=len(learner.speeds.estimates),
        )

    def _restore_record(self, name: str, records, restore: Callable, now_s, wall_s):
        value = records.get(name)
        if value is None:
            return
        try:
            restore(value, now_s, wall_s)
        except SnapshotError as error:
            log("durations:unreadable", key=make_key(RecordKind.LEARNED, name), error=str(error))

    def _restore_queues(self, value: bytes, now_s: float, wall_s: float):
        self.learner.durations = decode_queues(value, now_s, wall_s)

    def _restore_teams(self, value: bytes, now_s: float, wall_s: float):
        decode_teams(self.learner.durations, value, now_s, wall_s)

    def _restore_speeds(self, value: bytes, now_s: float, wall_s: float):
        self.learner.speeds = decode_speeds(value, now_s, wall_s)

    # Learning.

    def record_end(self, row: VmRow, run: Run, reason: EndReason):
        """Learns from the end of a run that its VM lists; called before the end is settled."""
        if not self.enabled or not run.wanted:
            return
        if reason is EndReason.DONE:
            call_and_log_errors(self._learn, row, run, get_elapsed_s(), True)
        elif reason in CENSORED_REASONS and run.phase is not RunPhase.ORDERED:
            call_and_log_errors(self._learn, row, run, get_elapsed_s(), False)

    def record_gone(self, run: Run):
        """Learns from a run that ended without a listed end, such as on a VM that was lost.

        It worked at least until its VM was last heard.
        """
        if self.enabled and run.wanted and run.began_s and run.vm.heard_s > run.began_s:
            call_and_log_errors(self._learn, run.vm, run, run.vm.heard_s, False)

    def _learn(self, row: VmRow, run: Run, until_s: float, exact: bool):
        step = self.state.find_step(run.task)
        began_s = run.began_s or run.started_s
        if step is None or not began_s or run.resumed or run.endless or run.fills:
            return
        if not exact and step.waiting and step.spec.gang:
            # The first member of a stopped gang has told the same.
            return
        if run.unanswered and not run.began_s:
            # The order may have reached the VM late.
            return
        observed = ObservedRun(
            make_features(step),
            step.key,
            _list_vms(step, run),
            began_s,
            until_s - began_s,
            exact,
            step.spec.gang or is_sampled(run.task.index, step.spec.count),
        )
        before = row.speed
        if learn(self.learner, observed, get_elapsed_s()):
            log_change(self.state.fleet, row, before, "ends")

    # Using what is learned.

    def set_expectations(self, steps: Iterable[StepWork]):
        """Sets what is expected of the runs of steps."""
        if not self.enabled:
            return
        for step in steps:
            if step.waiting and not (step.spec.endless or step.spec.fills):
                self.state.failures.call(
                    "learning", step.key, self._set_expectation, step, get_elapsed_s()
                )

    def _set_expectation(self, step: StepWork, now_s: float):
        prediction = predict(self.learner.durations, make_features(step), now_s)
        # Without samples the caller's estimate stays in use.
        step.expectation = prediction.make_expectation() if prediction.samples else None

    def refresh(self):
        """Updates the expectations and the speeds, and writes a snapshot when one is due."""
        if self.state.lost:
            return
        now_s, call = get_elapsed_s(), self.state.failures.call
        call("learning", "", center_speeds, self.learner.speeds, self.state.fleet.rows, now_s)
        call("learning", "", self._set_speeds)
        call("learning", "", self._set_running, now_s)
        for work in self.state.open_jobs.values():
            call("learning", work.job.id, self.set_expectations, work.steps.values())
        if now_s >= self.snapshot_due_s and not self.state.resigning:
            self.snapshot_due_s = now_s + SNAPSHOT_INTERVAL_S
            self._write_snapshot(now_s)
        if now_s >= self.report_due_s:
            self.report_due_s = now_s + REPORT_INTERVAL_S
            self._log_durations()

    def _set_speeds(self):
        estimates = self.learner.speeds.estimates
        for row in self.state.fleet.rows.values():
            estimate = estimates.get(row.name)
            known = estimate is not None and estimate.incarnation == row.incarnation
            row.speed = estimate.get_speed() if known else 1.0

    def _set_running(self, now_s: float):
        running = []
        if not has_young_window(self.learner.durations):
            return
        for row in self.state.fleet.rows.values():
            for run in row.runs.values():
                step = self.state.find_step(run.task) if run.began_s and run.wanted else None
                if step is None or run.resumed or run.endless or run.fills:
                    continue
                if step.spec.gang:
                    sampled = run.task.index == 0
                else:
                    sampled = is_sampled(run.task.index, step.spec.count)
                if sampled:
                    log_speed = find_slowest(self.learner.speeds, _list_vms(step, run))
                    worked_s = max(now_s - run.began_s, MIN_WORK_S)
                    running.append((make_features(step), math.log(worked_s) + log_speed))
        set_running(self.learner.durations, running)

    def _write_snapshot(self, now_s: float):
        wall_s = get_wall_s()
        name = RECORD_ORDER[self.next_record % len(RECORD_ORDER)]
        self.next_record += 1
        if not self.learner.durations.queues:
            return
        if name == SPEEDS:
            value = encode_speeds(self.learner.speeds, now_s, wall_s)
        else:
            encode = encode_queues if name == QUEUES else encode_teams
            value = encode(self.learner.durations, now_s, wall_s)
        if value:
            self.state.commit.add(KeyedRecord(make_key(RecordKind.LEARNED, name), value))

    def _log_durations(self):
        for name, known in self.learner.durations.queues.items():
            log(
                "durations:learned",
                queue=name,
                samples=known.samples,
                estimate_weight=round(known.slope, 2),
                error=round(known.error, 3),
                over_high=round(known.over_high, 3),
            )

    def list_gauges(self) -> dict[str, float]:
        """Returns the gauges that show what is learned; none if nothing is."""
        if not self.enabled:
            return {}
        queues = self.learner.durations.queues.values()
        samples = sum(known.samples for known in queues)
        estimates = self.learner.speeds.estimates.values()
        return {
            "durations_samples": float(samples),
            "durations_error": max((known.error for known in queues), default=0.0),
            "durations_over_high": max((known.over_high for known in queues), default=0.0),
            "vms_speed_known": float(sum(estimate.samples > 0 for estimate in estimates)),
            "vm_speed_changes": float(self.learner.speeds.changes),
        }


def make_features(step: StepWork) -> RunFeatures:
    """Returns what is known of the runs of a step before they start."""
    job, spec = step.work.job, step.spec
    return RunFeatures(
        job.queue.name, step.key.step, job.team, find_size(spec.need), spec.estimate_s
    )


def _list_vms(step: StepWork, run: Run) -> list[tuple[str, int]]:
    """Returns the VM of a run, or those of all members of its gang."""
    if not step.spec.gang:
        return [(run.vm.name, run.vm.incarnation)]
    members = {
        (other.vm.name, other.vm.incarnation)
        for runs in step.active.values()
        for other in runs
        if other.number == run.number
    }
    return sorted(members | {(run.vm.name, run.vm.incarnation)})
