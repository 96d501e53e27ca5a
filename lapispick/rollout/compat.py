"""Compatibility of the formats of two generations that run side by side. No I/O.

A change from one generation to another is allowed if each reads what the other writes, for every format that both have.
A format that only one of them has does not prevent the change, as the other one ignores it. Settings are an exception:
only a generation's own program reads its settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

PRIVATE_FORMATS = ("settings",)  # no other generation reads them


class FormatSupport(NamedTuple):
    """Version of a format that a program writes, and the oldest and newest that it reads; stored as an array."""

    writes: int
    oldest: int
    newest: int

    def reads(self, version: int) -> bool:
        """Return True if the program reads this version."""
        return self.oldest <= version <= self.newest


def parse_formats(reported: Mapping[str, object]) -> dict[str, FormatSupport]:
    """Parse the formats that a program reports; raises ``ValueError``."""
    return {name: _parse_support(name, value) for name, value in reported.items()}


def _parse_support(name: str, value: object) -> FormatSupport:
    if not isinstance(value, list | tuple) or len(value) != 3 or not all(type(v) is int and v >= 0 for v in value):
        raise ValueError(f"{name}: expected [writes, oldest read, newest read], got {value!r}")
    support = FormatSupport(*value)
    if not support.reads(support.writes):
        versions = f"{support.oldest} to {support.newest}"
        raise ValueError(f"{name}: writes {support.writes}, which it does not read ({versions})")
    return support


def incompatibilities(old: Mapping[str, FormatSupport], new: Mapping[str, FormatSupport]) -> list[str]:
    """Return the reasons, for both directions, why two generations must not run side by side; empty if they may."""
    reasons = []
    for name in sorted(old.keys() & new.keys() - set(PRIVATE_FORMATS)):
        old_support = old[name]
        new_support = new[name]
        if not new_support.reads(old_support.writes):
            reasons.append(
                f"{name}: the new one reads {new_support.oldest} to {new_support.newest}, the old one writes "
                f"{old_support.writes}; take a step between that reads both"
            )
        if not old_support.reads(new_support.writes):
            reasons.append(
                f"{name}: the new one writes {new_support.writes}, the old one reads {old_support.oldest} to "
                f"{old_support.newest}; first roll out one that reads {new_support.writes} and still writes "
                f"{old_support.writes}"
            )
    return reasons


def common_version(ours: FormatSupport, theirs: FormatSupport) -> int | None:
    """Return the newest version that both read and may write to each other, or None."""
    newest = min(ours.newest, theirs.newest)
    return newest if newest >= max(ours.oldest, theirs.oldest) else None
