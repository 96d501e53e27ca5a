"""Encodes the steps of a block as columns in one protobuf message. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import chain
from typing import TYPE_CHECKING, Any

import numpy as np

from lapispick.trace.arrays import Array
from lapispick.trace.column_codec import EncodedColumn, encode_dictionary, encode_floats, encode_integers
from lapispick.trace.record_types import RECORD_NUMBERS, Step
from lapispick.trace.schema import (
    LIST_LENGTHS_OFFSET,
    RECORD_FIELDS,
    SHAPE_SEPARATOR,
    STEP_RECORD,
    BlockMessage,
    FieldType,
    StepField,
)

if TYPE_CHECKING:
    from lapispick.trace import message_types
    from lapispick.trace.record_types import Record


class _RecordsByType:
    """The records of a block by type, each with the position of its step."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self.records: dict[type, list[Record]] = {}
        self.positions: dict[type, list[int]] = {}
        self.shapes = [self._add(position, step) for position, step in enumerate(steps)]

    def _add(self, position: int, step: Step) -> bytes:
        """Add a step's records; return its shape."""
        shape = bytearray()
        for records in (step.events, step.actions, step.notes):
            for record in records:
                record_type = type(record)
                shape.append(RECORD_NUMBERS[record_type])
                self.records.setdefault(record_type, []).append(record)
                self.positions.setdefault(record_type, []).append(position)
            shape += SHAPE_SEPARATOR
        return bytes(shape)


def encode_block(steps: Sequence[Step]) -> list[bytes]:
    """Return the bytes of a block with these steps, in pieces for ``layout.encode_frame``."""
    block = BlockMessage(steps=len(steps))
    now = np.array([step.now for step in steps], dtype=np.float64)
    _add_column(block, STEP_RECORD, StepField.NOW, encode_floats(now))
    _add_column(block, STEP_RECORD, StepField.SOURCE_INDEX, encode_integers([step.source_index for step in steps]))
    by_type = _RecordsByType(steps)
    shapes = encode_dictionary(by_type.shapes)
    _add_column(block, STEP_RECORD, StepField.SHAPE, shapes.indices, shapes.dictionary)
    for record_type, records in by_type.records.items():
        step_times = now[by_type.positions[record_type]]
        values_by_field = zip(*records, strict=True)
        for number, (field, values) in enumerate(zip(RECORD_FIELDS[record_type], values_by_field, strict=True), 1):
            _add_field(block, RECORD_NUMBERS[record_type], number, field.type, values, step_times)
    return _split_for_compression(block)


def _add_column(
    block: message_types.Block, record: int, field: int, column: EncodedColumn, dictionary: Iterable[bytes] = ()
) -> None:
    block.columns.add(
        record=record,
        field=field,
        form=column.form,
        scale=column.scale,
        delta=column.delta,
        width=column.width,
        against=column.relative_to,
        words=dictionary,
        data=column.data,
    )


def _add_field(
    block: message_types.Block, record: int, field: int, field_type: FieldType, values: Sequence[Any], step_times: Array
) -> None:
    """Add the columns of one field of all records of a type."""
    if field_type is FieldType.FLOAT:
        _add_column(block, record, field, encode_floats(values, step_times))
    elif field_type in (FieldType.STR, FieldType.BYTES):
        indices, dictionary = encode_dictionary(values)
        encoded: list[bytes] = [value.encode() if isinstance(value, str) else value for value in dictionary]
        _add_column(block, record, field, indices, encoded)
    elif field_type is FieldType.FLOATS:
        _add_column(block, record, field, encode_floats(list(chain.from_iterable(values))))
        lengths = encode_integers([len(value) for value in values])
        _add_column(block, record, field + LIST_LENGTHS_OFFSET, lengths)
    else:
        _add_column(block, record, field, encode_integers(values))


def _split_for_compression(block: message_types.Block) -> list[bytes]:
    """Return the bytes of a block in pieces that compress best separately: each byte plane is a piece.

    Encoded protobuf messages may be concatenated, which joins their repeated fields. As ``data`` is the last field of a
    column, the byte planes are at the end of its encoding.
    """
    pieces = [BlockMessage(steps=block.steps).SerializeToString()]
    for column in block.columns:
        encoded = BlockMessage(columns=[column]).SerializeToString()
        plane_bytes = len(column.data) // max(1, column.width)
        data_offset = len(encoded) - len(column.data)
        pieces.append(encoded[:data_offset])
        pieces += [
            encoded[offset : offset + plane_bytes] for offset in range(data_offset, len(encoded), max(1, plane_bytes))
        ]
    return pieces
