"""Deliveries: messages of a queue, assembled from frames and in flight until they are settled."""

from __future__ import annotations

import logging

from lapispick.host.amqp.codec import Frame, FrameType
from lapispick.host.amqp.content import REQUEST_HEADERS, Properties, decode_body_size, decode_properties
from lapispick.host.amqp.errors import ConnectionClosedError, MalformedPropertiesError, ReplyCode
from lapispick.host.logs import log
from lapispick.host.requests import MAX_BODY_BYTES, Answer

LOG = "amqp"
RETURNED_REPLY_TAG = 0  # stands for a reply that the broker returned; delivery tags start at 1


class Delivery:
    """One delivered message and the state of its answer, until it is settled."""

    __slots__ = (
        "answer",
        "body",
        "body_size",
        "is_unroutable",
        "properties",
        "properties_error",
        "publish_attempts",
        "redelivered",
        "tag",
    )

    def __init__(self, tag: int, redelivered: bool = False) -> None:
        self.tag = tag
        self.redelivered = redelivered
        self.properties = Properties()  # those that could be read
        self.properties_error = ""  # why others could not be read
        self.body_size = 0  # bytes, from the content header; the body of a message that is too long is not stored
        self.body = bytearray()
        self.answer: Answer | None = None
        self.publish_attempts = 0  # number of times that the reply was published
        self.is_unroutable = False  # the reply could not be delivered to its queue

    def drop_content(self) -> None:
        """Free what only the request needs, which may take much more memory than the rest until it is settled."""
        self.properties.headers = {}
        self.body = bytearray()

    @property
    def is_returned_reply(self) -> bool:
        """Return True if this is a reply that the broker returned as unroutable."""
        return self.tag == RETURNED_REPLY_TAG

    @property
    def reply_to(self) -> str:
        """Return the queue for the reply; empty if the requester expects no reply."""
        return self.properties.reply_to or ""


class ContentAssembler:
    """Assembler of content headers and bodies into messages, one at a time."""

    def __init__(self, queue_name: str) -> None:
        self._queue_name = queue_name
        self._delivery: Delivery | None = None
        self._has_header = False
        self._bytes_left = 0  # of the body that are not received yet

    @property
    def is_receiving(self) -> bool:
        """Return True if the content of a message is incomplete."""
        return self._delivery is not None

    def start(self, delivery: Delivery) -> None:
        """Begin a message, whose content follows in the next frames."""
        self._delivery = delivery
        self._has_header = False

    def add(self, frame: Frame) -> Delivery | None:
        """Add a content frame; return the message once it is complete. Raise an ``AmqpError`` for an invalid frame."""
        add_payload = self._add_header if frame.type is FrameType.HEADER else self._add_body
        delivery = add_payload(frame.payload)
        if self._bytes_left:
            return None
        self._delivery = None
        return delivery

    def _add_header(self, payload: bytes) -> Delivery:
        delivery = self._delivery
        if delivery is None or self._has_header:
            raise ConnectionClosedError("a content header came out of turn", ReplyCode.UNEXPECTED_FRAME)
        self._bytes_left = delivery.body_size = decode_body_size(payload)
        self._has_header = True
        try:
            delivery.properties = decode_properties(payload, REQUEST_HEADERS)
        except MalformedPropertiesError as err:  # only this message is affected, since its size is known
            delivery.properties = err.properties
            delivery.properties_error = str(err)
            log(LOG, logging.WARNING, "properties-malformed", queue=self._queue_name, error=err)
        return delivery

    def _add_body(self, payload: bytes) -> Delivery:
        delivery = self._delivery
        is_expected = self._has_header and 0 < len(payload) <= self._bytes_left
        if delivery is None or not is_expected:
            raise ConnectionClosedError("a body came out of turn", ReplyCode.UNEXPECTED_FRAME)
        self._bytes_left -= len(payload)
        if delivery.body_size <= MAX_BODY_BYTES:
            delivery.body += payload
        return delivery
