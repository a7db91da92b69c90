"""The site of a soak: real node processes, the platform's stand-in, and proxies between them."""

import itertools
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path

import orjson

from ..jobs.record import KeyedRecord
from ..platform import configuration, registry
from ..platform.serve import SETTINGS_VARIABLE
from ..standin.caller import encode_configuration, encode_entry
from ..standin.cluster import KEY, QUEUES, list_vm
from ..standin.keyedlog import MemoryTopic
from ..standin.platform import HttpPlatform
from ..standin.proxy import Proxy
from ..standin.taskvm import VmPark
from ..standin.verdict import Notes
from ..standin.work import plan_from
from ..tools.localsite import choose_ports

HOST = "127.0.0.1"
NODE_COUNT = 4
VM_COUNT = 5


@dataclass(slots=True, eq=False)
class Soak:
    """One run: the stand-ins, the proxies, the processes and where they keep their logs."""

    seed: int
    folder: Path
    draw: random.Random
    platform: HttpPlatform
    park: VmPark
    notes: Notes
    frontends: dict[str, str] = field(default_factory=dict)
    store_ways: dict[str, Proxy] = field(default_factory=dict)
    vm_ways: dict[str, Proxy] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def get_topic(self, name: str) -> MemoryTopic:
        """Returns a topic of the stand-in's store."""
        return self.platform.topics.setdefault(name, MemoryTopic())


def start_process(soak: Soak, name: str):
    """Starts a node's process, whose log goes to a file of its own."""
    environment = {**os.environ, SETTINGS_VARIABLE: str(soak.folder / f"{name}.json")}
    with open(soak.folder / f"{name}.log", "ab") as output:
        soak.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "caroblead.platform.serve"],
            stdout=output,
            stderr=output,
            env=environment,
        )


def write_settings(soak: Soak, name: str):
    """Writes the settings of a node, whose store is reached through the node's own proxy."""
    callers, readiness, peers, metrics = choose_ports(4)
    soak.frontends[name] = f"{HOST}:{callers}"
    settings = {
        "node": name,
        "zone": "a",
        "host": HOST,
        "callers": f"{HOST}:{callers}",
        "readiness": f"{HOST}:{readiness}",
        "peer_port": peers,
        "metrics_port": metrics,
        "store": soak.store_ways[name].address,
    }
    (soak.folder / f"{name}.json").write_bytes(orjson.dumps(settings))


async def open_soak(seed: int, folder: Path) -> Soak:
    """Starts the stand-ins and the nodes."""
    notes = Notes()
    park = VmPark(plan_from(notes.jobs))
    platform = HttpPlatform(park)
    await platform.start()
    soak = Soak(seed, folder, random.Random(seed), platform, park, notes)
    soak.get_topic(configuration.TOPIC).append(
        [KeyedRecord(configuration.KEY, encode_configuration(1, QUEUES, KEY))], None
    )
    host, port = platform.address.split(":")
    for number in range(VM_COUNT):
        listed = list_vm(number)
        way = soak.vm_ways[listed.name] = Proxy(host, int(port))
        await way.start()
        park.add(replace(listed, address=way.address))
        register_vm(soak, listed.name)
    for number in range(NODE_COUNT):
        name = f"n{number}"
        way = soak.store_ways[name] = Proxy(host, int(port))
        await way.start()
        write_settings(soak, name)
        start_process(soak, name)
    return soak


def register_vm(soak: Soak, name: str):
    """Writes a VM's entry, as it does when it starts."""
    vm = soak.park.vms[name]
    entry = encode_entry(replace(vm.listed, incarnation=vm.incarnation))
    soak.get_topic(registry.TOPIC).append([KeyedRecord(name, entry)], None)


async def close_soak(soak: Soak):
    """Ends the processes of this soak and its stand-ins."""
    for process in soak.processes.values():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()
    for way in itertools.chain(soak.store_ways.values(), soak.vm_ways.values()):
        await way.close()
    await soak.platform.close()
