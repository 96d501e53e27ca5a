"""SWIM failure detector: probes other members, directly and through others. No I/O, no clock.

SWIM (Das, Gupta, Motivala, 2002) with suspicion, and with local health as in Lifeguard (Dadgar and others, 2018):

- One member is probed per interval. The order is shuffled for each round, so every member is probed within two rounds.
  If a member does not answer, a few other members are asked to probe it. A link that fails in one direction, or
  between two members only, therefore does not make a member dead.
- A member from which no answer arrives is suspect, and dead when the suspicion times out. It refutes a suspicion with a
  higher incarnation. The timeout decreases with the number of members that confirm the suspicion, and increases as the
  local health gets worse.
- The local health gets worse with each unanswered probe and with each suspicion of this member that it refutes: a slow
  member assumes that it is itself the cause. Poor local health lengthens all timeouts.
- State changes are piggybacked on the other messages, each one a number of times that grows with the logarithm of the
  cluster size.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

import msgspec

from lapispick.members.member_state import STATE_NAMES, MemberState
from lapispick.members.membership_view import MembershipView, RejectReason
from lapispick.members.messages import MAX_UPDATES, Ack, GossipUpdate, Message, Probe, ProbeRequest

PAUSE_RATIO = 1.5  # a longer time between two ticks, in probe intervals, means that the process was paused
INDIRECT_TIMEOUT_RATIO = 0.9  # of the probe interval, so that a probe ends before the next one starts
LEAVE_FANOUT = 3  # members to which a leaving member sends its announcement

MessageT = TypeVar("MessageT", bound=Message)


class RandomSource(Protocol):
    """Source of random numbers, a seeded ``random.Random``."""

    def random(self) -> float:
        """Return a number from 0 to 1."""

    def shuffle(self, x: list[str]) -> None:
        """Shuffle a list in place."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Return ``k`` different items."""


class Outgoing(NamedTuple):
    """Message to send, and the name of the member that receives it."""

    to: str
    message: Message


class _OutstandingProbe(msgspec.Struct):
    sequence: int
    target: str
    sent_at: float
    is_indirect: bool = False


class _RelayedProbe(NamedTuple):
    """Probe sent on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str


class FailureDetector:
    """Sends probes and turns missing answers into suspicions of the membership view."""

    def __init__(self, view: MembershipView, rng: RandomSource, now: float) -> None:
        self.view = view
        self.settings = view.settings
        self.rejected: dict[str, int] = {}  # number of ignored messages by ``RejectReason``
        self._rng = rng
        self._round_targets: list[str] = []  # members left to probe in this round, in reverse order
        self._outstanding: _OutstandingProbe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}  # by the sequence number of the relayed probe
        self._sequence = 0
        self._last_tick_at = now
        # A random offset keeps members that start together from probing at the same times.
        self._next_probe_at = now + rng.random() * self.settings.probe_interval_s

    def set_configuration(self) -> None:
        """Drop pending probes of members that are no longer in the configuration."""
        members = self.view.names
        self._round_targets = [name for name in self._round_targets if name in members]
        if self._outstanding is not None and self._outstanding.target not in members:
            self._outstanding = None

    def relayed_probe_count(self) -> int:
        """Return the number of relayed probes that were not answered yet."""
        return len(self._relayed)

    # Timing.

    def next_tick_at(self) -> float:
        """Return the time when ``tick`` is next due, in monotonic seconds."""
        if self._outstanding is None:
            return self._next_probe_at
        return min(self._next_probe_at, self._outstanding.sent_at + self._probe_timeout())

    def tick(self, now: float) -> list[Outgoing]:
        """Send due probes and apply expired timeouts; return the messages to send. May be called at any time."""
        self._check_for_pause(now)
        outgoing = self._check_outstanding(now)
        self.view.expire_suspicions(now)
        if now >= self._next_probe_at:
            # Probes that were missed during a pause are not sent later.
            interval = self.settings.probe_interval_s
            self._next_probe_at = max(self._next_probe_at + interval, now + interval / 2)
            outgoing += self._probe_next(now)
        return outgoing

    def _check_for_pause(self, now: float) -> None:
        """Detect a pause of this process. Missing answers during a pause are no sign of a failure of other members."""
        elapsed = now - self._last_tick_at
        self._last_tick_at = now
        if elapsed > PAUSE_RATIO * self.settings.probe_interval_s:
            self.view.extend_suspicions(elapsed)
            self.view.health.degrade()
            self._outstanding = None

    def _probe_timeout(self) -> float:
        return self.settings.probe_timeout_s * self.view.health.multiplier

    def _indirect_timeout(self) -> float:
        interval = self.settings.probe_interval_s * self.view.health.multiplier
        return max(interval, 2 * self._probe_timeout()) * INDIRECT_TIMEOUT_RATIO

    def _check_outstanding(self, now: float) -> list[Outgoing]:
        probe = self._outstanding
        if probe is None:
            return []
        elapsed = now - probe.sent_at
        if not probe.is_indirect and elapsed >= self._probe_timeout():
            probe.is_indirect = True
            return self._request_indirect_probes(probe)
        if probe.is_indirect and elapsed >= self._indirect_timeout():
            self._outstanding = None
            self.view.health.degrade()
            self.view.suspect(now, probe.target, "no answer to this member nor to those it asked")
        return []

    def _request_indirect_probes(self, probe: _OutstandingProbe) -> list[Outgoing]:
        candidates = [name for name in self.view.alive_peers() if name != probe.target]
        helpers = self._rng.sample(candidates, min(self.settings.indirect_probes, len(candidates)))
        return [
            Outgoing(name, self.build(ProbeRequest, name, sequence=probe.sequence, target=probe.target))
            for name in helpers
        ]

    def _probe_next(self, now: float) -> list[Outgoing]:
        if self._outstanding is not None:
            return []
        if not self._round_targets:
            self._start_round()
        if not self._round_targets:
            return []
        target = self._round_targets.pop()
        self._sequence += 1
        self._outstanding = _OutstandingProbe(self._sequence, target, now)
        return [Outgoing(target, self.build(Probe, target, sequence=self._sequence))]

    def _start_round(self) -> None:
        # Dead members are probed too, so that both sides of a partition find each other after it heals.
        view = self.view
        self._round_targets = sorted(
            name for name in view.names if name != view.name and view.record(name).state is not MemberState.LEFT
        )
        self._rng.shuffle(self._round_targets)

    # Messages.

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Process a message and return the answers; a message that the view does not accept is counted as rejected."""
        reason = self.view.reject_reason(message)
        if reason is not None:
            return self._reject(message, reason)
        self.view.apply(now, sender_update(message), "it says so itself")
        for update in message.updates[:MAX_UPDATES]:
            self.view.receive(now, update, message.sender)
        if isinstance(message, Probe):
            return [Outgoing(message.sender, self.build(Ack, message.sender, sequence=message.sequence))]
        if isinstance(message, ProbeRequest):
            return self._relay_probe(message)
        if isinstance(message, Ack):
            return self._receive_ack(message)
        return []

    def _reject(self, message: Message, reason: RejectReason) -> list[Outgoing]:
        self.rejected[reason.value] = self.rejected.get(reason.value, 0) + 1
        if reason is RejectReason.OLDER_EPOCH and isinstance(message, Probe):  # the answer contains the later epoch
            answer = self.build(Ack, message.sender, include_record=True, sequence=message.sequence)
            return [Outgoing(message.sender, answer)]
        return []

    def _relay_probe(self, message: ProbeRequest) -> list[Outgoing]:
        if not self.view.is_peer(message.target):
            return []
        self._sequence += 1
        if len(self._relayed) >= self.view.size():  # the oldest one was not answered
            self._relayed.pop(next(iter(self._relayed)))
        self._relayed[self._sequence] = _RelayedProbe(message.sender, message.sequence, message.target)
        probe = self.build(Probe, message.target, sequence=self._sequence, requester=message.sender)
        return [Outgoing(message.target, probe)]

    def _receive_ack(self, message: Ack) -> list[Outgoing]:
        probe = self._outstanding
        answered_by = message.target or message.sender
        if probe is not None and message.sequence == probe.sequence and answered_by == probe.target:
            self._outstanding = None
            if not probe.is_indirect:
                self.view.health.improve()
            return []
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is None or relayed.target != message.sender:
            return []
        answer = self.build(Ack, relayed.requester, sequence=relayed.requester_sequence, target=relayed.target)
        return [Outgoing(relayed.requester, answer)]

    def leave(self) -> list[Outgoing]:
        """Announce to a few members that this one leaves; they gossip it."""
        self.view.announce(self.view.self_update(MemberState.LEFT))
        alive = self.view.alive_peers()
        chosen = self._rng.sample(alive, min(LEAVE_FANOUT, len(alive)))
        return [Outgoing(name, self.build(Probe, name)) for name in chosen]

    def build(
        self, message_type: Callable[..., MessageT], to: str, include_record: bool = False, **fields: object
    ) -> MessageT:
        """Return a message to a member, with queued gossip updates.

        A message to a member that is not alive includes the member's own record, so that the member can refute it.
        """
        view = self.view
        record = view.record(to)
        updates = list(view.gossip.take())
        if include_record or record.state is not MemberState.ALIVE:
            updates = [record.as_update(to), *(update for update in updates if update.name != to)]
        return message_type(
            view.fleet,
            view.name,
            view.process_epoch,
            view.incarnation,
            tuple(updates[:MAX_UPDATES]),
            view.configuration_digest,
            **fields,
        )


def sender_update(message: Message) -> GossipUpdate:
    """Return the update that each message implies: its sender is alive."""
    return GossipUpdate(message.sender, STATE_NAMES[MemberState.ALIVE], message.incarnation, message.process_epoch)
