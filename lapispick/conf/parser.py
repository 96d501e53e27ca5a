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

MAX_FILES = 64  # files of one configuration
MAX_INCLUDE_DEPTH = 8  # includes within includes
MAX_LINES = 20_000  # of all files together


class Line(msgspec.Struct, frozen=True):
    """One directive: its name, its arguments and where it is written."""

    location: SourceLocation
    name: str
    arguments: tuple[str, ...]


class Section(msgspec.Struct):
    """One ``section NAME`` to ``end``."""

    location: SourceLocation
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
        self._open_files: list[PurePath] = []  # being parsed, the outermost first
        self._file_count = 0
        self._line_count = 0
        self._open_section: Section | None = None

    def file(self, path: PurePath, location: SourceLocation | None = None) -> None:
        """Read what a pattern names; faults are collected."""
        location = location or SourceLocation(str(path))
        if len(self._open_files) >= MAX_INCLUDE_DEPTH:
            return self.faults.add(location, "include", f"{path} is included more than {MAX_INCLUDE_DEPTH} deep")
        try:
            found = self._opener(path)
        except (OSError, ValueError) as err:
            return self.faults.add(location, "include" if self._open_files else "", f"{path} can't be read: {err}")
        for each, text in found:
            self._file_count += 1
            if each in self._open_files:
                chain = " -> ".join(str(f) for f in (*self._open_files, each))
                self.faults.add(location, "include", f"a file includes itself: {chain}")
            elif self._file_count > MAX_FILES:
                return self.faults.add(location, "include", f"more than {MAX_FILES} files")
            else:
                self._parse_text(each, text)

    def _parse_text(self, path: PurePath, text: str) -> None:
        self._open_files.append(path)
        outer = self._open_section
        self._open_section = None
        for number, raw in enumerate(text.splitlines(), 1):
            self._line_count += 1
            if self._line_count > MAX_LINES:
                self.faults.add(SourceLocation(str(path), number), "", f"more than {MAX_LINES} lines")
                break
            self._parse_line(SourceLocation(str(path), number), raw)
        if self._open_section is not None:
            self.faults.add(self._open_section.location, "section", f"{self._open_section.name} has no end")
        self._open_section = outer
        self._open_files.pop()

    def _parse_line(self, location: SourceLocation, raw: str) -> None:
        try:
            tokens = shlex.split(raw, comments=True)
        except ValueError as err:
            return self.faults.add(location, raw.split(maxsplit=1)[0], f"can't be split into words: {err}")
        if not tokens:
            return
        name = tokens[0]
        arguments = tuple(tokens[1:])
        if name == "include":
            self._include(location, arguments)
        elif name == "section":
            self._begin_section(location, arguments)
        elif name == "end":
            self._end_section(location, arguments)
        elif self._open_section is None:
            self.faults.add(location, name, "stands outside of a section")
        else:
            self._open_section.lines.append(Line(location, name, arguments))

    def _include(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if len(arguments) != 1:
            return self.faults.add(location, "include", "takes one path or pattern")
        if self._open_section is not None:
            return self.faults.add(location, "include", f"stands within section {self._open_section.name}")
        self.file(self._open_files[-1].parent / arguments[0], location)

    def _begin_section(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if len(arguments) != 1:
            return self.faults.add(location, "section", "takes one name")
        if self._open_section is not None:
            self.faults.add(location, "section", f"{self._open_section.name} has no end before this")
        self._open_section = Section(location, arguments[0])
        self.sections.append(self._open_section)

    def _end_section(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if arguments:
            self.faults.add(location, "end", f"takes nothing, not {arguments[0]!r}")
        if self._open_section is None:
            self.faults.add(location, "end", "there is no section to end")
        self._open_section = None
