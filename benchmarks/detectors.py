"""Failure detectors that members could have instead, from their public descriptions, with the model's face.

- ``Heartbeats``: every member tells every other one each period that it is there; silence for ``silent`` is a death.
- ``Accrual``: the same words; of the pauses between them a normal distribution is kept for each member, and it is dead
  where its silence has a probability under 10 ** -phi (Hayashibara, Defago, Yared, Katayama, SRDS 2004).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import erfc, log10, sqrt
from typing import Any

from lapispick.members.membership_view import Change, Send, State

BEAT = b'{"say":"beat","fleet":"model","sender":"disp-0001","life":1}'  # as long as a word without news


class Beat(bytes):
    """A heartbeat; its length is what it costs."""

    sender: str
    life: int


class Heartbeats:
    """Silence for a fixed time is a death."""

    def __init__(
        self, name: str, life: int, names: Iterable[str], now: float, rng: Any, period: float = 1.0, silent: float = 5.0
    ) -> None:
        self.name, self.life, self.period, self.silent = name, life, period, silent
        self._others = [each for each in names if each != name]
        self._next = now + rng.random() * period
        self._last = dict.fromkeys(self._others, now)
        self._state = dict.fromkeys(self._others, State.ALIVE)
        self._changes: list[Change] = []

    def due(self) -> float:
        """Return when the next tick is worth while."""
        return self._next

    def tick(self, now: float) -> list[Send]:
        """Beat, and look who is silent."""
        for other in self._others:
            if self._state[other] is State.ALIVE and self._silent(other, now):
                self._state[other] = State.DEAD
                self._changes.append(Change(other, State.DEAD))
        if now < self._next:
            return []
        self._next = max(self._next + self.period, now + self.period / 2)
        beat = Beat(BEAT)
        beat.sender, beat.life = self.name, self.life
        return [Send(other, beat) for other in self._others]  # type: ignore[arg-type]

    def take(self, now: float, word: Any) -> list[Send]:
        """Take a heartbeat."""
        self._heard(word.sender, now)
        if self._state[word.sender] is not State.ALIVE:
            self._state[word.sender] = State.ALIVE
            self._changes.append(Change(word.sender, State.ALIVE, True))
        return []

    def changes(self) -> list[Change]:
        """Take what changed."""
        found, self._changes = self._changes, []
        return found

    def _heard(self, other: str, now: float) -> None:
        self._last[other] = now

    def _silent(self, other: str, now: float) -> bool:
        return now - self._last[other] >= self.silent


class Accrual(Heartbeats):
    """Silence counts by the pauses that were seen of each member."""

    KEPT, LEAST, SPREAD = 100, 5, 0.1  # pauses that are kept and needed, and the least spread, as a part of the period

    def __init__(self, *told: Any, phi: float = 8.0, **more: Any) -> None:
        super().__init__(*told, **more)
        self._phi = phi
        self._pauses: dict[str, deque[float]] = {other: deque(maxlen=self.KEPT) for other in self._others}

    def _heard(self, other: str, now: float) -> None:
        self._pauses[other].append(now - self._last[other])
        self._last[other] = now

    def _silent(self, other: str, now: float) -> bool:
        pauses = self._pauses[other]
        if len(pauses) < self.LEAST:
            return now - self._last[other] >= 3 * self.silent
        mean = sum(pauses) / len(pauses)
        spread = max(self.SPREAD * self.period, sqrt(sum((p - mean) ** 2 for p in pauses) / len(pauses)))
        later = 0.5 * erfc((now - self._last[other] - mean) / spread / sqrt(2))
        return -log10(max(later, 1e-300)) >= self._phi
