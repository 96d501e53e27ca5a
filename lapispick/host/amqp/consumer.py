"""One channel of the AMQP 0-9-1 front: consumes a queue and gives every message it takes one final answer.

An answer is a reply published with confirms, and only then is the message acknowledged. A message with no
``reply-to`` is acknowledged if it was served and otherwise rejected without requeue.
"""

from __future__ import annotations

import base64
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lapispick import admission, jitter
from lapispick.host import events
from lapispick.host.amqp import codec
from lapispick.host.amqp.codec import CodecError, Properties
from lapispick.host.amqp.listing import Queue
from lapispick.host.logs import log
from lapispick.host.requests import MAX_BODY_BYTES, MAX_REQUEST_MEMORY_KB, Answer, AnswerKind, Request
from lapispick.platform_settings import StartSettings

if TYPE_CHECKING:
    from lapispick.host.amqp.session import Session

LOG = "amqp"
REOPEN_S = 1.0  # s; before a channel that the broker closed is opened again
PUBLISH_TRIES = 3


class UnusableMessageError(Exception):
    """A message that can't become a request."""


class BrokerClosedError(Exception):
    """The broker closed the connection, or the talk with it can't go on."""

    def __init__(self, text: str, code: int = 0) -> None:
        super().__init__(text)
        self.code = code  # what we tell the broker, 0 = nothing


class Delivery:
    """One message that was taken, until its final answer is safe with the broker."""

    __slots__ = (
        "answer",
        "body",
        "channel",
        "properties",
        "redelivered",
        "request",
        "size",
        "tag",
        "tries",
        "unroutable",
    )

    def __init__(self, channel: Channel, args: dict[str, Any]) -> None:
        self.channel, self.tag, self.redelivered = channel, args["delivery"], args["redelivered"]
        self.properties: Properties | None = None  # None: they can't be read
        self.size, self.body = 0, bytearray()
        self.request: Request | None = None
        self.answer: Answer | None = None
        self.tries, self.unroutable = 0, False


class Translator:
    """Makes requests of messages."""

    def __init__(self, info: StartSettings, settings: admission.Settings) -> None:
        self.names = [s.name for s in info.request_classes]
        self.customers = {p.name for p in info.tenants}
        self.classes = settings.classes
        by_worth = sorted(range(len(self.names)), key=lambda i: (settings.classes[i].priority_weight, i))
        self.ranks = {class_index: (place + 0.5) / len(by_worth) for place, class_index in enumerate(by_worth)}

    def request(self, delivery: Delivery, queue: Queue, caller: int, reply: Callable[[Answer], None]) -> Request:
        """Return a message's request; raises ``UnusableMessageError``."""
        p, now = delivery.properties, time.time() * 1000
        if p is None:
            raise UnusableMessageError("its properties can't be read")
        if delivery.size > MAX_BODY_BYTES:
            raise UnusableMessageError(f"its body holds {delivery.size} bytes")
        name = p.headers.get("class") or p.type or queue.class_name
        if name not in self.names:
            raise UnusableMessageError(f"there is no class {name!r}")
        class_index = self.names.index(name)
        customer = p.headers.get("customer") or queue.customer
        if self.customers and customer not in self.customers:
            raise UnusableMessageError(f"there is no customer {customer!r}")
        keyed = self.classes[class_index].idempotency is admission.Idempotency.KEYED
        if keyed and not p.message_id:
            raise UnusableMessageError(f"{name} needs a message-id, or a second copy could run")
        born = min(now, self._born(p) or now)
        return Request(
            request_id=f"{random.getrandbits(64):016x}",
            handler=name,
            class_index=class_index,
            body=base64.b64encode(delivery.body).decode(),
            born_at=born,
            deadline_at=self._due(p, born, class_index),
            request_memory_kb=self._size(p, queue),
            rank=self.ranks[class_index],
            caller=caller,
            idempotency_key=("amqp", customer, name, p.message_id) if keyed else None,
            reply=reply,
            account=str(customer or ""),
            # Guards the rule on duplicates: what another life or another box was given may have run there.
            lookup_only=delivery.redelivered
            and self.classes[class_index].idempotency is not admission.Idempotency.IDEMPOTENT,
        )

    def _born(self, p: Properties) -> float:
        """Unix ms from the header that brokers and shops use for it, else from the property in seconds."""
        exact = p.headers.get("timestamp_in_ms")
        if isinstance(exact, int) and not isinstance(exact, bool) and exact > 0:
            return float(exact)
        return p.timestamp * 1000.0 if p.timestamp else 0.0

    def _due(self, p: Properties, born: float, class_index: int) -> float:
        if p.expiration is None:
            return born + self.classes[class_index].deadline_ms
        if not p.expiration.isascii() or not p.expiration.isdecimal() or len(p.expiration) > 12:
            raise UnusableMessageError(f"its expiration {p.expiration[:20]!r} is no number of milliseconds")
        return born + float(p.expiration)

    def _size(self, p: Properties, queue: Queue) -> float:
        size = p.headers.get("size", queue.request_memory_kb)
        if isinstance(size, bool) or not isinstance(size, int | float) or not 0 < size < MAX_REQUEST_MEMORY_KB:
            raise UnusableMessageError("its size must be above 0 and under 2,000")
        return float(size)


class Channel:
    """One channel, which consumes one queue."""

    def __init__(self, session: Session, number: int, queue: Queue) -> None:
        self.session, self.number, self.queue = session, number, queue
        self.tag = f"lapispick-{number}"
        self.opened = self.consuming = self.cancelled = False
        self.reported = False  # it consumes, or the broker said why not
        self.retired = False  # it goes as soon as nothing is in hand
        self._consume_sent = self._cancel_sent = self._closing = False
        self.in_hand: dict[int, Delivery] = {}
        self.unconfirmed: dict[int, Delivery] = {}
        self.published = 0
        self._receiving: Delivery | None = None  # a message whose header or body is still to come
        self._body_left = -1  # -1: the header is still to come
        self._takers: dict[str, Callable[[dict[str, Any]], None]] = {
            "channel.open-ok": self._open_ok,
            "confirm.select-ok": self._select_ok,
            "basic.qos-ok": self._qos_ok,
            "basic.consume-ok": self._consume_ok,
            "basic.cancel-ok": self._cancel_ok,
            "basic.cancel": self._cancelled_by_broker,
            "basic.deliver": self._deliver,
            "basic.return": self._return,
            "basic.ack": self._confirmed,
            "basic.nack": self._unconfirmed,
            "channel.close": self._closed_by_broker,
            "channel.close-ok": self._close_ok,
            "channel.flow": self._flow,
        }

    def send(self, name: str, **args: Any) -> None:
        """Send a method on this channel."""
        self.session.send(codec.encode_method(self.number, name, **args))

    def open(self) -> None:
        """Begin; each step follows the broker's answer to the one before."""
        self.send("channel.open")

    def take(self, frame: codec.Frame) -> None:
        """Take a frame; raises ``CodecError`` or ``BrokerClosedError``."""
        if frame.kind == codec.METHOD:
            if self._receiving is not None:
                raise BrokerClosedError("a method came within a message", codec.UNEXPECTED_FRAME)
            method = codec.decode_method(frame.payload)
            if (taker := self._takers.get(method.name)) is None:
                raise BrokerClosedError(f"{method.name} came on a channel", codec.COMMAND_INVALID)
            taker(method.args)
        elif frame.kind == codec.HEADER:
            self._header(frame.payload)
        else:
            self._content(frame.payload)

    def _open_ok(self, args: dict[str, Any]) -> None:
        self.opened = True
        if self.retired:
            return self.check_end()
        self.send("confirm.select", nowait=False)

    def _select_ok(self, args: dict[str, Any]) -> None:
        self.send("basic.qos", size=0, count=self.queue.prefetch, global_=False)

    def _qos_ok(self, args: dict[str, Any]) -> None:
        if self.retired:
            self.check_end()
        elif not self.cancelled:
            self._consume_sent = True
            self.send(
                "basic.consume",
                queue=self.queue.name,
                tag=self.tag,
                no_local=False,
                no_ack=False,
                exclusive=False,
                nowait=False,
                arguments={},
            )

    def _consume_ok(self, args: dict[str, Any]) -> None:
        self.consuming, self._consume_sent = True, False
        log(
            LOG,
            logging.INFO,
            "consuming",
            broker=self.session.name,
            queue=self.queue.name,
            prefetch=self.queue.prefetch,
        )
        self._report()
        if self.cancelled:
            self.cancel()

    def _report(self) -> None:
        self.reported = True
        self.session.reported()

    def cancel(self) -> None:
        """Take nothing more."""
        self.cancelled = True
        if self.consuming:
            self.consuming = False
            self._cancel_sent = True
            self.send("basic.cancel", tag=self.tag, nowait=False)

    def _cancel_ok(self, args: dict[str, Any]) -> None:
        self._cancel_sent = False
        self.check_end()

    def retire(self) -> None:
        """Take nothing more, and close this channel once all that was taken is answered and settled."""
        self.retired = True
        self.cancel()
        self.check_end()

    @property
    def quiet(self) -> bool:
        """Tell whether nothing is in hand and nothing more can come: a cancel counts once it is confirmed."""
        return not (self.in_hand or self.consuming or self._consume_sent or self._cancel_sent)

    def check_end(self) -> None:
        """Close a retired channel once it is quiet, or the broker would give out again what just came."""
        if self.retired and self.quiet and self.opened and not self._closing:
            self._closing = True
            self.send("channel.close", code=codec.REPLY_SUCCESS, text="retired", class_id=0, method_id=0)
        self.session.check_end()

    def _close_ok(self, args: dict[str, Any]) -> None:
        self.session.gone(self)

    def _cancelled_by_broker(self, args: dict[str, Any]) -> None:
        """Wait for the queue to come back; what was taken can still be answered."""
        log(LOG, logging.WARNING, "consumer-cancelled", broker=self.session.name, queue=self.queue.name)
        self.consuming = False
        if not self.cancelled:
            self.session.loop.call_later(jitter.pause(REOPEN_S, random.random()), self._consume_again)

    def _consume_again(self) -> None:
        if self.session.current(self) and not self.consuming:
            self._qos_ok({})

    def _closed_by_broker(self, args: dict[str, Any]) -> None:
        """Open the channel again; a channel error costs this channel only, and its messages come again."""
        log(
            LOG,
            logging.WARNING,
            "channel-closed",
            broker=self.session.name,
            queue=self.queue.name,
            code=args["code"],
            text=args["text"],
        )
        self.send("channel.close-ok")
        self._report()
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
            raise BrokerClosedError("a content header came out of turn", codec.UNEXPECTED_FRAME)
        self._body_left = delivery.size = codec.decode_size(payload)
        try:
            delivery.properties = codec.decode_properties(payload)
        except CodecError as err:  # costs this message only: its bounds are known
            log(LOG, logging.WARNING, "properties-malformed", queue=self.queue.name, error=err)
        if not self._body_left:
            self._whole()

    def _content(self, payload: bytes) -> None:
        if self._receiving is None or not 0 < len(payload) <= self._body_left:
            raise BrokerClosedError("a body came out of turn", codec.UNEXPECTED_FRAME)
        self._body_left -= len(payload)
        if self._receiving.size <= MAX_BODY_BYTES:  # of one that is too long nothing is kept
            self._receiving.body += payload
        if not self._body_left:
            self._whole()

    def _whole(self) -> None:
        delivery, self._receiving = self._receiving, None
        assert delivery is not None
        if not delivery.tag:
            return self._returned(delivery)
        if self.session.front.leaving or len(self.in_hand) >= self.queue.prefetch:
            # Crossed our leaving, or is more than we asked for: it is not taken, and others may have it. One
            # that crossed the end of this consumer only is taken: given back it would count as redelivered.
            return self.send("basic.reject", delivery=delivery.tag, requeue=True)
        self.in_hand[delivery.tag] = delivery
        front = self.session.front
        try:
            delivery.request = front.translator.request(
                delivery, self.queue, self.session.caller(self), lambda answer: self.answer(delivery, answer)
            )
        except UnusableMessageError as err:
            log(LOG, logging.WARNING, "message-unusable", queue=self.queue.name, error=err)
            return self.answer(delivery, Answer(AnswerKind.FAILED))
        front.post(events.RequestArrived(delivery.request))

    # Answers that go out.

    def answer(self, delivery: Delivery, answer: Answer) -> None:
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
        assert p is not None
        assert p.reply_to
        assert answer is not None
        headers: dict[str, Any] = {"outcome": answer.kind.value}
        if answer.kind == AnswerKind.REJECTED and answer.retry_after_ms > 0:
            headers["pause"] = answer.retry_after_ms
        if answer.kind == AnswerKind.REJECTED and answer.no_retry:
            headers["terminal"] = 1
        if answer.backpressure is not None:
            headers["advice"] = float(answer.backpressure)
        body = base64.b64decode(answer.result or "")
        reply = Properties(
            headers=headers,
            type=answer.kind.value,
            correlation_id=p.correlation_id or p.message_id,
            message_id=f"{self.number}-{delivery.tag}",
            timestamp=int(time.time()),
        )
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
        if told or answer.kind == AnswerKind.SERVED:
            self.send("basic.ack", delivery=delivery.tag, multiple=False)
        else:
            self.send("basic.reject", delivery=delivery.tag, requeue=False)
        self.check_end()
