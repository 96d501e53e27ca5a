"""What both file formats are read into: entries with variables, each with its location in a file."""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick.file_errors import SourceLocation


class TaggedText(str):
    """A YAML text with a tag of another tool, such as ``!vault``; kept but not interpreted."""

    __slots__ = ("tag",)

    tag: str

    def __new__(cls, text: str, tag: str) -> TaggedText:
        """Make a text that knows its tag."""
        tagged = super().__new__(cls, text)
        tagged.tag = tag
        return tagged


class Var(NamedTuple):
    """A value and where it is written."""

    value: Any
    location: SourceLocation


class Entry(NamedTuple):
    """One host as one place in a file describes it: a CSV row, or a host of a YAML group with all that it inherits."""

    name: str
    location: SourceLocation
    vars: dict[str, Var]
