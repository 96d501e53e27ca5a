"""The syntax of the settings file: lines, words, sections and includes. No I/O: files come from a function.

# a comment
include sites/*.conf
section inventory
path "amqp inventory.yml"
settle 1s
end
"""

from __future__ import annotations

import shlex
from collections.abc import Callable
from pathlib import PurePath

import msgspec

from lapispick.file_errors import FaultCollector, SourceLocation

INCLUDES_MOST = 64  # files of one configuration
DEPTH_MOST = 8  # includes within includes
LINES_MOST = 20_000  # of all files together


class Line(msgspec.Struct, frozen=True):
    """One directive: its name, its words and where it stands."""

    place: SourceLocation
    name: str
    words: tuple[str, ...]


class Section(msgspec.Struct):
    """One ``section NAME`` to ``end``."""

    place: SourceLocation
    name: str
    lines: list[Line] = msgspec.field(default_factory=list)


# Returns (path, text) of the files that a pattern names, in order; raises ``OSError`` or ``ValueError``.
Opener = Callable[[PurePath], list[tuple[PurePath, str]]]


class Parser:
    """Reads one file and all that it includes."""

    def __init__(self, opener: Opener) -> None:
        self.faults = FaultCollector()
        self.sections: list[Section] = []
        self._opener = opener
        self._files: list[PurePath] = []  # being read, the outermost first
        self._read = 0
        self._lines = 0
        self._open: Section | None = None

    def file(self, path: PurePath, place: SourceLocation | None = None) -> None:
        """Read what a pattern names; faults are collected."""
        place = place or SourceLocation(str(path))
        if len(self._files) >= DEPTH_MOST:
            return self.faults.add(place, "include", f"{path} is included more than {DEPTH_MOST} deep")
        try:
            found = self._opener(path)
        except (OSError, ValueError) as err:
            return self.faults.add(place, "include" if self._files else "", f"{path} can't be read: {err}")
        for each, text in found:
            self._read += 1
            if each in self._files:
                chain = " -> ".join(str(f) for f in (*self._files, each))
                self.faults.add(place, "include", f"a file includes itself: {chain}")
            elif self._read > INCLUDES_MOST:
                return self.faults.add(place, "include", f"more than {INCLUDES_MOST} files")
            else:
                self._text(each, text)

    def _text(self, path: PurePath, text: str) -> None:
        self._files.append(path)
        outer, self._open = self._open, None
        for number, raw in enumerate(text.splitlines(), 1):
            self._lines += 1
            if self._lines > LINES_MOST:
                self.faults.add(SourceLocation(str(path), number), "", f"more than {LINES_MOST} lines")
                break
            self._line(SourceLocation(str(path), number), raw)
        if self._open is not None:
            self.faults.add(self._open.place, "section", f"{self._open.name} has no end")
        self._open = outer
        self._files.pop()

    def _line(self, place: SourceLocation, raw: str) -> None:
        try:
            words = shlex.split(raw, comments=True)
        except ValueError as err:
            return self.faults.add(place, raw.split(maxsplit=1)[0], f"can't be split into words: {err}")
        if not words:
            return
        name, rest = words[0], tuple(words[1:])
        if name == "include":
            self._include(place, rest)
        elif name == "section":
            self._begin(place, rest)
        elif name == "end":
            self._end(place, rest)
        elif self._open is None:
            self.faults.add(place, name, "stands outside of a section")
        else:
            self._open.lines.append(Line(place, name, rest))

    def _include(self, place: SourceLocation, words: tuple[str, ...]) -> None:
        if len(words) != 1:
            return self.faults.add(place, "include", "takes one path or pattern")
        if self._open is not None:
            return self.faults.add(place, "include", f"stands within section {self._open.name}")
        self.file(self._files[-1].parent / words[0], place)

    def _begin(self, place: SourceLocation, words: tuple[str, ...]) -> None:
        if len(words) != 1:
            return self.faults.add(place, "section", "takes one name")
        if self._open is not None:
            self.faults.add(place, "section", f"{self._open.name} has no end before this")
        self._open = Section(place, words[0])
        self.sections.append(self._open)

    def _end(self, place: SourceLocation, words: tuple[str, ...]) -> None:
        if words:
            self.faults.add(place, "end", f"takes nothing, not {words[0]!r}")
        if self._open is None:
            self.faults.add(place, "end", "there is no section to end")
        self._open = None
