"""What members tell each other: one JSON object a datagram, in the form of ``handover/messages.py``. No I/O.

Every word bears the fleet's name, the sender's life, and the newest version that the sender speaks; the rule is that of
``versions.py``. A word of another fleet, of a box that the list does not name, or of an older life is counted and
dropped by the view, not here. ``Whole`` is too long for a datagram and goes over a stream, as a line.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lapispick.members.leases import Claim, Release, Vote

VERSION, LOWEST = 1, 1
LONGEST = 1200  # bytes of a datagram, which every link carries whole
RUMOURS_MOST = 8  # in one word
FACTS_MOST = 4  # in one word
LIFE_MOST = 1 << 50  # no start and no refutation comes to this; it would beat all that is true
TEXT_MOST = 64  # characters of a fact's kind, subject or text


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """What somebody says of a member's state in one incarnation of it."""

    name: str
    state: str
    incarnation: int
    life: int
    by: str = ""  # of a suspicion: who got no answer itself; whoever only passes it on is no witness


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """A small fact of its author's, as old as it was when it was sent; the later number of a life replaces others."""

    author: str
    life: int
    number: int
    kind: str
    subject: str
    value: float
    count: int = 1  # how many observations it rests on
    age: float = 0.0  # s
    health: int = 0  # of its author when it said so; 0 is well
    text: str = ""


class Word(msgspec.Struct, frozen=True, tag_field="say"):
    """Any word. ``list`` is the digest of the accepted list that the sender has."""

    fleet: str
    sender: str
    life: int
    incarnation: int
    rumours: tuple[Rumour, ...] = ()
    list: str = ""
    facts: tuple[Fact, ...] = ()
    version: int = VERSION


class Probe(Word, tag="probe"):
    """Say that you are there; ``asker`` is whom it is for, where it is asked on behalf of somebody."""

    number: int = 0
    asker: str = ""


class Ack(Word, tag="ack"):
    """I am there, in answer to that number; or ``of`` is, whom I asked for you."""

    number: int = 0
    of: str = ""


class Ask(Word, tag="ask"):
    """Probe ``target`` for me: I got no answer."""

    number: int = 0
    target: str = ""


class Claims(Word, tag="claims"):
    """I claim a slot of a turn."""

    claim: Claim | None = None


class Votes(Word, tag="votes"):
    """My answer to your claim."""

    vote: Vote | None = None


class Releases(Word, tag="releases"):
    """I am done with a slot."""

    release: Release | None = None


class Whole(Word, tag="whole"):
    """All that I hold; over a stream. ``answer`` is set in the answer to one."""

    states: tuple[Rumour, ...] = ()
    held: tuple[Fact, ...] = ()
    answer: bool = False


ANY = Probe | Ack | Ask | Claims | Votes | Releases | Whole
decode = msgspec.json.Decoder(ANY).decode
_encode = msgspec.json.Encoder().encode
W = TypeVar("W", bound=Word)


def encode(word: Word) -> bytes:
    """Write a word."""
    return _encode(word)


def datagram(word: Word) -> bytes:
    """Write a word so that a link carries it whole: what is least needed is left out, and told another time."""
    data = _encode(word)
    while len(data) > LONGEST and (word.facts or word.rumours):
        if word.facts:
            word = msgspec.structs.replace(word, facts=word.facts[:-1])
        else:
            word = msgspec.structs.replace(word, rumours=word.rumours[:-1])
        data = _encode(word)
    return data
