"""YAML nodes to plain values that know where they are written. No I/O.

The events come from libyaml, where PyYAML has it; tags are resolved by PyYAML's safe schema.
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
from lapispick.fleet.entries import TaggedText, Var
from lapispick.fleet.errors import InventoryError

MAX_NODES = 2_000_000  # values of one file, each alias counted in full
MAX_DEPTH = 64  # values within values
MIN_SEGMENT_ENTRIES = 4  # smaller mappings are read again with what is around them
MAX_SHOWN_CHARACTERS = 60  # of a value in a message
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YAML_TAG_PREFIX = "tag:yaml.org,2002:"
_INT = re.compile(r"[-+]?(?:0|[1-9][0-9]{0,17})")


class Map(dict[str, Var]):
    """A mapping of texts to values with their locations; ``location`` is its own."""

    __slots__ = ("location",)

    def __init__(self, location: SourceLocation) -> None:
        super().__init__()
        self.location = location


class Segment:
    """A block mapping of many entries: where each begins, and where the lines of the whole end."""

    __slots__ = ("column", "end", "keys", "mapping", "starts")

    def __init__(self, mapping: Map, keys: list[str], column: int, starts: list[int], end: int) -> None:
        self.mapping = mapping
        self.keys = keys
        self.column = column
        self.starts = starts  # the line of each key, from 0
        self.end = end  # the line behind the last entry

    def shift(self, after: int, lines: int) -> None:
        """Account for lines that were inserted, or removed where negative, behind a line."""
        index = bisect_right(self.starts, after)
        self.starts[index:] = [start + lines for start in self.starts[index:]]
        if self.end > after:
            self.end += lines


class UnreadableYamlError(InventoryError):
    """A file can't be read; its faults have been collected."""


class YamlConverter:
    """Converts the nodes of one file to values."""

    def __init__(self, file: str, faults: FaultCollector, first_line: int = 0) -> None:
        self.file = file
        self.faults = faults
        self.first_line = first_line
        self.segments: list[Segment] = []
        self._scalars = SafeConstructor()
        self._converted: dict[int, Any] = {}  # an anchored node has one value, however many aliases it has
        self._sizes: dict[int, int] = {}

    def location(self, node: Node) -> SourceLocation:
        """Return where a node begins."""
        mark = node.start_mark
        return SourceLocation(self.file, mark.line + 1 + self.first_line, mark.column + 1)

    def check(self, node: Node, above: tuple[int, ...] = ()) -> int:
        """Return how many values a node stands for; rejects loops, depth and aliases that multiply."""
        if (known := self._sizes.get(id(node))) is not None:
            return known
        if isinstance(node, ScalarNode):
            return 1
        if id(node) in above:
            self._reject(node, "an alias within its own anchor")
        if len(above) > MAX_DEPTH:
            self._reject(node, f"nested more than {MAX_DEPTH} deep")
        children = [child for pair in node.value for child in pair] if isinstance(node, MappingNode) else node.value
        size = 1
        for child in children:
            size += 1 if isinstance(child, ScalarNode) else self.check(child, (*above, id(node)))
        if size > MAX_NODES:
            self._reject(node, f"stands for more than {MAX_NODES} values")
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
            self._reject(node, "is of no known kind")
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
            return self._scalars.construct_object(node)
        except (ConstructorError, ValueError, OverflowError) as err:
            problem = err.problem if isinstance(err, ConstructorError) else err
            self.faults.add(self.location(node), "", f"{text[:MAX_SHOWN_CHARACTERS]!r} can't be read: {problem}")
            return None

    def _mapping(self, node: MappingNode) -> Map:
        mapping = Map(self.location(node))
        merged: list[Map] = []
        for key, value in node.value:
            if key.tag == _YAML_TAG_PREFIX + "merge":
                merged += self._merged(value)
            elif not isinstance(key, ScalarNode):
                self.faults.add(self.location(key), "", "a key must be a plain text")
            elif key.value in mapping:
                first = mapping[key.value].location
                self.faults.add(self.location(key), key.value, f"this key stands twice, first at {first}")
            else:
                mapping[key.value] = Var(self.value(value), self.location(key))
        for other in merged:
            for name, var in other.items():
                mapping.setdefault(name, var)
        self._note_segment(node, mapping)
        return mapping

    def _note_segment(self, node: MappingNode, mapping: Map) -> None:
        """Note a block mapping of many entries, each of which begins on a line of its own."""
        if node.flow_style or len(node.value) < MIN_SEGMENT_ENTRIES:
            return
        starts = [key.start_mark.line for key, _ in node.value]
        keys = [key.value for key, _ in node.value]
        if is_ascending(starts):
            self.segments.append(Segment(mapping, keys, node.start_mark.column, starts, node.end_mark.line))

    def _merged(self, node: Node) -> list[Map]:
        sources = node.value if isinstance(node, SequenceNode) else [node]
        mappings = [self.value(source) for source in sources if isinstance(source, MappingNode)]
        if len(mappings) != len(sources):
            self.faults.add(self.location(node), "<<", "takes a mapping or a list of mappings")
        return mappings


def compose(file: str, text: str, faults: FaultCollector) -> Node | None:
    """Return the top node of a text, None where it is empty.

    Raises ``UnreadableYamlError`` with the fault collected.
    """
    loader = _Loader(text)
    try:
        return loader.get_single_node()
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        location = SourceLocation(file, mark.line + 1, mark.column + 1) if mark else SourceLocation(file, 1)
        problem = ", ".join(str(part) for part in (err.context, err.problem) if part)
        faults.add(location, "", f"can't be read as YAML: {problem or err}")
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        faults.add(SourceLocation(file, 1), "", f"can't be read as YAML: {str(err)[:200]}")
    finally:
        loader.dispose()
    raise UnreadableYamlError(f"{file} can't be read as YAML")


def is_ascending(lines: list[int]) -> bool:
    """Tell whether each entry begins on a line of its own."""
    return all(a < b for a, b in pairwise(lines))
