"""The syntax of the settings file: lines, words, sections and includes.

This module does no I/O; the caller passes a function that reads files. An example of a settings file:

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

import msgspec

from lapispick.conf import paths
from lapispick.file_errors import FaultCollector, SourceLocation

MAX_FILES = 64  # in one configuration
MAX_INCLUDE_DEPTH = 8  # files within one another
MAX_LINES = 20_000  # in all files together


class Line(msgspec.Struct, frozen=True):
    """One directive with its name, its arguments and its location in the file."""

    location: SourceLocation
    name: str
    arguments: tuple[str, ...]


class Section(msgspec.Struct):
    """The lines from ``section NAME`` to ``end``."""

    location: SourceLocation
    name: str
    lines: list[Line] = msgspec.field(default_factory=list)


# Returns the path and the text of each file that matches a pattern, in order; raises ``OSError`` or ``ValueError``.
FileReader = Callable[[str], list[tuple[str, str]]]


class Parser:
    """Parser of one file and all files that it includes."""

    def __init__(self, read_files: FileReader) -> None:
        self.faults = FaultCollector()
        self.sections: list[Section] = []
        self._read_files = read_files
        self._open_files: list[str] = []  # the files being parsed, the outermost first
        self._file_count = 0
        self._line_count = 0
        self._open_section: Section | None = None

    def parse_files(self, pattern: str, location: SourceLocation | None = None) -> None:
        """Parse the files that match a pattern, and collect their faults; ``location`` is that of the ``include``."""
        location = location or SourceLocation(pattern)
        if len(self._open_files) >= MAX_INCLUDE_DEPTH:
            return self.faults.add(
                location,
                "include",
                f"expected an include depth of at most {MAX_INCLUDE_DEPTH} files, "
                f"got {len(self._open_files) + 1} with {pattern}",
            )
        try:
            files = self._read_files(pattern)
        except (OSError, ValueError) as err:
            return self.faults.add(location, "include" if self._open_files else "", f"{pattern} can't be read: {err}")
        for path, text in files:
            self._file_count += 1
            if path in self._open_files:
                chain = " -> ".join((*self._open_files, path))
                self.faults.add(location, "include", f"a file includes itself: {chain}")
            elif self._file_count > MAX_FILES:
                return self.faults.add(
                    location, "include", f"expected a configuration of at most {MAX_FILES} files, got more"
                )
            else:
                self._parse_text(path, text)

    def _parse_text(self, path: str, text: str) -> None:
        self._open_files.append(path)
        outer_section = self._open_section
        self._open_section = None
        for line_number, raw_line in enumerate(text.splitlines(), 1):
            self._line_count += 1
            if self._line_count > MAX_LINES:
                self.faults.add(
                    SourceLocation(path, line_number),
                    "",
                    f"expected a configuration of at most {MAX_LINES} lines, got more",
                )
                break
            self._parse_line(SourceLocation(path, line_number), raw_line)
        if self._open_section is not None:
            self.faults.add(
                self._open_section.location,
                "section",
                f"{self._open_section.name} is not closed; expected a line 'end' before the end of the file",
            )
        self._open_section = outer_section
        self._open_files.pop()

    def _parse_line(self, location: SourceLocation, raw_line: str) -> None:
        try:
            tokens = shlex.split(raw_line, comments=True)
        except ValueError as err:
            return self.faults.add(location, raw_line.split(maxsplit=1)[0], f"can't be split into words: {err}")
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
            self.faults.add(location, name, "not allowed outside of a section")
        else:
            self._open_section.lines.append(Line(location, name, arguments))

    def _include(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if len(arguments) != 1:
            return self.faults.add(location, "include", f"expected one path or pattern, got {len(arguments)} arguments")
        if self._open_section is not None:
            return self.faults.add(location, "include", f"not allowed within section {self._open_section.name}")
        self.parse_files(paths.relative_to_file(self._open_files[-1], arguments[0]), location)

    def _begin_section(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if len(arguments) != 1:
            return self.faults.add(location, "section", f"expected one name, got {len(arguments)} arguments")
        if self._open_section is not None:
            self.faults.add(
                location,
                "section",
                f"{self._open_section.name} is not closed; expected a line 'end' before this section",
            )
        self._open_section = Section(location, arguments[0])
        self.sections.append(self._open_section)

    def _end_section(self, location: SourceLocation, arguments: tuple[str, ...]) -> None:
        if arguments:
            self.faults.add(location, "end", f"expected no argument, got {arguments[0]!r}")
        if self._open_section is None:
            self.faults.add(location, "end", "not allowed outside of a section")
        self._open_section = None
