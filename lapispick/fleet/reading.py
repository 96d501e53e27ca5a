"""From the bytes of all files to a list of hosts. No I/O: files are passed as (name, bytes) in their order.

The reader caches what it made of each file, so that a change costs about what changed. Where anything is wrong it
first reads all files again without the cache, so that every location in a fault is right.
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
from lapispick.fleet.csv_reader import CsvRows
from lapispick.fleet.groups import GroupTree, Resolver
from lapispick.fleet.host_assembly import Assembler, InventoryHost
from lapispick.fleet.schema import Schema
from lapispick.fleet.yaml_reader import Document
from lapispick.fleet.yaml_values import Map

CSV_SUFFIXES = (".csv",)
YAML_SUFFIXES = (".yml", ".yaml")
GROUP_VARS = "group_vars"
HOST_VARS = "host_vars"
BYTE_ORDER_MARKS = (
    (codecs.BOM_UTF8, "utf-8"),
    (codecs.BOM_UTF16_LE, "utf-16-le"),
    (codecs.BOM_UTF16_BE, "utf-16-be"),
)


class Options(msgspec.Struct, frozen=True):
    """How the files of one list are read."""

    group: str
    schema: Schema = msgspec.field(name="wanted")
    domain: str = ""
    delimiter: str = "auto"
    end_marker: str = ""
    final_newline: bool = True
    max_hosts: int = msgspec.field(default=10_000, name="boxes_most")


class File(NamedTuple):
    """One file; ``name`` is relative to the list's folder, and its first part marks files with variables."""

    name: str
    data: bytes


class Reading(NamedTuple):
    """What the files say: the hosts by name, or what is wrong."""

    hosts: dict[str, InventoryHost]
    faults: tuple[FileFault, ...]
    incomplete_reason: str  # why the files may be incomplete
    omitted_faults: int = 0  # beyond the bound


def belongs_to_list(name: str) -> bool:
    """Tell whether a file belongs to a list; hidden files and those with another ending do not."""
    path = PurePosixPath(name)
    return path.suffix in CSV_SUFFIXES + YAML_SUFFIXES and not path.name.startswith((".", "#", "~"))


def decode(file: File, faults: FaultCollector) -> str | None:
    """Return the text of a file in UTF-8 or, with its byte order mark, UTF-16."""
    data = file.data
    encoding = "utf-8"
    for mark, name in BYTE_ORDER_MARKS:
        if data.startswith(mark):
            data = data[len(mark) :]
            encoding = name
            break
    try:
        return data.decode(encoding)
    except UnicodeDecodeError as err:
        line = data.count(b"\n", 0, err.start) + 1
        faults.add(SourceLocation(file.name, line), "", f"is no {encoding.upper()} at byte {err.start}: {err.reason}")
        return None


def incomplete_reason(name: str, text: str, options: Options) -> str:
    """Return why a text may be a part of a file only; empty where nothing shows it."""
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
        self._options = options
        self._environ = environ
        self._reset()

    def read(self, files: list[File]) -> Reading:
        """Read all files; the cache of the last reading saves work and changes no result."""
        had_cache = self._has_cache
        reading = self._read(files)
        if reading.faults and had_cache:
            self._reset()
            reading = self._read(files)
        self._has_cache = not reading.faults
        if reading.faults:
            self._reset()
        return reading

    def _reset(self) -> None:
        """Drop the cache."""
        self._documents: dict[str, Document] = {}
        self._rows: dict[str, CsvRows] = {}
        self._digests: dict[str, bytes] = {}
        self._resolver = Resolver()
        self._assembler = Assembler(self._options.schema, self._options.domain, self._environ)
        self._has_cache = False

    def _read(self, files: list[File]) -> Reading:
        options = self._options
        faults = FaultCollector()
        tree = GroupTree(options.max_hosts, faults)
        reason = ""
        self._is_unreadable = not files
        for file in files:
            text = decode(file, faults)
            if text is None:
                self._is_unreadable = True
            else:
                reason = reason or incomplete_reason(file.name, text, options)
                self._read_file(file, text, tree, faults)
        self._drop_removed(files)
        hosts: dict[str, InventoryHost] = {}
        if not files:
            faults.add(SourceLocation("inventory"), "", "there is no .csv, .yml or .yaml file")
        if not self._is_unreadable:  # rows and keys with faults don't prevent a look at the others
            entries = self._resolver.entries(tree, options.group, options.domain, faults)
            hosts = self._assembler.assemble(entries, options.max_hosts, faults)
        if not faults and not hosts:
            faults.add(SourceLocation("inventory"), options.group, "no host is in this group; the list is empty")
        return Reading({} if faults else hosts, tuple(faults.collected), reason, faults.omitted_count)

    def _drop_removed(self, files: list[File]) -> None:
        """Drop from the cache the files that are there no more."""
        for removed in self._digests.keys() - {file.name for file in files}:
            self._digests.pop(removed)
            self._documents.pop(removed, None)
            self._rows.pop(removed, None)

    def _read_file(self, file: File, text: str, tree: GroupTree, faults: FaultCollector) -> None:
        digest = blake2b(file.data, digest_size=16).digest()
        is_unchanged = self._digests.get(file.name) == digest
        self._digests[file.name] = digest
        if PurePosixPath(file.name).suffix in CSV_SUFFIXES:
            self._read_csv(file.name, text, is_unchanged, tree, faults)
        else:
            self._read_yaml(file.name, text, is_unchanged, tree, faults)

    def _read_csv(self, name: str, text: str, is_unchanged: bool, tree: GroupTree, faults: FaultCollector) -> None:
        known = self._rows.get(name)
        if known is None or not is_unchanged:
            cache = known.cache if known is not None else {}
            known = csv_reader.read(name, text, self._options.delimiter, self._options.max_hosts, faults, cache)
            self._rows[name] = known
        self._is_unreadable = self._is_unreadable or not known.cache
        tree.add_rows(known.rows)

    def _read_yaml(self, name: str, text: str, is_unchanged: bool, tree: GroupTree, faults: FaultCollector) -> None:
        document = self._documents.get(name)
        if document is None or (not is_unchanged and not document.update(text)):
            document = self._documents[name] = Document(name, text, faults)
        if document.top is None:
            self._is_unreadable = True
        else:
            self._add_mapping(PurePosixPath(name), document.top, tree)

    def _add_mapping(self, path: PurePosixPath, top: Map, tree: GroupTree) -> None:
        """Add the contents of a YAML file where its folder says that they belong."""
        kind = path.parts[0] if len(path.parts) > 1 else ""
        if kind == GROUP_VARS:
            tree.group(path.parts[1].removesuffix(path.suffix), top.location).group_vars |= top
        elif kind == HOST_VARS:
            host = path.parts[1].removesuffix(path.suffix) if len(path.parts) == 2 else path.parts[1]
            known = tree.host_vars.get(host)
            if known is not None:
                merged = Map(top.location)
                merged.update(known | top)
                top = merged
            tree.host_vars[host] = top
        else:
            tree.add(top)
