"""The configurations of members that count for quorums: the current one and those that it replaced lately. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from lapispick.members.leases import LeaseSettings


class Configuration(NamedTuple):
    """One accepted list of members; ``expires_at`` is infinite for the current one."""

    digest: str
    names: frozenset[str]
    expires_at: float

    def is_quorum(self, voters: set[str]) -> bool:
        """Tell whether these voters are a majority."""
        return 2 * len(voters & self.names) > len(self.names)

    def excludes_quorum(self, voters: set[str]) -> bool:
        """Tell whether no majority is possible without these voters."""
        return 2 * len(voters & self.names) >= len(self.names)


class Configurations:
    """All configurations that count for quorums, oldest first. A decision needs a quorum in each of them."""

    def __init__(self, names: Iterable[str], digest: str, settings: LeaseSettings) -> None:
        self._settings = settings
        self._configurations = [Configuration(digest, frozenset(names), inf)]

    @property
    def current_digest(self) -> str:
        """Return the digest of the current configuration."""
        return self._configurations[-1].digest

    def change(self, names: Iterable[str], digest: str, now: float) -> None:
        """Make another configuration the current one; the previous one counts on for ``configuration_overlap_s``."""
        previous = self._configurations[-1]
        if digest == previous.digest:
            return
        self._configurations[-1] = previous._replace(expires_at=now + self._settings.configuration_overlap_s)
        self._configurations.append(Configuration(digest, frozenset(names), inf))

    def expire(self, now: float) -> None:
        """Drop the configurations whose time is over."""
        self._configurations = [each for each in self._configurations if each.expires_at > now]

    def contains(self, digest: str) -> bool:
        """Tell whether a configuration is one of those that count."""
        return any(each.digest == digest for each in self._configurations)

    def is_quorum(self, voters: Iterable[str]) -> bool:
        """Tell whether these voters are a majority of every configuration that counts."""
        granted = set(voters)
        return all(each.is_quorum(granted) for each in self._configurations)

    def excludes_quorum(self, voters: Iterable[str]) -> bool:
        """Tell whether some configuration has no majority without these voters."""
        rejected = set(voters)
        return any(each.excludes_quorum(rejected) for each in self._configurations)

    def all_members(self) -> set[str]:
        """Return the names in any configuration that counts."""
        return set().union(*(each.names for each in self._configurations))
