"""Canonical forms of host names and addresses, to tell when two spellings name one host. No I/O, no look-ups.

A name is compared without case and trailing dot, in its IDNA form (UTS 46, RFC 5891), with the configured domain
appended where it has no dot; an address in its shortest form, and IPv4 also where it is written as mapped IPv6
(RFC 4291, 2.5.5.2).
"""

from __future__ import annotations

import re
from ipaddress import IPv6Address, ip_address

import idna

from lapispick.fleet.errors import HostNameError

MAX_NAME_CHARACTERS = 253  # RFC 1035
MAX_LABEL_CHARACTERS = 63
MAX_PORT = 65535
_SHOWN_CHARACTERS = 40  # of an overlong name in a message
_LABEL = re.compile(r"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?")  # underscores: tools' aliases have them
_WITH_PORT = re.compile(r"(.*):(\d{1,5})", re.DOTALL)
_UNICODE_DOTS = re.compile("[\u3002\uff0e\uff61]")


def address(text: str) -> str | None:
    """Return an address in its canonical form, None where the text is none; raises ``HostNameError``."""
    try:
        found = ip_address(text.removeprefix("[").removesuffix("]"))
    except ValueError:
        return None
    if isinstance(found, IPv6Address):
        if found.scope_id is not None:  # is valid on one machine only
            raise HostNameError(text, "has a zone, which other machines do not know")
        if found.ipv4_mapped is not None:
            found = found.ipv4_mapped
    return str(found)


def _label(label: str, text: str) -> str:
    if len(label) <= MAX_LABEL_CHARACTERS and _LABEL.fullmatch(label) and not label.startswith("xn--"):
        return label
    try:
        return idna.encode(label, uts46=True, std3_rules=True).decode().lower()
    except (idna.IDNAError, UnicodeError) as err:
        raise HostNameError(text, f"is no host name: {err}") from None


def name(text: str, domain: str = "") -> str:
    """Return a host name or address in its canonical form; idempotent; raises ``HostNameError``."""
    if (found := address(text)) is not None:
        return found
    plain = text.strip().removesuffix(".").lower()
    if not plain:
        raise HostNameError(text, "is no host name: it is empty")
    if not plain.isascii():
        # IDNA separates labels by full-width and ideographic dots too.
        plain = _UNICODE_DOTS.sub(".", plain).removesuffix(".")
    if re.fullmatch(r"[0-9.]+", plain):
        raise HostNameError(text, "is no host name: it is a broken address")
    if "." not in plain and domain:
        plain = f"{plain}.{name(domain)}"
    canonical = ".".join(_label(label, text) for label in plain.split("."))
    if len(canonical) > MAX_NAME_CHARACTERS:
        raise HostNameError(text[:_SHOWN_CHARACTERS], f"... is no host name: over {MAX_NAME_CHARACTERS} characters")
    return canonical


def endpoint(text: str, domain: str = "") -> tuple[str, int | None]:
    """Return (name or address, port or None) of ``name``, ``name:port``, ``[v6]:port``; raises ``HostNameError``."""
    text = text.strip()
    match = _WITH_PORT.fullmatch(text)
    if match and (":" not in match.group(1) or match.group(1).startswith("[")):
        port = int(match.group(2))
        if not 0 < port <= MAX_PORT:
            raise HostNameError(text, "has no port from 1 to 65535")
        return name(match.group(1), domain), port
    return name(text, domain), None
