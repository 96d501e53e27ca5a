"""From the bytes of all files to a list of boxes. No I/O: files come as (name, bytes) in their order.

The reader keeps what it made of each file, so that a change costs about what changed. Where anything is
wrong it reads all files anew first, so that every place in a fault is right.
"""

from __future__ import annotations

import codecs
from collections.abc import Mapping
from hashlib import blake2b
from pathlib import PurePosixPath
from typing import NamedTuple

import msgspec

from lapispick.file_errors import FaultCollector, FileFault, SourceLocation
from lapispick.fleet import csv_reader
from lapispick.fleet.groups import Resolver, Tree
from lapispick.fleet.host_assembly import Assembler, Box
from lapispick.fleet.schema import Schema
from lapispick.fleet.yaml_reader import Document, Map

CSV, YAML = (".csv",), (".yml", ".yaml")
GROUP_VARS, HOST_VARS = "group_vars", "host_vars"
BOMS = ((codecs.BOM_UTF8, "utf-8"), (codecs.BOM_UTF16_LE, "utf-16-le"), (codecs.BOM_UTF16_BE, "utf-16-be"))


class Options(msgspec.Struct, frozen=True):
    """How the files of one list are read."""

    group: str
    wanted: Schema
    domain: str = ""
    delimiter: str = "auto"
    end_marker: str = ""
    final_newline: bool = True
    boxes_most: int = 10_000


class File(NamedTuple):
    """One file; ``name`` is relative to the list's folder, and its first part tells files with variables."""

    name: str
    data: bytes


class Reading(NamedTuple):
    """What the files say: the boxes by name, or what is wrong. ``unfinished`` says why they may not be whole."""

    boxes: dict[str, Box]
    faults: tuple[FileFault, ...]
    unfinished: str
    left_out: int = 0  # faults beyond the bound


def wanted(name: str) -> bool:
    """Tell whether a file belongs to a list: not what editors and tools leave beside it."""
    path = PurePosixPath(name)
    return path.suffix in CSV + YAML and not path.name.startswith((".", "#", "~"))


def decoded(file: File, faults: FaultCollector) -> str | None:
    """Return the text of a file in UTF-8 or, with its mark, UTF-16."""
    data, encoding = file.data, "utf-8"
    for mark, name in BOMS:
        if data.startswith(mark):
            data, encoding = data[len(mark) :], name
            break
    try:
        return data.decode(encoding)
    except UnicodeDecodeError as err:
        line = data.count(b"\n", 0, err.start) + 1
        faults.add(SourceLocation(file.name, line), "", f"is no {encoding.upper()} at byte {err.start}: {err.reason}")
        return None


def unfinished(name: str, text: str, options: Options) -> str:
    """Return why a text may be a part of a file only, or nothing."""
    if options.end_marker:
        last = next((line for line in reversed(text.splitlines()) if line.strip()), "")
        if last.strip() != options.end_marker:
            return f"{name} does not end with the line {options.end_marker!r}"
    if options.final_newline and text and not text.endswith(("\n", "\r")):
        return f"{name} ends within a line"
    return ""


class Reader:
    """Reads the files of one list again and again."""

    def __init__(self, options: Options, environ: Mapping[str, str]) -> None:
        self._options, self._environ = options, environ
        self._forget()

    def _forget(self) -> None:
        self._documents: dict[str, Document] = {}
        self._rows: dict[str, tuple[csv_reader.Rows, csv_reader.Cache]] = {}
        self._digests: dict[str, bytes] = {}
        self._resolver = Resolver()
        self._assembler = Assembler(self._options.wanted, self._options.domain, self._environ)
        self._warm = False

    def read(self, files: list[File]) -> Reading:
        """Read all files; what is kept of the last time saves work and changes nothing."""
        warm = self._warm
        reading = self._read(files)
        if reading.faults and warm:
            self._forget()
            reading = self._read(files)
        self._warm = not reading.faults
        if reading.faults:
            self._forget()
        return reading

    def _read(self, files: list[File]) -> Reading:
        options, faults = self._options, FaultCollector()
        tree = Tree(options.boxes_most, faults)
        why = ""
        self._broken = not files
        for file in files:
            text = decoded(file, faults)
            if text is None:
                self._broken = True
            else:
                why = why or unfinished(file.name, text, options)
                self._file(file, text, tree, faults)
        for gone in self._digests.keys() - {file.name for file in files}:
            for kept in (self._digests, self._documents, self._rows):
                kept.pop(gone, None)
        boxes: dict[str, Box] = {}
        if not files:
            faults.add(SourceLocation("inventory"), "", "there is no .csv, .yml or .yaml file")
        if not self._broken:  # rows and keys at fault do not keep the others from being looked at
            entries = self._resolver.entries(tree, options.group, options.domain, faults)
            boxes = self._assembler.boxes(entries, options.boxes_most, faults)
        if not faults and not boxes:
            faults.add(SourceLocation("inventory"), options.group, "no box is in this group; the list is empty")
        return Reading({} if faults else boxes, tuple(faults.collected), why, faults.left_out)

    def _file(self, file: File, text: str, tree: Tree, faults: FaultCollector) -> None:
        digest = blake2b(file.data, digest_size=16).digest()
        same = self._digests.get(file.name) == digest
        self._digests[file.name] = digest
        path = PurePosixPath(file.name)
        if path.suffix in CSV:
            if not same or file.name not in self._rows:
                cache = self._rows[file.name][1] if file.name in self._rows else {}
                self._rows[file.name] = csv_reader.read(
                    file.name, text, self._options.delimiter, self._options.boxes_most, faults, cache
                )
            self._broken = self._broken or not self._rows[file.name][1]
            return tree.add_rows(self._rows[file.name][0])
        document = self._documents.get(file.name)
        if document is None or (not same and not document.update(text)):
            document = self._documents[file.name] = Document(file.name, text, faults)
        if document.top is None:
            self._broken = True
        else:
            self._place(path, document.top, tree)

    def _place(self, path: PurePosixPath, top: Map, tree: Tree) -> None:
        """Put the contents of a YAML file where its folder says that they belong."""
        kind = path.parts[0] if len(path.parts) > 1 else ""
        if kind == GROUP_VARS:
            tree.group(path.parts[1].removesuffix(path.suffix), top.place).more |= top
        elif kind == HOST_VARS:
            name = path.parts[1].removesuffix(path.suffix) if len(path.parts) == 2 else path.parts[1]
            known = tree.host_vars.get(name)
            if known is not None:
                both = Map(top.place)
                both.update(known | top)
                top = both
            tree.host_vars[name] = top
        else:
            tree.add(top)
