"""The platform's front: JSON-RPC 2.0 over TCP, one message a line. It decides nothing."""

from __future__ import annotations

import base64
import binascii
import errno
import logging
import socket
import time
from collections.abc import Callable
from typing import Any

import msgspec

from lapispick import interface as api
from lapispick.host import core
from lapispick.host.core import BODY_MOST, KB_MOST
from lapispick.host.logs import log
from lapispick.host.loop import READ, Loop, Overlong, Stream
from lapispick.settings import Info

LOG = "clients"
LONGEST = 32 * 1024  # bytes of one message; a body holds 2 KiB
OUT_MOST = 512 * 1024  # bytes that wait for a slow reader; 32 full answers are under half of it
OPEN_MOST = 32  # requests on one connection
BACKLOG = 1024
FAULTS_MOST = 100  # messages that can't be used; then the connection is closed, and the log is spared
ACCEPTS = 64  # in one round, so that a flood of connections leaves time for the rest
SWEEP_S = 0.1  # s; between two looks for idle connections
CLOSE_S = 1.0  # s; how long a peer may take to close after goaway
PARSE, INVALID, NO_METHOD, FAILED, REFUSED = -32700, -32600, -32601, -32000, -32050


class Params(msgspec.Struct):
    """The values used of any message's params."""

    trace: str = ""
    born: float = 0.0
    client: int = 0
    patience: float = 0.0
    size: float = 0.0
    order: float = 0.0
    nonce: str = ""
    doc: str = ""
    thorough: bool = False
    id: int | None = None


class Message(msgspec.Struct):
    """A request or a notification."""

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


def check(params: Params, keyed: bool) -> None:
    """Raise ``Faulty`` for values outside the protocol's bounds."""
    if not params.trace or not params.born > 0 or not params.patience >= 0:
        raise Faulty("trace, born and patience are needed")
    if not 0 < params.size < KB_MOST:
        raise Faulty("size must be above 0 and under 2,000")
    if not 0 <= params.order < 1:
        raise Faulty("order must be from 0 to under 1")
    if keyed and not params.nonce:
        raise Faulty("a keyed class needs a nonce")
    try:
        size = len(base64.b64decode(params.doc, validate=True))
    except (binascii.Error, ValueError):
        raise Faulty("doc is not base64") from None
    if size > BODY_MOST:
        raise Faulty(f"doc holds {size} bytes")


class Connection:
    """One gateway's connection and the requests open on it."""

    def __init__(self, front: Gateways, stream: Stream) -> None:
        self.front, self.stream = front, stream
        self.open: dict[int, core.Request] = {}
        self.last_id, self.used_at, self.faults = 0, time.monotonic(), 0
        self.going = self.ended = False

    def serve(self) -> None:
        """Read messages until the gateway closes."""
        try:
            while (line := self.stream.read_line()) is not None:
                self.used_at = time.monotonic()
                if line.strip():
                    self._take(line)
                if self.faults > FAULTS_MOST:
                    self._fault("too-many-faults")
                    self.stream.failed = True
                    break
        except Overlong as err:
            log(LOG, logging.WARNING, "message-overlong", error=err)
            self.stream.failed = True
        self.ended = True
        # A gateway that only closed its sending side still waits for what it asked.
        if self.stream.failed or not self.open:
            self.close()

    def close(self) -> None:
        """Close the connection; whoever waited on it has gone."""
        self.stream.close()
        waiting, self.open = self.open, {}
        for request in waiting.values():
            self.front.post(core.GaveUp(request))
        self.front.closed(self)

    def goaway(self) -> None:
        """Ask the gateway to send nothing new here and to close."""
        if not self.going:
            self.going = True
            self.stream.write(b'{"jsonrpc":"2.0","method":"goaway"}\n')

    def _take(self, line: bytes) -> None:
        try:
            message = _decode(line)
        except msgspec.DecodeError as err:
            return self._malformed(line, err)
        if message.method == "giveUp":
            return self._give_up(message)
        number = message.id
        if number is None or (number <= self.last_id and message.method != "probe"):
            # An id that was used has or will have its one answer; a second would be a duplicate.
            return self._fault("id-unusable", id=number, last=self.last_id)
        self.last_id = max(self.last_id, number)
        if message.method == "probe":
            deep = message.params.thorough
            return self.front.post(core.Probed(deep, lambda good, advice: self._health(number, good, advice)))
        cls = self.front.classes.get(message.method)
        if cls is None:
            return self._error(number, NO_METHOD, "no such class")
        try:
            check(message.params, self.front.keyed[cls])
        except Faulty as err:
            self._fault("request-malformed", id=number, error=err)
            return self._error(number, INVALID, str(err))
        if len(self.open) >= OPEN_MOST:
            return self._error(number, REFUSED, "too many open requests")
        self._request(number, cls, message)

    def _request(self, number: int, cls: int, message: Message) -> None:
        p = message.params
        self.open[number] = request = core.Request(
            tag=p.trace, handler=message.method, cls=cls, body=p.doc, born=p.born,
            due_at=p.born + p.patience if p.patience else 0.0, held_kb=p.size, rank=p.order,
            caller=p.client, key=("nonce", p.nonce) if p.nonce else None,
            reply=lambda answer: self._answer(number, answer))
        self.front.post(core.Arrived(request))

    def _give_up(self, message: Message) -> None:
        p = message.params
        number = p.id if p.id is not None else message.id
        request = self.open.get(number) if number is not None else None
        if request is None and p.trace:
            number, request = next(((n, r) for n, r in self.open.items() if r.tag == p.trace), (None, None))
        if request is not None and number is not None:
            del self.open[number]
            self.front.post(core.GaveUp(request))
            self._settled()

    def _fault(self, event: str, **pairs: Any) -> None:
        self.faults += 1
        log(LOG, logging.WARNING, event, **pairs)

    def _malformed(self, line: bytes, err: Exception) -> None:
        self._fault("message-malformed", error=err)
        try:
            number = _decode_id(line).id
        except msgspec.DecodeError:
            return self._error(None, PARSE, "not a message")
        if number is not None and number > self.last_id:
            self.last_id = number
            self._error(number, INVALID, "not a message of the protocol")

    def _answer(self, number: int, answer: core.Answer) -> None:
        if self.open.pop(number, None) is None:
            return  # given up or gone
        if answer.kind == core.SERVED:
            self._send(number, "result", {"doc": answer.result}, answer.advice)
        elif answer.kind == core.FAILED:
            self._error(number, FAILED, "Failed", answer.advice)
        else:
            data: dict[str, Any] = {"pause": round(answer.retry_after, 1)} if answer.retry_after > 0 else {}
            if answer.no_retry:
                data["terminal"] = 1
            self._error(number, REFUSED, "Busy", answer.advice, data)
        self._settled()

    def _settled(self) -> None:
        self.used_at = time.monotonic()
        if self.stream.failed or (self.ended and not self.open and not self.stream.unsent):
            self.close()

    def _health(self, number: int, good: bool, advice: float | None) -> None:
        self._send(number, "result", {"healthy": good}, advice)

    def _error(self, number: int | None, code: int, text: str, advice: float | None = None,
               data: dict[str, Any] | None = None) -> None:
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

    def __init__(self, loop: Loop, listen: tuple[str, int], info: Info, settings: api.Settings, most: int,
                 post: Callable[[Any], None], advice: Callable[[], float | None]) -> None:
        self.loop, self.post, self.advice = loop, post, advice
        self.classes = {s.name: i for i, s in enumerate(info.services)}
        self.keyed = [c.effect is api.Effect.KEYED for c in settings.classes]
        self.connections: set[Connection] = set()
        self._most, self._idle_s, self._leaving = most, settings.idle_ms / 1000, False
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(BACKLOG)
        self._listening = True
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])

    def serve(self) -> None:
        """Accept connections until told to close."""
        self.loop.later(SWEEP_S, self._sweep)
        while self._listening:
            if len(self.connections) >= self._most:
                self._make_room()
                self.loop.sleep(0.02)
            elif self.loop.wait(self._sock.fileno(), READ) and not self._accept():
                self.loop.sleep(0.05)

    def _accept(self) -> bool:
        """Accept what waits; False where the system has no room just now."""
        for _ in range(min(ACCEPTS, self._most - len(self.connections))):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                break
            except OSError as err:  # out of descriptors, say: those that are open go on
                if err.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                log(LOG, logging.ERROR, "accept-failed", error=err)
                return False
            connection = Connection(self, Stream(self.loop, sock, LONGEST, OUT_MOST))
            self.connections.add(connection)
            if self._leaving:
                connection.goaway()
            self.loop.spawn(connection.serve)
        return True

    def _make_room(self) -> None:
        """Let the connection go that has been idle for longest."""
        idle = [c for c in self.connections if not c.open]
        if idle:
            min(idle, key=lambda c: c.used_at).close()

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

    def close_listener(self) -> None:
        """Take in what has connected so far and refuse the rest."""
        if self._listening:
            self._accept()
            self._listening = False
            self.loop.forget(self._sock.fileno())
            self._sock.close()

    def flushed(self) -> bool:
        """Tell whether all answers were handed to the system."""
        return not any(c.stream.unsent for c in self.connections)

    def _sweep(self) -> None:
        self.loop.later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for c in list(self.connections):
            if c.stream.closed or (c.ended and not c.open and not c.stream.unsent):
                c.close()
            elif not c.open and self._idle_s and now - c.used_at > self._idle_s:
                # First goaway, so that a request that crosses the close is not lost; then the gateway closes.
                c.goaway()
                if now - c.used_at > self._idle_s + CLOSE_S:
                    c.close()
