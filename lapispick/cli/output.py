"""Output of the commands: tables for people, JSON for programs, and log lines in the host's format."""

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

PIPE_WIDTH = 200  # characters; of a table that is not printed to a terminal
FIRST_LOG_KEYS = ("ts", "level", "event")


class ExitCode(enum.IntEnum):
    """Exit codes besides 0, as docs/CLI.md states them."""

    DIFFERENCES = 1
    INVALID = 2
    NO_STATE = 3


def _limit_rate(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Drop log lines of an event above its rate limit. A structlog processor."""
    omitted_lines = logs.count_line(str(pairs.get("event", "")))
    if omitted_lines is None:
        raise structlog.DropEvent
    if omitted_lines:
        pairs["left_out"] = omitted_lines
    return pairs


def _render_line(logger: Any, method: str, pairs: MutableMapping[str, Any]) -> str:
    """Render an event in the host's line format. A structlog processor."""
    first_pairs = {key: pairs.pop(key) for key in FIRST_LOG_KEYS if key in pairs}
    return logs.render({**first_pairs, **pairs})


def setup_logs() -> Any:
    """Return a logger with the host's line format and its rate limit."""
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
    """Print a table that folds its cells to the width of the terminal, or to ``PIPE_WIDTH`` in a pipe."""
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
    """Print a line on standard output."""
    click.echo(text)


def print_error(text: str) -> None:
    """Print a line on standard error."""
    click.echo(text, err=True)


def format_pairs(mapping: Mapping[str, Any]) -> str:
    """Return a mapping as the text of one table cell."""
    return " ".join(f"{key}={value}" for key, value in mapping.items())
