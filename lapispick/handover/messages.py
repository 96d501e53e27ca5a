"""Messages between the two processes of one worker host during an upgrade: one JSON object per line. No I/O.

Every change that an older process would misread raises ``VERSION``. In its ``Hello``, a process announces the newest
and the oldest version that it supports. Both then use the newest version that both support; if there is none, the link
is rejected. Unknown fields are ignored, so a new field with a default does not need a new version.

The names on the wire are those of version 1; ``tag`` and ``field(name=...)`` map them to the names used here. Times are
in Unix ms.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from lapispick.admission import LearnedEstimates
from lapispick.json_decoding import json_decoder

VERSION = 1  # the newest supported version; see lapispick/versions.py
MIN_VERSION = 1  # the oldest supported version

Key = tuple[str, ...]  # an idempotency key
_ReceivedKey = tuple[str | int | float | bool | None, ...]  # the parts that earlier versions took as they came

# Values of ``Hello.listener``.
NO_LISTENER = ""
OWN_LISTENER = "own"
PASSED_LISTENER = "passed"


class Message(msgspec.Struct, frozen=True, tag_field="say"):
    """Base of all messages."""


class KeyMessage(Message):
    """Base of all messages with an idempotency key, whose parts are texts whatever the sender made of them."""

    def __post_init__(self) -> None:
        """Convert the parts of the key to text."""
        key: _ReceivedKey = self.key  # type: ignore[attr-defined]  # each message has it at its place on the wire
        if not all(isinstance(part, str) for part in key):
            msgspec.structs.force_setattr(self, "key", tuple(str(part) for part in key))


class Hello(Message, tag="hello"):
    """First message of the new process: a request for a link.

    ``listener`` is the listening socket on which the new process already accepts clients: its own, or the one that it
    received over an earlier link. It is empty while the new process accepts no clients.
    """

    version: int
    name: str
    listen: str
    listener: str = field(default=NO_LISTENER, name="listens")
    min_version: int = field(default=0, name="lowest")  # the oldest version that the sender supports; 0 = no other


class Welcome(Message, tag="welcome"):
    """Acceptance of the link by the old process, which sent its listening socket just before this message."""

    version: int


class LinkRejected(Message, tag="no"):
    """Rejection of the link by the old process."""

    reason: str = field(name="why")


class RecordSnapshot(KeyMessage, tag="known"):
    """Record in the initial snapshot, of a request that either process executed."""

    key: _ReceivedKey
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")
    completed: bool = field(name="over")
    result: str | None = None


class UnknownOutcomesUntil(Message, tag="doubt"):
    """Latest end of a process that may have executed requests unknown to the sender; 0 = there was none."""

    ended_at_ms: float = field(name="ended")


class SnapshotComplete(Message, tag="whole"):
    """End of the initial snapshot, with the estimates that the sender learned."""

    learned: LearnedEstimates | None = None


class KeyClaimed(KeyMessage, tag="claimed"):
    """Announcement that the owner is about to execute a request."""

    key: _ReceivedKey
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")


class ClaimRequest(KeyMessage, tag="claim"):
    """Request of the follower for permission to execute a request; the reply repeats ``claim_id``."""

    claim_id: int = field(name="number")
    key: _ReceivedKey
    created_at_ms: float = field(name="born")
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")
    is_retry: bool = field(name="redo")


class ClaimGranted(KeyMessage, tag="granted"):
    """Permission for the follower to execute the claimed request."""

    claim_id: int = field(name="number")
    key: _ReceivedKey
    expires_at_ms: float = field(name="until")


class ClaimDenied(KeyMessage, tag="denied"):
    """Refusal of a claim: an attempt was executed, as an earlier message announced, or may have been executed."""

    claim_id: int = field(name="number")
    key: _ReceivedKey


class KeyCompleted(KeyMessage, tag="over"):
    """End of an execution, with its result; None means that it failed."""

    key: _ReceivedKey
    result: str | None = None


class KeyReleased(KeyMessage, tag="freed"):
    """Release of a claimed request that was not executed; a claim for a later window stays valid."""

    key: _ReceivedKey
    expires_at_ms: float = field(name="until")


class Serving(Message, tag="serving"):
    """Announcement that the new process accepts clients."""


class ResourceUsage(Message, tag="usage"):
    """Sender's usage of the budget that both processes share."""

    runs: int
    memory_kb: float = field(name="kb")
    calls: int
    connections: int


class DrainChanged(Message, tag="drain"):
    """Last call of operators to begin or end a drain that the sender knows, received by either process.

    ``changed_at_ms`` is the time of the call on the machine's monotonic clock, which both processes share; the later
    call applies. It is 0 in messages of earlier versions, which always apply.
    """

    draining: bool = field(name="on")
    changed_at_ms: float = field(default=0.0, name="at")


class ShutdownStarted(Message, tag="leaving"):
    """Announcement that the sender began its graceful shutdown, with its latest estimates."""

    learned: LearnedEstimates | None = None


class HandoverComplete(Message, tag="done"):
    """Last message: the sender has answered all its requests and exits, and the receiver owns the keys."""


def negotiate_version(hello: Hello) -> int | None:
    """Return the newest version that both processes support, or None if there is none."""
    newest_common = min(VERSION, hello.version)
    oldest_common = max(MIN_VERSION, hello.min_version or hello.version)
    return newest_common if newest_common >= oldest_common else None


AnyMessage = (
    Hello
    | Welcome
    | LinkRejected
    | RecordSnapshot
    | UnknownOutcomesUntil
    | SnapshotComplete
    | KeyClaimed
    | ClaimRequest
    | ClaimGranted
    | ClaimDenied
    | KeyCompleted
    | KeyReleased
    | Serving
    | ResourceUsage
    | DrainChanged
    | ShutdownStarted
    | HandoverComplete
)
decode = json_decoder(AnyMessage)
_encode = msgspec.json.Encoder().encode


def encode(message: Message) -> bytes:
    """Encode a message as one line."""
    return _encode(message) + b"\n"
