"""Tests that the VMs blocked by reservations are those that a look at every reservation finds."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ..jobs.data import StepKey
from .fleet import Reservation
from .health_test import make_row
from .reservation import ReservationTable

KEYS = [StepKey(f"job{number}", 0, 0) for number in range(6)]
VMS = [f"v{number}" for number in range(5)]
RESERVATIONS = st.dictionaries(
    st.sampled_from(VMS), st.tuples(st.sampled_from(KEYS), st.integers(0, 5), st.booleans())
)
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["look", "reserve", "extend", "release"]),
        st.lists(st.sampled_from(VMS), unique=True),
    ),
    max_size=6,
)


def list_blocked(by_vm, rank, step):
    return {name for name, found in by_vm.items() if rank >= found.rank and found.step != step}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(RESERVATIONS, ACTIONS)
def test_blocked_vms_are_those_reserved_at_an_earlier_rank_for_another_step(drawn, actions):
    by_vm = {
        name: Reservation(step, (rank,), 2.0 if lives else 0.5)
        for name, (step, rank, lives) in drawn.items()
    }
    table = ReservationTable(by_vm, now_s=1.0)
    assert all(found.until_s > 1.0 for found in by_vm.values())
    for number, (action, names) in enumerate(actions):
        rank, step = (number,), KEYS[number]
        table.block_until(rank)
        assert table.list_blocked_for(step) == list_blocked(by_vm, rank, step)
        if action == "reserve":
            table.reserve(step, rank, [make_row(name) for name in names])
        elif action == "extend":
            table.extend(step)
        elif action == "release":
            table.release(step)
        assert table.count(step) == sum(found.step == step for found in by_vm.values())
        assert table.list_blocked_for(step) == list_blocked(by_vm, rank, step)
