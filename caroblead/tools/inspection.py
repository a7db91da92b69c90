"""The commands that inspect files: settings, timelines and the logs of nodes.

Exit codes: 0 when no problem was found, 1 when a check failed or no log line was found, 2 when the
command or its input was wrong, 4 when the files hold no events to check.
"""

import json
import sys
from collections import Counter
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from ..config.setting import load_settings
from ..core.outcome import Checked, describe_problem
from ..events.checker import PROMISES
from ..events.jobtrace import collect_job_trace, format_job_trace
from ..events.losses import Grouping, collect_losses, encode_losses, format_losses
from ..events.timeline import encode_record, read_records
from ..node.setting import load_node_settings

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NO_EVENTS = 4

settings_app = cyclopts.App(name="settings", help="Check settings files.")
timeline_app = cyclopts.App(name="timeline", help="Show and check the events of all processes.")
AsJson = Annotated[bool, Parameter(name="--json", negative="", help="print JSON only")]


@settings_app.command(name="check")
def check_settings(file: str) -> int:
    """Check the settings of a site, or of one node, and print every error with its field."""
    checked = _load_any_settings(file)
    for fault in checked.faults:
        print(describe_problem(fault), file=sys.stderr)
    if not checked.faults:
        nodes = len(getattr(checked.value, "nodes", [checked.value]))
        print(f"{file}: {nodes} {'node' if nodes == 1 else 'nodes'}, no errors")
    return EXIT_USAGE if checked.faults else 0


def _load_any_settings(file: str) -> Checked:
    try:
        is_node = "callers" in json.loads(Path(file).read_text())
    except (OSError, ValueError, TypeError):
        is_node = False
    return load_node_settings(file) if is_node else load_settings(file)


def _read_timeline(files: list[str]) -> list:
    paths = []
    for name in files:
        path = Path(name)
        paths += sorted(path.glob("*.events.jsonl")) if path.is_dir() else [path]
    missing = [str(path) for path in paths if not path.exists()]
    if missing or not paths:
        print(f"no such file: {', '.join(missing or files)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    checked = read_records(paths)
    skipped_lines = Counter(fault.peer for fault in checked.faults)
    for path, count in skipped_lines.items():
        print(f"{path}: {count} lines skipped, which are not events", file=sys.stderr)
    return checked.value


@timeline_app.command(name="show")
def show_timeline(*files: str, match: str = "", json: AsJson = False) -> int:
    """Merge the events of many processes and show them in causal order.

    Parameters
    ----------
    files: event files, or directories of them
    match: show only events whose JSON contains this text
    """
    for record in _read_timeline(list(files)):
        line = encode_record(record)
        if match not in line:
            continue
        if json:
            print(line)
        else:
            event = record.event
            values = " ".join(f"{name}={getattr(event, name)}" for name in event.__slots__)
            print(f"{record.clock:>8} {record.node:<16} {type(event).__name__:<16} {values}")
    return 0


@timeline_app.command(name="check")
def check_timeline(*files: str, json: AsJson = False) -> int:
    """Check the ten promises against a history; exit 1 when one is refuted, 4 without events.

    Parameters
    ----------
    files: event files, or directories of them
    """
    history = _read_timeline(list(files))
    if not history:
        print("no events were found, so nothing was checked", file=sys.stderr)
        return EXIT_NO_EVENTS
    total = 0
    for name, check in PROMISES.items():
        violations = check(history)
        total += len(violations)
        if json:
            print(_encode_result(name, violations))
            continue
        print(f"{'refuted' if violations else 'holds':<8} {name}")
        for violation in violations[:10]:
            print(f"    {violation.detail}")
            for record in violation.records:
                print(f"        {encode_record(record)}")
    print(f"{len(history)} events, {total} violations")
    return EXIT_REFUSED if total else 0


def _encode_result(name: str, violations: list) -> str:
    details = [violation.detail for violation in violations]
    return json.dumps({"promise": name, "violations": details})


def explain_job(job: str, *files: str) -> int:
    """Show the history of one job from the logs of all nodes, in order of time.

    Parameters
    ----------
    job: the job's id
    files: log files, or directories of them; standard input when none is named
    """
    job_history = collect_job_trace(job, _open_sources(files))
    for source, count in job_history.skipped_lines.items():
        if count:
            print(f"{source}: {count} lines skipped, which are not log lines", file=sys.stderr)
    lines = format_job_trace(job_history)
    if not lines:
        print(f"no log line is about job {job}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(lines))
    return 0


def report_losses(*files: str, by: Grouping = Grouping.QUEUE, json: AsJson = False) -> int:
    """Show how many jobs were late or never done, and why, from the logs of all nodes.

    Parameters
    ----------
    files: log files, or directories of them; standard input when none is named
    by: what the jobs are grouped by
    """
    texts = (text for _, opened in _open_sources(files) for text in opened)
    report = collect_losses(texts)
    if not report.jobs:
        print("no log line tells of an accepted job", file=sys.stderr)
        return EXIT_REFUSED
    if json:
        print(_encode_rows(encode_losses(report, by)))
    else:
        print("\n".join(format_losses(report, by)))
    return 0


def _encode_rows(rows: list[dict]) -> str:
    return json.dumps(rows)


def _open_sources(files: tuple[str, ...]):
    if not files:
        yield "standard input", sys.stdin
    for name in files:
        path = Path(name)
        for item in sorted(path.iterdir()) if path.is_dir() else [path]:
            if not item.exists():
                print(f"no such file: {item}", file=sys.stderr)
                sys.exit(EXIT_USAGE)
            with item.open(errors="replace") as opened:
                yield str(item), opened
