"""The site of a soak test: real node processes, the platform stand-in, and proxies between them."""

import itertools
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path

from ..dispatch.interface import LogLimits
from ..jobs.record import KeyedRecord
from ..platform import configuration, registry
from ..platform.earlysocket import SETTINGS_VARIABLE
from ..standin.caller import encode_configuration, encode_vm_entry
from ..standin.cluster import KEY, QUEUES, make_listed_vm
from ..standin.keyedlog import MemoryTopic
from ..standin.network import choose_network
from ..standin.platform import HttpPlatform
from ..standin.proxy import Proxy
from ..standin.template import fill_template
from ..standin.verdict import CallerRecords
from ..standin.vmsimulator import VmSimulator
from ..standin.work import make_behavior_lookup
from .deployedsite import CALLERS_PORT, ROOT, make_template_values

NODE_COUNT = 4
VM_COUNT = 5
# Small enough for the progress of some jobs to take several records.
LIMITS = LogLimits(record_bytes=4096, call_bytes=16_384)
CHECKPOINT_LENGTH = 2400


@dataclass(slots=True, eq=False)
class SoakRun:
    """One run: the stand-ins, the proxies, the processes and the folder with their logs."""

    seed: int
    folder: Path
    generator: random.Random
    platform: HttpPlatform
    vm_simulator: VmSimulator
    caller_records: CallerRecords
    network: str = field(default_factory=choose_network)
    frontends: dict[str, str] = field(default_factory=dict)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    vm_proxies: dict[str, Proxy] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def get_topic(self, name: str) -> MemoryTopic:
        """Returns a topic of the stand-in's store, which is created on first use."""
        return self.platform.get_topic(name)


def start_process(soak: SoakRun, name: str):
    """Starts a node's process and appends its output to the node's log file."""
    environment = {**os.environ, SETTINGS_VARIABLE: str(soak.folder / f"{name}.json")}
    with open(soak.folder / f"{name}.log", "ab") as output:
        soak.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "caroblead.platform"],
            stdout=output,
            stderr=output,
            env=environment,
        )


def write_settings(soak: SoakRun, name: str, number: int):
    """Writes the settings of a node, which reaches the store through its own proxy."""
    host = f"{soak.network}.{1 + number}"
    soak.frontends[name] = f"{host}:{CALLERS_PORT}"
    store = soak.store_proxies[name].address
    values = make_template_values(name, "a", host, store)
    values["platform"] = {
        "address": store,
        "recordBytes": LIMITS.record_bytes,
        "requestBytes": LIMITS.call_bytes,
    }
    template = (ROOT / "deploy" / "settings.json").read_text()
    (soak.folder / f"{name}.json").write_text(fill_template(template, values))


async def start_soak(seed: int, folder: Path) -> SoakRun:
    """Starts the stand-ins, the proxies and the nodes."""
    caller_records = CallerRecords()
    vm_simulator = VmSimulator(make_behavior_lookup(caller_records.jobs))
    platform = HttpPlatform(vm_simulator, LIMITS)
    await platform.start()
    soak = SoakRun(seed, folder, random.Random(seed), platform, vm_simulator, caller_records)
    soak.get_topic(configuration.TOPIC).append(
        [KeyedRecord(configuration.KEY, encode_configuration(1, QUEUES, KEY))], None
    )
    host, port = platform.address.split(":")
    for number in range(VM_COUNT):
        listed = make_listed_vm(number)
        proxy = soak.vm_proxies[listed.name] = Proxy(host, int(port))
        await proxy.start()
        vm_simulator.add(replace(listed, address=proxy.address))
        register_vm(soak, listed.name)
    for number in range(NODE_COUNT):
        name = f"n{number}"
        proxy = soak.store_proxies[name] = Proxy(host, int(port))
        await proxy.start()
        write_settings(soak, name, number)
        start_process(soak, name)
    return soak


def register_vm(soak: SoakRun, name: str):
    """Appends a VM's registry entry, as the VM does when it starts."""
    vm = soak.vm_simulator.vms[name]
    entry = encode_vm_entry(replace(vm.listed, incarnation=vm.incarnation))
    soak.get_topic(registry.TOPIC).append([KeyedRecord(name, entry)], None)


async def stop_soak(soak: SoakRun):
    """Kills the processes of this run and closes its proxies and stand-ins.

    A paused process is resumed first.
    """
    for process in soak.processes.values():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()
    for proxy in itertools.chain(soak.store_proxies.values(), soak.vm_proxies.values()):
        await proxy.close()
    await soak.platform.close()
