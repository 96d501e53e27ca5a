"""Which member is believed to be in which state. No I/O, no clock.

| state | meaning | superseded by |
| --- | --- | --- |
| alive | it answered, or reports so itself | suspect of the same incarnation, anything of a later one |
| suspect | nobody received an answer in time | alive of a later incarnation, dead of the same |
| dead | its suspicion timed out | alive of a later incarnation, or of a later process epoch |
| left | it left by itself, or the configuration names it no more | alive of a later process epoch |

The process epoch numbers the starts of a member's process. It only grows while there is a disk, and is the time of the
start where there is none. A later epoch supersedes all reports of earlier ones. If an epoch went back (the disk was
lost and the clock was set back), whoever remembers the later one reports it, and a process that has just started
continues with the next one. A process that hears of a later epoch of its own name after that was replaced, and sends
nothing more. The incarnation is SWIM's: a member raises it to refute a suspicion, and it starts at 0 in each process
epoch.
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
    """Why a message is ignored; the values are the keys of the counters that operators see."""

    OTHER_FLEET = "another fleet"
    NOT_A_MEMBER = "not on the list"
    OLDER_EPOCH = "an older life"
    INVALID_EPOCH = "of the future"


class MembershipView:
    """One member's view of the cluster. ``replaced``: another process has this member's name."""

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

    # The configuration.

    def set_configuration(self, names: Iterable[str], digest: str = "") -> None:
        """Take the accepted list: exactly these are members, and new ones count as alive until they are probed."""
        members = frozenset(names)  # keeps a set that is shared by thousands of simulated members
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
        """Return how many members are believed alive or suspect, this one included."""
        return self.size() - self.records.unavailable_count()

    def has_quorum(self) -> bool:
        """Tell whether more than half of the configuration, not of the view, is believed alive."""
        return 2 * self.live_count() > self.size()

    def state_of(self, name: str) -> MemberState | None:
        """Return a member's state; None for a name that the configuration does not contain."""
        if name == self.name:
            return MemberState.ALIVE
        return self.record(name).state if self.is_peer(name) else None

    def is_peer(self, name: str) -> bool:
        """Tell whether this is another member of the configuration."""
        return name in self.names and name != self.name

    def record(self, name: str) -> MemberRecord:
        """Return what is believed of another member of the configuration."""
        return self.records.get(name)

    def alive_peers(self) -> list[str]:
        """Return the other members that are alive, by name."""
        return sorted(self.names - self.records.not_alive - {self.name})

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        return self.records.take_changes()

    def self_update(self, state: MemberState = MemberState.ALIVE) -> GossipUpdate:
        """Return the report of this member's own state."""
        return GossipUpdate(self.name, STATE_NAMES[state], self.incarnation, self.process_epoch)

    def all_updates(self) -> list[GossipUpdate]:
        """Return reports of all known states, for anti-entropy."""
        return [self.self_update(), *(record.as_update(name) for name, record in self.records)]

    def reject_reason(self, message: Message) -> RejectReason | None:
        """Return why a message must be ignored; None for one that counts."""
        if message.fleet != self.fleet:
            return RejectReason.OTHER_FLEET
        if not self.is_peer(message.sender):
            return RejectReason.NOT_A_MEMBER
        if message.process_epoch < self.record(message.sender).process_epoch:
            return RejectReason.OLDER_EPOCH
        if message.process_epoch > MAX_EPOCH or message.incarnation > MAX_EPOCH:
            return RejectReason.INVALID_EPOCH
        return None

    # Reports.

    def receive(self, now: float, update: GossipUpdate, sender: str) -> None:
        """Take a report about any member, this one included."""
        if update.state not in STATES_BY_NAME or max(update.process_epoch, update.incarnation) > MAX_EPOCH:
            return  # of a later version, or invalid
        if update.name == self.name:
            self._receive_about_self(now, update)
        else:
            self.apply(now, update, f"{sender} says so")

    def _receive_about_self(self, now: float, update: GossipUpdate) -> None:
        if update.process_epoch > self.process_epoch:
            self._meet_later_epoch(now, update.process_epoch)
            return
        is_stale = update.process_epoch < self.process_epoch or update.incarnation < self.incarnation
        if STATES_BY_NAME[update.state] is not MemberState.ALIVE and not is_stale:
            self.incarnation = update.incarnation + 1  # supersedes what was reported
            self.health.degrade()
            self.announce(self.self_update())

    def _meet_later_epoch(self, now: float, known_epoch: int) -> None:
        if now - self._started_at > self.settings.epoch_adoption_s:
            self.replaced = True
            return
        self.process_epoch = known_epoch + 1
        self.incarnation = 0
        self.announce(self.self_update())

    def apply(self, now: float, update: GossipUpdate, cause: str) -> None:
        """Record a report about another member if it supersedes what is believed, and pass it on."""
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
        if state is not previous_state or not is_first_report:  # unknown members count as alive anyway
            self.announce(update)

    def _confirm_suspicion(self, record: MemberRecord, update: GossipUpdate) -> None:
        """Add one more member whose own probe went unanswered."""
        is_new_witness = update.witness and update.witness not in record.witnesses
        if record.state is MemberState.SUSPECT and is_new_witness:
            record.witnesses |= {update.witness}
            self.announce(update)

    def announce(self, update: GossipUpdate) -> None:
        """Queue a report for gossip."""
        self.gossip.put(update, self.size())

    # Suspicions.

    def suspect(self, now: float, name: str, cause: str) -> None:
        """Suspect a member that did not answer this one; a member that is dead or left stays so."""
        record = self.record(name)
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT):
            state = STATE_NAMES[MemberState.SUSPECT]
            self.apply(now, GossipUpdate(name, state, record.incarnation, record.process_epoch, self.name), cause)

    def expire_suspicions(self, now: float) -> None:
        """Declare dead whoever did not refute its suspicion in time."""
        for name in sorted(self.records.suspects):
            record = self.record(name)
            age = now - record.since
            timeout = suspicion_timeout(self.settings, self.size(), len(record.witnesses), self.health)
            if age >= timeout:
                cause = f"no answer and no word for {age:.1f} s; {len(record.witnesses)} got none"
                state = STATE_NAMES[MemberState.DEAD]
                self.apply(now, GossipUpdate(name, state, record.incarnation, record.process_epoch), cause)

    def extend_suspicions(self, pause_s: float) -> None:
        """Do not count a pause of this process as silence of others."""
        self.records.extend_suspicions(pause_s)
