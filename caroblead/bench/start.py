"""Measures what a start of the node program costs: processor time and memory after the imports."""

import os
import resource
import statistics
import subprocess
import sys

from .result import Results

STARTS = 10
# Prints the peak memory of the process in KiB. The kernel's figure for a child process isn't used,
# because it includes the memory of the parent at the time of the fork.
PRINT_MEMORY = """
from pathlib import Path
lines = Path("/proc/self/status").read_text().splitlines()
print(next(line.split()[1] for line in lines if line.startswith("VmHWM")))
"""
START_NODE = f"""
from caroblead.platform.__main__ import load_program
load_program()
{PRINT_MEMORY}
"""
START_WITH_ALL_LIBRARIES = f"""
import caroblead.config.ticket
import caroblead.platform.serve
{PRINT_MEMORY}
"""
TARGET_FRACTION = 0.4
TARGET_MB = 40.0


def measure_start(results: Results):
    """Measures starts of the node program beside a start that imports pydantic as well."""
    starts = [_start(START_NODE) for _ in range(STARTS)]
    everything = [_start(START_WITH_ALL_LIBRARIES) for _ in range(STARTS)]
    cpu_s = statistics.median(cpu for cpu, _ in starts)
    baseline_s = statistics.median(cpu for cpu, _ in everything)
    memory_mb = max(memory for _, memory in starts)
    results.add(
        "start of a node",
        {"cpu_s": cpu_s, "with_pydantic_cpu_s": baseline_s, "memory_mb": memory_mb},
        f"{TARGET_FRACTION} of the baseline, {TARGET_MB} MB",
        cpu_s <= TARGET_FRACTION * baseline_s and memory_mb <= TARGET_MB,
    )


def _start(program: str) -> tuple[float, float]:
    """Returns the processor seconds and the peak memory in MB of one start."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    command = [sys.executable, "-S", "-c", program]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    done = subprocess.run(command, check=True, capture_output=True, text=True, env=environment)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return round(cpu_s, 3), int(done.stdout) / 1024
