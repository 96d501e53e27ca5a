"""Membership view: the state of each member as one member knows it. No I/O, no clock.

| state | meaning | superseded by |
| --- | --- | --- |
| alive | it answered, or sent a message | suspect of the same incarnation, any state of a later one |
| suspect | no member received an answer in time | alive of a later incarnation, dead of the same |
| dead | the suspicion timed out | alive of a later incarnation, or of a later process epoch |
| left | it announced that it leaves, or the configuration no longer lists it | alive of a later process epoch |

The process epoch numbers the starts of a member's process. It is stored on disk and only increases as long as the disk
is kept; without a disk it is the time of the start. A later epoch supersedes all reports of earlier ones. An epoch can
decrease if the disk is lost and the clock is set back. The members that know the later epoch then report it, and a
process that has just started continues with the next one. A process that receives a later epoch of its own name after
that time has been replaced by another process, and sends no more messages. The incarnation is that of SWIM: a member
raises it to refute a suspicion, and it starts at 0 in each process epoch.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from lapispick.members.gossip_queue import GossipQueue
from lapispick.members.member_state import (
    STATE_NAMES,
    STATES_BY_NAME,
    MemberRecord,
    MemberRecords,
    MemberState,
    StateChange,
)
from lapispick.members.messages import MAX_EPOCH, GossipUpdate, Message
from lapispick.members.suspicion import LocalHealth, SwimSettings, suspicion_timeout


class RejectReason(enum.StrEnum):
    """Reason why a message is ignored. The values are the keys of the counters that operators see."""

    OTHER_FLEET = "another fleet"
    NOT_A_MEMBER = "not on the list"
    OLDER_EPOCH = "an older life"
    INVALID_EPOCH = "of the future"


class MembershipView:
    """View that one member has of the cluster. ``replaced`` is set once another process uses this member's name."""

    def __init__(
        self,
        name: str,
        fleet: str,
        process_epoch: int,
        names: Iterable[str],
        settings: SwimSettings,
        now: float,
        digest: str = "",
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.process_epoch = process_epoch
        self.settings = settings
        self.configuration_digest = digest
        self.incarnation = 0
        self.health = LocalHealth(settings.max_health_multiplier)
        self.names: frozenset[str] = frozenset()
        self.records = MemberRecords(settings.return_window_s)
        self.gossip = GossipQueue(settings.retransmit_factor)
        self.replaced = False
        self._started_at = now
        self.set_configuration(names, digest)

    # Configuration.

    def set_configuration(self, names: Iterable[str], digest: str = "") -> None:
        """Set the configuration to exactly these members; new ones count as alive until they are probed."""
        members = frozenset(names)  # does not copy a frozenset, which thousands of simulated members share
        self.configuration_digest = digest
        for name in sorted(self.names - members - {self.name}):
            self.records.discard(name)
            self.gossip.discard(name)
            self.records.add_change(StateChange(name, MemberState.LEFT, cause="the list names it no more"))
        if self.names:
            for name in sorted(members - self.names - {self.name}):
                self.records.add_change(StateChange(name, MemberState.ALIVE, cause="the list names it"))
        self.names = members

    # Queries.

    def size(self) -> int:
        """Return the number of members, this one included."""
        return len(self.names) + (self.name not in self.names)

    def live_count(self) -> int:
        """Return the number of members that are alive or suspect, this one included."""
        return self.size() - self.records.unavailable_count()

    def has_quorum(self) -> bool:
        """Return True if more than half of the configured members are alive or suspect."""
        return 2 * self.live_count() > self.size()

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of a member; None for a name that is not in the configuration."""
        if name == self.name:
            return MemberState.ALIVE
        return self.record(name).state if self.is_peer(name) else None

    def is_peer(self, name: str) -> bool:
        """Return True if the name is that of another member of the configuration."""
        return name in self.names and name != self.name

    def record(self, name: str) -> MemberRecord:
        """Return the record of another member of the configuration."""
        return self.records.get(name)

    def alive_peers(self) -> list[str]:
        """Return the sorted names of the other members that are alive."""
        return sorted(self.names - self.records.not_alive - {self.name})

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        return self.records.take_changes()

    def self_update(self, state: MemberState = MemberState.ALIVE) -> GossipUpdate:
        """Return a gossip update of this member's own state."""
        return GossipUpdate(self.name, STATE_NAMES[state], self.incarnation, self.process_epoch)

    def all_updates(self) -> list[GossipUpdate]:
        """Return gossip updates of all known states, for anti-entropy."""
        return [self.self_update(), *(record.as_update(name) for name, record in self.records)]

    def reject_reason(self, message: Message) -> RejectReason | None:
        """Return the reason why a message must be ignored; None if it is accepted."""
        if message.fleet != self.fleet:
            return RejectReason.OTHER_FLEET
        if not self.is_peer(message.sender):
            return RejectReason.NOT_A_MEMBER
        if message.process_epoch < self.record(message.sender).process_epoch:
            return RejectReason.OLDER_EPOCH
        if message.process_epoch > MAX_EPOCH or message.incarnation > MAX_EPOCH:
            return RejectReason.INVALID_EPOCH
        return None

    # Gossip updates.

    def receive(self, now: float, update: GossipUpdate, sender: str) -> None:
        """Process a gossip update about any member, this one included."""
        if update.state not in STATES_BY_NAME or max(update.process_epoch, update.incarnation) > MAX_EPOCH:
            return  # sent by a later version, or invalid
        if update.name == self.name:
            self._receive_about_self(now, update)
        else:
            self.apply(now, update, f"{sender} says so")

    def _receive_about_self(self, now: float, update: GossipUpdate) -> None:
        if update.process_epoch > self.process_epoch:
            self._receive_later_epoch(now, update.process_epoch)
            return
        is_stale = update.process_epoch < self.process_epoch or update.incarnation < self.incarnation
        if STATES_BY_NAME[update.state] is not MemberState.ALIVE and not is_stale:
            self.incarnation = update.incarnation + 1  # supersedes the received update
            self.health.degrade()
            self.announce(self.self_update())

    def _receive_later_epoch(self, now: float, known_epoch: int) -> None:
        if now - self._started_at > self.settings.epoch_adoption_s:
            self.replaced = True
            return
        self.process_epoch = known_epoch + 1
        self.incarnation = 0
        self.announce(self.self_update())

    def apply(self, now: float, update: GossipUpdate, cause: str) -> None:
        """Apply an update about another member if it supersedes the stored record, and gossip it."""
        if not self.is_peer(update.name):
            return
        record = self.records.get_or_add(now, update.name)
        state = STATES_BY_NAME[update.state]
        version = (update.process_epoch, update.incarnation, state)
        if version <= record.version:
            if version == record.version:
                self._confirm_suspicion(record, update)
            return
        previous_state = record.state
        is_first_report = not record.process_epoch
        record.process_epoch = update.process_epoch
        record.incarnation = update.incarnation
        if state is not previous_state:
            self.records.change_state(now, update.name, state, cause)
        is_witnessed = state is MemberState.SUSPECT and bool(update.witness)
        record.witnesses = frozenset({update.witness}) if is_witnessed else frozenset()
        if state is not previous_state or not is_first_report:  # a member without a report already counts as alive
            self.announce(update)

    def _confirm_suspicion(self, record: MemberRecord, update: GossipUpdate) -> None:
        """Add the update's witness to a suspicion that is already recorded."""
        is_new_witness = update.witness and update.witness not in record.witnesses
        if record.state is MemberState.SUSPECT and is_new_witness:
            record.witnesses |= {update.witness}
            self.announce(update)

    def announce(self, update: GossipUpdate) -> None:
        """Queue an update for gossip."""
        self.gossip.put(update, self.size())

    # Suspicions.

    def suspect(self, now: float, name: str, cause: str) -> None:
        """Mark a member that did not answer this one as suspect; the states dead and left do not change."""
        record = self.record(name)
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT):
            state = STATE_NAMES[MemberState.SUSPECT]
            self.apply(now, GossipUpdate(name, state, record.incarnation, record.process_epoch, self.name), cause)

    def expire_suspicions(self, now: float) -> None:
        """Declare the members dead that did not refute their suspicion in time."""
        for name in sorted(self.records.suspects):
            record = self.record(name)
            age = now - record.state_since
            timeout = suspicion_timeout(self.settings, self.size(), len(record.witnesses), self.health)
            if age >= timeout:
                cause = f"no answer and no word for {age:.1f} s; {len(record.witnesses)} got none"
                state = STATE_NAMES[MemberState.DEAD]
                self.apply(now, GossipUpdate(name, state, record.incarnation, record.process_epoch), cause)

    def extend_suspicions(self, pause_s: float) -> None:
        """Extend all suspicions by a pause of this process, in which it received no refutations."""
        self.records.extend_suspicions(pause_s)
