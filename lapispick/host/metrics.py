"""The metrics of this process, and their format for operators. No I/O and no clock.

Only the core counts them, once at the final answer and once at the command to the executor, so that all fronts count
alike. All counts start at 0 with the process. Their names in the operators' ``vars`` are defined only here and in
``extended_metrics``.
"""

from __future__ import annotations

from collections.abc import Sequence

from lapispick.host.requests import AnswerKind

METRIC_NAMES = {AnswerKind.SERVED: "success", AnswerKind.REJECTED: "busy", AnswerKind.FAILED: "failure"}


class Metrics:
    """Counts of answers by request class, and of runs that were started at the executor."""

    __slots__ = ("_counts", "_names", "runs")

    def __init__(self, names: Sequence[str]) -> None:
        self._names = tuple(names)
        self._counts = {kind: [0] * len(names) for kind in METRIC_NAMES}
        self.runs = 0

    def count_answer(self, kind: AnswerKind, class_index: int) -> None:
        """Count a final answer."""
        self._counts[kind][class_index] += 1

    def total(self, kind: AnswerKind) -> int:
        """Return the number of answers of one kind over all classes."""
        return sum(self._counts[kind])

    def lines(self, inflight: int) -> list[str]:
        """Return all metrics as lines, ``|c`` for counters and ``|g`` for gauges."""
        lines = [
            f"app.{METRIC_NAMES[kind]}.{name}:{count}|c"
            for kind, counts in self._counts.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        return [*lines, f"app.backend_calls:{self.runs}|c", f"app.inflight:{inflight}|g"]
