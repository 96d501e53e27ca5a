"""Processes that use the machine's cores beside what is tested or measured."""

import contextlib
import subprocess
import sys

MAX_DURATION_S = 120  # ends them where a test is killed

SPIN_ON_CORES = """
import os, sys, time
if sys.argv[2:]:
    os.sched_setaffinity(0, map(int, sys.argv[2:]))
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""


@contextlib.contextmanager
def busy_processes(count, cores=()):
    """Run processes that use a core each, on these cores or any; returns them."""
    command = [sys.executable, "-c", SPIN_ON_CORES, str(MAX_DURATION_S), *map(str, cores)]
    processes = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield processes
    finally:
        for process in processes:
            process.kill()
            process.wait()
