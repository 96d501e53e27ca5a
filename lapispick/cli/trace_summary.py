"""``lapispick trace``: commands that summarise traces and estimate the clock offsets of their hosts."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.cli.output import ExitCode, print_json, print_line, print_table
from lapispick.cli.trace_common import (
    JSON,
    PATHS,
    fail,
    format_time,
    group_by_incarnation,
    open_traces,
    progress_bar,
    read_all_blocks,
    read_steps,
)
from lapispick.cli.trace_tables import PERCENTILE_COLUMNS, TOTALS_COLUMNS, percentile_rows, totals_rows
from lapispick.trace import aggregation, attempt_matching
from lapispick.trace.clock_skew import Clock, ClockEstimates, UnknownClock, estimate_clocks
from lapispick.trace.files import TraceReader
from lapispick.trace.summary import Summary

CLOCK_COLUMNS = ("box", "offset, ms", "drift, ms/s", "error, ms", "pairs", "")


def estimate_host_clocks(readers: list[TraceReader]) -> ClockEstimates:
    """Return estimates of the clocks of all hosts in these files."""
    attempts = attempt_matching.sample_attempts(
        attempt_matching.answered_attempts(reader.sources, read_steps(reader)) for reader in readers
    )
    return estimate_clocks(attempts, {source.box for reader in readers for source in reader.sources})


@click.command()
@PATHS
@JSON
def clocks(paths: tuple[Path, ...], json_: bool) -> None:
    """Estimate the clock offsets between hosts, from subjects that were attempted at more than one host.

    The hosts must have the same `subject-key`. Exits with 1 if a clock is unknown.
    """
    estimates = estimate_host_clocks(open_traces(paths))
    if json_:
        by_host = {host: _clock_fields(clock) for host, clock in estimates.clocks.items()}
        print_json({"reference": estimates.reference, "clocks": by_host})
    else:
        rows = (_clock_row(host, clock, estimates.reference) for host, clock in estimates.clocks.items())
        print_table(f"clocks against {estimates.reference}", CLOCK_COLUMNS, rows)
    any_unknown = any(isinstance(clock, UnknownClock) for clock in estimates.clocks.values())
    sys.exit(ExitCode.DIFFERENCES if any_unknown else 0)


def _clock_fields(clock: Clock | UnknownClock) -> Any:
    """Return the JSON output of a clock."""
    return {"why": clock.reason} if isinstance(clock, UnknownClock) else msgspec.to_builtins(clock)


def _clock_row(host: str, clock: Clock | UnknownClock, reference: str) -> tuple[Any, ...]:
    if isinstance(clock, UnknownClock):
        return host, "", "", "", "", clock.reason
    drift = f"{clock.drift:.3f}" if clock.drift_known else "unknown"
    remark = "reference" if host == reference else ""
    return host, f"{clock.offset:.1f}", drift, f"{clock.error:.1f}", clock.pairs, remark


@click.command()
@PATHS
@JSON
def summarise(paths: tuple[Path, ...], json_: bool) -> None:
    """Summarise the requests of one incarnation of a host, or of a merged file.

    Prints the offered (asked) and served priority weight by class, account and window of 10 s, rejections by reason,
    queue times and run durations. A retry counts for the request that it repeats, in a merged file also across hosts.
    """
    readers = open_traces(paths)
    if len(group_by_incarnation(readers)) != 1:
        fail(
            "expected files of one incarnation of one host, or one merged file; `lapispick trace merge` merges several"
        )
    try:
        with progress_bar("summarise", readers) as report:
            summary = aggregation.summarise(readers[0].sources, read_all_blocks(readers, report))
    except ValueError as err:
        fail(f"{readers[0].path}: {err}")
    if json_:
        print_json(summary)
    else:
        _print_summary(summary)


def _print_summary(summary: Summary) -> None:
    windows = {format_time(float(begin)): totals for begin, totals in summary.windows.items()}
    worst_windows = {format_time(float(begin)): summary.windows[begin] for begin in summary.worst_windows}
    for title, totals_by_name in (
        ("whole", {"all": summary.total}),
        ("by class", summary.classes),
        ("by account", summary.accounts),
        ("by 10 s", windows),
        ("worst 10 s", worst_windows),
    ):
        print_table(title, ("", *TOTALS_COLUMNS), totals_rows(totals_by_name, TOTALS_COLUMNS))
    print_table("waits before a run, ms", PERCENTILE_COLUMNS, percentile_rows(summary.queue_times))
    print_table("runs, ms", PERCENTILE_COLUMNS, percentile_rows(summary.run_durations))
    print_table("refused tries by ground", ("ground", "tries"), summary.rejection_reasons.items())
    if summary.lost_steps:
        print_line(f"{summary.lost_steps} steps are missing")
