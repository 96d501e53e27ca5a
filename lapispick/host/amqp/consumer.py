"""The AMQP 0-9-1 front: consumes queues and gives every message it takes one final answer.

An answer is a reply published with confirms, and only then is the message acknowledged. A message with no
``reply-to`` is acknowledged if it was served and otherwise rejected without requeue.
"""

from __future__ import annotations

import base64
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from lapispick import interface as api
from lapispick.host import core
from lapispick.host.amqp import codec
from lapispick.host.amqp.codec import CodecError, Method, Properties
from lapispick.host.config import Broker, Consume, Queue
from lapispick.host.core import BODY_MOST, KB_MOST
from lapispick.host.logs import log
from lapispick.host.loop import Closed, Loop, Stream, connect
from lapispick.settings import Info

LOG = "amqp"
CONNECT_S = 3.0  # s; for one try of a connection
HANDSHAKE_S = 5.0  # s; for each step until a connection is open
BACKOFF_S = (0.1, 10.0)  # s; first and longest pause before the next try
REOPEN_S = 1.0  # s; before a channel that the broker closed is opened again
FRAME_MOST = 131_072  # bytes; the longest frame we ask for
CHANNELS_MOST = 255
PUBLISH_TRIES = 3
CALLERS_FROM = 1_000_000  # queues count as callers from here on, apart from the gateways' numbers
CAPABILITIES = {"publisher_confirms": True, "consumer_cancel_notify": True, "basic.nack": True,
                "authentication_failure_close": True}


class Unusable(Exception):
    """A message that can't become a request."""


class BrokerClosed(Exception):
    """The broker closed the connection, or the talk with it can't go on."""

    def __init__(self, text: str, code: int = 0) -> None:
        super().__init__(text)
        self.code = code  # what we tell the broker, 0 = nothing


class Delivery:
    """One message that was taken, until its final answer is safe with the broker."""

    __slots__ = ("answer", "body", "channel", "properties", "redelivered", "request", "size", "tag", "tries",
                 "unroutable")

    def __init__(self, channel: Channel, args: dict[str, Any]) -> None:
        self.channel, self.tag, self.redelivered = channel, args["delivery"], args["redelivered"]
        self.properties: Properties | None = None  # None: they can't be read
        self.size, self.body = 0, bytearray()
        self.request: core.Request | None = None
        self.answer: core.Answer | None = None
        self.tries, self.unroutable = 0, False


class Translator:
    """Makes requests of messages."""

    def __init__(self, info: Info, settings: api.Settings) -> None:
        self.names = [s.name for s in info.services]
        self.customers = {p.name for p in info.parties}
        self.classes = settings.classes
        by_worth = sorted(range(len(self.names)), key=lambda i: (settings.classes[i].worth, i))
        self.ranks = {cls: (place + 0.5) / len(by_worth) for place, cls in enumerate(by_worth)}

    def request(self, delivery: Delivery, queue: Queue, caller: int,
                reply: Callable[[core.Answer], None]) -> core.Request:
        """Return a message's request; raises ``Unusable``."""
        p, now = delivery.properties, time.time() * 1000
        if p is None:
            raise Unusable("its properties can't be read")
        if delivery.size > BODY_MOST:
            raise Unusable(f"its body holds {delivery.size} bytes")
        name = p.headers.get("class") or p.type or queue.cls
        if name not in self.names:
            raise Unusable(f"there is no class {name!r}")
        cls = self.names.index(name)
        customer = p.headers.get("customer") or queue.customer
        if self.customers and customer not in self.customers:
            raise Unusable(f"there is no customer {customer!r}")
        keyed = self.classes[cls].effect is api.Effect.KEYED
        if keyed and not p.message_id:
            raise Unusable(f"{name} needs a message-id, or a second copy could run")
        born = min(now, self._born(p) or now)
        return core.Request(
            tag=f"{random.getrandbits(64):016x}", handler=name, cls=cls,
            body=base64.b64encode(delivery.body).decode(), born=born, due_at=self._due(p, born, cls),
            held_kb=self._size(p, queue), rank=self.ranks[cls], caller=caller,
            key=("amqp", customer, name, p.message_id) if keyed else None, reply=reply,
            # Guards the rule on duplicates: what another life or another box was given may have run there.
            known_only=delivery.redelivered and self.classes[cls].effect is not api.Effect.SAFE)

    def _born(self, p: Properties) -> float:
        """Unix ms from the header that brokers and shops use for it, else from the property in seconds."""
        exact = p.headers.get("timestamp_in_ms")
        if isinstance(exact, int) and not isinstance(exact, bool) and exact > 0:
            return float(exact)
        return p.timestamp * 1000.0 if p.timestamp else 0.0

    def _due(self, p: Properties, born: float, cls: int) -> float:
        if p.expiration is None:
            return born + self.classes[cls].deadline_ms
        if not p.expiration.isascii() or not p.expiration.isdecimal() or len(p.expiration) > 12:
            raise Unusable(f"its expiration {p.expiration[:20]!r} is no number of milliseconds")
        return born + float(p.expiration)

    def _size(self, p: Properties, queue: Queue) -> float:
        size = p.headers.get("size", queue.held_kb)
        if isinstance(size, bool) or not isinstance(size, int | float) or not 0 < size < KB_MOST:
            raise Unusable("its size must be above 0 and under 2,000")
        return float(size)


class Channel:
    """One channel, which consumes one queue."""

    def __init__(self, session: Session, number: int, queue: Queue) -> None:
        self.session, self.number, self.queue = session, number, queue
        self.tag = f"lapispick-{number}"
        self.opened = self.consuming = self.cancelled = False
        self.in_hand: dict[int, Delivery] = {}
        self.unconfirmed: dict[int, Delivery] = {}
        self.published = 0
        self._receiving: Delivery | None = None  # a message whose header or body is still to come
        self._body_left = -1  # -1: the header is still to come
        self._takers: dict[str, Callable[[dict[str, Any]], None]] = {
            "channel.open-ok": self._open_ok, "confirm.select-ok": self._select_ok,
            "basic.qos-ok": self._qos_ok, "basic.consume-ok": self._consume_ok,
            "basic.cancel-ok": self._cancel_ok, "basic.cancel": self._cancelled_by_broker,
            "basic.deliver": self._deliver, "basic.return": self._return, "basic.ack": self._confirmed,
            "basic.nack": self._unconfirmed, "channel.close": self._closed_by_broker,
            "channel.close-ok": lambda args: None, "channel.flow": self._flow}

    def send(self, name: str, **args: Any) -> None:
        """Send a method on this channel."""
        self.session.send(codec.encode_method(self.number, name, **args))

    def open(self) -> None:
        """Begin; each step follows the broker's answer to the one before."""
        self.send("channel.open")

    def take(self, frame: codec.Frame) -> None:
        """Take a frame; raises ``CodecError`` or ``BrokerClosed``."""
        if frame.kind == codec.METHOD:
            if self._receiving is not None:
                raise BrokerClosed("a method came within a message", codec.UNEXPECTED_FRAME)
            method = codec.decode_method(frame.payload)
            if (taker := self._takers.get(method.name)) is None:
                raise BrokerClosed(f"{method.name} came on a channel", codec.COMMAND_INVALID)
            taker(method.args)
        elif frame.kind == codec.HEADER:
            self._header(frame.payload)
        else:
            self._content(frame.payload)

    def _open_ok(self, args: dict[str, Any]) -> None:
        self.opened = True
        self.send("confirm.select", nowait=False)

    def _select_ok(self, args: dict[str, Any]) -> None:
        self.send("basic.qos", size=0, count=self.queue.prefetch, global_=False)

    def _qos_ok(self, args: dict[str, Any]) -> None:
        if not self.cancelled:
            self.send("basic.consume", queue=self.queue.name, tag=self.tag, no_local=False, no_ack=False,
                      exclusive=False, nowait=False, arguments={})

    def _consume_ok(self, args: dict[str, Any]) -> None:
        self.consuming = True
        log(LOG, logging.INFO, "consuming", broker=self.session.name, queue=self.queue.name,
            prefetch=self.queue.prefetch)
        if self.cancelled:
            self.cancel()

    def cancel(self) -> None:
        """Take nothing more."""
        self.cancelled = True
        if self.consuming:
            self.consuming = False
            self.send("basic.cancel", tag=self.tag, nowait=False)

    def _cancel_ok(self, args: dict[str, Any]) -> None:
        self.session.check_end()

    def _cancelled_by_broker(self, args: dict[str, Any]) -> None:
        """Wait for the queue to come back; what was taken can still be answered."""
        log(LOG, logging.WARNING, "consumer-cancelled", broker=self.session.name, queue=self.queue.name)
        self.consuming = False
        if not self.cancelled:
            self.session.loop.later(REOPEN_S, self._consume_again)

    def _consume_again(self) -> None:
        if self.session.current(self) and not self.consuming:
            self._qos_ok({})

    def _closed_by_broker(self, args: dict[str, Any]) -> None:
        """Open the channel again; a channel error costs this channel only, and its messages come again."""
        log(LOG, logging.WARNING, "channel-closed", broker=self.session.name, queue=self.queue.name,
            code=args["code"], text=args["text"])
        self.send("channel.close-ok")
        self.session.replace(self)

    def _flow(self, args: dict[str, Any]) -> None:
        self.send("channel.flow-ok", active=args["active"])

    # Messages that come.

    def _deliver(self, args: dict[str, Any]) -> None:
        self._receiving, self._body_left = Delivery(self, args), -1

    def _return(self, args: dict[str, Any]) -> None:
        """Begin to read a reply of ours that no queue takes; only its id is of use."""
        self._receiving, self._body_left = Delivery(self, {"delivery": 0, "redelivered": False}), -1

    def _header(self, payload: bytes) -> None:
        delivery = self._receiving
        if delivery is None or self._body_left >= 0:
            raise BrokerClosed("a content header came out of turn", codec.UNEXPECTED_FRAME)
        self._body_left = delivery.size = codec.decode_size(payload)
        try:
            delivery.properties = codec.decode_properties(payload)
        except CodecError as err:  # costs this message only: its bounds are known
            log(LOG, logging.WARNING, "properties-malformed", queue=self.queue.name, error=err)
        if not self._body_left:
            self._whole()

    def _content(self, payload: bytes) -> None:
        if self._receiving is None or not 0 < len(payload) <= self._body_left:
            raise BrokerClosed("a body came out of turn", codec.UNEXPECTED_FRAME)
        self._body_left -= len(payload)
        if self._receiving.size <= BODY_MOST:  # of one that is too long nothing is kept
            self._receiving.body += payload
        if not self._body_left:
            self._whole()

    def _whole(self) -> None:
        delivery, self._receiving = self._receiving, None
        assert delivery is not None
        if not delivery.tag:
            return self._returned(delivery)
        if self.cancelled or len(self.in_hand) >= self.queue.prefetch:
            # Crossed our leaving, or is more than we asked for: it is not taken, and others may have it.
            return self.send("basic.reject", delivery=delivery.tag, requeue=True)
        self.in_hand[delivery.tag] = delivery
        front = self.session.front
        try:
            delivery.request = front.translator.request(
                delivery, self.queue, self.session.caller(self), lambda answer: self.answer(delivery, answer))
        except Unusable as err:
            log(LOG, logging.WARNING, "message-unusable", queue=self.queue.name, error=err)
            return self.answer(delivery, core.Answer(core.FAILED))
        front.post(core.Arrived(delivery.request))

    # Answers that go out.

    def answer(self, delivery: Delivery, answer: core.Answer) -> None:
        """Give the final answer: the reply first, the acknowledgement once the broker has the reply."""
        if not self.session.current(self):
            return  # the broker has taken the message back and gives it out again
        delivery.answer = answer
        if delivery.properties is not None and delivery.properties.reply_to:
            self._publish(delivery)
        else:
            self._settle(delivery)

    def _publish(self, delivery: Delivery) -> None:
        p, answer = delivery.properties, delivery.answer
        assert p is not None and p.reply_to and answer is not None
        headers: dict[str, Any] = {"outcome": answer.kind}
        if answer.kind == core.REFUSED and answer.retry_after > 0:
            headers["pause"] = answer.retry_after
        if answer.kind == core.REFUSED and answer.no_retry:
            headers["terminal"] = 1
        if answer.advice is not None:
            headers["advice"] = float(answer.advice)
        body = base64.b64decode(answer.result or "")
        reply = Properties(headers=headers, type=answer.kind, correlation_id=p.correlation_id or p.message_id,
                           message_id=f"{self.number}-{delivery.tag}", timestamp=int(time.time()))
        self.published += 1
        delivery.tries += 1
        self.unconfirmed[self.published] = delivery
        self.send("basic.publish", exchange="", routing_key=p.reply_to, mandatory=True, immediate=False)
        self.session.send(codec.encode_content(self.number, reply, body, self.session.frame_max))

    def _returned(self, back: Delivery) -> None:
        name = back.properties.message_id if back.properties else None
        for delivery in self.unconfirmed.values():
            if f"{self.number}-{delivery.tag}" == name:
                delivery.unroutable = True
                log(LOG, logging.WARNING, "reply-unroutable", queue=self.queue.name)

    def _confirms(self, args: dict[str, Any]) -> list[Delivery]:
        last = args["delivery"]
        numbers = [n for n in self.unconfirmed if n == last or (args["multiple"] and (not last or n < last))]
        return [self.unconfirmed.pop(n) for n in numbers]

    def _confirmed(self, args: dict[str, Any]) -> None:
        for delivery in self._confirms(args):
            self._settle(delivery)

    def _unconfirmed(self, args: dict[str, Any]) -> None:
        for delivery in self._confirms(args):
            if delivery.tries < PUBLISH_TRIES:
                self._publish(delivery)
            else:
                log(LOG, logging.ERROR, "reply-not-taken", queue=self.queue.name)
                delivery.unroutable = True
                self._settle(delivery)

    def _settle(self, delivery: Delivery) -> None:
        """Let the broker forget the message, or put it with those that failed."""
        answer, p = delivery.answer, delivery.properties
        assert answer is not None
        told = p is not None and p.reply_to and not delivery.unroutable
        del self.in_hand[delivery.tag]
        if told or answer.kind == core.SERVED:
            self.send("basic.ack", delivery=delivery.tag, multiple=False)
        else:
            self.send("basic.reject", delivery=delivery.tag, requeue=False)
        self.session.check_end()


class Session:
    """One broker: connects, keeps the connection alive and connects again."""

    def __init__(self, front: AmqpFront, broker: Broker, queues: list[Queue], first_caller: int) -> None:
        self.front, self.loop, self.broker, self.queues = front, front.loop, broker, queues
        self.name = f"{broker.address[0]}:{broker.address[1]}"
        self.channels: dict[int, Channel] = {}
        self.frame_max, self.leaving, self.ended = codec.FRAME_MIN, False, False
        self._first_caller = first_caller
        self._stream: Stream | None = None
        self._sent_at = 0.0
        self._heartbeat = 0.0

    def caller(self, channel: Channel) -> int:
        """Return the number under which a queue counts as a caller."""
        return self._first_caller + self.queues.index(channel.queue)

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
        while not self.leaving:
            opened = False
            try:
                self._stream = connect(self.loop, self.broker.address, CONNECT_S)
                self._handshake()
                opened, pause = True, BACKOFF_S[0]
                self._consume()
            except (OSError, Closed) as err:  # time-outs among them
                log(LOG, logging.WARNING, "connection-lost" if opened else "connect-failed", broker=self.name,
                    error=err)
            except CodecError as err:
                self._hang_up(codec.SYNTAX_ERROR, str(err))
            except BrokerClosed as err:
                self._hang_up(err.code, str(err))
            finally:
                self._drop()
            if not self.leaving:
                self.loop.sleep(pause * random.uniform(0.7, 1.0))
                pause = min(BACKOFF_S[1], pause * 2)
        self.ended = True

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.close()
        self._stream, self.channels = None, {}

    def _hang_up(self, code: int, text: str) -> None:
        log(LOG, logging.WARNING, "connection-closed", broker=self.name, error=text)
        if code:
            self.send(codec.encode_method(0, "connection.close", code=code, text=text[:200], class_id=0,
                                          method_id=0))

    def _read(self, timeout: float | None) -> codec.Frame:
        stream = self._stream
        assert stream is not None
        kind, channel, size = codec.FRAME_HEAD.unpack(stream.read_exactly(codec.FRAME_HEAD.size, timeout))
        # Guards the memory: no frame is longer than was agreed, whatever it says.
        if size > self.frame_max - codec.OVERHEAD:
            raise BrokerClosed(f"a frame of {size} bytes", codec.FRAME_ERROR)
        payload = stream.read_exactly(size + 1, timeout)
        if payload[-1] != codec.FRAME_END or kind not in (
                codec.METHOD, codec.HEADER, codec.BODY, codec.HEARTBEAT):
            raise BrokerClosed("a frame without its end, or of an unknown type", codec.FRAME_ERROR)
        return codec.Frame(kind, channel, payload[:-1])

    def _expect(self, *names: str) -> Method:
        """Read the next method of the handshake."""
        while True:
            frame = self._read(HANDSHAKE_S)
            if frame.kind == codec.HEARTBEAT:
                continue
            if frame.kind != codec.METHOD or frame.channel:
                raise BrokerClosed("no method came within the handshake", codec.UNEXPECTED_FRAME)
            method = codec.decode_method(frame.payload)
            if method.name == "connection.close":
                self._close_ok(method.args)
            if method.name not in names:
                raise BrokerClosed(f"{method.name} came within the handshake", codec.COMMAND_INVALID)
            return method

    def _close_ok(self, args: dict[str, Any]) -> None:
        self.send(codec.encode_method(0, "connection.close-ok"))
        raise BrokerClosed(f"the broker says {args['code']} {args['text']}")

    def _handshake(self) -> None:
        broker = self.broker
        self.frame_max = codec.FRAME_MIN
        self.send(codec.PROTOCOL_HEADER)
        start = self._expect("connection.start").args
        if b"PLAIN" not in start["mechanisms"].split():
            raise BrokerClosed("the broker does not take PLAIN")
        self.send(codec.encode_method(
            0, "connection.start-ok", mechanism="PLAIN", locale="en_US",
            client_properties={"product": "lapispick", "capabilities": CAPABILITIES},
            response=f"\0{broker.user}\0{broker.password}".encode()))
        tune = self._expect("connection.tune").args
        frame_max = min(FRAME_MOST, tune["frame_max"] or FRAME_MOST)
        channels = min(CHANNELS_MOST, tune["channel_max"] or CHANNELS_MOST)
        heartbeat = min(broker.heartbeat_s, tune["heartbeat"]) or broker.heartbeat_s
        if frame_max < codec.FRAME_MIN or channels < len(self.queues):
            raise BrokerClosed("the broker's limits leave too little room")
        self.send(codec.encode_method(0, "connection.tune-ok", channel_max=channels, frame_max=frame_max,
                                      heartbeat=heartbeat))
        self.send(codec.encode_method(0, "connection.open", vhost=broker.vhost))
        self.frame_max, self._heartbeat = frame_max, float(heartbeat)
        self._expect("connection.open-ok")
        log(LOG, logging.INFO, "connected", broker=self.name, heartbeat_s=heartbeat)

    def _consume(self) -> None:
        self.loop.later(self._heartbeat / 2, self._beat, self._stream)
        for number, queue in enumerate(self.queues, 1):
            self._open_channel(number, queue)
        if self.leaving:
            self.leave()
        while True:
            frame = self._read(2 * self._heartbeat)  # silence for two beats means that the broker is gone
            if frame.channel == 0:
                if self._take(frame):
                    return
            elif (channel := self.channels.get(frame.channel)) is not None:
                channel.take(frame)
            elif not 0 < frame.channel <= len(self.queues):  # others may be on their way to a closed one
                raise BrokerClosed(f"a frame on channel {frame.channel}", codec.CHANNEL_ERROR)

    def _take(self, frame: codec.Frame) -> bool:
        """Take a frame on channel 0; True once the connection is closed."""
        if frame.kind == codec.HEARTBEAT:
            return False
        if frame.kind != codec.METHOD:
            raise BrokerClosed("content came on channel 0", codec.UNEXPECTED_FRAME)
        method = codec.decode_method(frame.payload)
        if method.name == "connection.close":
            self._close_ok(method.args)
        if method.name != "connection.close-ok":
            raise BrokerClosed(f"{method.name} came on channel 0", codec.COMMAND_INVALID)
        return True

    def _beat(self, stream: Stream) -> None:
        if self._stream is stream and not stream.closed:
            if time.monotonic() - self._sent_at >= self._heartbeat / 2 - 0.05:
                self.send(codec.encode_frame(codec.HEARTBEAT, 0, b""))
            self.loop.later(self._heartbeat / 2, self._beat, stream)

    def _open_channel(self, number: int, queue: Queue) -> None:
        self.channels[number] = channel = Channel(self, number, queue)
        channel.cancelled = self.leaving
        channel.open()

    def replace(self, channel: Channel) -> None:
        """Open a channel again, a while after the broker closed it."""
        del self.channels[channel.number]
        stream = self._stream

        def again() -> None:
            if self._stream is stream and stream is not None and not self.leaving:
                self._open_channel(channel.number, channel.queue)

        self.loop.later(REOPEN_S, again)
        self.check_end()

    def leave(self) -> None:
        """Take nothing more; the connection is closed once all that was taken is answered."""
        self.leaving = True
        for channel in self.channels.values():
            channel.cancel()
        self.check_end()

    def check_end(self) -> None:
        """Close the connection where we leave and nothing is in hand."""
        if self.leaving and not self.ended and not any(c.in_hand for c in self.channels.values()):
            self.ended = True
            self.send(codec.encode_method(0, "connection.close", code=codec.REPLY_SUCCESS, text="leaving",
                                          class_id=0, method_id=0))

    def flushed(self) -> bool:
        """Tell whether all that was taken is answered and handed over."""
        return not any(c.in_hand for c in self.channels.values()) and not (
            self._stream is not None and self._stream.unsent)


class AmqpFront:
    """All brokers of the inventory."""

    def __init__(self, loop: Loop, consume: Consume, info: Info, settings: api.Settings,
                 post: Callable[[Any], None]) -> None:
        self.loop, self.post, self.translator = loop, post, Translator(info, settings)
        self.sessions: list[Session] = []
        caller = CALLERS_FROM
        for broker, queues in consume.queues.items():
            self.sessions.append(Session(self, broker, queues, caller))
            caller += len(queues)

    def start(self) -> None:
        """Connect to all brokers."""
        for session in self.sessions:
            self.loop.spawn(session.serve)

    def limit_idle(self, span_ms: float) -> None:
        """Nothing to do: the connections to brokers are our own."""

    def leave(self) -> None:
        """Take nothing more."""
        for session in self.sessions:
            session.leave()

    def flushed(self) -> bool:
        """Tell whether all that was taken is answered and handed over."""
        return all(session.flushed() for session in self.sessions)
