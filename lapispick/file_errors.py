"""Faults of files that people and tools write: each names file, line, key and what is expected instead."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_FAULTS = 50  # of one reading; a file of another kind must not fill the log
MAX_SUMMARY_FAULTS = 3
MIN_SIMILARITY = 0.6  # of a suggested name, as difflib counts it


class SourceLocation(msgspec.Struct, frozen=True, array_like=True):
    """A location in a file; line and column count from 1, 0 = not known."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return ``file:line:column`` as far as known, the form that editors jump to."""
        known = [str(number) for number in (self.line, self.column) if number]
        return ":".join([self.file, *known])


class FileFault(msgspec.Struct, frozen=True, array_like=True):
    """One thing in a file that cannot be used."""

    location: SourceLocation
    key: str
    message: str

    def __str__(self) -> str:
        """Return ``file:line: key: message``."""
        if self.key:
            return f"{self.location}: {self.key}: {self.message}"
        return f"{self.location}: {self.message}"


class InvalidFileError(Exception):
    """A file cannot be used; ``faults`` lists all that is wrong with it, up to a bound."""

    def __init__(self, faults: Iterable[FileFault]) -> None:
        self.faults = tuple(faults)
        super().__init__(self._summary())

    def _summary(self) -> str:
        shown = [str(fault) for fault in self.faults[:MAX_SUMMARY_FAULTS]]
        omitted = len(self.faults) - len(shown)
        if omitted:
            shown.append(f"and {omitted} more")
        return "; ".join(shown)


class FaultCollector:
    """Collects the faults of one reading, in the order in which they are found."""

    def __init__(self, max_faults: int = MAX_FAULTS) -> None:
        self.collected: list[FileFault] = []
        self.left_out = 0  # faults beyond the bound
        self._max_faults = max_faults

    def add(self, location: SourceLocation, key: str, message: str) -> None:
        """Add a fault; beyond the bound it is only counted."""
        if len(self.collected) < self._max_faults:
            self.collected.append(FileFault(location, key, message))
        else:
            self.left_out += 1

    def extend(self, faults: Iterable[FileFault]) -> None:
        """Add the faults of a part."""
        for fault in faults:
            self.add(fault.location, fault.key, fault.message)

    def __bool__(self) -> bool:
        """Tell whether there is any fault."""
        return bool(self.collected)


def suggest_nearest(name: str, known_names: Iterable[str]) -> str:
    """Return ``; did you mean X?`` for the known name most similar to this one, or an empty string."""
    import difflib  # needed only for a fault, so a start without one does not load it

    similar = difflib.get_close_matches(name, list(known_names), n=1, cutoff=MIN_SIMILARITY)
    return f"; did you mean {similar[0]}?" if similar else ""
