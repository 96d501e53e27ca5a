"""The content of AMQP 0-9-1 messages: the content header with the message's properties, and the body."""

from __future__ import annotations

import struct
from collections.abc import Collection

import msgspec

from lapispick.host.amqp.codec import (
    FRAME_OVERHEAD_BYTES,
    FieldType,
    FrameType,
    Reader,
    decode_fields,
    decode_table,
    decoder,
    encode_frame,
    encoder,
)
from lapispick.host.amqp.errors import CodecError, MalformedPropertiesError

BASIC_CLASS_ID = 60
CONTENT_WEIGHT = 0  # reserved by the specification
CONTENT_HEADER = struct.Struct(">HHQH")  # class, weight, body size in bytes, flags of the properties that are present
FLAGS_OFFSET_BYTES = 12  # from the start of the content header
FIRST_FLAG_BIT = 15  # position of the flag of the first property
CONTINUATION_FLAG = 1  # a further word of flags follows; the basic class uses one

# Headers that describe a request; no others are decoded.
CLASS_HEADER = "class"
TENANT_HEADER = "customer"
CREATED_AT_HEADER = "timestamp_in_ms"
MEMORY_HEADER = "size"
REQUEST_HEADERS = frozenset((CLASS_HEADER, TENANT_HEADER, CREATED_AT_HEADER, MEMORY_HEADER))


class Properties(msgspec.Struct):
    """The properties of a message, in the order of their flags; None if absent."""

    content_type: str | None = None
    content_encoding: str | None = None
    headers: dict[str, object] = {}
    delivery_mode: int | None = None
    priority: int | None = None
    correlation_id: str | None = None
    reply_to: str | None = None
    expiration: str | None = None
    message_id: str | None = None
    timestamp: int | None = None  # Unix s
    type: str | None = None
    user_id: str | None = None
    app_id: str | None = None
    cluster_id: str | None = None


NON_STRING_TYPES = {
    "headers": FieldType.TABLE,
    "delivery_mode": FieldType.OCTET,
    "priority": FieldType.OCTET,
    "timestamp": FieldType.LONG_LONG,
}
PROPERTY_TYPES = {name: NON_STRING_TYPES.get(name, FieldType.SHORT_STRING) for name in Properties.__struct_fields__}
PROPERTY_FLAGS = {name: 1 << (FIRST_FLAG_BIT - position) for position, name in enumerate(PROPERTY_TYPES)}
ENCODERS = [(name, PROPERTY_FLAGS[name], encoder(field_type)) for name, field_type in PROPERTY_TYPES.items()]
READERS = [(name, PROPERTY_FLAGS[name], decoder(field_type)) for name, field_type in PROPERTY_TYPES.items()]
HEADERS = "headers"


def encode_header(channel: int, body_size: int, properties: Properties) -> bytes:
    """Encode the frame of a content header, for a body of ``body_size`` bytes."""
    flags = 0
    values = bytearray()
    for name, flag, encode in ENCODERS:
        value = getattr(properties, name)
        if value is not None and value != {}:
            flags |= flag
            values += encode(value)
    header = CONTENT_HEADER.pack(BASIC_CLASS_ID, CONTENT_WEIGHT, body_size, flags)
    return encode_frame(FrameType.HEADER, channel, header + bytes(values))


def decode_body_size(payload: bytes) -> int:
    """Return the body size in bytes from a content header; raise ``CodecError`` if the header is invalid."""
    reader = Reader(payload)
    if reader.read_integer("H") != BASIC_CLASS_ID or reader.read_integer("H") != CONTENT_WEIGHT:
        raise CodecError("a content header of another class")
    return reader.read_integer("Q")


def decode_properties(payload: bytes, header_names: Collection[str] | None = None) -> Properties:
    """Return the properties from a content header, with the headers of these names, or all if it is None.

    Raises ``MalformedPropertiesError`` with the properties that can be read, such as ``reply_to``, if others can't.
    """
    reader = Reader(payload)
    properties = Properties()
    encoded_headers = b""
    try:
        reader.read_bytes(FLAGS_OFFSET_BYTES)
        flags, *further_flags = _read_flags(reader)
        for name, flag, read in READERS:
            if not flags & flag:
                continue
            if name == HEADERS:
                encoded_headers = reader.read_long_string()
            else:
                setattr(properties, name, read(reader))
        if any(word & ~CONTINUATION_FLAG for word in further_flags):
            raise CodecError("the content header has flags of properties that the basic class does not have")
        # Last, as the properties after a malformed table can be read: its length precedes it.
        if header_names is None:
            properties.headers = decode_table(encoded_headers)
        else:
            properties.headers = decode_fields(encoded_headers, header_names)
    except CodecError as err:
        raise MalformedPropertiesError(str(err), properties) from None
    return properties


def _read_flags(reader: Reader) -> list[int]:
    """Read the property flags: one word, and a further one after each word with the continuation flag."""
    words = [reader.read_integer("H")]
    while words[-1] & CONTINUATION_FLAG:
        words.append(reader.read_integer("H"))
    return words


def encode_content(channel: int, properties: Properties, body: bytes, frame_max_bytes: int) -> bytes:
    """Encode a content header and its body, split into frames of at most ``frame_max_bytes``."""
    max_payload_bytes = frame_max_bytes - FRAME_OVERHEAD_BYTES
    body_frames = [
        encode_frame(FrameType.BODY, channel, body[start : start + max_payload_bytes])
        for start in range(0, len(body), max_payload_bytes)
    ]
    return encode_header(channel, len(body), properties) + b"".join(body_frames)
