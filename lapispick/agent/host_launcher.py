"""Starts the processes of a host with their configuration, environment and log file, and removes old files.

Blocks on the disk, so all but the paths runs in a thread, never in the loop.
"""

from __future__ import annotations

import os
import shutil
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from lapispick import atomic_files
from lapispick.agent.generation_store import PROGRAM_FOLDER, SETTINGS_FILE, GenerationStore
from lapispick.agent.processes import HOST_MODULE, ProcessTable
from lapispick.conf.sections import AgentSettings
from lapispick.rollout.generations import Generation
from lapispick.rollout.host_state import HostProcess

PROCESS_FOLDER = "lives"
SHARED_FOLDER = "tmp"
GENERATION_VARIABLE = "LAPISPICK_GENERATION"
MAX_RETAINED_PROCESSES = 10  # whose configuration and log stay
MAX_LOG_BYTES = 8 << 20  # of one process; as many again are kept of what came before
_PRIVATE_VARIABLES = ("LB_", "LAPISPICK_")  # prefixes that are not passed on from the agent


class HostLauncher:
    """Starts the processes of one host; ``base`` is the platform's configuration of the host."""

    def __init__(
        self,
        settings: AgentSettings,
        base: Mapping[str, Any],
        processes: ProcessTable,
        generations: GenerationStore,
        python: str = sys.executable,
    ) -> None:
        self._settings = settings
        self._base = base
        self._processes = processes
        self._generations = generations
        self._python = python
        self._folder = Path(str(settings.folder)).absolute()

    def _config_path(self, number: int) -> Path:
        return self._folder / PROCESS_FOLDER / f"{number}.json"

    def write_config(self, process: HostProcess, generation: Generation) -> None:
        """Write the platform's configuration for a process; raises ``OSError``."""
        config = {
            **self._base,
            **generation.config,
            "ops": self._settings.slot_ops[process.slot],
            "seed": os.urandom(8).hex(),
        }
        if self._settings.slot_executors:
            config["executor"] = self._settings.slot_executors[process.slot]
        path = self._config_path(process.number)
        path.parent.mkdir(exist_ok=True)
        atomic_files.replace(path, msgspec.json.encode(config))

    def start(self, process: HostProcess, needed_generations: set[str]) -> None:
        """Start a process and remove what is not needed any more; raises ``OSError``."""
        home = self._generations.folder / process.generation
        config = self._config_path(process.number)
        shared = self._folder / SHARED_FOLDER
        shared.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith(_PRIVATE_VARIABLES)}
        environment |= {
            "LB_CONFIG": str(config),
            "LAPISPICK_CONF": str(home / SETTINGS_FILE),
            "TMPDIR": str(shared),
            "PYTHONPATH": str(home / PROGRAM_FOLDER),
            "PYTHONDONTWRITEBYTECODE": "1",
            GENERATION_VARIABLE: process.generation,
        }
        command = [self._python, "-m", HOST_MODULE]
        log = config.with_suffix(".log")
        self._processes.start(process.number, command, home / PROGRAM_FOLDER, environment, log)
        self._remove_old_files(process.number)
        for removed in self._generations.prune(self._settings.max_spare_generations, needed_generations):
            shutil.rmtree(self._generations.folder / removed, ignore_errors=True)

    def _remove_old_files(self, newest: int) -> None:
        for path in self._folder.glob(f"{PROCESS_FOLDER}/*.*"):
            if path.stem.isdecimal() and int(path.stem) <= newest - MAX_RETAINED_PROCESSES:
                path.unlink(missing_ok=True)

    def rotate_logs(self) -> None:
        """Move the contents of logs that grew too long to an older file; processes append to the emptied one."""
        for path in self._folder.glob(f"{PROCESS_FOLDER}/*.log"):
            if path.stat().st_size > MAX_LOG_BYTES:
                path.with_suffix(".old").write_bytes(path.read_bytes())
                os.truncate(path, 0)
