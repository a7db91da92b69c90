"""Why jobs were late or never done: one cause for each, from the log lines of all processes.

The course of a job is cut into stages (advice, room, order, a run that ended without success,
work, showing), and a job that was not shown as done by its due time is put down to the stage that
took longest beyond what was needed. The due time is the leader's own, which rests on the caller's
estimate. Lines that a process dropped are missing, so the counts are lower bounds.
"""

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .jobtrace import LogLine, parse_line

# A job that takes more than this many times its target is lost for its caller.
LOST_AFTER_TARGETS = 3.0


class Cause(enum.StrEnum):
    """The stage in which a job lost its time."""

    ADVICE = "advice"
    ROOM = "room"
    ORDER = "order"
    RUN_FAILED = "run failed"
    VM_LOST = "VM out of reach"
    EVICTED = "evicted"
    GANG_BROKEN = "gang broken"
    WORK = "work or later steps"
    SHOWN_LATE = "done, shown late"
    NOT_PLACED = "never placed"


CAUSE_BY_END = {
    "failed": Cause.RUN_FAILED,
    "lapsed": Cause.VM_LOST,
    "broken": Cause.GANG_BROKEN,
    "alone": Cause.GANG_BROKEN,
}


class Grouping(enum.StrEnum):
    """What the jobs of a table are grouped by; a node is the one that accepted the job."""

    QUEUE = "queue"
    TEAM = "team"
    NODE = "node"
    SECOND = "second"


class Loss(enum.StrEnum):
    """How a job ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    LOST = "lost"


@dataclass(slots=True)
class JobCourse:
    """The moments of a job, in seconds of the time of day, as far as lines tell them."""

    job: str
    queue: str = ""
    team: str = ""
    node: str = ""
    accepted_s: float = 0.0
    due_s: float = 0.0
    advised_s: float = 0.0
    placed_s: float = 0.0
    started_s: float = 0.0
    ended_s: float = 0.0
    shown_s: float = 0.0
    cancelled: bool = False
    setbacks: list[tuple[float, Cause]] = field(default_factory=list)
    last_placed_s: float = 0.0


@dataclass(slots=True, frozen=True)
class JobLoss:
    """What became of a job, and why if it was not in time."""

    course: JobCourse
    loss: Loss
    cause: Cause | None = None


@dataclass(slots=True)
class LossReport:
    """The judged jobs of some logs, and how many lines the processes dropped."""

    jobs: list[JobLoss] = field(default_factory=list)
    dropped_lines: int = 0
    lines: int = 0


def collect_losses(texts: Iterable[str]) -> LossReport:
    """Judges every job that the lines show as accepted and not cancelled, in order of acceptance.

    The lines of several processes may follow one another in any order.
    """
    report = LossReport()
    lines = [line for line in map(parse_line, texts) if line is not None]
    report.lines = len(lines)
    lines.sort(key=lambda line: line.at_s)
    courses: dict[str, JobCourse] = {}
    for line in lines:
        if line.kind == "log:dropped":
            report.dropped_lines += _count_dropped(line.fields.get("lines"))
        elif line.name:
            _observe(courses.setdefault(line.job, JobCourse(line.job)), line)
    found = sorted(courses.values(), key=lambda course: course.accepted_s)
    report.jobs = [judge(course) for course in found if course.accepted_s and not course.cancelled]
    return report


def _count_dropped(lines: object) -> int:
    """Returns how many lines a process dropped, from their numbers by kind."""
    numbers = lines.values() if isinstance(lines, dict) else ()
    return sum(number for number in numbers if isinstance(number, int))


def _observe(course: JobCourse, line: LogLine):
    kind, at_s, fields = line.kind, line.at_s, line.fields
    if kind == "job:accepted" and not course.accepted_s:
        course.accepted_s, course.node = at_s, line.node
        course.queue, course.team = str(fields.get("queue")), str(fields.get("team"))
    elif kind == "job:cancelled":
        course.cancelled = True
    elif kind == "job:ended":
        course.ended_s = course.ended_s or at_s
    elif kind == "job:shown" and fields.get("state") in ("done", "failed"):
        course.shown_s = course.shown_s or at_s
    elif kind == "advice:got" and not course.placed_s:
        course.advised_s = at_s
    else:
        _observe_run(course, kind, at_s, fields)


def _observe_run(course: JobCourse, kind: str, at_s: float, fields: dict):
    if kind == "task:placed":
        course.placed_s = course.placed_s or at_s
        course.last_placed_s = at_s
        course.due_s = course.due_s or at_s + float(fields.get("due_in_s", 0.0))
    elif kind == "task:started":
        course.started_s = course.started_s or at_s
    elif kind == "task:evicted":
        course.setbacks.append((at_s, Cause.EVICTED))
    elif kind == "task:gone":
        course.setbacks.append((at_s, Cause.VM_LOST))
    elif kind == "task:ended" and fields.get("wanted"):
        cause = CAUSE_BY_END.get(str(fields.get("reason")))
        if cause is not None:
            course.setbacks.append((at_s, cause))


def judge(course: JobCourse) -> JobLoss:
    """Returns what became of a job, and the cause if it was not shown as done by its due time."""
    if not course.due_s:
        return JobLoss(course, Loss.LOST, Cause.NOT_PLACED)
    target_s = course.due_s - course.accepted_s
    took_s = course.shown_s - course.accepted_s if course.shown_s else float("inf")
    if took_s <= target_s:
        return JobLoss(course, Loss.IN_TIME)
    loss = Loss.LATE if took_s <= LOST_AFTER_TARGETS * target_s else Loss.LOST
    return JobLoss(course, loss, _find_cause(course))


def _find_cause(course: JobCourse) -> Cause:
    if course.ended_s and course.ended_s <= course.due_s:
        return Cause.SHOWN_LATE
    advised_s = course.advised_s or course.accepted_s
    spans = Counter(
        {
            Cause.ADVICE: advised_s - course.accepted_s,
            Cause.ROOM: course.placed_s - advised_s,
            Cause.ORDER: (course.started_s or course.placed_s) - course.placed_s,
        }
    )
    if course.ended_s and course.shown_s:
        spans[Cause.SHOWN_LATE] = course.shown_s - course.ended_s
    if course.setbacks:
        first_s, cause = course.setbacks[0]
        spans[cause] = (course.ended_s or course.last_placed_s) - first_s
    cause, longest_s = max(spans.items(), key=lambda item: item[1])
    over_s = (course.shown_s or course.ended_s or course.due_s) - course.due_s
    return cause if longest_s >= over_s / 2 else Cause.WORK


def count_losses(report: LossReport, grouping: Grouping) -> dict[tuple[str, str], Counter]:
    """Returns how many jobs were in time, late and lost, by group and cause."""
    counts: defaultdict[tuple[str, str], Counter] = defaultdict(Counter)
    began_s = report.jobs[0].course.accepted_s if report.jobs else 0.0
    for item in report.jobs:
        counts[_find_group(item.course, grouping, began_s), str(item.cause or "")][item.loss] += 1
    return dict(counts)


def _find_group(course: JobCourse, grouping: Grouping, began_s: float) -> str:
    if grouping is Grouping.SECOND:
        return str(int(course.accepted_s - began_s))
    return str(getattr(course, grouping))


def format_losses(report: LossReport, grouping: Grouping) -> list[str]:
    """Formats the counts as a table; the group and cause with the most lost jobs come first."""
    rows = count_losses(report, grouping).items()
    ordered = sorted(rows, key=lambda row: (-row[1][Loss.LOST], -row[1][Loss.LATE], row[0]))
    output = [f"{grouping:<20} {'cause':<20} {'in time':>8} {'late':>8} {'lost':>8}"]
    for (name, cause), counter in ordered:
        numbers = " ".join(f"{counter[loss]:>8}" for loss in Loss)
        output.append(f"{name:<20} {cause:<20} {numbers}")
    output.append(_format_totals(report))
    return output


def _format_totals(report: LossReport) -> str:
    share = report.dropped_lines / max(1, report.lines + report.dropped_lines)
    return f"{len(report.jobs)} jobs, {report.lines} lines, {100 * share:.1f}% of the lines dropped"


def encode_losses(report: LossReport, grouping: Grouping) -> list[dict]:
    """Returns the counts as rows for JSON."""
    return [
        {str(grouping): name, "cause": cause} | {str(loss): counter[loss] for loss in Loss}
        for (name, cause), counter in sorted(count_losses(report, grouping).items())
    ]
