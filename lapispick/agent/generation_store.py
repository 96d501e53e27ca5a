"""Stores several generations of a host on disk. A generation becomes visible atomically, by a rename.

``FOLDER/DIGEST/`` contains ``program/`` with the package, ``lapispick.conf`` and ``generation.json``.
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
from lapispick.agent.errors import InvalidGenerationError
from lapispick.json_decoding import json_decoder
from lapispick.rollout import compat, generations
from lapispick.rollout.generations import Generation

RECORD_FILE = "generation.json"
PROGRAM_FOLDER = "program"
SETTINGS_FILE = "lapispick.conf"
PACKAGE = "lapispick"
MAX_PROGRAM_FILES = 5000
MAX_PROGRAM_BYTES = 256 << 20
PROGRAM_TIMEOUT_S = 20.0  # for a program to report its formats or check settings
_MAX_SHOWN_STDERR = 200
_decode_generation = json_decoder(Generation)


def program_files(folder: Path) -> list[tuple[str, bytes]]:
    """Return the paths and contents of a program's files, except Python's caches.

    Raises ``InvalidGenerationError``.
    """
    files = []
    total_bytes = 0
    for path in sorted(folder.rglob("*")):
        if "__pycache__" in path.parts or not path.is_file():
            continue
        data = path.read_bytes()
        total_bytes += len(data)
        files.append((str(path.relative_to(folder)), data))
        if len(files) > MAX_PROGRAM_FILES or total_bytes > MAX_PROGRAM_BYTES:
            raise InvalidGenerationError(
                f"{folder}: expected at most {MAX_PROGRAM_FILES} files and {MAX_PROGRAM_BYTES >> 20} MB, got more"
            )
    return files


def settings_digest(data: bytes) -> str:
    """Return the digest of a settings file."""
    return generations.files_digest([(SETTINGS_FILE, data)])


def program_environment(program: Path) -> dict[str, str]:
    """Return environment variables with which Python imports the package from a program folder."""
    return {**os.environ, "PYTHONPATH": str(program), "PYTHONDONTWRITEBYTECODE": "1"}


def reported_formats(program: Path, python: str = sys.executable) -> dict[str, compat.FormatSupport]:
    """Return the formats that a program reports to read and write; empty for one without ``versions.py``.

    Raises ``InvalidGenerationError``.
    """
    if not (program / PACKAGE / "versions.py").is_file():
        return {}
    completed = subprocess.run(
        [python, "-m", "lapispick.versions"],
        cwd=program,
        capture_output=True,
        timeout=PROGRAM_TIMEOUT_S,
        env=program_environment(program),
    )
    if completed.returncode:
        stderr = completed.stderr.decode(errors="replace").strip()[-_MAX_SHOWN_STDERR:]
        raise InvalidGenerationError(
            f"{program}: python -m lapispick.versions failed with exit status {completed.returncode}: {stderr}"
        )
    try:
        return compat.parse_formats(msgspec.json.decode(completed.stdout))
    except (ValueError, AttributeError) as err:
        raise InvalidGenerationError(f"{program}: invalid output of python -m lapispick.versions: {err}") from None


class GenerationStore:
    """Store of the generations in one folder."""

    def __init__(self, folder: Path, python: str = sys.executable) -> None:
        self.folder = folder
        self._python = python

    def add(self, program: Path, settings: Path | None, config: dict[str, Any], label: str = "") -> Generation:
        """Store a copy of a program folder and settings; raises ``InvalidGenerationError`` or ``OSError``."""
        if not (program / PACKAGE).is_dir():
            raise InvalidGenerationError(f"{program}: expected a subfolder {PACKAGE}")
        if faults := generations.config_faults(config):
            raise InvalidGenerationError(faults[0])
        settings_bytes = settings.read_bytes() if settings is not None else b""
        files = program_files(program)
        program_digest = generations.files_digest(files)
        conf_digest = settings_digest(settings_bytes)
        name = generations.generation_digest(program_digest, conf_digest, config)
        if (existing := self.get(name)) is not None:
            return existing
        formats = reported_formats(program, self._python)
        generation = Generation(name, program_digest, conf_digest, config, formats, label, time.time())
        self._write(generation, files, settings_bytes)
        return generation

    def _write(self, generation: Generation, files: list[tuple[str, bytes]], settings: bytes) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / f".{generation.digest}.{os.getpid()}"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        for path, data in files:
            target = temporary / PROGRAM_FOLDER / path
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(data)
        (temporary / SETTINGS_FILE).write_bytes(settings)
        atomic_files.replace(temporary / RECORD_FILE, msgspec.json.encode(generation))
        final = self.folder / generation.digest
        if final.exists():  # incomplete or unreadable, as add() has not found it
            shutil.rmtree(final)
        os.rename(temporary, final)
        atomic_files.sync_directory(self.folder)

    def get(self, name: str) -> Generation | None:
        """Return a generation; None if it is missing or incomplete, or if its digest differs from its name."""
        folder = self.folder / name
        try:
            generation = _decode_generation((folder / RECORD_FILE).read_bytes())
        except (OSError, msgspec.MsgspecError):
            return None
        has_program = (folder / PROGRAM_FOLDER / PACKAGE).is_dir()
        has_settings = (folder / SETTINGS_FILE).is_file()
        return generation if generation.digest == name and has_program and has_settings else None

    def all(self) -> dict[str, Generation]:
        """Return all complete generations."""
        try:
            names = [path.name for path in self.folder.iterdir() if not path.name.startswith(".")]
        except OSError:
            return {}
        return {name: generation for name in sorted(names) if (generation := self.get(name)) is not None}

    def verify(self, name: str) -> str:
        """Return what is wrong with the files of a generation; empty if they match its digests."""
        generation = self.get(name)
        if generation is None:
            return "missing or incomplete"
        folder = self.folder / name
        if generations.files_digest(program_files(folder / PROGRAM_FOLDER)) != generation.program_digest:
            return "the program files do not match their digest"
        if settings_digest((folder / SETTINGS_FILE).read_bytes()) != generation.settings_digest:
            return "the settings file does not match its digest"
        return ""

    def prune(self, keep: int, needed: set[str]) -> list[str]:
        """Remove all generations but the newest ``keep`` and those in ``needed``; returns the removed digests."""
        newest_first = sorted(self.all().values(), key=lambda generation: generation.added_at, reverse=True)
        removed = [generation.digest for generation in newest_first[keep:] if generation.digest not in needed]
        for name in removed:
            shutil.rmtree(self.folder / name, ignore_errors=True)
        return removed
