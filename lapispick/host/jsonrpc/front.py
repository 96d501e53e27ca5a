"""The platform's front: JSON-RPC 2.0 over TCP, one message a line. It decides nothing."""

from __future__ import annotations

import base64
import binascii
import errno
import logging
import re
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any, Literal

import msgspec

from lapispick import admission
from lapispick.handover import budget
from lapispick.host import connection_eviction, events
from lapispick.host.logs import log
from lapispick.host.requests import MAX_BODY_BYTES, MAX_REQUEST_MEMORY_KB, Answer, AnswerKind, Request
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import LineTooLongError, Stream, is_readable
from lapispick.platform_settings import Info

LOG = "clients"
LONGEST = 8 * 1024  # bytes of one message; with a body of 2 KiB it has about 3,200
CHUNK = 16 * 1024  # bytes read from a connection at once
OUT_MOST = 256 * 1024  # bytes that wait for a slow reader; 32 full answers are under that
OPEN_MOST = 32  # requests on one connection
LINES_A_TURN = 16  # messages of one connection; then the others have their turn
BACKLOG = 1024
FAULTS_MOST = 3  # messages that can't be used; then the connection is closed
BORN_MS = (60_000.0, 1000.0)  # ms; how long ago a request may have come, and how far clocks may be apart
PATIENCES = 10.0  # times the deadline of a class; no gateway waits longer
ACCEPTS = 64  # in one round, so that a flood of connections leaves time for the rest
LOOKS_MOST = 8  # connections more than are accepted at once that are looked at when room is made
# s; for so long the order of who goes is used, of the kind that costs least and of the others: to find it takes some
# ms where hundreds are open
ORDER_S = (0.05, 0.01)
SWEEP_S = 0.1  # s; between two looks for idle connections
CLOSE_S = 1.0  # s; how long a peer may take to close after goaway
STOPPED_S = 3.0  # s; a reader that took nothing for so long may lose its connection where room is needed
ENDED_S = 10.0  # s; the longest for the answers to a gateway that has ended its side and reads slowly
PARSE, INVALID, NO_METHOD, FAILED, REFUSED = -32700, -32600, -32601, -32000, -32050


class Params(msgspec.Struct):
    """The values used of any message's params."""

    trace: str = ""
    born: float = 0.0
    client: int = 0
    customer: str = ""
    patience: float | None = None
    redo: Literal[0, 1] = 0
    size: float = 0.0
    order: float = -1.0
    nonce: str = ""
    doc: str | None = None
    thorough: bool = False
    id: int | None = None


class Message(msgspec.Struct):
    """A request or a notification."""

    jsonrpc: Literal["2.0"]
    method: str
    id: int | None = None
    params: Params = msgspec.field(default_factory=Params)


class OnlyId(msgspec.Struct):
    """What is needed to answer a message that can't be used."""

    id: int | None = None


_decode = msgspec.json.Decoder(Message).decode
_decode_id = msgspec.json.Decoder(OnlyId).decode
_encode = msgspec.json.Encoder().encode


class Faulty(Exception):
    """A message that can't be used."""


TRACE, NONCE = re.compile("[0-9a-fA-F]{16}"), re.compile("[0-9a-fA-F]{32}")


def check(p: Params, cls: admission.ClassSettings, customers: set[str], needs_patience: bool) -> None:
    """Raise ``Faulty`` for values outside the protocol's bounds; what is odd must not reach the decisions."""
    if not TRACE.fullmatch(p.trace):
        raise Faulty("trace must be 16 hex digits")
    age = time.time() * 1000 - p.born
    if not -BORN_MS[1] <= age <= BORN_MS[0]:
        raise Faulty("born must be a time of the last minute, in Unix milliseconds")
    if p.patience is None and needs_patience:
        raise Faulty("patience is needed")
    if p.patience is not None and not 0 < p.patience <= PATIENCES * cls.deadline_ms:
        raise Faulty("patience must be above 0 and no more than any client waits")
    if not 0 <= p.client < 1 << 32:
        raise Faulty("client must be the number of a gateway")
    if customers and p.customer not in customers:
        raise Faulty("there is no such customer")
    if not 0 < p.size < MAX_REQUEST_MEMORY_KB:
        raise Faulty("size must be above 0 and under 2,000")
    if not 0 <= p.order < 1:
        raise Faulty("order must be from 0 to under 1")
    if cls.idempotency is admission.Idempotency.KEYED and not NONCE.fullmatch(p.nonce):
        raise Faulty("a keyed class needs a nonce of 32 hex digits")
    try:
        size = len(base64.b64decode(p.doc or "", validate=True))
    except (binascii.Error, ValueError):
        raise Faulty("doc is not base64") from None
    if p.doc is None or size > MAX_BODY_BYTES:
        raise Faulty(f"doc holds {size} bytes")


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
                elif (lines := lines + 1) % LINES_A_TURN == 0:
                    self.front.loop.yield_control()
        except LineTooLongError as err:
            self._fault(None, INVALID, "the message is too long", last=True, error=err)
        except Exception:  # guards the peer against waiting for a connection that nobody reads any more
            self.close()
            raise
        self.ended = True
        self._hand_over()
        # A gateway that only closed its sending side still waits for what it asked, and for what is on its way.
        if self.stream.failed:
            self.close()
        elif not self.open:
            self.stream.close_gracefully(ENDED_S)

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
            self._error(number, FAILED, "The connection ends")
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
            self.stream.write(b'{"jsonrpc":"2.0","method":"goaway"}\n')

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
        stopped = self.stream.stalled_s() > STOPPED_S
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
            message = _decode(line)
        except msgspec.ValidationError as err:
            return self._invalid(line, err)
        except msgspec.DecodeError as err:
            return self._fault(None, PARSE, "not JSON", last=True, error=err)
        if message.method == "giveUp":
            return self._give_up(message)
        number = message.id
        if number is None:
            return self._fault(None, INVALID, "a request needs an id")
        if message.method == "probe":
            self.proven, self.last_id = True, max(self.last_id, number)
            deep = message.params.thorough
            return self.front.post(
                events.HealthCheckReceived(deep, lambda good, advice: self._health(number, good, advice))
            )
        if not self._new_id(number):
            return
        cls = self.front.classes.get(message.method)
        if cls is None:
            return self._fault(number, NO_METHOD, "no such class")
        try:
            check(message.params, self.front.settings.classes[cls], self.front.customers, self.front.needs_patience)
        except Faulty as err:
            return self._fault(number, INVALID, str(err))
        if len(self.open) >= OPEN_MOST:
            return self._fault(number, REFUSED, "too many open requests", last=True)
        self._request(number, cls, message)

    def _new_id(self, number: int) -> bool:
        """Note an id; one that was used ends the connection, for no answer to it could be told apart."""
        if self.last_id < number < 1 << 53:
            self.last_id = number
            return True
        # An answer may have gone out under this id: another would be a duplicate.
        known = number if number in self.open else None
        self._fault(known, INVALID, "the id is not new on this connection", last=True)
        return False

    def _request(self, number: int, cls: int, message: Message) -> None:
        p = message.params
        self.proven = True
        self.open[number] = self._fresh[number] = Request(
            request_id=p.trace,
            handler=message.method,
            cls=cls,
            body=p.doc or "",
            born_at=p.born,
            deadline_at=p.born + p.patience if p.patience else 0.0,
            request_memory_kb=p.size,
            rank=p.order,
            caller=p.client,
            idempotency_key=("nonce", p.nonce) if p.nonce else None,
            account=p.customer,
            is_retry=bool(p.redo),
            reply=lambda answer: self._answer(number, answer),
        )

    def _hand_over(self) -> None:
        if self._fresh:
            fresh, self._fresh = self._fresh, {}
            for request in fresh.values():
                self.front.post(events.RequestArrived(request))

    def _give_up(self, message: Message) -> None:
        p = message.params
        number = p.id if p.id is not None else message.id
        request = self.open.get(number) if number is not None else None
        if request is None and p.trace:
            number, request = next(((n, r) for n, r in self.open.items() if r.request_id == p.trace), (None, None))
        if request is None or number is None:
            if number is None or number > self.last_id:
                self._fault(None, INVALID, "no such request")
            return
        del self.open[number]
        self.front.post(events.ClientCancelled(request, before_arrival=self._fresh.pop(number, None) is not None))
        # None is owed; it tells a peer that asks and takes back by the hundreds that we have read it.
        self._error(number, FAILED, "Given up", self.front.advice())
        self._settled()

    def word(self, text: str) -> None:
        """Tell the peer what is wrong with a message that has no number yet."""
        self._error(None, INVALID, text)

    def _fault(self, number: int | None, code: int, text: str, last: bool = False, **pairs: Any) -> None:
        """Answer what can't be used; close a connection that can't be understood or has too many faults."""
        self.faults += 1
        log(LOG, logging.WARNING, "request-faulty", fault=text, id=number, **pairs)
        if number is not None and number in self.open:
            self._end(number)
        self._error(number, code, text)
        if last or self.faults >= FAULTS_MOST:
            self.finish()

    def _invalid(self, line: bytes, err: Exception) -> None:
        """Answer JSON that is no message, under its id if that can be read and is new."""
        try:
            number = _decode_id(line).id
        except msgspec.DecodeError:
            number = None
        if number is None or self._new_id(number):
            self._fault(number, INVALID, "not a message of the protocol", error=err)

    def _answer(self, number: int, answer: Answer) -> None:
        if self.open.pop(number, None) is None:
            return  # given up or gone
        if answer.client_error:
            self._fault(number, FAILED, answer.client_error)
            return self._settled()
        if answer.kind == AnswerKind.SERVED:
            self.faults = 0
            self._send(number, "result", {"doc": answer.result}, answer.backpressure)
        elif answer.kind == AnswerKind.FAILED:
            self._error(number, FAILED, "Failed", answer.backpressure)
        else:
            data: dict[str, Any] = {"pause": round(answer.retry_after_ms, 1)} if answer.retry_after_ms > 0 else {}
            if answer.no_retry:
                data["terminal"] = 1
            self._error(number, REFUSED, "Busy", answer.backpressure, data)
        self._settled()

    def _settled(self) -> None:
        self.used_at = time.monotonic()
        if self.stream.failed:
            self.close()
        elif not self.open and self.ended:
            self.stream.close_gracefully(ENDED_S)
        elif not self.open and self.shut:
            self.stream.close_gracefully()

    def _health(self, number: int, good: bool, advice: float | None) -> None:
        self._send(number, "result", {"healthy": good}, advice)

    def _error(
        self, number: int | None, code: int, text: str, advice: float | None = None, data: dict[str, Any] | None = None
    ) -> None:
        data = data or {}
        if advice is None:
            advice = self.front.advice()
        if advice is not None:
            data["advice"] = advice
        error = {"code": code, "message": text, "data": data}
        self.stream.write(_encode({"jsonrpc": "2.0", "id": number, "error": error}) + b"\n")

    def _send(self, number: int, member: str, fields: dict[str, Any], advice: float | None) -> None:
        if advice is not None:
            fields["advice"] = advice
        self.stream.write(_encode({"jsonrpc": "2.0", "id": number, member: fields}) + b"\n")


class Gateways:
    """Listens, and keeps the connections within the limit on descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        listen: tuple[str, int],
        info: Info,
        settings: admission.Settings,
        most: int,
        post: Callable[[Any], None],
        advice: Callable[[], float | None],
    ) -> None:
        self.loop, self.post, self.advice = loop, post, advice
        self.classes = {s.name: i for i, s in enumerate(info.services)}
        self.settings, self.customers = settings, {p.name for p in info.parties}
        self.needs_patience = info.family_info.passes_deadline
        self.connections: set[Connection] = set()
        self._most, self._idle_s, self._leaving = most, settings.idle_timeout_ms / 1000, False
        self._listen = listen
        self._sock: socket.socket | None = None
        self.address = "{}:{}".format(*listen)
        self._going: Iterator[tuple[Connection, int]] | None = None  # who makes room, in their order, with their kind
        self._ordered_at, self._least = 0.0, 0  # when the order was found, and the kind that it began with
        self.others: int | None = None  # connections of another process of this worker host; None = there is none

    @property
    def listening(self) -> bool:
        """Tell whether connections are accepted."""
        return self._sock is not None

    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        assert self._sock is not None
        return self._sock.fileno()

    def listen(self, sock: socket.socket | None = None) -> None:
        """Listen at the address, or at the socket that the process before this one hands over."""
        if sock is None:
            family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # the next version may start beside this one
            sock.bind(self._listen)
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._sock = sock
        self.address = "{}:{}".format(*sock.getsockname()[:2])

    def serve(self) -> None:
        """Accept connections until told to close."""
        self.loop.call_later(SWEEP_S, self._sweep)
        while (sock := self._sock) is not None:
            # The listener may be closed between its wake and our turn.
            if self.loop.wait_for_io(sock.fileno(), READ) and self._sock is sock and not self._accept(sock):
                self.loop.sleep(0.05)

    def _accept(self, listener: socket.socket) -> bool:
        """Accept what waits; False where there is no room just now."""
        for _ in range(ACCEPTS):
            if len(self.connections) >= budget.max_connections(self._most, self.others):
                if not is_readable(listener):  # nobody waits, so nobody has to go
                    break
                if not self._make_room():
                    return False
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as err:  # out of descriptors, say: those that are open go on
                if err.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                log(LOG, logging.ERROR, "accept-failed", error=err)
                return self._make_room()
            connection = Connection(self, Stream(self.loop, sock, LONGEST, OUT_MOST, CHUNK))
            self.connections.add(connection)
            if self._leaving:
                connection.goaway()
            self.loop.spawn(connection.serve)
        return True

    def _make_room(self) -> bool:
        """Close the connection that is the least loss, unless bytes of it wait in the system."""
        now, fresh = time.monotonic(), False
        while not fresh:
            age = now - self._ordered_at
            if self._going is None or age > ORDER_S[0]:
                going = connection_eviction.order(((c, c.standing()) for c in self.connections), now)
                self._going, self._ordered_at, fresh = iter(going[: ACCEPTS + LOOKS_MOST]), now, True
                self._least = going[0][1] if going else 0
            for c, kind in self._going:
                if not fresh and kind > self._least and age > ORDER_S[1]:  # by now others may cost less
                    break
                # What came since the order was found may be a reason to keep a connection, and is looked at again.
                if c.stream.closed or not connection_eviction.still(kind, c.standing(), now):
                    continue
                if c.stream.closing or not c.stream.has_pending_input():
                    c.close()
                    return True
            self._going = None
        return False

    def closed(self, connection: Connection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)

    def limit_idle(self, span_ms: float) -> None:
        """Let connections go that carried nothing for this long."""
        self._idle_s = span_ms / 1000

    def leave(self) -> None:
        """Tell all gateways that nothing new is wanted here."""
        self._leaving = True
        for connection in self.connections:
            connection.goaway()

    def close_listener(self, passed: bool = False) -> None:
        """Take in what has connected so far and refuse the rest; where it was passed on, the other process goes on."""
        if (sock := self._sock) is not None:
            rounds = 0 if passed else BACKLOG // ACCEPTS + 1  # all that the system holds, which is the backlog at most
            while rounds and is_readable(sock) and self._accept(sock):
                rounds -= 1
            self._sock = None
            self.loop.cancel_io_waits(sock.fileno())
            sock.close()

    def quiet(self) -> bool:
        """Tell whether nothing is open, unread or half read on any connection that still takes something."""
        return not any(
            c.open or c.stream.unsent_bytes or not (c.stream.discarding or c.stream.eof_received or c.stream.is_idle())
            for c in self.connections
        )

    def finish(self) -> None:
        """End all connections; what was written on them is still on its way."""
        for c in list(self.connections):
            c.finish()

    def gone(self) -> bool:
        """Tell whether all connections are closed."""
        return all(c.stream.closed for c in self.connections)

    def flushed(self) -> bool:
        """Tell whether all answers were handed to the system."""
        return not any(c.stream.unsent_bytes for c in self.connections)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        while len(self.connections) > budget.max_connections(self._most, self.others) and self._make_room():
            pass  # another process of this worker host needs a part of the descriptors
        for c in list(self.connections):
            if c.stream.closed:
                c.close()
            elif c.stream.discarding or c.ended:
                pass  # it ends by itself
            elif c.overdue(now):
                log(LOG, logging.INFO, "silent-closed", unread=c.stream.unread_bytes, open=len(c.open))
                if c.open:  # what was asked before is still answered; the message that never ends has its word now
                    c.word("the message did not come whole in time")
                    c.shut_in()
                else:
                    c.finish()
            elif not (c.open or c.stream.unsent_bytes) and self._idle_s and now - c.used_at > self._idle_s:
                # First goaway, so that a request that crosses the close is not lost; then the gateway closes.
                c.goaway()
                if now - c.used_at > self._idle_s + CLOSE_S and not (
                    c.stream.unread_bytes or c.stream.has_pending_input()
                ):
                    c.finish()
