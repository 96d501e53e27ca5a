"""The messages between the host and its helper process: JSON, one message a line, over a socket pair.

Another version of the program may read them: tags and encoded field names stay as they are.
"""

from __future__ import annotations

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.reading import ReadOptions

MAX_CHUNK_HOSTS = 32  # the host decodes so many in far less than a millisecond


class Begin(msgspec.Struct, tag="begin"):
    """To the helper, first: what to read."""

    path: str
    max_bytes: int = msgspec.field(name="size_most")
    options: ReadOptions
    state_folder: str = ""
    max_history: int = msgspec.field(default=20, name="history")


class Poll(msgspec.Struct, tag="look"):
    """To the helper: read the files and send what changed since the last list."""


class SaveAccepted(msgspec.Struct, tag="keep"):
    """To the helper: the list with this digest was accepted; write it and its line of the history."""

    digest: str
    at: float  # Unix seconds
    reason: str = msgspec.field(name="ground")
    names: dict[str, list[str]]  # by field of ``Difference``
    counts: dict[str, int]


class SaveStatus(msgspec.Struct, tag="status"):
    """To the helper: write what operators should be able to see."""

    status: dict[str, str | int | float | list[str]] = msgspec.field(name="told")


class LastGoodLoaded(msgspec.Struct, tag="kept"):
    """From the helper, first: the last good list, sent as so many chunks; none where ``digest`` is empty."""

    chunk_count: int = msgspec.field(default=0, name="parts")
    digest: str = ""
    at: float = 0.0  # Unix seconds when it was accepted
    reason: str = msgspec.field(default="", name="ground")
    fault: str = ""


class Polled(msgspec.Struct, tag="listed"):
    """From the helper: what a poll found. So many chunks with the changes since the last list follow."""

    chunk_count: int = msgspec.field(default=0, name="parts")
    digest: str = ""
    faults: tuple[FileFault, ...] = ()
    omitted_faults: int = msgspec.field(default=0, name="left_out")
    incomplete_reason: str = msgspec.field(default="", name="unfinished")
    operator_digest: str = msgspec.field(default="", name="accept")
    duration_ms: float = msgspec.field(default=0.0, name="took_ms")


class Chunk(msgspec.Struct, tag="part"):
    """From the helper: hosts that were added or changed, and names that were removed."""

    updated: list[InventoryHost] = msgspec.field(default_factory=list, name="put")
    removed: list[str] = msgspec.field(default_factory=list, name="gone")


class StateFolderFailed(msgspec.Struct, tag="trouble"):
    """From the helper: the state folder can't be written."""

    text: str


ToHelper = Begin | Poll | SaveAccepted | SaveStatus
FromHelper = LastGoodLoaded | Polled | Chunk | StateFolderFailed
