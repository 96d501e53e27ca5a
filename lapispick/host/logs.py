"""Log lines of ``key=value`` pairs on standard error."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Mapping
from typing import Any


class KeyValueFormatter(logging.Formatter):
    """One line a record: time, level, event, then the record's own pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Write a record as pairs; values with spaces or quotes are quoted."""
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


def render(pairs: Mapping[str, Any]) -> str:
    """Write pairs as ``key=value``, in their order; the tools' logger writes its lines with this too."""
    return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


def _quoted(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not any(c in ' "=' for c in text)
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return text if plain else f'"{escaped}"'


MOST_A_SECOND = 10  # lines of one event; a peer at fault must not fill the log, nor take the time for it
_seen: dict[str, list[int]] = {}  # event -> this second, its lines, and how many were left out


def log(name: str, level: int, event: str, /, **pairs: Any) -> None:
    """Log one event with its pairs; of too many in a second the next one tells the number, ``left_out``."""
    if (left_out := may_write(event)) is None:
        return
    if left_out:
        pairs["left_out"] = left_out
    logging.getLogger(name).log(level, event, extra={"pairs": pairs})


def may_write(event: str) -> int | None:
    """Return how many lines of an event were left out before this one; None where this one is left out too."""
    second = int(time.monotonic())
    seen = _seen.setdefault(event, [second, 0, 0])
    if seen[0] != second:
        seen[0], seen[1] = second, 0
    seen[1] += 1
    if seen[1] > MOST_A_SECOND:
        seen[2] += 1
        return None
    left_out, seen[2] = seen[2], 0
    return left_out


def configure_logging(level: int = logging.INFO) -> None:
    """Send all records to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.raiseExceptions = False  # a closed standard error must not add tracebacks of its own
