"""Encodes columns of numbers and strings as bytes, and decodes them. No I/O.

A column contains one field of many records. Floats that are all integer multiples of one power of ten or two are stored
as these integers, others as their 64 bits. Either the integers or their differences are stored, whichever compresses
better. They are zigzag-encoded and stored byte plane by byte plane, the lowest first, without the highest planes if
these are all zero; a general-purpose compressor works well on this layout. Decoding restores every value bit for bit.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator, Sequence
from typing import Generic, NamedTuple, TypeVar

import numpy as np

from lapispick.trace.arrays import Array

DECIMAL_SCALES = range(7)  # exponents of ten to try: up to six decimals of a millisecond
BINARY_SCALES = (12, 13, 14, 16, 20)  # exponents of two to try; Unix times in ms have a resolution of 2**-12 until 2039
MAX_SCALE = 62
MAX_EXACT_FLOAT = float(1 << 53)  # floats represent all integers up to this one exactly
INTEGER_BYTES = 8
TABLE_BITS_PER_BYTE_VALUE = 8  # estimated size of a compressor's table entry


class ColumnForm(enum.IntEnum):
    """Representation of a column's values as integers; the numbers are stored."""

    INTEGER = 0
    FLOAT_BITS = 1
    DECIMAL = 2  # float: the integer divided by 10**scale
    BINARY = 3  # float: the integer divided by 2**scale


class RelativeTo(enum.IntEnum):
    """Relation of a column's decoded floats to the base times; the numbers are stored."""

    NOTHING = 0  # the decoded number is the value
    BASE_MINUS_VALUE = 1
    BASE_PLUS_VALUE = 2


class EncodedColumn(NamedTuple):
    """One column: ``width`` byte planes in ``data``, each with one byte per value."""

    form: int
    scale: int
    delta: bool  # each integer is the difference from the one before
    width: int
    data: bytes
    relative_to: int = RelativeTo.NOTHING


DictionaryValue = TypeVar("DictionaryValue", str, bytes)


class DictionaryColumn(NamedTuple, Generic[DictionaryValue]):
    """Column of strings or bytes: indices into the dictionary, which is the list of distinct values."""

    indices: EncodedColumn
    dictionary: list[DictionaryValue]


class _Candidate(NamedTuple):
    """A possible encoding of a column, and its estimated size after compression."""

    estimated_bits: float
    column: EncodedColumn


def _zigzag(values: Array) -> Array:
    return ((values << 1) ^ (values >> 63)).view(np.uint64)


def _byte_planes(unsigned: Array) -> Array:
    width = (int(unsigned.max()).bit_length() + 7) // 8 if len(unsigned) else 0
    return unsigned.astype("<u8").view(np.uint8).reshape(-1, INTEGER_BYTES)[:, :width].T


def _estimate_compressed_bits(planes: Array) -> float:
    """Estimate the size after compression, in bits: the entropy of each plane's bytes, plus the size of its table."""
    total = 0.0
    for plane in planes:
        counts = np.bincount(plane)
        counts = counts[counts > 0]
        total += float((counts * np.log2(len(plane) / counts)).sum()) + TABLE_BITS_PER_BYTE_VALUE * len(counts)
    return total


def _make_candidate(values: Array, form: int, scale: int, relative_to: int = RelativeTo.NOTHING) -> _Candidate:
    """Encode integers as values or as differences, whichever is estimated to be smaller."""
    value_planes = _byte_planes(_zigzag(values))
    delta_planes = _byte_planes(_zigzag(np.diff(values, prepend=np.int64(0))))
    value_bits = _estimate_compressed_bits(value_planes)
    delta_bits = _estimate_compressed_bits(delta_planes)
    delta = delta_bits < value_bits
    planes = delta_planes if delta else value_planes
    column = EncodedColumn(form, scale, delta, len(planes), planes.tobytes(), relative_to)
    return _Candidate(min(value_bits, delta_bits), column)


def encode_integers(values: Sequence[int]) -> EncodedColumn:
    """Encode signed integers; raises ``OverflowError`` if one does not fit into 64 bits."""
    return _make_candidate(np.array(values, dtype=np.int64), ColumnForm.INTEGER, 0).column


def _same_bits(left: Array, right: Array) -> bool:
    return bool(np.array_equal(left.view(np.int64), right.view(np.int64)))


def _scaled_candidates(values: Array, relative_to: int) -> Iterator[_Candidate]:
    """Yield the encodings as multiples of powers of ten and of two that decode to the same bits."""
    for form, radix, scales in (
        (ColumnForm.DECIMAL, 10.0, DECIMAL_SCALES),
        (ColumnForm.BINARY, 2.0, BINARY_SCALES),
    ):
        for scale in scales:
            multiples = np.rint(values * radix**scale)
            if not (np.abs(multiples) < MAX_EXACT_FLOAT).all():
                continue
            integers = multiples.astype(np.int64)
            if _same_bits(integers / radix**scale, values):  # fails for minus zero, as no integer represents it
                yield _make_candidate(integers, form, scale, relative_to)
                break


def encode_floats(values: Sequence[float] | Array, base: Array | None = None) -> EncodedColumn:
    """Encode floats, including not-a-number and minus zero.

    ``base`` has a time for each value; the values may be stored relative to these times.
    """
    floats = np.array(values, dtype=np.float64)
    candidates = [_make_candidate(floats.view(np.int64), ColumnForm.FLOAT_BITS, 0)]
    if len(floats) and np.isfinite(floats).all() and float(np.abs(floats).max()) < MAX_EXACT_FLOAT:
        candidates += _scaled_candidates(floats, RelativeTo.NOTHING)
        if base is not None and np.isfinite(base).all():
            for relative_to, relative in (
                (RelativeTo.BASE_MINUS_VALUE, base - floats),
                (RelativeTo.BASE_PLUS_VALUE, base + floats),
            ):
                if _same_bits(_to_absolute(relative, base, relative_to), floats):
                    candidates += _scaled_candidates(relative, relative_to)
    return min(candidates, key=lambda candidate: candidate.estimated_bits).column


def _to_absolute(relative: Array, base: Array, relative_to: int) -> Array:
    return base - relative if relative_to == RelativeTo.BASE_MINUS_VALUE else relative - base


def encode_dictionary(values: Sequence[DictionaryValue]) -> DictionaryColumn[DictionaryValue]:
    """Encode strings or bytes as indices into the list of their distinct values, in order of first use."""
    index_by_value: dict[DictionaryValue, int] = {}
    indices = [index_by_value.setdefault(value, len(index_by_value)) for value in values]
    return DictionaryColumn(encode_integers(indices), list(index_by_value))


def decode_column(column: EncodedColumn, count: int, base: Array | None = None) -> Array:
    """Return the values, an array of shape (count,) of int64 or float64.

    ``base`` has the base time of each value, for columns that are relative to it. Raises ``ValueError`` if the column
    is inconsistent with ``count``.
    """
    if not _is_consistent(column, count):
        raise ValueError(
            f"is invalid: inconsistent column with the form {column.form}, the scale {column.scale}, the reference "
            f"{column.relative_to}, the width {column.width} and {len(column.data)} bytes for {count} values"
        )
    integers = _decode_integers(column, count)
    if column.form == ColumnForm.INTEGER:
        return integers
    if column.form == ColumnForm.FLOAT_BITS:
        return integers.view(np.float64)
    values = integers / (10.0 if column.form == ColumnForm.DECIMAL else 2.0) ** column.scale
    if column.relative_to == RelativeTo.NOTHING or base is None:
        return values
    return _to_absolute(values, base, column.relative_to)


def _is_consistent(column: EncodedColumn, count: int) -> bool:
    return (
        0 <= column.width <= INTEGER_BYTES
        and len(column.data) == column.width * count
        and column.form <= ColumnForm.BINARY
        and column.scale <= MAX_SCALE
        and column.relative_to <= RelativeTo.BASE_PLUS_VALUE
    )


def _decode_integers(column: EncodedColumn, count: int) -> Array:
    planes = np.zeros((count, INTEGER_BYTES), dtype=np.uint8)
    planes[:, : column.width] = np.frombuffer(column.data, dtype=np.uint8).reshape(column.width, count).T
    unsigned = planes.view("<u8")[:, 0] if count else np.zeros(0, dtype=np.uint64)
    integers = (unsigned >> np.uint64(1)).astype(np.int64) ^ -(unsigned & np.uint64(1)).astype(np.int64)
    return np.cumsum(integers, dtype=np.int64) if column.delta else integers
