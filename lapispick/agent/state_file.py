"""The stored state of one host's agent; a lock ensures that only one agent uses it at a time."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from lapispick import atomic_files
from lapispick.agent.errors import StateFileError
from lapispick.json_decoding import json_decoder
from lapispick.rollout.host_state import STATE_VERSION, HostState

STATE_FILE = "state.json"
LOCK_FILE = "agent.lock"
_decode_state = json_decoder(HostState)


def read_state(path: Path, host: str) -> HostState:
    """Return the stored state, or an initial one if there is no file; raises ``StateFileError``."""
    try:
        state: HostState = _decode_state(path.read_bytes())
    except FileNotFoundError:
        return HostState(host)
    except (OSError, msgspec.MsgspecError) as err:
        advice = "move the file away and start the agent with --adopt GENERATION"
        raise StateFileError(path, f"can't be read: {err}; {advice}") from None
    if state.version > STATE_VERSION:
        raise StateFileError(path, f"unsupported version {state.version}, expected at most {STATE_VERSION}")
    if state.host != host:
        raise StateFileError(path, f"belongs to host {state.host}, expected {host}")
    return state


class StateFile:
    """The state file of a folder, locked for this process."""

    def __init__(self, folder: Path, host: str) -> None:
        """Lock the folder and read the state; raises ``StateFileError`` and ``OSError``."""
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / STATE_FILE
        self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StateFileError(folder, "locked by another agent") from None
        self.state = read_state(self._path, host)

    def save(self, state: HostState) -> None:
        """Replace the stored state; raises ``OSError``."""
        atomic_files.replace(self._path, msgspec.json.encode(state))
