"""Expands host ranges such as ``disp-[01:14].pipera`` and ``box-[a:c]``, also with a step: ``d[0:6:3]``. No I/O."""

from __future__ import annotations

import re

from lapispick.fleet.errors import HostRangeError

MAX_RANGE_SPAN = 10_000_000
_RANGE = re.compile(r"\[(?:(\d+):(\d+)|([A-Za-z]):([A-Za-z]))(?::(\d+))?\]")
_LOOKS_LIKE_RANGE = re.compile(r"\[[^\]:]+:[^\]:]*(?::[^\]:]*)?\]")  # excludes IPv6 addresses in brackets


def _range_values(match: re.Match[str]) -> list[str]:
    """Return the values that one range expands to."""
    pattern = match.group(0)
    low, high, first, last, step_text = match.groups()
    step = int(step_text) if step_text else 1
    if step < 1:
        raise HostRangeError(pattern, f"has step {step}; expected at least 1")
    if low is None:
        return _letter_values(pattern, first, last, step)
    return _number_values(pattern, low, high, step)


def _letter_values(pattern: str, first: str, last: str, step: int) -> list[str]:
    if first.islower() != last.islower() or first > last:
        raise HostRangeError(pattern, "is not ascending within one case")
    return [chr(code) for code in range(ord(first), ord(last) + 1, step)]


def _number_values(pattern: str, low: str, high: str, step: int) -> list[str]:
    if len(low) > 1 and low.startswith("0") and len(low) != len(high):
        raise HostRangeError(pattern, "has bounds padded to different widths")
    if int(low) > int(high):
        raise HostRangeError(pattern, "is not ascending")
    if int(high) - int(low) >= MAX_RANGE_SPAN:
        raise HostRangeError(pattern, f"has too many numbers; expected at most {MAX_RANGE_SPAN}")
    width = len(low) if low.startswith("0") else 0
    return [str(number).zfill(width) for number in range(int(low), int(high) + 1, step)]


def expand(text: str, max_names: int) -> list[str]:
    """Return the names that a pattern expands to, in order.

    Raises ``HostRangeError`` for an invalid range and for more than ``max_names`` names.
    """
    if "[" not in text:
        return [text]
    names = [""]
    end = 0
    for match in _RANGE.finditer(text):
        values = _range_values(match)
        if len(names) * len(values) > max_names:
            raise HostRangeError(repr(text), f"expands to too many names; expected at most {max_names}")
        names = [prefix + text[end : match.start()] + value for prefix in names for value in values]
        end = match.end()
    rest = text[end:]
    if (malformed := _LOOKS_LIKE_RANGE.search(rest)) is not None:
        raise HostRangeError(
            malformed.group(0), "is not a valid range; expected a form such as [01:14], [a:f] or [0:20:2]"
        )
    return [prefix + rest for prefix in names]
