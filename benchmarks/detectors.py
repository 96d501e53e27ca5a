"""Alternative failure detectors to compare with, written from their public descriptions, as simulated members.

- ``HeartbeatDetector``: every member sends a heartbeat to every other member each interval; a member that is silent
  for ``timeout_s`` is declared dead.
- ``PhiAccrualDetector``: sends the same messages and estimates a normal distribution of each member's heartbeat
  intervals; a member is declared dead when its silence has a probability below 10 ** -phi (Hayashibara, Defago, Yared,
  Katayama, SRDS 2004).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import erfc, log10, sqrt
from typing import Any

from lapispick.members.failure_detector import Outgoing
from lapispick.members.member_state import MemberState, StateChange

# Has the length of a message without gossip.
HEARTBEAT = b'{"say":"beat","fleet":"model","sender":"disp-0001","life":1}'


class Heartbeat(bytes):
    """An encoded heartbeat; its length counts as sent bytes."""

    sender: str


class HeartbeatDetector:
    """Failure detector that declares a member dead after a fixed time without heartbeats."""

    def __init__(
        self, name: str, names: Iterable[str], now: float, rng: Any, interval_s: float = 1.0, timeout_s: float = 5.0
    ) -> None:
        self.name = name
        self.interval_s = interval_s
        self.timeout_s = timeout_s
        self._peers = [peer for peer in names if peer != name]
        self._next_heartbeat_at = now + rng.random() * interval_s
        self._last_heard = dict.fromkeys(self._peers, now)
        self._states = dict.fromkeys(self._peers, MemberState.ALIVE)
        self._changes: list[StateChange] = []

    def next_tick_at(self) -> float:
        """Return when the next heartbeat is due."""
        return self._next_heartbeat_at

    def tick(self, now: float) -> list[Outgoing]:
        """Declare silent peers dead, and send heartbeats if they are due."""
        for peer in self._peers:
            if self._states[peer] is MemberState.ALIVE and self._is_silent(peer, now):
                self._states[peer] = MemberState.DEAD
                self._changes.append(StateChange(peer, MemberState.DEAD))
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = max(self._next_heartbeat_at + self.interval_s, now + self.interval_s / 2)
        heartbeat = Heartbeat(HEARTBEAT)
        heartbeat.sender = self.name
        return [Outgoing(peer, heartbeat) for peer in self._peers]  # type: ignore[arg-type]

    def receive(self, now: float, heartbeat: Any) -> list[Outgoing]:
        """Record a heartbeat; a peer that was declared dead becomes alive again."""
        sender = heartbeat.sender
        self._record_heartbeat(sender, now)
        if self._states[sender] is not MemberState.ALIVE:
            self._states[sender] = MemberState.ALIVE
            self._changes.append(StateChange(sender, MemberState.ALIVE, True))
        return []

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def _record_heartbeat(self, peer: str, now: float) -> None:
        self._last_heard[peer] = now

    def _is_silent(self, peer: str, now: float) -> bool:
        return now - self._last_heard[peer] >= self.timeout_s


class PhiAccrualDetector(HeartbeatDetector):
    """Failure detector that declares a member dead by the distribution of its heartbeat intervals."""

    MAX_SAMPLES = 100
    MIN_SAMPLES = 5
    MIN_DEVIATION_RATIO = 0.1  # of the interval
    MIN_PROBABILITY = 1e-300  # keeps the logarithm finite

    def __init__(self, *arguments: Any, phi: float = 8.0, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._phi = phi
        self._intervals: dict[str, deque[float]] = {peer: deque(maxlen=self.MAX_SAMPLES) for peer in self._peers}

    def _record_heartbeat(self, peer: str, now: float) -> None:
        self._intervals[peer].append(now - self._last_heard[peer])
        self._last_heard[peer] = now

    def _is_silent(self, peer: str, now: float) -> bool:
        intervals = self._intervals[peer]
        silence = now - self._last_heard[peer]
        if len(intervals) < self.MIN_SAMPLES:
            return silence >= 3 * self.timeout_s
        mean = sum(intervals) / len(intervals)
        variance = sum((interval - mean) ** 2 for interval in intervals) / len(intervals)
        deviation = max(self.MIN_DEVIATION_RATIO * self.interval_s, sqrt(variance))
        probability = 0.5 * erfc((silence - mean) / deviation / sqrt(2))
        return -log10(max(probability, self.MIN_PROBABILITY)) >= self._phi
