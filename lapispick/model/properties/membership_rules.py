"""Properties of a single member and its view."""

from __future__ import annotations

import random

import msgspec

from lapispick.members import messages
from lapispick.members.failure_detector import FailureDetector
from lapispick.members.leases import Ballot, LeaseProposal
from lapispick.members.member import Member, MemberSettings
from lapispick.members.member_state import MemberState
from lapispick.members.membership_view import MembershipView
from lapispick.members.messages import MAX_EPOCH, Fact, GossipUpdate, LeaseProposalMessage, Probe, ProbeRequest
from lapispick.members.suspicion import SwimSettings
from lapispick.model.cluster import CONFIGURATION_DIGEST
from lapispick.model.properties.base import LEASE, Property, require

FLEET = "f"


def _member(names: list[str], seed: int, epoch: int = 1, is_first_process: bool = False) -> Member:
    rng = random.Random(seed)
    settings = MemberSettings()
    return Member("a", FLEET, epoch, names, CONFIGURATION_DIGEST, {LEASE: 1}, settings, rng, 0.0, is_first_process)


def _detector(name: str, names: list[str], seed: int) -> FailureDetector:
    view = MembershipView(name, FLEET, 1, names, SwimSettings(), 0.0)
    return FailureDetector(view, random.Random(seed), 0.0)


def long_pause(seed: int) -> None:
    """A member declares no other member dead because of messages that it did not receive during its own long pause."""
    detector = _detector("a", ["a", "b", "c", "d"], seed)
    view = detector.view
    view.receive(1.0, GossipUpdate("b", "suspect", 0, 1, "c"), "c")
    for step in range(10, 40):
        detector.tick(step / 10)
    before = {name: view.state_of(name) for name in "bcd"}
    detector.tick(64.0)
    require(MemberState.DEAD not in before.values(), "a suspected member is dead within 3 s")
    after = {name: view.state_of(name) for name in "bcd"}
    require(MemberState.DEAD not in after.values(), "a member declares others dead because of its own pause")
    for step in range(640, 2000):
        detector.tick(step / 10)
    require(view.state_of("b") is MemberState.DEAD, "a suspicion does not time out")


def replaced_process(seed: int) -> None:
    """A paused process that was replaced by a later one with its name sends no messages and obtains no leases."""
    member = _member(["a"], seed, epoch=5, is_first_process=True)
    member.set_configuration(["a", "b"], "l", 0.0)
    member.set_configuration(["a"], "m", 100.0)
    member.set_configuration(["a", "b"], "n", 200.0)
    member.receive(300.0, Probe(FLEET, "b", 1, 0, (GossipUpdate("a", "alive", 0, 9),), sequence=1))
    require(member.view.replaced, "a process does not detect that it was replaced")
    require(not member.tick(301.0), "a replaced process sends messages")
    require(member.leases.request(301.0, LEASE, "x") is None, "a replaced process accepts a request for a lease")


def invalid_senders_ignored(seed: int) -> None:
    """Messages from another fleet, unknown members or earlier epochs, and invalid messages change no state."""
    member = _member(["a", "b", "c"], seed)
    member.receive(0.0, Probe(FLEET, "b", 5, 0, sequence=1))
    before = msgspec.json.encode(member.state_sync(1.0).member_states)
    valid = Probe(
        FLEET, "b", 5, 0, updates=(GossipUpdate("c", "dead", 7, 9),), facts=(Fact("c", 1, 1, "load", "", 1.0),)
    )
    for invalid in (
        {"fleet": "g"},
        {"sender": "z"},
        {"process_epoch": 4},
        {"sender": "a"},
        {"process_epoch": MAX_EPOCH + 1},
        {"incarnation": MAX_EPOCH + 1},
    ):
        member.receive(1.0, msgspec.structs.replace(valid, **invalid))
    unknown_name = GossipUpdate("z", "dead", 0, 1)
    unknown_state = GossipUpdate("c", "odd", 9, 9)
    invalid_incarnation = GossipUpdate("c", "dead", MAX_EPOCH + 1, 1)
    member.receive(1.0, Probe(FLEET, "b", 5, 0, (unknown_name, unknown_state, invalid_incarnation)))
    require(
        msgspec.json.encode(member.state_sync(1.0).member_states) == before,
        "an invalid message or update changed a state",
    )
    require(not member.facts.snapshot(1.0), "a fact from an invalid message was stored")


def bounded_tables(seed: int) -> None:
    """A member that floods another with facts, slots and updates makes no table grow beyond its limit."""
    member = _member(["a", "b", "c"], seed, is_first_process=True)
    for n in range(3000):
        now = n / 100
        facts = tuple(Fact("b", 1, n * 4 + k, "load", f"{n}-{k}", 1.0) for k in range(4))
        update = GossipUpdate(f"x{n}", "dead", 0, 1)
        member.receive(now, ProbeRequest(FLEET, "b", 1, n, (update,), "l", facts, sequence=n, target="c"))
        proposal = LeaseProposal(f"s{n}/0", Ballot(n + 1, "b"), 1, "l")
        member.receive(now, LeaseProposalMessage(FLEET, "b", 1, n, proposal=proposal))
        member.leases.request(now, LEASE, f"o{n}")
    sizes_and_limits = {
        "facts": (len(member.facts), 16),
        "gossip updates": (len(member.view.gossip), 3),
        "member records": (len(member.view.records), 2),
        "relayed probes": (member.detector.relayed_probe_count(), 3),
        "lease queues": (member.leases.voter.queued_slot_count(), 1),
        "lease requests": (len(member.leases), 64),
    }
    for table, (size, limit) in sizes_and_limits.items():
        require(size <= limit, f"the table of {table} has {size} entries, expected at most {limit}")
    longest = Probe(
        FLEET,
        "a" * 200,
        1,
        0,
        tuple(GossipUpdate("n" * 200, "dead", 0, 1) for _ in range(8)),
        "l",
        tuple(Fact("a" * 200, 1, 1, "load", "s" * 64, 1.0, text="t" * 64) for _ in range(4)),
    )
    size = len(messages.encode_datagram(longest))
    require(
        size <= messages.MAX_DATAGRAM_BYTES,
        f"the longest datagram has {size} bytes, expected at most {messages.MAX_DATAGRAM_BYTES}",
    )


def refutation(seed: int) -> None:
    """A member that is reported suspect or dead refutes this with a higher incarnation, and others see it as alive."""
    detector = _detector("a", ["a", "b"], seed)
    refuting_detector = _detector("b", ["a", "b"], seed)
    detector.view.receive(1.0, GossipUpdate("b", "dead", 0, 1), "a")
    require(detector.view.state_of("b") is MemberState.DEAD, "a report that a member is dead is not recorded")
    probe = detector.build(Probe, "b", sequence=1)
    require(
        any(update.name == "b" for update in probe.updates), "a probe does not tell its target that it is reported dead"
    )
    for answer in refuting_detector.receive(1.1, probe):
        detector.receive(1.2, answer.message)
    require(detector.view.state_of("b") is MemberState.ALIVE, "a refutation is not recorded")


PROPERTIES: tuple[Property, ...] = (
    long_pause,
    replaced_process,
    invalid_senders_ignored,
    bounded_tables,
    refutation,
)
