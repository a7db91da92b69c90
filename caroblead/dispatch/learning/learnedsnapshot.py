"""Encodes what is learned of durations and speeds for the log, within a bounded size.

Each record starts with a version byte and holds compressed JSON. It holds the latest samples and
not the tables, so that a build that keeps other tables can still read it. Logarithms are kept in
hundredths. What does not fit is left out: the entries of the teams that were quiet the longest, or
the VMs whose speed is least certain.
"""

import zlib
from collections.abc import Callable, Hashable

import orjson

from ...jobs.ledger import MALFORMED
from ...jobs.record import COMPRESSION_LEVEL
from .duration import DurationTable, QueueDurations, put_queue, put_step, put_team_entry
from .samplewindow import Sample, SampleWindow, add_sample
from .speed import PRIOR_VARIANCE, SpeedEstimate, SpeedTable, get_estimate

VERSION = 1
# The names of the records. Together they stay below 64 KB.
QUEUES, TEAMS, SPEEDS = "queues", "teams", "speeds"
MAX_BYTES = {QUEUES: 16_384, TEAMS: 28_672, SPEEDS: 16_384}
# How many of the latest samples of a window are kept.
QUEUE_SAMPLES, STEP_SAMPLES, TEAM_SAMPLES = 48, 24, 8
MAX_ATTEMPTS = 8
SHRINK_MARGIN = 0.9
SCALE = 100
# Values beyond this are not logarithms of seconds or of speeds.
MAX_LOG = 20.0
# An uncompressed record is not read beyond this size.
MAX_PLAIN_BYTES = 1 << 20


class SnapshotError(ValueError):
    """A record of what was learned is malformed or of another version."""


def encode_queues(table: DurationTable, now_s: float, wall_s: float) -> bytes:
    """Encodes the shared levels of all queues."""
    rows = []
    for name, known in reversed(table.queues.items()):
        steps = [
            [step, *_encode_window(window, STEP_SAMPLES, now_s)]
            for step, window in known.steps.items()
        ]
        numbers = [known.samples, round(known.error, 3), round(known.over_high, 3)]
        window = _encode_window(known.window, QUEUE_SAMPLES, now_s)
        errors = _encode_window(known.errors, QUEUE_SAMPLES, now_s)
        rows.append([name, round(known.slope, 3), numbers, window, errors, steps])
    return _encode_bounded(rows, wall_s, MAX_BYTES[QUEUES])


def encode_teams(table: DurationTable, now_s: float, wall_s: float) -> bytes:
    """Encodes the entries of the teams, the latest used first."""
    rows = [
        [team, list(key), *_encode_window(window, TEAM_SAMPLES, now_s)]
        for team, entries in reversed(table.teams.items())
        for key, window in entries.items()
    ]
    return _encode_bounded(rows, wall_s, MAX_BYTES[TEAMS])


def encode_speeds(table: SpeedTable, now_s: float, wall_s: float) -> bytes:
    """Encodes the speeds of the VMs with samples, the most certain first."""
    known = [item for item in table.estimates.items() if item[1].samples]
    known.sort(key=lambda item: item[1].variance)
    rows = [
        [
            name,
            estimate.incarnation,
            round(estimate.log_speed * SCALE),
            round(estimate.variance * SCALE * SCALE),
            estimate.samples,
            round(now_s - estimate.updated_s, 1),
        ]
        for name, estimate in known
    ]
    return _encode_bounded(rows, wall_s, MAX_BYTES[SPEEDS])


def _encode_window(window: SampleWindow, count: int, now_s: float) -> list:
    """Returns the age and the latest samples of a window, with the steps numbered."""
    numbers: dict[Hashable, int] = {}
    teams: dict[str, int] = {}
    samples = [
        [
            round(sample.log_work * SCALE),
            round(sample.log_estimate * SCALE),
            int(sample.exact),
            teams.setdefault(sample.team, len(teams)) if window.shared else 0,
            numbers.setdefault(sample.step, len(numbers)),
        ]
        for sample in list(window.samples)[-count:]
    ]
    return [round(now_s - window.updated_s, 1), list(teams), samples]


def _encode_bounded(rows: list, wall_s: float, max_bytes: int) -> bytes:
    """Encodes as many of the first rows as fit."""
    for _ in range(MAX_ATTEMPTS):
        packed = zlib.compress(orjson.dumps([round(wall_s, 1), rows]), COMPRESSION_LEVEL)
        if len(packed) < max_bytes:
            return bytes([VERSION]) + packed
        rows = rows[: int(len(rows) * SHRINK_MARGIN * max_bytes / len(packed))]
    return b""


def decode_queues(value: bytes, now_s: float, wall_s: float) -> DurationTable:
    """Decodes the shared levels of all queues, into a table without entries of teams."""
    return _decode(value, now_s, wall_s, DurationTable(), _add_queue)


def decode_teams(table: DurationTable, value: bytes, now_s: float, wall_s: float):
    """Decodes the entries of the teams into a table; raises before it is changed."""
    found = _decode(value, now_s, wall_s, DurationTable(), _add_team_entry)
    table.teams = found.teams


def decode_speeds(value: bytes, now_s: float, wall_s: float) -> SpeedTable:
    """Decodes the speeds of the VMs."""
    return _decode(value, now_s, wall_s, SpeedTable(), _add_speed)


def _decode(value: bytes, now_s: float, wall_s: float, table, add_row: Callable):
    """Adds the rows of a record to a table; raises :class:`SnapshotError` if any is malformed."""
    if not value or value[0] != VERSION:
        raise SnapshotError(f"version {value[0] if value else 'missing'}, expected {VERSION}")
    try:
        plain = zlib.decompressobj().decompress(value[1:], MAX_PLAIN_BYTES)
        saved_s, rows = orjson.loads(plain)
        # The clocks of two nodes may differ, so an age is never negative.
        began_s = now_s - max(0.0, wall_s - float(saved_s))
        for row in reversed(rows):
            add_row(table, row, began_s)
    except (zlib.error, OverflowError, *MALFORMED) as error:
        raise SnapshotError(f"{type(error).__name__}: {error}") from error
    return table


def _add_queue(table: DurationTable, row: list, now_s: float):
    name, slope, numbers, window, errors, steps = row
    known: QueueDurations = put_queue(table, _check_name(name))
    known.slope = min(1.0, max(0.0, float(slope)))
    known.samples, known.error, known.over_high = int(numbers[0]), *map(float, numbers[1:])
    _fill_window(known.window, window, now_s)
    _fill_window(known.errors, errors, now_s)
    for step, *rest in steps:
        _fill_window(put_step(known, int(step)), rest, now_s)


def _add_team_entry(table: DurationTable, row: list, now_s: float):
    team, key, *rest = row
    queue, *numbers = key
    window = put_team_entry(table, _check_name(team), (_check_name(queue), *map(int, numbers)))
    _fill_window(window, rest, now_s, team)


def _add_speed(table: SpeedTable, row: list, now_s: float):
    name, incarnation, log_speed, variance, samples, age_s = row
    estimate: SpeedEstimate = get_estimate(table, _check_name(name), int(incarnation))
    estimate.log_speed = _check_log(log_speed)
    estimate.variance = min(PRIOR_VARIANCE, max(0.0, float(variance) / SCALE / SCALE))
    estimate.samples = int(samples)
    estimate.updated_s = now_s - float(age_s)


def _fill_window(window: SampleWindow, encoded: list, now_s: float, team: str = ""):
    age_s, teams, samples = encoded
    for log_work, log_estimate, exact, team_number, step in samples:
        owner = _check_name(teams[team_number]) if teams else team
        identity = hash((owner, int(step)))
        logs = _check_log(log_work), _check_log(log_estimate)
        add_sample(window, Sample(*logs, bool(exact), owner, identity), now_s - float(age_s))


def _check_name(name) -> str:
    if not isinstance(name, str):
        raise SnapshotError(f"not a name: {name!r}")
    return name


def _check_log(value) -> float:
    number = float(value) / SCALE
    if not abs(number) <= MAX_LOG:
        raise SnapshotError(f"out of range: {value!r}")
    return number
