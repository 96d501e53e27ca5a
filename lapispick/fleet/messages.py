"""Messages between the host and its helper process: JSON, one message per line, over a socket pair.

Another version of the program may read them, so tags and encoded field names must not change.
"""

from __future__ import annotations

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.reading import Options

MAX_CHUNK_HOSTS = 32  # the host decodes this many in far less than a millisecond


class Begin(msgspec.Struct, tag="begin"):
    """First message to the helper: the files to read, and the options."""

    path: str
    max_bytes: int = msgspec.field(name="size_most")
    options: Options
    state_folder: str = ""
    max_history: int = msgspec.field(default=20, name="history")


class Poll(msgspec.Struct, tag="look"):
    """Request to the helper to read the files and send the changes since the list that it sent last."""


class SaveAccepted(msgspec.Struct, tag="keep"):
    """Request to the helper to write the accepted list with this digest and its history entry."""

    digest: str
    at: float  # Unix seconds
    reason: str = msgspec.field(name="ground")
    names: dict[str, list[str]]  # by field of ``Difference``
    counts: dict[str, int]


class SaveStatus(msgspec.Struct, tag="status"):
    """Request to the helper to write the status that commands show to operators."""

    status: dict[str, str | int | float | list[str]] = msgspec.field(name="told")


class LastGoodLoaded(msgspec.Struct, tag="kept"):
    """First message from the helper: the last good list, in the chunks that follow; none if ``digest`` is empty."""

    chunk_count: int = msgspec.field(default=0, name="parts")
    digest: str = ""
    at: float = 0.0  # Unix seconds when it was accepted
    reason: str = msgspec.field(default="", name="ground")
    fault: str = ""


class Polled(msgspec.Struct, tag="listed"):
    """Reply of the helper to ``Poll``; ``chunk_count`` chunks with the changes since the last sent list follow."""

    chunk_count: int = msgspec.field(default=0, name="parts")
    digest: str = ""
    faults: tuple[FileFault, ...] = ()
    omitted_faults: int = msgspec.field(default=0, name="left_out")
    incomplete_reason: str = msgspec.field(default="", name="unfinished")
    operator_digest: str = msgspec.field(default="", name="accept")
    duration_ms: float = msgspec.field(default=0.0, name="took_ms")


class Chunk(msgspec.Struct, tag="part"):
    """Part of a list from the helper: hosts that were added or changed, and names that were removed."""

    updated: list[InventoryHost] = msgspec.field(default_factory=list, name="put")
    removed: list[str] = msgspec.field(default_factory=list, name="gone")


class StateFolderFailed(msgspec.Struct, tag="trouble"):
    """Report of the helper that the state folder can't be written."""

    text: str


ToHelper = Begin | Poll | SaveAccepted | SaveStatus
FromHelper = LastGoodLoaded | Polled | Chunk | StateFolderFailed
