"""A trace as JSON lines and back: the header first, then one step a line. No I/O.

Bytes stand as base64, an outcome by its name, numbers as they are: every float comes back bit for bit, but for
not-a-number and the infinities, which JSON has no word for and which no module hands out.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
from google.protobuf import json_format

from lapispick import admission
from lapispick.trace.record_types import Step
from lapispick.trace.records import FIELDS, Header, part_of
from lapispick.trace.text_names import OUTCOMES_BY_NAME, RECORDS_BY_NAME, field_name, outcome_name, record_name

PARTS = ("events", "actions", "notes")


class TraceLineError(Exception):
    """A line is no part of a trace; the text names it."""


class _Line(msgspec.Struct):
    now: float
    events: list[dict[str, Any]] = []
    actions: list[dict[str, Any]] = []
    notes: list[dict[str, Any]] = []
    source: int = 0


def _shown(value: Any) -> Any:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    return outcome_name(value) if isinstance(value, admission.Outcome) else value


def _record_line(record: Any) -> dict[str, Any]:
    kind = type(record)
    fields = {field_name(kind, name): _shown(value) for name, value in record._asdict().items()}
    return {"record": record_name(kind), **fields}


def step_line(step: Step, box: str) -> bytes:
    """Return a step as one line of JSON, without its end."""
    made: dict[str, Any] = {"now": step.now, "box": box}
    if step.box:
        made["source"] = step.box
    for name in PARTS:
        if part := getattr(step, name):
            made[name] = [_record_line(record) for record in part]
    return msgspec.json.encode(made)


def write(header: Any, steps: Iterable[Step]) -> Iterator[bytes]:
    """Yield the lines of a trace."""
    yield msgspec.json.encode({"header": json_format.MessageToDict(header, preserving_proto_field_name=True)})
    boxes = [source.box for source in header.sources]
    for step in steps:
        yield step_line(step, boxes[step.box] if step.box < len(boxes) else "")


def read_header(line: bytes) -> Any:
    """Return the header that the first line holds; raises ``TraceLineError``."""
    try:
        told = msgspec.json.decode(line, type=dict[str, Any])
        return json_format.ParseDict(told["header"], Header())
    except (msgspec.MsgspecError, KeyError, json_format.ParseError) as err:
        raise TraceLineError(f"line 1: is no header of a trace: {err}") from None


def read_step(line: bytes, number: int) -> Step:
    """Return the step that a line holds; raises ``TraceLineError``."""
    try:
        told = msgspec.json.decode(line, type=_Line)
        parts = (tuple(_record(one, at) for one in getattr(told, name)) for at, name in enumerate(PARTS))
        return Step(told.now, *parts, told.source)
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError, binascii.Error) as err:
        raise TraceLineError(f"line {number}: {err}") from None


def _record(told: dict[str, Any], part: int) -> Any:
    kind = RECORDS_BY_NAME.get(told.get("record", ""))
    if kind is None or part_of(kind) != part:
        raise ValueError(f"no record {told.get('record')!r} among the {PARTS[part]}")
    values = {key: value for key, value in told.items() if key != "record"}
    made = {}
    for name, annotation in FIELDS[kind]:
        value = values.pop(field_name(kind, name))
        if annotation == "bytes":
            made[name] = base64.b64decode(value, validate=True)
        elif annotation == "Outcome":
            made[name] = OUTCOMES_BY_NAME[value]
        elif annotation.startswith("tuple"):
            made[name] = tuple(msgspec.convert(value, list[float]))
        else:
            made[name] = msgspec.convert(value, _SCALARS[annotation])
    if values:
        raise ValueError(f"{record_name(kind)} has no field {next(iter(values))!r}")
    return kind(**made)


_SCALARS: dict[str, type] = {"int": int, "float": float, "bool": bool, "str": str}
