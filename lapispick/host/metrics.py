"""The metrics of this process, and how operators read them. No I/O and no clock.

The core alone counts them, at the one final answer and at the order to the executor, so that no front can disagree
with another. All start at 0 with the process. Their names in the operators' ``vars`` stand here and in
``extended_metrics``, and nowhere else.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispick.host.requests import AnswerKind

METRIC_NAMES = {AnswerKind.SERVED: "success", AnswerKind.REJECTED: "busy", AnswerKind.FAILED: "failure"}


class Metrics:
    """Counts by class, and runs handed to the executor."""

    __slots__ = ("_counts", "_names", "runs")

    def __init__(self, names: Sequence[str]) -> None:
        self._names = tuple(names)
        self._counts = {kind: [0] * len(names) for kind in METRIC_NAMES}
        self.runs = 0

    def answered(self, kind: AnswerKind, class_index: int) -> None:
        """Count a final answer."""
        self._counts[kind][class_index] += 1

    def total(self, kind: AnswerKind) -> int:
        """Return the answers of one kind over all classes."""
        return sum(self._counts[kind])

    def lines(self, inflight: int) -> list[str]:
        """Write all metrics, ``|c`` for counts and ``|g`` for the state of this moment."""
        lines = [
            f"app.{METRIC_NAMES[kind]}.{name}:{count}|c"
            for kind, counts in self._counts.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        return [*lines, f"app.backend_calls:{self.runs}|c", f"app.inflight:{inflight}|g"]
