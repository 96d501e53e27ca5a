"""Helpers for tests of two processes of one worker host."""

import datetime

from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until

# With this window, no record expires during a test, even on a slow machine.
LONG_WINDOW_INFO = make_platform_info(({}, {"Window": 60_000.0}))


def served_count(process):
    """Return how many requests a process served, according to its metrics."""
    return sum(count for name, count in process.metrics().items() if name.startswith("success"))


def connection_to(process, other):
    """Return a connection that was accepted by this process and not by ``other``.

    The process whose count of served requests rises after a request is the one that accepted the connection.
    """
    while True:
        connection = process.gateway()
        served_before = served_count(process)
        connection.result(connection.request("track", "probe"))
        if wait_until(lambda: (served_count(process), True), "the metrics")[0] > served_before:
            return connection


def wait_until_ready(process):
    """Wait until a process reports to operators that it is ready."""
    return wait_until(lambda: process.call_ops() == ["OK"], "readiness of the new process")


def execution_count(body, *processes):
    """Return how many runs with this body the executors of these processes started."""
    return sum(len(process.executor.runs_of(body)) for process in processes)


def lock_path(folder):
    """Return the path of the lock file in the folder that the processes of a worker host share."""
    (path,) = folder.glob("lapispick-*.lock")
    return path


def socket_path(folder):
    """Return the path of the link socket in the folder that the processes of a worker host share."""
    (path,) = folder.glob("lapispick-*.sock")
    return str(path)


def operators_address(process):
    """Return the operators' address that a process logged, or None before its start."""
    started = [line for line in process.log().splitlines() if "event=started" in line]
    return started[0].split("ops=")[1].split()[0] if started else None


def logged_at(process, event):
    """Return when a process logged an event, in Unix seconds."""
    line = next(line for line in process.log().splitlines() if f"event={event}" in line)
    return datetime.datetime.fromisoformat(line.split()[0].removeprefix("ts=")).timestamp()
