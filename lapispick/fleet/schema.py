"""What the variables of a host mean to one user of the list: types, bounds, defaults. Plain data, sent as JSON.

A user has a prefix (``amqp_``): variables with it must be known, all others belong to other tools and are ignored.
Beside the variables of a host, a user may have items, several a host, such as queues: a list in YAML, a row for each
in CSV.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from lapispick.file_errors import suggest_nearest
from lapispick.fleet import identity
from lapispick.fleet.entries import TaggedText

MAX_TEXT_BYTES = 4096
_MAX_SHOWN_CHARACTERS = 60  # of a value in a message
_UNBOUNDED = 1e300
_TRUE_VALUES = ("true", "yes", "on")
_FALSE_VALUES = ("false", "no", "off")


class VariableKind(enum.Enum):
    """The type of a variable."""

    TEXT = "text"
    HOST = "host"  # a name or address, brought into its canonical form
    INTEGER = "integer"
    NUMBER = "number"
    FLAG = "flag"


_DESCRIPTIONS = {
    VariableKind.INTEGER: "a whole number",
    VariableKind.NUMBER: "a number",
    VariableKind.FLAG: "true or false",
    VariableKind.HOST: "a host name",
    VariableKind.TEXT: "a text",
}


class Variable(msgspec.Struct, frozen=True):
    """One variable; the bounds are those of a number, or of a text's length in bytes."""

    kind: VariableKind = VariableKind.TEXT
    default: str | int | float | bool | None = None
    minimum: float | None = msgspec.field(default=None, name="low")
    maximum: float | None = msgspec.field(default=None, name="high")
    choices: tuple[str, ...] = ()
    secret: bool = False
    doc: str = ""


class Schema(msgspec.Struct, frozen=True):
    """All that one user of the list reads of a host."""

    prefix: str
    host_variables: dict[str, Variable] = msgspec.field(name="box")
    item_variables: dict[str, Variable] = msgspec.field(default_factory=dict, name="item")
    items_variable: str = msgspec.field(default="", name="items")  # holds a list of items
    item_name: str = ""  # the variable that names an item, unique within a host
    item_required: bool = msgspec.field(default=False, name="item_needed")  # a host without any item is a fault
    # Where a host is reached; the first variable that is given counts.
    address_variables: tuple[str, ...] = msgspec.field(default=("ansible_host",), name="host")
    port_variable: str = msgspec.field(default="", name="port")
    # One address counts as several hosts where these variables differ.
    distinguishing_variables: tuple[str, ...] = msgspec.field(default=(), name="apart")
    # Variable that names an environment variable -> variable that receives its value.
    environment_variables: dict[str, str] = msgspec.field(default_factory=dict, name="environ")

    def unknown(self, key: str) -> str | None:
        """Return what is wrong with the name of a variable, or None."""
        if not self.prefix or not key.startswith(self.prefix):
            return None
        known = [*self.host_variables, *self.item_variables]
        if self.items_variable:
            known.append(self.items_variable)
        return None if key in known else f"unknown variable{suggest_nearest(key, known)}"


ANY_HOST = Schema(prefix="", host_variables={})  # names and addresses of any list, without further variables


def read(variable: Variable, value: Any, domain: str = "") -> str | int | float | bool:
    """Return a value in the variable's type; raises ``ValueError`` with the value and what is expected."""
    error = ValueError(f"{_shortened(value)} is not {_expected(variable)}")
    if isinstance(value, TaggedText):
        raise ValueError(f"has the tag {value.tag}, which can't be read here")
    if variable.kind is VariableKind.FLAG:
        return _flag(value, error)
    if variable.kind in (VariableKind.INTEGER, VariableKind.NUMBER):
        return _number(variable, value, error)
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise error
    text = str(value)
    if variable.kind is VariableKind.HOST:
        return identity.canonical_name(text, domain) if text else text
    if not (variable.minimum or 0) <= len(text.encode()) <= (variable.maximum or MAX_TEXT_BYTES):
        raise error
    if variable.choices and text and text not in variable.choices:
        choices = ", ".join(variable.choices)
        raise ValueError(f"{_shortened(value)} is none of {choices}{suggest_nearest(text, variable.choices)}")
    return text


def _expected(variable: Variable) -> str:
    """Describe the values of a variable for a message."""
    minimum = variable.minimum
    maximum = variable.maximum
    if variable.kind is VariableKind.TEXT:
        return f"a text of {minimum or 0:g} to {maximum or MAX_TEXT_BYTES:g} bytes"
    description = _DESCRIPTIONS[variable.kind]
    if minimum is None or maximum is None:
        return description
    return f"{description} from {minimum:g} to {maximum:g}"


def _flag(value: Any, error: ValueError) -> bool:
    if isinstance(value, bool):
        return value
    if isinstance(value, str) and value.lower() in _TRUE_VALUES:
        return True
    if isinstance(value, str) and value.lower() in _FALSE_VALUES:
        return False
    raise error


def _number(variable: Variable, value: Any, error: ValueError) -> int | float:
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise error
    try:
        number = float(value)
    except ValueError:
        raise error from None
    minimum = variable.minimum if variable.minimum is not None else -_UNBOUNDED
    maximum = variable.maximum if variable.maximum is not None else _UNBOUNDED
    if not minimum <= number <= maximum:  # so that NaN, which compares false, is rejected
        raise error
    if variable.kind is VariableKind.NUMBER:
        return number
    if number != int(number):
        raise error
    return int(number)


def _shortened(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[: _MAX_SHOWN_CHARACTERS - 3] + "..."
