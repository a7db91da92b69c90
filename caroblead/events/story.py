"""The story of one job, gathered from the log lines of many processes.

Lines come as the processes wrote them, or behind whatever a collector puts before them on the line.
They are put in order of their time of day, which may differ a little between machines; a decision
of one process that must follow one of another is named when the clocks say otherwise.
"""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

# A pause in a job's story that is worth telling.
GAP_S = 0.5
# What the fields of a line are called that name a job, alone or as the head of a longer name.
ID_FIELDS = ("job", "task", "step")
HIDDEN_FIELDS = frozenset({"timestamp", "message_type", "node", *ID_FIELDS})
# Lines of other things that may be the reason for a gap in the story of any job.
BACKGROUND = (
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
)


@dataclass(slots=True, frozen=True)
class Line:
    """One log line."""

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
class Story:
    """The lines of one job, those that may explain its gaps, and what was passed over."""

    lines: list[Line] = field(default_factory=list)
    background: list[Line] = field(default_factory=list)
    passed_over: Counter = field(default_factory=Counter)


def parse_line(text: str) -> Line | None:
    """Reads a log line, or returns nothing when it isn't one."""
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
    return Line(at_s, str(raw.get("node", "?")), kind, name, fields)


def gather_story(job: str, sources: Iterable[tuple[str, Iterable[str]]]) -> Story:
    """Returns the story of a job from the lines of named sources."""
    story = Story()
    for source, texts in sources:
        for text in texts:
            line = parse_line(text)
            if line is None:
                story.passed_over[source] += bool(text.strip())
            elif line.job == job:
                story.lines.append(line)
            elif line.kind.startswith(BACKGROUND):
                story.background.append(line)
    story.lines.sort(key=lambda line: line.at_s)
    story.background.sort(key=lambda line: line.at_s)
    return story


def write_story(story: Story) -> list[str]:
    """Returns the story as lines for people, with its gaps and what went on in them."""
    if not story.lines:
        return []
    began_s, before_s, written = story.lines[0].at_s, story.lines[0].at_s, []
    for line in story.lines:
        if line.at_s - before_s >= GAP_S:
            written += _write_gap(story, before_s, line.at_s, began_s)
        written.append(_write_line(line, began_s))
        before_s = line.at_s
    if story.lines[-1].kind not in ("job:ended", "job:shown", "job:refused"):
        written.append("          nothing more is known of it")
    return written


def _write_line(line: Line, began_s: float) -> str:
    values = " ".join(f"{key}={value}" for key, value in line.fields.items())
    part = line.name.partition(".")[2]
    return f"{line.at_s - began_s:9.3f} {line.node:<20} {line.kind:<22} {part:<8} {values}".rstrip()


def _write_gap(story: Story, from_s: float, to_s: float, began_s: float) -> list[str]:
    written = [f"          {to_s - from_s:.3f} s without a line"]
    inside = [line for line in story.background if from_s <= line.at_s <= to_s]
    written += ["    meanwhile " + _write_line(line, began_s).lstrip() for line in inside[:8]]
    if len(inside) > 8:
        written.append(f"    meanwhile {len(inside) - 8} more lines")
    return written
