"""The figures of one life of the process, and how operators read them. No I/O and no clock.

They are counted by the core alone, at the one final answer and at the order to the executor, so that no front
can disagree with another. All start at 0 with the process.
"""

from __future__ import annotations

from collections.abc import Sequence

KINDS = {"served": "success", "refused": "busy", "failed": "failure"}  # the core's word -> the operators'


class Figures:
    """Counts by class, and runs handed to the executor."""

    __slots__ = ("_counts", "_names", "runs")

    def __init__(self, names: Sequence[str]) -> None:
        self._names = tuple(names)
        self._counts = {kind: [0] * len(names) for kind in KINDS}
        self.runs = 0

    def answered(self, kind: str, cls: int) -> None:
        """Count a final answer."""
        self._counts[kind][cls] += 1

    def total(self, kind: str) -> int:
        """Return the answers of one kind over all classes."""
        return sum(self._counts[kind])

    def lines(self, inflight: int) -> list[str]:
        """Write all figures, ``|c`` for counts and ``|g`` for the state of this moment."""
        made = [f"app.{KINDS[kind]}.{name}:{count}|c"
                for kind, counts in self._counts.items() for name, count in zip(self._names, counts, strict=True)]
        return [*made, f"app.backend_calls:{self.runs}|c", f"app.inflight:{inflight}|g"]
