"""AMQP 0-9-1 frames, methods, content headers and field tables, as the public specification lays them out."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field, fields
from typing import Any, NamedTuple

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
FRAME_END = 0xCE
FRAME_MIN = 4096  # bytes; what every peer must take before the tuning
OVERHEAD = 8  # bytes of a frame around its payload
DEPTH_MOST = 16  # nested tables and arrays
FRAME_HEAD = struct.Struct(">BHI")

# Reply codes of the specification.
REPLY_SUCCESS, FRAME_ERROR, SYNTAX_ERROR, COMMAND_INVALID = 200, 501, 502, 503
CHANNEL_ERROR, UNEXPECTED_FRAME = 504, 505


class CodecError(Exception):
    """What came in does not follow the specification."""


class Frame(NamedTuple):
    """One frame without its end."""

    kind: int
    channel: int
    payload: bytes


class Method(NamedTuple):
    """A method by its name, with its arguments."""

    name: str
    args: dict[str, Any]


# Arguments in order; ``*`` marks a reserved one, which is sent empty and skipped.
METHODS: dict[tuple[int, int], tuple[str, str]] = {
    (10, 10): ("connection.start", "major:B minor:B server_properties:F mechanisms:S locales:S"),
    (10, 11): ("connection.start-ok", "client_properties:F mechanism:s response:S locale:s"),
    (10, 30): ("connection.tune", "channel_max:H frame_max:I heartbeat:H"),
    (10, 31): ("connection.tune-ok", "channel_max:H frame_max:I heartbeat:H"),
    (10, 40): ("connection.open", "vhost:s *a:s *b:t"),
    (10, 41): ("connection.open-ok", "*a:s"),
    (10, 50): ("connection.close", "code:H text:s class_id:H method_id:H"),
    (10, 51): ("connection.close-ok", ""),
    (20, 10): ("channel.open", "*a:s"),
    (20, 11): ("channel.open-ok", "*a:S"),
    (20, 20): ("channel.flow", "active:t"),
    (20, 21): ("channel.flow-ok", "active:t"),
    (20, 40): ("channel.close", "code:H text:s class_id:H method_id:H"),
    (20, 41): ("channel.close-ok", ""),
    (60, 10): ("basic.qos", "size:I count:H global_:t"),
    (60, 11): ("basic.qos-ok", ""),
    (60, 20): ("basic.consume", "*a:H queue:s tag:s no_local:t no_ack:t exclusive:t nowait:t arguments:F"),
    (60, 21): ("basic.consume-ok", "tag:s"),
    (60, 30): ("basic.cancel", "tag:s nowait:t"),
    (60, 31): ("basic.cancel-ok", "tag:s"),
    (60, 40): ("basic.publish", "*a:H exchange:s routing_key:s mandatory:t immediate:t"),
    (60, 50): ("basic.return", "code:H text:s exchange:s routing_key:s"),
    (60, 60): ("basic.deliver", "tag:s delivery:Q redelivered:t exchange:s routing_key:s"),
    (60, 80): ("basic.ack", "delivery:Q multiple:t"),
    (60, 90): ("basic.reject", "delivery:Q requeue:t"),
    (60, 120): ("basic.nack", "delivery:Q multiple:t requeue:t"),
    (85, 10): ("confirm.select", "nowait:t"),
    (85, 11): ("confirm.select-ok", ""),
}
IDS = {name: ids for ids, (name, _) in METHODS.items()}
SPECS = {name: [tuple(part.split(":")) for part in spec.split()] for name, spec in METHODS.values()}
FIXED = {code: struct.Struct(">" + code) for code in "BHIQbhiqfd"}
EMPTY: dict[str, Any] = {"s": "", "S": b"", "F": {}, "t": False}


class Reader:
    """Takes values off a payload; all bounds are checked."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        """Return the next bytes."""
        if size > len(self.data) - self.at:
            raise CodecError(f"{size} bytes wanted, {len(self.data) - self.at} left")
        self.at += size
        return self.data[self.at - size : self.at]

    def fixed(self, code: str) -> Any:
        """Return a number of this struct code."""
        return FIXED[code].unpack(self.take(FIXED[code].size))[0]

    def short(self) -> str:
        """Return a short string."""
        return _text(self.take(self.fixed("B")))

    def table(self, depth: int = 0) -> dict[str, Any]:
        """Return a field table."""
        inner = Reader(self.take(self.fixed("I")))
        found = {}
        while inner.at < len(inner.data):
            name = inner.short()
            found[name] = inner.value(depth)
        return found

    def value(self, depth: int) -> Any:
        """Return a table's value with its type in front."""
        if depth > DEPTH_MOST:
            raise CodecError("tables are nested too deep")
        kind = chr(self.take(1)[0])
        if kind in VALUES:
            return self.fixed(VALUES[kind])
        if kind == "t":
            return self.fixed("B") != 0
        if kind == "S":
            return _text(self.take(self.fixed("I")))
        if kind == "x":
            return self.take(self.fixed("I"))
        if kind == "D":
            scale = self.fixed("B")
            return self.fixed("i") / 10**scale
        if kind == "F":
            return self.table(depth + 1)
        if kind == "A":
            inner, items = Reader(self.take(self.fixed("I"))), []
            while inner.at < len(inner.data):
                items.append(inner.value(depth + 1))
            return items
        if kind == "V":
            return None
        raise CodecError(f"unknown field type {kind!r}")


VALUES = {"b": "b", "B": "B", "s": "h", "u": "H", "I": "i", "i": "I", "l": "q", "L": "Q", "f": "f", "d": "d", "T": "Q"}


def _text(raw: bytes) -> str:
    try:
        return raw.decode()
    except UnicodeDecodeError as err:
        raise CodecError(f"a string is not UTF-8: {err}") from None


def _short(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > 255:
        raise CodecError(f"a short string of {len(raw)} bytes")
    return bytes([len(raw)]) + raw


def _long(raw: bytes) -> bytes:
    return FIXED["I"].pack(len(raw)) + raw


def encode_table(table: dict[str, Any]) -> bytes:
    """Write a field table of booleans, whole numbers, floats, strings and tables."""
    out = bytearray()
    for name, value in table.items():
        out += _short(name)
        if isinstance(value, bool):
            out += b"t" + bytes([value])
        elif isinstance(value, int):
            out += b"l" + FIXED["q"].pack(value)
        elif isinstance(value, float):
            out += b"d" + FIXED["d"].pack(value)
        elif isinstance(value, dict):
            out += b"F" + encode_table(value)
        else:
            out += b"S" + _long(str(value).encode())
    return _long(bytes(out))


def encode_frame(kind: int, channel: int, payload: bytes) -> bytes:
    """Put a payload into a frame."""
    return FRAME_HEAD.pack(kind, channel, len(payload)) + payload + bytes([FRAME_END])


def encode_method(channel: int, name: str, **args: Any) -> bytes:
    """Write a method's frame."""
    out = bytearray(struct.pack(">HH", *IDS[name]))
    bits: list[bool] = []

    def flush() -> None:
        if bits:
            out.append(sum(bit << i for i, bit in enumerate(bits)))
            bits.clear()

    for key, code in SPECS[name]:
        value = EMPTY.get(code, 0) if key.startswith("*") else args[key]
        if code == "t":  # neighbouring bits share a byte
            bits.append(bool(value))
            continue
        flush()
        if code == "s":
            out += _short(value)
        elif code == "S":
            out += _long(value)
        elif code == "F":
            out += encode_table(value)
        else:
            out += FIXED[code].pack(value)
    flush()
    return encode_frame(METHOD, channel, bytes(out))


def decode_method(payload: bytes) -> Method:
    """Read a method; raises ``CodecError``, also for methods that are not known here."""
    reader = Reader(payload)
    ids = (reader.fixed("H"), reader.fixed("H"))
    if ids not in METHODS:
        raise CodecError(f"unknown method {ids}")
    name = METHODS[ids][0]
    args: dict[str, Any] = {}
    bits = at = 0
    for key, code in SPECS[name]:
        if code == "t":
            bits = reader.fixed("B") if at == 0 else bits
            args[key] = bool(bits >> at & 1)
            at = (at + 1) % 8
            continue
        at = 0
        if code == "s":
            args[key] = reader.short()
        elif code == "S":
            args[key] = reader.take(reader.fixed("I"))
        elif code == "F":
            args[key] = reader.table()
        else:
            args[key] = reader.fixed(code)
    return Method(name, args)


@dataclass(slots=True)
class Properties:
    """The properties of a message, in the order of their flags; None = absent."""

    content_type: str | None = None
    content_encoding: str | None = None
    headers: dict[str, Any] = field(default_factory=dict)
    delivery_mode: int | None = None
    priority: int | None = None
    correlation_id: str | None = None
    reply_to: str | None = None
    expiration: str | None = None
    message_id: str | None = None
    timestamp: int | None = None
    type: str | None = None
    user_id: str | None = None
    app_id: str | None = None
    cluster_id: str | None = None


PROPERTIES = [f.name for f in fields(Properties)]
PROPERTY_CODES = {"headers": "F", "delivery_mode": "B", "priority": "B", "timestamp": "Q"}


def encode_header(channel: int, size: int, properties: Properties) -> bytes:
    """Write a content header's frame."""
    flags, out = 0, bytearray()
    for i, name in enumerate(PROPERTIES):
        value = getattr(properties, name)
        if value is None or value == {}:
            continue
        flags |= 1 << (15 - i)
        code = PROPERTY_CODES.get(name, "s")
        if code == "F":
            out += encode_table(value)
        else:
            out += _short(value) if code == "s" else FIXED[code].pack(value)
    return encode_frame(HEADER, channel, struct.pack(">HHQH", 60, 0, size, flags) + bytes(out))


def decode_size(payload: bytes) -> int:
    """Return the size of the body that a content header announces."""
    reader = Reader(payload)
    if reader.fixed("H") != 60 or reader.fixed("H") != 0:
        raise CodecError("a content header of another class")
    return reader.fixed("Q")


def decode_properties(payload: bytes) -> Properties:
    """Read the properties of a content header."""
    reader = Reader(payload)
    reader.take(12)
    flags, properties = reader.fixed("H"), Properties()
    if flags & 1:
        raise CodecError("more property flags than the class has")
    for i, name in enumerate(PROPERTIES):
        if flags >> (15 - i) & 1:
            code = PROPERTY_CODES.get(name, "s")
            value = reader.table() if code == "F" else reader.short() if code == "s" else reader.fixed(code)
            setattr(properties, name, value)
    return properties


def encode_content(channel: int, properties: Properties, body: bytes, frame_max: int) -> bytes:
    """Write a content header and its body, cut into frames."""
    most = frame_max - OVERHEAD
    parts = [encode_frame(BODY, channel, body[at : at + most]) for at in range(0, len(body), most)]
    return encode_header(channel, len(body), properties) + b"".join(parts)
