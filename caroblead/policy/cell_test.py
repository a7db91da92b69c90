"""Property test: the accounting of a cell is consistent after any sequence of operations."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..core.data import ENDED, Batch, Gang, Job, Service, Task, TaskState, Team, Urgent, Vm, VmState
from ..core.resource import Resources, add, fits, subtract
from .cell import (
    Cell,
    add_vm,
    end_task,
    enqueue_task,
    put_team,
    release_allocation,
    remove_vm,
    set_vm_state,
)
from .health import record_failure, record_success
from .placement import place_waiting
from .sizing import learn_use

KINDS = (Urgent(), Batch(), Gang(), Service())
SIZE = Resources(8000, 16384, 0, 4)
TEAMS = ("a", "b", "c")


class CellMachine(RuleBasedStateMachine):
    """Applies submissions, placements, ends, VM losses and changes to a cell in random order."""

    def __init__(self):
        super().__init__()
        self.cell = Cell()
        self.now_s = 0.0
        self.number = 0
        for name in TEAMS:
            put_team(self.cell, Team(name, 1.0, 6), 6)
        for index in range(3):
            add_vm(self.cell, Vm(f"v{index}", "z", "r", SIZE))

    def list_running(self):
        return sorted((t for t in self.cell.tasks.values() if t.vm), key=lambda t: t.name)

    @rule(
        team=st.sampled_from(TEAMS),
        kind=st.sampled_from(KINDS),
        count=st.integers(1, 4),
        cores=st.sampled_from((500, 2000, 7000)),
        memory=st.sampled_from((512, 6000)),
    )
    def submit_job(self, team, kind, count, cores, memory):
        self.number += 1
        need = Resources(cores, memory)
        job = Job(f"j{self.number}", team, "q", kind, count, need, 5.0, submitted_s=self.now_s)
        self.cell.jobs[job.name] = job
        for index in range(count):
            task = Task(f"{job.name}/{index}", team, "q", kind, need, job, submitted_s=self.now_s)
            job.tasks.append(task)
            enqueue_task(self.cell, task)

    @rule(team=st.sampled_from(TEAMS))
    def submit_request(self, team):
        self.number += 1
        task = Task(f"r{self.number}", team, "q", Urgent(), Resources(slots=1))
        enqueue_task(self.cell, task)

    @rule(step_s=st.sampled_from((0.02, 1.0, 7.0)))
    def place(self, step_s):
        self.now_s += step_s
        for placement in place_waiting(self.cell, self.now_s):
            placement.task.state = TaskState.RUNNING
            job = placement.task.job
            if job and isinstance(job.kind, Gang):
                assert all(task.vm is not None for task in job.tasks if task.state not in ENDED)

    @precondition(lambda self: self.list_running())
    @rule(data=st.data(), used=st.sampled_from((0.2, 1.0, 3.0)))
    def finish(self, data, used):
        task = data.draw(st.sampled_from(self.list_running()))
        learn_use(self.cell.sizes, task, int(task.need.millicores * used), task.need.memory_mb)
        record_success(self.cell, task.vm)
        assert end_task(self.cell, task, TaskState.DONE, self.now_s)
        assert not end_task(self.cell, task, TaskState.DONE, self.now_s)

    @precondition(lambda self: self.list_running())
    @rule(data=st.data())
    def fail(self, data):
        task = data.draw(st.sampled_from(self.list_running()))
        record_failure(self.cell, task.vm, task, self.now_s)
        assert release_allocation(self.cell, task, self.now_s)
        assert not release_allocation(self.cell, task, self.now_s)
        if task.job is not None and isinstance(task.job.kind, Gang):
            for other in task.job.tasks:
                end_task(self.cell, other, TaskState.CANCELLED, self.now_s)
            self.cell.tasks.pop(task.name, None)
            task.state = TaskState.FAILED
        else:
            enqueue_task(self.cell, task)

    @precondition(lambda self: self.cell.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.cell.jobs)))
        for task in self.cell.jobs.pop(name).tasks:
            end_task(self.cell, task, TaskState.CANCELLED, self.now_s)

    @rule(data=st.data(), state=st.sampled_from((VmState.LIVE, VmState.LEAVING, VmState.SUSPECT)))
    def change_vm(self, data, state):
        name = data.draw(st.sampled_from(sorted(self.cell.vms)))
        set_vm_state(self.cell, self.cell.vms[name], state)

    @precondition(lambda self: len(self.cell.vms) > 1)
    @rule(data=st.data())
    def lose_vm(self, data):
        name = data.draw(st.sampled_from(sorted(self.cell.vms)))
        for task in remove_vm(self.cell, self.cell.vms[name]):
            end_task(self.cell, task, TaskState.LOST, self.now_s)
        self.number += 1
        add_vm(self.cell, Vm(f"v{self.number + 10}", "z", "r", SIZE))

    @rule(team=st.sampled_from(TEAMS), limit=st.integers(0, 8))
    def change_limit(self, team, limit):
        put_team(self.cell, Team(team, 2.0, limit), limit)

    @invariant()
    def vms_hold_what_they_run(self):
        for vm in self.cell.vms.values():
            total = Resources()
            for task in vm.tasks.values():
                total = add(total, task.allotted)
            assert fits(total, vm.capacity)
            assert vm.free == subtract(vm.capacity, total)

    @invariant()
    def teams_count_what_they_run(self):
        running = self.list_running()
        for name, row in self.cell.teams.items():
            own = [task for task in running if task.team == name]
            assert row.running == len(own)
            total = Resources()
            for task in own:
                total = add(total, task.allotted)
            assert row.used == total

    @invariant()
    def waiting_work_is_counted_once(self):
        waiting = [t for t in self.cell.tasks.values() if t.state is TaskState.WAITING]
        assert self.cell.waiting == len(waiting)
        for kind, ready in self.cell.ready.items():
            names = [name for _, name in ready]
            assert len(names) == len(set(names))
            for name, row in self.cell.teams.items():
                backlog = row.backlogs.get(kind)
                assert (name in names) == bool(backlog and backlog.size)


CellMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestCell = CellMachine.TestCase
