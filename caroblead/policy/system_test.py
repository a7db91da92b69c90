"""Tests of the scheduling policies on small cells, one typical case for each policy."""

from ..core.data import Batch, Gang, Job, Queue, Service, Task, TaskState, Team, Urgent, Vm, VmState
from ..core.outcome import Reason
from ..core.resource import Resources
from .admission import admit_job, admit_request, drop_expired
from .balancing import choose_shortest_wait, observe_latency
from .cell import Cell, add_vm, end_task, enqueue_task, put_team
from .escrow import (
    Claim,
    GrantState,
    Move,
    apply_claim,
    apply_move,
    compute_part,
    compute_spare,
    split_limit,
)
from .health import find_probe_vm, record_failure, record_success
from .overload import Checkpoint, MeasuredUse, Stop, choose_overload_actions
from .placement import place_waiting
from .preempt import choose_victims
from .retry import spend_retry

SIZE = Resources(8000, 16384, 0, 4)


def make_cell(vms=2, teams=("a", "b"), limit=50):
    cell = Cell()
    for index in range(vms):
        add_vm(cell, Vm(f"v{index}", f"z{index % 2}", f"r{index}", SIZE))
    for name in teams:
        put_team(cell, Team(name, 1.0, limit), limit)
    return cell


def submit(cell, name, kind, count=1, cores=1000, team="a", at_s=0.0, repeatable=True):
    need = Resources(cores, 1024)
    job = Job(name, team, "q", kind, count, need, 10.0, repeatable, at_s)
    cell.jobs[name] = job
    for index in range(count):
        task = Task(f"{name}/{index}", team, "q", kind, need, job, submitted_s=at_s)
        task.repeatable, task.run_time_s = repeatable, 10.0
        job.tasks.append(task)
        enqueue_task(cell, task)
    return job


def run_all(placed):
    for placement in placed:
        placement.task.state = TaskState.RUNNING


def test_team_below_its_share_goes_first():
    cell = make_cell(vms=1)
    submit(cell, "a1", Batch(), 8)
    run_all(place_waiting(cell, 0.0))
    end_task(cell, cell.jobs["a1"].tasks[0], TaskState.DONE, 1.0)
    submit(cell, "a2", Batch(), 1, at_s=1.0)
    submit(cell, "b1", Batch(), 1, team="b", at_s=2.0)
    assert [p.task.team for p in place_waiting(cell, 2.0)] == ["b"]


def test_team_with_nothing_running_is_served_again():
    """Guards against starvation by a stale fair-share key.

    The key dates from the time when the team used the whole cell, and must decay.
    """
    cell = make_cell(vms=1)
    job = submit(cell, "a1", Batch(), 8)
    run_all(place_waiting(cell, 0.0))
    place_waiting(cell, 60.0)
    for task in job.tasks:
        end_task(cell, task, TaskState.DONE, 60.0)
    submit(cell, "b1", Batch(), 200, team="b", at_s=60.0)
    submit(cell, "a2", Batch(), 8, at_s=60.0)
    served = set()
    for step in range(1, 100):
        run_all(place_waiting(cell, 60.0 + step))
        for task in [t for t in cell.tasks.values() if t.vm is not None][:4]:
            end_task(cell, task, TaskState.DONE, 60.0 + step)
        served |= {task.team for task in cell.tasks.values() if task.vm is not None}
    assert served == {"a", "b"}


def test_upper_limit_is_never_exceeded():
    cell = make_cell(limit=3)
    submit(cell, "a1", Batch(), 10)
    assert len(place_waiting(cell, 0.0)) == 3


def test_two_gangs_are_never_half_placed():
    cell = make_cell()
    submit(cell, "g1", Gang(), 3, cores=4000)
    submit(cell, "g2", Gang(), 3, cores=4000, team="b")
    placed = place_waiting(cell, 0.0)
    assert len({p.task.job.name for p in placed}) == 1 and len(placed) == 3


def test_gang_gets_a_reservation_and_starts_in_bounded_time():
    cell = make_cell()
    submit(cell, "fill", Batch(), 16, team="b")
    run_all(place_waiting(cell, 0.0))
    submit(cell, "g1", Gang(), 2, cores=8000, at_s=0.0)
    submit(cell, "more", Batch(), 50, team="b")
    place_waiting(cell, 6.0)
    assert cell.reserving_gang == "g1"
    for task in cell.jobs["fill"].tasks:
        end_task(cell, task, TaskState.DONE, 10.0)
    assert "g1" in {p.task.job.name for p in place_waiting(cell, 10.0)}


def test_service_is_spread_over_racks():
    cell = make_cell(vms=4)
    submit(cell, "s", Service(), 4)
    assert len({p.vm.rack for p in place_waiting(cell, 0.0)}) == 4


def test_urgent_task_stops_the_youngest_batch_work():
    cell = make_cell(vms=1)
    submit(cell, "old", Batch(), 1, cores=4000, repeatable=False)
    submit(cell, "young", Batch(), 1, cores=4000)
    run_all(place_waiting(cell, 0.0))
    job = submit(cell, "u", Urgent(), 1, cores=3000)
    assert place_waiting(cell, 0.5) == []
    need = job.tasks[0].need
    assert choose_victims(cell, job.tasks[0], need, 0.5) == []
    assert [v.job.name for v in choose_victims(cell, job.tasks[0], need, 2.0)] == ["young"]
    assert choose_victims(cell, job.tasks[0], need, 2.1) == []


def test_faulty_vm_and_faulty_job_are_distinguished():
    cell = make_cell(vms=4)
    bad_vm = cell.vms["v0"]
    for index in range(3):
        job = submit(cell, f"j{index}", Batch())
        assert not record_failure(cell, bad_vm, job.tasks[0], 1.0)
    assert bad_vm.state is VmState.QUARANTINED
    assert all(not job.failed_vms for job in cell.jobs.values())
    assert find_probe_vm(cell, cell.jobs["j0"], 2.0) is None
    assert find_probe_vm(cell, cell.jobs["j0"], 40.0) is bad_vm
    record_success(cell, bad_vm)
    assert bad_vm.state is VmState.LIVE
    bad_job = submit(cell, "bad", Batch())
    given_up = [record_failure(cell, cell.vms[f"v{i}"], bad_job.tasks[0], 5.0) for i in (1, 2, 3)]
    assert given_up == [False, False, True]
    assert all(vm.state is VmState.LIVE for vm in cell.vms.values())


def test_retries_stay_within_the_budget():
    cell = make_cell()
    row = cell.teams["a"]
    task = submit(cell, "j", Batch()).tasks[0]
    granted = sum(spend_retry(row, task) for _ in range(50))
    assert granted == 10


def test_endpoint_that_is_slow_gets_less():
    cell = make_cell()
    observe_latency(cell.vms["v0"], 0.4)
    observe_latency(cell.vms["v1"], 0.1)
    assert choose_shortest_wait(cell.endpoints).name == "v1"


def test_flood_is_refused_early_and_late_work_is_dropped():
    cell = make_cell(vms=1)
    queue = Queue("q", Urgent(), frozenset({"a"}), max_waiting=5, deadline_s=1.0)
    for index in range(5):
        task = Task(f"r{index}", "a", "q", Urgent(), Resources(slots=1), deadline_s=1.0)
        assert admit_request(cell, queue, task, 0.0, "p", 0.1) is None
        enqueue_task(cell, task)
    rejected = Task("r9", "a", "q", Urgent(), Resources(slots=1), deadline_s=1.0)
    fault = admit_request(cell, queue, rejected, 0.0, "p", 0.1)
    assert fault.reason is Reason.QUEUE_FULL and fault.retry_after_s > 0
    assert [t.name for t in drop_expired(cell, 2.0)] == [f"r{i}" for i in range(5)]
    assert cell.waiting == 0


def test_new_backlog_rejects_nothing_for_its_start_rate():
    """Guards against rejecting requests by the rate of a backlog that has only just begun.

    This happens after a handover, when all requests arrive at once and one start was counted.
    """
    cell = make_cell(vms=1)
    queue = Queue("q", Urgent(), frozenset({"a"}), max_waiting=100, deadline_s=6.0)
    for index in range(30):
        task = Task(f"r{index}", "a", "q", Urgent(), Resources(slots=1), deadline_s=6.0)
        assert admit_request(cell, queue, task, 0.02, "p", 0.1) is None
        enqueue_task(cell, task)
        place_waiting(cell, 0.01)


def test_job_that_can_never_run_is_refused_with_the_reason():
    cell = make_cell()
    queue = Queue("q", Batch(), frozenset({"a"}))
    job = Job("j", "a", "q", Batch(), 1, Resources(9000, 1), 1.0)
    assert admit_job(cell, queue, job, "p").reason is Reason.NEVER_FITS


def test_parts_of_a_limit_always_sum_to_at_most_the_limit():
    shards = ["a.0", "b.0", "c.0"]
    base = split_limit("team", 5, shards)
    assert sum(base.values()) == 5
    book = GrantState()
    apply_claim(book, Claim("a.0", 4))
    assert not apply_move(book, Move("team", 1, "a.0", "b.0", 1, 3))
    assert apply_move(book, Move("team", 1, "a.0", "b.0", 1, 4))
    parts = [compute_part(book, "team", 1, base[shard], shard) for shard in shards]
    assert sum(parts) == 5
    assert compute_spare(base=10, part=10, running=2, waiting=0) == 5
    assert compute_spare(base=10, part=10, running=8, waiting=1) == 1


def test_overload_control_reduces_batch_before_services_and_never_urgent():
    cell = make_cell(vms=1)
    for name, kind in (("u", Urgent()), ("s", Service()), ("b1", Batch()), ("b2", Batch())):
        submit(cell, name, kind)
    submit(cell, "once", Batch(), repeatable=False)
    run_all(place_waiting(cell, 1.0))
    vm = cell.vms["v0"]
    over_memory_uses = {task.name: MeasuredUse(1000, 4000) for task in vm.tasks.values()}
    chosen = choose_overload_actions(vm, over_memory_uses)
    assert [type(action) for action in chosen] == [Checkpoint, Checkpoint]
    far_over_memory_uses = {task.name: MeasuredUse(1000, 16000) for task in vm.tasks.values()}
    kinds = [
        (type(action), type(action.task.kind))
        for action in choose_overload_actions(vm, far_over_memory_uses)
    ]
    assert kinds == [(Checkpoint, Batch), (Checkpoint, Batch), (Stop, Service)]
    over_core_uses = {task.name: MeasuredUse(4000, 100) for task in vm.tasks.values()}
    throttled = [action.task.job.name for action in choose_overload_actions(vm, over_core_uses)]
    assert "u" not in throttled and throttled[-1] == "s"
    assert (
        choose_overload_actions(
            vm, {task.name: MeasuredUse(500, 100) for task in vm.tasks.values()}
        )
        == []
    )
