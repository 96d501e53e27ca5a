"""Converts YAML nodes to plain values with their locations. No I/O.

The events come from libyaml if PyYAML was built with it; tags are resolved by PyYAML's safe schema.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from itertools import pairwise
from typing import Any, NoReturn

import yaml
from yaml.constructor import ConstructorError, SafeConstructor
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from lapispick.file_errors import FaultCollector, SourceLocation
from lapispick.fleet.entries import LocatedValue, TaggedText
from lapispick.fleet.errors import InventoryError

MAX_NODES = 2_000_000  # values of one file, with all aliases expanded
MAX_DEPTH = 64  # of nested values
MIN_SEGMENT_ENTRIES = 4  # smaller mappings are parsed again together with the mapping that contains them
MAX_SHOWN_CHARACTERS = 60  # of a value in a message
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YAML_TAG_PREFIX = "tag:yaml.org,2002:"
_INT = re.compile(r"[-+]?(?:0|[1-9][0-9]{0,17})")


class YamlMapping(dict[str, LocatedValue]):
    """A mapping of strings to values with their locations; ``location`` is that of the mapping."""

    __slots__ = ("location",)

    def __init__(self, location: SourceLocation) -> None:
        super().__init__()
        self.location = location


class Segment:
    """A block mapping of many entries: the line at which each begins, and the end of the mapping."""

    __slots__ = ("column", "end", "keys", "mapping", "starts")

    def __init__(self, mapping: YamlMapping, keys: list[str], column: int, starts: list[int], end: int) -> None:
        self.mapping = mapping
        self.keys = keys
        self.column = column
        self.starts = starts  # the line of each key, from 0
        self.end = end  # the line after the last entry

    def shift(self, after: int, lines: int) -> None:
        """Adjust the line numbers for lines that were inserted after a line, or removed if ``lines`` is negative."""
        index = bisect_right(self.starts, after)
        self.starts[index:] = [start + lines for start in self.starts[index:]]
        if self.end > after:
            self.end += lines


class UnreadableYamlError(InventoryError):
    """A file can't be read; its faults were collected."""


class YamlConverter:
    """Converts the nodes of one file to values."""

    def __init__(self, file: str, faults: FaultCollector, first_line: int = 0) -> None:
        self.file = file
        self.faults = faults
        self.first_line = first_line
        self.segments: list[Segment] = []
        self._scalar_constructor = SafeConstructor()
        self._converted: dict[int, Any] = {}  # by node id; a node and its aliases share one value
        self._sizes: dict[int, int] = {}  # by node id

    def location(self, node: Node) -> SourceLocation:
        """Return the location at which a node begins."""
        mark = node.start_mark
        return SourceLocation(self.file, mark.line + 1 + self.first_line, mark.column + 1)

    def check_size(self, node: Node, ancestors: tuple[int, ...] = ()) -> int:
        """Return the number of values in a node; reject alias loops, deep nesting and exponential alias expansion."""
        if (known := self._sizes.get(id(node))) is not None:
            return known
        if isinstance(node, ScalarNode):
            return 1
        if id(node) in ancestors:
            self._reject(node, "the anchored value contains an alias of itself")
        if len(ancestors) > MAX_DEPTH:
            self._reject(node, f"expected values nested at most {MAX_DEPTH} levels deep, got more")
        children = [child for pair in node.value for child in pair] if isinstance(node, MappingNode) else node.value
        size = 1
        for child in children:
            size += 1 if isinstance(child, ScalarNode) else self.check_size(child, (*ancestors, id(node)))
        if size > MAX_NODES:
            self._reject(node, f"expected at most {MAX_NODES} values after expanding aliases, got {size}")
        self._sizes[id(node)] = size
        return size

    def _reject(self, node: Node, text: str) -> NoReturn:
        self.faults.add(self.location(node), "", text)
        raise UnreadableYamlError(f"{self.file}: {text}")

    def value(self, node: Node) -> Any:
        """Return the value of a node."""
        if isinstance(node, ScalarNode):
            return self._scalar(node)
        if id(node) in self._converted:
            return self._converted[id(node)]
        if isinstance(node, SequenceNode):
            value: Any = [self.value(element) for element in node.value]
        elif isinstance(node, MappingNode):
            value = self._mapping(node)
        else:
            self._reject(node, "unsupported kind of YAML node")
        self._converted[id(node)] = value
        return value

    def _scalar(self, node: ScalarNode) -> Any:
        tag, text = node.tag, node.value
        if tag == _YAML_TAG_PREFIX + "str":
            return text
        if tag == _YAML_TAG_PREFIX + "int" and _INT.fullmatch(text):
            return int(text)
        if not tag.startswith(_YAML_TAG_PREFIX):
            return TaggedText(text, tag)
        try:
            return self._scalar_constructor.construct_object(node)
        except (ConstructorError, ValueError, OverflowError) as err:
            problem = err.problem if isinstance(err, ConstructorError) else err
            self.faults.add(self.location(node), "", f"invalid value {text[:MAX_SHOWN_CHARACTERS]!r}: {problem}")
            return None

    def _mapping(self, node: MappingNode) -> YamlMapping:
        mapping = YamlMapping(self.location(node))
        merged: list[YamlMapping] = []
        for key, value in node.value:
            if key.tag == _YAML_TAG_PREFIX + "merge":
                merged += self._merge_sources(value)
            elif not isinstance(key, ScalarNode):
                self.faults.add(self.location(key), "", "expected a scalar as a key")
            elif key.value in mapping:
                first = mapping[key.value].location
                self.faults.add(self.location(key), key.value, f"duplicate key, first used at {first}")
            else:
                mapping[key.value] = LocatedValue(self.value(value), self.location(key))
        for other in merged:
            for name, located_value in other.items():
                mapping.setdefault(name, located_value)
        self._record_segment(node, mapping)
        return mapping

    def _record_segment(self, node: MappingNode, mapping: YamlMapping) -> None:
        """Record a block mapping of many entries if each of them begins on a line of its own."""
        if node.flow_style or len(node.value) < MIN_SEGMENT_ENTRIES:
            return
        starts = [key.start_mark.line for key, _ in node.value]
        keys = [key.value for key, _ in node.value]
        if is_ascending(starts):
            self.segments.append(Segment(mapping, keys, node.start_mark.column, starts, node.end_mark.line))

    def _merge_sources(self, node: Node) -> list[YamlMapping]:
        sources = node.value if isinstance(node, SequenceNode) else [node]
        mappings = [self.value(source) for source in sources if isinstance(source, MappingNode)]
        if len(mappings) != len(sources):
            self.faults.add(self.location(node), "<<", "expected a mapping or a list of mappings")
        return mappings


def compose(file: str, text: str, faults: FaultCollector) -> Node | None:
    """Return the root node of a text, None if it is empty.

    Raises ``UnreadableYamlError`` after the fault was collected.
    """
    loader = _Loader(text)
    try:
        return loader.get_single_node()
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        location = SourceLocation(file, mark.line + 1, mark.column + 1) if mark else SourceLocation(file, 1)
        problem = ", ".join(str(part) for part in (err.context, err.problem) if part)
        faults.add(location, "", f"invalid YAML: {problem or err}")
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        faults.add(SourceLocation(file, 1), "", f"invalid YAML: {str(err)[:200]}")
    finally:
        loader.dispose()
    raise UnreadableYamlError(f"{file}: invalid YAML")


def is_ascending(lines: list[int]) -> bool:
    """Return True if each entry begins on a line of its own."""
    return all(a < b for a, b in pairwise(lines))
