"""Starts the processes of a host, and finds them by a marker in their environment.

If an agent ends after it started a process and before it recorded the start, the next agent finds the process by the
marker. Only processes of the same user are inspected, and only processes marked with this host and folder are
signalled.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
from pathlib import Path
from typing import NamedTuple

MARKER_VARIABLE = "LAPISPICK_LIFE"
HOST_MODULE = "lapispick.host"  # helper processes inherit the marker of their host, but run other modules
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
_STATE_FIELD = 0  # indexes into the fields of /proc/PID/stat after the command name
_START_TIME_FIELD = 19
_ENDED_STATES = (b"Z", b"X")  # zombie, dead


def boot_id() -> str:
    """Return an identifier of the machine's current boot."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return "unknown"


def _start_time(pid: int) -> int:
    """Return the start time of a process in clock ticks since boot; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
    except OSError:
        return 0
    return 0 if fields[_STATE_FIELD] in _ENDED_STATES else int(fields[_START_TIME_FIELD])


class _Identity(NamedTuple):
    """Process id and start time; the start time distinguishes a process from a later one with the same id."""

    pid: int
    start_time: int


class ProcessTable:
    """Processes of one host by their numbers."""

    def __init__(self, marker: str) -> None:
        self._marker = marker  # identifies the host and its folder
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._identities: dict[int, _Identity] = {}

    def find_marked_processes(self) -> None:
        """Find all marked processes; called once when the agent starts, as later processes are its children."""
        for entry in os.listdir("/proc"):
            if not entry.isdecimal():
                continue
            try:
                number = self._marked_number(entry)
            except OSError:
                continue
            if number is not None and (start_time := _start_time(int(entry))):
                self._identities[number] = _Identity(int(entry), start_time)

    def _marked_number(self, entry: str) -> int | None:
        """Return the number in the marker of a process of this host; None for any other process."""
        if os.stat(f"/proc/{entry}").st_uid != os.getuid():
            return None
        prefix = f"{MARKER_VARIABLE}={self._marker}#".encode()
        with open(f"/proc/{entry}/environ", "rb") as file:
            markers = [variable for variable in file.read().split(b"\0") if variable.startswith(prefix)]
        with open(f"/proc/{entry}/cmdline", "rb") as file:
            is_host = HOST_MODULE.encode() in file.read().split(b"\0")
        if not markers or not is_host:
            return None
        with contextlib.suppress(ValueError):
            return int(markers[0].rpartition(b"#")[2])
        return None

    def start(self, number: int, command: list[str], cwd: Path, environment: dict[str, str], log: Path) -> None:
        """Start a process unless one with its number runs; raises ``OSError``. The process outlives the agent."""
        if number in self.running_numbers():
            return
        with log.open("ab") as output:
            child = subprocess.Popen(
                command,
                cwd=cwd,
                env={**environment, MARKER_VARIABLE: f"{self._marker}#{number}"},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self._children[number] = child
        self._identities[number] = _Identity(child.pid, _start_time(child.pid))

    def running_numbers(self) -> frozenset[int]:
        """Return the numbers of the running processes."""
        for number in list(self._identities):
            if self._has_ended(number):
                self._children.pop(number, None)
                del self._identities[number]
        return frozenset(self._identities)

    def _has_ended(self, number: int) -> bool:
        child = self._children.get(number)
        if child is not None:
            return child.poll() is not None
        identity = self._identities[number]
        return _start_time(identity.pid) != identity.start_time

    def pid(self, number: int) -> int | None:
        """Return the process id for a number; None if no such process is known."""
        identity = self._identities.get(number)
        return identity.pid if identity is not None else None

    def signal(self, number: int, signal_number: int) -> None:
        """Send a signal to a process if it is running."""
        if number in self.running_numbers():
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._identities[number].pid, signal_number)

    def kill(self, number: int) -> None:
        """Kill a process with SIGKILL."""
        self.signal(number, signal.SIGKILL)
