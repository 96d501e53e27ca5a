"""The messages on the link to the executor: commands from this host and notices from the executor, as JSON lines."""

from __future__ import annotations

from typing import Literal

import msgspec

from lapispick.host.streams import Stream
from lapispick.json_decoding import whole_number

LOG = "executor"  # name of the logger of the link and its commands

# Nonces of METER commands. The executor answers them in order with its other messages.
GAUGES_NONCE = "tick"  # with a number: requests the gauges; the answer shows that all earlier commands were read
FENCE_NONCE = "fence"  # the answer shows that all notices from the time without a link were read
DRAIN_NONCE = "last"  # the answer shows that all earlier commands were carried out

CommandVerb = Literal["JOIN", "EXEC", "KILL", "WAKE", "RETURN", "BYPASS", "METER", "DIAG"]


class Command(msgspec.Struct):
    """A message to the executor; fields that are not set are not sent."""

    verb: CommandVerb
    request_id: str | msgspec.UnsetType = msgspec.field(name="task", default=msgspec.UNSET)
    class_name: str | msgspec.UnsetType = msgspec.field(name="handler", default=msgspec.UNSET)
    body: str | msgspec.UnsetType = msgspec.field(name="bytes", default=msgspec.UNSET)  # base64
    index: int | msgspec.UnsetType = msgspec.UNSET
    nonce: str | msgspec.UnsetType = msgspec.UNSET


class Notice(msgspec.Struct):
    """Any message from the executor."""

    verb: str
    index: int | float = 0  # number of a notice that the executor sends again after a lost link; 0 = never sent again
    request_id: str = msgspec.field(name="task", default="")
    outcome: str = ""
    duration_ms: float = msgspec.field(name="spent", default=0.0)  # of a run; in a WELCOME the executor's uptime
    body: str = msgspec.field(name="bytes", default="")  # base64
    nonce: str = ""
    gauges: tuple[float, ...] = msgspec.field(name="readings", default=())

    def __post_init__(self) -> None:
        """Convert the index to ``int``."""
        if type(self.index) is float:
            self.index = whole_number(self.index)


_encode = msgspec.json.Encoder().encode


def write_command(stream: Stream, command: Command) -> None:
    """Write a command as one line, without waiting."""
    stream.write(_encode(command) + b"\n")
