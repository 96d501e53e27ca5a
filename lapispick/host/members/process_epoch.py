"""Process epoch: a number that grows with each start of the host's process, stored in a file of the state folder."""

from __future__ import annotations

import logging
import time
from pathlib import Path

from lapispick import atomic_files
from lapispick.host.logs import log
from lapispick.members.messages import MAX_EPOCH

LOG = "members"
FILE_NAME = "life"
MAX_START_EPOCH = MAX_EPOCH >> 1  # leaves half of the range for later epochs


def next_process_epoch(folder: str | None) -> int:
    """Return and save the epoch of this start; blocks on the disk.

    The epoch is the higher of the saved epoch plus one and the Unix time in seconds. Without a folder it is the Unix
    time; other members may know a later epoch, and report it.
    """
    epoch = min(max(_saved_epoch(folder) + 1, int(time.time())), MAX_START_EPOCH)
    if folder is not None:
        _save_epoch(Path(folder), epoch)
    return epoch


def _saved_epoch(folder: str | None) -> int:
    if folder is None:
        return 0
    path = Path(folder) / FILE_NAME
    try:
        return int(path.read_text())
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as err:
        log(LOG, logging.ERROR, "process-epoch-unreadable", file=path, error=err)
        return 0


def _save_epoch(folder: Path, epoch: int) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        atomic_files.replace(folder / FILE_NAME, str(epoch).encode())
    except OSError as err:
        log(LOG, logging.ERROR, "process-epoch-not-saved", file=folder, error=err)
