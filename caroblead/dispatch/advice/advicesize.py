"""Decides about which VMs a request to the advice service asks.

This is meant for services that take longer the more VMs a request names, such as 0.7 s and 10 ms
for each VM. A request names as many VMs as are likely to contain enough allowed ones for the
waiting tasks of its step. The share of VMs that the service allows is learned for each queue.
"""

import math
import zlib
from collections import Counter
from dataclasses import dataclass, field

from ...core.resource import fits
from ..eviction import count_fit
from ..fleet import Fleet, Reservation, VmRow, is_usable
from ..work import StepAdvice, StepWork, get_booked_need

# The share assumed for a queue of which nothing is known, and the number of answers about VMs
# that weigh as much as this assumption.
UNKNOWN_SHARE = 0.25
UNKNOWN_SHARE_WEIGHT = 8.0
# Answers about more VMs than this are scaled down, so that a changed share is followed. The
# standard error of a share of 0.25 is then 0.03.
MAX_SHARE_SAMPLES = 200.0
# How many standard deviations above the needed places the expected ones must be. A second request
# takes as long as naming some 70 more VMs, so it should be necessary in few cases in a hundred.
CONFIDENCE_DEVIATIONS = 2.0
# For how many tasks a VM without room counts. Where VMs with room don't suffice, a step is served
# sooner from a wide choice of VMs than after a short request: counted as a whole place, reviews at
# twice their load were served 0.85 in time by unsized requests and 0.79 by sized ones, with this
# number 0.87 (``caroblead.bench.overload``).
PLACES_WITHOUT_ROOM = 0.05
# A request names at least this many VMs: room may be gone when the answer arrives, and a choice
# among several allowed VMs fits better.
MIN_VMS_PER_REQUEST = 8


@dataclass(slots=True)
class ShareSamples:
    """The decayed numbers of VMs that the service was asked about and allowed for a queue."""

    asked: float = 0.0
    allowed: float = 0.0


@dataclass(slots=True)
class AdviceShares:
    """What is known of the share of VMs that the service allows, by the name of the queue."""

    samples: dict[str, ShareSamples] = field(default_factory=dict)


def get_allowed_share(shares: AdviceShares, queue: str) -> float:
    """Returns the share of VMs that the service is expected to allow for a step of a queue."""
    found = shares.samples.get(queue, ShareSamples())
    allowed = found.allowed + UNKNOWN_SHARE * UNKNOWN_SHARE_WEIGHT
    return allowed / (found.asked + UNKNOWN_SHARE_WEIGHT)


def learn_allowed_share(shares: AdviceShares, queue: str, asked: int, allowed: int):
    """Learns from an answer about VMs that the step had not asked about before."""
    found = shares.samples.setdefault(queue, ShareSamples())
    found.asked += asked
    found.allowed += min(allowed, asked)
    if found.asked > MAX_SHARE_SAMPLES:
        found.allowed *= MAX_SHARE_SAMPLES / found.asked
        found.asked = MAX_SHARE_SAMPLES


@dataclass(slots=True, frozen=True)
class Option:
    """A VM that a request may name.

    ``chance`` is the probability that it is allowed, and ``places`` is for how many tasks of the
    step it has room, or :data:`PLACES_WITHOUT_ROOM`.
    """

    name: str
    chance: float
    places: float
    order: tuple


def choose_vms_for_step(
    step: StepWork, tasks: int, rows: list[VmRow], fleet: Fleet, share: float, now_s: float
) -> list[Option]:
    """Returns the VMs about which a request for ``tasks`` of a step should ask.

    VMs with room come first, and of these the ones that are known as allowed, which need new
    tickets. VMs known as not allowed are never named. A gang names all its allowed VMs, because
    it needs tickets for all of them at once and may hold reservations on them.
    """
    if tasks <= 0:
        return []
    running = Counter(run.vm.name for runs in step.active.values() for run in runs)
    options = []
    for row in rows:
        limit = min(
            tasks, step.spec.max_per_vm - running[row.name] if step.spec.max_per_vm else tasks
        )
        if limit > 0 and is_usable(row, now_s):
            option = _make_option(step, row, limit, fleet.reservations.get(row.name), share)
            if option is not None:
                options.append(option)
    options.sort(key=lambda option: option.order)
    return _take_enough(options, step, tasks)


def _make_option(
    step: StepWork, row: VmRow, limit: int, reservation: Reservation | None, share: float
) -> Option | None:
    """Returns what a VM offers a step, or ``None`` if the step could never use it."""
    advice, spec = step.advice, step.spec
    is_allowed = row.name in advice.allowed
    if row.name in advice.asked and not is_allowed:
        return None
    need = get_booked_need(spec)
    if not fits(need, row.listed.capacity) or (spec.label and spec.label not in row.listed.labels):
        return None
    is_reserved = reservation is not None and reservation.step == step.key
    is_blocked = reservation is not None and not is_reserved
    places = 0 if is_blocked else max(0, min(limit, count_fit(need, row.free)))
    is_off_rack = bool(spec.near_rack) and row.listed.rack != spec.near_rack
    # The last part spreads steps that ask at the same time over VMs with as many places.
    spread = zlib.crc32(f"{step.key}/{row.name}".encode())
    is_kept = is_allowed and is_reserved
    order = (not is_kept, places == 0, not is_allowed, is_off_rack, -places, spread)
    return Option(row.name, 1.0 if is_allowed else share, places or PLACES_WITHOUT_ROOM, order)


def _take_enough(options: list[Option], step: StepWork, tasks: int) -> list[Option]:
    """Returns the first options that very probably have enough places for the tasks.

    All are returned for a step under whose runs VMs went down: its tasks may need VMs of their own.
    """
    chosen: list[Option] = []
    mean = variance = 0.0
    for option in options:
        is_enough = mean - CONFIDENCE_DEVIATIONS * math.sqrt(variance) >= tasks
        is_enough = is_enough and len(chosen) >= MIN_VMS_PER_REQUEST
        must_name = step.step_progress.crashes or (step.spec.gang and option.chance == 1.0)
        if is_enough and not must_name:
            continue
        chosen.append(option)
        mean += option.chance * option.places
        variance += option.chance * (1 - option.chance) * option.places**2
    return chosen


def count_new_answers(
    advice: StepAdvice, names: list[str], tickets: dict[str, str]
) -> tuple[int, int]:
    """Returns about how many of the named VMs nothing was known, and how many are now allowed.

    The ones that were known as allowed say nothing about the share that the service allows.
    """
    new = [name for name in names if name not in advice.asked]
    return len(new), sum(1 for name in new if name in tickets)
