"""Codec of AMQP 0-9-1 frames and of the values in them: integers, strings and field tables.

The encoding is the one of the public specification. A short string is UTF-8 there, which a broker need not check, and a
long string holds any bytes. In decoded texts, bytes that are not UTF-8 are lone surrogates, and they are encoded as the
same bytes again; ``is_unicode`` recognises them.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Collection
from enum import Enum, IntEnum
from typing import Any, NamedTuple

from lapispick.host.amqp.errors import CodecError

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
FRAME_HEADER = struct.Struct(">BHI")  # type, channel, payload size in bytes
FRAME_END = 0xCE
FRAME_OVERHEAD_BYTES = 8  # header and end byte of a frame
MIN_FRAME_MAX_BYTES = 4096  # every peer must accept frames of this size before the negotiation
LENGTH_BYTES = 4  # of the length before a long string, a table or an array
MAX_TABLE_DEPTH = 16  # of nested tables and arrays
MAX_SHORT_STRING_BYTES = 255
TEXT_ERRORS = "surrogateescape"  # error handler by which bytes that are not UTF-8 are kept


class FrameType(IntEnum):
    """Type of the payload of a frame."""

    METHOD = 1
    HEADER = 2
    BODY = 3
    HEARTBEAT = 8


class Frame(NamedTuple):
    """One frame without its end byte."""

    type: FrameType
    channel: int
    payload: bytes


class FieldType(Enum):
    """Types of method arguments and properties; the value of an integer type is its ``struct`` code."""

    BIT = "bit"
    OCTET = "B"
    SHORT = "H"
    LONG = "I"
    LONG_LONG = "Q"
    SHORT_STRING = "short string"
    LONG_STRING = "long string"
    TABLE = "table"


NUMBER_STRUCTS = {code: struct.Struct(">" + code) for code in "BHIQbhiqfd"}

# The encoding of each numeric type in a field table, by its type code.
TABLE_NUMBER_STRUCTS = {
    "b": NUMBER_STRUCTS["b"],
    "B": NUMBER_STRUCTS["B"],
    "s": NUMBER_STRUCTS["h"],
    "U": NUMBER_STRUCTS["h"],
    "u": NUMBER_STRUCTS["H"],
    "I": NUMBER_STRUCTS["i"],
    "i": NUMBER_STRUCTS["I"],
    "l": NUMBER_STRUCTS["q"],
    "L": NUMBER_STRUCTS["Q"],
    "f": NUMBER_STRUCTS["f"],
    "d": NUMBER_STRUCTS["d"],
    "T": NUMBER_STRUCTS["Q"],
}


# The size in bytes of the values of fixed size in a field table, by their type code.
TABLE_VALUE_SIZES = {ord(code): layout.size for code, layout in TABLE_NUMBER_STRUCTS.items()} | {
    ord("t"): 1,
    ord("D"): 5,
    ord("V"): 0,
}
SIZED_TABLE_TYPES = frozenset(b"SxFA")  # their values are preceded by their length


class Reader:
    """Reader of the values in a payload; raises ``CodecError`` if the payload is too short."""

    def __init__(self, data: bytes, position: int = 0) -> None:
        self._data = data
        self.position = position  # of the next byte to read

    def has_more(self) -> bool:
        """Return True if unread bytes are left."""
        return self.position < len(self._data)

    def read_bytes(self, size: int) -> bytes:
        """Read the next ``size`` bytes."""
        bytes_left = len(self._data) - self.position
        if size > bytes_left:
            raise CodecError(f"{size} bytes wanted, {bytes_left} left")
        self.position += size
        return self._data[self.position - size : self.position]

    def read_integer(self, code: str) -> int:
        """Read an integer with this ``struct`` code."""
        layout = NUMBER_STRUCTS[code]
        return layout.unpack(self.read_bytes(layout.size))[0]

    def read_short_string(self) -> str:
        """Read a string that is preceded by its length in one byte."""
        return _decode_text(self.read_bytes(self.read_integer("B")))

    def read_long_string(self) -> bytes:
        """Read the bytes of a string that is preceded by its length in four bytes."""
        return self.read_bytes(self.read_integer("I"))

    def read_table(self, depth: int = 0) -> dict[str, object]:
        """Read a field table."""
        return decode_table(self.read_long_string(), depth)

    def read_table_value(self, depth: int) -> object:
        """Read a value of a table, which is preceded by its type code."""
        if depth > MAX_TABLE_DEPTH:
            raise CodecError("tables are nested too deep")
        type_code = chr(self.read_bytes(1)[0])
        if type_code in TABLE_NUMBER_STRUCTS:
            layout = TABLE_NUMBER_STRUCTS[type_code]
            return layout.unpack(self.read_bytes(layout.size))[0]
        if type_code == "t":
            return self.read_integer("B") != 0
        if type_code == "S":
            return _decode_text(self.read_long_string())
        if type_code == "x":
            return self.read_long_string()
        if type_code == "D":
            scale = self.read_integer("B")
            return self.read_integer("i") / 10**scale
        if type_code == "F":
            return decode_table(self.read_long_string(), depth + 1)
        if type_code == "A":
            return self._read_array(depth)
        if type_code == "V":
            return None
        raise CodecError(f"unknown field type {type_code!r}")

    def _read_array(self, depth: int) -> list[object]:
        inner = Reader(self.read_long_string())
        items: list[object] = []
        while inner.has_more():
            items.append(inner.read_table_value(depth + 1))
        return items


def decode_table(encoded: bytes, depth: int = 0) -> dict[str, object]:
    """Return the field table that is encoded after its length; ``depth`` is the number of tables around it."""
    reader = Reader(encoded)
    table: dict[str, object] = {}
    while reader.has_more():
        name = reader.read_short_string()
        table[name] = reader.read_table_value(depth)
    return table


def decode_fields(encoded: bytes, names: Collection[str]) -> dict[str, object]:
    """Return the fields of a table that have one of these names; ``encoded`` begins after the table's length.

    The values of other fields are skipped, not decoded: a publisher may send tens of thousands of them, which would
    take megabytes. Raises ``CodecError`` where the next field can't be located.
    """
    raw_names = {_encode_text(name): name for name in names}
    fields: dict[str, object] = {}
    position = 0
    while position < len(encoded):
        name_end = position + 1 + encoded[position]
        raw_name = encoded[position + 1 : name_end]
        if raw_name in raw_names:
            reader = Reader(encoded, name_end)
            fields[raw_names[raw_name]] = reader.read_table_value(depth=0)
            position = reader.position
        else:
            position = _value_end(encoded, name_end)
    return fields


def _value_end(encoded: bytes, position: int) -> int:
    """Return the end of a table's value that begins at a position with its type code."""
    type_code = encoded[position] if position < len(encoded) else -1
    end = position + 1
    if type_code in TABLE_VALUE_SIZES:
        end += TABLE_VALUE_SIZES[type_code]
    elif type_code in SIZED_TABLE_TYPES:
        end += LENGTH_BYTES + int.from_bytes(encoded[end : end + LENGTH_BYTES])
    else:
        raise CodecError(f"unknown field type {type_code}" if type_code >= 0 else "a table ends within a field")
    if end > len(encoded):
        raise CodecError("a table ends within a field")
    return end


def _decode_text(raw: bytes) -> str:
    return raw.decode(errors=TEXT_ERRORS)


def _encode_text(text: str) -> bytes:
    return text.encode(errors=TEXT_ERRORS)


def is_unicode(text: str) -> bool:
    """Return True if a text that was received is UTF-8."""
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _encode_short_string(text: str) -> bytes:
    raw = _encode_text(text)
    if len(raw) > MAX_SHORT_STRING_BYTES:
        raise CodecError(f"a short string of {len(raw)} bytes")
    return bytes([len(raw)]) + raw


def _encode_long_string(raw: bytes) -> bytes:
    return NUMBER_STRUCTS["I"].pack(len(raw)) + raw


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
        return b"l" + NUMBER_STRUCTS["q"].pack(value)
    if isinstance(value, float):
        return b"d" + NUMBER_STRUCTS["d"].pack(value)
    if isinstance(value, dict):
        return b"F" + encode_table(value)
    return b"S" + _encode_long_string(_encode_text(str(value)))


def encoder(field_type: FieldType) -> Callable[[Any], bytes]:
    """Return the function that encodes values of a type other than ``BIT``.

    The function for short strings raises ``CodecError`` if the string is too long. The type of the value depends on the
    field type, which the signature can't express.
    """
    if field_type is FieldType.SHORT_STRING:
        return _encode_short_string
    if field_type is FieldType.LONG_STRING:
        return _encode_long_string
    if field_type is FieldType.TABLE:
        return encode_table
    return NUMBER_STRUCTS[field_type.value].pack


def decoder(field_type: FieldType) -> Callable[[Reader], object]:
    """Return the function that reads values of a type other than ``BIT``; adjacent bits share an octet."""
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
