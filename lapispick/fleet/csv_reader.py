"""Reads CSV as configuration tools write it: a header, then a row for each host or for each item of a host. No I/O.

Extends RFC 4180 by what is common in practice: other delimiters, blank lines, comment lines that begin with ``#``.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterator
from typing import NamedTuple

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import ranges
from lapispick.fleet.entries import Entry, LocatedValue
from lapispick.fleet.errors import HostRangeError

DELIMITERS = {"comma": ",", "semicolon": ";", "tab": "\t", "bar": "|"}
DEFAULT_DELIMITER = ","
NAME_COLUMN = "host"
GROUP_COLUMN = "group"
MAX_COLUMNS = 200
MAX_CELL_CHARACTERS = 65_536
_MAX_SHOWN_CHARACTERS = 200  # of a header in a message

Rows = list[tuple[str, Entry]]  # (group or "", entry)
RowCache = dict[tuple[str, ...], Rows]  # rows by their cells; their locations are those of an earlier read


class CsvRows(NamedTuple):
    """Rows of one file, and the cache for the next read of it; the cache is empty if the file is unreadable."""

    rows: Rows
    cache: RowCache


def detect_delimiter(text: str) -> str:
    """Return the delimiter that gives a header with a column ``host`` and the most columns; a comma if none does."""
    for line in text[:MAX_CELL_CHARACTERS].splitlines():
        if line.strip() and not line.lstrip().startswith("#"):
            present = [delimiter for delimiter in DELIMITERS.values() if delimiter in line]
            if len(present) == 1:
                return present[0]
            break
    headers = {delimiter: _header_cells(text, delimiter) for delimiter in DELIMITERS.values()}
    matching = [delimiter for delimiter, header in headers.items() if NAME_COLUMN in header]
    return max(matching, key=lambda delimiter: len(headers[delimiter]), default=DEFAULT_DELIMITER)


def read(file: str, text: str, delimiter: str, max_hosts: int, faults: FaultCollector, cache: RowCache) -> CsvRows:
    """Return the rows of a file; faults are collected.

    ``delimiter`` may be ``auto``. Rows that are in ``cache`` are not parsed again.
    """
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        faults.add(SourceLocation(file, line), "", "NUL byte; the file is corrupt or not a text file")
        return CsvRows([], {})
    reader = _FileReader(file, max_hosts, faults, cache)
    return reader.read(text, DELIMITERS.get(delimiter) or detect_delimiter(text))


class _FileReader:
    """Reads one file; an instance is used once."""

    def __init__(self, file: str, max_hosts: int, faults: FaultCollector, cache: RowCache) -> None:
        self._file = file
        self._max_hosts = max_hosts
        self._faults = faults
        self._old_cache = cache
        self._cache: RowCache = {}
        self._header: list[str] = []

    def read(self, text: str, delimiter: str) -> CsvRows:
        faults = self._faults
        rows: Rows = []
        line = 1
        try:
            for line, cells in _records(text, delimiter):
                if _is_blank_or_comment(cells):
                    continue
                if not self._header:
                    self._read_header(line, cells)
                    if faults:
                        return CsvRows([], self._cache)
                    continue
                rows += self._read_row(line, cells)
                if len(rows) > self._max_hosts:
                    faults.add(
                        SourceLocation(self._file, line),
                        NAME_COLUMN,
                        f"expected at most {self._max_hosts} hosts, got more",
                    )
                    return CsvRows([], self._cache)
        except csv.Error as err:
            # The parser stops at the error, so the rows before it are not a complete list.
            faults.add(SourceLocation(self._file, line), "", f"invalid CSV after this line: {err}")
            self._cache.clear()
        if not self._header and not faults:
            faults.add(SourceLocation(self._file, 1), NAME_COLUMN, "the file has no header")
        return CsvRows(rows, self._cache)

    def _read_header(self, line: int, cells: list[str]) -> None:
        self._header = [cell.strip() for cell in cells]
        self._check_header(line)
        if self._faults:
            return
        key = tuple(self._header)  # cached without rows, so that a change of the header is detected
        if self._old_cache.get(key) != []:
            self._old_cache = {}
        self._cache[key] = []

    def _check_header(self, line: int) -> None:
        header = self._header
        location = SourceLocation(self._file, line)
        if NAME_COLUMN not in header:
            shown = ", ".join(header)[:_MAX_SHOWN_CHARACTERS]
            self._faults.add(location, NAME_COLUMN, f"missing column; the header has only {shown}")
        if len(header) > MAX_COLUMNS:
            self._faults.add(location, "", f"expected at most {MAX_COLUMNS} columns, got {len(header)}")
        for column, key in enumerate(header, 1):
            first_column = header.index(key) + 1
            if first_column != column:
                self._faults.add(
                    SourceLocation(self._file, line, column),
                    key or "a column without a name",
                    f"duplicate column in the header, first used as column {first_column}",
                )

    def _read_row(self, line: int, cells: list[str]) -> Rows:
        key = tuple(cells)
        rows = self._old_cache.get(key)
        if rows is None or key in self._cache:
            rows = self._parse_row(line, cells)
        self._cache.setdefault(key, rows)
        return rows

    def _parse_row(self, line: int, cells: list[str]) -> Rows:
        header = self._header
        location = SourceLocation(self._file, line)
        if len(cells) != len(header):
            key = header[min(len(cells), len(header) - 1)]
            self._faults.add(location, key, f"expected {len(header)} cells, got {len(cells)}")
            return []
        row: dict[str, LocatedValue] = {}
        for column, (key, cell) in enumerate(zip(header, cells, strict=True), 1):
            if value := cell.strip():
                row[key] = LocatedValue(value, SourceLocation(self._file, line, column))
        name = row.pop(NAME_COLUMN, None)
        if name is None:
            self._faults.add(location, NAME_COLUMN, "is empty; expected a host name")
            return []
        group = row.pop(GROUP_COLUMN, None)
        try:
            names = ranges.expand(name.value, self._max_hosts)
        except HostRangeError as err:
            self._faults.add(name.location, NAME_COLUMN, str(err))
            return []
        group_name = group.value if group else ""
        return [(group_name, Entry(expanded, name.location, row)) for expanded in names]


def _records(text: str, delimiter: str) -> Iterator[tuple[int, list[str]]]:
    """Yield each record as (number of its first line, cells)."""
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    line = 1
    for cells in reader:
        yield line, cells
        line = reader.line_num + 1


def _is_blank_or_comment(cells: list[str]) -> bool:
    """Return True if a record is blank or a comment."""
    first_cell = cells[0].lstrip() if cells else ""
    return first_cell.startswith("#") or (not first_cell and not any(cell.strip() for cell in cells))


def _header_cells(text: str, delimiter: str) -> list[str]:
    """Return the cells of the first record that is neither blank nor a comment."""
    try:
        for _, cells in _records(text[:MAX_CELL_CHARACTERS], delimiter):
            if any(cell.strip() for cell in cells) and not cells[0].lstrip().startswith("#"):
                return [cell.strip() for cell in cells]
    except csv.Error:
        pass
    return []
