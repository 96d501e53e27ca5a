"""Cluster member: its membership view, leases and facts. No I/O, no clock, no random number generator of its own.

The caller passes in received messages, the time of a monotonic clock and a random number generator, and sends the
messages that are returned. The host (``host/members/``) and the simulation (``model/``) run the same code.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from lapispick.members.configurations import Configurations
from lapispick.members.failure_detector import FailureDetector, Outgoing, RandomSource
from lapispick.members.gossip_facts import FactSettings, FactStore
from lapispick.members.lease_manager import LeaseManager
from lapispick.members.lease_voter import LeaseVoter
from lapispick.members.leases import LeaseSettings
from lapispick.members.member_state import StateChange
from lapispick.members.membership_view import MembershipView
from lapispick.members.messages import Fact, Message, StateSync
from lapispick.members.suspicion import SwimSettings

MAX_FACTS_ACCEPTED = 8  # facts of one received message; the others are ignored
FACT_EXPIRY_CHECKS = 10  # checks for expired facts per ``expiry_s``


class MemberSettings(msgspec.Struct, frozen=True):
    """Settings of a member."""

    swim: SwimSettings = SwimSettings()
    leases: LeaseSettings = LeaseSettings()
    facts: FactSettings = FactSettings()
    lease_owner_timeout_s: float = 5.0  # a lease request that is not repeated within this time is dropped
    max_lease_requests: int = 64


class Member:
    """Member of the cluster. ``is_first_process``: no earlier process of this member can have run."""

    def __init__(
        self,
        name: str,
        fleet: str,
        process_epoch: int,
        names: Iterable[str],
        digest: str,
        slot_counts: Mapping[str, int],
        settings: MemberSettings,
        rng: RandomSource,
        now: float,
        is_first_process: bool = False,
    ) -> None:
        """Join with the accepted list ``names``; ``slot_counts`` is the number of slots of each named lease."""
        self.name = name
        self.settings = settings
        self.view = MembershipView(name, fleet, process_epoch, names, settings.swim, now, digest)
        self.detector = FailureDetector(self.view, rng, now)
        self.facts = FactStore(settings.facts)
        configurations = Configurations(self.view.names, digest, settings.leases)
        self.leases = LeaseManager(
            self.detector,
            configurations,
            LeaseVoter(settings.leases, configurations, now, is_first_process),
            slot_counts,
            settings.leases,
            settings.lease_owner_timeout_s,
            settings.max_lease_requests,
            rng,
        )
        self._next_fact_expiry = now

    @property
    def process_epoch(self) -> int:
        """Return the process epoch, which may have increased since the start."""
        return self.view.process_epoch

    def set_configuration(self, names: Iterable[str], digest: str, now: float) -> None:
        """Apply an accepted list of members."""
        self.view.set_configuration(names, digest)
        self.detector.set_configuration()
        self.leases.configurations.change(self.view.names, digest, now)

    def take_changes(self) -> list[StateChange]:
        """Return the state changes of members since the last call."""
        return self.view.take_changes()

    # Timing and messages.

    def next_tick_at(self) -> float:
        """Return the time when ``tick`` is next due, in monotonic seconds."""
        return min(self.detector.next_tick_at(), self.leases.next_tick_at())

    def tick(self, now: float) -> list[Outgoing]:
        """Run the due steps of the failure detector, the leases and the facts; return the messages to send."""
        if self.view.replaced:
            self.leases.lose_all(now)
            return []
        outgoing = self.detector.tick(now)
        outgoing += self.leases.tick(now)
        if now >= self._next_fact_expiry:
            self._next_fact_expiry = now + self.settings.facts.expiry_s / FACT_EXPIRY_CHECKS
            self.facts.expire(now, self.view.names)
        return [self._with_facts(now, message) for message in outgoing]

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Process a message and return the answers."""
        if self.view.replaced:
            return []
        is_accepted = self.view.reject_reason(message) is None
        outgoing = self.detector.receive(now, message)
        if is_accepted:
            for fact in message.facts[:MAX_FACTS_ACCEPTED]:
                self._merge_fact(now, fact)
            outgoing += self.leases.receive(now, message)
        return [self._with_facts(now, answer) for answer in outgoing]

    def leave(self) -> list[Outgoing]:
        """Return the messages that announce that this member leaves; its leases expire or their owners release them."""
        return self.detector.leave()

    # Anti-entropy over streams.

    def state_sync(self, now: float, is_reply: bool = False) -> StateSync:
        """Return a message with the complete state of this member."""
        return StateSync(
            self.view.fleet,
            self.name,
            self.process_epoch,
            self.view.incarnation,
            configuration_digest=self.view.configuration_digest,
            member_states=tuple(self.view.all_updates()),
            all_facts=self.facts.snapshot(now),
            is_reply=is_reply,
        )

    def merge_state(self, now: float, message: StateSync) -> bool:
        """Merge the complete state of another member; return False if the message is rejected."""
        is_accepted = self.view.reject_reason(message) is None
        self.detector.receive(now, message)
        if not is_accepted:
            return False
        cluster_size = self.view.size()
        for update in message.member_states[:cluster_size]:
            self.view.receive(now, update, message.sender)
        for fact in message.all_facts[: cluster_size * self.settings.facts.max_facts_per_author]:
            self._merge_fact(now, fact)
        return True

    # Facts.

    def publish_fact(
        self, now: float, kind: str, subject: str, value: float, sample_count: int = 1, text: str = ""
    ) -> None:
        """Publish a fact of this member."""
        view = self.view
        self.facts.publish(
            now,
            self.name,
            self.process_epoch,
            view.health.score,
            view.size(),
            kind,
            subject,
            value,
            sample_count,
            text,
        )

    def _merge_fact(self, now: float, fact: Fact) -> None:
        if fact.author == self.name:
            is_current = fact.process_epoch == self.process_epoch
        else:
            is_current = (
                self.view.is_peer(fact.author) and fact.process_epoch >= self.view.record(fact.author).process_epoch
            )
        if is_current:
            self.facts.merge(now, fact, self.view.size())

    def _with_facts(self, now: float, outgoing: Outgoing) -> Outgoing:
        facts = self.facts.take_outgoing(now)
        if not facts:
            return outgoing
        return Outgoing(outgoing.to, msgspec.structs.replace(outgoing.message, facts=facts))
