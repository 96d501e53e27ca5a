"""Entries that both file formats are parsed into: hosts with variables, each with its location in a file."""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick.file_errors import SourceLocation


class TaggedText(str):
    """A YAML string with a tag of another tool, such as ``!vault``. The tag is kept but not interpreted."""

    __slots__ = ("tag",)

    tag: str

    def __new__(cls, text: str, tag: str) -> TaggedText:
        """Create a string with its tag."""
        tagged = super().__new__(cls, text)
        tagged.tag = tag
        return tagged


class LocatedValue(NamedTuple):
    """A value and its location in a file."""

    value: Any
    location: SourceLocation


class Entry(NamedTuple):
    """One description of a host: a CSV row, or a host of a YAML group with all variables that it inherits."""

    name: str
    location: SourceLocation
    vars: dict[str, LocatedValue]
