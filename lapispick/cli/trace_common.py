"""Helpers of the trace commands: opening files, reading the valid blocks, times, and a progress bar."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from lapispick.cli.output import ExitCode, print_error
from lapispick.trace.block_reader import Block
from lapispick.trace.files import TraceReader
from lapispick.trace.layout import TraceError
from lapispick.trace.record_types import Step
from lapispick.trace.recording import OPEN_SUFFIX, SUFFIX

JSON = click.option("--json", "json_", is_flag=True, help="Print JSON.")
PATHS = click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
PATH = click.argument("path", type=click.Path(path_type=Path))
OUT = click.argument("out", type=click.Path(path_type=Path))
ReportBytes = Callable[[int], None]  # called with the number of bytes read since the last call
ClassNameLookup = Callable[[int, int], str]  # returns a class name, given the indexes of its source and of the class


def _report_nothing(_: int) -> None:
    """Report no progress."""


class Moment(click.ParamType):
    """Option type for a time: Unix ms or ISO 8601, in UTC if it has no zone."""

    name = "time"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        """Return the time in Unix ms."""
        if isinstance(value, float):
            return value
        try:
            return float(value)
        except ValueError:
            pass
        try:
            moment = datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"expected Unix ms or ISO 8601 such as 2026-12-01T12:30:05Z, got {value!r}", param, ctx)
        with_zone = moment if moment.tzinfo else moment.replace(tzinfo=UTC)
        return with_zone.timestamp() * 1000


SINCE = click.option(
    "--since", type=Moment(), default=float("-inf"), help="Start of the window, inclusive; Unix ms or ISO 8601."
)
UNTIL = click.option(
    "--until", type=Moment(), default=float("inf"), help="End of the window, exclusive; Unix ms or ISO 8601."
)


def fail(text: str) -> Any:
    """Print an error message and exit with ``ExitCode.INVALID``."""
    print_error(text)
    sys.exit(ExitCode.INVALID)


def open_traces(paths: Sequence[Path]) -> list[TraceReader]:
    """Open files, and all traces in folders, sorted by incarnation and sequence; exits if one can't be opened."""
    readers: list[TraceReader] = []
    for path in paths:
        for file in _trace_files(path):
            try:
                readers.append(TraceReader(file))
            except TraceError as err:
                fail(str(err))
    if not readers:
        fail(f"no trace files in {', '.join(map(str, paths))}")
    return sorted(readers, key=_sort_key)


def _trace_files(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    return sorted(file for file in path.iterdir() if file.name.endswith((SUFFIX, OPEN_SUFFIX)))


def _sort_key(reader: TraceReader) -> tuple[str, str, int, float]:
    source = reader.first_source
    return source.box, source.incarnation, source.sequence, reader.blocks[0].first if reader.blocks else 0.0


def group_by_incarnation(readers: Iterable[TraceReader]) -> list[list[TraceReader]]:
    """Group the files of each incarnation of a host; each merged file is a group of its own. Keeps the order."""
    groups: dict[Any, list[TraceReader]] = {}
    for reader in readers:
        is_merged = len(reader.sources) > 1
        source = reader.first_source
        groups.setdefault(reader.path if is_merged else (source.box, source.incarnation), []).append(reader)
    return list(groups.values())


def host_names(sources: Iterable[Any]) -> list[str]:
    """Return the distinct host names of the sources."""
    return list(dict.fromkeys(source.box for source in sources))


def format_time(ms: float) -> str:
    """Return a time in Unix ms as ISO 8601 text."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(ms / 1000)) + f".{int(ms % 1000):03d}Z"


def class_name_lookup(sources: Iterable[Any]) -> ClassNameLookup:
    """Return a function that looks up a class name; a class that the header doesn't name gets its index."""
    names_by_source = [list(source.classes) for source in sources]

    def class_name(source_index: int, class_index: int) -> str:
        names: Sequence[str] = names_by_source[source_index] if source_index < len(names_by_source) else ()
        return names[class_index] if class_index < len(names) else str(class_index)

    return class_name


@contextmanager
def progress_bar(title: str, readers: Iterable[TraceReader]) -> Iterator[ReportBytes]:
    """Show the fraction of the files read so far, if standard error is a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield _report_nothing
        return
    columns = (TextColumn(title), BarColumn(), TextColumn("{task.percentage:>3.0f}%"), TimeRemainingColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task(title, total=sum(reader.size for reader in readers))
        yield lambda read_bytes: progress.advance(task, read_bytes)


def read_blocks(reader: TraceReader, report: ReportBytes = _report_nothing) -> Iterator[Block]:
    """Yield the valid blocks; prints an error for each corrupt one."""
    for location in reader.blocks:
        read_before = reader.bytes_read
        try:
            yield reader.read_block(location)
        except TraceError as err:
            print_error(f"skipped: {err}")
        report(reader.bytes_read - read_before)


def read_all_blocks(readers: Iterable[TraceReader], report: ReportBytes = _report_nothing) -> Iterator[Block]:
    """Yield the valid blocks of several files."""
    for reader in readers:
        yield from read_blocks(reader, report)


def read_steps(reader: TraceReader, report: ReportBytes = _report_nothing) -> Iterator[Step]:
    """Yield the steps of the valid blocks."""
    for block in read_blocks(reader, report):
        try:
            yield from block.steps()
        except ValueError as err:
            print_error(f"skipped: {reader.path}: a block {err}")


def read_all_steps(readers: Iterable[TraceReader], report: ReportBytes = _report_nothing) -> Iterator[Step]:
    """Yield the steps of the valid blocks of several files."""
    for reader in readers:
        yield from read_steps(reader, report)
