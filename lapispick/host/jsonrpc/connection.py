"""One gateway's connection: reads messages, hands requests to the core and writes their answers. It decides nothing."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any

import msgspec

from lapispick.host import connection_eviction, events
from lapispick.host.jsonrpc import messages
from lapispick.host.jsonrpc.messages import CANCEL_METHOD, HEALTH_CHECK_METHOD, ErrorCode, InvalidMessageError, Message
from lapispick.host.logs import log
from lapispick.host.requests import Answer, AnswerKind, Request
from lapispick.host.streams import LineTooLongError, Stream

if TYPE_CHECKING:
    from lapispick.host.jsonrpc.front import Gateways

LOG = "clients"
MAX_OPEN_REQUESTS = 32  # on one connection
MESSAGES_PER_TURN = 16  # of one connection; then the others have their turn
MAX_FAULTS = 3  # messages that can't be used; then the connection is closed
STALLED_READER_S = 3.0  # a reader that took nothing for so long may lose its connection where room is needed
HALF_CLOSED_TIMEOUT_S = 10.0  # for the answers to a gateway that has ended its side and reads slowly


class Connection:
    """One gateway's connection and the requests open on it."""

    def __init__(self, front: Gateways, stream: Stream) -> None:
        self.front, self.stream = front, stream
        self.open: dict[int, Request] = {}
        self.last_id, self.faults = 0, 0
        self.since = self.used_at = time.monotonic()
        self.part_since = 0.0  # since when part of a message waits for the rest; 0 = it does not
        self.proven = self.going = self.ended = self.suspect = False
        self.shut = False  # nothing more is taken here, and what is open is still answered
        self._fresh: dict[int, Request] = {}  # read and not yet handed to the core

    def serve(self) -> None:
        """Read messages until the gateway closes."""
        lines = 0
        try:
            while not self.stream.closed and (line := self.stream.read_line()) is not None:
                self.used_at, self.part_since = time.monotonic(), 0.0
                if line.strip():
                    self._take(line)
                # What stands behind a request may show that its peer is at fault: it is read first.
                if not self.stream.has_line():
                    self._hand_over()
                    lines = 0
                elif (lines := lines + 1) % MESSAGES_PER_TURN == 0:
                    self.front.loop.yield_control()
        except LineTooLongError as err:
            self._fault(None, ErrorCode.INVALID_REQUEST, "the message is too long", last=True, error=err)
        except Exception:  # guards the peer against waiting for a connection that nobody reads any more
            self.close()
            raise
        self.ended = True
        self._hand_over()
        # A gateway that only closed its sending side still waits for what it asked, and for what is on its way.
        if self.stream.failed:
            self.close()
        elif not self.open:
            self.stream.close_gracefully(HALF_CLOSED_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection; whoever waited on it has gone."""
        self.stream.close()
        for number in list(self.open):
            self._end(number)
        self.front.closed(self)

    def finish(self) -> None:
        """End the connection with all that was written on its way; what is open ends here, and nobody waits for it."""
        self.shut = True
        for number in list(self.open):
            self._end(number)
            self._error(number, ErrorCode.FAILED, "The connection ends")
        self.stream.close_gracefully()

    def _end(self, number: int) -> None:
        """Note that nobody waits for a request any more; the core is told where it knows of it."""
        request = self.open.pop(number)
        if self._fresh.pop(number, None) is None:
            self.front.post(events.ClientCancelled(request))

    def shut_in(self) -> None:
        """Take nothing more; end the connection as soon as what is open is answered."""
        self.shut = True
        self.stream.discard_input()
        self._settled()

    def goaway(self) -> None:
        """Ask the gateway to send nothing new here and to close."""
        if not self.going:
            self.going = True
            self.stream.write(messages.GOAWAY)

    def overdue(self, now: float) -> bool:
        """Tell whether the peer has been silent, or in the middle of a message, for too long."""
        if self.part_since and not self.stream.unread_bytes:
            self.part_since = 0.0
        elif not self.part_since and self.stream.unread_bytes and not self.stream.has_line():
            self.part_since = now
        if self.proven and not (self.part_since or self.stream.unsent_bytes):
            return False
        if not connection_eviction.overdue(
            self.standing(), now
        ):  # which also looks whether a slow reader has taken anything
            return False
        # Guards those whose bytes wait in the system because this host was held up: they have one more look.
        waits, self.suspect = not self.suspect and self.stream.has_pending_input(), True
        return not waits

    def standing(self) -> connection_eviction.Standing:
        """Return what decides whether this connection is kept."""
        part = self.stream.unread_bytes > 0 and not self.stream.has_line()
        stopped = self.stream.stalled_s() > STALLED_READER_S
        # A message that was received whole and has not had its turn yet is as good as open.
        owed = bool(self.open or self._fresh or self.stream.has_line() or (self.stream.unsent_bytes and not stopped))
        return connection_eviction.Standing(
            self.since,
            self.used_at,
            self.stream.last_received_at,
            self.stream.receive_count,
            (self.part_since or self.stream.last_received_at) if part else 0.0,
            owed,
            self.proven,
            self.faults > 0 or self.stream.closing or stopped,
        )

    def _take(self, line: bytes) -> None:
        try:
            message = messages.decode(line)
        except msgspec.ValidationError as err:
            return self._invalid(line, err)
        except msgspec.DecodeError as err:
            return self._fault(None, ErrorCode.PARSE_ERROR, "not JSON", last=True, error=err)
        if message.method == CANCEL_METHOD:
            return self._give_up(message)
        number = message.id
        if number is None:
            return self._fault(None, ErrorCode.INVALID_REQUEST, "a request needs an id")
        if message.method == HEALTH_CHECK_METHOD:
            self.proven, self.last_id = True, max(self.last_id, number)
            deep = message.params.is_deep
            return self.front.post(
                events.HealthCheckReceived(deep, lambda good, advice: self._health(number, good, advice))
            )
        if not self._new_id(number):
            return
        class_index = self.front.classes.get(message.method)
        if class_index is None:
            return self._fault(number, ErrorCode.METHOD_NOT_FOUND, "no such class")
        try:
            messages.validate(
                message.params, self.front.settings.classes[class_index], self.front.tenants, self.front.needs_timeout
            )
        except InvalidMessageError as err:
            return self._fault(number, ErrorCode.INVALID_REQUEST, str(err))
        if len(self.open) >= MAX_OPEN_REQUESTS:
            return self._fault(number, ErrorCode.REJECTED, "too many open requests", last=True)
        self._request(number, class_index, message)

    def _new_id(self, number: int) -> bool:
        """Note an id; one that was used ends the connection, for no answer to it could be told apart."""
        if self.last_id < number < 1 << 53:
            self.last_id = number
            return True
        # An answer may have gone out under this id: another would be a duplicate.
        known = number if number in self.open else None
        self._fault(known, ErrorCode.INVALID_REQUEST, "the id is not new on this connection", last=True)
        return False

    def _request(self, number: int, class_index: int, message: Message) -> None:
        params = message.params
        self.proven = True
        self.open[number] = self._fresh[number] = Request(
            request_id=params.attempt_id,
            class_name=message.method,
            class_index=class_index,
            body=params.body or "",
            born_at=params.created_at_ms,
            deadline_at=params.created_at_ms + params.timeout_ms if params.timeout_ms else 0.0,
            request_memory_kb=params.memory_kb,
            rank=params.rank,
            caller=params.gateway,
            idempotency_key=("nonce", params.idempotency_key) if params.idempotency_key else None,
            tenant=params.tenant,
            is_retry=bool(params.is_retry),
            reply=lambda answer: self._answer(number, answer),
        )

    def _hand_over(self) -> None:
        if self._fresh:
            fresh, self._fresh = self._fresh, {}
            for request in fresh.values():
                self.front.post(events.RequestArrived(request))

    def _give_up(self, message: Message) -> None:
        params = message.params
        number = params.cancelled_id if params.cancelled_id is not None else message.id
        request = self.open.get(number) if number is not None else None
        if request is None and params.attempt_id:
            number, request = next(
                ((n, r) for n, r in self.open.items() if r.request_id == params.attempt_id), (None, None)
            )
        if request is None or number is None:
            if number is None or number > self.last_id:
                self._fault(None, ErrorCode.INVALID_REQUEST, "no such request")
            return
        del self.open[number]
        self.front.post(events.ClientCancelled(request, before_arrival=self._fresh.pop(number, None) is not None))
        # None is owed; it tells a peer that asks and takes back by the hundreds that we have read it.
        self._error(number, ErrorCode.FAILED, "Given up", self.front.advice())
        self._settled()

    def word(self, text: str) -> None:
        """Tell the peer what is wrong with a message that has no number yet."""
        self._error(None, ErrorCode.INVALID_REQUEST, text)

    def _fault(self, number: int | None, code: ErrorCode, text: str, last: bool = False, **pairs: Any) -> None:
        """Answer what can't be used; close a connection that can't be understood or has too many faults."""
        self.faults += 1
        log(LOG, logging.WARNING, "request-faulty", fault=text, id=number, **pairs)
        if number is not None and number in self.open:
            self._end(number)
        self._error(number, code, text)
        if last or self.faults >= MAX_FAULTS:
            self.finish()

    def _invalid(self, line: bytes, err: Exception) -> None:
        """Answer JSON that is no message, under its id if that can be read and is new."""
        try:
            number = messages.decode_id(line).id
        except msgspec.DecodeError:
            number = None
        if number is None or self._new_id(number):
            self._fault(number, ErrorCode.INVALID_REQUEST, "not a message of the protocol", error=err)

    def _answer(self, number: int, answer: Answer) -> None:
        if self.open.pop(number, None) is None:
            return None  # given up or gone
        if answer.client_error:
            self._fault(number, ErrorCode.FAILED, answer.client_error)
            return self._settled()
        if answer.kind == AnswerKind.SERVED:
            self.faults = 0
            self._send(number, "result", {"doc": answer.result}, answer.backpressure)
        elif answer.kind == AnswerKind.FAILED:
            self._error(number, ErrorCode.FAILED, "Failed", answer.backpressure)
        else:
            data: dict[str, Any] = {"pause": round(answer.retry_after_ms, 1)} if answer.retry_after_ms > 0 else {}
            if answer.no_retry:
                data["terminal"] = 1
            self._error(number, ErrorCode.REJECTED, "Busy", answer.backpressure, data)
        self._settled()

    def _settled(self) -> None:
        self.used_at = time.monotonic()
        if self.stream.failed:
            self.close()
        elif not self.open and self.ended:
            self.stream.close_gracefully(HALF_CLOSED_TIMEOUT_S)
        elif not self.open and self.shut:
            self.stream.close_gracefully()

    def _health(self, number: int, good: bool, advice: float | None) -> None:
        self._send(number, "result", {"healthy": good}, advice)

    def _error(
        self,
        number: int | None,
        code: ErrorCode,
        text: str,
        advice: float | None = None,
        data: dict[str, Any] | None = None,
    ) -> None:
        data = data or {}
        if advice is None:
            advice = self.front.advice()
        if advice is not None:
            data["advice"] = advice
        error = {"code": code, "message": text, "data": data}
        self.stream.write(messages.encode({"jsonrpc": "2.0", "id": number, "error": error}) + b"\n")

    def _send(self, number: int, member: str, fields: dict[str, Any], advice: float | None) -> None:
        if advice is not None:
            fields["advice"] = advice
        self.stream.write(messages.encode({"jsonrpc": "2.0", "id": number, member: fields}) + b"\n")
