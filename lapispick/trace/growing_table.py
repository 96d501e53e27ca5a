"""Table of numpy columns to which rows are appended and from which the oldest are dropped. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from lapispick.trace.arrays import Array

if TYPE_CHECKING:
    from numpy.typing import ArrayLike, DTypeLike

INITIAL_ROWS = 1024


class GrowingTable:
    """Named columns of equal length.

    A *row* is counted from the first row that has not been dropped, an *index* from the first row ever appended.
    """

    def __init__(self, **dtypes: DTypeLike) -> None:
        self.first_index = 0
        self.size = 0
        self._columns = {name: np.zeros(INITIAL_ROWS, dtype) for name, dtype in dtypes.items()}

    def __getitem__(self, name: str) -> Array:
        return self._columns[name][: self.size]

    def append(self, count: int, **values: ArrayLike) -> int:
        """Append rows, with zeros in columns without given values; return the index of the first."""
        self._reserve(self.size + count)
        for name, column in self._columns.items():
            column[self.size : self.size + count] = values.get(name, 0)
        self.size += count
        return self.first_index + self.size - count

    def drop(self, count: int) -> None:
        """Drop the oldest rows."""
        for column in self._columns.values():
            column[: self.size - count] = column[count : self.size].copy()
        self.first_index += count
        self.size -= count

    def _reserve(self, rows: int) -> None:
        for name, column in self._columns.items():
            if rows > len(column):
                grown = np.zeros(2 * rows, column.dtype)
                grown[: self.size] = column[: self.size]
                self._columns[name] = grown
