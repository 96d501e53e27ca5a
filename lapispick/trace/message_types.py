"""Types of the protobuf messages in a trace file, for annotations; ``schema`` builds the messages themselves.

The messages are built at run time, so a type checker can't see their fields. Each protocol here has the fields of the
message of the same name.
"""

from __future__ import annotations

from collections.abc import Iterator, MutableSequence
from typing import Protocol, TypeVar

Item = TypeVar("Item", covariant=True)


class RepeatedMessages(Protocol[Item]):
    """Repeated field of messages."""

    def add(self, **fields: object) -> Item:
        """Append a message with these fields, and return it."""

    def __iter__(self) -> Iterator[Item]: ...
    def __len__(self) -> int: ...
    def __getitem__(self, index: int) -> Item: ...


class Message(Protocol):
    """Interface that all messages share."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - protobuf defines the name
        """Return the encoded message."""


class MessageType(Protocol[Item]):
    """Class of a message."""

    def __call__(self, **fields: object) -> Item:
        """Return a message with these fields."""

    def FromString(self, data: bytes) -> Item:  # noqa: N802 - protobuf defines the name
        """Return the decoded message."""


class Column(Message, Protocol):
    """Column of a block."""

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
    """Block of steps, stored by column."""

    steps: int
    columns: RepeatedMessages[Column]


class Source(Message, Protocol):
    """Description of one host incarnation in a file's header."""

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
    """Header of a file."""

    sources: RepeatedMessages[Source]
    made: MutableSequence[str]


class Entry(Message, Protocol):
    """Entry of the index: the offset of a block, and the earliest and latest time of its steps."""

    offset: int
    first: float
    last: float
    steps: int


class Index(Message, Protocol):
    """Index of a file."""

    entries: RepeatedMessages[Entry]
