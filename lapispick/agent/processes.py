"""The processes of a host, as an agent starts and finds them by a mark in their environment.

An agent that died between a start and its note of the process finds the process by its mark. Only processes of the
same user are looked at, and only marked ones of this very host and folder are ever signalled.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
from pathlib import Path
from typing import NamedTuple

MARK_VARIABLE = "LAPISPICK_LIFE"
HOST_MODULE = "lapispick.host"  # helpers that a host starts bear its mark too, and are other modules
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
_STATE_FIELD = 0  # of /proc/PID/stat behind the command's name
_START_TIME_FIELD = 19
_ENDED_STATES = (b"Z", b"X")


def boot_id() -> str:
    """Return what identifies this start of the machine."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return "unknown"


def _start_time(pid: int) -> int:
    """Return when a process began, in ticks since the machine's start; 0 where it has ended."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
    except OSError:
        return 0
    return 0 if fields[_STATE_FIELD] in _ENDED_STATES else int(fields[_START_TIME_FIELD])


class _Identity(NamedTuple):
    """A process; its start time tells it from a later process of the same id."""

    pid: int
    started: int


class ProcessTable:
    """The processes of one host by their numbers."""

    def __init__(self, mark: str) -> None:
        self._mark = mark  # the host and its folder
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._identities: dict[int, _Identity] = {}

    def find(self) -> None:
        """Look for all marked processes; once at the agent's start, as later ones are its own children."""
        for entry in os.listdir("/proc"):
            if not entry.isdecimal():
                continue
            try:
                number = self._marked_number(entry)
            except OSError:
                continue
            if number is not None and (started := _start_time(int(entry))):
                self._identities[number] = _Identity(int(entry), started)

    def _marked_number(self, entry: str) -> int | None:
        """Return the number of a host's process from its mark; None where it is none of this host."""
        if os.stat(f"/proc/{entry}").st_uid != os.getuid():
            return None
        prefix = f"{MARK_VARIABLE}={self._mark}#".encode()
        with open(f"/proc/{entry}/environ", "rb") as file:
            marks = [variable for variable in file.read().split(b"\0") if variable.startswith(prefix)]
        with open(f"/proc/{entry}/cmdline", "rb") as file:
            is_host = HOST_MODULE.encode() in file.read().split(b"\0")
        if not marks or not is_host:
            return None
        with contextlib.suppress(ValueError):
            return int(marks[0].rpartition(b"#")[2])
        return None

    def start(self, number: int, command: list[str], cwd: Path, environment: dict[str, str], log: Path) -> None:
        """Start a process with this number, unless there is one; raises ``OSError``. It outlives the agent."""
        if number in self.alive():
            return
        with log.open("ab") as output:
            child = subprocess.Popen(
                command,
                cwd=cwd,
                env={**environment, MARK_VARIABLE: f"{self._mark}#{number}"},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self._children[number] = child
        self._identities[number] = _Identity(child.pid, _start_time(child.pid))

    def alive(self) -> frozenset[int]:
        """Return the numbers of the processes that run."""
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
        return _start_time(identity.pid) != identity.started

    def pid(self, number: int) -> int | None:
        """Return the process id of a number."""
        identity = self._identities.get(number)
        return identity.pid if identity is not None else None

    def signal(self, number: int, signal_number: int) -> None:
        """Send a signal to a process, if it runs."""
        if number in self.alive():
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._identities[number].pid, signal_number)

    def kill(self, number: int) -> None:
        """End a process at once."""
        self.signal(number, signal.SIGKILL)
