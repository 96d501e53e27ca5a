"""Log lines of ``key=value`` pairs on standard error, with a rate limit for each event."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Mapping

import msgspec


class KeyValueFormatter(logging.Formatter):
    """Formatter for records as one line: time, level, event, then the record's own pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as ``key=value`` pairs; values with spaces or quotes are quoted."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {
            "ts": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return render(pairs)


def render(pairs: Mapping[str, object]) -> str:
    """Return pairs as ``key=value``, in their order; the command line's logger uses this too."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not any(c in ' "=' for c in text)
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return text if plain else f'"{escaped}"'


MAX_LINES_PER_SECOND = 10  # of one event; otherwise a misbehaving peer could fill the log and use much CPU


class _EventRate(msgspec.Struct):
    """Rate at which an event is logged."""

    second: int  # second of the monotonic clock in which ``lines`` are counted
    lines: int = 0
    left_out: int = 0  # lines left out since the last one that was written


_rates: dict[str, _EventRate] = {}  # by event


def log(name: str, level: int, event: str, /, **pairs: object) -> None:
    """Log one event with its pairs, and with ``left_out`` if earlier lines exceeded the rate limit."""
    if (left_out := count_line(event)) is None:
        return
    if left_out:
        pairs["left_out"] = left_out
    logging.getLogger(name).log(level, event, extra={"pairs": pairs})


def count_line(event: str) -> int | None:
    """Return how many lines of an event were left out before this one, or None if this one is left out too."""
    second = int(time.monotonic())
    rate = _rates.setdefault(event, _EventRate(second))
    if rate.second != second:
        rate.second = second
        rate.lines = 0
    rate.lines += 1
    if rate.lines > MAX_LINES_PER_SECOND:
        rate.left_out += 1
        return None
    left_out = rate.left_out
    rate.left_out = 0
    return left_out


def configure_logging(level: int = logging.INFO) -> None:
    """Send all records to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.raiseExceptions = False  # writing to a closed standard error must not print further tracebacks
