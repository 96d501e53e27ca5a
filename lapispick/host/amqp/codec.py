"""AMQP 0-9-1 frames and the values in them: integers, strings and field tables, as in the public specification."""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Any, NamedTuple

from lapispick.host.amqp.errors import CodecError

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
FRAME_HEADER = struct.Struct(">BHI")  # type, channel, bytes of the payload
FRAME_END = 0xCE
FRAME_OVERHEAD_BYTES = 8  # of a frame around its payload
MIN_FRAME_MAX_BYTES = 4096  # what every peer must accept before the negotiation
MAX_TABLE_DEPTH = 16  # of nested tables and arrays
MAX_SHORT_STRING_BYTES = 255


class FrameType(IntEnum):
    """What the payload of a frame contains."""

    METHOD = 1
    HEADER = 2
    BODY = 3
    HEARTBEAT = 8


class Frame(NamedTuple):
    """One frame without its end."""

    type: FrameType
    channel: int
    payload: bytes


class FieldType(Enum):
    """Types of arguments and properties; the integers have their ``struct`` code as value."""

    BIT = "bit"
    OCTET = "B"
    SHORT = "H"
    LONG = "I"
    LONG_LONG = "Q"
    SHORT_STRING = "short string"
    LONG_STRING = "long string"
    TABLE = "table"


NUMBERS = {code: struct.Struct(">" + code) for code in "BHIQbhiqfd"}

# The layout of each type of number in a field table.
TABLE_NUMBERS = {
    "b": NUMBERS["b"],
    "B": NUMBERS["B"],
    "s": NUMBERS["h"],
    "u": NUMBERS["H"],
    "I": NUMBERS["i"],
    "i": NUMBERS["I"],
    "l": NUMBERS["q"],
    "L": NUMBERS["Q"],
    "f": NUMBERS["f"],
    "d": NUMBERS["d"],
    "T": NUMBERS["Q"],
}


class Reader:
    """Reads values from a payload; raises ``CodecError`` where it is too short."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def has_more(self) -> bool:
        """Tell whether bytes are left."""
        return self._position < len(self._data)

    def read_bytes(self, size: int) -> bytes:
        """Return the next bytes."""
        left = len(self._data) - self._position
        if size > left:
            raise CodecError(f"{size} bytes wanted, {left} left")
        self._position += size
        return self._data[self._position - size : self._position]

    def read_integer(self, code: str) -> int:
        """Return an integer of this ``struct`` code."""
        layout = NUMBERS[code]
        return layout.unpack(self.read_bytes(layout.size))[0]

    def read_short_string(self) -> str:
        """Return a string with one byte of length."""
        return _decode_text(self.read_bytes(self.read_integer("B")))

    def read_long_string(self) -> bytes:
        """Return the bytes of a string with four bytes of length."""
        return self.read_bytes(self.read_integer("I"))

    def read_table(self, depth: int = 0) -> dict[str, object]:
        """Return a field table."""
        inner = Reader(self.read_long_string())
        table: dict[str, object] = {}
        while inner.has_more():
            name = inner.read_short_string()
            table[name] = inner.read_table_value(depth)
        return table

    def read_table_value(self, depth: int) -> object:
        """Return a value of a table, which begins with its type."""
        if depth > MAX_TABLE_DEPTH:
            raise CodecError("tables are nested too deep")
        kind = chr(self.read_bytes(1)[0])
        if kind in TABLE_NUMBERS:
            layout = TABLE_NUMBERS[kind]
            return layout.unpack(self.read_bytes(layout.size))[0]
        if kind == "t":
            return self.read_integer("B") != 0
        if kind == "S":
            return _decode_text(self.read_long_string())
        if kind == "x":
            return self.read_long_string()
        if kind == "D":
            scale = self.read_integer("B")
            return self.read_integer("i") / 10**scale
        if kind == "F":
            return self.read_table(depth + 1)
        if kind == "A":
            return self._read_array(depth)
        if kind == "V":
            return None
        raise CodecError(f"unknown field type {kind!r}")

    def _read_array(self, depth: int) -> list[object]:
        inner = Reader(self.read_long_string())
        items: list[object] = []
        while inner.has_more():
            items.append(inner.read_table_value(depth + 1))
        return items


def _decode_text(raw: bytes) -> str:
    try:
        return raw.decode()
    except UnicodeDecodeError as err:
        raise CodecError(f"a string is not UTF-8: {err}") from None


def _encode_short_string(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > MAX_SHORT_STRING_BYTES:
        raise CodecError(f"a short string of {len(raw)} bytes")
    return bytes([len(raw)]) + raw


def _encode_long_string(raw: bytes) -> bytes:
    return NUMBERS["I"].pack(len(raw)) + raw


def encode_table(table: dict[str, object]) -> bytes:
    """Encode a field table of booleans, integers, floats, strings and tables."""
    encoded = bytearray()
    for name, value in table.items():
        encoded += _encode_short_string(name)
        encoded += _encode_table_value(value)
    return _encode_long_string(bytes(encoded))


def _encode_table_value(value: object) -> bytes:
    if isinstance(value, bool):
        return b"t" + bytes([value])
    if isinstance(value, int):
        return b"l" + NUMBERS["q"].pack(value)
    if isinstance(value, float):
        return b"d" + NUMBERS["d"].pack(value)
    if isinstance(value, dict):
        return b"F" + encode_table(value)
    return b"S" + _encode_long_string(str(value).encode())


def encoder(field_type: FieldType) -> Callable[[Any], bytes]:
    """Return what encodes values of any type but ``BIT``; raises ``CodecError`` for too long short strings.

    The type of the value depends on the field type, which the signature can't express.
    """
    if field_type is FieldType.SHORT_STRING:
        return _encode_short_string
    if field_type is FieldType.LONG_STRING:
        return _encode_long_string
    if field_type is FieldType.TABLE:
        return encode_table
    return NUMBERS[field_type.value].pack


def decoder(field_type: FieldType) -> Callable[[Reader], object]:
    """Return what reads values of any type but ``BIT``, which shares its byte with its neighbours."""
    if field_type is FieldType.SHORT_STRING:
        return Reader.read_short_string
    if field_type is FieldType.LONG_STRING:
        return Reader.read_long_string
    if field_type is FieldType.TABLE:
        return Reader.read_table
    return lambda reader: reader.read_integer(field_type.value)


def encode_frame(frame_type: FrameType, channel: int, payload: bytes) -> bytes:
    """Encode a frame."""
    return FRAME_HEADER.pack(frame_type, channel, len(payload)) + payload + bytes([FRAME_END])
