"""The content of AMQP 0-9-1 messages: the content header with the message's properties, and the body."""

from __future__ import annotations

import struct

import msgspec

from lapispick.host.amqp.codec import (
    FRAME_OVERHEAD_BYTES,
    FieldType,
    FrameType,
    Reader,
    decoder,
    encode_frame,
    encoder,
)
from lapispick.host.amqp.errors import CodecError

BASIC_CLASS_ID = 60
CONTENT_WEIGHT = 0  # reserved by the specification
HEADER = struct.Struct(">HHQH")  # class, weight, bytes of the body, flags of the properties that are present
FLAGS_OFFSET = 12
FIRST_FLAG = 15  # the place of the first property's bit
MORE_FLAGS = 1  # announces properties that this class does not have


class Properties(msgspec.Struct):
    """The properties of a message, in the order of their flags; None = absent."""

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


OTHER_TYPES = {
    "headers": FieldType.TABLE,
    "delivery_mode": FieldType.OCTET,
    "priority": FieldType.OCTET,
    "timestamp": FieldType.LONG_LONG,
}
PROPERTY_TYPES = {name: OTHER_TYPES.get(name, FieldType.SHORT_STRING) for name in Properties.__struct_fields__}
FLAGS = {name: 1 << (FIRST_FLAG - place) for place, name in enumerate(PROPERTY_TYPES)}
ENCODERS = [(name, FLAGS[name], encoder(field_type)) for name, field_type in PROPERTY_TYPES.items()]
DECODERS = [(name, FLAGS[name], decoder(field_type)) for name, field_type in PROPERTY_TYPES.items()]


def encode_header(channel: int, body_size: int, properties: Properties) -> bytes:
    """Encode the frame of a content header; ``body_size`` is in bytes."""
    flags = 0
    values = bytearray()
    for name, flag, encode in ENCODERS:
        value = getattr(properties, name)
        if value is not None and value != {}:
            flags |= flag
            values += encode(value)
    header = HEADER.pack(BASIC_CLASS_ID, CONTENT_WEIGHT, body_size, flags)
    return encode_frame(FrameType.HEADER, channel, header + bytes(values))


def decode_body_size(payload: bytes) -> int:
    """Return the bytes of the body that a content header announces; raises ``CodecError``."""
    reader = Reader(payload)
    if reader.read_integer("H") != BASIC_CLASS_ID or reader.read_integer("H") != CONTENT_WEIGHT:
        raise CodecError("a content header of another class")
    return reader.read_integer("Q")


def decode_properties(payload: bytes) -> Properties:
    """Return the properties of a content header; raises ``CodecError``."""
    reader = Reader(payload)
    reader.read_bytes(FLAGS_OFFSET)
    flags = reader.read_integer("H")
    if flags & MORE_FLAGS:
        raise CodecError("more property flags than the class has")
    properties = Properties()
    for name, flag, decode in DECODERS:
        if flags & flag:
            setattr(properties, name, decode(reader))
    return properties


def encode_content(channel: int, properties: Properties, body: bytes, frame_max_bytes: int) -> bytes:
    """Encode a content header and its body, which is split into frames."""
    step = frame_max_bytes - FRAME_OVERHEAD_BYTES
    parts = [encode_frame(FrameType.BODY, channel, body[at : at + step]) for at in range(0, len(body), step)]
    return encode_header(channel, len(body), properties) + b"".join(parts)
