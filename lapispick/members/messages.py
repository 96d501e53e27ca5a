"""Messages between cluster members: one JSON object a datagram. No I/O.

Each message carries the cluster's name, the sender's process epoch and incarnation, and the newest protocol version
that the sender speaks (``lapispick/versions.py``). ``Probe``, ``Ack`` and ``ProbeRequest`` belong to the failure
detector, ``LeaseProposalMessage``, ``LeaseVoteMessage`` and ``LeaseReleaseMessage`` to the quorum leases. ``StateSync``
carries the complete state, is too long for a datagram and goes over a stream, as one line.

The names on the wire are those of protocol version 1; ``msgspec.field(name=...)`` and ``tag=...`` map them here and
nowhere else. ``GossipUpdate`` and ``Fact`` are sent as arrays, by position.
"""

from __future__ import annotations

import msgspec

from lapispick.members.leases import LeaseProposal, LeaseRelease, LeaseVote

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits every link's MTU without fragmentation
MAX_UPDATES = 8  # in one message
MAX_FACTS = 4  # in one message
MAX_EPOCH = 1 << 50  # a higher epoch or incarnation could never be superseded
MAX_TEXT_LENGTH = 64  # characters of a fact's subject or text


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What somebody reports of a member's state in one incarnation of one process epoch.

    ``state`` is a name of ``member_state.STATES_BY_NAME``; later versions may send others, which are ignored.
    ``witness`` names the member whose own probe went unanswered; it is empty when a suspicion is only forwarded.
    """

    name: str
    state: str
    incarnation: int
    process_epoch: int
    witness: str = ""


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One observation of its author. A higher (process epoch, sequence) of the same kind and subject replaces it."""

    author: str
    process_epoch: int
    sequence: int
    kind: str
    subject: str
    value: float
    sample_count: int = 1
    age_s: float = 0.0  # when it was sent
    author_health: int = 0  # the author's local health score; 0 is healthy
    text: str = ""


class Message(msgspec.Struct, frozen=True, tag_field="say"):
    """What all messages carry. ``configuration_digest`` identifies the sender's accepted list of members."""

    fleet: str
    sender: str
    process_epoch: int = msgspec.field(name="life")
    incarnation: int
    updates: tuple[GossipUpdate, ...] = msgspec.field(default=(), name="rumours")
    configuration_digest: str = msgspec.field(default="", name="list")
    facts: tuple[Fact, ...] = ()
    version: int = PROTOCOL_VERSION


class Probe(Message, tag="probe"):
    """Ask the receiver for an ``Ack``; ``requester`` is the member on whose behalf an indirect probe is sent."""

    sequence: int = msgspec.field(default=0, name="number")
    requester: str = msgspec.field(default="", name="asker")


class Ack(Message, tag="ack"):
    """Answer a probe; ``target`` names the member that answered an indirect probe."""

    sequence: int = msgspec.field(default=0, name="number")
    target: str = msgspec.field(default="", name="of")


class ProbeRequest(Message, tag="ask"):
    """Ask the receiver to probe ``target``, which did not answer the sender (SWIM's ping-req)."""

    sequence: int = msgspec.field(default=0, name="number")
    target: str = ""


class LeaseProposalMessage(Message, tag="claims"):
    """Ask the receiver, as a voter, to grant a lease."""

    proposal: LeaseProposal | None = msgspec.field(default=None, name="claim")


class LeaseVoteMessage(Message, tag="votes"):
    """Answer a lease proposal."""

    vote: LeaseVote | None = None


class LeaseReleaseMessage(Message, tag="releases"):
    """Give a lease, or a failed proposal, back."""

    release: LeaseRelease | None = None


class StateSync(Message, tag="whole"):
    """The sender's complete state, for anti-entropy over a stream; ``is_reply`` is set in the answer to one."""

    member_states: tuple[GossipUpdate, ...] = msgspec.field(default=(), name="states")
    all_facts: tuple[Fact, ...] = msgspec.field(default=(), name="held")
    is_reply: bool = msgspec.field(default=False, name="answer")


AnyMessage = Probe | Ack | ProbeRequest | LeaseProposalMessage | LeaseVoteMessage | LeaseReleaseMessage | StateSync
decode = msgspec.json.Decoder(AnyMessage).decode
_encode = msgspec.json.Encoder().encode


def encode(message: Message) -> bytes:
    """Return a message as JSON."""
    return _encode(message)


def encode_datagram(message: Message) -> bytes:
    """Return a message as JSON of at most ``MAX_DATAGRAM_BYTES``; facts, then gossip updates, are left out to fit."""
    data = _encode(message)
    while len(data) > MAX_DATAGRAM_BYTES and (message.facts or message.updates):
        if message.facts:
            message = msgspec.structs.replace(message, facts=message.facts[:-1])
        else:
            message = msgspec.structs.replace(message, updates=message.updates[:-1])
        data = _encode(message)
    return data
