"""Calls between controllers and agents: a call is one line of text, its answer one or more. No I/O.

The first line of an answer begins with ``OK`` or ``ERR``. Each call that changes something carries a fencing token,
``EPOCH.CONTROLLER``: an agent rejects a call with a lower epoch than the newest it has seen, or with that epoch from
another controller.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import NamedTuple

import msgspec

from lapispick.json_decoding import json_decoder

VERSION = 1
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,32}")
MAX_CONFIRM_TIMEOUT_S = 864_000
MAX_EPOCH_DIGITS = 12


class Fence(NamedTuple):
    """Fencing token; an agent accepts calls only from the controller with the highest epoch that it has seen."""

    epoch: int = 0
    controller: str = ""

    def __str__(self) -> str:
        """Return ``EPOCH.CONTROLLER``."""
        return f"{self.epoch}.{self.controller}"


def parse_fence(text: str) -> Fence:
    """Parse ``EPOCH.CONTROLLER``; raises ``ValueError``."""
    epoch, dot, controller = text.partition(".")
    if text == str(Fence()):
        return Fence()
    if not dot or not epoch.isdecimal() or len(epoch) > MAX_EPOCH_DIGITS or not NAME_PATTERN.fullmatch(controller):
        raise ValueError(f"{text!r} is no fence such as 12.alpha")
    return Fence(int(epoch), controller)


def is_fence_accepted(current: Fence, requested: Fence) -> bool:
    """Return True if an agent whose newest fence is ``current`` accepts a call with the fence ``requested``."""
    return requested.epoch > current.epoch or requested == current


class CallName(StrEnum):
    """Name of a call, its first word."""

    CHANGE = "change"
    RESTART = "restart"
    CONFIRM = "confirm"
    ROLL_BACK = "back"
    TAKE_CONTROL = "steer"


class Change(NamedTuple):
    """Call to switch to a generation.

    The change is rolled back unless it is confirmed within ``confirm_timeout_s`` after the new process accepts clients.
    """

    fence: Fence
    rollout: str
    generation: str
    confirm_timeout_s: float
    restart: bool = False  # start a new process even if the generation serves already, as on a matched control host


class Confirm(NamedTuple):
    """Call to keep the generation of a rollout, and to make it the good one, to which later changes are rolled back."""

    fence: Fence
    rollout: str


class RollBack(NamedTuple):
    """Call to return to the generation that was good before this rollout."""

    fence: Fence
    rollout: str


class TakeControl(NamedTuple):
    """Call to make this fence the newest one; the answer is the status."""

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
    """Return a call as a line, without a newline."""
    if isinstance(call, Change):
        name = CallName.RESTART if call.restart else CallName.CHANGE
        return f"{name} {call.fence} {call.rollout} {call.generation} {call.confirm_timeout_s:g}"
    if isinstance(call, Confirm):
        return f"{CallName.CONFIRM} {call.fence} {call.rollout}"
    if isinstance(call, RollBack):
        return f"{CallName.ROLL_BACK} {call.fence} {call.rollout}"
    return f"{CallName.TAKE_CONTROL} {call.fence}"


def decode_call(line: str) -> Call:
    """Parse a call; raises ``ValueError`` with the text for the answer."""
    name_text, *arguments = line.split()
    if name_text not in _ARGUMENT_COUNTS:
        raise ValueError(f"unknown call {name_text!r}")
    name = CallName(name_text)
    if len(arguments) != _ARGUMENT_COUNTS[name]:
        raise ValueError(f"{name} takes {_ARGUMENT_COUNTS[name]} words, not {len(arguments)}")
    fence = parse_fence(arguments[0])
    if name is CallName.TAKE_CONTROL:
        return TakeControl(fence)
    rollout = _parse_name(arguments[1], "rollout")
    if name is CallName.CONFIRM:
        return Confirm(fence, rollout)
    if name is CallName.ROLL_BACK:
        return RollBack(fence, rollout)
    timeout_s = _parse_confirm_timeout(arguments[3])
    generation = _parse_name(arguments[2], "generation")
    return Change(fence, rollout, generation, timeout_s, name is CallName.RESTART)


def _parse_name(text: str, kind: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} names no {kind}")
    return text


def _parse_confirm_timeout(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s <= MAX_CONFIRM_TIMEOUT_S:
        raise ValueError(f"{text!r} is no span of seconds")
    return timeout_s


class Status(msgspec.Struct, frozen=True):
    """Status of one host as its agent reports it: a line of JSON after ``OK``; unknown fields are ignored."""

    host: str = msgspec.field(name="box")
    phase: str
    serving: str  # the generation whose process accepts clients; empty = none does
    good: str
    target: str = msgspec.field(name="wanted")
    rollout: str
    fence: str
    fault: str = ""
    rolled_back_rollout: str = msgspec.field(name="undone", default="")  # the last one, for any reason
    confirm_left_s: float = msgspec.field(name="left_s", default=0.0)  # until an unconfirmed change is rolled back
    serving_s: float = msgspec.field(name="since_s", default=0.0)  # how long the serving process has been serving
    started_processes: int = msgspec.field(name="lives", default=0)  # in total, across restarts of the agent
    crashes: int = 0  # processes that ended unexpectedly
    generations: tuple[str, ...] = msgspec.field(name="shelf", default=())
    formats: dict[str, tuple[int, int, int]] = msgspec.field(name="speaks", default_factory=dict)
    memory_limit_mb: float = msgspec.field(name="memory_mb", default=0.0)
    version: int = VERSION


_decode_status = json_decoder(Status)


def encode_status(status: Status) -> list[str]:
    """Return a status as the lines of an answer."""
    return ["OK", msgspec.json.encode(status).decode()]


def decode_status(lines: list[str]) -> Status:
    """Parse the lines of an answer that holds a status; raises ``ValueError``."""
    if not lines or lines[0] != "OK" or len(lines) < 2:
        raise ValueError(lines[0] if lines else "the agent's answer is empty")
    try:
        return _decode_status(lines[1])
    except msgspec.MsgspecError as err:
        raise ValueError(f"invalid status of the agent: {err}") from None
