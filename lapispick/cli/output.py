"""What tools print: tables for people, JSON for programs, log lines as the host writes them."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping, MutableMapping
from typing import Any

import click
import msgspec
import structlog
from rich.console import Console
from rich.table import Table

from lapispick.host import logs

# Exit codes, as docs/CLI.md states them.
DIFFERS, FAULTY, NO_STATE = 1, 2, 3


def _limited(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    left_out = logs.may_write(str(pairs.get("event", "")))
    if left_out is None:
        raise structlog.DropEvent
    if left_out:
        pairs["left_out"] = left_out
    return pairs


def _line(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> str:
    first = {key: pairs.pop(key) for key in ("ts", "level", "event") if key in pairs}
    return logs.render({**first, **pairs})


def setup_logs() -> Any:
    """Return a logger whose lines are the host's own, with the same limit on lines a second."""
    structlog.configure(
        processors=[
            _limited,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
            structlog.processors.format_exc_info,
            _line,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table for people; narrow terminals fold cells, pipes get the full width."""
    made = Table(title=title, title_justify="left", box=None, header_style="bold", pad_edge=False)
    for column in columns:
        made.add_column(column, overflow="fold")
    for row in rows:
        made.add_row(*(str(cell) for cell in row))
    wide = None if sys.stdout.isatty() else 200
    Console(width=wide, highlight=False).print(made)


def as_json(value: Any) -> None:
    """Print one JSON document."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def say(text: str) -> None:
    """Print a line."""
    click.echo(text)


def complain(text: str) -> None:
    """Print a line on standard error."""
    click.echo(text, err=True)


def pairs(told: Mapping[str, Any]) -> str:
    """Write a mapping in a cell."""
    return " ".join(f"{key}={value}" for key, value in told.items())
