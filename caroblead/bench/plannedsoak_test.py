"""A short run of the soak test of planned work."""

import asyncio

from .plannedsoak import run_planned_soak

SEED = 401


def test_short_soak_of_planned_work_cuts_off_no_request(tmp_path):
    soak, answers = asyncio.run(run_planned_soak(SEED, tmp_path))
    assert answers.problems == [], soak.faults
    assert soak.faults.count("stop_and_restart") >= 3
    assert answers.statuses[200] > 300
