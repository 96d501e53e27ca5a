"""Generations of a host: each is a program folder and settings, identified by a digest of both. No I/O.

The settings are the operators' file and, optionally, changes to the platform's configuration such as another
``stop_ms``. A running process is reloaded if SIGHUP applies all differences; other differences need a new process.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from lapispick.digests import blake2b
from lapispick.rollout.compat import FormatSupport

DIGEST_BYTES = 8
RELOADABLE_KEYS = ("executor", "store", "roster", "stop_ms")  # the keys that host/reload.py applies
HOST_KEYS = ("name", "listen", "ops", "executor", "seed", "limits", "settings")  # set by host, not by generation


class Generation(msgspec.Struct, frozen=True):
    """Generation as a host stores it; the names passed to ``field`` are those of the stored record."""

    digest: str
    program_digest: str = msgspec.field(name="program")  # of the program folder alone
    settings_digest: str = msgspec.field(name="conf")  # of the operators' settings file
    config: dict[str, Any] = {}  # changes to the platform's configuration
    formats: dict[str, FormatSupport] = msgspec.field(name="speaks", default_factory=dict)
    label: str = ""
    added_at: float = msgspec.field(name="added", default=0.0)  # Unix s


def files_digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Return the digest of named files, which does not depend on their order.

    Each name and each content is preceded by its length, so that bytes can't move between them unnoticed.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for name, data in sorted(files):
        for part in (name.encode(), data):
            digest.update(len(part).to_bytes(8))
            digest.update(part)
    return digest.hexdigest()


def generation_digest(program_digest: str, settings_digest: str, config: Mapping[str, Any]) -> str:
    """Return the digest of a generation from its configuration and the digests of its program and settings."""
    config_bytes = msgspec.json.encode(dict(config), order="deterministic")
    return files_digest(
        [("program", program_digest.encode()), ("conf", settings_digest.encode()), ("config", config_bytes)]
    )


def config_faults(config: Mapping[str, Any]) -> list[str]:
    """Return a fault for each key of the platform's configuration that a generation must not set."""
    return [f"{key}: is the box's own, no generation sets it" for key in sorted(config) if key in HOST_KEYS]


def can_reload(old: Generation, new: Generation) -> bool:
    """Return True if the generations differ, and SIGHUP applies all differences."""
    if (old.program_digest, old.settings_digest) != (new.program_digest, new.settings_digest):
        return False
    keys = old.config.keys() | new.config.keys()
    changed = {key for key in keys if old.config.get(key) != new.config.get(key)}
    return bool(changed) and changed <= set(RELOADABLE_KEYS)
