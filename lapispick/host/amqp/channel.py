"""One channel of the AMQP 0-9-1 front: consumes a queue and gives each accepted message exactly one final answer.

The answer to a message with ``reply-to`` is published as a reply with publisher confirms; the message is acknowledged
only after the broker has confirmed the reply. A message without ``reply-to`` is acknowledged if it was served and
otherwise rejected without requeue.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from lapispick import jitter
from lapispick.host import events
from lapispick.host.amqp import methods
from lapispick.host.amqp.codec import Frame, FrameType
from lapispick.host.amqp.deliveries import RETURNED_REPLY_TAG, ContentAssembler, Delivery
from lapispick.host.amqp.errors import ConnectionClosedError, InvalidMessageError, ReplyCode
from lapispick.host.amqp.inventory_schema import Queue
from lapispick.host.amqp.methods import Method, decode_method, encode_method
from lapispick.host.amqp.replies import MAX_PUBLISH_ATTEMPTS, ReplyPublisher
from lapispick.host.amqp.request_builder import RequestBuilder
from lapispick.host.logs import log
from lapispick.host.requests import Answer, AnswerKind
from lapispick.host.scheduler import EventLoop

LOG = "amqp"
REOPEN_DELAY_S = 1.0  # after the broker closed the channel or cancelled the consumer of a queue


class ChannelOwner(Protocol):
    """Interface of the session that opened a channel."""

    loop: EventLoop
    name: str  # for log lines
    request_builder: RequestBuilder

    @property
    def frame_max_bytes(self) -> int: ...  # noqa: D102
    @property
    def host_is_shutting_down(self) -> bool: ...  # noqa: D102
    def send(self, data: bytes) -> None: ...  # noqa: D102
    def post(self, event: events.Event) -> None: ...  # noqa: D102
    def caller_number(self, channel: Channel) -> int: ...  # noqa: D102
    def is_current(self, channel: Channel) -> bool: ...  # noqa: D102
    def on_channel_ready(self) -> None: ...  # noqa: D102
    def on_channel_closed(self, channel: Channel) -> None: ...  # noqa: D102
    def on_channel_closed_by_broker(self, channel: Channel) -> None: ...  # noqa: D102
    def close_if_done(self) -> None: ...  # noqa: D102


class Channel:
    """One channel and its consumer of one queue."""

    def __init__(self, owner: ChannelOwner, number: int, queue: Queue) -> None:
        self.owner = owner
        self.number = number
        self.queue = queue
        self.consumer_tag = f"lapispick-{number}"
        self.is_cancelled = False  # the consumer is to be cancelled, or not to be started
        self.is_ready = False  # the broker has confirmed the consumer, or has closed the channel
        self.is_retired = False  # to be closed as soon as it is idle
        self.in_flight: dict[int, Delivery] = {}  # accepted but not yet settled, by delivery tag
        self._is_open = False
        self._is_consuming = False
        self._is_consume_pending = False  # sent, but not yet confirmed
        self._is_cancel_pending = False  # sent, but not yet confirmed
        self._close_sent = False
        self._content = ContentAssembler(queue.name)
        self._replies = ReplyPublisher(number, owner.send)

    def _send(self, method: Method) -> None:
        self.owner.send(encode_method(self.number, method))

    def on_frame(self, frame: Frame) -> None:
        """Handle a frame; raise ``CodecError`` or ``ConnectionClosedError`` if it is invalid."""
        if frame.type is not FrameType.METHOD:
            delivery = self._content.add(frame)
            if delivery is not None:
                self._on_message(delivery)
            return
        if self._content.is_receiving:
            raise ConnectionClosedError("a method came within a message", ReplyCode.UNEXPECTED_FRAME)
        method = decode_method(frame.payload)
        handler = HANDLERS.get(type(method))
        if handler is None:
            raise ConnectionClosedError(f"{method.name} came on a channel", ReplyCode.COMMAND_INVALID)
        handler(self, method)

    # Opening. Each step is sent when the broker has confirmed the previous one.

    def open(self) -> None:
        """Open the channel and start to consume its queue."""
        self._send(methods.ChannelOpen())

    def _on_open_ok(self, method: methods.ChannelOpenOk) -> None:
        self._is_open = True
        if self.is_retired:
            self.close_if_done()
        else:
            self._send(methods.ConfirmSelect())

    def _on_select_ok(self, method: methods.ConfirmSelectOk) -> None:
        self._send(methods.BasicQos(prefetch_size=0, prefetch_count=self.queue.prefetch, is_global=False))

    def _on_qos_ok(self, method: methods.BasicQosOk) -> None:
        self._consume()

    def _consume(self) -> None:
        if self.is_retired:
            self.close_if_done()
        elif not self.is_cancelled:
            self._is_consume_pending = True
            self._send(methods.BasicConsume(queue=self.queue.name, consumer_tag=self.consumer_tag))

    def _on_consume_ok(self, method: methods.BasicConsumeOk) -> None:
        self._is_consuming = True
        self._is_consume_pending = False
        self._log(logging.INFO, "consuming", prefetch=self.queue.prefetch)
        self._set_ready()
        if self.is_cancelled:
            self.cancel()

    def _set_ready(self) -> None:
        self.is_ready = True
        self.owner.on_channel_ready()

    def _log(self, level: int, event: str, **pairs: object) -> None:
        log(LOG, level, event, broker=self.owner.name, queue=self.queue.name, **pairs)

    # Closing.

    def cancel(self) -> None:
        """Cancel the consumer; accepted messages are still answered."""
        self.is_cancelled = True
        if self._is_consuming:
            self._is_consuming = False
            self._is_cancel_pending = True
            self._send(methods.BasicCancel(consumer_tag=self.consumer_tag))

    def _on_cancel_ok(self, method: methods.BasicCancelOk) -> None:
        self._is_cancel_pending = False
        self.close_if_done()

    def retire(self) -> None:
        """Cancel the consumer, and close the channel once all accepted messages are settled."""
        self.is_retired = True
        self.cancel()
        self.close_if_done()

    @property
    def is_idle(self) -> bool:
        """Return True if no message is in flight and none can arrive.

        The broker may deliver messages until it has confirmed a cancel.
        """
        return not (self.in_flight or self._is_consuming or self._is_consume_pending or self._is_cancel_pending)

    def close_if_done(self) -> None:
        """Close a retired channel once it is idle; closed earlier, messages on their way would be redelivered."""
        if self.is_retired and self.is_idle and self._is_open and not self._close_sent:
            self._close_sent = True
            self._send(methods.ChannelClose(ReplyCode.SUCCESS, "retired"))
        self.owner.close_if_done()

    def _on_close_ok(self, method: methods.ChannelCloseOk) -> None:
        self.owner.on_channel_closed(self)

    def _on_cancelled_by_broker(self, method: methods.BasicCancel) -> None:
        """Consume again after a delay; accepted messages can still be answered."""
        self._log(logging.WARNING, "consumer-cancelled")
        self._is_consuming = False
        if not self.is_cancelled:
            self.owner.loop.call_later(jitter.backoff(REOPEN_DELAY_S, random.random()), self._consume_again)

    def _consume_again(self) -> None:
        if self.owner.is_current(self) and not self._is_consuming:
            self._consume()

    def _on_closed_by_broker(self, method: methods.ChannelClose) -> None:
        """Let the session open a new channel; the broker redelivers the unsettled messages of this one."""
        self._log(logging.WARNING, "channel-closed", code=method.reply_code, text=method.reply_text)
        self._send(methods.ChannelCloseOk())
        self._set_ready()
        self.owner.on_channel_closed_by_broker(self)

    def _on_flow(self, method: methods.ChannelFlow) -> None:
        self._send(methods.ChannelFlowOk(method.active))

    # Messages and their answers.

    def _on_deliver(self, method: methods.BasicDeliver) -> None:
        self._content.start(Delivery(method.delivery_tag, method.redelivered))

    def _on_return(self, method: methods.BasicReturn) -> None:
        self._content.start(Delivery(RETURNED_REPLY_TAG))

    def _on_message(self, delivery: Delivery) -> None:
        if delivery.is_returned_reply:
            if self._replies.mark_unroutable(delivery):
                log(LOG, logging.WARNING, "reply-unroutable", queue=self.queue.name)
            return
        if self.owner.host_is_shutting_down or len(self.in_flight) >= self.queue.prefetch:
            # Requeued, so that another host may execute it. A message that arrives after only this consumer was
            # cancelled is accepted, since a requeue would mark it as redelivered.
            self._send(methods.BasicReject(delivery.tag, requeue=True))
            return
        self.in_flight[delivery.tag] = delivery
        try:
            request = self.owner.request_builder.build(
                delivery, self.queue, self.owner.caller_number(self), lambda answer: self._answer(delivery, answer)
            )
        except InvalidMessageError as err:
            log(LOG, logging.WARNING, "message-unusable", queue=self.queue.name, error=err)
            self._answer(delivery, Answer(AnswerKind.FAILED))
            return
        finally:
            delivery.drop_content()
        self.owner.post(events.RequestArrived(request))

    def _answer(self, delivery: Delivery, answer: Answer) -> None:
        """Send the final answer: first the reply, then the acknowledgement once the broker has confirmed the reply."""
        if not self.owner.is_current(self):
            return  # the channel is closed, so the broker redelivers the message
        delivery.answer = answer
        if delivery.reply_to:
            self._replies.publish(delivery, self.owner.frame_max_bytes)
        else:
            self._settle(delivery)

    def _on_reply_acked(self, method: methods.BasicAck) -> None:
        for delivery in self._replies.pop_confirmed(method):
            self._settle(delivery)

    def _on_reply_nacked(self, method: methods.BasicNack) -> None:
        for delivery in self._replies.pop_confirmed(method):
            if delivery.publish_attempts < MAX_PUBLISH_ATTEMPTS:
                self._replies.publish(delivery, self.owner.frame_max_bytes)
            else:
                log(LOG, logging.ERROR, "reply-not-taken", queue=self.queue.name)
                delivery.is_unroutable = True
                self._settle(delivery)

    def _settle(self, delivery: Delivery) -> None:
        """Acknowledge a message; reject it if it was not served and no reply was delivered."""
        assert delivery.answer is not None
        is_replied = bool(delivery.reply_to) and not delivery.is_unroutable
        del self.in_flight[delivery.tag]
        if is_replied or delivery.answer.kind == AnswerKind.SERVED:
            self._send(methods.BasicAck(delivery.tag))
        else:
            self._send(methods.BasicReject(delivery.tag, requeue=False))
        self.close_if_done()


# Each handler accepts only the method type that it is registered for; the type of the table can't express this.
HANDLERS: dict[type[Method], Callable[[Channel, Any], None]] = {
    methods.ChannelOpenOk: Channel._on_open_ok,
    methods.ConfirmSelectOk: Channel._on_select_ok,
    methods.BasicQosOk: Channel._on_qos_ok,
    methods.BasicConsumeOk: Channel._on_consume_ok,
    methods.BasicCancelOk: Channel._on_cancel_ok,
    methods.BasicCancel: Channel._on_cancelled_by_broker,
    methods.BasicDeliver: Channel._on_deliver,
    methods.BasicReturn: Channel._on_return,
    methods.BasicAck: Channel._on_reply_acked,
    methods.BasicNack: Channel._on_reply_nacked,
    methods.ChannelClose: Channel._on_closed_by_broker,
    methods.ChannelCloseOk: Channel._on_close_ok,
    methods.ChannelFlow: Channel._on_flow,
}
