"""Starts the processes of a host with their configuration, environment and log file, and removes old files.

The methods block on disk access, so the agent runs them in a thread, never in the event loop.
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
SHARED_TEMP_FOLDER = "tmp"
GENERATION_VARIABLE = "LAPISPICK_GENERATION"
MAX_RETAINED_PROCESSES = 10  # newest processes whose configuration and log files are kept
MAX_LOG_BYTES = 8 << 20  # per process; a second file keeps as much of the older output
_PRIVATE_VARIABLE_PREFIXES = ("LB_", "LAPISPICK_")  # of environment variables that the host does not inherit


class HostLauncher:
    """Starts the processes of one host; ``platform_config`` is the platform's configuration of the host."""

    def __init__(
        self,
        settings: AgentSettings,
        platform_config: Mapping[str, Any],
        processes: ProcessTable,
        generation_store: GenerationStore,
        python: str = sys.executable,
    ) -> None:
        self._settings = settings
        self._platform_config = platform_config
        self._processes = processes
        self._generation_store = generation_store
        self._python = python
        self._folder = Path(str(settings.folder)).absolute()

    def _config_path(self, number: int) -> Path:
        return self._folder / PROCESS_FOLDER / f"{number}.json"

    def write_config(self, process: HostProcess, generation: Generation) -> None:
        """Write the platform's configuration for a process; raises ``OSError``."""
        config = {
            **self._platform_config,
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
        """Start a process, then remove old files and generations that are not needed; raises ``OSError``."""
        generation_folder = self._generation_store.folder / process.generation
        config_path = self._config_path(process.number)
        temp_folder = self._folder / SHARED_TEMP_FOLDER
        temp_folder.mkdir(exist_ok=True)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(_PRIVATE_VARIABLE_PREFIXES)
        }
        environment |= {
            "LB_CONFIG": str(config_path),
            "LAPISPICK_CONF": str(generation_folder / SETTINGS_FILE),
            "TMPDIR": str(temp_folder),
            "PYTHONPATH": str(generation_folder / PROGRAM_FOLDER),
            "PYTHONDONTWRITEBYTECODE": "1",
            GENERATION_VARIABLE: process.generation,
        }
        command = [self._python, "-m", HOST_MODULE]
        log_path = config_path.with_suffix(".log")
        self._processes.start(process.number, command, generation_folder / PROGRAM_FOLDER, environment, log_path)
        self._remove_old_files(process.number)
        for removed in self._generation_store.prune(self._settings.max_spare_generations, needed_generations):
            shutil.rmtree(self._generation_store.folder / removed, ignore_errors=True)

    def _remove_old_files(self, newest: int) -> None:
        for path in self._folder.glob(f"{PROCESS_FOLDER}/*.*"):
            if path.stem.isdecimal() and int(path.stem) <= newest - MAX_RETAINED_PROCESSES:
                path.unlink(missing_ok=True)

    def rotate_logs(self) -> None:
        """Move the contents of logs over ``MAX_LOG_BYTES`` to a second file; processes append to the truncated log."""
        for path in self._folder.glob(f"{PROCESS_FOLDER}/*.log"):
            if path.stat().st_size > MAX_LOG_BYTES:
                path.with_suffix(".old").write_bytes(path.read_bytes())
                os.truncate(path, 0)
