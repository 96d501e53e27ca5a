"""Calls between controllers and agents: one line of text in, lines of text out. No I/O.

The first line of an answer begins with ``OK`` or ``ERR``. Each call that changes something carries a fencing token,
``EPOCH.CONTROLLER``: an agent rejects a call with a lower epoch than it has seen, and one with the same epoch from
another controller.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import NamedTuple

import msgspec

VERSION = 1
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,32}")
MAX_CONFIRM_TIMEOUT_S = 864_000
MAX_EPOCH_DIGITS = 12


class Fence(NamedTuple):
    """A fencing token; the controller with the higher epoch is in charge."""

    epoch: int = 0
    controller: str = ""

    def __str__(self) -> str:
        """Return ``EPOCH.CONTROLLER``."""
        return f"{self.epoch}.{self.controller}"


def parse_fence(text: str) -> Fence:
    """Read ``EPOCH.CONTROLLER``; raises ``ValueError``."""
    epoch, dot, controller = text.partition(".")
    if text == str(Fence()):
        return Fence()
    if not dot or not epoch.isdecimal() or len(epoch) > MAX_EPOCH_DIGITS or not NAME_PATTERN.fullmatch(controller):
        raise ValueError(f"{text!r} is no fence such as 12.alpha")
    return Fence(int(epoch), controller)


def is_accepted(current: Fence, requested: Fence) -> bool:
    """Tell whether an agent whose newest fence is ``current`` may carry out a call with ``requested``."""
    return requested.epoch > current.epoch or requested == current


class CallName(StrEnum):
    """The first word of a call."""

    CHANGE = "change"
    RESTART = "restart"
    CONFIRM = "confirm"
    ROLL_BACK = "back"
    TAKE_CONTROL = "steer"


class Change(NamedTuple):
    """Switch to a generation; rolled back unless confirmed within ``confirm_timeout_s`` of accepting clients."""

    fence: Fence
    rollout: str
    generation: str
    confirm_timeout_s: float
    restart: bool = False  # start the same generation anew, as for a matched control host


class Confirm(NamedTuple):
    """Keep what a rollout changed on this host, and make it the generation to roll back to."""

    fence: Fence
    rollout: str


class RollBack(NamedTuple):
    """Go back to the generation that was good before this rollout."""

    fence: Fence
    rollout: str


class TakeControl(NamedTuple):
    """Make this fence the newest one; the answer is the status."""

    fence: Fence


Call = Change | Confirm | RollBack | TakeControl

_ARGUMENT_COUNTS = {
    CallName.TAKE_CONTROL: 1,
    CallName.CONFIRM: 2,
    CallName.ROLL_BACK: 2,
    CallName.CHANGE: 4,
    CallName.RESTART: 4,
}


def encode_call(call: Call) -> str:
    """Write a call as a line, without its end."""
    if isinstance(call, Change):
        name = CallName.RESTART if call.restart else CallName.CHANGE
        return f"{name} {call.fence} {call.rollout} {call.generation} {call.confirm_timeout_s:g}"
    if isinstance(call, Confirm):
        return f"{CallName.CONFIRM} {call.fence} {call.rollout}"
    if isinstance(call, RollBack):
        return f"{CallName.ROLL_BACK} {call.fence} {call.rollout}"
    return f"{CallName.TAKE_CONTROL} {call.fence}"


def decode_call(line: str) -> Call:
    """Read a call; raises ``ValueError`` that says what is wrong."""
    name_text, *arguments = line.split()
    if name_text not in _ARGUMENT_COUNTS:
        raise ValueError(f"unknown call {name_text!r}")
    name = CallName(name_text)
    if len(arguments) != _ARGUMENT_COUNTS[name]:
        raise ValueError(f"{name} takes {_ARGUMENT_COUNTS[name]} words, not {len(arguments)}")
    fence = parse_fence(arguments[0])
    if name is CallName.TAKE_CONTROL:
        return TakeControl(fence)
    rollout = _checked_name(arguments[1], "rollout")
    if name is CallName.CONFIRM:
        return Confirm(fence, rollout)
    if name is CallName.ROLL_BACK:
        return RollBack(fence, rollout)
    timeout_s = _confirm_timeout_s(arguments[3])
    generation = _checked_name(arguments[2], "generation")
    return Change(fence, rollout, generation, timeout_s, name is CallName.RESTART)


def _checked_name(text: str, what: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} names no {what}")
    return text


def _confirm_timeout_s(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s <= MAX_CONFIRM_TIMEOUT_S:
        raise ValueError(f"{text!r} is no span of seconds")
    return timeout_s


class Status(msgspec.Struct, frozen=True):
    """The status of one host as its agent reports it: a line of JSON after ``OK``. Unknown fields are ignored."""

    host: str = msgspec.field(name="box")
    phase: str
    serving: str  # the generation that accepts clients; empty = none does
    good: str
    target: str = msgspec.field(name="wanted")
    rollout: str
    fence: str
    fault: str = ""
    rolled_back_rollout: str = msgspec.field(name="undone", default="")  # whatever the reason was
    confirm_left_s: float = msgspec.field(name="left_s", default=0.0)  # until an unconfirmed change is rolled back
    serving_s: float = msgspec.field(name="since_s", default=0.0)  # since the serving process accepts clients
    started_processes: int = msgspec.field(name="lives", default=0)  # over all restarts of the agent
    crashes: int = 0  # processes that ended without being told to
    generations: tuple[str, ...] = msgspec.field(name="shelf", default=())
    formats: dict[str, tuple[int, int, int]] = msgspec.field(name="speaks", default_factory=dict)
    memory_limit_mb: float = msgspec.field(name="memory_mb", default=0.0)
    version: int = VERSION


_decode_status = msgspec.json.Decoder(Status).decode


def encode_status(status: Status) -> list[str]:
    """Write a status as the lines of an answer."""
    return ["OK", msgspec.json.encode(status).decode()]


def decode_status(lines: list[str]) -> Status:
    """Read the lines of an answer with a status; raises ``ValueError``."""
    if not lines or lines[0] != "OK" or len(lines) < 2:
        raise ValueError(lines[0] if lines else "an empty answer")
    try:
        return _decode_status(lines[1])
    except msgspec.MsgspecError as err:
        raise ValueError(f"that is no state: {err}") from None
