"""The simulator's wire from the simulator's side: encodes batches of events, decodes replies.

It has struct tables of its own, as it must keep working whatever the project's modules are called. Codes have the names
of the wire's description.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import IO, NamedTuple

BATCH_HEADER = struct.Struct(">IdI")
REPLY_HEADER = struct.Struct(">III")
LENGTH_BYTES = 4
TEXT_LENGTH = struct.Struct(">H")


class Outcome(IntEnum):
    """How a run or a call ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class ActionCode(IntEnum):
    """The action codes of a reply."""

    DISPATCH = 1
    PIN = 2
    INVOKE = 3
    SAY = 4
    FATAL = 5
    JOIN = 6
    EMIT = 7
    YANK = 8
    IDLE_LIMIT = 9
    SAY_NO = 10
    GO_ON = 11
    RELEASE_KEY = 12
    MARK_HEALTH = 13
    ARM = 14
    REPORT_FAILURE = 15


class EventCode(IntEnum):
    """The event codes of a batch."""

    RUN_OVER = 1
    BORN = 2
    BLOCKED = 3
    HANGUP = 4
    KNOCK = 5
    CAME_BACK = 6
    KILL = 7
    DEADLINE_HIT = 8
    TERMINATE_SOON = 9


TEXT_CODES = (ActionCode.FATAL, ActionCode.EMIT)
ACTION_FIELDS = {
    ActionCode.DISPATCH: struct.Struct(">Q"),
    ActionCode.PIN: struct.Struct(">Qd"),
    ActionCode.INVOKE: struct.Struct(">Qd"),
    ActionCode.SAY: struct.Struct(">f"),
    ActionCode.JOIN: struct.Struct(">Q"),
    ActionCode.YANK: struct.Struct(">Q"),
    ActionCode.IDLE_LIMIT: struct.Struct(">d"),
    ActionCode.SAY_NO: struct.Struct(">QdB"),
    ActionCode.GO_ON: struct.Struct(">Q"),
    ActionCode.RELEASE_KEY: struct.Struct(">Q"),
    ActionCode.MARK_HEALTH: struct.Struct(">BB"),
    ActionCode.ARM: struct.Struct(">dQ"),
    ActionCode.REPORT_FAILURE: struct.Struct(">Q"),
}
RECORD_HEADER = struct.Struct(">BI")

KNOCK = struct.Struct(">BIQdQfdQBIfdHI")
RUN_OVER = struct.Struct(">BIQBd")
CAME_BACK = struct.Struct(">BIQdB")
BY_ID = struct.Struct(">BIQ")
BORN = struct.Struct(">BIQI")
KILL = struct.Struct(">BI")
DEADLINE_HIT = struct.Struct(">BIQB")
TERMINATE_SOON = struct.Struct(">BId")

COST_KNOWN = 1
RETRY = 2
WRITE = 4


class Action(NamedTuple):
    """One action of a reply; ``fields`` are those after the instance, empty for a text."""

    code: ActionCode
    instance: int
    fields: tuple[float, ...]


class ReplyError(Exception):
    """The adapter's output is not a reply to the batch that was sent."""


def run_over(instance: int, request: int, outcome: Outcome, took: float) -> bytes:
    """Encode the end of a run."""
    return RUN_OVER.pack(EventCode.RUN_OVER, instance, request, outcome, took)


def born(instance: int, seed: int, settings: bytes) -> bytes:
    """Encode the start of an instance."""
    return BORN.pack(EventCode.BORN, instance, seed, len(settings)) + settings


def blocked(instance: int, request: int) -> bytes:
    """Encode that a run needs a call."""
    return BY_ID.pack(EventCode.BLOCKED, instance, request)


def hangup(instance: int, request: int) -> bytes:
    """Encode that nobody waits for a request any more."""
    return BY_ID.pack(EventCode.HANGUP, instance, request)


class Knock(NamedTuple):
    """The fields of an arriving request, in the order of the wire."""

    request: int
    deadline: float
    key: int
    rank: float
    unread_for: float
    same_as: int
    bits: int
    tenant: int
    memory_kb: float
    cost: float
    class_index: int
    caller: int


def knock(instance: int, fields: Knock) -> bytes:
    """Encode an arriving request."""
    return KNOCK.pack(EventCode.KNOCK, instance, *fields)


def came_back(instance: int, request: int, took: float, outcome: Outcome) -> bytes:
    """Encode the end of a call."""
    return CAME_BACK.pack(EventCode.CAME_BACK, instance, request, took, outcome)


def kill(instance: int) -> bytes:
    """Encode the end of an instance."""
    return KILL.pack(EventCode.KILL, instance)


def deadline_hit(instance: int, token: int, gauges: Sequence[float]) -> bytes:
    """Encode an expired timer."""
    return DEADLINE_HIT.pack(EventCode.DEADLINE_HIT, instance, token, len(gauges)) + struct.pack(
        f">{len(gauges)}f", *gauges
    )


def terminate_soon(instance: int, stop_at: float) -> bytes:
    """Encode the notice of withdrawal."""
    return TERMINATE_SOON.pack(EventCode.TERMINATE_SOON, instance, stop_at)


def event_name(record: bytes) -> str:
    """Return the kind of an encoded event; with its outcome, where it has one."""
    code = EventCode(record[0])
    if code is EventCode.RUN_OVER:
        return f"{code.name}:{Outcome(RUN_OVER.unpack(record)[3]).name}"
    if code is EventCode.CAME_BACK:
        return f"{code.name}:{Outcome(CAME_BACK.unpack(record)[4]).name}"
    return code.name


def event_names() -> list[str]:
    """Return all kinds of events that a run has to contain."""
    run_outcomes = (Outcome.OK, Outcome.ERROR, Outcome.CANCELLED, Outcome.MOOT)
    names = [code.name for code in EventCode if code not in (EventCode.RUN_OVER, EventCode.CAME_BACK)]
    names += [f"{EventCode.RUN_OVER.name}:{outcome.name}" for outcome in run_outcomes]
    return names + [f"{EventCode.CAME_BACK.name}:{outcome.name}" for outcome in Outcome]


def encode_batch(clock: float, number: int, records: Sequence[bytes]) -> bytes:
    """Encode one batch."""
    body = b"".join(records)
    return BATCH_HEADER.pack(BATCH_HEADER.size + len(body), clock, number) + body


def read_reply(stream: IO[bytes]) -> bytes:
    """Read one reply frame; raises ``ReplyError`` where the output ends."""
    head = stream.read(LENGTH_BYTES)
    if len(head) < LENGTH_BYTES:
        raise ReplyError("the adapter ended without a reply")
    rest = int.from_bytes(head, "big") - LENGTH_BYTES
    body = stream.read(rest)
    if len(body) < rest:
        raise ReplyError("the adapter ended within a reply")
    return head + body


def decode_reply(frame: bytes, number: int) -> list[Action]:
    """Decode a reply to the batch of this number."""
    _, count, answered = REPLY_HEADER.unpack_from(frame)
    if answered != number:
        raise ReplyError(f"batch {number} was answered as {answered}")
    at = REPLY_HEADER.size
    actions = []
    while at < len(frame):
        code, instance = RECORD_HEADER.unpack_from(frame, at)
        at += RECORD_HEADER.size
        fields, at = _decode_fields(frame, at, ActionCode(code))
        actions.append(Action(ActionCode(code), instance, fields))
    if len(actions) != count:
        raise ReplyError(f"the reply to batch {number} has {len(actions)} records, not {count}")
    return actions


def _decode_fields(frame: bytes, at: int, code: ActionCode) -> tuple[tuple[float, ...], int]:
    if code in TEXT_CODES:
        (length,) = TEXT_LENGTH.unpack_from(frame, at)
        return (), at + TEXT_LENGTH.size + length
    layout = ACTION_FIELDS[code]
    return layout.unpack_from(frame, at), at + layout.size
