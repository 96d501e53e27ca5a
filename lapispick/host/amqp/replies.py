"""Replies to messages: published with publisher confirms, and published again if the broker rejects one."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable

from lapispick.host.amqp.content import Properties, encode_content
from lapispick.host.amqp.deliveries import Delivery
from lapispick.host.amqp.methods import BasicAck, BasicNack, BasicPublish, encode_method
from lapispick.host.requests import Answer, AnswerKind

MAX_PUBLISH_ATTEMPTS = 3


class ReplyPublisher:
    """Publisher of the replies on one channel; matches the confirms of the broker with the replies."""

    def __init__(self, channel_number: int, send: Callable[[bytes], None]) -> None:
        self._channel_number = channel_number
        self._send = send
        self._published_count = 0
        self._unconfirmed: dict[int, Delivery] = {}  # by publication number, the delivery tag of its confirm

    def publish(self, delivery: Delivery, frame_max_bytes: int) -> None:
        """Publish the reply to an answered message."""
        assert delivery.answer is not None
        self._published_count += 1
        delivery.publish_attempts += 1
        self._unconfirmed[self._published_count] = delivery
        publish = BasicPublish(routing_key=delivery.reply_to, mandatory=True)
        properties = self._properties(delivery, delivery.answer)
        body = base64.b64decode(delivery.answer.result or "")
        self._send(encode_method(self._channel_number, publish))
        self._send(encode_content(self._channel_number, properties, body, frame_max_bytes))

    def _properties(self, delivery: Delivery, answer: Answer) -> Properties:
        request = delivery.properties
        return Properties(
            headers=_headers(answer),
            type=answer.kind.value,
            correlation_id=request.correlation_id or request.message_id,
            message_id=self._message_id(delivery),
            timestamp=int(time.time()),
        )

    def _message_id(self, delivery: Delivery) -> str:
        return f"{self._channel_number}-{delivery.tag}"

    def mark_unroutable(self, returned: Delivery) -> bool:
        """Record that the broker returned a reply; return False if no unconfirmed reply matches it."""
        message_id = returned.properties.message_id
        matching = [delivery for delivery in self._unconfirmed.values() if self._message_id(delivery) == message_id]
        for delivery in matching:
            delivery.is_unroutable = True
        return bool(matching)

    def pop_confirmed(self, confirm: BasicAck | BasicNack) -> list[Delivery]:
        """Return the messages whose replies a confirm covers, and remove these replies from the unconfirmed ones."""
        last_number = confirm.delivery_tag  # 0 with ``multiple``: all unconfirmed replies
        numbers = [
            number
            for number in self._unconfirmed
            if number == last_number or (confirm.multiple and (not last_number or number < last_number))
        ]
        return [self._unconfirmed.pop(number) for number in numbers]


def _headers(answer: Answer) -> dict[str, object]:
    headers: dict[str, object] = {"outcome": answer.kind.value}
    if answer.kind == AnswerKind.REJECTED and answer.retry_after_ms > 0:
        headers["pause"] = answer.retry_after_ms
    if answer.kind == AnswerKind.REJECTED and answer.no_retry:
        headers["terminal"] = 1
    if answer.backpressure is not None:
        headers["advice"] = float(answer.backpressure)
    return headers
