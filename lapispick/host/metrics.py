"""The metrics of this process, and how operators read them. No I/O and no clock.

Where the settings ask for more (section figures), ``ExtendedMetrics`` adds the weight served, durations from read to
answer, and memory. Their names in the operators' ``vars`` stand here and nowhere else.

They are counted by the core alone, at the one final answer and at the order to the executor, so that no front
can disagree with another. All start at 0 with the process.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence

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
        made = [
            f"app.{METRIC_NAMES[kind]}.{name}:{count}|c"
            for kind, counts in self._counts.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        return [*made, f"app.backend_calls:{self.runs}|c", f"app.inflight:{inflight}|g"]


# The buckets of durations: each holds what took up to this, and more than the one before
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
        weight that is left after the objective. ``memory`` returns what the process holds
        now and what it held at worst, kB.
        """
        self._names = tuple(names)
        self._objectives = tuple(objectives)
        self._generation = generation
        self._memory = memory
        self.broken_rules = 0  # rules that this process broke, or that its last guard kept
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
        made = []
        for class_index, name in enumerate(self._names):
            made += [
                f"app.worth.{name}:{self._weight_served[class_index]}|c",
                f"app.late.{name}:{self._late[class_index]}|c",
            ]
            made += [
                f"app.took.{name}.{bound}:{count}|c"
                for bound, count in zip((*DURATION_BUCKETS_MS, "more"), self._durations[class_index], strict=True)
            ]
        made += [
            f"app.{name}:{value}|g" for name, value in zip(("memory_kb", "memory_most_kb"), self._memory(), strict=True)
        ]
        made.append(f"app.broken:{self.broken_rules}|c")
        return [*made, f"app.generation.{self._generation}:1|g"] if self._generation else made
