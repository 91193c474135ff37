"""Shortage of processor time: instances share few processors with busy processes."""

import os
import random
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from wasabiwell_standins.users_platform.deployment import Deployment

ENTRIES_PER_PROCESSOR = 2
BUSY_PROCESSES_PER_PROCESSOR = 1


@contextmanager
def processor_pressure(deployment: Deployment, seed: int) -> Iterator[int]:
    """Confine the running instances to few processors, with busy processes; yield how many.

    The busy processes end when the context exits.
    """
    processors = sorted(os.sched_getaffinity(0))
    count = min(len(processors), -(-len(deployment.entries) // ENTRIES_PER_PROCESSOR))
    chosen = frozenset(random.Random(seed).sample(processors, count))
    busy: list[subprocess.Popen[bytes]] = []
    try:
        for _ in range(count * BUSY_PROCESSES_PER_PROCESSOR):
            process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
            busy.append(process)
            os.sched_setaffinity(process.pid, chosen)
        for entry in deployment.entries:
            entry.confine(chosen)
        yield len(busy)
    finally:
        for process in busy:
            process.kill()
        for process in busy:
            process.wait()
