"""Faults in files that people or tools write, each with the file, the line, the key and the expected form."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_FAULTS = 50  # of one reading, so that a file of the wrong kind does not fill the log
MAX_SUMMARY_FAULTS = 3
MIN_SIMILARITY = 0.6  # of a suggested name, as the ratio that difflib computes


class SourceLocation(msgspec.Struct, frozen=True, array_like=True):
    """A location in a file; line and column start at 1, and 0 means unknown."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return ``file:line:column`` without the unknown parts, the form in which editors open a location."""
        known = [str(number) for number in (self.line, self.column) if number]
        return ":".join([self.file, *known])


class FileFault(msgspec.Struct, frozen=True, array_like=True):
    """One fault in a file: its location, the key and the message."""

    location: SourceLocation
    key: str
    message: str

    def __str__(self) -> str:
        """Return ``file:line: key: message``."""
        if self.key:
            return f"{self.location}: {self.key}: {self.message}"
        return f"{self.location}: {self.message}"


class InvalidFileError(Exception):
    """A file cannot be used because of its ``faults``, which are listed up to a bound."""

    def __init__(self, faults: Iterable[FileFault]) -> None:
        self.faults = tuple(faults)
        super().__init__(self._summary())

    def _summary(self) -> str:
        summary = [str(fault) for fault in self.faults[:MAX_SUMMARY_FAULTS]]
        omitted = len(self.faults) - len(summary)
        if omitted:
            summary.append(f"and {omitted} more")
        return "; ".join(summary)


class FaultCollector:
    """Collector of the faults of one reading, in the order in which they are found."""

    def __init__(self, max_faults: int = MAX_FAULTS) -> None:
        self.collected: list[FileFault] = []
        self.omitted_count = 0  # faults beyond the bound
        self._max_faults = max_faults

    def add(self, location: SourceLocation, key: str, message: str) -> None:
        """Add a fault; faults beyond the bound are only counted."""
        if len(self.collected) < self._max_faults:
            self.collected.append(FileFault(location, key, message))
        else:
            self.omitted_count += 1

    def extend(self, faults: Iterable[FileFault]) -> None:
        """Add several faults."""
        for fault in faults:
            self.add(fault.location, fault.key, fault.message)

    def __bool__(self) -> bool:
        """Return True if there is any fault."""
        return bool(self.collected)


def suggest_nearest(name: str, known_names: Iterable[str]) -> str:
    """Return ``; did you mean X?`` for the known name most similar to this one, or an empty string."""
    import difflib  # imported here, because only a fault needs it and a start without faults should not load it

    similar = difflib.get_close_matches(name, list(known_names), n=1, cutoff=MIN_SIMILARITY)
    return f"; did you mean {similar[0]}?" if similar else ""
