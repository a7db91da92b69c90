"""Sends the orders of one caller to the simulated VMs, subject to the injected faults."""

import asyncio

from ..dispatch.interface import (
    NoAnswer,
    StartOrder,
    Target,
    TaskName,
)
from .keyedlog import CallerFaults
from .vmsimulator import SimulatedVm, VmSimulator

RESPONSE_DELAY_S = 0.002


class SimulatedVmControl:
    """Sends one caller's orders to the VMs, subject to the injected faults."""

    def __init__(
        self, vm_simulator: VmSimulator, caller: str, caller_faults: CallerFaults | None = None
    ):
        self.vm_simulator = vm_simulator
        self.caller = caller
        self.caller_faults = caller_faults or CallerFaults()

    async def start(self, target: Target, order: StartOrder):
        """Starts a run of a task."""
        return await self._send_order(
            target, lambda vm, late_s: self.vm_simulator.start(vm, order, late_s)
        )

    async def stop(self, target: Target, task: TaskName, number: int, term: int):
        """Stops a run."""
        return await self._send_order(
            target, lambda vm, late_s: self.vm_simulator.stop(vm, task, number, term)
        )

    async def pace(self, target: Target, task: TaskName, number: int, percent: int, term: int):
        """Changes the pace of a run, in percent of its full pace."""
        return await self._send_order(
            target, lambda vm, late_s: self.vm_simulator.pace(vm, task, number, percent, term)
        )

    async def hold(self, target: Target, term: int, seen: int, deadline_ms, wait_s: float):
        """Renews a VM's lease and returns its active and ended runs."""
        vm = await self._reach_vm(target)
        if vm is None:
            return NoAnswer("no response from the VM")
        if target.vm in self.vm_simulator.late_holds:
            self.vm_simulator.late_holds.discard(target.vm)
            self.vm_simulator.hold_late(vm, term, seen, deadline_ms)
            await asyncio.sleep(0.4)
            return NoAnswer("no response from the VM")
        answer = await self.vm_simulator.hold(vm, term, seen, deadline_ms, wait_s)
        await self.caller_faults.wait_while_frozen()
        return answer if self._is_reachable(target) else NoAnswer("no response from the VM")

    def _is_reachable(self, target: Target) -> bool:
        vm = self.vm_simulator.vms[target.vm]
        return vm.up and (self.caller, target.vm) not in self.vm_simulator.cut

    async def _reach_vm(self, target: Target) -> SimulatedVm | None:
        await self.caller_faults.wait_while_frozen()
        await asyncio.sleep(RESPONSE_DELAY_S)
        if not self._is_reachable(target):
            await asyncio.sleep(0.4)
            return None
        return self.vm_simulator.vms[target.vm]

    async def _send_order(self, target: Target, apply_order):
        vm = await self._reach_vm(target)
        if vm is None:
            return NoAnswer("no response from the VM")
        if self.vm_simulator.late_orders > 0:
            self.vm_simulator.late_orders -= 1
            late_s = self.vm_simulator.late_s
            self.vm_simulator.loop.call_later(late_s, _apply_if_up, vm, apply_order, late_s)
            await asyncio.sleep(0.4)
            return NoAnswer("no response from the VM")
        answer = apply_order(vm, 0.0)
        if not vm.up:
            await asyncio.sleep(0.4)
            return NoAnswer("no response from the VM")
        await self.caller_faults.wait_while_frozen()
        if self.vm_simulator.lose_answers > 0:
            self.vm_simulator.lose_answers -= 1
            await asyncio.sleep(0.4)
            return NoAnswer("no response from the VM")
        return answer


def _apply_if_up(vm: SimulatedVm, apply_order, late_s: float):
    """Executes a late order, unless the VM is down: the order is lost then."""
    if vm.up:
        apply_order(vm, late_s)
