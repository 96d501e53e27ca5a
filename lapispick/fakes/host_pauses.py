"""Measures how long the machine paused the test or a worker host, so that no rule counts it against the host.

A thread that wakes every few ms records each wake-up that came late; for the processes of hosts the system tells how
long they were runnable without a core (``/proc/PID/schedstat``). The platform's rules leave out the time in which the
machine pauses; here it is as much as was measured while a request was open, and nothing on a quiet machine.
"""

import contextlib
import threading
import time
import types
from typing import NamedTuple

WAKE_INTERVAL_S = 0.01
MIN_PAUSE_S = 0.02  # shorter ones within an interval are usual on any machine
WAKES_PER_CHECK = 5  # of the hosts' processes
FIND_PROCESSES_INTERVAL_S = 1.0
TEST_PROCESS = ""  # in place of a host's name


class Pause(NamedTuple):
    """A span, Unix s, within which a host or the test was paused for a time."""

    since: float
    until: float
    host: str
    paused_s: float


class PauseMonitor(threading.Thread):
    """Records pauses of the test and of hosts; each host has a ``name`` and ``serving_pids()``."""

    def __init__(self, hosts):
        super().__init__(daemon=True)
        self.pauses = []
        self._hosts = hosts
        self._stopped = threading.Event()
        self._waited_s = {}  # process id -> time without a core so far

    def run(self):
        last_wake = time.time()
        last_check = last_wake
        found_at = 0.0
        wakes = 0
        pids = []
        while not self._stopped.wait(WAKE_INTERVAL_S):
            now = time.time()
            self.add_pause(last_wake, now, TEST_PROCESS, now - last_wake - WAKE_INTERVAL_S)
            last_wake = now
            wakes += 1
            if wakes % WAKES_PER_CHECK:
                continue
            if now - found_at >= FIND_PROCESSES_INTERVAL_S:
                found_at = now
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
        """Return for how long the test and this host were paused in a span."""
        return sum(
            pause.paused_s
            for pause in list(self.pauses)
            if pause.host in (TEST_PROCESS, host) and pause.since < until and pause.until > since
        )

    def stop(self):
        """End the thread."""
        self._stopped.set()


def _serving_pids(host):
    with contextlib.suppress(OSError):  # it may end at any moment
        return host.serving_pids()
    return []


@contextlib.contextmanager
def measure_pauses(host):
    """Return what tells for how long the machine has paused a host process or the test since here, s."""
    since = time.time()
    name = "host"
    monitor = PauseMonitor([types.SimpleNamespace(name=name, serving_pids=lambda: [host.process.pid])])
    monitor.start()
    try:
        yield lambda: monitor.paused_s(name, since, time.time())
    finally:
        monitor.stop()
