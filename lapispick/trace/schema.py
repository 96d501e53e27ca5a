"""Protobuf messages of a trace file, built from tables when this module is imported. No I/O.

The columns of a block follow from the fields of the record types, so the schema and the decision module's interface
can't diverge. ``docs/TRACE-FORMAT.md`` specifies the messages; their names and field numbers are stored.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from lapispick.trace.record_types import ACTIONS, EVENTS, RECORD_NUMBERS

if TYPE_CHECKING:
    from lapispick.trace import message_types

MAX_BLOCK_STEPS = 1 << 16  # limits the memory that a reader allocates before it decodes the steps
MAX_BLOCK_RECORDS = 1 << 20  # per category
STEP_RECORD = 0  # the record number of the step itself
LIST_LENGTHS_OFFSET = 64  # the lengths of a list field are stored under its field number plus this offset
# The shape of a step is the sequence of its record numbers, one byte each: events, 0, actions, 0, notes, 0.
# A block has few distinct shapes, so they are stored in a dictionary.
SHAPE_SEPARATOR = b"\0"


class StepField(enum.IntEnum):
    """Fields of the step itself; the numbers are stored."""

    NOW = 1
    SOURCE_INDEX = 2
    SHAPE = 3


class RecordCategory(enum.IntEnum):
    """Categories of a step's records, in their order in a shape."""

    EVENTS = 0
    ACTIONS = 1
    NOTES = 2


class FieldType(enum.StrEnum):
    """Type of a record's field, as in its annotation."""

    INT = "int"
    FLOAT = "float"
    BOOL = "bool"
    STR = "str"
    BYTES = "bytes"
    OUTCOME = "Outcome"
    FLOATS = "tuple[float, ...]"


class RecordField(NamedTuple):
    """One field of a record type."""

    name: str
    type: FieldType


# The fields of each message with their types, numbered from 1; ``*`` marks a repeated field.
_MESSAGE_FIELDS: dict[str, tuple[tuple[str, str], ...]] = {
    "Column": (
        ("record", "UINT32"),
        ("field", "UINT32"),
        ("form", "UINT32"),
        ("scale", "UINT32"),
        ("delta", "BOOL"),
        ("width", "UINT32"),
        ("against", "UINT32"),
        ("words", "*BYTES"),
        ("data", "BYTES"),
    ),
    "Block": (("steps", "UINT32"), ("columns", "*Column")),
    "Source": (
        ("box", "STRING"),
        ("incarnation", "STRING"),
        ("sequence", "UINT64"),
        ("started_ms", "DOUBLE"),
        ("module_now", "DOUBLE"),
        ("seed", "UINT64"),
        ("settings", "BYTES"),
        ("module", "STRING"),
        ("created_ms", "DOUBLE"),
        ("classes", "*STRING"),
        ("accounts", "*STRING"),
        ("offset", "DOUBLE"),
        ("drift", "DOUBLE"),
        ("at", "DOUBLE"),
        ("error", "DOUBLE"),
    ),
    "Header": (("sources", "*Source"), ("made", "*STRING")),
    "Entry": (("offset", "UINT64"), ("first", "DOUBLE"), ("last", "DOUBLE"), ("steps", "UINT64")),
    "Index": (("entries", "*Entry"),),
}


def _add_field(message: descriptor_pb2.DescriptorProto, name: str, number: int, declared_type: str) -> None:
    scalar_or_message = declared_type.lstrip("*")
    types = descriptor_pb2.FieldDescriptorProto
    is_message = scalar_or_message in _MESSAGE_FIELDS
    message.field.add(
        name=name,
        number=number,
        label=types.LABEL_REPEATED if declared_type.startswith("*") else types.LABEL_OPTIONAL,
        type=types.TYPE_MESSAGE if is_message else getattr(types, f"TYPE_{scalar_or_message}"),
        type_name=f".lapispick.{scalar_or_message}" if is_message else None,
    )


def _build_messages() -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(name="lapispick/trace.proto", package="lapispick", syntax="proto3")
    for message_name, fields in _MESSAGE_FIELDS.items():
        message = file.message_type.add(name=message_name)
        for number, (name, declared_type) in enumerate(fields, 1):
            _add_field(message, name, number, declared_type)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {
        name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"lapispick.{name}"))
        for name in _MESSAGE_FIELDS
    }


MESSAGE_TYPES = _build_messages()
Header: message_types.MessageType[message_types.Header] = MESSAGE_TYPES["Header"]
Source: message_types.MessageType[message_types.Source] = MESSAGE_TYPES["Source"]
BlockMessage: message_types.MessageType[message_types.Block] = MESSAGE_TYPES["Block"]
Index: message_types.MessageType[message_types.Index] = MESSAGE_TYPES["Index"]


def _fields_of(record_type: type) -> tuple[RecordField, ...]:
    """Return the fields of a named tuple with their annotated types."""
    return tuple(
        RecordField(name, FieldType(getattr(annotation, "__forward_arg__", str(annotation))))
        for name, annotation in record_type.__annotations__.items()
    )


def _category_of(record_type: type) -> RecordCategory:
    if record_type in EVENTS:
        return RecordCategory.EVENTS
    return RecordCategory.ACTIONS if record_type in ACTIONS else RecordCategory.NOTES


RECORD_FIELDS: dict[type, tuple[RecordField, ...]] = {
    record_type: _fields_of(record_type) for record_type in RECORD_NUMBERS
}
CATEGORY_OF_RECORD: dict[type, RecordCategory] = {
    record_type: _category_of(record_type) for record_type in RECORD_NUMBERS
}
