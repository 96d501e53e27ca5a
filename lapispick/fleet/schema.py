"""Schema of the host variables that one consumer of the inventory reads: types, bounds, defaults.

Schemas are plain data and are sent as JSON. Each consumer has a prefix (``amqp_``): variables with the prefix must be
in the schema; all others belong to other tools and are ignored. Besides the variables of a host, a schema may define
items, such as queues, of which a host can have several: elements of a list in YAML, a row each in CSV.
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
_MAX_MAGNITUDE = 1e300  # of a number without bounds; finite, so that infinity is rejected
_TRUE_VALUES = ("true", "yes", "on")
_FALSE_VALUES = ("false", "no", "off")


class VariableKind(enum.Enum):
    """The type of a variable."""

    TEXT = "text"
    HOST = "host"  # a name or address, converted to its canonical form
    INTEGER = "integer"
    NUMBER = "number"
    FLAG = "flag"


_VALUE_DESCRIPTIONS = {
    VariableKind.INTEGER: "a whole number",
    VariableKind.NUMBER: "a number",
    VariableKind.FLAG: "true or false",
    VariableKind.HOST: "a host name",
    VariableKind.TEXT: "a text",
}


class Variable(msgspec.Struct, frozen=True):
    """Type, default and bounds of one variable; the bounds apply to a number, or to the length of a text in bytes."""

    kind: VariableKind = VariableKind.TEXT
    default: str | int | float | bool | None = None
    minimum: float | None = msgspec.field(default=None, name="low")
    maximum: float | None = msgspec.field(default=None, name="high")
    choices: tuple[str, ...] = ()
    secret: bool = False
    doc: str = ""


class Schema(msgspec.Struct, frozen=True):
    """The variables of a host that one consumer of the inventory reads."""

    prefix: str
    host_variables: dict[str, Variable] = msgspec.field(name="box")
    item_variables: dict[str, Variable] = msgspec.field(default_factory=dict, name="item")
    items_variable: str = msgspec.field(default="", name="items")  # its value is a list of items
    # The variable that names an item; the name is unique within a host.
    item_name_variable: str = msgspec.field(default="", name="item_name")
    item_required: bool = msgspec.field(default=False, name="item_needed")  # a host without any item is a fault
    # The address of a host is the value of the first of these variables that is set.
    address_variables: tuple[str, ...] = msgspec.field(default=("ansible_host",), name="host")
    port_variable: str = msgspec.field(default="", name="port")
    # Entries with one address are different hosts if these variables differ.
    distinguishing_variables: tuple[str, ...] = msgspec.field(default=(), name="apart")
    # Maps a variable that names an environment variable to the variable that receives its value.
    environment_variables: dict[str, str] = msgspec.field(default_factory=dict, name="environ")

    def name_problem(self, key: str) -> str | None:
        """Return what is wrong with the name of a variable, or None if it is valid."""
        if not self.prefix or not key.startswith(self.prefix):
            return None
        known = [*self.host_variables, *self.item_variables]
        if self.items_variable:
            known.append(self.items_variable)
        return None if key in known else f"unknown variable{suggest_nearest(key, known)}"


ANY_HOST = Schema(prefix="", host_variables={})  # reads only names and addresses


def parse_value(variable: Variable, value: Any, domain: str = "") -> str | int | float | bool:
    """Return a value converted to the variable's type; raises ``ValueError`` with the value and what was expected."""
    error = ValueError(f"expected {_expected_values(variable)}, got {_shortened_repr(value)}")
    if isinstance(value, TaggedText):
        raise ValueError(f"expected a value without a tag, got one with the tag {value.tag}")
    if variable.kind is VariableKind.FLAG:
        return _parse_flag(value, error)
    if variable.kind in (VariableKind.INTEGER, VariableKind.NUMBER):
        return _parse_number(variable, value, error)
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise error
    text = str(value)
    if variable.kind is VariableKind.HOST:
        return identity.canonical_name(text, domain) if text else text
    if not (variable.minimum or 0) <= len(text.encode()) <= (variable.maximum or MAX_TEXT_BYTES):
        raise error
    if variable.choices and text and text not in variable.choices:
        choices = ", ".join(variable.choices)
        raise ValueError(
            f"expected one of {choices}, got {_shortened_repr(value)}{suggest_nearest(text, variable.choices)}"
        )
    return text


def _expected_values(variable: Variable) -> str:
    """Describe the valid values of a variable for a message."""
    minimum = variable.minimum
    maximum = variable.maximum
    if variable.kind is VariableKind.TEXT:
        return f"a text of {minimum or 0:g} to {maximum or MAX_TEXT_BYTES:g} bytes"
    description = _VALUE_DESCRIPTIONS[variable.kind]
    if minimum is None or maximum is None:
        return description
    return f"{description} from {minimum:g} to {maximum:g}"


def _parse_flag(value: Any, error: ValueError) -> bool:
    if isinstance(value, bool):
        return value
    if isinstance(value, str) and value.lower() in _TRUE_VALUES:
        return True
    if isinstance(value, str) and value.lower() in _FALSE_VALUES:
        return False
    raise error


def _parse_number(variable: Variable, value: Any, error: ValueError) -> int | float:
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise error
    try:
        number = float(value)
    except ValueError:
        raise error from None
    minimum = variable.minimum if variable.minimum is not None else -_MAX_MAGNITUDE
    maximum = variable.maximum if variable.maximum is not None else _MAX_MAGNITUDE
    if not minimum <= number <= maximum:  # also rejects NaN, which compares false
        raise error
    if variable.kind is VariableKind.NUMBER:
        return number
    if number != int(number):
        raise error
    return int(number)


def _shortened_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[: _MAX_SHOWN_CHARACTERS - 3] + "..."
