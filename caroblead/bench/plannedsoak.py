"""Soak test of planned work: ``python -m caroblead.bench.plannedsoak --seeds 10``.

Nodes run as separate processes and are stopped, restarted and told to reload their settings, while
new configurations are published; these come in series and overlap. Callers keep using their
connections until the node closes them. No other fault is injected, so every request that a node has
taken must be answered.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import cyclopts
import orjson

from ..jobs.record import KeyedRecord
from ..platform import configuration
from ..standin.caller import encode_configuration, encode_step
from ..standin.cluster import KEY, QUEUES
from ..standin.trialdraw import generate_job
from .soaksite import CHECKPOINT_LENGTH, SoakRun, start_process, start_soak, stop_soak

CALLERS = 40
TRAFFIC_S = 12.0
WORKS = 10
MAX_PAUSE_S = 0.15
RESPONSE_TIMEOUT_S = 4.0
# Most requests arrive slowly, with a pause before their last bytes.
SLOW_FRACTION = 0.8
MAX_SEND_S = 0.8
LAST_BYTES = 20
START_TIMEOUT_S = 20.0
# A connection that ends sooner after a request was sent may have been closed before the node read
# the request.
LOSS_SLACK_S = 0.2
MAX_STOP_S = 6.0

app = cyclopts.App(help="Soak test of stops, reloads and new configurations under traffic.")


@dataclass(slots=True)
class Answers:
    """The statuses of the responses that callers got, and what they did not get."""

    statuses: Counter = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)


# Callers.


class KeptConnection:
    """A caller's connection to a node, which it uses until the node closes it."""

    def __init__(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.node = node
        self.reader = reader
        self.writer = writer

    async def send(self, request: bytes, pause_s: float):
        """Sends a request, with a pause before its last bytes."""
        self.writer.write(request[:-LAST_BYTES])
        await asyncio.sleep(pause_s)
        self.writer.write(request[-LAST_BYTES:])

    async def read_status(self) -> int:
        """Returns the status of the complete response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        status, *lines = head.decode().lower().split("\r\n")[:-2]
        headers = dict(line.split(": ", 1) for line in lines)
        await self.reader.readexactly(int(headers["content-length"]))
        return int(status.split()[1])


def _encode_request(method: str, job_id: str, body: bytes = b"") -> bytes:
    queue = QUEUES["checks"]
    return (
        f"{method} {queue.path}{job_id} HTTP/1.1\r\nHost: {queue.host}\r\n"
        f"Authorization: Bearer {KEY}\r\nDeadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _make_submission(soak: SoakRun, generator: random.Random) -> tuple[str, bytes]:
    job_id, spec = f"{generator.getrandbits(64):016x}", generate_job(generator, CHECKPOINT_LENGTH)
    soak.caller_records.jobs[job_id] = spec
    message = {"spec": spec.payload, "steps": [encode_step(step) for step in spec.steps]}
    return job_id, _encode_request("POST", job_id, orjson.dumps(message))


async def _connect(soak: SoakRun, generator: random.Random) -> KeptConnection | None:
    node = generator.choice(sorted(soak.frontends))
    host, port = soak.frontends[node].split(":")
    try:
        return KeptConnection(node, *await asyncio.open_connection(host, int(port)))
    except OSError:
        return None


async def _use_connection(
    connection: KeptConnection, soak: SoakRun, answers: Answers, generator: random.Random
):
    """Submits jobs and asks for them until the connection ends."""
    while True:
        job_id, submission = _make_submission(soak, generator)
        for request in (submission, _encode_request("GET", job_id)):
            slow = generator.random() < SLOW_FRACTION
            await connection.send(request, generator.uniform(0.0, MAX_SEND_S) if slow else 0.0)
            sent_s = time.monotonic()
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    status = await connection.read_status()
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                waited_s = time.monotonic() - sent_s
                if waited_s > LOSS_SLACK_S:
                    answers.problems.append(
                        f"{connection.node} cut off {request[:25]} after {waited_s:.2f} s:"
                        f" {type(error).__name__}"
                    )
                return
            answers.statuses[status] += 1
            await asyncio.sleep(generator.uniform(0.0, MAX_PAUSE_S))


async def _keep_calling(soak: SoakRun, answers: Answers, generator: random.Random):
    while True:
        connection = await _connect(soak, generator)
        if connection is not None:
            await _use_connection(connection, soak, answers, generator)
            connection.writer.close()
        await asyncio.sleep(generator.uniform(0.0, MAX_PAUSE_S))


# Planned work.


async def stop_and_restart(soak: SoakRun, answers: Answers, generator: random.Random):
    """Stops a node with one or two signals and restarts it at once."""
    name = generator.choice(sorted(soak.processes))
    process = soak.processes[name]
    if process.poll() is not None:
        return
    started_s = time.monotonic()
    for _ in range(generator.randint(1, 2)):
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.01)
    status = await asyncio.to_thread(process.wait)
    took_s = time.monotonic() - started_s
    if took_s > MAX_STOP_S:
        answers.problems.append(f"{name} took {took_s:.2f} s to stop")
    if status not in (0, -signal.SIGTERM):
        answers.problems.append(f"{name} exited with status {status}")
    if soak.processes[name] is process:
        start_process(soak, name)


async def reload_settings(soak: SoakRun, answers: Answers, generator: random.Random):
    """Tells a node one to three times to read its settings again."""
    process = soak.processes[generator.choice(sorted(soak.processes))]
    for _ in range(generator.randint(1, 3)):
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(generator.uniform(0.0, 0.2))


async def publish_configuration(soak: SoakRun, answers: Answers, generator: random.Random):
    """Publishes a new version of the configuration."""
    topic = soak.get_topic(configuration.TOPIC)
    document = encode_configuration(topic.end_offset + 1, QUEUES, KEY)
    topic.append([KeyedRecord(configuration.KEY, document)], None)


WORK = (stop_and_restart, stop_and_restart, reload_settings, publish_configuration)


async def _do_planned_work(soak: SoakRun, answers: Answers):
    generator = soak.generator

    async def do_later(work, at_s: float, seed: int):
        await asyncio.sleep(at_s)
        soak.faults.append(work.__name__)
        await work(soak, answers, random.Random(seed))

    chosen = [
        do_later(
            generator.choice(WORK), generator.uniform(0.0, TRAFFIC_S), generator.getrandbits(32)
        )
        for _ in range(WORKS)
    ]
    await asyncio.gather(*chosen)


async def _wait_until_serving(soak: SoakRun):
    """Waits until every node has loaded its queues and answers that there is no such job."""
    request = _encode_request("GET", "0" * 16)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    for frontend in soak.frontends.values():
        host, port = frontend.split(":")
        status = 0
        while status != 410 and time.monotonic() < deadline_s:
            try:
                streams = await asyncio.open_connection(host, int(port))
                connection = KeptConnection("", *streams)
                await connection.send(request, 0.0)
                status = await connection.read_status()
                streams[1].close()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)


async def run_planned_soak(seed: int, folder: Path) -> tuple[SoakRun, Answers]:
    """Runs one seed and returns the run and what callers got."""
    soak, answers = await start_soak(seed, folder), Answers()
    try:
        await _wait_until_serving(soak)
        callers = [
            asyncio.create_task(_keep_calling(soak, answers, random.Random(seed * 100 + number)))
            for number in range(CALLERS)
        ]
        await _do_planned_work(soak, answers)
        for caller in callers:
            caller.cancel()
        for result in await asyncio.gather(*callers, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result
        return soak, answers
    finally:
        await stop_soak(soak)


@app.default
def search(seeds: int = 10, first: int = 1):
    """Runs a range of seeds and exits with 1 if any request was cut off.

    Parameters
    ----------
    seeds
        The number of seeds to run.
    first
        The first seed.
    """
    failed = False
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak, answers = asyncio.run(run_planned_soak(seed, Path(name)))
        works = dict(Counter(soak.faults))
        print(f"seed {seed}: {dict(answers.statuses)}, {works}: {len(answers.problems)} problems")
        print("".join(f"  {problem}\n" for problem in answers.problems), end="", flush=True)
        failed = failed or bool(answers.problems)
    sys.exit(failed)


if __name__ == "__main__":
    app()
