"""Further metrics that the settings enable: weight served, durations from read to answer, and memory.

No I/O and no clock. The names in the operators' ``vars`` stand here; those that are always present are in ``metrics``.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence

from lapispick.host.requests import AnswerKind

# The upper bounds of the buckets of durations; a duration counts in the first bucket whose bound it does not exceed
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
    """Further metrics by class: weight served, answers after the latency objective, and durations."""

    __slots__ = (
        "_durations",
        "_generation",
        "_late",
        "_memory",
        "_names",
        "_objectives",
        "_weight_served",
        "broken_rules",
    )

    def __init__(
        self,
        names: Sequence[str],
        objectives: Sequence[tuple[float, float, float]],
        generation: str,
        memory: Callable[[], tuple[int, int]],
    ) -> None:
        """Start all counts at 0.

        ``objectives`` holds of each class its latency objective in ms, its priority weight, and the fraction of the
        weight that is left after the objective. ``memory`` returns the resident memory of the process and its peak,
        kB.
        """
        self._names = tuple(names)
        self._objectives = tuple(objectives)
        self._generation = generation
        self._memory = memory
        self.broken_rules = 0  # rules that this process broke, or that only its last check prevented it from breaking
        self._weight_served = [0] * len(names)
        self._late = [0] * len(names)
        self._durations = [[0] * (len(DURATION_BUCKETS_MS) + 1) for _ in names]

    def answered(self, kind: AnswerKind, class_index: int, age_ms: float, duration_ms: float) -> None:
        """Count a final answer: how long after the request came to the machine, and after it was read here."""
        self._durations[class_index][bisect_left(DURATION_BUCKETS_MS, duration_ms)] += 1
        if kind == AnswerKind.SERVED:
            objective_ms, weight, late_fraction = self._objectives[class_index]
            late = age_ms > objective_ms
            self._late[class_index] += late
            self._weight_served[class_index] += int(WEIGHT_UNITS * weight * (late_fraction if late else 1.0))

    def lines(self) -> list[str]:
        """Write these metrics."""
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
            f"app.{name}:{value}|g" for name, value in zip(("memory_kb", "memory_most_kb"), self._memory(), strict=True)
        ]
        lines.append(f"app.broken:{self.broken_rules}|c")
        return [*lines, f"app.generation.{self._generation}:1|g"] if self._generation else lines
