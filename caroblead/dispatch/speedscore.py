"""Scores VMs by their learned speed: urgent work goes to fast ones, work with slack to slow ones.

The load that this addresses: fleets with VMs of speeds 0.6 to 1.6, on which a job with a tight
objective is late on a slow VM, while jobs with slack fill the fast ones. The score of a VM is added
to the one for best fit, and the lowest sum wins. A gang has the pace of its slowest member, so its
VMs are chosen among those of similar speed.
"""

import math

from .fleet import VmRow
from .rank import USELESS_AFTER_TARGETS
from .work import StepWork, get_expectation

# What is expected is multiplied by this before it is compared with the time that is left, since
# half of the runs take longer than the median.
MARGIN = 1.3
# The best fit adds up to 2. A VM on which the step would be late gets this much for each factor of
# e that its speed is short of, so that it is used when no other has room, and at most so much that
# it still goes before a VM that is marked as slow or reserved for others.
SHORT_WEIGHT = 6.0
MAX_SHORT_SCORE = 4.5
# A VM that is faster than needed gets this much for each factor of e.
WASTE_WEIGHT = 0.5
# The greatest speed that a step can require; without a bound late work would fit nowhere better.
MAX_REQUIRED_SPEED = 4.0
MIN_REQUIRED_SPEED = 0.05
# Speeds are compared in steps of this factor, so that the error of the estimates decides nothing.
SPEED_STEP = math.log(1.1)
# The fastest VM of a gang is at most three such steps faster than its slowest one, where possible.
SIMILAR_RANGE = 3.5 * SPEED_STEP
# VMs with a higher score are marked as slow or reserved for others.
MAX_WILLING_SCORE = 9.0
# What a step requires that any speed suffices for.
NO_REQUIREMENT = -math.inf


def list_log_speeds(rows: list[VmRow]) -> dict[str, float]:
    """Returns the logarithm of the speed of each VM by its name, in steps of :data:`SPEED_STEP`."""
    return {row.name: round(math.log(row.speed) / SPEED_STEP) * SPEED_STEP for row in rows}


def find_required_speed(step: StepWork, wall_s: float) -> float:
    """Returns the logarithm of the speed that a step requires to reach its objective.

    It follows from what is expected of the step and of the steps after it. Work that is late still
    has until it is of no use to its caller, and is then left the VMs that are slow.
    """
    work = step.work
    if step.spec.endless or step.spec.fills or work.target_s <= 0:
        return NO_REQUIREMENT
    left_s = work.due_s - wall_s
    if left_s <= 0:
        left_s += (USELESS_AFTER_TARGETS - 1.0) * work.target_s
    if left_s <= 0:
        return NO_REQUIREMENT
    expected_s = MARGIN * (get_expectation(step).median_s + estimate_rest(step))
    return math.log(max(MIN_REQUIRED_SPEED, min(MAX_REQUIRED_SPEED, expected_s / left_s)))


def estimate_rest(step: StepWork) -> float:
    """Returns the expected duration of the longest chain of steps that follow a step."""
    steps = step.work.job.spec.steps
    first = step.key.step
    if first + 1 >= len(steps):
        return 0.0
    before = {first: 0.0}
    for number in range(first + 1, len(steps)):
        earlier = [before[index] for index in steps[number].after if index in before]
        if earlier:
            following = step.work.steps.get((step.key.occurrence, number))
            own_s = get_expectation(following).median_s if following else steps[number].estimate_s
            before[number] = max(earlier) + own_s
    return max(before.values())


def score_speed(required: float, log_speed: float) -> float:
    """Returns what the speed of a VM adds to its score for a step; both are logarithms."""
    score, short = WASTE_WEIGHT * log_speed, required - log_speed
    if short <= 0:
        return score
    return score + min(MAX_SHORT_SCORE, SHORT_WEIGHT * short)


def choose_similar(slots: list, count: int, required: float, log_speeds: dict[str, float]) -> list:
    """Returns the slots of VMs of similar speed on which a gang of ``count`` tasks has room.

    Each slot is the number of tasks that fit, the score and the VM. Of several choices it is the
    slowest that is fast enough, or else the fastest. VMs that are marked as slow or reserved for
    others are left out if the rest suffices. Without such a choice all slots are returned.
    """
    willing = [slot for slot in slots if slot[1] < MAX_WILLING_SCORE]
    if sum(slot[0] for slot in willing) < count:
        return slots
    room_by_speed: dict[float, int] = {}
    for found, _, row in willing:
        speed = log_speeds[row.name]
        room_by_speed[speed] = room_by_speed.get(speed, 0) + found
    chosen = None
    for slowest in sorted(room_by_speed):
        limit = slowest + SIMILAR_RANGE
        if sum(room for speed, room in room_by_speed.items() if slowest <= speed < limit) >= count:
            chosen = slowest
            if slowest >= required - SPEED_STEP / 2:
                break
    if chosen is None:
        return _keep_fastest(willing, room_by_speed, count, log_speeds)
    limit = chosen + SIMILAR_RANGE
    return [slot for slot in willing if chosen <= log_speeds[slot[2].name] < limit]


def _keep_fastest(slots: list, room_by_speed: dict[float, int], count: int, log_speeds) -> list:
    """Returns the slots without those of the VMs that are slower than the gang has to be."""
    room = 0
    for slowest in sorted(room_by_speed, reverse=True):
        room += room_by_speed[slowest]
        if room >= count:
            return [slot for slot in slots if log_speeds[slot[2].name] >= slowest]
    return slots
