"""``lapispick trace``: the command group, and the commands that show and check the content of traces."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from lapispick.cli.output import ExitCode, print_json, print_line, print_table
from lapispick.cli.trace_common import (
    JSON,
    PATHS,
    SINCE,
    UNTIL,
    ReportBytes,
    format_time,
    host_names,
    open_traces,
    progress_bar,
)
from lapispick.cli.trace_compare import diff, replay
from lapispick.cli.trace_plot import plot
from lapispick.cli.trace_summary import clocks, summarise
from lapispick.cli.trace_write import anonymise, convert, cut, merge, repair
from lapispick.trace import lines
from lapispick.trace.files import TraceReader
from lapispick.trace.layout import MAJOR_VERSION, TraceError
from lapispick.trace.module_digest import module_digest

INFO_COLUMNS = ("file", "box", "sequence", "made", "bytes", "blocks", "steps", "first", "last", "indexed", "module")


@click.group()
def trace() -> None:
    """Inspect, cut, merge, compare and replay recorded requests and decisions."""


for command in (repair, cut, merge, anonymise, convert, replay, diff, plot):
    trace.add_command(command)


def _info(reader: TraceReader) -> dict[str, Any]:
    """Return the fields of a file that ``trace info`` prints."""
    source = reader.first_source
    blocks = reader.blocks
    return {
        "file": str(reader.path),
        "box": ",".join(host_names(reader.sources)),
        "incarnation": source.incarnation,
        "sequence": source.sequence,
        "version": f"{MAJOR_VERSION}.{reader.minor_version}",
        "made": "; ".join(reader.header.made) or "recorded",
        "bytes": reader.size,
        "blocks": len(blocks),
        "steps": sum(block.steps for block in blocks),
        "first": format_time(min(block.first for block in blocks)) if blocks else "",
        "last": format_time(max(block.last for block in blocks)) if blocks else "",
        "indexed": reader.indexed,
        "damaged_bytes": sum(damage.length for damage in reader.damage),
        "module": "present" if source.module == module_digest() else source.module,
    }


@trace.command()
@PATHS
@JSON
def info(paths: tuple[Path, ...], json_: bool) -> None:
    """Print an overview of each file."""
    rows = [_info(reader) for reader in open_traces(paths)]
    if json_:
        print_json(rows)
    else:
        print_table(f"{len(rows)} files", INFO_COLUMNS, ((row[column] for column in INFO_COLUMNS) for row in rows))


@trace.command()
@PATHS
@JSON
def verify(paths: tuple[Path, ...], json_: bool) -> None:
    """Read every block and print the faults of each file; exits with 1 if there are any."""
    readers = open_traces(paths)
    with progress_bar("verify", readers) as report:
        faults_by_file = {str(reader.path): list(_faults(reader, report)) for reader in readers}
    if json_:
        print_json([{"file": file, "faults": faults} for file, faults in faults_by_file.items()])
    else:
        for file, faults in faults_by_file.items():
            print_line(f"{file}: {'; '.join(faults) or 'valid'}")
    sys.exit(ExitCode.DIFFERENCES if any(faults_by_file.values()) else 0)


def _faults(reader: TraceReader, report: ReportBytes) -> Iterator[str]:
    """Yield a description of each fault of a file."""
    for damage in reader.damage:
        yield f"{damage.length} bytes at byte {damage.offset}: {damage.reason}"
    if not reader.indexed:
        yield reader.index_error
    for location in reader.blocks:
        read_before = reader.bytes_read
        try:
            step_count = len(reader.read_steps(location))
            if step_count != location.steps:
                yield f"the block at byte {location.offset} has {step_count} steps, expected {location.steps}"
        except TraceError as err:
            yield str(err)
        report(reader.bytes_read - read_before)


@trace.command()
@PATHS
@SINCE
@UNTIL
def cat(paths: tuple[Path, ...], since: float, until: float) -> None:
    """Print the steps as JSON, one per line."""
    for reader in open_traces(paths):
        hosts = [source.box for source in reader.sources]
        for step in reader.steps(since, until):
            host = hosts[step.source_index] if step.source_index < len(hosts) else ""
            click.echo(lines.encode_step(step, host))


trace.add_command(clocks)
trace.add_command(summarise)
