"""Columns of numbers and words: every value comes back bit for bit, and what lies is told."""

import struct

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.trace import column_codec

ANY = st.floats(allow_nan=True, allow_infinity=True)
CLOCK = st.integers(0, 1 << 20).map(lambda n: 1.7e12 + n / 4096)
DECIMAL = st.integers(-(10**9), 10**9).map(lambda n: n / 1000)


def bits(values):
    return [struct.pack("<d", v) for v in values]


@given(st.lists(ANY | CLOCK | DECIMAL, max_size=40) | st.lists(CLOCK, max_size=40) | st.lists(DECIMAL, max_size=40))
@settings(max_examples=300, deadline=None)
def test_floats_come_back_bit_for_bit(values):
    base = np.array([1.7e12 + n / 4096 for n in range(len(values))])
    for against in (None, base):
        column = column_codec.encode_floats(values, against)
        assert bits(column_codec.decode_column(column, len(values), against).tolist()) == bits(values)


@given(st.lists(st.integers(-(1 << 63), (1 << 63) - 1) | st.integers(-9, 9), max_size=40))
@settings(max_examples=200, deadline=None)
def test_whole_numbers_come_back(values):
    assert column_codec.decode_column(column_codec.encode_integers(values), len(values)).tolist() == values


def test_what_is_regular_takes_little():
    ids = column_codec.encode_integers(range(10**6, 10**6 + 1000))
    assert ids.delta
    assert ids.width == 3
    assert len(set(ids.data)) < 9
    ranks = column_codec.encode_floats([n * 7919 % 9973 / 10_000 for n in range(1000)])
    assert (ranks.form, ranks.scale, ranks.width) == (column_codec.ColumnForm.DECIMAL, 4, 2)
    now = np.array([1.7e12 + n * 7 + (n * n % 4096) / 4096 for n in range(1000)])
    ages = column_codec.encode_floats((now - np.floor(now)).tolist(), now)
    assert ages.relative_to == column_codec.RelativeTo.BASE_MINUS_VALUE
    assert column_codec.encode_floats([0.1 + 0.2, 1 / 3]).form == column_codec.ColumnForm.FLOAT_BITS
    assert column_codec.encode_integers([]).width == column_codec.encode_integers([0, 0]).width == 0


def test_a_column_that_lies_about_its_length_is_told():
    column = column_codec.encode_integers([1, 2, 300])
    for wrong in (
        column._replace(width=9),
        column._replace(data=column.data[:-1]),
        column._replace(form=9),
        column._replace(scale=63),
        column._replace(relative_to=7),
    ):
        with pytest.raises(ValueError, match="contradicts"):
            column_codec.decode_column(wrong, 3)
    with pytest.raises(OverflowError):
        column_codec.encode_integers([1 << 63])
