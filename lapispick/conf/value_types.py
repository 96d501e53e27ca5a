"""The types of values that directives take, with their units. No I/O.

Each type parses a word of a line into a value, or raises ``ValueError`` with what is expected.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from math import isfinite
from pathlib import PurePath
from typing import Any

import msgspec

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
SIZE_UNITS_BYTES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
TRUE_WORDS = ("yes", "on", "true")
FALSE_WORDS = ("no", "off", "false")
_FIRST_PRINTABLE = 32  # code point


def _quantity(text: str, units: Mapping[str, float], default_unit: str, example: str) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)", text)
    if not match or (match.group(2) or default_unit) not in units:
        raise ValueError(f"{text!r} is not {example}; units are {', '.join(units)}")
    return float(match.group(1)) * units[match.group(2) or default_unit]


def text(word: str) -> str:
    """Take any text."""
    if any(ord(character) < _FIRST_PRINTABLE for character in word):
        raise ValueError(f"{word!r} holds a control character")
    return word


def boolean(word: str) -> bool:
    """Take ``yes`` or ``no``."""
    if word.lower() in TRUE_WORDS:
        return True
    if word.lower() in FALSE_WORDS:
        return False
    raise ValueError(f"{word!r} is neither yes nor no")


def count(word: str) -> int:
    """Take a whole number."""
    if not re.fullmatch(r"\d{1,12}", word):
        raise ValueError(f"{word!r} is not a whole number such as 20")
    return int(word)


def duration(word: str) -> float:
    """Take a duration such as ``5s`` or ``200ms``; returns seconds. A bare number is seconds."""
    return _quantity(word, DURATION_UNITS_S, "s", "a span such as 5s")


def byte_size(word: str) -> int:
    """Take a size such as ``32MB``; returns bytes. A bare number is bytes."""
    return int(_quantity(word, SIZE_UNITS_BYTES, "B", "a size such as 32MB"))


def fraction(word: str) -> float:
    """Take a fraction such as ``17%`` or ``0.17``; returns a number from 0 to 1."""
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
        return " ".join(shown(element) for element in value)
    written = str(value)
    plain = re.fullmatch(r"[\w./:%+,@=-]+", written)
    return written if plain else "'" + written.replace("'", "'\"'\"'") + "'"


class Directive(msgspec.Struct, frozen=True):
    """What one directive takes; ``minimum`` and ``maximum`` are bounds in the value's own unit."""

    parse: Callable[[str], Any]
    doc: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    repeatable: bool = False  # takes several words, and may stand on several lines
    secret: bool = False

    def value(self, word: str) -> Any:
        """Read one word; raises ``ValueError``."""
        value = self.parse(word)
        if self.choices and value not in self.choices:
            raise ValueError(f"{word!r} is none of {', '.join(self.choices)}")
        minimum = self.minimum
        maximum = self.maximum
        if (minimum is not None and value < minimum) or (maximum is not None and value > maximum):
            if minimum is None or maximum is None:
                raise ValueError(f"{word!r} is out of bounds")
            raise ValueError(f"{word!r} is outside of {shown(minimum)} to {shown(maximum)}")
        return value
