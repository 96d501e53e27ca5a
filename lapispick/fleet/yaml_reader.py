"""YAML files that are read incrementally: a change of a few lines costs about what changed. No I/O.

A file of thousands of hosts takes long to parse, and usually few of them change: ``Document.update`` parses again only
the entries that the changed lines belong to. It does so where the lines around them show that the rest
reads as before, and reports otherwise that the whole file must be read again. Places in the parts that were not read
again may then be off by the lines that were inserted or removed: whoever reports a fault reads the whole file first.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from typing import NamedTuple

from yaml.nodes import MappingNode

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet.yaml_values import Map, Segment, UnreadableYamlError, YamlConverter, compose, is_ascending

_SHARED_SYNTAX = re.compile(r"(?:^|[\s\[{,:-])[&*][^\s]|<<|^%|^---|^\.\.\.", re.MULTILINE)  # anchors, merges, documents
# Line ends that the parser counts differently from ``str.splitlines``, or the reverse.
_UNUSUAL_LINE_ENDS = re.compile("[\x0b\x0c\x1c-\x1e\x85\u2028\u2029]|\r(?!\n)")
_COMPARED_LINES = 4096  # in one comparison of slices


class _Entries(NamedTuple):
    """Entries of a segment that were read again, and the lines at which they start."""

    mapping: Map
    starts: list[int]


class Document:
    """One YAML file: its top mapping, and what it takes to read a small change of it."""

    def __init__(self, file: str, text: str, faults: FaultCollector) -> None:
        self.file = file
        self.lines = text.splitlines(keepends=True)
        self.top: Map | None = None  # None where the file can't be read
        self._segments: list[Segment] = []
        converter = YamlConverter(file, faults)
        try:
            node = compose(file, text, faults)
            if node is None:
                self.top = Map(SourceLocation(file, 1))
                return
            if not isinstance(node, MappingNode):
                faults.add(SourceLocation(file, 1), "", "the whole must be a mapping of groups")
                return
            converter.check(node)
            self.top = converter.value(node)
        except UnreadableYamlError:
            return
        if not faults and _is_plain(text):
            members = _member_mappings(self.top)
            self._segments = [segment for segment in converter.segments if id(segment.mapping) in members]

    def update(self, text: str) -> bool:
        """Apply a changed text; False where the whole must be read again (nothing is changed then)."""
        if self.top is None or not self._segments:
            return False
        old = self.lines
        new = text.splitlines(keepends=True)
        shorter = min(len(new), len(old))
        first_changed = _common_prefix_length(old, new, shorter)
        unchanged_tail = _common_prefix_length(old[::-1], new[::-1], shorter - first_changed)
        if first_changed == len(old) == len(new):
            return True
        end_changed = len(old) - unchanged_tail
        for segment in self._segments:
            if segment.starts[0] <= first_changed and end_changed <= segment.end:
                return self._update_segment(segment, new, first_changed, end_changed)
        return False

    def _update_segment(self, segment: Segment, new: list[str], first_changed: int, end_changed: int) -> bool:
        """Read again the entries that contain the old lines ``first_changed`` to ``end_changed``."""
        starts = segment.starts
        first = max(0, bisect_right(starts, first_changed) - 1)
        if first and starts[first] == first_changed:
            first -= 1  # lines that are inserted in front of an entry may belong to the one before
        last = max(first + 1, bisect_left(starts, end_changed))
        begin = starts[first]
        end = starts[last] if last < len(starts) else segment.end
        inserted = len(new) - len(self.lines)
        entries = self._read_entries(segment, "".join(new[begin : end + inserted]), begin)
        removed = segment.keys[first:last]
        if entries is None or any(key in segment.mapping and key not in removed for key in entries.mapping):
            return False
        if any(other is not segment and begin <= other.starts[0] < end for other in self._segments):
            return False
        for key in removed:
            del segment.mapping[key]
        segment.mapping.update(entries.mapping)
        segment.keys[first:last] = list(entries.mapping)
        segment.starts[first:last] = entries.starts
        behind = first + len(entries.starts)
        segment.starts[behind:] = [start + inserted for start in segment.starts[behind:]]
        segment.end += inserted
        for other in self._segments:
            if other is not segment:
                other.shift(begin, inserted)
        self.lines = new
        return True

    def _read_entries(self, segment: Segment, text: str, first_line: int) -> _Entries | None:
        """Return the entries of a part of a segment; None where it doesn't read the same on its own."""
        if not _is_plain(text):
            return None
        faults = FaultCollector()
        converter = YamlConverter(self.file, faults, first_line)
        try:
            node = compose(self.file, text, faults)
            if not isinstance(node, MappingNode) or not _is_block_at(node, segment.column):
                return None
            converter.check(node)
            mapping = converter.value(node)
        except UnreadableYamlError:
            return None
        starts = [key.start_mark.line + first_line for key, _ in node.value]
        members = _member_mappings(mapping) - {id(mapping)}
        has_inner_segment = any(id(inner.mapping) in members for inner in converter.segments)
        if faults or has_inner_segment or not is_ascending(starts):
            return None
        return _Entries(mapping, starts)


def _is_plain(text: str) -> bool:
    """Tell whether a text has nothing that reaches beyond its lines: anchors, documents, unusual line ends."""
    return not _SHARED_SYNTAX.search(text) and not _UNUSUAL_LINE_ENDS.search(text)


def _is_block_at(node: MappingNode, column: int) -> bool:
    if node.flow_style or not node.value:
        return False
    return all(key.start_mark.column == column for key, _ in node.value)


def _member_mappings(top: Map) -> set[int]:
    """Return the ids of the mappings whose entries are complete hosts or groups.

    Only they change in place: whoever caches what a host was made of compares its mapping by identity.
    """
    found = {id(top)}
    stack = [top]
    while stack:
        for var in stack.pop().values():
            for key in ("hosts", "children"):
                inner = var.value.get(key) if isinstance(var.value, Map) else None
                if inner is not None and isinstance(inner.value, Map) and id(inner.value) not in found:
                    found.add(id(inner.value))
                    if key == "children":
                        stack.append(inner.value)
    return found


def _common_prefix_length(one: list[str], two: list[str], limit: int) -> int:
    """Return how many items two lists share from their start, at most ``limit``."""
    low = 0
    step = _COMPARED_LINES
    while low < limit:
        high = min(low + step, limit)
        if one[low:high] == two[low:high]:
            low = high
        elif high - low == 1:
            break
        else:
            step = max(1, (high - low) // 2)
    return low
