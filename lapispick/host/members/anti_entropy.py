"""Anti-entropy: members exchange their complete states over streams, one line in each direction."""

from __future__ import annotations

import logging
import socket
import time

from lapispick import jitter
from lapispick.host.logs import log
from lapispick.host.members.directory import Address
from lapispick.host.members.local_member import LocalMember
from lapispick.host.members.transport import TransportCounters, TransportReject, decode
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import LineTooLongError, Stream, StreamClosedError, connect
from lapispick.members import messages
from lapispick.members.member import Member

LOG = "members"
STREAM_TIMEOUT_S = 3.0  # for one exchange
MAX_INCOMING_STREAMS = 4
MAX_FIRST_SYNC_DELAY_S = 1.0
FLUSH_INTERVAL_S = 0.01
ACCEPT_RETRY_S = 0.01


class AntiEntropy:
    """Exchanges states with one random member every ``interval_s``, and answers the exchanges of other members."""

    def __init__(
        self, loop: EventLoop, local: LocalMember, counters: TransportCounters, interval_s: float, max_state_bytes: int
    ) -> None:
        self._loop = loop
        self._local = local
        self._counters = counters
        self._interval_s = interval_s
        self._max_state_bytes = max_state_bytes
        self._listener: socket.socket | None = None
        self._incoming_streams = 0

    def attach(self, listener: socket.socket) -> None:
        """Set the listening socket that ``serve`` accepts streams on."""
        self._listener = listener

    def serve(self) -> None:
        """Accept streams; never returns."""
        assert self._listener is not None
        while True:
            if self._loop.wait_for_io(self._listener.fileno(), READ):
                self._accept(self._listener)

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, source = listener.accept()
        except OSError:
            self._loop.sleep(ACCEPT_RETRY_S)
            return
        known_ips = {address.ip for address in self._local.directory.addresses.values()}
        if self._incoming_streams >= MAX_INCOMING_STREAMS or source[0] not in known_ips:
            connection.close()
            self._counters.reject(TransportReject.STREAM_LIMIT)
            return
        self._incoming_streams += 1
        stream = Stream(self._loop, connection, self._max_state_bytes, self._max_state_bytes)
        self._loop.spawn(self._answer_stream, stream, source[0])

    def _answer_stream(self, stream: Stream, ip: str) -> None:
        timeout = self._loop.call_later(STREAM_TIMEOUT_S, stream.close)
        try:
            line = stream.read_line()
            member = self._local.member
            if member is not None and not stream.closed and self._merge(member, line, ip):
                stream.write(messages.encode(member.state_sync(time.monotonic(), is_reply=True)) + b"\n")
                while stream.unsent_bytes and not stream.closed:
                    self._loop.sleep(FLUSH_INTERVAL_S)
        except (LineTooLongError, OSError):
            self._counters.reject(TransportReject.INVALID)
        finally:
            timeout.cancel()
            self._incoming_streams -= 1
            stream.close_gracefully()

    def sync_periodically(self) -> None:
        """Exchange states periodically, the first time soon after the start; never returns."""
        rng = self._local.rng
        wait = min(MAX_FIRST_SYNC_DELAY_S, self._interval_s / 4) * (0.5 + rng.random())
        while True:
            self._loop.sleep(wait)
            wait = jitter.period(self._interval_s, rng.random())
            member = self._local.member
            if member is not None and not self._local.has_left and not member.view.replaced:
                self._sync_with_random_peer(member)

    def _sync_with_random_peer(self, member: Member) -> None:
        addresses = self._local.directory.addresses
        candidates = [name for name in member.view.alive_peers() if name in addresses]
        if not candidates:
            return
        name = self._local.rng.choice(candidates)
        try:
            self._exchange(member, addresses[name])
        except (OSError, StreamClosedError, LineTooLongError) as err:
            log(LOG, logging.DEBUG, "sync-failed", host=name, error=err)

    def _exchange(self, member: Member, address: Address) -> None:
        limit = self._max_state_bytes
        stream = connect(self._loop, address, STREAM_TIMEOUT_S, max_line_bytes=limit, max_unsent_bytes=limit)
        try:
            stream.write(messages.encode(member.state_sync(time.monotonic())) + b"\n")
            self._merge(member, stream.read_line(STREAM_TIMEOUT_S), address.ip)
        finally:
            stream.close()

    def _merge(self, member: Member, line: bytes | None, ip: str) -> bool:
        message = decode(line) if line else None
        if not isinstance(message, messages.StateSync) or not self._is_from(message.sender, ip):
            self._counters.reject(TransportReject.INVALID)
            return False
        now = time.monotonic()
        is_accepted = member.merge_state(now, message)
        self._local.log_events(member, now)
        return is_accepted

    def _is_from(self, sender: str, ip: str) -> bool:
        address = self._local.directory.addresses.get(sender)
        return address is not None and address.ip == ip
