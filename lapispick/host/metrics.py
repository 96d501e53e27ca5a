"""The figures of one life of the process, and how operators read them. No I/O and no clock.

Where the settings ask for more (section figures), ``Wide`` adds worth, times from read to answer and memory.

They are counted by the core alone, at the one final answer and at the order to the executor, so that no front
can disagree with another. All start at 0 with the process.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence

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
        made = [
            f"app.{KINDS[kind]}.{name}:{count}|c"
            for kind, counts in self._counts.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        return [*made, f"app.backend_calls:{self.runs}|c", f"app.inflight:{inflight}|g"]


# ms; the buckets of times to answer: each holds what took up to this, and more than the one before
TIMES = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192)
WORTH = 1000  # parts of worth in which it is told


class Wide:
    """Further figures by class: worth served, answers after the aim, and how long answers took."""

    __slots__ = ("_aims", "_generation", "_late", "_memory", "_names", "_times", "_worth", "broken")

    def __init__(
        self,
        names: Sequence[str],
        aims: Sequence[tuple[float, float, float]],
        generation: str,
        memory: Callable[[], tuple[int, int]],
    ) -> None:
        """``aims`` holds of each class its aim in ms, its worth, and the part that is left of it after the aim.

        ``memory`` tells what the process holds now and what it held at worst, kB.
        """
        self._names, self._aims, self._generation, self._memory = tuple(names), tuple(aims), generation, memory
        self.broken = 0  # rules that this process broke, or that its last guard kept
        self._worth, self._late = [0] * len(names), [0] * len(names)
        self._times = [[0] * (len(TIMES) + 1) for _ in names]

    def answered(self, kind: str, cls: int, age_ms: float, took_ms: float) -> None:
        """Count a final answer: how long after the request came to the machine, and after it was read here."""
        self._times[cls][bisect_left(TIMES, took_ms)] += 1
        if kind == "served":
            aim, worth, after = self._aims[cls]
            late = age_ms > aim
            self._late[cls] += late
            self._worth[cls] += int(WORTH * worth * (after if late else 1.0))

    def lines(self) -> list[str]:
        """Write these figures."""
        made = []
        for cls, name in enumerate(self._names):
            made += [f"app.worth.{name}:{self._worth[cls]}|c", f"app.late.{name}:{self._late[cls]}|c"]
            made += [
                f"app.took.{name}.{bound}:{count}|c"
                for bound, count in zip((*TIMES, "more"), self._times[cls], strict=True)
            ]
        made += [
            f"app.{name}:{value}|g" for name, value in zip(("memory_kb", "memory_most_kb"), self._memory(), strict=True)
        ]
        made.append(f"app.broken:{self.broken}|c")
        return [*made, f"app.generation.{self._generation}:1|g"] if self._generation else made
