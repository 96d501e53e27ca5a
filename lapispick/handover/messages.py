"""What two processes of one worker host tell each other: one JSON object a line. No I/O.

``VERSION`` counts every change that an older process would misread. A process says in its hello what it speaks at best
and at least, and both speak the newest version that both know; where there is none, they refuse each other plainly. A
field that an older process does not know is left alone by it, so a new field with a default is no new version.
"""

from __future__ import annotations

import msgspec

from lapispick.admission import LearnedEstimates

VERSION, LOWEST = 1, 1  # what is spoken at best, and the oldest that is still spoken; see lapispick/versions.py

Name = tuple[str, ...]  # a key's name


class Message(msgspec.Struct, frozen=True, tag_field="say"):
    """Any message."""


class Hello(Message, tag="hello"):
    """The new process asks to be linked.

    ``listens``: how it takes clients already, by a socket of its ``own`` or the one ``passed`` before; empty = not yet.
    """

    version: int
    name: str
    listen: str
    listens: str = ""
    lowest: int = 0  # the oldest version that it speaks too; 0 = no other


class Welcome(Message, tag="welcome"):
    """The old one agrees; the listening socket came just before this."""

    version: int


class No(Message, tag="no"):
    """The old one does not agree."""

    why: str


class Known(Message, tag="known"):
    """A key of the snapshot that has run, here or there."""

    key: Name
    until: float
    what: int
    over: bool
    result: str | None = None


class Doubt(Message, tag="doubt"):
    """When a process ended, Unix ms, that may have run keys which the sender does not know; 0 = none did."""

    ended: float


class Whole(Message, tag="whole"):
    """The snapshot is complete."""

    learned: LearnedEstimates | None = None


class Claimed(Message, tag="claimed"):
    """The owner is about to run a key."""

    key: Name
    until: float
    what: int


class Claim(Message, tag="claim"):
    """The other process asks whether it may run a key; the answer carries the number."""

    number: int
    key: Name
    born: float
    until: float
    what: int
    redo: bool


class Granted(Message, tag="granted"):
    """It may."""

    number: int
    key: Name
    until: float


class Denied(Message, tag="denied"):
    """It may not: a try has run, which was told before, or may have."""

    number: int
    key: Name


class Over(Message, tag="over"):
    """A run has ended; None: it failed."""

    key: Name
    result: str | None = None


class Freed(Message, tag="freed"):
    """A key that was claimed did not run after all; a claim for a later window stands."""

    key: Name
    until: float


class Serving(Message, tag="serving"):
    """The new process takes clients."""


class Usage(Message, tag="usage"):
    """What the sender has in hand of the one budget that both share."""

    runs: int
    kb: float
    calls: int
    connections: int


class Drain(Message, tag="drain"):
    """Operators began or ended a drain at the sender."""

    on: bool


class Leaving(Message, tag="leaving"):
    """The sender was told to leave; what it has learned since goes with it."""

    learned: LearnedEstimates | None = None


class Done(Message, tag="done"):
    """The sender owes nothing more and ends; whoever reads this owns the keys."""


def agreed(hello: Hello) -> int | None:
    """Return the version that both speak; None where there is none."""
    newest = min(VERSION, hello.version)
    return newest if newest >= max(LOWEST, hello.lowest or hello.version) else None


ANY = (
    Hello
    | Welcome
    | No
    | Known
    | Doubt
    | Whole
    | Claimed
    | Claim
    | Granted
    | Denied
    | Over
    | Freed
    | Serving
    | Usage
    | Drain
    | Leaving
    | Done
)
decode = msgspec.json.Decoder(ANY).decode
_encode = msgspec.json.Encoder().encode


def encode(message: Message) -> bytes:
    """Write a message as a line."""
    return _encode(message) + b"\n"
