from ..core.resource import Resources
from ..dispatch.interface import TaskName
from .fleet import Run, RunPhase, VmRow
from .orderwindow import (
    MAX_ORDER_TIMEOUT_S,
    MAX_WINDOW,
    MIN_ORDER_TIMEOUT_S,
    MIN_TICKET_MARGIN_S,
    MIN_WINDOW,
    SAMPLES,
    OrderWindow,
    tells_congestion,
)


def open_run(window: OrderWindow, number: int) -> Run:
    row = VmRow("v0", None, 1, Resources())
    run = Run(TaskName("j", 0, 0, number), 1, row, "north", Resources(), RunPhase.ORDERED)
    row.runs[run.task, run.number] = run
    window.add(run)
    return run


def test_slow_answers_halve_the_open_orders_and_prompt_ones_raise_them():
    window = OrderWindow()
    runs = [open_run(window, number) for number in range(40)]
    shrinks = [window.observe(0.5, now_s=10.0) for _ in range(MIN_WINDOW)]
    assert shrinks.count(True) == 1
    assert window.size == 20
    assert window.make_limits().max_starts == 0
    for run in runs:
        run.phase = RunPhase.RUNNING
    for _ in range(2 * SAMPLES):
        window.observe(0.01, now_s=11.0)
    assert window.make_limits().max_starts > 20


def test_window_never_closes_for_good():
    # Guards against a leader that starts nothing any more because no order is open whose answer
    # could open the window again.
    window = OrderWindow()
    for now_s in range(100):
        window.observe(2.0, float(now_s))
    assert window.make_limits().max_starts == MIN_WINDOW


def test_minority_of_slow_vms_changes_nothing():
    window = OrderWindow()
    for number in range(200):
        window.observe(0.4 if number % 3 == 0 else 0.01, now_s=float(number))
    assert window.size == MAX_WINDOW
    assert window.get_order_timeout_s() == MIN_ORDER_TIMEOUT_S


def test_timeout_follows_the_usual_answer_within_bounds():
    window = OrderWindow()
    window.answers_s.extend([0.3] * SAMPLES)
    assert round(window.get_order_timeout_s(), 6) == 1.2
    window.answers_s.extend([2.0] * SAMPLES)
    assert window.get_order_timeout_s() == MAX_ORDER_TIMEOUT_S


def test_ticket_margin_follows_the_delay_of_starts():
    window = OrderWindow()
    assert window.make_limits().ticket_margin_s == MIN_TICKET_MARGIN_S
    window.delays_s.extend([0.6] * SAMPLES)
    assert round(window.make_limits().ticket_margin_s, 6) == 0.9


def test_starts_that_are_given_up_do_not_stay_open():
    window = OrderWindow()
    run = open_run(window, 0)
    assert window.count_open() == 1
    del run.vm.runs[run.task, run.number]
    assert window.count_open() == 0


def test_silent_vm_tells_nothing_about_the_leader():
    run = open_run(OrderWindow(), 0)
    run.vm.heard_s = 10.0
    assert tells_congestion(run, 10.5)
    assert not tells_congestion(run, 20.0)
