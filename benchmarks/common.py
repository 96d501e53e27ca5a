"""What measurements share: an earlier version beside this one, and what the system reports of a process."""

from __future__ import annotations

import os
import re
import statistics
import subprocess
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from lapispick.cli.output import print_table

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20


@contextmanager
def against(revision: str) -> Iterator[Path]:
    """Lay an earlier version of the project into a folder, which goes again at the end."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        subprocess.run(["git", "worktree", "add", "--detach", "-q", str(tree), revision], check=True)
        try:
            yield tree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], check=True)


def main_thread_cpu_s(pid: int) -> float:
    """Return the CPU time of a process's main thread, exactly; a host's event loop runs in it."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def process_cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process, in whole clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the memory that a process holds now."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MEBIBYTE


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has held."""
    peak = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert peak is not None, f"process {pid} has no memory of its own"
    return int(peak.group(1)) / 1024


def ratio(before: Sequence[float], now: Sequence[float]) -> str:
    """Return the ratio of the medians, with the range over pairs of runs."""
    pairs = [b / a for a, b in zip(before, now, strict=True)]
    return f"{statistics.median(now) / statistics.median(before):.3f} ({min(pairs):.3f} to {max(pairs):.3f})"


def comparison_row(
    name: str, before: Sequence[float], now: Sequence[float], decimal_places: int
) -> tuple[str, str, str, str]:
    """Return a row of a table: a name, both medians and their ratio."""
    medians = [f"{statistics.median(values):.{decimal_places}f}" for values in (before, now)]
    return name, medians[0], medians[1], ratio(before, now)


def show(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table."""
    print_table(title, columns, rows)
    print()
