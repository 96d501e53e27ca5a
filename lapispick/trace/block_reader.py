"""Decodes the blocks of a trace: single columns on demand, or complete steps. No I/O.

Readers skip unknown records and fields, and return zeros or empty values for fields that a file lacks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import numpy as np

from lapispick import admission
from lapispick.trace.arrays import Array
from lapispick.trace.column_codec import EncodedColumn, decode_column
from lapispick.trace.record_types import RECORD_NUMBERS, RECORD_TYPES, Step
from lapispick.trace.schema import (
    CATEGORY_OF_RECORD,
    LIST_LENGTHS_OFFSET,
    MAX_BLOCK_RECORDS,
    MAX_BLOCK_STEPS,
    RECORD_FIELDS,
    SHAPE_SEPARATOR,
    STEP_RECORD,
    BlockMessage,
    FieldType,
    RecordCategory,
    RecordField,
    StepField,
)

if TYPE_CHECKING:
    from numpy.typing import DTypeLike

    from lapispick.trace.record_types import Record

OUTCOMES_BY_NUMBER = {int(outcome): outcome for outcome in admission.Outcome}


class CategoryRecords(NamedTuple):
    """Records of one category in all steps, in order: the position of each record's step, and the record's number."""

    step_positions: Array
    record_numbers: Array


class Records:
    """All records of one type in a block, field by field; ``step_positions`` has the position of each record's step."""

    __slots__ = ("_block", "_columns", "count", "record_type", "step_positions")

    def __init__(self, block: Block, record_type: type, step_positions: Array) -> None:
        self._block = block
        self.record_type = record_type
        self.step_positions = step_positions
        self.count = len(step_positions)
        self._columns: dict[str, Array] = {}

    def column(self, name: str) -> Array:
        """Return a field's values, an array of shape (count,): numbers, or indices into ``dictionary(name)``."""
        if name not in self._columns:
            self._columns[name] = self._decode(name)
        return self._columns[name]

    def dictionary(self, name: str) -> list[bytes]:
        """Return the distinct values of a field of strings or bytes; [b''] if the file lacks the field.

        Raises ``ValueError`` if an index is out of range.
        """
        column = self._block.columns.get((RECORD_NUMBERS[self.record_type], self._field(name)[0]))
        dictionary = list(column.words) if column is not None else [b""]
        indices = self.column(name)
        if self.count and not (int(indices.min()) >= 0 and int(indices.max()) < len(dictionary)):
            raise ValueError(
                f"is invalid: field {name!r} has a dictionary index out of range, expected 0 to {len(dictionary) - 1}"
            )
        return dictionary

    def values(self, name: str) -> list[Any]:
        """Return a field's values as they are in the records; raises ``ValueError`` for an unknown outcome."""
        _, field = self._field(name)
        if field.type is FieldType.FLOATS:
            return self._list_values(name)
        values = self.column(name).tolist()
        if field.type is FieldType.OUTCOME:
            if not set(values) <= set(OUTCOMES_BY_NUMBER):
                raise ValueError(
                    f"is invalid: unknown outcomes {sorted(set(values) - set(OUTCOMES_BY_NUMBER))} in field {name!r}"
                )
            return [OUTCOMES_BY_NUMBER[value] for value in values]
        if field.type is FieldType.BOOL:
            return [bool(value) for value in values]
        if field.type is FieldType.BYTES:
            dictionary = self.dictionary(name)
            return [dictionary[index] for index in values]
        if field.type is FieldType.STR:
            texts = [encoded.decode() for encoded in self.dictionary(name)]
            return [texts[index] for index in values]
        return values

    def _field(self, name: str) -> tuple[int, RecordField]:
        """Return the number and the description of a field."""
        for number, field in enumerate(RECORD_FIELDS[self.record_type], 1):
            if field.name == name:
                return number, field
        raise KeyError(name)

    def _decode(self, name: str) -> Array:
        number, field = self._field(name)
        step_times = self._block.now[self.step_positions]
        values = self._block.decode_column(RECORD_NUMBERS[self.record_type], number, self.count, step_times)
        if values is not None:
            return values
        return np.zeros(self.count, np.float64 if field.type is FieldType.FLOAT else np.int64)

    def _list_values(self, name: str) -> list[tuple[float, ...]]:
        """Return the values of a field of lists."""
        number, _ = self._field(name)
        record = RECORD_NUMBERS[self.record_type]
        lengths = self._block.decode_column(record, number + LIST_LENGTHS_OFFSET, self.count)
        if lengths is None:
            return [()] * self.count
        ends = np.cumsum(lengths)
        total = int(ends[-1]) if self.count else 0
        if self.count and (int(lengths.min()) < 0 or max(int(lengths.max()), total) > MAX_BLOCK_RECORDS):
            raise ValueError(
                f"is invalid: field {name!r} has list lengths out of range, expected 0 to {MAX_BLOCK_RECORDS} in total"
            )
        column = self._block.decode_column(record, number, total)
        if column is None:
            raise ValueError(f"is invalid: field {name!r} has list lengths but no values")
        items = column.tolist()
        return [tuple(items[end - length : end]) for length, end in zip(lengths.tolist(), ends.tolist(), strict=True)]


class Block:
    """The steps of a block by column, each decoded on demand; raises ``ValueError`` for an invalid block."""

    def __init__(self, data: bytes) -> None:
        try:
            message = BlockMessage.FromString(data)
        except Exception as err:  # noqa: BLE001 - protobuf's DecodeError has no base class common to its versions
            raise ValueError(f"is invalid: {err}") from None
        self.columns = {(column.record, column.field): column for column in message.columns}
        self.count = message.steps
        if self.count > MAX_BLOCK_STEPS:
            raise ValueError(f"is invalid: {self.count} steps, expected at most {MAX_BLOCK_STEPS}")
        self.now = self._step_column(StepField.NOW, np.float64)
        self.source_index = self._step_column(StepField.SOURCE_INDEX, np.int64)
        self._categories: dict[RecordCategory, CategoryRecords] = {}

    def decode_column(self, record: int, field: int, count: int, step_times: Array | None = None) -> Array | None:
        """Return a column's values, an array of shape (count,); None if the block lacks it.

        ``step_times`` has the clock of each value's step, ms. Raises ``ValueError`` for an inconsistent column.
        """
        column = self.columns.get((record, field))
        if column is None:
            return None
        encoded = EncodedColumn(column.form, column.scale, column.delta, column.width, column.data, column.against)
        return decode_column(encoded, count, step_times)

    def category(self, category: RecordCategory) -> CategoryRecords:
        """Return the records of one category in all steps."""
        if category not in self._categories:
            self._categories[category] = self._decode_category(category)
        return self._categories[category]

    def records(self, record_type: type) -> Records:
        """Return all records of a type, in order."""
        step_positions, record_numbers = self.category(CATEGORY_OF_RECORD[record_type])
        return Records(self, record_type, step_positions[record_numbers == RECORD_NUMBERS[record_type]])

    def steps(self) -> list[Step]:
        """Return the steps with their records."""
        records = [self._records_by_step(category) for category in RecordCategory]
        columns = (self.now.tolist(), *records, self.source_index.tolist())
        return [Step(*values) for values in zip(*columns, strict=True)]

    def _step_column(self, field: StepField, dtype: DTypeLike) -> Array:
        values = self.decode_column(STEP_RECORD, field, self.count)
        return np.zeros(self.count, dtype) if values is None else values

    def _shapes(self) -> list[list[bytes]]:
        """Return the distinct shapes, each split by category."""
        column = self.columns.get((STEP_RECORD, StepField.SHAPE))
        return [shape.split(SHAPE_SEPARATOR) for shape in column.words] if column is not None else []

    def _decode_category(self, category: RecordCategory) -> CategoryRecords:
        shapes = self._shapes()
        shape_of_step = self._step_column(StepField.SHAPE, np.int64)
        if any(len(shape) < len(RecordCategory) for shape in shapes) or (
            self.count and not 0 <= int(shape_of_step.min()) <= int(shape_of_step.max()) < len(shapes)
        ):
            raise ValueError("is invalid: the shape of a step is missing or incomplete")
        # The record numbers of all shapes, concatenated; those of a step are a slice of them.
        record_numbers = np.frombuffer(b"".join(shape[category] for shape in shapes), dtype=np.uint8)
        lengths = np.array([len(shape[category]) for shape in shapes], dtype=np.int64)
        counts = lengths[shape_of_step] if self.count else np.zeros(0, np.int64)
        total = int(counts.sum())
        if total > MAX_BLOCK_RECORDS:
            raise ValueError(f"is invalid: {total} records in one category, expected at most {MAX_BLOCK_RECORDS}")
        slice_starts = (np.cumsum(lengths) - lengths)[shape_of_step] if self.count else counts
        first_records = np.cumsum(counts) - counts
        indices = np.arange(total) + np.repeat(slice_starts - first_records, counts)
        return CategoryRecords(np.repeat(np.arange(self.count), counts), record_numbers[indices])

    def _records_by_step(self, category: RecordCategory) -> list[tuple[Record, ...]]:
        """Return the records of one category for each step, without those of unknown types."""
        step_positions, record_numbers = self.category(category)
        known = {number for number in set(record_numbers.tolist()) if number in RECORD_TYPES}
        remaining = {number: iter(self._decode_records(RECORD_TYPES[number])) for number in known}
        by_step: list[list[Record]] = [[] for _ in range(self.count)]
        for position, number in zip(step_positions.tolist(), record_numbers.tolist(), strict=True):
            if number in remaining:
                by_step[position].append(next(remaining[number]))
        return [tuple(records) for records in by_step]

    def _decode_records(self, record_type: type) -> list[Record]:
        records = self.records(record_type)
        columns = (records.values(field.name) for field in RECORD_FIELDS[record_type])
        return [record_type(*values) for values in zip(*columns, strict=True)]


def decode_block(data: bytes) -> list[Step]:
    """Return the steps of a block; raises ``ValueError`` if it is invalid."""
    return Block(data).steps()
