"""Reads YAML files incrementally: the cost of an update follows the number of changed lines. No I/O.

A file of thousands of hosts takes long to parse, and usually few of them change. ``Document.update`` parses only the
entries that contain changed lines. It does so only if the surrounding lines show that the other entries still have the
same values; otherwise it reports that the whole file must be read again. After an update, the locations in the other
entries may be off by the number of inserted or removed lines, so the whole file must be read again before a fault is
reported.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from typing import NamedTuple

from yaml.nodes import MappingNode

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet.yaml_values import Segment, UnreadableYamlError, YamlConverter, YamlMapping, compose, is_ascending

# Anchors, aliases, merge keys, directives and document markers.
_NON_LOCAL_SYNTAX = re.compile(r"(?:^|[\s\[{,:-])[&*][^\s]|<<|^%|^---|^\.\.\.", re.MULTILINE)
# Line ends that only one of the YAML parser and ``str.splitlines`` counts.
_UNUSUAL_LINE_ENDS = re.compile("[\x0b\x0c\x1c-\x1e\x85\u2028\u2029]|\r(?!\n)")
_MAX_COMPARED_LINES = 4096  # compared at once, as slices


class _ParsedEntries(NamedTuple):
    """Entries of a segment that were parsed again, and the lines at which they start."""

    mapping: YamlMapping
    starts: list[int]


class Document:
    """One YAML file: its root mapping, and the state for incremental updates."""

    def __init__(self, file: str, text: str, faults: FaultCollector) -> None:
        self.file = file
        self.lines = text.splitlines(keepends=True)
        self.root: YamlMapping | None = None  # None if the file can't be read
        self._segments: list[Segment] = []
        converter = YamlConverter(file, faults)
        try:
            node = compose(file, text, faults)
            if node is None:
                self.root = YamlMapping(SourceLocation(file, 1))
                return
            if not isinstance(node, MappingNode):
                faults.add(SourceLocation(file, 1), "", "expected a mapping of groups at the top level")
                return
            converter.check_size(node)
            self.root = converter.value(node)
        except UnreadableYamlError:
            return
        if not faults and _is_self_contained(text):
            members = _member_mappings(self.root)
            self._segments = [segment for segment in converter.segments if id(segment.mapping) in members]

    def update(self, text: str) -> bool:
        """Apply a changed text; return False, with nothing changed, if the whole file must be read again."""
        if self.root is None or not self._segments:
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
        """Parse the entries that contain the old lines from ``first_changed`` up to ``end_changed`` again."""
        starts = segment.starts
        first = max(0, bisect_right(starts, first_changed) - 1)
        if first and starts[first] == first_changed:
            first -= 1  # lines inserted before an entry may belong to the preceding entry
        last = max(first + 1, bisect_left(starts, end_changed))
        begin = starts[first]
        end = starts[last] if last < len(starts) else segment.end
        inserted = len(new) - len(self.lines)
        entries = self._parse_entries(segment, "".join(new[begin : end + inserted]), begin)
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
        next_entry = first + len(entries.starts)
        segment.starts[next_entry:] = [start + inserted for start in segment.starts[next_entry:]]
        segment.end += inserted
        for other in self._segments:
            if other is not segment:
                other.shift(begin, inserted)
        self.lines = new
        return True

    def _parse_entries(self, segment: Segment, text: str, first_line: int) -> _ParsedEntries | None:
        """Return the entries of a part of a segment; None if their values may depend on the rest of the file."""
        if not _is_self_contained(text):
            return None
        faults = FaultCollector()
        converter = YamlConverter(self.file, faults, first_line)
        try:
            node = compose(self.file, text, faults)
            if not isinstance(node, MappingNode) or not _is_block_at(node, segment.column):
                return None
            converter.check_size(node)
            mapping = converter.value(node)
        except UnreadableYamlError:
            return None
        starts = [key.start_mark.line + first_line for key, _ in node.value]
        members = _member_mappings(mapping) - {id(mapping)}
        has_inner_segment = any(id(inner.mapping) in members for inner in converter.segments)
        if faults or has_inner_segment or not is_ascending(starts):
            return None
        return _ParsedEntries(mapping, starts)


def _is_self_contained(text: str) -> bool:
    """Return True if a text has no anchors or document markers, which affect other lines, and no unusual line ends."""
    return not _NON_LOCAL_SYNTAX.search(text) and not _UNUSUAL_LINE_ENDS.search(text)


def _is_block_at(node: MappingNode, column: int) -> bool:
    if node.flow_style or not node.value:
        return False
    return all(key.start_mark.column == column for key, _ in node.value)


def _member_mappings(root: YamlMapping) -> set[int]:
    """Return the ids of the mappings whose entries are complete hosts or groups.

    Only these mappings are updated in place. The mapping of a host is replaced instead, because ``Resolver`` compares
    it by identity to detect a change.
    """
    member_ids = {id(root)}
    stack = [root]
    while stack:
        for group in stack.pop().values():
            for key in ("hosts", "children"):
                inner = group.value.get(key) if isinstance(group.value, YamlMapping) else None
                if inner is not None and isinstance(inner.value, YamlMapping) and id(inner.value) not in member_ids:
                    member_ids.add(id(inner.value))
                    if key == "children":
                        stack.append(inner.value)
    return member_ids


def _common_prefix_length(left: list[str], right: list[str], limit: int) -> int:
    """Return the length of the common prefix of two lists, at most ``limit``."""
    low = 0
    step = _MAX_COMPARED_LINES
    while low < limit:
        high = min(low + step, limit)
        if left[low:high] == right[low:high]:
            low = high
        elif high - low == 1:
            break
        else:
            step = max(1, (high - low) // 2)
    return low
