"""Parses addresses in settings: an IP address and a port, not a name, as a name lookup would block the event loop."""

from __future__ import annotations

from ipaddress import ip_address

MAX_PORT = 65535


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parse ``IP:port``, where an IPv6 address may be in brackets; raises ``ValueError``."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not min_port <= int(port) <= MAX_PORT:
        raise ValueError(f"expected IP:port with a port from {min_port} to {MAX_PORT}, got {text!r}")
    return str(ip_address(host.strip("[]"))), int(port)
