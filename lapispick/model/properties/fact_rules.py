"""Properties of gossiped facts."""

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
        kinds.setdefault((author, epoch, sequence), kind_and_subject)  # one fact under each sequence number
    return [
        Fact(author, epoch, sequence, kind, subject, float(sequence), 1, rng.choice((0.0, 1.0, 3.0)))
        for (author, epoch, sequence), (kind, subject) in kinds.items()
        for _ in range(2)
    ]


def facts_converge(seed: int) -> None:
    """In any order, and received again and again, the same facts are stored in the end."""
    rng = random.Random(seed)
    facts = _random_facts(rng, 20)
    snapshots = []
    for _ in range(4):
        rng.shuffle(facts)
        store = FactStore(FactSettings())
        for fact in [*facts, *rng.sample(facts, len(facts) // 2)]:
            store.merge(10.0, fact, 10)
        snapshots.append(sorted(map(msgspec.json.encode, store.snapshot(10.0))))
    require(all(each == snapshots[0] for each in snapshots), "the order of messages makes a difference")


def facts_expire(seed: int) -> None:
    """A fact is forwarded no longer than its lifetime, however often, and weighs less the older it is."""
    settings = FactSettings()
    store = FactStore(settings)
    store.publish(0.0, "a", 1, 0, CLUSTER_SIZE, FactKind.LOAD, "", 1.0)
    weights = []
    hops = 0
    for step in range(1, 20):  # from one member to the next, each of which has never received it
        now = step * 10.0
        facts = store.snapshot(now)
        store = FactStore(settings)
        for fact in facts:
            hops += store.merge(now, fact, CLUSTER_SIZE)
        weights.append(store.weighted_mean(now, FactKind.LOAD).weight)
    require(hops == 5, f"a fact that lives for 60 s was forwarded {hops} times, 10 s apart")
    require(0 < weights[2] < weights[0] / 2, "an old fact weighs as much as a recent one")
    store.publish(500.0, "a", 1, 0, CLUSTER_SIZE, FactKind.LOAD, "", 1.0)
    store.expire(500.0 + settings.expiry_s, ["a"])
    require(not len(store), "an expired fact is kept")


def facts_need_two_authors(seed: int) -> None:
    """Neither one author alone nor unhealthy ones confirm a fact; authors that report otherwise count against it."""
    store = FactStore(FactSettings())

    def publish(author: str, value: float, health: int = 0) -> None:
        store.publish(0.0, author, 1, health, CLUSTER_SIZE, FactKind.STORE, "s", value)

    def is_confirmed() -> bool:
        return store.is_confirmed(1.0, FactKind.STORE, "s", 5.0)

    publish("a", 9.0)
    require(not is_confirmed(), "one author is enough")
    publish("b", 9.0, health=3)
    require(not is_confirmed(), "an unhealthy author counts as a healthy one")
    publish("c", 9.0)
    require(is_confirmed(), "two healthy authors are not enough")
    for author in "defg":
        publish(author, 1.0)
    require(not is_confirmed(), "authors that report otherwise do not count")


PROPERTIES: tuple[Property, ...] = (facts_converge, facts_expire, facts_need_two_authors)
