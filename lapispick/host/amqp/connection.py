"""One TCP connection to an AMQP 0-9-1 broker: frames, negotiation, heartbeats and closing."""

from __future__ import annotations

import time
from typing import TypeVar

from lapispick.host.amqp.codec import (
    FRAME_END,
    FRAME_HEADER,
    FRAME_OVERHEAD_BYTES,
    MIN_FRAME_MAX_BYTES,
    PROTOCOL_HEADER,
    Frame,
    FrameType,
    encode_frame,
)
from lapispick.host.amqp.errors import ConnectionClosedError, ReplyCode
from lapispick.host.amqp.inventory_schema import Broker
from lapispick.host.amqp.methods import (
    ConnectionClose,
    ConnectionCloseOk,
    ConnectionOpen,
    ConnectionOpenOk,
    ConnectionStart,
    ConnectionStartOk,
    ConnectionTune,
    ConnectionTuneOk,
    Method,
    decode_method,
    encode_method,
)
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import Stream

M = TypeVar("M", bound=Method)

HANDSHAKE_TIMEOUT_S = 5.0  # for each frame until the connection is open
MAX_FRAME_MAX_BYTES = 131_072  # upper limit in the negotiation of the frame size
MAX_CHANNELS = 255
HEARTBEAT_SLACK_S = 0.05  # a heartbeat is sent if the last frame is at most this much younger than half the interval
MAX_REPLY_TEXT_LENGTH = 200  # characters
FRAME_TYPES = frozenset(FrameType)
CONNECTION_CHANNEL = 0  # carries the methods of the connection itself
MECHANISM = "PLAIN"
CLIENT_PROPERTIES: dict[str, object] = {
    "product": "lapispick",
    "capabilities": {
        "publisher_confirms": True,
        "consumer_cancel_notify": True,
        "basic.nack": True,
        "authentication_failure_close": True,
    },
}


class BrokerConnection:
    """One connection to a broker, from the established TCP connection until it is closed."""

    def __init__(self, loop: EventLoop, stream: Stream) -> None:
        self.stream = stream
        self.is_open = False  # the negotiation is complete
        self.frame_max_bytes = MIN_FRAME_MAX_BYTES
        self.max_channels = MAX_CHANNELS
        self.heartbeat_s = 0.0
        self._loop = loop
        self._last_sent_at = 0.0

    def send(self, data: bytes) -> None:
        """Send encoded frames."""
        self._last_sent_at = time.monotonic()
        self.stream.write(data)

    def _send_method(self, method: Method) -> None:
        self.send(encode_method(CONNECTION_CHANNEL, method))

    def read_frame(self, timeout_s: float | None = None) -> Frame:
        """Read one frame; the default time-out is two heartbeat intervals.

        Raises ``ConnectionClosedError`` for an invalid frame, ``OSError`` or ``StreamClosedError`` if reading fails.
        """
        if timeout_s is None:
            timeout_s = 2 * self.heartbeat_s
        header = self.stream.read_exactly(FRAME_HEADER.size, timeout_s)
        frame_type, channel, size = FRAME_HEADER.unpack(header)
        if size > self.frame_max_bytes - FRAME_OVERHEAD_BYTES:  # limits the memory that a broker can make this host use
            raise ConnectionClosedError(f"a frame of {size} bytes", ReplyCode.FRAME_ERROR)
        payload = self.stream.read_exactly(size + 1, timeout_s)
        if payload[-1] != FRAME_END or frame_type not in FRAME_TYPES:
            raise ConnectionClosedError("a frame without its end, or of an unknown type", ReplyCode.FRAME_ERROR)
        return Frame(FrameType(frame_type), channel, payload[:-1])

    def open(self, broker: Broker) -> None:
        """Negotiate the connection and log in.

        Raises ``ConnectionClosedError``, ``CodecError``, ``OSError`` or ``StreamClosedError`` if this fails.
        """
        self.send(PROTOCOL_HEADER)
        start = self._expect(ConnectionStart)
        if MECHANISM.encode() not in start.mechanisms.split():
            raise ConnectionClosedError(f"the broker does not support the login mechanism {MECHANISM}")
        self._send_method(
            ConnectionStartOk(
                client_properties=CLIENT_PROPERTIES,
                mechanism=MECHANISM,
                response=f"\0{broker.user}\0{broker.password}".encode(),
                locale="en_US",
            )
        )
        tune = self._expect(ConnectionTune)
        limits = self._negotiate(tune, broker)
        self._send_method(limits)
        self._send_method(ConnectionOpen(broker.virtual_host))
        self.frame_max_bytes = limits.frame_max
        self.heartbeat_s = float(limits.heartbeat)
        self._expect(ConnectionOpenOk)
        self.max_channels = limits.channel_max
        self.is_open = True

    def _negotiate(self, tune: ConnectionTune, broker: Broker) -> ConnectionTuneOk:
        frame_max = min(MAX_FRAME_MAX_BYTES, tune.frame_max or MAX_FRAME_MAX_BYTES)
        channel_max = min(MAX_CHANNELS, tune.channel_max or MAX_CHANNELS)
        heartbeat = min(broker.heartbeat_s, tune.heartbeat) or broker.heartbeat_s
        if frame_max < MIN_FRAME_MAX_BYTES:
            raise ConnectionClosedError(
                f"the broker limits frames to {frame_max} bytes, expected at least {MIN_FRAME_MAX_BYTES}"
            )
        return ConnectionTuneOk(channel_max, frame_max, heartbeat)

    def _expect(self, expected: type[M]) -> M:
        """Read the next method of the negotiation, which must be of the expected type; skip heartbeats."""
        while True:
            frame = self.read_frame(HANDSHAKE_TIMEOUT_S)
            if frame.type is FrameType.HEARTBEAT:
                continue
            if frame.type is not FrameType.METHOD or frame.channel != CONNECTION_CHANNEL:
                raise ConnectionClosedError("no method came within the handshake", ReplyCode.UNEXPECTED_FRAME)
            method = self._decode(frame)
            if not isinstance(method, expected):
                raise ConnectionClosedError(f"{method.name} came within the handshake", ReplyCode.COMMAND_INVALID)
            return method

    def _decode(self, frame: Frame) -> Method:
        """Decode a method on channel 0; raise ``ConnectionClosedError`` if the broker closes the connection."""
        method = decode_method(frame.payload)
        if isinstance(method, ConnectionClose):
            self._send_method(ConnectionCloseOk())
            raise ConnectionClosedError(f"the broker closed the connection: {method.reply_code} {method.reply_text}")
        return method

    def on_frame(self, frame: Frame) -> bool:
        """Handle a frame on channel 0; return True if it confirms the close of the connection."""
        if frame.type is FrameType.HEARTBEAT:
            return False
        if frame.type is not FrameType.METHOD:
            raise ConnectionClosedError("content came on channel 0", ReplyCode.UNEXPECTED_FRAME)
        method = self._decode(frame)
        if not isinstance(method, ConnectionCloseOk):
            raise ConnectionClosedError(f"{method.name} came on channel 0", ReplyCode.COMMAND_INVALID)
        return True

    def start_heartbeats(self) -> None:
        """Send a heartbeat whenever nothing was sent for half the interval, until the connection is closed."""
        self._loop.call_later(self.heartbeat_s / 2, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        if not self.is_open or self.stream.closed:
            return
        if time.monotonic() - self._last_sent_at >= self.heartbeat_s / 2 - HEARTBEAT_SLACK_S:
            self.send(encode_frame(FrameType.HEARTBEAT, CONNECTION_CHANNEL, b""))
        self.start_heartbeats()

    def request_close(self, reply_code: ReplyCode, text: str) -> None:
        """Ask the broker to close the connection."""
        self._send_method(ConnectionClose(reply_code, text[:MAX_REPLY_TEXT_LENGTH]))

    def close_gracefully(self) -> None:
        """Close the TCP connection in the background.

        A close with unread input would reset the connection, and the last frames that were sent would be lost.
        """
        self.is_open = False
        self._loop.spawn(self.stream.close_gracefully_and_wait)

    def close(self) -> None:
        """Close the TCP connection now."""
        self.stream.close()
