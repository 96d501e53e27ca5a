"""The simulator's side of its wire protocol: encodes batches of events, decodes replies.

It has struct tables of its own, because it must work with checkouts whose modules have other names. The names of event
and action codes are those of the protocol description; their counts are printed under these names.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import IO, NamedTuple

BATCH_HEADER = struct.Struct(">IdI")  # length of the frame, clock in ms, batch number
REPLY_HEADER = struct.Struct(">III")  # length of the frame, number of records, batch number
LENGTH_BYTES = 4
TEXT_LENGTH = struct.Struct(">H")


class Outcome(IntEnum):
    """Outcome of a run or a call."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class ActionCode(IntEnum):
    """Codes of the actions of a reply."""

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
    """Codes of the events of a batch."""

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
RECORD_HEADER = struct.Struct(">BI")  # code, instance

REQUEST_RECEIVED_LAYOUT = struct.Struct(">BIQdQfdQBIfdHI")
RUN_COMPLETED_LAYOUT = struct.Struct(">BIQBd")
CALL_COMPLETED_LAYOUT = struct.Struct(">BIQdB")
REQUEST_EVENT_LAYOUT = struct.Struct(">BIQ")
INSTANCE_STARTED_LAYOUT = struct.Struct(">BIQI")
INSTANCE_KILLED_LAYOUT = struct.Struct(">BI")
TIMER_FIRED_LAYOUT = struct.Struct(">BIQB")
SHUTDOWN_REQUESTED_LAYOUT = struct.Struct(">BId")

COST_KNOWN_BIT = 1
RETRY_BIT = 2
WRITE_BIT = 4


class Action(NamedTuple):
    """Action of a reply; ``fields`` are the fields after the instance, empty for an action with a text."""

    code: ActionCode
    instance: int
    fields: tuple[float, ...]


class ReplyError(Exception):
    """The output of the adapter is not a valid reply to the batch that was sent."""


def encode_run_completed(instance: int, request: int, outcome: Outcome, duration_ms: float) -> bytes:
    """Encode the end of a run."""
    return RUN_COMPLETED_LAYOUT.pack(EventCode.RUN_OVER, instance, request, outcome, duration_ms)


def encode_instance_started(instance: int, seed: int, settings: bytes) -> bytes:
    """Encode the start of an instance."""
    return INSTANCE_STARTED_LAYOUT.pack(EventCode.BORN, instance, seed, len(settings)) + settings


def encode_call_requested(instance: int, request: int) -> bytes:
    """Encode the event that a run needs a call."""
    return REQUEST_EVENT_LAYOUT.pack(EventCode.BLOCKED, instance, request)


def encode_client_cancelled(instance: int, request: int) -> bytes:
    """Encode the event that the client cancelled a request."""
    return REQUEST_EVENT_LAYOUT.pack(EventCode.HANGUP, instance, request)


class RequestReceived(NamedTuple):
    """Fields of an arriving request, in the order of the wire."""

    request: int
    deadline: float
    key: int
    rank: float
    age_ms: float
    retry_of: int
    flags: int
    tenant: int
    memory_kb: float
    cost: float
    class_index: int
    caller: int


def encode_request_received(instance: int, fields: RequestReceived) -> bytes:
    """Encode the arrival of a request."""
    return REQUEST_RECEIVED_LAYOUT.pack(EventCode.KNOCK, instance, *fields)


def encode_call_completed(instance: int, request: int, duration_ms: float, outcome: Outcome) -> bytes:
    """Encode the end of a call."""
    return CALL_COMPLETED_LAYOUT.pack(EventCode.CAME_BACK, instance, request, duration_ms, outcome)


def encode_instance_killed(instance: int) -> bytes:
    """Encode the kill of an instance."""
    return INSTANCE_KILLED_LAYOUT.pack(EventCode.KILL, instance)


def encode_timer_fired(instance: int, token: int, gauges: Sequence[float]) -> bytes:
    """Encode the expiry of a timer, with the current gauges."""
    return TIMER_FIRED_LAYOUT.pack(EventCode.DEADLINE_HIT, instance, token, len(gauges)) + struct.pack(
        f">{len(gauges)}f", *gauges
    )


def encode_shutdown_requested(instance: int, stop_at: float) -> bytes:
    """Encode the notice of a shutdown at ``stop_at``."""
    return SHUTDOWN_REQUESTED_LAYOUT.pack(EventCode.TERMINATE_SOON, instance, stop_at)


def event_kind(record: bytes) -> str:
    """Return the kind of an encoded event: the name of its code, followed by its outcome if it has one."""
    code = EventCode(record[0])
    if code is EventCode.RUN_OVER:
        return f"{code.name}:{Outcome(RUN_COMPLETED_LAYOUT.unpack(record)[3]).name}"
    if code is EventCode.CAME_BACK:
        return f"{code.name}:{Outcome(CALL_COMPLETED_LAYOUT.unpack(record)[4]).name}"
    return code.name


def required_event_kinds() -> list[str]:
    """Return the kinds of events that a run must contain."""
    run_outcomes = (Outcome.OK, Outcome.ERROR, Outcome.CANCELLED, Outcome.MOOT)
    names = [code.name for code in EventCode if code not in (EventCode.RUN_OVER, EventCode.CAME_BACK)]
    names += [f"{EventCode.RUN_OVER.name}:{outcome.name}" for outcome in run_outcomes]
    return names + [f"{EventCode.CAME_BACK.name}:{outcome.name}" for outcome in Outcome]


def encode_batch(clock: float, number: int, records: Sequence[bytes]) -> bytes:
    """Encode a batch of events."""
    body = b"".join(records)
    return BATCH_HEADER.pack(BATCH_HEADER.size + len(body), clock, number) + body


def read_reply(stream: IO[bytes]) -> bytes:
    """Read one reply frame; raises ``ReplyError`` if the output ends early."""
    length_field = stream.read(LENGTH_BYTES)
    if len(length_field) < LENGTH_BYTES:
        raise ReplyError(f"expected a reply, but the output ended after {len(length_field)} bytes of its length field")
    remaining_bytes = int.from_bytes(length_field, "big") - LENGTH_BYTES
    body = stream.read(remaining_bytes)
    if len(body) < remaining_bytes:
        raise ReplyError(f"expected {remaining_bytes} more bytes of a reply, but the output ended after {len(body)}")
    return length_field + body


def decode_reply(frame: bytes, number: int) -> list[Action]:
    """Decode the reply to the batch with this number; raises ``ReplyError`` if it does not match."""
    _, count, reply_number = REPLY_HEADER.unpack_from(frame)
    if reply_number != number:
        raise ReplyError(f"expected a reply to batch {number}, got one to batch {reply_number}")
    offset = REPLY_HEADER.size
    actions = []
    while offset < len(frame):
        code, instance = RECORD_HEADER.unpack_from(frame, offset)
        offset += RECORD_HEADER.size
        fields, offset = _decode_fields(frame, offset, ActionCode(code))
        actions.append(Action(ActionCode(code), instance, fields))
    if len(actions) != count:
        raise ReplyError(f"expected {count} records in the reply to batch {number}, got {len(actions)}")
    return actions


def _decode_fields(frame: bytes, offset: int, code: ActionCode) -> tuple[tuple[float, ...], int]:
    if code in TEXT_CODES:
        (length,) = TEXT_LENGTH.unpack_from(frame, offset)
        return (), offset + TEXT_LENGTH.size + length
    layout = ACTION_FIELDS[code]
    return layout.unpack_from(frame, offset), offset + layout.size
