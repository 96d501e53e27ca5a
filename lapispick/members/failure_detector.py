"""The SWIM failure detector: probes other members, directly and through others. No I/O, no clock.

SWIM (Das, Gupta, Motivala, 2002) with suspicion, and local health as in Lifeguard (Dadgar and others, 2018):

- Each interval one member is probed, in an order that is shuffled anew each round, so that every one is probed within
  two rounds. Without an answer a few other members are asked to probe it, so links that fail in one direction, or
  between two members only, do not make it dead.
- A member that nobody received an answer from is suspect, and dead once its suspicion timed out; it refutes by a higher
  incarnation. The timeout is shorter the more members confirm the suspicion, and longer the worse the local health is.
- The local health degrades by unanswered probes and by refutations of this member's own: a slow member first suspects
  itself. It multiplies the timeouts.
- State changes are gossiped on the messages that are sent anyway, each a number of times that grows with the logarithm
  of the cluster size.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

import msgspec

from lapispick.members.member_state import STATE_NAMES, MemberState
from lapispick.members.membership_view import MembershipView, RejectReason
from lapispick.members.messages import MAX_UPDATES, Ack, GossipUpdate, Message, Probe, ProbeRequest

PAUSE_RATIO = 1.5  # probe intervals between two ticks that mean the process was paused
INDIRECT_TIMEOUT_RATIO = 0.9  # of the interval, so that a probe ends before the next one
LEAVE_FANOUT = 3  # members to which a leave is announced directly

MessageT = TypeVar("MessageT", bound=Message)


class RandomSource(Protocol):
    """What is drawn from, a seeded ``random.Random``."""

    def random(self) -> float:
        """Return a number from 0 to 1."""

    def shuffle(self, x: list[str]) -> None:
        """Shuffle a list in place."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Return ``k`` different items."""


class Outgoing(NamedTuple):
    """A message for a member."""

    to: str
    message: Message


class _OutstandingProbe(msgspec.Struct):
    sequence: int
    target: str
    sent_at: float
    is_indirect: bool = False


class _RelayedProbe(NamedTuple):
    """A probe on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str


class FailureDetector:
    """Sends probes and turns missing answers into suspicions of the membership view."""

    def __init__(self, view: MembershipView, rng: RandomSource, now: float) -> None:
        self.view = view
        self.settings = view.settings
        self.rejected: dict[str, int] = {}  # messages by the reason why they were ignored
        self._rng = rng
        self._round: list[str] = []  # members still to probe, in reverse order
        self._outstanding: _OutstandingProbe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}  # by our own sequence number
        self._sequence = 0
        self._last_tick = now
        # Members that start together probe at different moments.
        self._next_probe_at = now + rng.random() * self.settings.probe_interval_s

    def set_configuration(self) -> None:
        """Drop what concerns members that the view's configuration contains no more."""
        members = self.view.names
        self._round = [name for name in self._round if name in members]
        if self._outstanding is not None and self._outstanding.target not in members:
            self._outstanding = None

    def relayed_probe_count(self) -> int:
        """Return the number of indirect probes whose answer is awaited."""
        return len(self._relayed)

    # Time.

    def next_tick_at(self) -> float:
        """Return when the next call of ``tick`` has something to do, monotonic s."""
        if self._outstanding is None:
            return self._next_probe_at
        return min(self._next_probe_at, self._outstanding.sent_at + self._probe_timeout())

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due; it may be called at any time."""
        self._check_for_pause(now)
        outgoing = self._check_outstanding(now)
        self.view.expire_suspicions(now)
        if now >= self._next_probe_at:
            # Probes that were missed during a pause are not made up for.
            interval = self.settings.probe_interval_s
            self._next_probe_at = max(self._next_probe_at + interval, now + interval / 2)
            outgoing += self._probe_next(now)
        return outgoing

    def _check_for_pause(self, now: float) -> None:
        """Detect that this process was paused: silence of the others in that time is no sign of a failure."""
        elapsed = now - self._last_tick
        self._last_tick = now
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
        if not self._round:
            self._start_round()
        if not self._round:
            return []
        target = self._round.pop()
        self._sequence += 1
        self._outstanding = _OutstandingProbe(self._sequence, target, now)
        return [Outgoing(target, self.build(Probe, target, sequence=self._sequence))]

    def _start_round(self) -> None:
        # The dead are probed too: after a partition both sides find each other again.
        view = self.view
        self._round = sorted(
            name for name in view.names if name != view.name and view.record(name).state is not MemberState.LEFT
        )
        self._rng.shuffle(self._round)

    # Messages.

    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Take a message and return the answers; a message that does not count is counted as rejected."""
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
        if reason is RejectReason.OLDER_EPOCH and isinstance(message, Probe):  # the answer tells it the known epoch
            answer = self.build(Ack, message.sender, include_record=True, sequence=message.sequence)
            return [Outgoing(message.sender, answer)]
        return []

    def _relay_probe(self, message: ProbeRequest) -> list[Outgoing]:
        if not self.view.is_peer(message.target):
            return []
        self._sequence += 1
        if len(self._relayed) >= self.view.size():  # the oldest was never answered
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
        """Announce to a few members that this one leaves; they pass it on."""
        self.view.announce(self.view.self_update(MemberState.LEFT))
        alive = self.view.alive_peers()
        chosen = self._rng.sample(alive, min(LEAVE_FANOUT, len(alive)))
        return [Outgoing(name, self.build(Probe, name)) for name in chosen]

    def build(
        self, message_type: Callable[..., MessageT], to: str, include_record: bool = False, **fields: object
    ) -> MessageT:
        """Return a message for a member, with the gossip that it carries.

        Each message to a member that is believed suspect or dead says so, so that it can refute it.
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
    """Return the report that every message makes: its sender is alive."""
    return GossipUpdate(message.sender, STATE_NAMES[MemberState.ALIVE], message.incarnation, message.process_epoch)
