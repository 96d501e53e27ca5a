"""Reads the hosts of a list from the bytes of its files. No I/O: files are passed as (name, bytes) in their order.

The reader caches the parsed form of each file, so that the cost of a read follows the size of the change. If there is
any fault, it reads all files again without the cache before it reports faults, so that their locations are right.
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
from lapispick.fleet.yaml_values import YamlMapping

CSV_SUFFIXES = (".csv",)
YAML_SUFFIXES = (".yml", ".yaml")
GROUP_VARS = "group_vars"
HOST_VARS = "host_vars"
BYTE_ORDER_MARKS = (
    (codecs.BOM_UTF8, "utf-8"),
    (codecs.BOM_UTF16_LE, "utf-16-le"),
    (codecs.BOM_UTF16_BE, "utf-16-be"),
)


class ReadOptions(msgspec.Struct, frozen=True):
    """Options for reading the files of one list."""

    group: str
    schema: Schema = msgspec.field(name="wanted")
    domain: str = ""
    delimiter: str = "auto"
    end_marker: str = ""
    final_newline: bool = True
    max_hosts: int = msgspec.field(default=10_000, name="boxes_most")


class InventoryFile(NamedTuple):
    """One file; ``name`` is relative to the list's folder.

    Files below ``group_vars`` and ``host_vars`` have variables, all others have hosts.
    """

    name: str
    data: bytes


class ReadResult(NamedTuple):
    """Result of reading the files: the hosts by name, or the faults."""

    hosts: dict[str, InventoryHost]
    faults: tuple[FileFault, ...]
    incomplete_reason: str  # why the files may be incomplete; empty if nothing indicates it
    omitted_faults: int = 0  # faults that are not listed because there are too many


def belongs_to_list(name: str) -> bool:
    """Return True if a file belongs to a list; hidden and temporary files and those with other suffixes do not."""
    path = PurePosixPath(name)
    return path.suffix in CSV_SUFFIXES + YAML_SUFFIXES and not path.name.startswith((".", "#", "~"))


def decode(file: InventoryFile, faults: FaultCollector) -> str | None:
    """Return the text of a file in UTF-8, or in UTF-16 with a byte order mark; None, and a fault, if it is neither."""
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
        faults.add(SourceLocation(file.name, line), "", f"invalid {encoding.upper()} at byte {err.start}: {err.reason}")
        return None


def incomplete_reason(name: str, text: str, options: ReadOptions) -> str:
    """Return why a text may be only a part of its file; empty if nothing indicates it."""
    if options.end_marker:
        last_line = next((line for line in reversed(text.splitlines()) if line.strip()), "")
        if last_line.strip() != options.end_marker:
            return f"{name} does not end with the line {options.end_marker!r}"
    if options.final_newline and text and not text.endswith(("\n", "\r")):
        return f"{name} ends within a line"
    return ""


class InventoryReader:
    """Reads the files of one list repeatedly and caches results between reads."""

    def __init__(self, options: ReadOptions, environ: Mapping[str, str]) -> None:
        self._options = options
        self._environ = environ
        self._reset()

    def read(self, files: list[InventoryFile]) -> ReadResult:
        """Read all files; the cache of the last read saves time but does not change the result."""
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

    def _read(self, files: list[InventoryFile]) -> ReadResult:
        options = self._options
        faults = FaultCollector()
        tree = GroupTree(options.max_hosts, faults)
        reason = ""
        self._has_unreadable_file = not files
        for file in files:
            text = decode(file, faults)
            if text is None:
                self._has_unreadable_file = True
            else:
                reason = reason or incomplete_reason(file.name, text, options)
                self._read_file(file, text, tree, faults)
        self._drop_removed_files(files)
        hosts: dict[str, InventoryHost] = {}
        if not files:
            faults.add(SourceLocation("inventory"), "", "no .csv, .yml or .yaml file found")
        if not self._has_unreadable_file:  # faults in some rows or keys do not prevent checking the others
            entries = self._resolver.entries(tree, options.group, options.domain, faults)
            hosts = self._assembler.assemble(entries, options.max_hosts, faults)
        if not faults and not hosts:
            faults.add(SourceLocation("inventory"), options.group, "no hosts in this group; the list is empty")
        return ReadResult({} if faults else hosts, tuple(faults.collected), reason, faults.omitted_count)

    def _drop_removed_files(self, files: list[InventoryFile]) -> None:
        """Drop files that no longer exist from the cache."""
        for removed_name in self._digests.keys() - {file.name for file in files}:
            self._digests.pop(removed_name)
            self._documents.pop(removed_name, None)
            self._rows.pop(removed_name, None)

    def _read_file(self, file: InventoryFile, text: str, tree: GroupTree, faults: FaultCollector) -> None:
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
        self._has_unreadable_file = self._has_unreadable_file or not known.cache
        tree.add_rows(known.rows)

    def _read_yaml(self, name: str, text: str, is_unchanged: bool, tree: GroupTree, faults: FaultCollector) -> None:
        document = self._documents.get(name)
        if document is None or (not is_unchanged and not document.update(text)):
            document = self._documents[name] = Document(name, text, faults)
        if document.root is None:
            self._has_unreadable_file = True
        else:
            self._add_mapping(PurePosixPath(name), document.root, tree)

    def _add_mapping(self, path: PurePosixPath, root: YamlMapping, tree: GroupTree) -> None:
        """Add the contents of a YAML file as variables or as groups, depending on its folder."""
        kind = path.parts[0] if len(path.parts) > 1 else ""
        if kind == GROUP_VARS:
            tree.get_or_create_group(path.parts[1].removesuffix(path.suffix), root.location).group_vars |= root
        elif kind == HOST_VARS:
            host = path.parts[1].removesuffix(path.suffix) if len(path.parts) == 2 else path.parts[1]
            known = tree.host_vars.get(host)
            if known is not None:
                merged = YamlMapping(root.location)
                merged.update(known | root)
                root = merged
            tree.host_vars[host] = root
        else:
            tree.add(root)
