"""Gossip facts: observations that members publish, with author and age. No I/O, no clock.

For each author, kind and subject, only the latest fact is kept: the one with the highest process epoch, then the
highest sequence, then the greatest age among copies of the same fact. This order is total and the greatest fact is
kept, so merging is the join of a semilattice: all members converge to the same facts (a map of maxima), whatever the
order and the number of messages.

While a member stores a fact, the age of the fact increases by that member's clock. The time in transit is not added, so
a fact is at least as old as its age says, and forwarding never makes it younger. Every member drops a fact that is
``expiry_s`` old. At most ``max_facts_per_author`` are kept per author, so an author that floods displaces its own facts
only.

Decisions use one of two queries. ``weighted_mean`` is a mean over authors. The weight of a fact halves with each
``half_life_s`` of its age, decreases with the author's health score and increases with the number of samples.
``is_confirmed`` is for decisions that divert traffic, which a single author must never cause.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from heapq import nsmallest
from math import log
from typing import NamedTuple

import msgspec

from lapispick.members.gossip_queue import transmission_count
from lapispick.members.messages import MAX_EPOCH, MAX_FACTS, MAX_TEXT_LENGTH, Fact

MAX_VALUE = 1e9  # a fact with this value or age, or a higher one, is invalid
MAX_SAMPLE_COUNT = 1 << 40
MAX_HEALTH_SCORE = 100
UNCHANGED_REPEATS = 3  # publications of an unchanged fact per ``expiry_s``


class FactKind(enum.StrEnum):
    """Kind of a fact, by its name on the wire. The comments give the meaning of the fact's value."""

    STORE = "store"  # mean latency of calls to the address in the subject, relative to the usual latency
    WARMING_UP = "cold"  # 1 while the author's executor is warming up
    DRAINING = "draining"  # 1 while the author is draining or shutting down
    GENERATION = "generation"  # the generation that the author runs is in the text
    LOAD = "load"  # fraction of the author's capacity in use


FACT_KINDS = frozenset(kind.value for kind in FactKind)


class FactSettings(msgspec.Struct, frozen=True):
    """Settings of the facts: how long they are used, and how many are kept."""

    half_life_s: float = 10.0
    expiry_s: float = 60.0
    max_facts_per_author: int = 16
    min_confirming_authors: int = 2
    retransmit_factor: float = 4.0  # transmissions of a fact, for up to 9 members; grows with log10 of the size


class WeightedMean(NamedTuple):
    """Weighted mean of the facts of all authors; ``weight`` is 0 if there are none."""

    value: float
    weight: float
    authors: int


class _StoredFact(NamedTuple):
    fact: Fact
    observed_at: float  # by this member's clock

    def order(self) -> tuple[int, int, float]:
        """Return (process epoch, sequence, age); the greatest of an author, kind and subject is stored."""
        return self.fact.process_epoch, self.fact.sequence, -self.observed_at

    def with_age(self, now: float) -> Fact:
        return msgspec.structs.replace(self.fact, age_s=round(now - self.observed_at, 3))


class _FactKey(NamedTuple):
    author: str
    kind: str
    subject: str


class FactStore:
    """Facts that this member knows, its own included."""

    def __init__(self, settings: FactSettings) -> None:
        self.settings = settings
        self.rejected_count = 0
        self._facts: dict[str, dict[tuple[str, str], _StoredFact]] = {}  # by author, then by kind and subject
        self._transmissions_left: dict[_FactKey, int] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return sum(map(len, self._facts.values()))

    # Gossip.

    def publish(
        self,
        now: float,
        author: str,
        process_epoch: int,
        health: int,
        cluster_size: int,
        kind: str,
        subject: str,
        value: float,
        sample_count: int = 1,
        text: str = "",
    ) -> None:
        """Publish a fact of this member; an unchanged one is repeated ``UNCHANGED_REPEATS`` times per expiry."""
        stored = self._facts.get(author, {}).get((kind, subject))
        if stored is not None and stored.fact.process_epoch == process_epoch:
            is_unchanged = (stored.fact.value, stored.fact.text) == (value, text)
            if is_unchanged and now - stored.observed_at < self.settings.expiry_s / UNCHANGED_REPEATS:
                return
        self._sequence += 1
        fact = Fact(author, process_epoch, self._sequence, kind, subject, value, sample_count, 0.0, health, text)
        self.merge(now, fact, cluster_size)

    def merge(self, now: float, fact: Fact, cluster_size: int) -> bool:
        """Store a fact unless it is invalid or outdated; return True if it is new."""
        if not _is_valid(fact) or fact.age_s >= self.settings.expiry_s:
            self.rejected_count += 1
            return False
        of_author = self._facts.setdefault(fact.author, {})
        key = (fact.kind, fact.subject)
        received = _StoredFact(fact, now - fact.age_s)
        stored = of_author.get(key)
        if stored is not None and stored.order() >= received.order():
            return False
        is_known = stored is not None and stored.order()[:2] == received.order()[:2]
        of_author[key] = received
        if len(of_author) > self.settings.max_facts_per_author and self._drop_oldest(fact.author) == key:
            return False
        if not is_known:  # a copy of a known fact is not gossiped again
            count = transmission_count(self.settings.retransmit_factor, cluster_size)
            self._transmissions_left[_FactKey(fact.author, *key)] = count
        return not is_known

    def _drop_oldest(self, author: str) -> tuple[str, str]:
        of_author = self._facts[author]
        oldest = min(of_author, key=lambda key: (of_author[key].observed_at, key))
        del of_author[oldest]
        self._transmissions_left.pop(_FactKey(author, *oldest), None)
        return oldest

    def take_outgoing(self, now: float) -> tuple[Fact, ...]:
        """Return the facts for one message, the least transmitted first, and count these transmissions."""
        if not self._transmissions_left:
            return ()
        chosen = nsmallest(MAX_FACTS, self._transmissions_left, key=lambda key: (-self._transmissions_left[key], key))
        outgoing = []
        for key in chosen:
            transmissions_left = self._transmissions_left.pop(key) - 1
            stored = self._facts.get(key.author, {}).get((key.kind, key.subject))
            if stored is None or self._is_expired(now, stored):
                continue
            if transmissions_left > 0:
                self._transmissions_left[key] = transmissions_left
            outgoing.append(stored.with_age(now))
        return tuple(outgoing)

    def snapshot(self, now: float) -> tuple[Fact, ...]:
        """Return all facts with their current ages."""
        return tuple(
            stored.with_age(now)
            for of_author in self._facts.values()
            for stored in of_author.values()
            if not self._is_expired(now, stored)
        )

    def expire(self, now: float, members: Iterable[str]) -> None:
        """Drop facts that are too old, and facts of authors that are not members."""
        known = members if isinstance(members, frozenset) else set(members)
        for author in list(self._facts):
            of_author = self._facts[author]
            for key in list(of_author):
                if author not in known or self._is_expired(now, of_author[key]):
                    del of_author[key]
                    self._transmissions_left.pop(_FactKey(author, *key), None)
            if not of_author:
                del self._facts[author]

    def _is_expired(self, now: float, stored: _StoredFact) -> bool:
        return now - stored.observed_at >= self.settings.expiry_s

    # Queries.

    def weighted_mean(self, now: float, kind: str, subject: str = "") -> WeightedMean:
        """Return the mean of the facts about a subject, weighted by age, author's health and samples."""
        total = 0.0
        total_weight = 0.0
        authors = 0
        for stored, weight in self._weighted(now, kind, subject):
            total += stored.fact.value * weight
            total_weight += weight
            authors += 1
        return WeightedMean(total / total_weight if total_weight else 0.0, total_weight, authors)

    def is_confirmed(self, now: float, kind: str, subject: str, threshold: float) -> bool:
        """Return True if enough healthy authors report at least the threshold, and outweigh lower reports."""
        weight_for = 0.0
        weight_against = 0.0
        healthy_authors = 0
        for stored, weight in self._weighted(now, kind, subject):
            if stored.fact.value >= threshold:
                weight_for += weight
                healthy_authors += stored.fact.author_health == 0
            else:
                weight_against += weight
        return healthy_authors >= self.settings.min_confirming_authors and weight_for > weight_against

    def _weighted(self, now: float, kind: str, subject: str) -> list[tuple[_StoredFact, float]]:
        weighted = []
        for of_author in self._facts.values():
            stored = of_author.get((kind, subject))
            if stored is not None and not self._is_expired(now, stored):
                freshness = 0.5 ** ((now - stored.observed_at) / self.settings.half_life_s)
                trust = freshness / (1 + stored.fact.author_health)
                weighted.append((stored, trust * (1 + log(stored.fact.sample_count))))
        return weighted


def _is_valid(fact: Fact) -> bool:
    return (
        fact.kind in FACT_KINDS
        and max(len(fact.subject), len(fact.text)) <= MAX_TEXT_LENGTH
        and 0 <= fact.value < MAX_VALUE
        and 0 <= fact.age_s < MAX_VALUE
        and 0 < fact.sample_count < MAX_SAMPLE_COUNT
        and 0 <= fact.author_health < MAX_HEALTH_SCORE
        and 0 <= fact.sequence < MAX_EPOCH
        and 0 <= fact.process_epoch < MAX_EPOCH
    )
