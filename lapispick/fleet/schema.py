"""What variables of a box mean to one user of the list: types, bounds, defaults. Plain data, sent as such.

A user has a prefix (``amqp_``): variables with it must be known, all others belong to other tools and are
left alone. Beside what a box is, a user may have items, several a box, such as queues: a list in YAML, a
row for each in CSV.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lapispick.file_errors import suggest_nearest
from lapispick.fleet import identity
from lapispick.fleet.entries import Tagged

TEXT_MOST = 4096  # bytes of one text


class Variable(msgspec.Struct, frozen=True):
    """One variable; ``kind`` is text, host, integer, number or flag. ``low`` and ``high`` are its bounds.

    For texts they bound the length in bytes. A host is brought into its one form.
    """

    kind: str = "text"
    default: str | int | float | bool | None = None
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False
    doc: str = ""


class Schema(msgspec.Struct, frozen=True):
    """All that one user of the list wants to know of a box."""

    prefix: str
    box: dict[str, Variable]
    item: dict[str, Variable] = {}  # msgspec copies it
    items: str = ""  # the variable that holds a list of items
    item_name: str = ""  # the variable that names an item; no two of a box share it
    item_needed: bool = False  # a box without any is a fault
    host: tuple[str, ...] = ("ansible_host",)  # where a box is reached; the first that is told counts
    port: str = ""  # the variable that holds the port
    apart: tuple[str, ...] = ()  # one address counts as several boxes where these differ
    environ: dict[str, str] = {}  # variable -> the one it takes a value for, from the environment

    def unknown(self, key: str) -> str | None:
        """Return what is wrong with the name of a variable, or None."""
        if not self.prefix or not key.startswith(self.prefix):
            return None
        known = [*self.box, *self.item, *([self.items] if self.items else [])]
        return None if key in known else f"unknown variable{suggest_nearest(key, known)}"


FLEET = Schema(prefix="", box={})  # any list of boxes: what it says beside names and addresses is left alone


def _wanted(variable: Variable) -> str:
    low, high = variable.low, variable.high
    what = {
        "integer": "a whole number",
        "number": "a number",
        "flag": "true or false",
        "host": "a host name",
        "text": "a text",
    }[variable.kind]
    if variable.kind == "text":
        return f"a text of {low or 0:g} to {high or TEXT_MOST:g} bytes"
    return f"{what} from {low:g} to {high:g}" if low is not None and high is not None else what


def read(variable: Variable, value: Any, domain: str = "") -> Any:
    """Return a value as the schema wants it; raises ``ValueError`` with the value and what is wanted."""
    fault = ValueError(f"{_short(value)} is not {_wanted(variable)}")
    if isinstance(value, Tagged):
        raise ValueError(f"has the tag {value.tag}, which can't be read here")
    if variable.kind == "flag":
        return _flag(value, fault)
    if variable.kind in ("integer", "number"):
        return _number(variable, value, fault)
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise fault
    text = str(value)
    if variable.kind == "host":
        return identity.name(text, domain) if text else text
    if not (variable.low or 0) <= len(text.encode()) <= (variable.high or TEXT_MOST):
        raise fault
    if variable.choices and text and text not in variable.choices:
        raise ValueError(
            f"{_short(value)} is none of {', '.join(variable.choices)}{suggest_nearest(text, variable.choices)}"
        )
    return text


def _flag(value: Any, fault: ValueError) -> bool:
    if isinstance(value, bool):
        return value
    if isinstance(value, str) and value.lower() in ("true", "yes", "on", "false", "no", "off"):
        return value.lower() in ("true", "yes", "on")
    raise fault


def _number(variable: Variable, value: Any, fault: ValueError) -> int | float:
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise fault
    try:
        number = float(value)
    except ValueError:
        raise fault from None
    # Not a number compares false with every bound.
    if (
        not (variable.low if variable.low is not None else -1e300)
        <= number
        <= (variable.high if variable.high is not None else 1e300)
    ):
        raise fault
    if variable.kind == "integer":
        if number != int(number):
            raise fault
        return int(number)
    return number


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
