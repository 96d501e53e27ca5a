"""Messages between members as datagrams: receiving, sending, rate limits and counters."""

from __future__ import annotations

import enum
import logging
import socket
import time
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from lapispick.host.logs import log
from lapispick.host.members.directory import Address
from lapispick.host.members.local_member import LocalMember
from lapispick.host.scheduler import READ, EventLoop
from lapispick.members import messages
from lapispick.members.failure_detector import Outgoing

LOG = "members"
MAX_BURST_DATAGRAMS = 64  # read before other greenlets run


class TransportReject(enum.StrEnum):
    """Reason for dropping input. The values are the keys of the counters that operators see."""

    INVALID = "nonsense"
    WRONG_ADDRESS = "not from its address"
    RATE_LIMIT = "too many"
    STREAM_LIMIT = "stream refused"


class TransportCounters:
    """Counters of sent and received datagrams, and of dropped input."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.rejected: dict[str, int] = {}

    def reject(self, reason: TransportReject) -> None:
        """Count dropped input."""
        self.rejected[reason.value] = self.rejected.get(reason.value, 0) + 1


class RateLimiter:
    """Limits the messages that are accepted from each member per second."""

    def __init__(self, max_per_second: int) -> None:
        self._max_per_second = max_per_second
        self._counts: dict[str, _SecondCount] = {}

    def allows(self, name: str, now: float) -> bool:
        """Count a message and return True if it is within the limit."""
        second = int(now)
        previous = self._counts.get(name)
        count = previous.count + 1 if previous is not None and previous.second == second else 1
        self._counts[name] = _SecondCount(second, count)
        return count <= self._max_per_second

    def forget_except(self, names: Iterable[str]) -> None:
        """Drop the counts of all other names."""
        for name in self._counts.keys() - set(names):
            del self._counts[name]

    def __len__(self) -> int:
        return len(self._counts)


class _SecondCount(NamedTuple):
    second: int
    count: int


def decode(data: bytes) -> messages.Message | None:
    """Return the decoded message; None for invalid input."""
    try:
        message: messages.Message = messages.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return message


class DatagramTransport:
    """Passes datagrams from the addresses of listed members to the local member, and sends its messages."""

    def __init__(
        self, loop: EventLoop, local: LocalMember, counters: TransportCounters, max_messages_per_s: int
    ) -> None:
        self.limiter = RateLimiter(max_messages_per_s)
        self._loop = loop
        self._local = local
        self._counters = counters
        self._socket: socket.socket | None = None

    def attach(self, bound_socket: socket.socket) -> None:
        """Set the bound socket that datagrams are sent and received on."""
        self._socket = bound_socket

    def serve(self) -> None:
        """Receive datagrams; never returns."""
        assert self._socket is not None
        while True:
            if self._loop.wait_for_io(self._socket.fileno(), READ):
                self._receive_burst(self._socket)
                self._loop.yield_control()

    def _receive_burst(self, bound_socket: socket.socket) -> None:
        for _ in range(MAX_BURST_DATAGRAMS):
            try:
                data, source = bound_socket.recvfrom(messages.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # the operating system reports here that an earlier recipient was unreachable
                continue
            self._counters.received += 1
            self._receive(data, Address(source[0], source[1]))

    def _receive(self, data: bytes, source: Address) -> None:
        member = self._local.active_member()
        if member is None:
            return
        message = decode(data)
        if message is None or isinstance(message, messages.StateSync):
            return self._counters.reject(TransportReject.INVALID)
        if self._local.directory.addresses.get(message.sender) != source:
            return self._counters.reject(TransportReject.WRONG_ADDRESS)
        now = time.monotonic()
        if not self.limiter.allows(message.sender, now):
            return self._counters.reject(TransportReject.RATE_LIMIT)
        self.send(member.receive(now, message))
        return self._local.log_events(member, now)

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Send messages. A message that cannot be sent is dropped, like one that the network loses."""
        assert self._socket is not None
        for recipient, message in outgoing:
            address = self._local.directory.addresses.get(recipient)
            if address is None:
                continue
            try:
                self._socket.sendto(messages.encode_datagram(message), address)
                self._counters.sent += 1
            except OSError as err:
                log(LOG, logging.DEBUG, "message-not-sent", host=recipient, error=err)
