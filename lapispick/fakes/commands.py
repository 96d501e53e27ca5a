"""Runs of the command line in separate processes."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND_TIMEOUT_S = 60
COMMAND = (sys.executable, "-m", "lapispick")


def run_lapispick(*arguments, **options):
    """Run ``lapispick`` with these arguments and return the completed process, with its output as text."""
    defaults = {"capture_output": True, "text": True, "timeout": COMMAND_TIMEOUT_S, "cwd": ROOT}
    return subprocess.run([*COMMAND, *arguments], **{**defaults, **options})


def start_lapispick(*arguments, **options):
    """Start ``lapispick`` with these arguments and return the process."""
    return subprocess.Popen([*COMMAND, *arguments], **{"cwd": ROOT, **options})
