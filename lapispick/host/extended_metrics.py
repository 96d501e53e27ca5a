"""Metrics that the settings enable: served weight, durations from read to answer, and memory.

No I/O and no clock. Their names in the operators' ``vars`` are defined here; ``metrics`` has those that are always on.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence

from lapispick.host.requests import AnswerKind

# Upper bounds of the buckets for durations; a duration counts in the first bucket whose bound it does not exceed
DURATION_BUCKETS_MS = (
    1,
    2,
    4,
    8,
    12,
    16,
    24,
    32,
    48,
    64,
    96,
    128,
    192,
    256,
    384,
    512,
    768,
    1024,
    1536,
    2048,
    4096,
    8192,
)
WEIGHT_UNITS = 1000  # priority weights are reported in thousandths


class ExtendedMetrics:
    """Metrics by request class: served weight, answers after the latency objective, and durations."""

    __slots__ = (
        "_durations",
        "_generation",
        "_late",
        "_names",
        "_objectives",
        "_read_memory_kb",
        "_weight_served",
        "broken_rules",
    )

    def __init__(
        self,
        names: Sequence[str],
        objectives: Sequence[tuple[float, float, float]],
        generation: str,
        read_memory_kb: Callable[[], tuple[int, int]],
    ) -> None:
        """Start all counts at 0.

        ``objectives`` has for each class its latency objective in ms, its priority weight, and the fraction of the
        weight that an answer after the objective still has. ``read_memory_kb`` returns the resident memory of the
        process and its peak, kB.
        """
        self._names = tuple(names)
        self._objectives = tuple(objectives)
        self._generation = generation
        self._read_memory_kb = read_memory_kb
        self.broken_rules = 0  # violations of a rule by this process, also those that only its last check prevented
        self._weight_served = [0] * len(names)
        self._late = [0] * len(names)
        self._durations = [[0] * (len(DURATION_BUCKETS_MS) + 1) for _ in names]

    def count_answer(self, kind: AnswerKind, class_index: int, age_ms: float, duration_ms: float) -> None:
        """Count a final answer; ``age_ms`` runs from the arrival at the machine, ``duration_ms`` from the read here."""
        self._durations[class_index][bisect_left(DURATION_BUCKETS_MS, duration_ms)] += 1
        if kind == AnswerKind.SERVED:
            objective_ms, weight, late_fraction = self._objectives[class_index]
            late = age_ms > objective_ms
            self._late[class_index] += late
            self._weight_served[class_index] += int(WEIGHT_UNITS * weight * (late_fraction if late else 1.0))

    def lines(self) -> list[str]:
        """Return these metrics as lines of the operators' ``vars``."""
        lines = []
        for class_index, name in enumerate(self._names):
            lines += [
                f"app.worth.{name}:{self._weight_served[class_index]}|c",
                f"app.late.{name}:{self._late[class_index]}|c",
            ]
            lines += [
                f"app.took.{name}.{bound}:{count}|c"
                for bound, count in zip((*DURATION_BUCKETS_MS, "more"), self._durations[class_index], strict=True)
            ]
        lines += [
            f"app.{name}:{value}|g"
            for name, value in zip(("memory_kb", "memory_most_kb"), self._read_memory_kb(), strict=True)
        ]
        lines.append(f"app.broken:{self.broken_rules}|c")
        return [*lines, f"app.generation.{self._generation}:1|g"] if self._generation else lines
