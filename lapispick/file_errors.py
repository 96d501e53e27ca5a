"""Faults of files that people and tools write: each names file, line, key and what is wanted instead."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

FAULTS_MOST = 50  # of one reading; a file that is no list at all must not fill the log


class Place(msgspec.Struct, frozen=True, array_like=True):
    """Where something was written; line and column count from 1, 0 = not known."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return ``file:line:column`` as far as known, the form that editors jump to."""
        parts = [self.file, *(str(n) for n in (self.line, self.column) if n)]
        return ":".join(parts)


class Fault(msgspec.Struct, frozen=True, array_like=True):
    """One thing that can't be used."""

    place: Place
    key: str
    text: str

    def __str__(self) -> str:
        """Return ``file:line: key: what``."""
        return f"{self.place}: {self.key}: {self.text}" if self.key else f"{self.place}: {self.text}"


class Faulty(Exception):
    """A file can't be used; ``faults`` lists all that is wrong with it, up to a bound."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__(
            "; ".join(str(f) for f in self.faults[:3])
            + (f"; and {len(self.faults) - 3} more" if len(self.faults) > 3 else "")
        )


class Collector:
    """Gathers the faults of one reading, in the order in which they were found."""

    def __init__(self, most: int = FAULTS_MOST) -> None:
        self.found: list[Fault] = []
        self.left_out = 0
        self._most = most

    def add(self, place: Place, key: str, text: str) -> None:
        """Note a fault; beyond the bound it is only counted."""
        if len(self.found) < self._most:
            self.found.append(Fault(place, key, text))
        else:
            self.left_out += 1

    def extend(self, faults: Iterable[Fault]) -> None:
        """Note the faults of a part."""
        for fault in faults:
            self.add(fault.place, fault.key, fault.text)

    def __bool__(self) -> bool:
        """Tell whether anything is wrong."""
        return bool(self.found)


def nearest(word: str, known: Iterable[str]) -> str:
    """Return ``; did you mean X?`` for the known name nearest to a word, or nothing."""
    import difflib  # on a fault only: a start without one does not pay for it

    close = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"; did you mean {close[0]}?" if close else ""
