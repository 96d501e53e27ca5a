"""Helpers shared by the benchmarks: checkouts of earlier versions, process statistics of the system, and tables."""

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
def temporary_checkout(revision: str) -> Iterator[Path]:
    """Check out an earlier version of the project into a temporary folder, and remove it on exit."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        subprocess.run(["git", "worktree", "add", "--detach", "-q", str(tree), revision], check=True)
        try:
            yield tree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], check=True)


def main_thread_cpu_s(pid: int) -> float:
    """Return the CPU time of a process's main thread, in which a host's event loop runs; it has ns precision."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def process_cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process; its precision is one clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the current resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MEBIBYTE


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process."""
    peak = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert peak is not None, f"expected a VmHWM line in the status of process {pid}; it may have exited"
    return int(peak.group(1)) / 1024


def format_ratio(before: Sequence[float], now: Sequence[float]) -> str:
    """Return the ratio of the medians as text, with the range of the ratios of paired runs."""
    ratios = [value_now / value_before for value_before, value_now in zip(before, now, strict=True)]
    return f"{statistics.median(now) / statistics.median(before):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"


def comparison_row(
    name: str, before: Sequence[float], now: Sequence[float], decimal_places: int
) -> tuple[str, str, str, str]:
    """Return a table row with a name, both medians and their ratio."""
    medians = [f"{statistics.median(values):.{decimal_places}f}" for values in (before, now)]
    return name, medians[0], medians[1], format_ratio(before, now)


def show(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table and a blank line."""
    print_table(title, columns, rows)
    print()
