"""The methods of AMQP 0-9-1 that a consumer with publisher confirms exchanges with a broker.

Each method is a struct with its arguments in the order of the specification. Reserved arguments are sent empty.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Annotated, Any, ClassVar, NamedTuple, TypeVar, get_type_hints

import msgspec

from lapispick.host.amqp.codec import FieldType, FrameType, Reader, decoder, encode_frame, encoder
from lapispick.host.amqp.errors import CodecError

Bit = Annotated[bool, FieldType.BIT]
Octet = Annotated[int, FieldType.OCTET]
Short = Annotated[int, FieldType.SHORT]
Long = Annotated[int, FieldType.LONG]
LongLong = Annotated[int, FieldType.LONG_LONG]
ShortString = Annotated[str, FieldType.SHORT_STRING]
LongString = Annotated[bytes, FieldType.LONG_STRING]
Table = Annotated[dict[str, object], FieldType.TABLE]

BITS_PER_OCTET = 8
METHOD_IDS = struct.Struct(">HH")  # class id, method id


class Method(msgspec.Struct, frozen=True):
    """Base class of all methods."""

    name: ClassVar[str]  # as in the specification


M = TypeVar("M", bound=type[Method])


class Argument(NamedTuple):
    """Encoding of one argument of a method."""

    name: str
    is_bit: bool  # adjacent bits share an octet
    encode: Callable[[Any], bytes]  # for a bit, encodes the whole octet
    decode: Callable[[Reader], object]


class Layout(NamedTuple):
    """Encoding of a method."""

    class_id: int
    method_id: int
    arguments: tuple[Argument, ...]


_LAYOUTS: dict[type[Method], Layout] = {}
_METHODS: dict[tuple[int, int], type[Method]] = {}


def _argument(name: str, field_type: FieldType) -> Argument:
    is_bit = field_type is FieldType.BIT
    value_type = FieldType.OCTET if is_bit else field_type
    return Argument(name, is_bit, encoder(value_type), decoder(value_type))


def _method(class_id: int, method_id: int, name: str) -> Callable[[M], M]:
    """Return a decorator that registers a method with its ids and name."""

    def register(method: M) -> M:
        types = get_type_hints(method, include_extras=True)
        arguments = tuple(_argument(argument, types[argument].__metadata__[0]) for argument in method.__struct_fields__)
        _LAYOUTS[method] = Layout(class_id, method_id, arguments)
        _METHODS[class_id, method_id] = method
        method.name = name
        return method

    return register


@_method(10, 10, "connection.start")
class ConnectionStart(Method, frozen=True):
    """Start of the negotiation by the broker."""

    version_major: Octet
    version_minor: Octet
    server_properties: Table
    mechanisms: LongString
    locales: LongString


@_method(10, 11, "connection.start-ok")
class ConnectionStartOk(Method, frozen=True):
    """Login of the client with the mechanism that it chose."""

    client_properties: Table
    mechanism: ShortString
    response: LongString
    locale: ShortString


@_method(10, 30, "connection.tune")
class ConnectionTune(Method, frozen=True):
    """Limits that the broker proposes; 0 means no limit."""

    channel_max: Short
    frame_max: Long  # bytes
    heartbeat: Short  # s


@_method(10, 31, "connection.tune-ok")
class ConnectionTuneOk(Method, frozen=True):
    """Limits that the client accepts."""

    channel_max: Short
    frame_max: Long  # bytes
    heartbeat: Short  # s


@_method(10, 40, "connection.open")
class ConnectionOpen(Method, frozen=True):
    """Request of the client to open a virtual host."""

    virtual_host: ShortString
    reserved_1: ShortString = ""
    reserved_2: Bit = False


@_method(10, 41, "connection.open-ok")
class ConnectionOpenOk(Method, frozen=True):
    """Confirmation that the connection is open."""

    reserved_1: ShortString = ""


@_method(10, 50, "connection.close")
class ConnectionClose(Method, frozen=True):
    """Request of either side to close the connection; the ids name the method that caused it, if any."""

    reply_code: Short
    reply_text: ShortString
    class_id: Short = 0
    method_id: Short = 0


@_method(10, 51, "connection.close-ok")
class ConnectionCloseOk(Method, frozen=True):
    """Confirmation that the other side has closed the connection."""


@_method(20, 10, "channel.open")
class ChannelOpen(Method, frozen=True):
    """Request of the client to open a channel."""

    reserved_1: ShortString = ""


@_method(20, 11, "channel.open-ok")
class ChannelOpenOk(Method, frozen=True):
    """Confirmation that the channel is open."""

    reserved_1: LongString = b""


@_method(20, 20, "channel.flow")
class ChannelFlow(Method, frozen=True):
    """Request of either side to pause or resume the flow of content."""

    active: Bit


@_method(20, 21, "channel.flow-ok")
class ChannelFlowOk(Method, frozen=True):
    """Confirmation that the flow is paused or resumed."""

    active: Bit


@_method(20, 40, "channel.close")
class ChannelClose(Method, frozen=True):
    """Request of either side to close the channel; the ids name the method that caused it, if any."""

    reply_code: Short
    reply_text: ShortString
    class_id: Short = 0
    method_id: Short = 0


@_method(20, 41, "channel.close-ok")
class ChannelCloseOk(Method, frozen=True):
    """Confirmation that the other side has closed the channel."""


@_method(60, 10, "basic.qos")
class BasicQos(Method, frozen=True):
    """Request of the client to limit the number of unacknowledged messages."""

    prefetch_size: Long  # bytes; 0 = no limit
    prefetch_count: Short
    is_global: Bit


@_method(60, 11, "basic.qos-ok")
class BasicQosOk(Method, frozen=True):
    """Confirmation that the limit applies."""


@_method(60, 20, "basic.consume")
class BasicConsume(Method, frozen=True, kw_only=True):
    """Request of the client to consume a queue."""

    reserved_1: Short = 0
    queue: ShortString
    consumer_tag: ShortString
    no_local: Bit = False
    no_ack: Bit = False
    exclusive: Bit = False
    nowait: Bit = False
    arguments: Table = {}


@_method(60, 21, "basic.consume-ok")
class BasicConsumeOk(Method, frozen=True):
    """Confirmation that the consumer is registered."""

    consumer_tag: ShortString


@_method(60, 30, "basic.cancel")
class BasicCancel(Method, frozen=True):
    """Request of the client to cancel a consumer, or notification that the broker has cancelled it."""

    consumer_tag: ShortString
    nowait: Bit = False


@_method(60, 31, "basic.cancel-ok")
class BasicCancelOk(Method, frozen=True):
    """Confirmation that the consumer is cancelled."""

    consumer_tag: ShortString


@_method(60, 40, "basic.publish")
class BasicPublish(Method, frozen=True, kw_only=True):
    """Publication of a message by the client; its content follows."""

    reserved_1: Short = 0
    exchange: ShortString = ""
    routing_key: ShortString
    mandatory: Bit = False
    immediate: Bit = False


@_method(60, 50, "basic.return")
class BasicReturn(Method, frozen=True):
    """Return of a message that the broker could not route; its content follows."""

    reply_code: Short
    reply_text: ShortString
    exchange: ShortString
    routing_key: ShortString


@_method(60, 60, "basic.deliver")
class BasicDeliver(Method, frozen=True):
    """Delivery of a message to a consumer; its content follows."""

    consumer_tag: ShortString
    delivery_tag: LongLong
    redelivered: Bit
    exchange: ShortString
    routing_key: ShortString


@_method(60, 80, "basic.ack")
class BasicAck(Method, frozen=True):
    """Acknowledgement of a delivery by the client, or of a publication by the broker."""

    delivery_tag: LongLong
    multiple: Bit = False  # includes all earlier tags


@_method(60, 90, "basic.reject")
class BasicReject(Method, frozen=True):
    """Rejection of a delivery by the client."""

    delivery_tag: LongLong
    requeue: Bit


@_method(60, 120, "basic.nack")
class BasicNack(Method, frozen=True):
    """Rejection of a delivery by the client, or of a publication by the broker."""

    delivery_tag: LongLong
    multiple: Bit = False  # includes all earlier tags
    requeue: Bit = False


@_method(85, 10, "confirm.select")
class ConfirmSelect(Method, frozen=True):
    """Request of the client to enable publisher confirms."""

    nowait: Bit = False


@_method(85, 11, "confirm.select-ok")
class ConfirmSelectOk(Method, frozen=True):
    """Confirmation that publisher confirms are enabled."""


def _encode_bits(bits: list[bool]) -> bytes:
    return bytes([sum(bit << position for position, bit in enumerate(bits))])


def encode_method(channel: int, method: Method) -> bytes:
    """Encode the frame of a method; raise ``CodecError`` if a short string is too long."""
    layout = _LAYOUTS[type(method)]
    payload = bytearray(METHOD_IDS.pack(layout.class_id, layout.method_id))
    bits: list[bool] = []  # adjacent bits that are not encoded yet
    for argument in layout.arguments:
        value = getattr(method, argument.name)
        if argument.is_bit:
            bits.append(bool(value))
            continue
        if bits:
            payload += _encode_bits(bits)
            bits.clear()
        payload += argument.encode(value)
    if bits:
        payload += _encode_bits(bits)
    return encode_frame(FrameType.METHOD, channel, bytes(payload))


def decode_method(payload: bytes) -> Method:
    """Decode a method; raise ``CodecError`` if it is malformed or not defined in this module."""
    reader = Reader(payload)
    ids = (reader.read_integer("H"), reader.read_integer("H"))
    method = _METHODS.get(ids)
    if method is None:
        raise CodecError(f"unknown method {ids}")
    values: dict[str, object] = {}
    octet = 0
    bit_position = 0  # of the next bit in ``octet``
    for argument in _LAYOUTS[method].arguments:
        if not argument.is_bit:
            bit_position = 0
            values[argument.name] = argument.decode(reader)
            continue
        if bit_position == 0:
            octet = reader.read_integer(FieldType.OCTET.value)
        values[argument.name] = bool(octet >> bit_position & 1)
        bit_position = (bit_position + 1) % BITS_PER_OCTET
    return method(**values)
