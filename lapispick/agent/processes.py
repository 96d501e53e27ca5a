"""The host's processes as an agent starts and finds them: each bears a mark in its environment, so that none is lost.

An agent that died between a start and its note of the process finds the process by its mark. Only processes of the same
user are looked at, and only marked ones of this very box and folder are ever signalled.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
from pathlib import Path

MARK = "LAPISPICK_LIFE"
PROGRAM = "lapispick.host"  # the module; helpers that a host starts bear its mark too, and are other modules
BOOT = Path("/proc/sys/kernel/random/boot_id")


def boot() -> str:
    """Return what names this life of the machine."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return "unknown"


def _began(pid: int) -> int:
    """Return when a process began, in ticks of the machine's life; 0 where it is gone or only waits to be fetched."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            told = file.read().rpartition(b")")[2].split()
    except OSError:
        return 0
    return 0 if told[0] in (b"Z", b"X") else int(told[19])


class Processes:
    """The processes of one box's host."""

    def __init__(self, mark: str) -> None:
        self._mark = mark  # the box and its folder
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._pids: dict[int, tuple[int, int]] = {}  # life -> process, and when it began, as numbers come again

    def find(self) -> None:
        """Look for all marked processes; once at the agent's start, as later ones are its own."""
        wanted = f"{MARK}={self._mark}#".encode()
        for entry in os.listdir("/proc"):
            if not entry.isdecimal():
                continue
            try:
                if os.stat(f"/proc/{entry}").st_uid != os.getuid():
                    continue
                with open(f"/proc/{entry}/environ", "rb") as file:
                    marks = [part for part in file.read().split(b"\0") if part.startswith(wanted)]
                with open(f"/proc/{entry}/cmdline", "rb") as file:
                    ours = PROGRAM.encode() in file.read().split(b"\0")
            except OSError:
                continue
            if marks and ours and (began := _began(int(entry))):
                with contextlib.suppress(ValueError):
                    self._pids[int(marks[0].rpartition(b"#")[2])] = (int(entry), began)

    def start(self, life: int, command: list[str], cwd: Path, environ: dict[str, str], log: Path) -> None:
        """Start a process for a life, unless there is one; raises ``OSError``. It outlives the agent."""
        if life in self.alive():
            return
        with log.open("ab") as out:
            child = subprocess.Popen(
                command,
                cwd=cwd,
                env={**environ, MARK: f"{self._mark}#{life}"},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                start_new_session=True,
            )
        self._children[life], self._pids[life] = child, (child.pid, _began(child.pid))

    def alive(self) -> frozenset[int]:
        """Return the lives whose processes are there."""
        for life, (pid, began) in list(self._pids.items()):
            child = self._children.get(life)
            if child.poll() is not None if child is not None else _began(pid) != began:
                self._children.pop(life, None)
                del self._pids[life]
        return frozenset(self._pids)

    def pid(self, life: int) -> int | None:
        """Return the process of a life."""
        return self._pids[life][0] if life in self._pids else None

    def signal(self, life: int, number: int) -> None:
        """Send a signal to the process of a life, if it is there."""
        if life in self.alive():
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._pids[life][0], number)

    def kill(self, life: int) -> None:
        """End the process of a life at once."""
        self.signal(life, signal.SIGKILL)
