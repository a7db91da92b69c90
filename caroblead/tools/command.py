"""The command line: tickets, keys, jobs, requests, drains, settings and the timeline.

Exit codes: 0 when the command succeeded, 1 when it was refused or a check failed, 2 when the
command or its input was wrong, 3 when the outcome is unknown.
"""

import asyncio
import hashlib
import json
import secrets
import sys
import time
from pathlib import Path
from typing import Annotated

import aiohttp
import cyclopts
import eliot
from cyclopts import Parameter
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from .. import __version__
from ..config.ticket import parse_ticket
from ..core.outcome import describe_problem
from .demo import run_demo, run_load
from .inspection import (
    EXIT_REFUSED,
    EXIT_USAGE,
    explain_job,
    report_losses,
    settings_app,
    timeline_app,
)
from .load import summarize_waits
from .programs import load_or_exit, open_timeline

EXIT_UNKNOWN = 3
GATE_TIMEOUT_S = 120.0
KEY_BYTES = 24
JOB_POLL_S = 0.5

app = cyclopts.App(name="caroblead", help="Operate and use caroblead.", version=__version__)
ticket_app = cyclopts.App(name="ticket", help="Check, publish and show change tickets.")
key_app = cyclopts.App(name="key", help="Grant and withdraw teams' keys.")
for child in (ticket_app, key_app, settings_app, timeline_app):
    app.command(child)
app.command(explain_job, name="explain")
app.command(report_losses, name="losses")

Gate = Annotated[str, Parameter(name="--gate", env_var="CAROBLEAD_GATE", help="URL of a gate")]
Key = Annotated[str, Parameter(name="--key", env_var="CAROBLEAD_KEY", help="bearer key")]
AsJson = Annotated[bool, Parameter(name="--json", negative="", help="print JSON only")]
DEFAULT_GATE = "http://127.0.0.1:7100"


class GateResponse:
    """The HTTP response of a gate: its status and its JSON document.

    The status is 0 when no response arrived; the document then holds the error.
    """

    __slots__ = ("status", "document")

    def __init__(self, status: int, document: dict):
        self.status = status
        self.document = document


def call_gate(
    method: str, url: str, key: str, body: bytes | None = None, progress_text: str = ""
) -> GateResponse:
    """Calls a gate and returns its response; shows a spinner on standard error meanwhile."""

    async def fetch() -> GateResponse:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        timeout = aiohttp.ClientTimeout(total=GATE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(method, url, data=body, headers=headers) as response:
                return GateResponse(response.status, await response.json())

    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    try:
        with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
            progress.add_task(progress_text or "waiting for the gate")
            return asyncio.run(fetch())
    except aiohttp.ClientConnectorError as error:
        fault = {"reason": "no_connection", "detail": str(error), "peer": url, "step": "call"}
        return GateResponse(0, {"outcome": "not_run", "error": fault})
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        fault = {"reason": "no_answer", "detail": repr(error), "peer": url, "step": "call"}
        return GateResponse(0, {"outcome": "unknown", "error": fault})


def report_response(gate_response: GateResponse, as_json: bool, show=None) -> int:
    """Prints a response and returns the exit code that goes with it."""
    document = gate_response.document
    outcome = document.get("outcome", "")
    if as_json:
        print(json.dumps(document))
    elif 200 <= gate_response.status < 300:
        (show or print_fields)(document)
    else:
        for fault in document.get("errors") or [document.get("error", {})]:
            where = f" {fault['field']}:" if fault.get("field") else ""
            text = f"{outcome}: {fault.get('reason')} at {fault.get('step')} by"
            print(f"{text} {fault.get('peer')}:{where} {fault.get('detail')}", file=sys.stderr)
    if 200 <= gate_response.status < 300:
        return 0
    return EXIT_UNKNOWN if outcome == "unknown" else EXIT_REFUSED


def print_fields(document: dict):
    """Prints a document as one line of name and value for each field."""
    for name, value in document.items():
        print(f"{name}: {value if isinstance(value, str) else json.dumps(value)}")


def read_file(path: str) -> bytes:
    """Reads a file, or standard input for ``-``."""
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        print(f"{path}: can't be read: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


@ticket_app.command(name="check")
def check_ticket(file: str, *, gate: Gate = "", key: Key = "", json: AsJson = False) -> int:
    """Check a ticket; with a gate also against the configuration in force."""
    text = read_file(file)
    if gate:
        return report_response(call_gate("POST", f"{gate}/v1/tickets/check", key, text), json)
    checked = parse_ticket(text)
    for fault in checked.faults:
        print(describe_problem(fault), file=sys.stderr)
    if not checked.faults:
        print(f"ticket {checked.value.ticket} is well formed")
    return EXIT_REFUSED if checked.faults else 0


@ticket_app.command(name="publish")
def publish_ticket(
    file: str, *, gate: Gate = DEFAULT_GATE, key: Key = "", json: AsJson = False
) -> int:
    """Publish a ticket; either all of it is accepted or none."""
    text = read_file(file)
    return report_response(call_gate("POST", f"{gate}/v1/tickets", key, text, "publishing"), json)


@ticket_app.command(name="show")
def show_config(*, gate: Gate = DEFAULT_GATE, key: Key = "", json: AsJson = False) -> int:
    """Show the configuration in force and which ticket set each part."""
    return report_response(call_gate("GET", f"{gate}/v1/config", key), json, _print_config)


def _print_config(document: dict):
    print(f"ticket {document['ticket']} is in force")
    for section in ("teams", "keys", "queues", "zones"):
        table = Table(title=section)
        rows = document[section]
        names = list(rows[0]) if rows else []
        for name in names:
            table.add_column(name)
        for row in rows:
            table.add_row(*(str(row[name]) for name in names))
        if rows:
            Console().print(table)


def _publish_key(gate: str, key: str, part: dict) -> GateResponse:
    """Publishes a ticket that changes one key, under the next ticket number."""
    config = call_gate("GET", f"{gate}/v1/config", key)
    if config.status != 200:
        return config
    body = json.dumps({"ticket": config.document["ticket"] + 1, "keys": [part]}).encode()
    return call_gate("POST", f"{gate}/v1/tickets", key, body, "publishing")


@key_app.command(name="grant")
def grant_key(
    team: str, *, gate: Gate = DEFAULT_GATE, key: Key = "", as_json: AsJson = False
) -> int:
    """Create a key for a team; it is printed once and stored nowhere."""
    new_key = secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(new_key.encode()).hexdigest()
    gate_response = _publish_key(gate, key, {"digest": digest, "team": team})
    if 200 <= gate_response.status < 300:
        gate_response.document["key"] = new_key
    return report_response(gate_response, as_json)


@key_app.command(name="withdraw")
def withdraw_key(
    withdrawn: str, *, gate: Gate = DEFAULT_GATE, key: Key = "", as_json: AsJson = False
) -> int:
    """Withdraw a key, given as its text or as its SHA-256 digest."""
    is_digest = len(withdrawn) == 64 and all(c in "0123456789abcdef" for c in withdrawn)
    digest = withdrawn if is_digest else hashlib.sha256(withdrawn.encode()).hexdigest()
    return report_response(_publish_key(gate, key, {"digest": digest, "removed": True}), as_json)


@app.command(name="status")
def show_status(*, gate: Gate = DEFAULT_GATE, json: AsJson = False) -> int:
    """Show the entry VMs, the shards that each owns and the ticket that it applies."""
    return report_response(call_gate("GET", f"{gate}/v1/status", ""), json, _print_status)


def _print_status(document: dict):
    table = Table(title=f"as seen by {document['node']}, ticket {document['ticket']}")
    for name in ("node", "zone", "state", "ticket", "shard", "epoch", "free slots", "waiting"):
        table.add_column(name)
    for node in document["nodes"]:
        state = "draining" if node["draining"] else "live" if node["live"] else "not heard"
        node_cells = (node["node"], node["zone"], state, str(node["ticket"]))
        for item in node["shards"] or [None]:
            shard_cells = ("", "", "", "")
            if item:
                numbers = (item["epoch"], item["free_slots"], item["waiting"])
                shard_cells = (item["shard"], *map(str, numbers))
            table.add_row(*node_cells, *shard_cells)
    Console().print(table)


@app.command(name="submit")
def submit_work(
    queue: str,
    body: str = "{}",
    *,
    request: Annotated[bool, Parameter(negative="", help="send a request, not a job")] = False,
    wait: Annotated[bool, Parameter(negative="", help="wait until the job has ended")] = False,
    gate: Gate = DEFAULT_GATE,
    key: Key = "",
    json: AsJson = False,
) -> int:
    """Submit a job, or a request, whose document is BODY (JSON, @FILE or - for standard input)."""
    text = read_file(body.removeprefix("@")) if body[:1] in "@-" else body.encode()
    path = "requests" if request else "jobs"
    gate_response = call_gate("POST", f"{gate}/v1/queues/{queue}/{path}", key, text, "submitting")
    code = report_response(gate_response, json)
    if code == 0 and wait and not request:
        return _wait_for_job(gate, key, gate_response.document["job"], json)
    return code


def _wait_for_job(gate: str, key: str, job: str, as_json: bool) -> int:
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task(job, total=None)
        while True:
            gate_response = asyncio.run(_fetch_job(gate, key, job))
            if gate_response.status != 200:
                break
            done = (
                gate_response.document["done"]
                + gate_response.document["failed"]
                + gate_response.document["unknown"]
            )
            progress.update(bar, total=gate_response.document["tasks"], completed=done)
            if gate_response.document["state"] not in ("waiting", "running"):
                break
            time.sleep(JOB_POLL_S)
    code = report_response(gate_response, as_json)
    return code if code or gate_response.document["state"] == "done" else EXIT_REFUSED


async def _fetch_job(gate: str, key: str, job: str) -> GateResponse:
    async with aiohttp.ClientSession() as session:
        headers = {"Authorization": f"Bearer {key}"}
        async with session.get(f"{gate}/v1/jobs/{job}", headers=headers) as response:
            return GateResponse(response.status, await response.json())


@app.command(name="jobs")
def list_jobs(*, gate: Gate = DEFAULT_GATE, key: Key = "", json: AsJson = False) -> int:
    """List the jobs of the key's team."""

    def show(document: dict):
        table = Table()
        names = ("job", "queue", "kind", "state", "tasks", "waiting", "running", "done", "failed")
        for name in names:
            table.add_column(name, no_wrap=name == "job")
        for item in document["jobs"]:
            table.add_row(*(str(item[name]) for name in names))
        Console().print(table)

    return report_response(call_gate("GET", f"{gate}/v1/jobs", key), json, show)


@app.command(name="cancel")
def cancel_job(job: str, *, gate: Gate = DEFAULT_GATE, key: Key = "", json: AsJson = False) -> int:
    """Cancel a job of the key's team."""
    return report_response(call_gate("DELETE", f"{gate}/v1/jobs/{job}", key), json)


@app.command(name="drain")
def drain_node(*, gate: Gate = DEFAULT_GATE, key: Key = "", json: AsJson = False) -> int:
    """Drain the entry VM of a gate and stop its programs, as SIGTERM does."""
    return report_response(call_gate("POST", f"{gate}/v1/drain", key), json)


@app.command(name="demo")
def demonstrate(
    *,
    settings: Annotated[str, Parameter(name="--settings")] = "examples/anatolia.json",
    events: str = "var/demo.events.jsonl",
    log: str = "var/demo.log",
) -> int:
    """Run a whole site in one process, send it a mix of work and check the recorded history."""
    site = load_or_exit(settings)
    Path(log).parent.mkdir(parents=True, exist_ok=True)
    with open(log, "w") as stream:
        eliot.to_file(stream)
        summary = asyncio.run(run_demo(site, events))
    return 1 if summary["violations"] else 0


@app.command(name="load")
def send_load(
    *,
    settings: Annotated[str, Parameter(name="--settings")],
    requests: int = 1000,
    seconds: float = 20.0,
    jobs: bool = True,
    seed: int = 1,
    json: AsJson = False,
) -> int:
    """Send a mix of work to a running site and report the outcome of every request.

    Parameters
    ----------
    settings: the site's settings, a JSON file with a section ``standin`` that has the keys
    requests: how many requests to send
    seconds: the period over which to spread them
    jobs: send jobs as well
    seed: the seed of the mix
    """
    site = load_or_exit(settings)
    timeline = open_timeline(site, "load")
    result = asyncio.run(run_load(site, timeline, requests, seconds, jobs, seed))
    timeline.close()
    document = {
        "requests": result.requests,
        "outcomes": dict(result.outcomes),
        "reasons": {" ".join(names): count for names, count in result.reasons.items()},
        "jobs": dict(result.job_outcomes),
        "wait_ms": summarize_waits(result),
    }
    print_json(document) if json else print_fields(document)
    return EXIT_REFUSED if sum(result.outcomes.values()) != requests else 0


def print_json(document: dict):
    """Prints a document as one line of JSON."""
    print(json.dumps(document))


def run(tokens=None):
    """Runs the command line and exits with its exit code."""
    sys.exit(app(tokens) or 0)
