"""The trace of one job, collected from the log lines of many processes.

A line is accepted as the process wrote it, or with a prefix that a log collector put before it. The
lines are sorted by their time of day, which may differ slightly between machines; a decision of one
process that must follow one of another is named when the clocks say otherwise.
"""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

# Shortest time between two lines of a job that is reported as a gap.
MIN_GAP_S = 0.5
# Log fields whose value is a job id, or an id that begins with the job id and a dot.
ID_FIELDS = ("job", "task", "step")
HIDDEN_FIELDS = frozenset({"timestamp", "message_type", "node", *ID_FIELDS})
# Prefixes of the types of log lines that belong to no job but may explain a gap in any job's trace.
BACKGROUND_TYPES = (
    "leader:",
    "election:won",
    "log:lost",
    "log:back",
    "vm:lost",
    "vm:lapsed",
    "vm:stalls",
    "vm:started_again",
    "node:starting",
    "node:draining",
    "appender:",
    "zone:",
    "evacuation:",
)


@dataclass(slots=True, frozen=True)
class LogLine:
    """One parsed log line; ``kind`` is its event type and ``name`` the id that it is about."""

    at_s: float
    node: str
    kind: str
    name: str
    fields: dict

    @property
    def job(self) -> str:
        """The id of the job that the line is about."""
        return self.name.split(".")[0]


@dataclass(slots=True)
class JobTrace:
    """The lines of one job and the background lines that may explain gaps between them.

    ``skipped_lines`` counts, for each source, the lines that could not be parsed.
    """

    lines: list[LogLine] = field(default_factory=list)
    background: list[LogLine] = field(default_factory=list)
    skipped_lines: Counter = field(default_factory=Counter)


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None if the text is not a log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        at_s, kind = float(raw["timestamp"]), str(raw["message_type"])
    except (ValueError, KeyError, TypeError):
        return None
    name = next((str(raw[field]) for field in ID_FIELDS if field in raw), "")
    fields = {key: value for key, value in raw.items() if key not in HIDDEN_FIELDS}
    return LogLine(at_s, str(raw.get("node", "?")), kind, name, fields)


def collect_job_trace(job: str, sources: Iterable[tuple[str, Iterable[str]]]) -> JobTrace:
    """Collects the trace of a job from the lines of all sources, given as (name, lines) pairs."""
    trace = JobTrace()
    for source, texts in sources:
        for text in texts:
            line = parse_line(text)
            if line is None:
                trace.skipped_lines[source] += bool(text.strip())
            elif line.job == job:
                trace.lines.append(line)
            elif line.kind.startswith(BACKGROUND_TYPES):
                trace.background.append(line)
    trace.lines.sort(key=lambda line: line.at_s)
    trace.background.sort(key=lambda line: line.at_s)
    return trace


def format_job_trace(trace: JobTrace) -> list[str]:
    """Formats a trace as readable lines, with its gaps and the background lines in each gap."""
    if not trace.lines:
        return []
    start_s, previous_s, output_lines = trace.lines[0].at_s, trace.lines[0].at_s, []
    for line in trace.lines:
        if line.at_s - previous_s >= MIN_GAP_S:
            output_lines += _format_gap(trace, previous_s, line.at_s, start_s)
        output_lines.append(_format_line(line, start_s))
        previous_s = line.at_s
    if trace.lines[-1].kind not in ("job:ended", "job:shown", "job:refused"):
        output_lines.append("          nothing more is known of it")
    return output_lines


def _format_line(line: LogLine, start_s: float) -> str:
    values = " ".join(f"{key}={value}" for key, value in line.fields.items())
    suffix = line.name.partition(".")[2]
    return (
        f"{line.at_s - start_s:9.3f} {line.node:<20} {line.kind:<22} {suffix:<8} {values}".rstrip()
    )


def _format_gap(trace: JobTrace, from_s: float, to_s: float, start_s: float) -> list[str]:
    output_lines = [f"          {to_s - from_s:.3f} s without a line"]
    in_gap = [line for line in trace.background if from_s <= line.at_s <= to_s]
    output_lines += ["    meanwhile " + _format_line(line, start_s).lstrip() for line in in_gap[:8]]
    if len(in_gap) > 8:
        output_lines.append(f"    meanwhile {len(in_gap) - 8} more lines")
    return output_lines
