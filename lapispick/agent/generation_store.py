"""The generations that a box keeps, side by side on disk. A half-written one is none: a rename makes it whole.

``FOLDER/DIGEST/`` holds ``program/`` with the package, ``lapispick.conf``, and ``generation.json``.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from lapispick import atomic_files
from lapispick.rollout import compat, generations
from lapispick.rollout.generations import Generation

RECORD, PROGRAM, CONF = "generation.json", "program", "lapispick.conf"
FILES_MOST, BYTES_MOST = 5000, 256 << 20  # of one program folder
SPEAKS_S = 20.0  # s; for a program to say what it speaks
_read = msgspec.json.Decoder(Generation).decode


class Unfit(Exception):
    """What was named can't be a generation; the text says why."""


def contents(folder: Path) -> list[tuple[str, bytes]]:
    """Return the files of a program folder; what Python leaves there is left out."""
    found, size = [], 0
    for path in sorted(folder.rglob("*")):
        if "__pycache__" in path.parts or not path.is_file():
            continue
        data = path.read_bytes()
        size += len(data)
        found.append((str(path.relative_to(folder)), data))
        if len(found) > FILES_MOST or size > BYTES_MOST:
            raise Unfit(f"{folder}: over {FILES_MOST} files or {BYTES_MOST >> 20} MB")
    return found


def speaks(program: Path, python: str = sys.executable) -> dict[str, compat.Spoken]:
    """Ask a program what it speaks; one that has no word for it speaks nothing that others must read."""
    if not (program / "lapispick" / "versions.py").is_file():
        return {}
    done = subprocess.run(
        [python, "-m", "lapispick.versions"],
        cwd=program,
        capture_output=True,
        timeout=SPEAKS_S,
        env={**os.environ, "PYTHONPATH": str(program), "PYTHONDONTWRITEBYTECODE": "1"},
    )
    if done.returncode:
        raise Unfit(f"{program}: does not start: {done.stderr.decode(errors='replace').strip()[-200:]}")
    try:
        return compat.parsed(msgspec.json.decode(done.stdout))
    except (ValueError, AttributeError) as err:
        raise Unfit(f"{program}: says what can't be read of what it speaks: {err}") from None


class Shelf:
    """The generations in one folder."""

    def __init__(self, folder: Path, python: str = sys.executable) -> None:
        self.folder, self._python = folder, python

    def add(self, program: Path, conf: Path | None, config: dict[str, Any], label: str = "") -> Generation:
        """Put a copy of a program folder and settings on the shelf; raises ``Unfit`` or ``OSError``."""
        if not (program / "lapispick").is_dir():
            raise Unfit(f"{program}: holds no folder lapispick")
        if wrong := generations.faults(config):
            raise Unfit(wrong[0])
        own = conf.read_bytes() if conf is not None else b""
        files = contents(program)
        code, written = generations.digest(files), generations.digest([(CONF, own)])
        name = generations.named(code, written, config)
        if (found := self.get(name)) is not None:
            return found
        made = Generation(name, code, written, config, speaks(program, self._python), label, time.time())
        self.folder.mkdir(parents=True, exist_ok=True)
        fresh = self.folder / f".{name}.{os.getpid()}"
        shutil.rmtree(fresh, ignore_errors=True)
        fresh.mkdir()
        for path, data in files:
            (fresh / PROGRAM / path).parent.mkdir(parents=True, exist_ok=True)
            (fresh / PROGRAM / path).write_bytes(data)
        (fresh / CONF).write_bytes(own)
        atomic_files.replace(fresh / RECORD, msgspec.json.encode(made))
        if (self.folder / name).exists():  # what was left of one whose record is broken
            shutil.rmtree(self.folder / name)
        os.rename(fresh, self.folder / name)
        atomic_files.sync_directory(self.folder)
        return made

    def get(self, name: str) -> Generation | None:
        """Return a generation; None where it is not there, not whole or not what its name says."""
        try:
            made = _read((self.folder / name / RECORD).read_bytes())
        except (OSError, msgspec.MsgspecError):
            return None
        whole = made.digest == name and (self.folder / name / PROGRAM / "lapispick").is_dir()
        return made if whole and (self.folder / name / CONF).is_file() else None

    def all(self) -> dict[str, Generation]:
        """Return all that are whole."""
        try:
            names = [p.name for p in self.folder.iterdir() if not p.name.startswith(".")]
        except OSError:
            return {}
        return {name: made for name in sorted(names) if (made := self.get(name)) is not None}

    def verify(self, name: str) -> str:
        """Return what is wrong with a generation's files; empty where they are what the digest says."""
        made = self.get(name)
        if made is None:
            return "it is not there, or not whole"
        if generations.digest(contents(self.folder / name / PROGRAM)) != made.program:
            return "its program has changed since it was put here"
        if generations.digest([(CONF, (self.folder / name / CONF).read_bytes())]) != made.conf:
            return "its settings have changed since they were put here"
        return ""

    def prune(self, keep: int, protected: set[str]) -> list[str]:
        """Remove the oldest beyond so many; those that a box needs stay, whatever their age."""
        found = sorted(self.all().values(), key=lambda g: g.added, reverse=True)
        gone = [g.digest for g in found[keep:] if g.digest not in protected]
        for name in gone:
            shutil.rmtree(self.folder / name, ignore_errors=True)
        return gone
