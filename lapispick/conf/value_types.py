"""The types of the values of directives, with their units. No I/O.

Each type is a function that parses an argument of a directive; it raises ``ValueError`` with the expected form.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

import msgspec

from lapispick.conf import paths

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
SIZE_UNITS_BYTES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
TRUE_VALUES = ("yes", "on", "true")
FALSE_VALUES = ("no", "off", "false")
_FIRST_PRINTABLE_CODE_POINT = 32


def _quantity(text: str, units: Mapping[str, float], default_unit: str, example: str) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)", text)
    if not match or (match.group(2) or default_unit) not in units:
        raise ValueError(f"expected {example} (units: {', '.join(units)}), got {text!r}")
    return float(match.group(1)) * units[match.group(2) or default_unit]


def text(raw: str) -> str:
    """Return any text without control characters."""
    if any(ord(character) < _FIRST_PRINTABLE_CODE_POINT for character in raw):
        raise ValueError(f"expected text without control characters, got {raw!r}")
    return raw


def boolean(raw: str) -> bool:
    """Parse a word of ``TRUE_VALUES`` or ``FALSE_VALUES``, such as ``yes`` and ``no``."""
    if raw.lower() in TRUE_VALUES:
        return True
    if raw.lower() in FALSE_VALUES:
        return False
    raise ValueError(f"expected yes or no, got {raw!r}")


def count(raw: str) -> int:
    """Parse a whole number of at most 12 digits, without a sign."""
    if not re.fullmatch(r"\d{1,12}", raw):
        raise ValueError(f"expected a whole number such as 20, got {raw!r}")
    return int(raw)


def duration(raw: str) -> float:
    """Parse a duration such as ``5s`` or ``200ms``, and return seconds; a number without a unit is seconds."""
    return _quantity(raw, DURATION_UNITS_S, "s", "a duration such as 5s")


def byte_size(raw: str) -> int:
    """Parse a size such as ``32MB``, and return bytes; a number without a unit is bytes."""
    return int(_quantity(raw, SIZE_UNITS_BYTES, "B", "a size such as 32MB"))


def fraction(raw: str) -> float:
    """Parse a fraction such as ``17%`` or ``0.17``, and return a number from 0 to 1."""
    try:
        value = float(raw[:-1]) / 100 if raw.endswith("%") else float(raw)
    except ValueError:
        value = float("nan")
    if not isfinite(value) or not 0 <= value <= 1:
        raise ValueError(f"expected a percentage from 0% to 100% such as 17%, got {raw!r}")
    return value


def path(raw: str) -> str:
    """Parse a path; the caller resolves a relative one against the folder of the settings file."""
    if not raw or "\0" in raw:
        raise ValueError(f"expected the path of a file or folder, got {raw!r}")
    return paths.normalize(raw)


def format_value(value: Any) -> str:
    """Format a value so that it can be parsed again, for ``config show``."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return " ".join(format_value(element) for element in value)
    formatted = str(value)
    needs_no_quotes = re.fullmatch(r"[\w./:%+,@=-]+", formatted)
    return formatted if needs_no_quotes else "'" + formatted.replace("'", "'\"'\"'") + "'"


class Directive(msgspec.Struct, frozen=True):
    """The type, description and bounds of a directive's value; the bounds have the unit of the parsed value."""

    value_type: Callable[[str], Any]
    doc: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    repeatable: bool = False  # may have several arguments and occur on several lines
    secret: bool = False

    def parse_value(self, raw: str) -> Any:
        """Parse one argument and check its bounds; raises ``ValueError``."""
        value = self.value_type(raw)
        if self.choices and value not in self.choices:
            raise ValueError(f"expected one of {', '.join(self.choices)}, got {raw!r}")
        minimum = self.minimum
        maximum = self.maximum
        if (minimum is not None and value < minimum) or (maximum is not None and value > maximum):
            if minimum is None or maximum is None:
                raise ValueError(f"expected a value within the bounds of the directive, got {raw!r}")
            raise ValueError(f"expected a value from {format_value(minimum)} to {format_value(maximum)}, got {raw!r}")
        return value
