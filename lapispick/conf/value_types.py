"""The kinds of values that directives take, with their units. No I/O.

Each kind reads the words of a line into a value, or raises ``ValueError`` with what is wanted.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from math import isfinite
from pathlib import PurePath
from typing import Any

import msgspec

SPANS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
YES, NO = ("yes", "on", "true"), ("no", "off", "false")


def _number(text: str, units: dict[str, float] | dict[str, int], unit: str, example: str) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)", text)
    if not match or (match.group(2) or unit) not in units:
        raise ValueError(f"{text!r} is not {example}; units are {', '.join(units)}")
    return float(match.group(1)) * units[match.group(2) or unit]


def text(word: str) -> str:
    """Take any text."""
    if any(ord(c) < 32 for c in word):
        raise ValueError(f"{word!r} holds a control character")
    return word


def flag(word: str) -> bool:
    """Take ``yes`` or ``no``."""
    if word.lower() in YES:
        return True
    if word.lower() in NO:
        return False
    raise ValueError(f"{word!r} is neither yes nor no")


def count(word: str) -> int:
    """Take a whole number."""
    if not re.fullmatch(r"\d{1,12}", word):
        raise ValueError(f"{word!r} is not a whole number such as 20")
    return int(word)


def span(word: str) -> float:
    """Take a span such as ``5s`` or ``200ms``; returns seconds. A bare number is seconds."""
    return _number(word, SPANS, "s", "a span such as 5s")


def size(word: str) -> int:
    """Take a size such as ``32MB``; returns bytes. A bare number is bytes."""
    return int(_number(word, SIZES, "B", "a size such as 32MB"))


def share(word: str) -> float:
    """Take a share such as ``17%`` or ``0.17``; returns a number from 0 to 1."""
    try:
        value = float(word[:-1]) / 100 if word.endswith("%") else float(word)
    except ValueError:
        value = float("nan")
    if not isfinite(value) or not 0 <= value <= 1:
        raise ValueError(f"{word!r} is not a share such as 17% (0% to 100%)")
    return value


def path(word: str) -> PurePath:
    """Take a path; a relative one counts from the file that names it."""
    if not word or "\0" in word:
        raise ValueError("must name a file or folder")
    return PurePath(word)


def shown(value: Any) -> str:
    """Write a value so that it can be read back, for ``config show``."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return " ".join(shown(v) for v in value)
    written = str(value)
    plain = re.fullmatch(r"[\w./:%+,@=-]+", written)
    return written if plain else "'" + written.replace("'", "'\"'\"'") + "'"


class Directive(msgspec.Struct, frozen=True):
    """What one directive takes; ``low`` and ``high`` are bounds in the value's own unit."""

    kind: Callable[[str], Any]
    doc: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    many: bool = False  # takes several words, and may stand on several lines
    secret: bool = False

    def value(self, word: str) -> Any:
        """Read one word; raises ``ValueError``."""
        made = self.kind(word)
        if self.choices and made not in self.choices:
            raise ValueError(f"{word!r} is none of {', '.join(self.choices)}")
        low, high = self.low, self.high
        if (low is not None and made < low) or (high is not None and made > high):
            # A span is told in seconds and a share in parts of 1, as the value is kept.
            raise ValueError(
                f"{word!r} is outside of {shown(low)} to {shown(high)}"
                if low is not None and high is not None
                else f"{word!r} is out of bounds"
            )
        return made
