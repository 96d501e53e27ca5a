"""YAML into plain values that know where they stand, and a change of a few lines into a change of a few. No I/O.

The events come from libyaml, where PyYAML has it; tags are resolved by PyYAML's safe schema. A file of
thousands of boxes takes most of a second to parse, and one box of it changes: ``Document.update`` parses
again only the entries that the changed lines belong to. It does so where the lines around them show that
the rest reads as before, and reads the whole anew in every other case. Places in the parts that were kept
may then be off by the lines that came or went: whoever reports a fault reads the whole again first.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from itertools import pairwise
from typing import Any

import yaml
from yaml.constructor import ConstructorError, SafeConstructor
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet.entries import Tagged, Var

Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
NODES_MOST = 2_000_000  # values of one file, each alias counted in full
DEPTH_MOST = 64  # values within values
SEGMENT_LEAST = 4  # entries; smaller mappings are not worth the book-keeping
SHARED = re.compile(r"(?:^|[\s\[{,:-])[&*][^\s]|<<|^%|^---|^\.\.\.", re.M)  # anchors, merges, documents
PREFIX = "tag:yaml.org,2002:"
ODD = re.compile("[\x0b\x0c\x1c-\x1e\x85\u2028\u2029]|\r(?!\n)")  # line ends that parsers count otherwise
_INT = re.compile(r"[-+]?(?:0|[1-9][0-9]{0,17})")


class Map(dict[str, Var]):
    """A mapping of texts to values with their places; ``place`` is its own."""

    __slots__ = ("place",)

    def __init__(self, place: SourceLocation) -> None:
        super().__init__()
        self.place = place


class Segment:
    """A block mapping of many entries: where each begins, and where the lines of the whole end."""

    __slots__ = ("column", "end", "keys", "map", "starts")

    def __init__(self, made: Map, keys: list[str], column: int, starts: list[int], end: int) -> None:
        self.map, self.keys, self.column, self.starts, self.end = made, keys, column, starts, end

    def shift(self, after: int, lines: int) -> None:
        """Take into account that lines came or went behind a line."""
        at = bisect_right(self.starts, after)
        self.starts[at:] = [s + lines for s in self.starts[at:]]
        if self.end > after:
            self.end += lines


class _Refused(Exception):
    """The file can't be read; its faults have been collected."""


class _Converter:
    """Makes values of nodes."""

    def __init__(self, file: str, faults: FaultCollector, first_line: int = 0) -> None:
        self.file, self.faults, self.first_line = file, faults, first_line
        self.segments: list[Segment] = []
        self._scalars = SafeConstructor()
        self._made: dict[int, Any] = {}  # anchored nodes stand once, however often they are named
        self._sizes: dict[int, int] = {}

    def place(self, node: Node) -> SourceLocation:
        """Return where a node begins."""
        mark = node.start_mark
        return SourceLocation(self.file, mark.line + 1 + self.first_line, mark.column + 1)

    def check(self, node: Node, above: tuple[int, ...] = ()) -> int:
        """Return how many values a node stands for; refuses loops, depth and aliases that multiply."""
        if (known := self._sizes.get(id(node))) is not None:
            return known
        if isinstance(node, ScalarNode):
            return 1
        if id(node) in above:
            self._refuse(node, "an alias within its own anchor")
        if len(above) > DEPTH_MOST:
            self._refuse(node, f"nested more than {DEPTH_MOST} deep")
        parts = [p for pair in node.value for p in pair] if isinstance(node, MappingNode) else node.value
        size = 1
        for part in parts:
            size += 1 if isinstance(part, ScalarNode) else self.check(part, (*above, id(node)))
        if size > NODES_MOST:
            self._refuse(node, f"stands for more than {NODES_MOST} values")
        self._sizes[id(node)] = size
        return size

    def _refuse(self, node: Node, text: str) -> None:
        self.faults.add(self.place(node), "", text)
        raise _Refused

    def value(self, node: Node) -> Any:
        """Return the value of a node."""
        if isinstance(node, ScalarNode):
            return self._scalar(node)
        if id(node) in self._made:
            return self._made[id(node)]
        if isinstance(node, SequenceNode):
            made: Any = [self.value(part) for part in node.value]
        elif isinstance(node, MappingNode):
            made = self._mapping(node)
        else:
            self._refuse(node, "is of no known kind")
        self._made[id(node)] = made
        return made

    def _scalar(self, node: ScalarNode) -> Any:
        tag, text = node.tag, node.value
        if tag == PREFIX + "str":
            return text
        if tag == PREFIX + "int" and _INT.fullmatch(text):
            return int(text)
        if not tag.startswith(PREFIX):
            return Tagged(text, tag)
        try:
            return self._scalars.construct_object(node)
        except (ConstructorError, ValueError, OverflowError) as err:
            what = err.problem if isinstance(err, ConstructorError) else err
            self.faults.add(self.place(node), "", f"{text[:60]!r} can't be read: {what}")
            return None

    def _mapping(self, node: MappingNode) -> Map:
        made = Map(self.place(node))
        merged: list[Map] = []
        for key, value in node.value:
            if key.tag == PREFIX + "merge":
                merged += self._merged(value)
            elif not isinstance(key, ScalarNode):
                self.faults.add(self.place(key), "", "a key must be a plain text")
            elif key.value in made:
                self.faults.add(self.place(key), key.value, f"this key stands twice, first at {made[key.value].place}")
            else:
                made[key.value] = Var(self.value(value), self.place(key))
        for other in merged:
            for name, var in other.items():
                made.setdefault(name, var)
        if not node.flow_style and len(node.value) >= SEGMENT_LEAST:
            starts = [key.start_mark.line for key, _ in node.value]
            keys = [key.value for key, _ in node.value]
            if _upward(starts):
                self.segments.append(Segment(made, keys, node.start_mark.column, starts, node.end_mark.line))
        return made

    def _merged(self, node: Node) -> list[Map]:
        parts = node.value if isinstance(node, SequenceNode) else [node]
        made = [self.value(part) for part in parts if isinstance(part, MappingNode)]
        if len(made) != len(parts):
            self.faults.add(self.place(node), "<<", "takes a mapping or a list of mappings")
        return made


def _compose(file: str, text: str, faults: FaultCollector) -> Node | None:
    loader = Loader(text)
    try:
        return loader.get_single_node()
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        place = SourceLocation(file, mark.line + 1, mark.column + 1) if mark else SourceLocation(file, 1)
        said = ", ".join(str(part) for part in (err.context, err.problem) if part)
        faults.add(place, "", f"can't be read as YAML: {said or err}")
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        faults.add(SourceLocation(file, 1), "", f"can't be read as YAML: {str(err)[:200]}")
    finally:
        loader.dispose()
    raise _Refused


class Document:
    """One YAML file: its top mapping, and what it takes to read a change of it in small."""

    def __init__(self, file: str, text: str, faults: FaultCollector) -> None:
        self.file, self.lines = file, text.splitlines(keepends=True)
        self.top: Map | None = None
        self._segments: list[Segment] = []
        try:
            node = _compose(file, text, faults)
            if node is None:
                self.top = Map(SourceLocation(file, 1))
                return
            if not isinstance(node, MappingNode):
                return faults.add(SourceLocation(file, 1), "", "the whole must be a mapping of groups")
            convert = _Converter(file, faults)
            convert.check(node)
            self.top = convert.value(node)
        except _Refused:
            return
        # Unusual line ends would be counted otherwise here than by the parser.
        if not faults and not SHARED.search(text) and not ODD.search(text):
            lists = _lists(self.top)
            self._segments = [s for s in convert.segments if id(s.map) in lists]

    def update(self, text: str) -> bool:
        """Take over a changed text in small; False where the whole must be read anew (nothing is changed)."""
        if self.top is None or not self._segments:
            return False
        new, old = text.splitlines(keepends=True), self.lines
        most = min(len(new), len(old))
        head = _same(old, new, most)
        tail = _same(old[::-1], new[::-1], most - head)
        if head == len(old) == len(new):
            return True
        for segment in self._segments:
            if segment.starts[0] <= head and len(old) - tail <= segment.end:
                return self._splice(segment, new, head, len(old) - tail)
        return False

    def _splice(self, segment: Segment, new: list[str], head: int, tail: int) -> bool:
        """Read anew the entries that hold the old lines ``head`` to ``tail``."""
        starts = segment.starts
        first = max(0, bisect_right(starts, head) - 1)
        if first and starts[first] == head:
            first -= 1  # lines that come in front of an entry may belong to the one before
        last = max(first + 1, bisect_left(starts, tail))
        begin, end = starts[first], starts[last] if last < len(starts) else segment.end
        grown = len(new) - len(self.lines)
        chunk = "".join(new[begin : end + grown])
        if SHARED.search(chunk) or ODD.search(chunk):
            return False
        faults = FaultCollector()
        try:
            node = _compose(self.file, chunk, faults)
            if (
                not isinstance(node, MappingNode)
                or node.flow_style
                or not node.value
                or any(key.start_mark.column != segment.column for key, _ in node.value)
            ):
                return False
            convert = _Converter(self.file, faults, begin)
            convert.check(node)
            made = convert.value(node)
        except _Refused:
            return False
        keys, fresh = list(made), [key.start_mark.line + begin for key, _ in node.value]
        gone = segment.keys[first:last]
        lists = _lists(made) - {id(made)}
        if (
            faults
            or any(id(s.map) in lists for s in convert.segments)
            or not _upward(fresh)
            or any(k in segment.map and k not in gone for k in keys)
            or any(s is not segment and begin <= s.starts[0] < end for s in self._segments)
        ):
            return False
        for key in gone:
            del segment.map[key]
        segment.map.update(made)
        segment.keys[first:last], segment.starts[first:last] = keys, fresh
        at = first + len(fresh)
        segment.starts[at:] = [s + grown for s in segment.starts[at:]]
        segment.end += grown
        for other in self._segments:
            if other is not segment:
                other.shift(begin, grown)
        self.lines = new
        return True


def _lists(top: Map) -> set[int]:
    """Return the mappings whose entries are whole hosts or groups.

    Only they change in place: whoever keeps what a host was made of tells by its mapping whether it changed.
    """
    found, stack = {id(top)}, [top]
    while stack:
        for var in stack.pop().values():
            for key in ("hosts", "children"):
                part = var.value.get(key) if isinstance(var.value, Map) else None
                if part is not None and isinstance(part.value, Map) and id(part.value) not in found:
                    found.add(id(part.value))
                    stack += [part.value] if key == "children" else []
    return found


def _upward(lines: list[int]) -> bool:
    """Tell whether each entry begins on a line of its own."""
    return all(a < b for a, b in pairwise(lines))


def _same(one: list[str], two: list[str], most: int) -> int:
    """Return how many items two lists share from their start, at most ``most``."""
    low = 0
    step = 4096
    while low < most:
        high = min(low + step, most)
        if one[low:high] == two[low:high]:
            low = high
        elif high - low == 1:
            break
        else:
            step = max(1, (high - low) // 2)
    return low
