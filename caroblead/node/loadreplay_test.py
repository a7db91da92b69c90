"""Replays the load that admission control addresses, with and without it, on real nodes.

The site is a small copy of the exams site: an urgent queue and a slack one, ten teams, and 0.85 of
the cores in use in calm. The same arrivals are played both times.
"""

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import pytest

from ..core.resource import Resources
from ..dispatch.interface import TeamLimits
from ..dispatch.rank import USELESS_AFTER_TARGETS
from ..dispatch.work import compute_target_s
from ..jobs.data import Job, JobQueue, StepSpec
from ..standin.cluster import SERVICE, resize_vm, run_scenario, start_site
from ..standin.trial import check_site
from ..standin.work import make_spec
from .answer import Accepted, Admission, Rejected

SAVES = JobQueue("saves", "x.example", "/s/", SERVICE, 0, 3, stretch=1.5, latency_s=0.3)
MARKS = JobQueue("marks", "x.example", "/m/", SERVICE, 2, 3, stretch=4.0, latency_s=3.0)
# Tasks of a job, seconds of a task, and jobs per second in calm.
KINDS = {"saves": (SAVES, 3, 0.8, 8.0), "marks": (MARKS, 5, 2.7, 1.1)}
VM_COUNT = 10
TEAMS = {f"team-{n}": TeamLimits(f"team-{n}", 1.2, Resources()) for n in range(10)}
BURST_TEAM = "team-0"
CALM_S, BURST_S, REST_S = 6.0, 8.0, 10.0
CORE = Resources(1000, 1024)
SEEDS = (1, 2, 3)


@dataclass(slots=True)
class Replay:
    """What one play showed: when each job was submitted and finished, and who was rejected."""

    arrivals: dict[str, tuple[float, str, str]] = field(default_factory=dict)
    rejected: dict[str, float] = field(default_factory=dict)
    finished_s: dict[str, float] = field(default_factory=dict)
    useful_s: dict[str, float] = field(default_factory=dict)

    def is_useful(self, job_id):
        began_s = self.arrivals[job_id][0]
        finished_s = self.finished_s.get(job_id, float("inf"))
        return finished_s - began_s <= self.useful_s[job_id]

    def is_in_time(self, job_id):
        took_s = self.finished_s.get(job_id, float("inf")) - self.arrivals[job_id][0]
        return took_s <= self.useful_s[job_id] / USELESS_AFTER_TARGETS

    def count_useful(self):
        return sum(map(self.is_useful, self.arrivals))

    def count_in_time(self):
        return sum(map(self.is_in_time, self.arrivals))


def list_arrivals(seed, bursts, team_factor):
    """Returns the arrivals in order as (time, queue, team)."""
    chooser, arrivals = random.Random(seed), []
    end_s = CALM_S + BURST_S + REST_S
    for queue, (_, _, _, per_s) in KINDS.items():
        at_s = 0.0
        while at_s < end_s:
            in_burst = CALM_S <= at_s < CALM_S + BURST_S
            rate = per_s * (bursts.get(queue, 1.0) if in_burst else 1.0)
            at_s += chooser.expovariate(rate)
            arrivals.append((at_s, queue, chooser.choice(list(TEAMS))))
            if in_burst and chooser.random() < (team_factor - 1) / len(TEAMS):
                arrivals.append((at_s, queue, BURST_TEAM))
    return sorted(arrivals)


async def submit_one(site, replay, job_id, queue_name, team, attempts):
    queue, count, seconds, _ = KINDS[queue_name]
    step = StepSpec(count, CORE, seconds, max_per_vm=0)
    spec = make_spec(step, seconds=seconds)
    records = site.caller_records
    records.jobs[job_id], records.queues[job_id] = spec, queue
    now_s = asyncio.get_running_loop().time()
    target_s = compute_target_s(Job(job_id, team, queue, spec, 0.0))
    replay.useful_s[job_id] = USELESS_AFTER_TARGETS * target_s
    replay.arrivals[job_id] = now_s, queue_name, team
    names = sorted(site.nodes)
    for attempt in range(attempts):
        handler = site.nodes[names[(int(job_id, 16) + attempt) % len(names)]].request_handler
        outcome = await handler.submit(Admission(queue, team), job_id, spec, 3.0)
        if isinstance(outcome, Accepted):
            records.accepted.add(job_id)
            return
        assert isinstance(outcome, Rejected)
        replay.rejected.setdefault(job_id, outcome.fault.retry_after_s)
        await asyncio.sleep(max(1, round(outcome.fault.retry_after_s)))
    records.rejected.add(job_id)


def play(admission, seed=1, bursts=None, team_factor=1.0, lost_vms=0, attempts=1):
    """Plays the load of a seed; a rejected caller returns when it was told to."""
    replay = Replay()

    async def scenario():
        site = await start_site(vm_count=VM_COUNT, admission=admission)
        site.teams.update(TEAMS)
        loop = asyncio.get_running_loop()
        began_s, tasks = loop.time() + 3.0, []

        async def lose_vms():
            await asyncio.sleep(began_s + CALM_S - loop.time())
            for number in range(lost_vms):
                await resize_vm(site, number, Resources(0, 0))

        tasks.append(loop.create_task(lose_vms()))
        for number, (at_s, queue, team) in enumerate(
            list_arrivals(seed, bursts or {}, team_factor)
        ):
            await asyncio.sleep(max(0.0, began_s + at_s - loop.time()))
            job_id = f"{number:016x}"
            tasks.append(loop.create_task(submit_one(site, replay, job_id, queue, team, attempts)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(60)
        left = Counter()
        ends = defaultdict(float)
        for event in site.vm_simulator.history:
            if event.kind == "done":
                left[event.task.job] += 1
                ends[event.task.job] = max(ends[event.task.job], event.at_s)
        for name, count in left.items():
            if count >= KINDS[replay.arrivals[name][1]][1]:
                replay.finished_s[name] = ends[name]
        return site

    assert check_site(run_scenario(scenario)) == []
    return replay


def play_both(**load):
    """Plays the same loads without and with admission control; returns both lists of replays."""
    return [[play(admission, seed=seed, **load) for seed in SEEDS] for admission in (False, True)]


def add_up(replays, count):
    return sum(map(count, replays))


def count_rejected(replays):
    return add_up(replays, lambda replay: len(replay.rejected))


def test_nothing_is_rejected_in_calm():
    assert count_rejected([play(True, seed) for seed in SEEDS]) == 0


@pytest.mark.parametrize(
    "load",
    [
        {"bursts": {"saves": 1.7}},
        {"bursts": {"saves": 2.2}, "lost_vms": 1},
        {"bursts": {"marks": 2.2}, "lost_vms": 1},
        {"team_factor": 5.0},
        {"team_factor": 7.0, "lost_vms": 1},
    ],
    ids=["urgent 1.7", "urgent 2.2, less room", "slack 2.2, less room", "team 5", "team 7"],
)
def test_burst_that_can_still_be_served_within_the_useful_time_is_not_rejected(load):
    """A burst of some seconds makes work late but not useless, and is over soon."""
    assert count_rejected([play(True, seed, **load) for seed in SEEDS]) == 0


OVERLAPPING = {"bursts": {"saves": 2.2, "marks": 2.2}, "team_factor": 7.0, "lost_vms": 1}


def test_rejections_of_overlapping_bursts_cost_no_useful_work_and_make_more_of_it_timely():
    without, with_control = play_both(**OVERLAPPING)
    assert count_rejected(without) == 0 < count_rejected(with_control)
    useful = [add_up(replays, Replay.count_useful) for replays in (without, with_control)]
    in_time = [add_up(replays, Replay.count_in_time) for replays in (without, with_control)]
    # A play differs by about a hundredth for reasons other than rejections.
    assert useful[1] >= 0.98 * useful[0]
    assert in_time[1] > in_time[0]


def test_rejected_callers_who_return_when_told_are_served_and_come_in_no_wave():
    """Callers who all return at once would be the next burst.

    In no second do more of them return than jobs are submitted in calm.
    """
    without, with_control = play_both(**OVERLAPPING, attempts=3)
    for count in (Replay.count_useful, Replay.count_in_time):
        assert add_up(with_control, count) >= 0.98 * add_up(without, count)
    assert all(replay.finished_s.keys() == replay.arrivals.keys() for replay in with_control)
    for replay in with_control:
        returns = Counter(
            int(replay.arrivals[job_id][0] + retry_s) for job_id, retry_s in replay.rejected.items()
        )
        assert max(returns.values()) < sum(KINDS[queue][3] for queue in KINDS)
