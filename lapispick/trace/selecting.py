"""Which records a cut keeps: by time, and by the class, account and outcome of requests. No I/O.

A step waits until the outcomes of all its requests are known, which the longest deadline bounds; so memory follows
what is open and not the length of the trace. A request that the window's edges cut through is marked, kept whole
or left out, as asked.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from lapispick import admission
from lapispick.trace.record_types import Answered, Arrival, Step, Straddles

MARK, WHOLE, DROP = "mark", "whole", "drop"
SLACK_MS = 1000.0  # ms; beyond the longest deadline: an answer may be late, and its note comes a step later
GONE = "gone"  # the outcome of what has no answer


class Wanted(NamedTuple):
    """What a cut keeps; an empty set stands for all."""

    since: float = float("-inf")  # ms; the first step that is kept
    until: float = float("inf")  # the first that is not
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    outcomes: frozenset[str] = frozenset()
    edges: str = MARK

    @property
    def by_request(self) -> bool:
        """Tell whether requests are chosen by more than time."""
        return bool(self.classes or self.accounts or self.outcomes)


class _Try:
    __slots__ = ("account", "cls", "ended_inside", "inside", "outcome", "since", "whole_begin")

    def __init__(self, since: float, whole_begin: bool) -> None:
        self.since, self.whole_begin, self.inside, self.ended_inside = since, whole_begin, False, False
        self.cls, self.account, self.outcome = "", "", ""


Number = tuple[int, int]  # box and request


def _number(step: Step, record: Any) -> Number | None:
    """Return the request that a record belongs to."""
    number = getattr(record, "id", None)
    return None if number is None else (step.box, number)


class Selector:
    """Takes the steps around a window, in order, and yields what is kept."""

    def __init__(
        self, wanted: Wanted, names: Callable[[int, int], str], deadline_ms: float, when: Callable[[Step], float]
    ) -> None:
        self._wanted, self._names, self._when = wanted, names, when
        self._horizon = deadline_ms + SLACK_MS
        self._tries: dict[Number, _Try] = {}
        self._waiting: deque[tuple[float, Step, list[Number]]] = deque()
        self._marked: set[Number] = set()

    @property
    def margin(self) -> float:
        """Return how far beyond the window steps are needed, ms."""
        return self._horizon if self._wanted.edges == WHOLE or self._wanted.by_request else 0.0

    def run(self, steps: Iterable[Step]) -> Iterator[Step]:
        """Yield the steps that are kept, with what is kept of them."""
        for step in steps:
            now = self._when(step)
            self._take(now, step)
            while self._waiting and self._ready(now):
                yield from self._give(self._waiting.popleft())
        while self._waiting:
            yield from self._give(self._waiting.popleft())

    def _take(self, now: float, step: Step) -> None:
        numbers, inside = [], self._wanted.since <= now < self._wanted.until
        for part in (step.events, step.notes, step.actions):
            for record in part:
                number = _number(step, record)
                if number is None:
                    continue
                held = self._tries.get(number)
                if held is None:
                    held = self._tries[number] = _Try(now, type(record) is admission.RequestReceived)
                held.inside |= inside
                numbers.append(number)
                if type(record) is admission.RequestReceived:
                    held.cls = self._names(step.box, record.cls)
                elif type(record) is Arrival:
                    held.account = record.account
                elif type(record) in (Answered, admission.ClientCancelled) and not held.outcome:
                    held.outcome = record.kind if type(record) is Answered else GONE
                    held.ended_inside = inside
        self._waiting.append((now, step, numbers))

    def _ready(self, now: float) -> bool:
        since, _, numbers = self._waiting[0]
        return now - since > self._horizon or all(self._tries[n].outcome for n in numbers if n in self._tries)

    def _chosen(self, held: _Try | None) -> bool:
        wanted = self._wanted
        if held is None:
            return not wanted.by_request
        return (
            (not wanted.classes or held.cls in wanted.classes)
            and (not wanted.accounts or held.account in wanted.accounts)
            and (not wanted.outcomes or (held.outcome or GONE) in wanted.outcomes)
        )

    def _straddles(self, held: _Try) -> tuple[bool, bool]:
        before = not held.whole_begin or held.since < self._wanted.since
        return before and held.inside, held.inside and not held.ended_inside

    def _keep(self, number: Number | None, inside: bool) -> bool:
        if number is None:
            return inside and not self._wanted.by_request
        held = self._tries.get(number)
        if not self._chosen(held):
            return False
        if held is None or self._wanted.edges == MARK:
            return inside
        if self._wanted.edges == WHOLE:
            return held.inside
        return inside and not any(self._straddles(held))

    def _give(self, waiting: tuple[float, Step, list[Number]]) -> Iterator[Step]:
        now, step, numbers = waiting
        inside = self._wanted.since <= now < self._wanted.until
        parts = [
            tuple(r for r in part if self._keep(_number(step, r), inside))
            for part in (step.events, step.actions, step.notes)
        ]
        if inside and self._wanted.edges == MARK:
            for number in dict.fromkeys(numbers):
                if number in self._tries and number not in self._marked and self._chosen(self._tries[number]):
                    before, after = self._straddles(self._tries[number])
                    if before or after:
                        self._marked.add(number)
                        parts[2] = (*parts[2], Straddles(number[1], before, after))
        whole = inside and not self._wanted.by_request and self._wanted.edges == MARK
        if whole or any(parts):
            yield step._replace(events=parts[0], actions=parts[1], notes=parts[2])
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget requests that nothing more can be told of; dicts keep the order of arrival."""
        while self._tries:
            number, held = next(iter(self._tries.items()))
            if now - held.since <= 2 * self._horizon:
                break
            del self._tries[number]
            self._marked.discard(number)
