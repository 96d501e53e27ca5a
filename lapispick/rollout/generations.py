"""What a box runs: a program folder and settings, named by a digest over both. No I/O.

The settings are the operators' file and perhaps changes of the platform's configuration, such as another ``stop_ms``.
Two generations differ in place where SIGHUP takes all that differs; anything else needs another process.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from lapispick.digests import blake2b
from lapispick.rollout.compat import Spoken

DIGEST = 16  # hex digits; as many as name a generation among the few that a box keeps, and among all ever made
IN_PLACE = ("executor", "store", "roster", "stop_ms")  # what a reload takes, as host/__main__.py has it
BOXES_OWN = ("name", "listen", "ops", "executor", "seed", "limits", "settings")  # a generation must not set these


class Generation(msgspec.Struct, frozen=True):
    """One generation, as a box's shelf has it."""

    digest: str
    program: str  # digest of the program folder alone
    conf: str  # digest of the operators' settings file
    config: dict[str, Any] = {}  # changes of the platform's configuration; msgspec copies it
    speaks: dict[str, Spoken] = {}
    label: str = ""
    added: float = 0.0  # Unix s


def digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Return the digest of a folder: names and contents, whatever their order; lengths keep their bounds apart."""
    made = blake2b(digest_size=DIGEST // 2)
    for name, data in sorted(files):
        for part in (name.encode(), data):
            made.update(len(part).to_bytes(8))
            made.update(part)
    return made.hexdigest()


def named(program: str, conf: str, config: Mapping[str, Any]) -> str:
    """Return the digest of a generation."""
    return digest(
        [
            ("program", program.encode()),
            ("conf", conf.encode()),
            ("config", msgspec.json.encode(dict(config), order="deterministic")),
        ]
    )


def faults(config: Mapping[str, Any]) -> list[str]:
    """Return what a generation must not change of the platform's configuration."""
    return [f"{key}: is the box's own, no generation sets it" for key in sorted(config) if key in BOXES_OWN]


def in_place(old: Generation, new: Generation) -> bool:
    """Tell whether SIGHUP takes all that differs."""
    changed = {key for key in old.config.keys() | new.config.keys() if old.config.get(key) != new.config.get(key)}
    return (old.program, old.conf) == (new.program, new.conf) and bool(changed) and changed <= set(IN_PLACE)
