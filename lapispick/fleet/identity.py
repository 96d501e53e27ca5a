"""Canonical forms of host names and addresses, to detect different spellings of one host. No I/O, no DNS look-ups.

The canonical form of a name is its IDNA form (UTS 46, RFC 5891) in lower case without a trailing dot; the configured
domain is appended to a name without a dot. The canonical form of an address is its shortest form; an IPv4-mapped IPv6
address (RFC 4291, 2.5.5.2) becomes an IPv4 address.
"""

from __future__ import annotations

import re
from ipaddress import IPv6Address, ip_address

import idna

from lapispick.fleet.errors import HostNameError

MAX_NAME_CHARACTERS = 253  # RFC 1035
MAX_LABEL_CHARACTERS = 63
MAX_PORT = 65535
_SHOWN_CHARACTERS = 40  # of a name that is too long, in an error message
_LABEL = re.compile(r"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?")  # underscores occur in the aliases of configuration tools
_WITH_PORT = re.compile(r"(.*):(\d{1,5})", re.DOTALL)
_UNICODE_DOTS = re.compile("[\u3002\uff0e\uff61]")


def canonical_address(text: str) -> str | None:
    """Return an address in its canonical form, None if the text is not an address.

    Raises ``HostNameError`` for an IPv6 address with a zone.
    """
    try:
        parsed = ip_address(text.removeprefix("[").removesuffix("]"))
    except ValueError:
        return None
    if isinstance(parsed, IPv6Address):
        if parsed.scope_id is not None:
            raise HostNameError(text, "has an IPv6 zone, which is valid on one machine only; expected no zone")
        if parsed.ipv4_mapped is not None:
            parsed = parsed.ipv4_mapped
    return str(parsed)


def _canonical_label(label: str, text: str) -> str:
    """Return one label of the name ``text`` in its IDNA form; raises ``HostNameError``."""
    if len(label) <= MAX_LABEL_CHARACTERS and _LABEL.fullmatch(label) and not label.startswith("xn--"):
        return label
    try:
        return idna.encode(label, uts46=True, std3_rules=True).decode().lower()
    except (idna.IDNAError, UnicodeError) as err:
        raise HostNameError(text, f"is not a valid host name: {err}") from None


def canonical_name(text: str, domain: str = "") -> str:
    """Return a host name or address in its canonical form; idempotent; raises ``HostNameError``."""
    if (canonical := canonical_address(text)) is not None:
        return canonical
    plain = text.strip().removesuffix(".").lower()
    if not plain:
        raise HostNameError(text, "is empty; expected a host name or an address")
    if not plain.isascii():
        # IDNA also accepts full-width and ideographic dots as separators of labels.
        plain = _UNICODE_DOTS.sub(".", plain).removesuffix(".")
    if re.fullmatch(r"[0-9.]+", plain):
        raise HostNameError(text, "is neither an IP address nor a valid host name: it has digits and dots only")
    if "." not in plain and domain:
        plain = f"{plain}.{canonical_name(domain)}"
    canonical = ".".join(_canonical_label(label, text) for label in plain.split("."))
    if len(canonical) > MAX_NAME_CHARACTERS:
        problem = f"... has {len(canonical)} characters as a host name; expected at most {MAX_NAME_CHARACTERS}"
        raise HostNameError(text[:_SHOWN_CHARACTERS], problem)
    return canonical


def parse_endpoint(text: str, domain: str = "") -> tuple[str, int | None]:
    """Parse ``name``, ``name:port`` or ``[v6]:port`` into (name or address, port or None); raises ``HostNameError``."""
    text = text.strip()
    match = _WITH_PORT.fullmatch(text)
    if match and (":" not in match.group(1) or match.group(1).startswith("[")):
        port = int(match.group(2))
        if not 0 < port <= MAX_PORT:
            raise HostNameError(text, f"has port {port}; expected a port from 1 to {MAX_PORT}")
        return canonical_name(match.group(1), domain), port
    return canonical_name(text, domain), None
