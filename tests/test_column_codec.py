"""Columns decode to the same bits, regular columns are small, and inconsistent ones are rejected."""

import struct

import numpy as np
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lapispick.trace.column_codec import (
    ColumnForm,
    RelativeTo,
    decode_column,
    encode_floats,
    encode_integers,
)

ANY_FLOAT = st.floats(allow_nan=True, allow_infinity=True)
CLOCK = st.integers(0, 1 << 20).map(lambda number: 1.7e12 + number / 4096)
DECIMAL = st.integers(-(10**9), 10**9).map(lambda number: number / 1000)
MIXED = st.lists(ANY_FLOAT | CLOCK | DECIMAL, max_size=40)
INTEGER = st.integers(-(1 << 63), (1 << 63) - 1) | st.integers(-9, 9)


def bits(values):
    return [struct.pack("<d", value) for value in values]


@given(MIXED | st.lists(CLOCK, max_size=40) | st.lists(DECIMAL, max_size=40))
@example([-0.0])
@example([-0.0, 1.5])
@settings(max_examples=300, deadline=None)
def test_floats_are_decoded_to_the_same_bits(values):
    times = np.array([1.7e12 + number / 4096 for number in range(len(values))])
    for base in (None, times):
        column = encode_floats(values, base)
        assert bits(decode_column(column, len(values), base).tolist()) == bits(values)


@given(st.lists(INTEGER, max_size=40))
@settings(max_examples=200, deadline=None)
def test_integers_are_decoded_as_encoded(values):
    assert decode_column(encode_integers(values), len(values)).tolist() == values


def test_regular_columns_are_small():
    identifiers = encode_integers(range(10**6, 10**6 + 1000))
    assert identifiers.delta
    assert identifiers.width == 3
    assert len(set(identifiers.data)) < 9
    ranks = encode_floats([number * 7919 % 9973 / 10_000 for number in range(1000)])
    assert ranks.form == ColumnForm.DECIMAL
    assert ranks.scale == 4
    assert ranks.width == 2
    now = np.array([1.7e12 + number * 7 + (number * number % 4096) / 4096 for number in range(1000)])
    ages = encode_floats((now - np.floor(now)).tolist(), now)
    assert ages.relative_to == RelativeTo.BASE_MINUS_VALUE
    assert encode_floats([0.1 + 0.2, 1 / 3]).form == ColumnForm.FLOAT_BITS
    assert encode_integers([]).width == 0
    assert encode_integers([0, 0]).width == 0


def test_inconsistent_columns_are_rejected():
    column = encode_integers([1, 2, 300])
    for inconsistent in (
        column._replace(width=9),
        column._replace(data=column.data[:-1]),
        column._replace(form=9),
        column._replace(scale=63),
        column._replace(relative_to=7),
    ):
        with pytest.raises(ValueError, match="is invalid: inconsistent column"):
            decode_column(inconsistent, 3)
    with pytest.raises(OverflowError):
        encode_integers([1 << 63])
