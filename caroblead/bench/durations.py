"""Compares ways to expect the duration of runs: ``python -m caroblead.bench.durations``.

Runs are generated with the figures of two customers, one with VMs of speeds 0.8 to 1.25 and one
with speeds 0.6 to 1.6 and a few runs that take seven times as long. Each way predicts the duration
of a run when it starts and learns from its end. The error is the absolute natural logarithm of the
predicted over the actual duration: 0.1 is off by a tenth, 0.69 by a factor of two.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import cyclopts

from ..core.resource import Resources
from ..dispatch.learning.duration import RunFeatures, find_size, is_sampled, predict
from ..dispatch.learning.learner import Learner, ObservedRun, find_slowest, learn
from ..dispatch.learning.speed import center_speeds

VMS = 176
TEAMS = 20
# Standard deviations of the logarithm of work: between teams, jobs of a team, and tasks of a step.
TEAM_DEVIATION = 0.25
JOB_DEVIATION = 0.35
TASK_DEVIATION = 0.08
LONG_RUN_FACTOR = 7.0
RATIO_WINDOW = 192
CENTER_INTERVAL_S = 1.0

app = cyclopts.App(help="Compares ways to expect the duration of runs.")


@dataclass(slots=True, frozen=True)
class QueueLoad:
    """The load of a queue; ``estimate_error`` is the greatest relative error of an estimate."""

    name: str
    jobs_per_s: float
    tasks: int
    work_s: float
    millicores: int
    estimate_error: float
    gangs: float = 0.0


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer's queues, the speeds of its VMs and the part of its runs that take very long."""

    name: str
    speeds: tuple[float, ...]
    queues: tuple[QueueLoad, ...]
    long_runs: float = 0.0


CUSTOMERS = (
    Customer(
        "exams",
        (0.8, 1.0, 1.25),
        (
            QueueLoad("proctor reviews", 1.88, 20, 6.2, 4500, 0.2, 1.0),
            QueueLoad("script marking", 4.93, 25, 2.7, 1700, 0.5),
            QueueLoad("autosaves", 55, 3, 0.8, 2500, 0.9, 0.3),
        ),
    ),
    Customer(
        "orders",
        (0.6, 1.0, 1.6),
        (
            QueueLoad("price rebuilds", 2.39, 20, 3.4, 18_000, 0.9),
            QueueLoad("stock reconciliation", 4.93, 25, 1.9, 6900, 0.5),
            QueueLoad("order confirmations", 55, 3, 0.54, 9900, 0.5),
        ),
        0.03,
    ),
)


@dataclass(slots=True)
class Scores:
    """The errors of one way on one queue, and whether the duration was over its high quantile."""

    errors: list[float] = field(default_factory=list)
    over_high: list[bool] = field(default_factory=list)


class Estimate:
    """Expects what the caller estimates, and at most twice as much."""

    def predict(self, run: ObservedRun, now_s: float) -> tuple[float, float]:
        """Returns the logarithms of the expected duration and of its high quantile."""
        log_estimate = math.log(run.features.estimate_s)
        return log_estimate, log_estimate + math.log(2.0)

    def learn(self, run: ObservedRun, now_s: float):
        """Learns nothing."""


class QueueRatio:
    """Expects the estimate times the recent quantiles of duration over estimate of its queue."""

    def __init__(self):
        self.ratios: dict[str, deque[float]] = {}

    def predict(self, run: ObservedRun, now_s: float) -> tuple[float, float]:
        """Returns the logarithms of the expected duration and of its high quantile."""
        log_estimate = math.log(run.features.estimate_s)
        ratios = sorted(self.ratios.get(run.features.queue, ()))
        if not ratios:
            return log_estimate, log_estimate + math.log(2.0)
        count = len(ratios)
        return log_estimate + ratios[count // 2], log_estimate + ratios[int(0.9 * count)]

    def learn(self, run: ObservedRun, now_s: float):
        """Adds the ratio of a run."""
        ratio = math.log(run.duration_s / run.features.estimate_s)
        self.ratios.setdefault(run.features.queue, deque(maxlen=RATIO_WINDOW)).append(ratio)


class BackOff:
    """Expects what is learned on levels from the queue down, with or without speeds of VMs."""

    def __init__(self, with_speeds: bool):
        self.learner = Learner()
        self.with_speeds = with_speeds
        self.centered_s = 0.0

    def predict(self, run: ObservedRun, now_s: float) -> tuple[float, float]:
        """Returns the logarithms of the expected duration and of its high quantile."""
        prediction = predict(self.learner.durations, run.features, now_s)
        log_speed = find_slowest(self.learner.speeds, run.vms) if self.with_speeds else 0.0
        return prediction.log_median - log_speed, prediction.log_high - log_speed

    def learn(self, run: ObservedRun, now_s: float):
        """Learns from a run."""
        learn(self.learner, run, now_s)
        speeds = self.learner.speeds
        if not self.with_speeds:
            speeds.estimates.clear()
        elif now_s - self.centered_s > CENTER_INTERVAL_S:
            self.centered_s = now_s
            center_speeds(speeds, list(speeds.estimates), now_s)


WAYS: dict[str, Callable] = {
    "estimate": Estimate,
    "queue ratio": QueueRatio,
    "back-off": lambda: BackOff(False),
    "back-off, speeds": lambda: BackOff(True),
}


def generate_runs(customer: Customer, seconds: float, generator: random.Random):
    """Returns the runs of a customer by the time of their start."""
    speeds = {f"vm-{number}": generator.choice(customer.speeds) for number in range(VMS)}
    names, found = list(speeds), []
    factors = [generator.gauss(0, TEAM_DEVIATION) for _ in range(TEAMS)]
    for queue in customer.queues:
        now_s, number = 0.0, 0
        while (now_s := now_s + generator.expovariate(queue.jobs_per_s)) < seconds:
            number += 1
            # A few teams are large.
            team = min(int(generator.expovariate(0.25)), TEAMS - 1)
            log_job = math.log(queue.work_s) + factors[team] + generator.gauss(0, JOB_DEVIATION)
            off = 1 + generator.uniform(-queue.estimate_error, queue.estimate_error)
            size = find_size(Resources(int(queue.millicores * generator.uniform(0.5, 1.5)), 8192))
            features = RunFeatures(queue.name, 0, f"t{team}", size, math.exp(log_job) * off)
            step = (queue.name, number)
            count = max(1, round(queue.tasks * generator.uniform(0.5, 1.5)))
            if generator.random() < queue.gangs:
                work_s = _draw_work(customer, log_job, generator)
                groups = [(generator.sample(names, min(count, 8)), work_s)]
            else:
                groups = [
                    ([generator.choice(names)], _draw_work(customer, log_job, generator))
                    for _ in range(count)
                ]
            for index, (vms, work_s) in enumerate(groups):
                duration_s = work_s / min(speeds[vm] for vm in vms)
                # The order takes some time to reach the VM, and the end is read with a delay.
                seen_s = duration_s + generator.uniform(0.0, 0.05)
                members = [(vm, 1) for vm in vms]
                sampled = is_sampled(index, len(groups))
                run = ObservedRun(features, step, members, now_s, seen_s, True, sampled)
                found.append((now_s, run))
    found.sort(key=lambda item: item[0])
    return found


def _draw_work(customer: Customer, log_job: float, generator: random.Random) -> float:
    factor = LONG_RUN_FACTOR if generator.random() < customer.long_runs else 1.0
    return factor * math.exp(log_job + generator.gauss(0, TASK_DEVIATION))


def replay(way, runs, after_s: float = 0.0) -> dict[str, Scores]:
    """Returns the scores of a way by queue, over the runs that start after a time."""
    scores: dict[str, Scores] = {}
    ends: list[tuple[float, int, ObservedRun]] = []
    for serial, (now_s, run) in enumerate(runs):
        while ends and ends[0][0] <= now_s:
            end_s, _, ended = heapq.heappop(ends)
            way.learn(ended, end_s)
        log_median, log_high = way.predict(run, now_s)
        if now_s >= after_s:
            found = scores.setdefault(run.features.queue, Scores())
            log_duration = math.log(run.duration_s)
            found.errors.append(abs(log_duration - log_median))
            found.over_high.append(log_duration > log_high)
        heapq.heappush(ends, (now_s + run.duration_s, serial, run))
    return scores


def find_quantile(values: list[float], quantile: float) -> float:
    """Returns a quantile of values."""
    return sorted(values)[min(len(values) - 1, int(quantile * len(values)))]


@app.default
def measure(*, seconds: float = 60.0, seed: int = 1, after_s: float = 5.0):
    """Prints the error of each way by customer and queue, over the runs started after a time."""
    print(f"seed {seed}, {seconds:g} s, runs started after {after_s:g} s")
    print(f"{'':32}{'way':18}{'median':>8}{'p90':>8}{'p99':>8}{'over high':>11}")
    for customer in CUSTOMERS:
        runs = generate_runs(customer, seconds, random.Random(seed))
        for way_name, make_way in WAYS.items():
            for queue, scores in sorted(replay(make_way(), runs, after_s).items()):
                quantiles = [find_quantile(scores.errors, q) for q in (0.5, 0.9, 0.99)]
                over_high = sum(scores.over_high) / len(scores.over_high)
                cells = "".join(f"{value:8.3f}" for value in quantiles)
                print(f"{customer.name + ', ' + queue:32}{way_name:18}{cells}{over_high:11.3f}")


if __name__ == "__main__":
    app()
