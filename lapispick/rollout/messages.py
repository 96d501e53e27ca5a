"""The calls between controllers and agents: the operators' form, one line in, lines out. No I/O.

The answer's first line begins with ``OK`` or ``ERR``. Each call that changes something carries a fence, ``EPOCH.WHO``:
agents take none with a lower epoch than they have heard of, nor with the same epoch of somebody else.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import msgspec

VERSION = 1
NAME = re.compile(r"[A-Za-z0-9._-]{1,32}")
LINE_MOST = 128  # bytes of a call, as the operators' address has it


class Fence(NamedTuple):
    """Who steers: the higher epoch counts."""

    epoch: int = 0
    who: str = ""

    def __str__(self) -> str:
        """Return ``EPOCH.WHO``."""
        return f"{self.epoch}.{self.who}"


def fence(text: str) -> Fence:
    """Read ``EPOCH.WHO``; raises ``ValueError``."""
    epoch, dot, who = text.partition(".")
    if text == str(Fence()):
        return Fence()
    if not dot or not epoch.isdecimal() or len(epoch) > 12 or not NAME.fullmatch(who):
        raise ValueError(f"{text!r} is no fence such as 12.alpha")
    return Fence(int(epoch), who)


def admits(held: Fence, asked: Fence) -> bool:
    """Tell whether a call with this fence may be carried out by an agent that has heard of that one."""
    return asked.epoch > held.epoch or asked == held


class Change(NamedTuple):
    """Go over to a generation; undone unless it is confirmed within a span after it serves."""

    fence: Fence
    rollout: str
    generation: str
    confirm_s: float
    again: bool = False  # the same generation is started anew, as a matched control is


class Confirm(NamedTuple):
    """What a rollout made of this box is good, and is what to go back to from now on."""

    fence: Fence
    rollout: str


class Back(NamedTuple):
    """Go back to what was good before this rollout."""

    fence: Fence
    rollout: str


class Steer(NamedTuple):
    """From now on this fence counts; the answer is the state."""

    fence: Fence


Call = Change | Confirm | Back | Steer


def write(call: Call) -> str:
    """Write a call as a line, without its end."""
    if isinstance(call, Change):
        return (
            f"{'restart' if call.again else 'change'} {call.fence} {call.rollout} {call.generation} {call.confirm_s:g}"
        )
    if isinstance(call, Confirm):
        return f"confirm {call.fence} {call.rollout}"
    if isinstance(call, Back):
        return f"back {call.fence} {call.rollout}"
    return f"steer {call.fence}"


def _name(text: str, what: str) -> str:
    if not NAME.fullmatch(text):
        raise ValueError(f"{text!r} names no {what}")
    return text


def read(line: str) -> Call:
    """Read a call; raises ``ValueError`` with what is wrong."""
    word, *rest = line.split()
    counts = {"steer": 1, "confirm": 2, "back": 2, "change": 4, "restart": 4}
    if word not in counts:
        raise ValueError(f"unknown call {word!r}")
    if len(rest) != counts[word]:
        raise ValueError(f"{word} takes {counts[word]} words, not {len(rest)}")
    by = fence(rest[0])
    if word == "steer":
        return Steer(by)
    rollout = _name(rest[1], "rollout")
    if word == "confirm":
        return Confirm(by, rollout)
    if word == "back":
        return Back(by, rollout)
    try:
        span = float(rest[3])
    except ValueError:
        span = -1.0
    if not 0 < span <= 864_000:
        raise ValueError(f"{rest[3]!r} is no span of seconds")
    return Change(by, rollout, _name(rest[2], "generation"), span, word == "restart")


class Status(msgspec.Struct, frozen=True):
    """What an agent says of its box; a line of JSON after ``OK``. A reader leaves alone what it does not know."""

    box: str
    phase: str
    serving: str  # the generation that takes clients; empty = none does
    good: str
    wanted: str
    rollout: str
    fence: str
    fault: str = ""
    undone: str = ""  # the rollout that was last undone here, by whatever ground
    left_s: float = 0.0  # until an unconfirmed change is undone
    since_s: float = 0.0  # since the serving process takes clients
    lives: int = 0  # processes that were started by this agent, over all its own lives
    crashes: int = 0  # of them that ended without being told
    shelf: tuple[str, ...] = ()
    speaks: dict[str, tuple[int, int, int]] = {}
    memory_mb: float = 0.0  # the host's limit
    version: int = VERSION


_status = msgspec.json.Decoder(Status).decode


def told(status: Status) -> list[str]:
    """Write a state as an answer."""
    return ["OK", msgspec.json.encode(status).decode()]


def heard(lines: list[str]) -> Status:
    """Read an answer with a state; raises ``ValueError``."""
    if not lines or lines[0] != "OK" or len(lines) < 2:
        raise ValueError(lines[0] if lines else "an empty answer")
    try:
        return _status(lines[1])
    except msgspec.MsgspecError as err:
        raise ValueError(f"that is no state: {err}") from None
