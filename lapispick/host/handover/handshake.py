"""Handshake of a link: the hello of the newer process, and the older one's reply with the listening socket."""

from __future__ import annotations

import socket

import msgspec

from lapispick.handover import messages
from lapispick.host.scheduler import READ, EventLoop
from lapispick.host.streams import LineTooLongError, Stream

REPLY_TIMEOUT_S = 1.0
DESCRIPTOR_CARRIER = b"\n"  # a descriptor can only be sent along with at least one byte
LINK_ERRORS = (OSError, LineTooLongError, msgspec.DecodeError)  # caused by a faulty peer; TimeoutError is an OSError


class HostIdentity(msgspec.Struct, frozen=True):
    """Name and listening address of a worker host, which are the same for both of its processes."""

    name: str
    listen: str


class LinkReply(msgspec.Struct, frozen=True):
    """Reply of the older process: the descriptor of its listening socket, and a line to be decoded."""

    listener: int
    line: bytes


class HandshakeError(ConnectionError):
    """Rejection of the link by the other process, or a missing or invalid reply."""


def read_hello(stream: Stream) -> messages.Message | None:
    """Return the first message of the newer process, or None if it sent none; raises ``LINK_ERRORS``."""
    line = stream.read_line(REPLY_TIMEOUT_S)
    return messages.decode(line) if line else None


def rejection_reason(hello: messages.Hello, identity: HostIdentity, linked: bool, listening: bool) -> str:
    """Return the reason for rejecting a link, or an empty string if the link is accepted."""
    if messages.negotiate_version(hello) is None:
        return f"version {hello.version} is not {messages.VERSION}"
    if HostIdentity(hello.name, hello.listen) != identity:
        return "another worker host"
    if linked:
        return "linked already"
    if not listening:
        return "leaving"
    return ""


def reject(stream: Stream, reason: str) -> None:
    """Reply with a rejection and close the connection."""
    stream.write(messages.encode(messages.LinkRejected(reason)))
    stream.close()


def pass_listener(stream: Stream, listener: int) -> None:
    """Send the descriptor of the listening socket; raises ``OSError``."""
    socket.send_fds(stream.sock, [DESCRIPTOR_CARRIER], [listener])


def request_link(loop: EventLoop, stream: Stream, hello: messages.Hello) -> LinkReply:
    """Send a hello and return the reply; raises ``LINK_ERRORS``, which include ``HandshakeError``."""
    stream.write(messages.encode(hello))
    if not loop.wait_for_io(stream.sock.fileno(), READ, REPLY_TIMEOUT_S):
        raise TimeoutError(f"the other process did not reply within {REPLY_TIMEOUT_S} s")
    first_byte, descriptors, _, _ = socket.recv_fds(stream.sock, 1, 1)
    line = stream.read_line(REPLY_TIMEOUT_S)
    if descriptors and line is not None:
        return LinkReply(descriptors[0], line)
    reply = messages.decode(first_byte + line) if first_byte and line else None
    raise HandshakeError(reply.reason if isinstance(reply, messages.LinkRejected) else "received no valid reply")
