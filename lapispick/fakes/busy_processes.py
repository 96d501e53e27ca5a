"""Processes that occupy the machine's cores during a test or measurement."""

import contextlib
import subprocess
import sys

MAX_DURATION_S = 120  # the processes end by then even if the test is killed

BUSY_LOOP_CODE = """
import os, sys, time
if sys.argv[2:]:
    os.sched_setaffinity(0, map(int, sys.argv[2:]))
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""


@contextlib.contextmanager
def busy_processes(count, cores=()):
    """Run processes that occupy one core each, of the given cores or any, and yield the processes."""
    command = [sys.executable, "-c", BUSY_LOOP_CODE, str(MAX_DURATION_S), *map(str, cores)]
    processes = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield processes
    finally:
        for process in processes:
            process.kill()
            process.wait()
