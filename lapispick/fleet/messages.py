"""What the host and its helper process say to each other: JSON, one message a line, over a socket pair."""

from __future__ import annotations

import msgspec

from lapispick.file_errors import FileFault
from lapispick.fleet.host_assembly import Box
from lapispick.fleet.reading import Options

PART = 32  # boxes of one message: it is decoded in far less than a millisecond


class Begin(msgspec.Struct, tag="begin"):
    """To the helper, first: what to read."""

    path: str
    size_most: int
    options: Options
    state_folder: str = ""
    history: int = 20


class Look(msgspec.Struct, tag="look"):
    """To the helper: look at the files and send what changed since the last list."""


class Keep(msgspec.Struct, tag="keep"):
    """To the helper: the list with this digest was accepted; keep it and remember it."""

    digest: str
    at: float
    ground: str
    names: dict[str, list[str]]
    counts: dict[str, int]


class Status(msgspec.Struct, tag="status"):
    """To the helper: what operators should be able to see."""

    told: dict[str, str | int | float | list[str]]


class Kept(msgspec.Struct, tag="kept"):
    """From the helper, first: the last good list, of which ``parts`` follow; none where ``digest`` is empty."""

    parts: int = 0
    digest: str = ""
    at: float = 0.0
    ground: str = ""
    fault: str = ""


class Listed(msgspec.Struct, tag="listed"):
    """From the helper: what a look found. ``parts`` with the changes since the last list follow."""

    parts: int = 0
    digest: str = ""
    faults: tuple[FileFault, ...] = ()
    left_out: int = 0
    unfinished: str = ""
    accept: str = ""
    took_ms: float = 0.0


class Part(msgspec.Struct, tag="part"):
    """From the helper: boxes that came or changed, and names that went."""

    put: list[Box] = []  # msgspec copies it
    gone: list[str] = []


class Trouble(msgspec.Struct, tag="trouble"):
    """From the helper: the state folder can't be written."""

    text: str


ToHelper = Begin | Look | Keep | Status
FromHelper = Kept | Listed | Part | Trouble
