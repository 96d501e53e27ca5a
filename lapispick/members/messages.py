"""Messages between cluster members: one JSON object per datagram. No I/O.

Each message carries the cluster's name, the sender's process epoch and incarnation, and the newest protocol version
that the sender supports (``lapispick/versions.py``). The failure detector uses ``Probe``, ``Ack`` and ``ProbeRequest``;
the quorum leases use ``LeaseProposalMessage``, ``LeaseVoteMessage`` and ``LeaseReleaseMessage``. ``StateSync`` carries
the sender's complete state. It is too long for a datagram and is sent over a stream, as one line.

The field names on the wire are those of protocol version 1. Only this module and ``leases.py`` map them to attributes,
with ``msgspec.field(name=...)`` and ``tag=...``. ``GossipUpdate`` and ``Fact`` are sent as arrays, in field order.
"""

from __future__ import annotations

import msgspec

from lapispick.json_decoding import json_decoder
from lapispick.members.leases import LeaseProposal, LeaseRelease, LeaseVote

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits the MTU of every link without fragmentation
MAX_UPDATES = 8  # gossip updates in one message
MAX_FACTS = 4  # facts sent in one message
MAX_EPOCH = 1 << 50  # limits epochs and incarnations, so that each accepted one can be superseded
MAX_TEXT_LENGTH = 64  # in characters, of the subject or text of a fact


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Reported state of a member, in one incarnation of one process epoch.

    ``state`` is a key of ``member_state.STATES_BY_NAME``. Later versions may send other states, which are ignored.
    ``witness`` is the member whose own probe was not answered. It is empty for other states than suspect, and in the
    report of a stored suspicion (``MemberRecord.as_update``).
    """

    name: str
    state: str
    incarnation: int
    process_epoch: int
    witness: str = ""


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """Observation published by one member, the author.

    A fact of the same author, kind and subject with a higher (process epoch, sequence) replaces it.
    """

    author: str
    process_epoch: int
    sequence: int
    kind: str
    subject: str
    value: float
    sample_count: int = 1
    age_s: float = 0.0  # at the time of sending
    author_health: int = 0  # the author's local health score; 0 is healthy
    text: str = ""


class Message(msgspec.Struct, frozen=True, tag_field="say"):
    """Fields of all messages. ``configuration_digest`` identifies the sender's accepted list of members."""

    fleet: str
    sender: str
    process_epoch: int = msgspec.field(name="life")
    incarnation: int
    updates: tuple[GossipUpdate, ...] = msgspec.field(default=(), name="rumours")
    configuration_digest: str = msgspec.field(default="", name="list")
    facts: tuple[Fact, ...] = ()
    version: int = PROTOCOL_VERSION


class Probe(Message, tag="probe"):
    """Request for an ``Ack``; ``requester`` is the member that asked for an indirect probe, else empty."""

    sequence: int = msgspec.field(default=0, name="number")
    requester: str = msgspec.field(default="", name="asker")


class Ack(Message, tag="ack"):
    """Answer to a probe; ``target`` is the member that answered an indirect probe, else empty."""

    sequence: int = msgspec.field(default=0, name="number")
    target: str = msgspec.field(default="", name="of")


class ProbeRequest(Message, tag="ask"):
    """Request to probe ``target``, which did not answer the sender (SWIM's ping-req)."""

    sequence: int = msgspec.field(default=0, name="number")
    target: str = ""


class LeaseProposalMessage(Message, tag="claims"):
    """Proposal that the receiver, as a voter, grants a lease."""

    proposal: LeaseProposal | None = msgspec.field(default=None, name="claim")


class LeaseVoteMessage(Message, tag="votes"):
    """Answer to a lease proposal."""

    vote: LeaseVote | None = None


class LeaseReleaseMessage(Message, tag="releases"):
    """Release of a lease or of a failed proposal."""

    release: LeaseRelease | None = None


class StateSync(Message, tag="whole"):
    """Complete state of the sender, for anti-entropy over a stream; ``is_reply`` is set in the answer to another."""

    member_states: tuple[GossipUpdate, ...] = msgspec.field(default=(), name="states")
    all_facts: tuple[Fact, ...] = msgspec.field(default=(), name="held")
    is_reply: bool = msgspec.field(default=False, name="answer")


AnyMessage = Probe | Ack | ProbeRequest | LeaseProposalMessage | LeaseVoteMessage | LeaseReleaseMessage | StateSync
decode = json_decoder(AnyMessage)
_encode = msgspec.json.Encoder().encode


def encode(message: Message) -> bytes:
    """Return the JSON of a message."""
    return _encode(message)


def encode_datagram(message: Message) -> bytes:
    """Return the JSON of a message, at most ``MAX_DATAGRAM_BYTES`` long.

    A message that is too long loses its last facts, then its last gossip updates.
    """
    data = _encode(message)
    while len(data) > MAX_DATAGRAM_BYTES and (message.facts or message.updates):
        if message.facts:
            message = msgspec.structs.replace(message, facts=message.facts[:-1])
        else:
            message = msgspec.structs.replace(message, updates=message.updates[:-1])
        data = _encode(message)
    return data
