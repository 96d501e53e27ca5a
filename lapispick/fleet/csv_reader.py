"""CSV as configuration tools write it: a header, then a row for each box or for each item of a box. No I/O.

RFC 4180 with what is met in practice: other delimiters, blank lines, comment lines that begin with ``#``.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterator

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet import ranges
from lapispick.fleet.entries import Entry, Var

DELIMITERS = {"comma": ",", "semicolon": ";", "tab": "\t", "bar": "|"}
NAME, GROUP = "host", "group"
COLUMNS_MOST = 200
CELL_MOST = 65_536  # characters of one cell


def _rows(text: str, delimiter: str) -> Iterator[tuple[int, list[str]]]:
    """Yield (number of its first line, cells) for each record."""
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    at = 1
    for cells in reader:
        yield at, cells
        at = reader.line_num + 1


def _first(text: str, delimiter: str) -> list[str]:
    try:
        for _, cells in _rows(text[:CELL_MOST], delimiter):
            if any(c.strip() for c in cells) and not cells[0].lstrip().startswith("#"):
                return [c.strip() for c in cells]
    except csv.Error:
        pass
    return []


def delimiter_of(text: str) -> str:
    """Return the delimiter under which the header has a column ``host`` and the most columns; else a comma."""
    for line in text[:CELL_MOST].splitlines():
        if line.strip() and not line.lstrip().startswith("#"):
            found = [d for d in DELIMITERS.values() if d in line]
            if len(found) == 1:
                return found[0]  # nothing to weigh
            break
    headers = {d: _first(text, d) for d in DELIMITERS.values()}
    fitting = [d for d, header in headers.items() if NAME in header]
    return max(fitting, key=lambda d: len(headers[d]), default=",")


def _header(file: str, line: int, cells: list[str], faults: FaultCollector) -> list[str]:
    header = [c.strip() for c in cells]
    place = SourceLocation(file, line)
    if NAME not in header:
        faults.add(place, NAME, f"the header has no such column, only {', '.join(header)[:200]}")
    if len(header) > COLUMNS_MOST:
        faults.add(place, "", f"{len(header)} columns; {COLUMNS_MOST} are the most")
    for column, key in enumerate(header, 1):
        if header.index(key) != column - 1:
            faults.add(
                SourceLocation(file, line, column),
                key or "a column without a name",
                f"the header has this column twice, first as column {header.index(key) + 1}",
            )
    return header


Rows = list[tuple[str, Entry]]  # (group or "", entry)
Cache = dict[tuple[str, ...], Rows]  # what was made of a row's cells; places in it may have moved since


def read(file: str, text: str, delimiter: str, most: int, faults: FaultCollector, cache: Cache) -> tuple[Rows, Cache]:
    """Return the rows and what to keep for the next time; faults are collected.

    ``delimiter`` may be ``auto``. A row that stands in ``cache`` is taken from there.
    """
    kept: Cache = {}
    if "\0" in text:
        at = text.index("\0")
        faults.add(SourceLocation(file, text.count("\n", 0, at) + 1), "", "a NUL byte; the file is broken or no text")
        return [], kept
    mark = DELIMITERS.get(delimiter) or delimiter_of(text)
    header: list[str] = []
    found: Rows = []
    line = 1
    try:
        for line, cells in _rows(text, mark):
            first = cells[0].lstrip() if cells else ""
            if first.startswith("#") or (not first and not any(c.strip() for c in cells)):
                continue
            if not header:
                header = _header(file, line, cells, faults)
                if faults:
                    return [], kept
                cache = cache if cache.get(tuple(header)) == [] else {}
                kept[tuple(header)] = []
                continue
            key = tuple(cells)
            made = cache.get(key)
            if made is None or key in kept:
                made = _row(file, line, header, cells, most, faults)
            kept.setdefault(key, made)
            found += made
            if len(found) > most:
                faults.add(SourceLocation(file, line), NAME, f"more than {most} boxes")
                return [], kept
    except csv.Error as err:
        # The parser stops here, so that the rows before are no whole list either.
        faults.add(SourceLocation(file, line), "", f"can't be read as CSV behind this line: {err}")
        kept.clear()
    if not header and not faults:
        faults.add(SourceLocation(file, 1), NAME, "there is no header")
    return found, kept


def _row(file: str, line: int, header: list[str], cells: list[str], most: int, faults: FaultCollector) -> Rows:
    place = SourceLocation(file, line)
    if len(cells) != len(header):
        key = header[min(len(cells), len(header) - 1)]
        faults.add(place, key, f"{len(cells)} cells under {len(header)} columns")
        return []
    row: dict[str, Var] = {}
    for column, (key, cell) in enumerate(zip(header, cells, strict=True), 1):
        if value := cell.strip():
            row[key] = Var(value, SourceLocation(file, line, column))
    name = row.pop(NAME, None)
    if name is None:
        faults.add(place, NAME, "is empty")
        return []
    group = row.pop(GROUP, None)
    try:
        names = ranges.expand(name.value, most)
    except ranges.RangeFault as err:
        faults.add(name.place, NAME, str(err))
        return []
    return [(group.value if group else "", Entry(n, name.place, row)) for n in names]
