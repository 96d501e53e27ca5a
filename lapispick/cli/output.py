"""What the commands print: tables for people, JSON for programs, log lines in the host's format."""

from __future__ import annotations

import enum
import sys
from collections.abc import Iterable, Mapping, MutableMapping
from typing import Any

import click
import msgspec
import structlog
from rich.console import Console
from rich.table import Table

from lapispick.host import logs

PIPE_WIDTH = 200  # characters of a table that is not printed to a terminal
FIRST_LOG_KEYS = ("ts", "level", "event")


class ExitCode(enum.IntEnum):
    """Exit codes besides 0, as docs/CLI.md states them."""

    DIFFERENCES = 1
    INVALID = 2
    NO_STATE = 3


def _limit_rate(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Drop a line of an event that is logged too often; a structlog processor."""
    left_out = logs.count_line(str(pairs.get("event", "")))
    if left_out is None:
        raise structlog.DropEvent
    if left_out:
        pairs["left_out"] = left_out
    return pairs


def _render_line(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> str:
    """Write an event as the host does; a structlog processor."""
    first = {key: pairs.pop(key) for key in FIRST_LOG_KEYS if key in pairs}
    return logs.render({**first, **pairs})


def setup_logs() -> Any:
    """Return a logger with the host's line format and its limit on lines a second."""
    structlog.configure(
        processors=[
            _limit_rate,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
            structlog.processors.format_exc_info,
            _render_line,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def print_table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table for people; narrow terminals fold cells, pipes get ``PIPE_WIDTH``."""
    table = Table(title=title, title_justify="left", box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    Console(width=width, highlight=False).print(table)


def print_json(value: Any) -> None:
    """Print one JSON document."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_line(text: str) -> None:
    """Print a line."""
    click.echo(text)


def print_error(text: str) -> None:
    """Print a line on standard error."""
    click.echo(text, err=True)


def format_pairs(mapping: Mapping[str, Any]) -> str:
    """Write a mapping in one cell of a table."""
    return " ".join(f"{key}={value}" for key, value in mapping.items())
