"""Whether two generations may stand side by side, kind by kind. No I/O.

A step from one generation to another is allowed where each reads what the other writes, for every kind that both have;
a kind that only one of them has is a part that the other one leaves alone, and no hindrance. Settings are another
matter: a generation's settings are read by its own program only, so it needs to read no more than those.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

OWN = ("settings",)  # kinds that nobody else reads


class Spoken(NamedTuple):
    """One kind: what is written, and the oldest and newest that are read."""

    writes: int
    oldest: int
    newest: int

    def reads(self, version: int) -> bool:
        """Tell whether this one reads what is written so."""
        return self.oldest <= version <= self.newest


def parsed(told: Mapping[str, object]) -> dict[str, Spoken]:
    """Read what a program says that it speaks; raises ``ValueError``."""
    found = {}
    for kind, value in told.items():
        if not isinstance(value, list | tuple) or len(value) != 3 or not all(type(v) is int and v >= 0 for v in value):
            raise ValueError(f"{kind}: {value!r} is not [writes, oldest read, newest read]")
        made = Spoken(*value)
        if not made.oldest <= made.writes <= made.newest:
            raise ValueError(f"{kind}: writes {made.writes}, which it does not read ({made.oldest} to {made.newest})")
        found[kind] = made
    return found


def objections(old: Mapping[str, Spoken], new: Mapping[str, Spoken]) -> list[str]:
    """Return why these two must not stand side by side; nothing where they may, in either direction."""
    found = []
    for kind in sorted(old.keys() & new.keys() - set(OWN)):
        was, now = old[kind], new[kind]
        if not now.reads(was.writes):
            found.append(
                f"{kind}: the new one reads {now.oldest} to {now.newest}, the old one writes {was.writes}; "
                f"take a step between that reads both"
            )
        if not was.reads(now.writes):
            found.append(
                f"{kind}: the new one writes {now.writes}, the old one reads {was.oldest} to {was.newest}; "
                f"first roll out one that reads {now.writes} and still writes {was.writes}"
            )
    return found


def agreed(ours: Spoken, theirs: Spoken) -> int | None:
    """Return the newest version that both read and may write to each other, None where there is none."""
    newest = min(ours.newest, theirs.newest)
    return newest if newest >= max(ours.oldest, theirs.oldest) else None
