"""The optional decisions of the leader and the nodes, each switched on by a setting of its own."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Features:
    """Which optional decisions are in use; without any of them all jobs are treated as before.

    ``evacuation_s`` is within how many seconds no task may start in an availability zone that the
    operators evacuate; 0 means that they never evacuate one. The others are described where they
    are decided: ``admission`` in :mod:`caroblead.dispatch.loadreport`, ``fair_share`` in
    :mod:`caroblead.dispatch.share`, ``learned_durations`` in
    :mod:`caroblead.dispatch.learning.duration`, ``backfill`` in :mod:`caroblead.dispatch.backfill`,
    ``sized_advice`` in :mod:`caroblead.dispatch.advice.advicesize` and ``kept_quota`` in
    :mod:`caroblead.dispatch.quota`.
    """

    evacuation_s: float = 0.0
    admission: bool = False
    fair_share: bool = False
    learned_durations: bool = False
    backfill: bool = False
    sized_advice: bool = False
    kept_quota: bool = False
