"""Suspicion timeout by cluster size, number of confirmations and local health. No I/O, no clock.

The suspicion timeout and the local health score are those of Lifeguard (Dadgar and others, 2018).
"""

from __future__ import annotations

from math import log, log10

import msgspec


class SwimSettings(msgspec.Struct, frozen=True):
    """Settings of the failure detector and of gossip. Times are in seconds."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3  # for the answer to a direct probe; indirect probes follow
    indirect_probes: int = 3  # members that are asked to probe a member that did not answer
    suspicion_factor: float = (
        5.0  # shortest timeout in probe intervals, for up to 10 members; grows with log10 of the size
    )
    max_suspicion_ratio: float = 6.0  # of the timeout without confirmations to the shortest timeout
    max_confirmations: int = 3  # number of confirmations at which the timeout is shortest
    max_health_multiplier: int = 8  # limit of the factor by which poor local health lengthens timeouts
    return_window_s: float = 120.0  # a member that was dead for at most this time is reported as returned
    retransmit_factor: float = 4.0  # transmissions of an update, for up to 9 members; grows with log10 of the size
    epoch_adoption_s: float = 10.0  # time after its start in which a process may adopt the epoch after a reported one


class LocalHealth:
    """Local health score of Lifeguard. 0 is healthy; a slow member multiplies its timeouts by ``multiplier``."""

    def __init__(self, max_multiplier: int) -> None:
        self._max_score = max_multiplier - 1
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Return the factor by which probe timeouts are multiplied."""
        return 1 + self.score

    def improve(self) -> None:
        """Improve the score by one, for a probe that was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """Worsen the score by one, for an unanswered probe, a refuted suspicion of this member, or a pause."""
        self.score = min(self._max_score, self.score + 1)


def suspicion_timeout(settings: SwimSettings, cluster_size: int, witness_count: int, health: LocalHealth) -> float:
    """Return the suspicion timeout in seconds; confirmations shorten it, and poor local health lengthens it."""
    shortest = settings.suspicion_factor * max(1.0, log10(cluster_size)) * settings.probe_interval_s
    longest = shortest * settings.max_suspicion_ratio
    confirmed = min(1.0, log(witness_count + 1) / log(settings.max_confirmations + 1))
    return max(shortest, longest - (longest - shortest) * confirmed) * (1 + health.score / 2)
