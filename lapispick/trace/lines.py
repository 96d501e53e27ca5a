"""Converts traces to JSON lines and back: the header first, then one step per line. No I/O.

Bytes are base64-encoded, outcomes are names, and numbers are JSON numbers. Every float is restored bit for bit, except
not-a-number and the infinities, which JSON can't express and the decision module never emits.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec
from google.protobuf import json_format

from lapispick import admission
from lapispick.json_decoding import json_decoder
from lapispick.trace.record_types import Step
from lapispick.trace.schema import CATEGORY_OF_RECORD, RECORD_FIELDS, FieldType, Header, RecordCategory
from lapispick.trace.text_names import OUTCOMES_BY_NAME, RECORDS_BY_NAME, field_name, outcome_name, record_name

if TYPE_CHECKING:
    from lapispick.trace import message_types
    from lapispick.trace.record_types import Record

_CATEGORY_NAMES: dict[RecordCategory, str] = {
    RecordCategory.EVENTS: "events",
    RecordCategory.ACTIONS: "actions",
    RecordCategory.NOTES: "notes",
}
_JSON_TYPES: dict[FieldType, type] = {
    FieldType.INT: int,
    FieldType.FLOAT: float,
    FieldType.BOOL: bool,
    FieldType.STR: str,
}


class TraceLineError(Exception):
    """A line is not a valid part of a trace; the message gives its number and the reason."""


class _Line(msgspec.Struct):
    """A step in its JSON form."""

    now: float
    events: list[dict[str, Any]] = []
    actions: list[dict[str, Any]] = []
    notes: list[dict[str, Any]] = []
    source: int = 0


_decode_document = json_decoder(dict[str, Any])
_decode_line = json_decoder(_Line)


def _encode_value(value: object) -> object:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    return outcome_name(value) if isinstance(value, admission.Outcome) else value


def _encode_record(record: Record) -> dict[str, object]:
    record_type = type(record)
    fields = {field_name(record_type, name): _encode_value(value) for name, value in record._asdict().items()}
    return {"record": record_name(record_type), **fields}


def encode_step(step: Step, host: str) -> bytes:
    """Return a step as one line of JSON, without the newline."""
    line: dict[str, object] = {"now": step.now, "box": host}
    if step.source_index:
        line["source"] = step.source_index
    for name in _CATEGORY_NAMES.values():
        if records := getattr(step, name):
            line[name] = [_encode_record(record) for record in records]
    return msgspec.json.encode(line)


def encode_trace(header: message_types.Header, steps: Iterable[Step]) -> Iterator[bytes]:
    """Yield the lines of a trace."""
    yield msgspec.json.encode({"header": json_format.MessageToDict(header, preserving_proto_field_name=True)})
    hosts = [source.box for source in header.sources]
    for step in steps:
        yield encode_step(step, hosts[step.source_index] if step.source_index < len(hosts) else "")


def decode_header(line: bytes) -> message_types.Header:
    """Return the header in the first line; raises ``TraceLineError``."""
    try:
        document = _decode_document(line)
        return json_format.ParseDict(document["header"], Header())
    except (msgspec.MsgspecError, KeyError, json_format.ParseError) as err:
        raise TraceLineError(f"line 1: invalid trace header: {err}") from None


def decode_step(line: bytes, line_number: int) -> Step:
    """Return the step in a line; raises ``TraceLineError`` with the line's number."""
    try:
        decoded = _decode_line(line)
        events, actions, notes = (
            tuple(_decode_record(fields, category) for fields in getattr(decoded, name))
            for category, name in _CATEGORY_NAMES.items()
        )
        return Step(decoded.now, events, actions, notes, decoded.source)
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError, binascii.Error) as err:
        raise TraceLineError(f"line {line_number}: {err}") from None


def _decode_record(fields: dict[str, Any], category: RecordCategory) -> Any:
    """Return a record of this category; ``fields`` includes the name of its type."""
    record_type = RECORDS_BY_NAME.get(fields.get("record", ""))
    if record_type is None or CATEGORY_OF_RECORD[record_type] is not category:
        raise ValueError(f"expected a record type of the {_CATEGORY_NAMES[category]}, got {fields.get('record')!r}")
    remaining = {name: value for name, value in fields.items() if name != "record"}
    values = {
        field.name: _decode_value(remaining.pop(field_name(record_type, field.name)), field.type)
        for field in RECORD_FIELDS[record_type]
    }
    if remaining:
        raise ValueError(f"unknown field {next(iter(remaining))!r} of {record_name(record_type)}")
    return record_type(**values)


def _decode_value(value: Any, field_type: FieldType) -> object:
    if field_type is FieldType.BYTES:
        return base64.b64decode(value, validate=True)
    if field_type is FieldType.OUTCOME:
        return OUTCOMES_BY_NAME[value]
    if field_type is FieldType.FLOATS:
        return tuple(msgspec.convert(value, list[float]))
    return msgspec.convert(value, _JSON_TYPES[field_type])
