"""How long a suspicion lasts, by the cluster size, its confirmations and the local health. No I/O, no clock.

Suspicion timeouts and the local health score are those of Lifeguard (Dadgar and others, 2018).
"""

from __future__ import annotations

from math import log, log10

import msgspec


class SwimSettings(msgspec.Struct, frozen=True):
    """Settings of the failure detector and the gossip. Times in seconds."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3  # for a direct answer; indirect probes follow
    indirect_probes: int = 3
    suspicion_factor: float = 5.0  # times log10 of the cluster size, at least 1, times the probe interval
    max_suspicion_ratio: float = 6.0  # of the timeout without confirmations to the shortest one
    max_confirmations: int = 3  # that shorten a suspicion
    max_health_multiplier: int = 8  # of timeouts
    return_window_s: float = 120.0  # a member that was dead for no longer is reported as returned
    retransmit_factor: float = 4.0  # times log10 of the cluster size: transmissions of an update
    epoch_adoption_s: float = 10.0  # after the start, in which a process may take an epoch later than a known one


class LocalHealth:
    """The local health score of Lifeguard: 0 is healthy. A slow member multiplies its timeouts by ``multiplier``."""

    def __init__(self, max_multiplier: int) -> None:
        self._max_score = max_multiplier - 1
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Return the factor of probe timeouts."""
        return 1 + self.score

    def improve(self) -> None:
        """Count a probe that was answered in time."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """Count an unanswered probe, a refutation of this member's own, or a pause of its process."""
        self.score = min(self._max_score, self.score + 1)


def suspicion_timeout(settings: SwimSettings, cluster_size: int, witness_count: int, health: LocalHealth) -> float:
    """Return the timeout in s: shorter with each confirmation, longer the worse this member's own health is."""
    shortest = settings.suspicion_factor * max(1.0, log10(cluster_size)) * settings.probe_interval_s
    longest = shortest * settings.max_suspicion_ratio
    confirmed = min(1.0, log(witness_count + 1) / log(settings.max_confirmations + 1))
    return max(shortest, longest - (longest - shortest) * confirmed) * (1 + health.score / 2)
