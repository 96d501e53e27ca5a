"""One broker of the AMQP 0-9-1 front: connects, keeps the connection alive and connects again."""

from __future__ import annotations

import logging
import random
import time
from typing import Any, Protocol

from lapispick import jitter
from lapispick.host.amqp import codec
from lapispick.host.amqp.codec import CodecError, Method
from lapispick.host.amqp.consumer import REOPEN_S, BrokerClosedError, Channel, Translator
from lapispick.host.amqp.listing import Broker, Queue
from lapispick.host.logs import log
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import Stream, StreamClosedError, connect

LOG = "amqp"
CONNECT_S = 3.0  # s; for one try of a connection
HANDSHAKE_S = 5.0  # s; for each step until a connection is open
BACKOFF_S = (0.1, 10.0)  # s; first and longest pause before the next try
FRAME_MOST = 131_072  # bytes; the longest frame we ask for
CHANNELS_MOST = 255
CAPABILITIES = {
    "publisher_confirms": True,
    "consumer_cancel_notify": True,
    "basic.nack": True,
    "authentication_failure_close": True,
}


class Front(Protocol):
    """What a session asks of the front."""

    loop: EventLoop
    translator: Translator
    leaving: bool

    def post(self, item: Any) -> None: ...  # noqa: D102
    def caller(self, key: str, queue: str) -> int: ...  # noqa: D102
    def lookup(self, name: str) -> list[str]: ...  # noqa: D102
    def opened(self, session: Session) -> None: ...  # noqa: D102
    def lost(self, session: Session) -> None: ...  # noqa: D102
    def over(self, session: Session) -> None: ...  # noqa: D102


class Session:
    """One broker: connects, keeps the connection alive and connects again."""

    def __init__(self, front: Front, life: int, key: str, broker: Broker, queues: dict[str, Queue]) -> None:
        self.front, self.loop, self.life, self.key = front, front.loop, life, key
        self.broker, self.queues = broker, dict(queues)
        self.name = broker.shown
        self.channels: dict[int, Channel] = {}
        self.frame_max, self.leaving, self.ended = codec.FRAME_MIN, False, False
        self.address = ""  # where the present or last connection went
        self.task = self.loop.spawn(self.serve)
        self._addresses: list[str] = []  # still to be tried
        self._stream: Stream | None = None
        self._opened = False  # every queue has been consumed, or the broker has said why not
        self._sent_at = 0.0
        self._heartbeat = 0.0
        self._handshaken = False
        self._channels_most = CHANNELS_MOST

    def caller(self, channel: Channel) -> int:
        """Return the number under which a queue counts as a caller."""
        return self.front.caller(self.key, channel.queue.name)

    def current(self, channel: Channel) -> bool:
        """Tell whether this channel is still the one that the broker knows."""
        return self._stream is not None and self.channels.get(channel.number) is channel

    def send(self, data: bytes) -> None:
        """Send frames."""
        if self._stream is not None:
            self._sent_at = time.monotonic()
            self._stream.write(data)

    def serve(self) -> None:
        """Hold a connection until told to leave."""
        pause = BACKOFF_S[0]
        try:
            while not self.leaving:
                if self._hold():
                    pause = BACKOFF_S[0]
                if not self.leaving:
                    self.loop.sleep(jitter.pause(pause, random.random()))
                    pause = min(BACKOFF_S[1], pause * 2)
        finally:
            self.ended = True
            self.front.over(self)

    def _hold(self) -> bool:
        """Connect and consume until the connection ends; tell whether it was open."""
        opened = False
        try:
            if not self._addresses:
                self._addresses = self.front.lookup(self.broker.host)
            self.address = self._addresses.pop(0)
            self._stream = connect(self.loop, (self.address, self.broker.port), CONNECT_S)
            self._handshake()
            opened, self._addresses = True, []
            self._consume()
        except (OSError, StreamClosedError) as err:  # time-outs among them
            log(LOG, logging.WARNING, "connection-lost" if opened else "connect-failed", broker=self.name, error=err)
        except CodecError as err:
            self._hang_up(codec.SYNTAX_ERROR, str(err))
        except BrokerClosedError as err:
            self._hang_up(err.code, str(err))
        finally:
            self._drop()
        return opened

    def close(self) -> None:
        """End the connection now; what is in hand is given out again by the broker."""
        self.leaving = True
        if self._stream is not None:
            self._stream.close()

    def _drop(self) -> None:
        if self._stream is not None:  # a close over what the broker still sends would reset our last frames away
            self.loop.spawn(self._stream.close_gracefully_and_wait)
        self._stream, self.channels, self._handshaken = None, {}, False
        if self._opened:
            self._opened = False
            self.front.lost(self)

    def _hang_up(self, code: int, text: str) -> None:
        log(LOG, logging.WARNING, "connection-closed", broker=self.name, error=text)
        if code:
            self.send(codec.encode_method(0, "connection.close", code=code, text=text[:200], class_id=0, method_id=0))

    def _read(self, timeout: float | None) -> codec.Frame:
        stream = self._stream
        assert stream is not None
        kind, channel, size = codec.FRAME_HEAD.unpack(stream.read_exactly(codec.FRAME_HEAD.size, timeout))
        # Guards the memory: no frame is longer than was agreed, whatever it says.
        if size > self.frame_max - codec.OVERHEAD:
            raise BrokerClosedError(f"a frame of {size} bytes", codec.FRAME_ERROR)
        payload = stream.read_exactly(size + 1, timeout)
        if payload[-1] != codec.FRAME_END or kind not in (codec.METHOD, codec.HEADER, codec.BODY, codec.HEARTBEAT):
            raise BrokerClosedError("a frame without its end, or of an unknown type", codec.FRAME_ERROR)
        return codec.Frame(kind, channel, payload[:-1])

    def _expect(self, *names: str) -> Method:
        """Read the next method of the handshake."""
        while True:
            frame = self._read(HANDSHAKE_S)
            if frame.kind == codec.HEARTBEAT:
                continue
            if frame.kind != codec.METHOD or frame.channel:
                raise BrokerClosedError("no method came within the handshake", codec.UNEXPECTED_FRAME)
            method = codec.decode_method(frame.payload)
            if method.name == "connection.close":
                self._close_ok(method.args)
            if method.name not in names:
                raise BrokerClosedError(f"{method.name} came within the handshake", codec.COMMAND_INVALID)
            return method

    def _close_ok(self, args: dict[str, Any]) -> None:
        self.send(codec.encode_method(0, "connection.close-ok"))
        raise BrokerClosedError(f"the broker says {args['code']} {args['text']}")

    def _handshake(self) -> None:
        broker = self.broker
        self.frame_max = codec.FRAME_MIN
        self.send(codec.PROTOCOL_HEADER)
        start = self._expect("connection.start").args
        if b"PLAIN" not in start["mechanisms"].split():
            raise BrokerClosedError("the broker does not take PLAIN")
        self.send(
            codec.encode_method(
                0,
                "connection.start-ok",
                mechanism="PLAIN",
                locale="en_US",
                client_properties={"product": "lapispick", "capabilities": CAPABILITIES},
                response=f"\0{broker.user}\0{broker.password}".encode(),
            )
        )
        tune = self._expect("connection.tune").args
        frame_max = min(FRAME_MOST, tune["frame_max"] or FRAME_MOST)
        channels = min(CHANNELS_MOST, tune["channel_max"] or CHANNELS_MOST)
        heartbeat = min(broker.heartbeat_s, tune["heartbeat"]) or broker.heartbeat_s
        if frame_max < codec.FRAME_MIN:
            raise BrokerClosedError(f"the broker's longest frame is {frame_max} bytes; the least is {codec.FRAME_MIN}")
        self.send(
            codec.encode_method(0, "connection.tune-ok", channel_max=channels, frame_max=frame_max, heartbeat=heartbeat)
        )
        self.send(codec.encode_method(0, "connection.open", vhost=broker.vhost))
        self.frame_max, self._heartbeat = frame_max, float(heartbeat)
        self._expect("connection.open-ok")
        self._handshaken, self._channels_most = True, channels
        log(LOG, logging.INFO, "connected", broker=self.name, heartbeat_s=heartbeat)

    def _consume(self) -> None:
        self.loop.call_later(self._heartbeat / 2, self._beat, self._stream)
        for queue in list(self.queues.values()):
            self._open_channel(queue)
        if self.leaving:
            self.leave()
        while True:
            frame = self._read(2 * self._heartbeat)  # silence for two beats means that the broker is gone
            if frame.channel == 0:
                if self._take(frame):
                    return
            elif (channel := self.channels.get(frame.channel)) is not None:
                channel.take(frame)
            elif not 0 < frame.channel <= self._channels_most:  # others may be on their way to a closed one
                raise BrokerClosedError(f"a frame on channel {frame.channel}", codec.CHANNEL_ERROR)

    def _take(self, frame: codec.Frame) -> bool:
        """Take a frame on channel 0; True once the connection is closed."""
        if frame.kind == codec.HEARTBEAT:
            return False
        if frame.kind != codec.METHOD:
            raise BrokerClosedError("content came on channel 0", codec.UNEXPECTED_FRAME)
        method = codec.decode_method(frame.payload)
        if method.name == "connection.close":
            self._close_ok(method.args)
        if method.name != "connection.close-ok":
            raise BrokerClosedError(f"{method.name} came on channel 0", codec.COMMAND_INVALID)
        return True

    def _beat(self, stream: Stream) -> None:
        if self._stream is stream and not stream.closed:
            if time.monotonic() - self._sent_at >= self._heartbeat / 2 - 0.05:
                self.send(codec.encode_frame(codec.HEARTBEAT, 0, b""))
            self.loop.call_later(self._heartbeat / 2, self._beat, stream)

    def _open_channel(self, queue: Queue) -> None:
        number = next(n for n in range(1, CHANNELS_MOST + 1) if n not in self.channels)
        if number > self._channels_most:
            return log(
                LOG, logging.ERROR, "queue-left-out", broker=self.name, queue=queue.name, channels=self._channels_most
            )
        self.channels[number] = channel = Channel(self, number, queue)
        channel.cancelled = self.leaving
        channel.open()

    def replace(self, channel: Channel) -> None:
        """Open a channel again, a while after the broker closed it."""
        del self.channels[channel.number]
        stream, queue = self._stream, channel.queue

        def again() -> None:
            if (
                self._stream is stream
                and stream is not None
                and not self.leaving
                and self.queues.get(queue.name) == queue
                and not any(c.queue == queue and not c.retired for c in self.channels.values())
            ):
                self._open_channel(queue)

        if not channel.retired:
            self.loop.call_later(REOPEN_S, again)
        self.check_end()

    def gone(self, channel: Channel) -> None:
        """Forget a channel that was closed as we asked."""
        if self.channels.get(channel.number) is channel:
            del self.channels[channel.number]
        self.check_end()

    def update(self, queues: dict[str, Queue]) -> None:
        """Consume these queues from now on; those that stay as they are notice nothing."""
        old, self.queues = self.queues, dict(queues)
        if self._stream is None or self.leaving or not self._handshaken:
            return  # the next connection opens what is wanted then
        for channel in list(self.channels.values()):
            if not channel.retired and queues.get(channel.queue.name) != channel.queue:
                channel.retire()
        for name, queue in queues.items():
            if old.get(name) != queue:
                self._open_channel(queue)

    def reported(self) -> None:
        """Tell the front once every queue is consumed, or the broker has said why not."""
        if not self._opened and all(c.reported for c in self.channels.values()):
            self._opened = True
            self.front.opened(self)

    def leave(self) -> None:
        """Take nothing more; the connection is closed once all that was taken is answered."""
        self.leaving = True
        if self._stream is None:
            return self.loop.kill(self.task)  # it connects, looks a name up or waits to try again
        for channel in self.channels.values():
            channel.cancel()
        self.check_end()

    def check_end(self) -> None:
        """Close the connection where we leave and nothing is in hand."""
        if self.leaving and not self.ended and self._handshaken and all(c.quiet for c in self.channels.values()):
            self.ended = True
            self.send(
                codec.encode_method(
                    0, "connection.close", code=codec.REPLY_SUCCESS, text="leaving", class_id=0, method_id=0
                )
            )
        elif self.leaving and not self._handshaken and self._stream is not None:
            self._stream.close()  # nothing was taken so far

    def flushed(self) -> bool:
        """Tell whether all that was taken is answered and handed over."""
        return not any(c.in_hand for c in self.channels.values()) and not (
            self._stream is not None and self._stream.unsent_bytes
        )
