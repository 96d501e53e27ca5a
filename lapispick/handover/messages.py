"""Messages between the two processes of one worker host during an upgrade: one JSON object a line. No I/O.

``VERSION`` is raised by every change that an older process would misread. A process announces the newest and the
oldest version that it speaks in its ``Hello``; both then speak the newest version that both know, and refuse the link
where there is none. Unknown fields are ignored, so a new field with a default needs no new version.

Names on the wire are those of version 1; ``tag`` and ``field(name=...)`` map them to the names used here. Times are
Unix ms.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from lapispick.admission import LearnedEstimates

VERSION = 1  # the newest version spoken; see lapispick/versions.py
MIN_VERSION = 1  # the oldest version still spoken

Key = tuple[str, ...]  # an idempotency key

# Values of ``Hello.listener``.
NO_LISTENER = ""
OWN_LISTENER = "own"
PASSED_LISTENER = "passed"


class Message(msgspec.Struct, frozen=True, tag_field="say"):
    """Base of all messages."""


class Hello(Message, tag="hello"):
    """First message of the new process: a request to link.

    ``listener`` tells on which listening socket it accepts clients already: its own, or the one that an earlier link
    passed to it; empty while it accepts none.
    """

    version: int
    name: str
    listen: str
    listener: str = field(default=NO_LISTENER, name="listens")
    min_version: int = field(default=0, name="lowest")  # the oldest version that it speaks too; 0 = no other


class Welcome(Message, tag="welcome"):
    """The old process accepts; the listening socket was sent just before this."""

    version: int


class LinkRejected(Message, tag="no"):
    """The old process does not accept the link."""

    reason: str = field(name="why")


class RecordSnapshot(Message, tag="known"):
    """A record of the initial snapshot whose request was executed, by either process."""

    key: Key
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")
    completed: bool = field(name="over")
    result: str | None = None


class UnknownOutcomesUntil(Message, tag="doubt"):
    """When a process ended that may have executed requests unknown to the sender; 0 = none did."""

    ended_at_ms: float = field(name="ended")


class SnapshotComplete(Message, tag="whole"):
    """The snapshot is complete."""

    learned: LearnedEstimates | None = None


class KeyClaimed(Message, tag="claimed"):
    """The owner is about to execute a request."""

    key: Key
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")


class ClaimRequest(Message, tag="claim"):
    """The follower asks whether it may execute a request; the reply repeats ``claim_id``."""

    claim_id: int = field(name="number")
    key: Key
    created_at_ms: float = field(name="born")
    expires_at_ms: float = field(name="until")
    request_digest: int = field(name="what")
    is_retry: bool = field(name="redo")


class ClaimGranted(Message, tag="granted"):
    """The follower may execute it."""

    claim_id: int = field(name="number")
    key: Key
    expires_at_ms: float = field(name="until")


class ClaimDenied(Message, tag="denied"):
    """The follower must not: an attempt was executed, as an earlier message said, or may have been."""

    claim_id: int = field(name="number")
    key: Key


class KeyCompleted(Message, tag="over"):
    """An execution has ended; a result of None means that it failed."""

    key: Key
    result: str | None = None


class KeyReleased(Message, tag="freed"):
    """A claimed request was not executed after all; a claim for a later window stands."""

    key: Key
    expires_at_ms: float = field(name="until")


class Serving(Message, tag="serving"):
    """The new process accepts clients."""


class ResourceUsage(Message, tag="usage"):
    """What the sender uses of the budget that both processes share."""

    runs: int
    memory_kb: float = field(name="kb")
    calls: int
    connections: int


class DrainChanged(Message, tag="drain"):
    """Operators began or ended a drain at the sender."""

    draining: bool = field(name="on")


class ShutdownStarted(Message, tag="leaving"):
    """The sender began its graceful shutdown; its latest estimates go with it."""

    learned: LearnedEstimates | None = None


class HandoverComplete(Message, tag="done"):
    """The sender owes no answer any more and exits; its reader owns the keys."""


def negotiate_version(hello: Hello) -> int | None:
    """Return the newest version that both processes speak; None where there is none."""
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
decode = msgspec.json.Decoder(AnyMessage).decode
_encode = msgspec.json.Encoder().encode


def encode(message: Message) -> bytes:
    """Encode a message as one line."""
    return _encode(message) + b"\n"
