"""Columns of numbers and words as bytes, and back. No I/O.

A column holds one field of many records. Floats that are whole multiples of a power of ten or of two are kept as
those multiples, others by their bits; of each the differences or the values, whichever is smaller. Numbers are
folded to unsigned ones (zigzag) and laid down byte plane by byte plane, lowest first, without the planes that are
all zero: that is what a general compressor then does well with. Every column comes back bit for bit.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np

WHOLE, BITS, DECIMAL, DYADIC = range(4)
DECIMALS = range(7)  # powers of ten that are tried: ms down to ns, as people write them
DYADICS = (12, 13, 14, 16, 20)  # powers of two: the system's clock in ms has steps of 2**-12 until 2039
PLAIN, FROM_BASE, OVER_BASE = range(3)  # the value itself, the base less the value, the value and the base
EXACT = float(1 << 53)  # up to here a float holds every whole number
Array = np.ndarray[Any, Any]


class Coded(NamedTuple):
    """One column: ``width`` byte planes of ``data`` for each value."""

    form: int
    scale: int
    delta: bool
    width: int
    data: bytes
    against: int = PLAIN


def _fold(values: Array) -> Array:
    return ((values << 1) ^ (values >> 63)).view(np.uint64)


def _planes(folded: Array) -> Array:
    width = (int(folded.max()).bit_length() + 7) // 8 if len(folded) else 0
    return folded.astype("<u8").view(np.uint8).reshape(-1, 8)[:, :width].T


def _cost(planes: Array) -> float:
    """Return about how many bits a compressor makes of these planes: the entropy of each one's bytes."""
    cost = 0.0
    for plane in planes:
        seen = np.bincount(plane)
        seen = seen[seen > 0]
        cost += float((seen * np.log2(len(plane) / seen)).sum()) + 8 * len(seen)
    return cost


def _laid(values: Array, form: int, scale: int, against: int = PLAIN) -> tuple[float, Coded]:
    """Return the cost and the column of whole numbers: of themselves or of their differences."""
    plain, steps = _planes(_fold(values)), _planes(_fold(np.diff(values, prepend=np.int64(0))))
    plain_cost, steps_cost = _cost(plain), _cost(steps)
    delta = steps_cost < plain_cost
    planes = steps if delta else plain
    return min(plain_cost, steps_cost), Coded(form, scale, delta, len(planes), planes.tobytes(), against)


def whole(values: Sequence[int]) -> Coded:
    """Code whole numbers of at most 64 bits; raises ``OverflowError`` beyond."""
    return _laid(np.array(values, dtype=np.int64), WHOLE, 0)[1]


def _same(a: Array, b: Array) -> bool:
    return bool(np.array_equal(a.view(np.int64), b.view(np.int64)))


def _multiples(made: Array, against: int) -> list[tuple[float, Coded]]:
    """Return the columns by powers of ten and of two that give these floats back bit for bit."""
    found = []
    for form, base, scales in ((DECIMAL, 10.0, DECIMALS), (DYADIC, 2.0, DYADICS)):
        for scale in scales:
            times = np.rint(made * base**scale)
            if (np.abs(times) < EXACT).all() and _same(times / base**scale, made):
                found.append(_laid(times.astype(np.int64), form, scale, against))
                break
    return found


def floats(values: Sequence[float], base: Array | None = None) -> Coded:
    """Code floats, not-a-number and minus zero as they are; ``base``: times that they may be told against."""
    made = np.array(values, dtype=np.float64)
    found = [_laid(made.view(np.int64), BITS, 0)]
    if len(made) and np.isfinite(made).all() and float(np.abs(made).max()) < EXACT:
        found += _multiples(made, PLAIN)
        if base is not None and np.isfinite(base).all():
            for against, told in ((FROM_BASE, base - made), (OVER_BASE, base + made)):
                if _same(_against(told, base, against), made):
                    found += _multiples(told, against)
    return min(found, key=lambda pair: pair[0])[1]


def _against(told: Array, base: Array, against: int) -> Array:
    return base - told if against == FROM_BASE else told - base


def numbers(column: Coded, count: int, base: Array | None = None) -> Array:
    """Return ``count`` values as an array; raises ``ValueError`` where the column holds another number of them."""
    form, scale, delta, width, data, against = column
    if not 0 <= width <= 8 or len(data) != width * count or form > DYADIC or scale > 62 or against > OVER_BASE:
        raise ValueError("is no block: a column that contradicts itself")
    planes = np.zeros((count, 8), dtype=np.uint8)
    planes[:, :width] = np.frombuffer(data, dtype=np.uint8).reshape(width, count).T
    folded = planes.view("<u8")[:, 0] if count else np.zeros(0, dtype=np.uint64)
    values = (folded >> np.uint64(1)).astype(np.int64) ^ -(folded & np.uint64(1)).astype(np.int64)
    if delta:
        values = np.cumsum(values, dtype=np.int64)
    if form == WHOLE:
        return values
    if form == BITS:
        return values.view(np.float64)
    made = values / (10.0 if form == DECIMAL else 2.0) ** scale
    return made if against == PLAIN or base is None else _against(made, base, against)


def words(values: Sequence[Any]) -> tuple[Coded, list[Any]]:
    """Code strings or bytes as places in a list of distinct ones, by first use."""
    known: dict[Any, int] = {}
    places = [known.setdefault(value, len(known)) for value in values]
    return whole(places), list(known)
