"""Encoding of jobs, leader terms and nodes as keyed records in the log.

Each record has a key, and the log keeps the newest record of every key, so that reading the newest
records restores the whole state. A job has three keys: its specification, its cancellation and its
progress, and more for the other parts of progress that is large. When the work of a job has ended,
its records are dropped, except for the short progress record that holds the final state.
"""

import enum
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

from ..core.resource import Resources
from .data import (
    MAX_TASKS_PER_JOB,
    AdviceTimes,
    Job,
    JobQueue,
    JobSpec,
    StepSpec,
)


class RecordKind(enum.StrEnum):
    """The kind of a record, which is the first letter of its key."""

    JOB = "j"
    CANCEL = "c"
    PROGRESS = "p"
    PART = "q"
    TERM = "t"
    HEARTBEAT = "b"
    NODE = "n"
    LEARNED = "d"
    LOAD = "l"


# In an append, a record is preceded by its length and its key by one byte.
FRAME_BYTES = 5


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A record of the log; an empty value deletes the key (a tombstone)."""

    key: str
    value: bytes

    @property
    def kind(self) -> str:
        """The kind of the record, one of the letters of :class:`RecordKind`."""
        return self.key[:1]

    @property
    def size(self) -> int:
        """The bytes that the record takes in an append: its framing, key and value."""
        return FRAME_BYTES + len(self.key.encode()) + len(self.value)

    @property
    def name(self) -> str:
        """The name of the object that the record describes, such as a job id."""
        return self.key[2:]


@dataclass(slots=True, frozen=True)
class Term:
    """A period during which one node is the leader; each new leader takes a higher number."""

    number: int
    node: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class NodeRecord:
    """The address at which a node serves its peers, and its capacity in reference cores."""

    node: str
    zone: str
    host: str
    port: int
    incarnation: str
    strength: float = 1.0


@dataclass(slots=True, frozen=True)
class QueueWait:
    """How long a new job of a queue is expected to wait, in seconds.

    ``within_s`` applies to teams within their share and ``beyond_s`` to teams over their share.
    ``jobs_per_s`` is how many jobs of the queue are expected to begin per second. The wait for the
    advice service is ``advice_s``, beside VMs that may be idle.
    """

    within_s: float
    beyond_s: float
    jobs_per_s: float = 0.0
    advice_s: float = 0.0

    def get_longest_s(self) -> float:
        """Returns the longest of the waits."""
        return max(self.beyond_s, self.advice_s)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The leader's report on the expected waits; a queue or team without an entry may submit.

    ``serial`` numbers the reports of a term, and ``at_s`` is the wall-clock time of the report.
    ``teams_over_share`` are the teams that have submitted more than their share lately.
    """

    term: int
    serial: int
    at_s: float
    waits: dict[str, QueueWait] = field(default_factory=dict)
    teams_over_share: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Cancellation:
    """The cancellation of a job by ``team``, recorded at the wall-clock time ``at_s``.

    It concerns whatever job has or gets the id; with a team only a job of that team, or of a queue
    that is open to all.
    """

    team: str | None = None
    at_s: float = 0.0


def make_key(kind: RecordKind, name: str) -> str:
    """Returns the key of a record, such as ``p/`` and the job id for the progress of a job."""
    return f"{kind}/{name}"


COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# The first field of a load report. A node that doesn't know the version ignores the report.
LOAD_REPORT_VERSION = 1
# The bounds of a load report, which every node reads once a second under load.
MAX_REPORTED_QUEUES = 64
MAX_REPORTED_TEAMS = 256
MAX_LOAD_REPORT_BYTES = 32_768

_PLAIN_TYPES = frozenset({bool, int, float, str})
_STEP_FIELDS = StepSpec.__dataclass_fields__
_SCALAR_STEP_FIELDS = [name for name in _STEP_FIELDS if name not in ("need", "after")]


def _encode_step(step: StepSpec) -> dict:
    fields = {}
    for name in _SCALAR_STEP_FIELDS:
        value = getattr(step, name)
        if value:
            fields[name] = value
    fields["need"] = [step.need.millicores, step.need.memory_mb, step.need.accelerators]
    if step.after:
        fields["after"] = step.after
    return fields


def _decode_step(fields: dict) -> StepSpec:
    fields["need"] = Resources(*_check_all(fields["need"], int))
    fields["after"] = tuple(_check_all(fields.get("after", ()), int))
    return StepSpec(**_check_fields(fields, StepSpec))


def _encode_queue(queue: JobQueue) -> dict:
    fields = {name: getattr(queue, name) for name in JobQueue.__dataclass_fields__}
    advice = queue.advice
    fields["advice"] = advice and [advice.decision_s, advice.per_vm_s, advice.valid_s]
    return fields


def _decode_queue(fields: dict) -> JobQueue:
    if fields["advice"] is not None:
        fields["advice"] = AdviceTimes(*_check_all(fields["advice"], float))
    return JobQueue(**_check_fields(fields, JobQueue))


def _check_fields(fields: dict, data_class: type) -> dict:
    """Returns the fields of a data class; raises ``TypeError`` if a plain one has another type."""
    for name, value in fields.items():
        expected = data_class.__dataclass_fields__[name].type
        if expected in _PLAIN_TYPES:
            _check(value, expected)
    return fields


def _check_all(values: Iterable, expected: type) -> list:
    return [_check(value, expected) for value in values]


def _check(value: object, expected: type):
    """Returns a value of a plain type; a whole number is a ``float`` too, but no flag is."""
    allowed = (int, float) if expected is float else expected
    if not isinstance(value, allowed) or (isinstance(value, bool) and expected is not bool):
        raise TypeError(f"a {type(value).__name__} stands where a {expected.__name__} belongs")
    return value


def compress_json(fields: object) -> bytes:
    """Encodes a record as compressed JSON, because every node reads every record."""
    return compress(orjson.dumps(fields))


def compress(text: bytes) -> bytes:
    """Compresses a record that was encoded as JSON."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def decompress_json(value: bytes) -> object:
    """Decodes a record encoded by :func:`compress_json`; raises ``ValueError`` for any other."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(value, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a zlib-compressed record: {error}") from error
    if not decompressor.eof:
        raise ValueError("a compressed record is cut short or too large")
    return orjson.loads(text)


def encode_job(job: Job) -> bytes:
    """Encodes a submitted job, with the queue as configured when the job was accepted."""
    spec = job.spec
    return compress_json(
        {
            "team": job.team,
            "queue": _encode_queue(job.queue),
            "at": job.accepted_s,
            "payload": spec.payload,
            "steps": [_encode_step(step) for step in spec.steps],
            "times": [spec.repeats, spec.first_due_s, spec.interval_s],
        }
    )


def decode_job(job_id: str, value: bytes) -> Job:
    """Decodes a job encoded by :func:`encode_job`."""
    raw = decompress_json(value)
    steps = tuple(_decode_step(fields) for fields in raw["steps"])
    repeats, *times = raw["times"]
    spec = JobSpec(
        _check(raw["payload"], str), steps, _check(repeats, int), *_check_all(times, float)
    )
    if spec.count_tasks() > MAX_TASKS_PER_JOB:
        raise ValueError(f"a job must have at most {MAX_TASKS_PER_JOB} tasks")
    team, accepted_s = _check(raw["team"], str), _check(raw["at"], float)
    return Job(job_id, team, _decode_queue(raw["queue"]), spec, accepted_s)


# The cancellation of a job that was known to its node.
PLAIN_CANCELLATION = b"1"


def encode_cancellation(cancellation: Cancellation) -> bytes:
    """Encodes the cancellation of a job that its node doesn't know."""
    return orjson.dumps([cancellation.team, cancellation.at_s])


def decode_cancellation(value: bytes) -> Cancellation:
    """Decodes a cancellation; raises ``ValueError`` or ``TypeError`` for any other content."""
    if value == PLAIN_CANCELLATION:
        return Cancellation()
    cancellation = _decode_row_as(Cancellation, value)
    _check(cancellation.team, str)
    return cancellation


def encode_term(term: Term) -> bytes:
    """Encodes a leader term."""
    return orjson.dumps([term.number, term.node, term.incarnation])


def decode_term(value: bytes) -> Term:
    """Decodes a leader term; raises ``ValueError`` or ``TypeError`` for any other content."""
    return _decode_row_as(Term, value)


def encode_node(record: NodeRecord) -> bytes:
    """Encodes the address and the capacity of a node."""
    return orjson.dumps([getattr(record, name) for name in NodeRecord.__dataclass_fields__])


def decode_node(value: bytes) -> NodeRecord:
    """Decodes the address and the capacity of a node, as :func:`decode_term` does a term."""
    return _decode_row_as(NodeRecord, value)


def _decode_row_as(data_class: type, value: bytes):
    row = orjson.loads(value)
    names = data_class.__dataclass_fields__
    if not isinstance(row, list) or len(row) > len(names):
        raise ValueError(f"must be a list of at most {len(names)} fields")
    return data_class(**_check_fields(dict(zip(names, row, strict=False)), data_class))


def encode_load_report(report: LoadReport) -> bytes:
    """Encodes a load report.

    Of more queues than the report may hold, those with the longest waits are kept; the nodes accept
    the jobs of the others. Long names leave room for fewer queues and teams.
    """
    longest = sorted(report.waits.items(), key=lambda item: (-item[1].get_longest_s(), item[0]))
    teams = sorted(report.teams_over_share)
    max_queues, max_teams = MAX_REPORTED_QUEUES, MAX_REPORTED_TEAMS
    while True:
        waits = {name: _encode_wait(wait) for name, wait in longest[:max_queues]}
        fields = [report.term, report.serial, report.at_s, waits, teams[:max_teams]]
        value = orjson.dumps([LOAD_REPORT_VERSION, *fields])
        if len(value) <= MAX_LOAD_REPORT_BYTES:
            return value
        max_queues, max_teams = max_queues // 2, max_teams // 2


def _encode_wait(wait: QueueWait) -> list[float]:
    """Returns the fields of a wait; builds that don't know the last one read the others."""
    fields = [wait.within_s, wait.beyond_s, wait.jobs_per_s]
    return [*fields, wait.advice_s] if wait.advice_s else fields


def decode_load_report(value: bytes) -> LoadReport:
    """Decodes a load report; raises ``ValueError`` or ``TypeError`` for any other content."""
    version, *fields = orjson.loads(value)
    if version != LOAD_REPORT_VERSION:
        raise ValueError(f"unknown version {version!r} of the load report")
    term, serial, at_s, waits, teams = fields
    if not isinstance(teams, list) or not all(isinstance(team, str) for team in teams):
        raise ValueError("the teams of the load report must be a list of names")
    decoded = {name: QueueWait(*map(_read_number, wait)) for name, wait in waits.items()}
    return LoadReport(
        int(_read_number(term)),
        int(_read_number(serial)),
        _read_number(at_s),
        decoded,
        frozenset(teams),
    )


def _read_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} is not a number of the load report")
    return value
