"""The types of the protobuf messages in a trace file, for annotations; ``schema`` builds the messages themselves.

The messages are built at run time, so that a type checker can't see their fields. Each protocol here has the fields of
the message that it is named after.
"""

from __future__ import annotations

from collections.abc import Iterator, MutableSequence
from typing import Protocol, TypeVar

Item = TypeVar("Item", covariant=True)


class RepeatedMessages(Protocol[Item]):
    """A repeated field of messages."""

    def add(self, **fields: object) -> Item:
        """Append a message with these fields, and return it."""

    def __iter__(self) -> Iterator[Item]: ...
    def __len__(self) -> int: ...
    def __getitem__(self, index: int) -> Item: ...


class Message(Protocol):
    """What all messages can do."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - the name is the library's
        """Return the message's bytes."""


class MessageType(Protocol[Item]):
    """The type of a message."""

    def __call__(self, **fields: object) -> Item:
        """Return a message with these fields."""

    def FromString(self, data: bytes) -> Item:  # noqa: N802 - the name is the library's
        """Return the message that was encoded."""


class Column(Message, Protocol):
    """A column of a block."""

    record: int
    field: int
    form: int
    scale: int
    delta: bool
    width: int
    against: int
    words: MutableSequence[bytes]
    data: bytes


class Block(Message, Protocol):
    """A block."""

    steps: int
    columns: RepeatedMessages[Column]


class Source(Message, Protocol):
    """One incarnation of a host, in a file's header."""

    box: str
    incarnation: str
    sequence: int
    started_ms: float
    module_now: float
    seed: int
    settings: bytes
    module: str
    created_ms: float
    classes: MutableSequence[str]
    accounts: MutableSequence[str]
    offset: float
    drift: float
    at: float
    error: float


class Header(Message, Protocol):
    """The header of a file."""

    sources: RepeatedMessages[Source]
    made: MutableSequence[str]


class Entry(Message, Protocol):
    """An entry of the index: where a block is."""

    offset: int
    first: float
    last: float
    steps: int


class Index(Message, Protocol):
    """The index of a file."""

    entries: RepeatedMessages[Entry]
