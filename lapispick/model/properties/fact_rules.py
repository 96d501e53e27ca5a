"""Properties of gossip facts."""

from __future__ import annotations

import random

import msgspec

from lapispick.members.gossip_facts import FactKind, FactSettings, FactStore
from lapispick.members.messages import Fact
from lapispick.model.properties.base import Property, require

CLUSTER_SIZE = 5


def _random_facts(rng: random.Random, count: int) -> list[Fact]:
    kinds: dict[tuple[str, int, int], tuple[str, str]] = {}
    for _ in range(count):
        author = rng.choice("abc")
        epoch = rng.randint(1, 2)
        sequence = rng.randint(1, 4)
        kind_and_subject = (rng.choice(("load", "cold")), rng.choice(("", "x")))
        kinds.setdefault((author, epoch, sequence), kind_and_subject)  # a sequence number identifies one fact
    return [
        Fact(author, epoch, sequence, kind, subject, float(sequence), 1, rng.choice((0.0, 1.0, 3.0)))
        for (author, epoch, sequence), (kind, subject) in kinds.items()
        for _ in range(2)
    ]


def facts_converge(seed: int) -> None:
    """The stored facts depend neither on the order in which facts are received nor on how often each is received."""
    rng = random.Random(seed)
    facts = _random_facts(rng, 20)
    snapshots = []
    for _ in range(4):
        rng.shuffle(facts)
        store = FactStore(FactSettings())
        for fact in [*facts, *rng.sample(facts, len(facts) // 2)]:
            store.merge(10.0, fact, 10)
        snapshots.append(sorted(map(msgspec.json.encode, store.snapshot(10.0))))
    is_same = all(snapshot == snapshots[0] for snapshot in snapshots)
    require(is_same, "the stored facts depend on the order of the messages")


def facts_expire(seed: int) -> None:
    """A fact is not forwarded after its expiry, whatever the number of hops, and its weight decreases with its age."""
    settings = FactSettings()
    store = FactStore(settings)
    store.publish(0.0, "a", 1, 0, CLUSTER_SIZE, FactKind.LOAD, "", 1.0)
    weights = []
    hops = 0
    for step in range(1, 20):  # each step forwards the fact to a member that has not received it before
        now = step * 10.0
        facts = store.snapshot(now)
        store = FactStore(settings)
        for fact in facts:
            hops += store.merge(now, fact, CLUSTER_SIZE)
        weights.append(store.weighted_mean(now, FactKind.LOAD).weight)
    require(hops == 5, f"a fact that expires after 60 s was forwarded {hops} times at intervals of 10 s, expected 5")
    has_lower_weight = 0 < weights[2] < weights[0] / 2
    require(has_lower_weight, f"a fact's weight went from {weights[0]} to {weights[2]} in 20 s, expected under half")
    store.publish(500.0, "a", 1, 0, CLUSTER_SIZE, FactKind.LOAD, "", 1.0)
    store.expire(500.0 + settings.expiry_s, ["a"])
    require(not len(store), "an expired fact is still stored")


def facts_need_two_authors(seed: int) -> None:
    """Two healthy authors confirm a fact, unless authors that report a lower value outweigh them."""
    store = FactStore(FactSettings())

    def publish(author: str, value: float, health: int = 0) -> None:
        store.publish(0.0, author, 1, health, CLUSTER_SIZE, FactKind.STORE, "s", value)

    def is_confirmed() -> bool:
        return store.is_confirmed(1.0, FactKind.STORE, "s", 5.0)

    publish("a", 9.0)
    require(not is_confirmed(), "one author confirms a fact")
    publish("b", 9.0, health=3)
    require(not is_confirmed(), "an unhealthy author confirms a fact")
    publish("c", 9.0)
    require(is_confirmed(), "two healthy authors do not confirm a fact")
    for author in "defg":
        publish(author, 1.0)
    require(not is_confirmed(), "authors that report a lower value do not count against a fact")


PROPERTIES: tuple[Property, ...] = (facts_converge, facts_expire, facts_need_two_authors)
