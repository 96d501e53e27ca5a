"""What the trace commands share: opening files, reading on past spoilt blocks, times, and a bar for long work."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from lapispick.cli.output import ExitCode, print_error
from lapispick.trace.files import Reader
from lapispick.trace.helper import OPEN_SUFFIX, SUFFIX
from lapispick.trace.layout import TraceError
from lapispick.trace.record_types import Step
from lapispick.trace.records import Block

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")
PATHS = click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
PATH = click.argument("path", type=click.Path(path_type=Path))
OUT = click.argument("out", type=click.Path(path_type=Path))


class Moment(click.ParamType):
    """A time as Unix ms or as ISO 8601; one without a zone is UTC."""

    name = "time"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        """Return Unix ms."""
        if isinstance(value, float):
            return value
        try:
            return float(value)
        except ValueError:
            pass
        try:
            made = datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r} is neither Unix ms nor a time as in 2026-12-01T12:30:05Z", param, ctx)
        return (made if made.tzinfo else made.replace(tzinfo=UTC)).timestamp() * 1000


SINCE = click.option(
    "--since", type=Moment(), default=float("-inf"), help="The first that is kept; Unix ms or ISO 8601."
)
UNTIL = click.option("--until", type=Moment(), default=float("inf"), help="The first that is not.")


def fail(text: str) -> Any:
    """Say what is wrong with the call or the files, and end."""
    print_error(text)
    sys.exit(ExitCode.INVALID)


def readers(paths: Iterable[Path]) -> list[Reader]:
    """Open the files, of folders all traces in them, in the order of life and sequence; ends on a fault."""
    found: list[Reader] = []
    for path in paths:
        many = sorted(p for p in path.iterdir() if p.name.endswith((SUFFIX, OPEN_SUFFIX))) if path.is_dir() else [path]
        for each in many:
            try:
                found.append(Reader(each))
            except TraceError as err:
                fail(str(err))
    if not found:
        fail("no trace there")
    return sorted(
        found,
        key=lambda r: (r.header.box, r.header.incarnation, r.header.sequence, r.places[0].first if r.places else 0.0),
    )


def lives(found: Iterable[Reader]) -> list[list[Reader]]:
    """Return the files of each life of a box together, and each merged file by itself, in order."""
    made: dict[Any, list[Reader]] = {}
    for reader in found:
        alone = len(reader.sources) > 1
        made.setdefault(reader.path if alone else (reader.header.box, reader.header.incarnation), []).append(reader)
    return list(made.values())


def when(ms: float) -> str:
    """Write a time for people."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(ms / 1000)) + f".{int(ms % 1000):03d}Z"


def names(sources: Iterable[Any]) -> Callable[[int, int], str]:
    """Return what tells a class's name by source and number."""
    known = [list(source.classes) for source in sources]

    def name(box: int, class_index: int) -> str:
        return known[box][class_index] if box < len(known) and class_index < len(known[box]) else str(class_index)

    return name


@contextmanager
def bar(title: str, found: Iterable[Reader]) -> Iterator[Callable[[int], None]]:
    """Show on a terminal how far the reading of these files is; yields what takes the bytes that were read."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield lambda _: None
        return
    with Progress(
        TextColumn(title),
        BarColumn(),
        TextColumn("{task.percentage:>3.0f}%"),
        TimeRemainingColumn(),
        console=console,
        transient=True,
    ) as shown:
        task = shown.add_task(title, total=sum(r.size for r in found))
        yield lambda read: shown.advance(task, read)


def blocks(reader: Reader, tell: Callable[[int], None] = lambda _: None) -> Iterator[Block]:
    """Yield the whole blocks; of spoilt ones a line is written."""
    for place in reader.places:
        before = reader.read_bytes
        try:
            yield reader.columns(place)
        except TraceError as err:
            print_error(f"left out: {err}")
        tell(reader.read_bytes - before)


def steps(reader: Reader, tell: Callable[[int], None] = lambda _: None) -> Iterator[Step]:
    """Yield the steps of the whole blocks."""
    for block in blocks(reader, tell):
        try:
            yield from block.steps()
        except ValueError as err:
            print_error(f"left out: {reader.path}: a block {err}")
