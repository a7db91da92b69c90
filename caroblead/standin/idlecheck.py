"""Finds accepted jobs that nothing runs of although there is room, as the users do.

It judges by what ran on the VMs alone. A job counts as idle if for 3 s none of its tasks runs while
one has its turn, there is room twice over for it on VMs that the advice service allows, its team
uses under half of its quota and all together under half of the VMs. A task that lasts counts by
itself, however much of the VMs is in use.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec, StepSpec
from .history import HistoryEvent
from .verdict import CallerRecords, list_completed
from .work import is_endless, read_behavior

# For how long a job may have nothing running while there is room for it.
IDLE_S = 3.0
# A task that lasts may be away for this long after its last run.
LASTING_AWAY_S = 6.0
# The site must have been calm for so long before.
CALM_BEFORE_S = 4.0

IsAllowed = Callable[[str, str, str], bool]


@dataclass(slots=True)
class Occupation:
    """What ran on the VMs during a time, and what had ended before.

    ``used`` and ``used_by_team`` are the most that was in use at once by VM and by team, and
    ``total`` by all. ``tasks`` ran at some moment. ``failed_runs`` are the numbers of the runs that
    ended failed, by task, or by the first task of a gang.
    """

    used: dict[str, Resources] = field(default_factory=dict)
    used_by_team: dict[str, Resources] = field(default_factory=dict)
    total: Resources = NOTHING
    tasks: set[TaskName] = field(default_factory=set)
    done: set[TaskName] = field(default_factory=set)
    failed_runs: defaultdict[TaskName, set[int]] = field(default_factory=lambda: defaultdict(set))


class _Replay:
    """Plays a history, and notes the most that is in use once a time has begun."""

    def __init__(self, records: CallerRecords):
        self.records = records
        self.runs: dict[tuple[TaskName, int, str], Resources] = {}
        self.now: defaultdict[str, Resources] = defaultdict(Resources)
        self.now_by_team: defaultdict[str, Resources] = defaultdict(Resources)
        self.found = Occupation()

    def apply(self, event: HistoryEvent):
        key = (event.task, event.number, event.vm)
        if event.kind == "start":
            self.runs[key] = event.need
            self._count(event, event.need)
        elif key in self.runs and not event.kind.startswith(("noted", "crashed", "foreign")):
            self._count(event, subtract(NOTHING, self.runs.pop(key)))
            self._note_end(event)

    def _count(self, event: HistoryEvent, change: Resources):
        team = self.records.teams.get(event.task.job, "")
        self.now[event.vm] = add(self.now[event.vm], change)
        self.now_by_team[team] = add(self.now_by_team[team], change)

    def _note_end(self, event: HistoryEvent):
        task = event.task
        if event.kind == "done":
            self.found.done |= list_completed(task, self.records.jobs)
        elif event.kind == "failed":
            is_gang = self.records.jobs[task.job].steps[task.step].gang
            self.found.failed_runs[task._replace(index=0) if is_gang else task].add(event.number)

    def note_most(self):
        found, total = self.found, NOTHING
        for vm, used in self.now.items():
            found.used[vm] = _get_most(used, found.used.get(vm, used))
            total = add(total, used)
        for team, used in self.now_by_team.items():
            found.used_by_team[team] = _get_most(used, found.used_by_team.get(team, used))
        found.total = _get_most(total, found.total)
        found.tasks.update(task for task, _, _ in self.runs)


def _get_most(one: Resources, other: Resources) -> Resources:
    return Resources(*map(max, zip(one, other, strict=True)))


def measure_occupation(
    history: Iterable[HistoryEvent], records: CallerRecords, from_s: float, until_s: float
) -> Occupation:
    """Returns what ran at some moment between two times, and what had ended before."""
    replay, began = _Replay(records), False
    for event in sorted(history, key=lambda item: item.at_s):
        if event.at_s > until_s:
            break
        if event.at_s >= from_s and not began:
            began = True
            replay.note_most()
        replay.apply(event)
        if began:
            replay.note_most()
    if not began:
        replay.note_most()
    return replay.found


def list_idle_jobs(
    history: Iterable[HistoryEvent],
    records: CallerRecords,
    capacities: dict[str, Resources],
    from_s: float,
    is_allowed: IsAllowed,
    wall_s: float = float("inf"),
) -> list[str]:
    """Returns the accepted jobs that have nothing running for 3 s though there is room twice over.

    ``capacities`` are those of the VMs that are up; ``is_allowed`` tells whether the advice service
    allows a step, by its name, on a VM, for a queue. The wall clock shows ``wall_s`` at the begin.
    """
    found = measure_occupation(history, records, from_s, from_s + IDLE_S)
    whole = NOTHING
    for capacity in capacities.values():
        whole = add(whole, capacity)
    is_half_free = fits(found.total, Resources(*(amount // 2 for amount in whole)))
    free = {
        vm: subtract(capacity, found.used.get(vm, NOTHING)) for vm, capacity in capacities.items()
    }
    begun = {task.job for task in found.tasks}
    texts = []
    for job, spec in records.list_expected_jobs().items():
        # A job with lasting tasks is judged task by task, see ``list_missing_tasks``.
        if job in begun or is_endless(spec) or not is_half_free or _has_failed(job, records, found):
            continue
        if not _is_team_within_half(job, records, found):
            continue
        place = _find_idle_step(job, spec, found, records, free, is_allowed, wall_s)
        if place is not None:
            queue = records.queues[job].name
            texts.append(f"{job} of {queue}: nothing of step {place} runs for {IDLE_S} s")
    return texts


def _has_failed(job: str, records: CallerRecords, found: Occupation) -> bool:
    """Returns whether a task of a job has failed as often as its queue allows, or must crash."""
    if "crashes_after_s" in read_behavior(records.jobs[job]):
        return True
    most = records.queues[job].max_attempts
    return any(task.job == job and len(runs) >= most for task, runs in found.failed_runs.items())


def _is_team_within_half(job: str, records: CallerRecords, found: Occupation) -> bool:
    team = records.teams.get(job, "")
    used, cap = found.used_by_team.get(team, NOTHING), records.caps.get(team, NOTHING)
    return all(2 * have < limit for have, limit in zip(used, cap, strict=True) if limit)


def _find_idle_step(
    job: str,
    spec: JobSpec,
    found: Occupation,
    records: CallerRecords,
    free: dict[str, Resources],
    is_allowed: IsAllowed,
    wall_s: float,
) -> str | None:
    """Returns a step that has its turn and room twice over, as its occurrence and its number."""
    for occurrence in range(_count_due(spec, wall_s)):
        done = Counter(task.step for task in found.done if task[:2] == (job, occurrence))
        for number in _list_due_steps(spec, done):
            step, queue = spec.steps[number], records.queues[job].name
            name = f"{job}.{occurrence}.{number}"
            rooms = [room for vm, room in free.items() if is_allowed(name, vm, queue)]
            waiting = step.count if step.gang else 1
            if _count_places(step, rooms) >= 2 * waiting:
                return f"{occurrence}.{number}"
    return None


def _count_due(spec: JobSpec, wall_s: float) -> int:
    """Returns how many occurrences of a job are due."""
    if not spec.repeats:
        return 1
    times = (spec.first_due_s + number * spec.interval_s for number in range(spec.repeats))
    return sum(due_s <= wall_s for due_s in times)


def _list_due_steps(spec: JobSpec, done: Counter[int]) -> Iterable[int]:
    """Returns the steps that have tasks left and whose earlier steps are done.

    ``done`` counts the tasks of an occurrence that are done, by step.
    """
    for number, step in enumerate(spec.steps):
        is_due = all(done[earlier] >= spec.steps[earlier].count for earlier in step.after)
        if done[number] < step.count and is_due:
            yield number


def _count_places(step: StepSpec, rooms: list[Resources]) -> int:
    places = 0
    for room in rooms:
        ratios = [
            have // need
            for have, need in (
                (room.millicores, step.need.millicores),
                (room.memory_mb, step.need.memory_mb),
            )
            if need
        ]
        count = max(0, min(ratios, default=0))
        places += min(count, step.max_per_vm) if step.max_per_vm else count
    return places


def list_missing_tasks(
    history: list[HistoryEvent],
    records: CallerRecords,
    accepted_s: dict[str, float],
    capacities: dict[str, Resources],
    until_s: float,
    is_allowed: IsAllowed,
    is_calm: Callable[[float, float], bool],
) -> list[str]:
    """Returns the lasting tasks that were away for too long in calm though there was room for them.

    ``is_calm`` tells whether nothing was disturbed between two times, the first of which is some
    seconds before a task counts as missing.
    """
    texts = []
    for job, spec in records.list_expected_jobs().items():
        for number, step in enumerate(spec.steps):
            for index in range(step.count if step.endless else 0):
                task = TaskName(job, 0, number, index)
                gaps = _list_gaps(history, task, accepted_s[job], until_s)
                for from_s in _list_missing_times(gaps, is_calm):
                    found = measure_occupation(history, records, from_s, from_s + IDLE_S)
                    rooms = [
                        subtract(capacity, found.used.get(vm, NOTHING))
                        for vm, capacity in capacities.items()
                        if is_allowed(f"{job}.0.{number}", vm, records.queues[job].name)
                    ]
                    if _count_places(step, rooms) >= 2:
                        texts.append(f"{task} lasts and is away at {from_s:.1f}")
                        break
    return texts


def _list_gaps(
    history: list[HistoryEvent], task: TaskName, from_s: float, until_s: float
) -> list[tuple[float, float]]:
    """Returns the times in which no run of a task was there."""
    runs: set[tuple[int, str]] = set()
    gaps, away_s = [], from_s
    for event in sorted(history, key=lambda item: item.at_s):
        run = (event.number, event.vm)
        if event.task != task or event.kind.startswith(("noted", "crashed", "foreign")):
            continue
        if event.kind == "start":
            if not runs:
                gaps.append((away_s, event.at_s))
            runs.add(run)
        elif run in runs:
            runs.remove(run)
            away_s = event.at_s
    return gaps if runs else [*gaps, (away_s, until_s)]


def _list_missing_times(
    gaps: list[tuple[float, float]], is_calm: Callable[[float, float], bool]
) -> Iterable[float]:
    """Yields when, second by second, a task was missing for 3 s in calm, with the 4 s before."""
    for away_s, back_s in gaps:
        from_s = away_s + LASTING_AWAY_S
        while from_s + IDLE_S <= back_s:
            if is_calm(from_s - CALM_BEFORE_S, from_s + IDLE_S):
                yield from_s
            from_s += 1.0
