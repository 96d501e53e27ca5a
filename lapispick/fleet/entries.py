"""What the readers of both forms hand on: entries with variables, each with the place where it stands."""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick.file_errors import SourceLocation


class Tagged(str):
    """A YAML text with a tag of another tool, such as ``!vault``; kept, never understood."""

    __slots__ = ("tag",)

    def __new__(cls, text: str, tag: str) -> Tagged:
        """Make a text that knows its tag."""
        made = super().__new__(cls, text)
        made.tag = tag
        return made


class Var(NamedTuple):
    """A value and where it stands."""

    value: Any
    place: SourceLocation


class Entry(NamedTuple):
    """One box as it stands in one place: a row, or a host of a group with all that it inherits."""

    name: str
    place: SourceLocation
    vars: dict[str, Var]
