"""Parses addresses in settings: an IP address and a port, not a name, as a name lookup would block the event loop."""

from __future__ import annotations

import socket

MAX_PORT = 65535


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parse ``IP:port``, where an IPv6 address may be in brackets; raises ``ValueError``."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not min_port <= int(port) <= MAX_PORT:
        raise ValueError(f"expected IP:port with a port from {min_port} to {MAX_PORT}, got {text!r}")
    return _normalized_ip(host.strip("[]")), int(port)


def _normalized_ip(text: str) -> str:
    """Return an IP address in its usual form; raises ``ValueError``."""
    try:
        return socket.inet_ntop(socket.AF_INET, socket.inet_pton(socket.AF_INET, text))
    except OSError:
        from ipaddress import ip_address  # 0.3 MB, which a host with IPv4 addresses does not need

        return str(ip_address(text))
