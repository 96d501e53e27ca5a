"""Connection of one gateway: reads messages, posts requests to the core and writes their answers.

The core decides which requests are served.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from lapispick import admission
from lapispick.host import events
from lapispick.host.connection_eviction import ConnectionState
from lapispick.host.jsonrpc import messages
from lapispick.host.jsonrpc.messages import (
    CANCEL_METHOD,
    HEALTH_CHECK_METHOD,
    MAX_MESSAGE_ID,
    ErrorCode,
    InvalidMessageError,
    Message,
)
from lapispick.host.jsonrpc.open_requests import OpenRequests
from lapispick.host.jsonrpc.peer_activity import PeerActivity
from lapispick.host.logs import log
from lapispick.host.requests import Answer, AnswerKind
from lapispick.host.scheduler import EventLoop
from lapispick.host.streams import LineTooLongError, Stream

LOG = "clients"
MAX_OPEN_REQUESTS = 32  # per connection
MESSAGES_PER_YIELD = 16  # messages read from one connection before other greenlets run
MAX_PROTOCOL_ERRORS = 3  # without a served request in between; then the connection is closed
HALF_CLOSED_TIMEOUT_S = 10.0  # for sending the answers to a slow reader that has shut down its sending side


class ConnectionContext(msgspec.Struct, eq=False):
    """Settings and callbacks that all connections of a front share."""

    loop: EventLoop
    post: Callable[[events.Event], None]  # to the core
    backpressure: Callable[[], float | None]  # returns the value that is sent with answers
    class_indexes: dict[str, int]
    classes: tuple[admission.ClassSettings, ...]
    tenants: set[str]
    needs_timeout: bool
    retries_are_marked: bool
    on_closed: Callable[[Connection], None]


class Connection:
    """Connection of one gateway, with the open requests on it."""

    def __init__(self, context: ConnectionContext, stream: Stream) -> None:
        self.stream = stream
        self.activity = PeerActivity(stream)
        self.requests = OpenRequests(context.post)
        self.input_ended = False  # the peer has shut down its sending side
        self._context = context
        self._last_id = 0
        self._goaway_sent = False
        self.closes_after_answers = False  # no more requests are accepted, but open ones are still answered

    def serve(self) -> None:
        """Read messages until the gateway closes the connection or shuts down its sending side."""
        activity = self.activity
        line_count = 0
        try:
            while not self.stream.closed and (line := self.stream.read_line()) is not None:
                activity.last_used_at = self._context.loop.active_time()
                activity.message_started_at = 0.0
                if line.strip():
                    self._on_line(line)
                # A later line may be invalid and close the connection. All buffered lines are therefore read before any
                # request is posted.
                if not self.stream.has_line():
                    self.requests.post_new()
                    line_count = 0
                    continue
                line_count += 1
                if line_count % MESSAGES_PER_YIELD == 0:
                    self._context.loop.yield_control()
        except LineTooLongError as err:
            self._on_protocol_error(None, ErrorCode.INVALID_REQUEST, "the message is too long", closes=True, error=err)
        except Exception:  # without the close, the peer would wait on a connection that is no longer read
            self.close()
            raise
        self.input_ended = True
        self.requests.post_new()
        # A gateway that only shut down its sending side still waits for its answers.
        if self.stream.failed:
            self.close()
        elif not self.requests.by_id:
            self.stream.close_gracefully(HALF_CLOSED_TIMEOUT_S)

    # Closing.

    def close(self) -> None:
        """Close the connection now and cancel its open requests."""
        self.stream.close()
        for message_id in list(self.requests.by_id):
            self.requests.abandon(message_id)
        self._context.on_closed(self)

    def close_gracefully(self) -> None:
        """Fail the open requests, and close the connection once all written data is sent."""
        self.closes_after_answers = True
        for message_id in list(self.requests.by_id):
            self.requests.abandon(message_id)
            self._send_error(message_id, ErrorCode.FAILED, "The connection ends")
        self.stream.close_gracefully()

    def close_after_answers(self) -> None:
        """Answer an incomplete message with an error, accept no more, and close once all open requests are answered.

        The connection stays open meanwhile, so it is read on: a message that arrives whole is rejected under its id.
        """
        self._send_error(None, ErrorCode.INVALID_REQUEST, "the message did not come whole in time")
        self.closes_after_answers = True
        self._on_request_ended()

    def send_goaway(self) -> None:
        """Ask the gateway to send no new requests on this connection and to close it."""
        if not self._goaway_sent:
            self._goaway_sent = True
            self.stream.write(messages.GOAWAY)

    # State that decides on closing.

    def is_overdue(self, now: float) -> bool:
        """Return True if the peer has sent nothing, or has left a message incomplete, for too long."""
        return self.activity.is_overdue(bool(self.requests.by_id), now)

    def eviction_state(self) -> ConnectionState:
        """Return the state that decides whether this connection may be evicted."""
        return self.activity.state(bool(self.requests.by_id))

    # Messages.

    def _on_line(self, line: bytes) -> None:
        if self.closes_after_answers:
            self._reject(line)
            return
        try:
            message = messages.decode(line)
        except msgspec.DecodeError as err:
            self._on_invalid_message(line, err)
            return
        if message.method == CANCEL_METHOD:
            self._on_cancel(message)
        elif message.id is None:
            self._on_protocol_error(None, ErrorCode.INVALID_REQUEST, "a request needs an id")
        elif message.method == HEALTH_CHECK_METHOD:
            self._on_health_check(message.id, message.params.is_deep)
        elif self._accept_id(message.id):
            self._on_request(message.id, message)

    def _reject(self, line: bytes) -> None:
        """Reject a message under its id; the error for the incomplete message has answered one without an id."""
        try:
            message_id = messages.decode_id(line).id
        except msgspec.DecodeError:
            return
        if message_id is not None and self._last_id < message_id <= MAX_MESSAGE_ID:
            self._last_id = message_id
            self._send_error(message_id, ErrorCode.REJECTED, "the connection ends")

    def _accept_id(self, message_id: int) -> bool:
        """Record a message id and return True if it is new.

        Any other id closes the connection, because the gateway could not distinguish the answers to it.
        """
        if self._last_id < message_id <= MAX_MESSAGE_ID:
            self._last_id = message_id
            return True
        # If no request is open under this id, one may have been answered: another answer would be a duplicate.
        answered_id = message_id if message_id in self.requests.by_id else None
        text = "the id is not new on this connection"
        self._on_protocol_error(answered_id, ErrorCode.INVALID_REQUEST, text, closes=True)
        return False

    def _on_request(self, message_id: int, message: Message) -> None:
        context = self._context
        class_index = context.class_indexes.get(message.method)
        if class_index is None:
            self._on_protocol_error(message_id, ErrorCode.METHOD_NOT_FOUND, "no such class")
            return
        try:
            messages.validate(message.params, context.classes[class_index], context.tenants, context.needs_timeout)
        except InvalidMessageError as err:
            self._on_protocol_error(message_id, ErrorCode.INVALID_REQUEST, str(err))
            return
        if len(self.requests.by_id) >= MAX_OPEN_REQUESTS:
            self._on_protocol_error(message_id, ErrorCode.REJECTED, "too many open requests", closes=True)
            return
        self.activity.has_sent_valid_message = True
        request = messages.build_request(
            message, class_index, context.retries_are_marked, lambda answer: self._on_answer(message_id, answer)
        )
        self.requests.add(message_id, request)

    def _on_cancel(self, message: Message) -> None:
        message_id = self.requests.find_cancelled(message)
        if message_id is None or message_id > self._last_id:
            self._on_protocol_error(None, ErrorCode.INVALID_REQUEST, "no such request")
        elif message_id in self.requests.by_id:
            self.requests.cancel(message_id)
            # The protocol does not require this answer. It shows a peer that sends and cancels hundreds of requests
            # which of them were read.
            self._send_error(message_id, ErrorCode.FAILED, "Given up")
            self._on_request_ended()

    def _on_health_check(self, message_id: int, is_deep: bool) -> None:
        self.activity.has_sent_valid_message = True
        self._last_id = max(self._last_id, message_id)

        def reply(is_healthy: bool, backpressure: float | None) -> None:
            self.stream.write(messages.encode_result(message_id, {"healthy": is_healthy}, backpressure))

        self._context.post(events.HealthCheckReceived(is_deep, reply))

    def _on_invalid_message(self, line: bytes, err: Exception) -> None:
        """Answer a line that is not a valid message, under its id if the id is readable and new."""
        try:
            message_id = messages.decode_id(line).id
        except msgspec.ValidationError:
            message_id = None
        except msgspec.DecodeError:
            self._on_protocol_error(None, ErrorCode.PARSE_ERROR, "not JSON", closes=True, error=err)
            return
        if message_id is None or self._accept_id(message_id):
            self._on_protocol_error(message_id, ErrorCode.INVALID_REQUEST, "not a message of the protocol", error=err)

    def _on_protocol_error(
        self, message_id: int | None, code: ErrorCode, text: str, closes: bool = False, **pairs: object
    ) -> None:
        """Answer a protocol error; close the connection if ``closes`` is set or after ``MAX_PROTOCOL_ERRORS``."""
        self.activity.protocol_error_count += 1
        log(LOG, logging.WARNING, "request-faulty", fault=text, id=message_id, **pairs)
        if message_id is not None and message_id in self.requests.by_id:
            self.requests.abandon(message_id)
        self._send_error(message_id, code, text)
        if closes or self.activity.protocol_error_count >= MAX_PROTOCOL_ERRORS:
            self.close_gracefully()

    # Answers.

    def _on_answer(self, message_id: int, answer: Answer) -> None:
        if self.requests.by_id.pop(message_id, None) is None:
            return  # the request was cancelled
        if answer.client_error:
            self._on_protocol_error(message_id, ErrorCode.FAILED, answer.client_error)
        elif answer.kind == AnswerKind.SERVED:
            self.activity.protocol_error_count = 0
            self.stream.write(messages.encode_result(message_id, {"doc": answer.result}, answer.backpressure))
        elif answer.kind == AnswerKind.FAILED:
            self._send_error(message_id, ErrorCode.FAILED, "Failed", answer.backpressure)
        else:
            data = messages.rejection_data(answer)
            self._send_error(message_id, ErrorCode.REJECTED, "Busy", answer.backpressure, data)
        self._on_request_ended()

    def _on_request_ended(self) -> None:
        self.activity.last_used_at = self._context.loop.active_time()
        if self.stream.failed:
            self.close()
        elif not self.requests.by_id and self.input_ended:
            self.stream.close_gracefully(HALF_CLOSED_TIMEOUT_S)
        elif not self.requests.by_id and self.closes_after_answers:
            self.stream.close_gracefully()

    def _send_error(
        self,
        message_id: int | None,
        code: ErrorCode,
        text: str,
        backpressure: float | None = None,
        data: messages.Fields | None = None,
    ) -> None:
        if backpressure is None:
            backpressure = self._context.backpressure()
        self.stream.write(messages.encode_error(message_id, code, text, data or {}, backpressure))
