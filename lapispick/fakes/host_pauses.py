"""Measures for how long the machine paused the test or a worker host, so that no rule counts it against the host.

For the test, a thread with a timer of a few ms records each late wake-up. For the processes of hosts, the system
reports how long they were runnable without a core (``/proc/PID/schedstat``). The platform's rules exclude the time for
which the machine pauses. The tests exclude the pauses that were measured while a request was open, which is nothing on
an idle machine.
"""

import contextlib
import threading
import time
import types
from typing import NamedTuple

WAKE_INTERVAL_S = 0.01
MIN_PAUSE_S = 0.02  # shorter pauses within an interval occur on any machine
WAKES_PER_CHECK = 5  # between two checks of the hosts' processes
FIND_PROCESSES_INTERVAL_S = 1.0
TEST_PROCESS = ""  # instead of a host's name


class Pause(NamedTuple):
    """A pause of a host or of the test, with the span (Unix time in s) within which it occurred."""

    since: float
    until: float
    host: str
    paused_s: float


class PauseMonitor(threading.Thread):
    """A thread that records pauses of the test and of hosts; each host needs ``name`` and ``serving_pids()``."""

    def __init__(self, hosts):
        super().__init__(daemon=True)
        self.pauses = []
        self._hosts = hosts
        self._stopped = threading.Event()
        self._waited_s = {}  # process id -> total time for which it was runnable without a core

    def run(self):
        last_wake = time.time()
        last_check = last_wake
        processes_found_at = 0.0
        wakes = 0
        pids = []
        while not self._stopped.wait(WAKE_INTERVAL_S):
            now = time.time()
            self.add_pause(last_wake, now, TEST_PROCESS, now - last_wake - WAKE_INTERVAL_S)
            last_wake = now
            wakes += 1
            if wakes % WAKES_PER_CHECK:
                continue
            if now - processes_found_at >= FIND_PROCESSES_INTERVAL_S:
                processes_found_at = now
                pids = [(host.name, pid) for host in list(self._hosts) for pid in _serving_pids(host)]
            for name, pid in pids:
                self._check_process(name, pid, last_check, now)
            last_check = now

    def _check_process(self, name, pid, since, now):
        with contextlib.suppress(OSError, IndexError, ValueError):
            with open(f"/proc/{pid}/schedstat") as file:
                waited_s = int(file.read().split()[1]) / 1e9
            waited_before_s = self._waited_s.get(pid, waited_s)
            self._waited_s[pid] = waited_s
            self.add_pause(since, now, name, waited_s - waited_before_s)

    def add_pause(self, since, until, host, paused_s):
        """Record a pause, unless it is shorter than ``MIN_PAUSE_S``."""
        if paused_s >= MIN_PAUSE_S:
            self.pauses.append(Pause(since, until, host, paused_s))

    def paused_s(self, host, since, until):
        """Return the total time, s, of the pauses of the test and this host that overlap a span."""
        return sum(
            pause.paused_s
            for pause in list(self.pauses)
            if pause.host in (TEST_PROCESS, host) and pause.since < until and pause.until > since
        )

    def stop(self):
        """End the thread."""
        self._stopped.set()


def _serving_pids(host):
    with contextlib.suppress(OSError):  # a process may end while the host is asked
        return host.serving_pids()
    return []


@contextlib.contextmanager
def measure_pauses(host):
    """Yield a function that returns the total time, s, of the pauses of a host process and the test since this call."""
    since = time.time()
    name = "host"
    monitor = PauseMonitor([types.SimpleNamespace(name=name, serving_pids=lambda: [host.process.pid])])
    monitor.start()
    try:
        yield lambda: monitor.paused_s(name, since, time.time())
    finally:
        monitor.stop()
