"""Configurations of members that count for quorums: the current one and recently replaced ones. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from lapispick.members.leases import LeaseSettings


class Configuration(NamedTuple):
    """Accepted list of members; ``expires_at`` is infinite for the current one."""

    digest: str
    names: frozenset[str]
    expires_at: float

    def is_quorum(self, voters: set[str]) -> bool:
        """Return True if these voters are a majority."""
        return 2 * len(voters & self.names) > len(self.names)

    def excludes_quorum(self, voters: set[str]) -> bool:
        """Return True if no majority is possible without these voters."""
        return 2 * len(voters & self.names) >= len(self.names)


class Configurations:
    """Configurations that count for quorums, oldest first. A decision needs a quorum in each of them."""

    def __init__(self, names: Iterable[str], digest: str, settings: LeaseSettings) -> None:
        self._settings = settings
        self._configurations = [Configuration(digest, frozenset(names), inf)]

    @property
    def current_digest(self) -> str:
        """Return the digest of the current configuration."""
        return self._configurations[-1].digest

    def change(self, names: Iterable[str], digest: str, now: float) -> None:
        """Set the current configuration; the previous one also counts for ``configuration_overlap_s`` more."""
        previous = self._configurations[-1]
        if digest == previous.digest:
            return
        self._configurations[-1] = previous._replace(expires_at=now + self._settings.configuration_overlap_s)
        self._configurations.append(Configuration(digest, frozenset(names), inf))

    def expire(self, now: float) -> None:
        """Drop expired configurations."""
        self._configurations = [
            configuration for configuration in self._configurations if configuration.expires_at > now
        ]

    def contains(self, digest: str) -> bool:
        """Return True if the configuration with this digest counts."""
        return any(configuration.digest == digest for configuration in self._configurations)

    def is_quorum(self, voters: Iterable[str]) -> bool:
        """Return True if these voters are a majority of every configuration that counts."""
        voter_set = set(voters)
        return all(configuration.is_quorum(voter_set) for configuration in self._configurations)

    def excludes_quorum(self, voters: Iterable[str]) -> bool:
        """Return True if some configuration has no majority without these voters."""
        voter_set = set(voters)
        return any(configuration.excludes_quorum(voter_set) for configuration in self._configurations)

    def all_members(self) -> set[str]:
        """Return the names in any configuration that counts."""
        return set().union(*(configuration.names for configuration in self._configurations))
