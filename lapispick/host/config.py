"""The platform's configuration: the one place where it is read, checked and given defaults.

The operators' own settings file is read in ``lapispick.conf``.
"""

from __future__ import annotations

import os
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from lapispick import admission
from lapispick.host.addresses import parse_address
from lapispick.platform_settings import (
    BACKPRESSURE_SIGNALS,
    CANCEL_MODES,
    IDEMPOTENCY,
    SHARED_DOWNSTREAM,
    Info,
    settings_from,
)

Address = tuple[str, int]
# descriptors that neither clients, calls nor operators may take: the standard streams, the signals' pair, listeners,
# the executor's link and its successor, the roster, a file that is read, and an upgrade's folder, locks and sockets
OWN = 16


class ConfigError(Exception):
    """What was configured cannot be used; the text names the key at fault."""


class Limits(msgspec.Struct):
    """What the processes of this program may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024

    @property
    def connections(self) -> int:
        """Gateways' connections: they open half of the limit at most; in the rest others are shown out."""
        return min(self.sockets * 5 // 8, self.sockets - self.calls - self.operators - OWN)

    @property
    def calls(self) -> int:
        """Connections to the store; an eighth is left for listener, links and what the system holds."""
        return min(self.sockets // 4, self.sockets // 2 - self.operators - OWN)

    @property
    def brokers(self) -> int:
        """Connections to brokers, old ones that still drain among them: half of what is left for links."""
        return max(2, self.sockets // 16 - 2)

    @property
    def operators(self) -> int:
        """Operators' connections, from the eighth that neither gateways nor calls can take."""
        return max(4, self.sockets // 32)

    @property
    def unsent(self) -> int:
        """Bytes that may wait for all slow readers together."""
        return int(self.memory_mb * (1 << 20)) // 8

    @property
    def kept(self) -> int:
        """Bytes of results kept for repeats."""
        return int(self.memory_mb * (1 << 20)) // 6

    @property
    def open(self) -> int:
        """Requests that may be open at once, at up to 8 KB each with all that belongs to them."""
        return int(self.memory_mb * (1 << 20)) // 6 // 8192


class Config(msgspec.Struct):
    """All that a worker host is told at its start."""

    name: str
    listen: str
    executor: str
    roster: str
    seed: str
    stop_ms: float
    settings: Info
    store: str = ""  # empty = nothing below that all worker hosts share, and no call is made
    ops: str = ""  # where operators call; empty = nowhere
    limits: Limits = msgspec.field(default_factory=Limits)

    def address(self, key: str) -> Address:
        """Return one of the addresses that must be there."""
        return parse_address(getattr(self, key), min_port=0)

    @property
    def store_address(self) -> Address | None:
        """Return where calls go; None where nothing is called."""
        return self.address("store") if self.store else None

    @property
    def start(self) -> admission.Settings:
        """The module's settings."""
        return settings_from(self.settings)


def _key_of(err: msgspec.ValidationError) -> str:
    """Return ``key: fault`` for msgspec's ``fault - at `$.key```."""
    text = str(err)
    at = re.search(r" - at `\$\.?([^`]*)`$", text)
    missing = re.search(r"missing required field `([^`]*)`", text)
    path = at.group(1) if at else ""
    if missing:
        path = f"{path}.{missing.group(1)}".lstrip(".")
    return f"{path or 'the whole'}: {text[: at.start()] if at else text}"


def _check(key: str, good: bool, what: str) -> None:
    if not good:
        raise ConfigError(f"{key}: {what}")


def parse(raw: bytes) -> Config:
    """Read and check the configuration; raises ``ConfigError``."""
    try:
        config = msgspec.json.decode(raw, type=Config)
    except msgspec.ValidationError as err:
        raise ConfigError(_key_of(err)) from None
    except msgspec.DecodeError as err:
        raise ConfigError(f"the configuration is not JSON: {err}") from None
    _check(
        "store",
        bool(config.store) or config.settings.family_info.downstream != SHARED_DOWNSTREAM,
        "must be there where settings.FamilyInfo.Below is shared",
    )
    for key in ("listen", "executor", "roster", *(key for key in ("store", "ops") if getattr(config, key))):
        try:
            parse_address(getattr(config, key), min_port=0 if key in ("listen", "ops") else 1)
        except ValueError as err:
            raise ConfigError(f"{key}: {err}") from None
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {config.seed!r} is not a hexadecimal number") from None
    _check("name", bool(re.fullmatch(r"[!-~]+", config.name)), "must be one word")
    _check("stop_ms", config.stop_ms > 0, "must be over 0")
    _check("limits.sockets", config.limits.sockets >= 64, "must be at least 64")
    _check("limits.memory_mb", 24 <= config.limits.memory_mb < 1 << 20, "must be from 24 to 1048575")
    _check_settings(config.settings)
    return config


def _check_settings(info: Info) -> None:
    server, where = info.family_info, "settings.FamilyInfo"
    for i, service in enumerate(info.services):
        key = f"settings.Services[{i}]"
        _check(f"{key}.Idempotency", service.idempotency in IDEMPOTENCY, f"must be one of {', '.join(IDEMPOTENCY)}")
        _check(f"{key}.GiveUp", service.deadline_ms > 0, "must be over 0")
    names = [s.name for s in info.services]
    _check("settings.Services", len(set(names)) == len(names) > 0, "must hold classes with different names")
    _check(f"{where}.ClassSkipWorth", len(server.degraded_weights) == len(names), "must have one value a class")
    _check(f"{where}.Halt", server.cancel_mode in CANCEL_MODES, f"must be one of {', '.join(CANCEL_MODES)}")
    _check(
        f"{where}.Advert",
        server.backpressure_signal in BACKPRESSURE_SIGNALS,
        f"must be one of {', '.join(BACKPRESSURE_SIGNALS)}",
    )
    try:
        settings_from(info).validate()
    except ValueError as err:
        raise ConfigError(f"settings: {err}") from None


def load(environ: Mapping[str, Any] = os.environ) -> Config:
    """Read the file that ``LB_CONFIG`` names; ``LB_OPS`` goes before its ``ops``. Raises ``ConfigError``."""
    path = environ.get("LB_CONFIG")
    _check("LB_CONFIG", bool(path), "must name the configuration file")
    try:
        with open(path, "rb") as file:
            config = parse(file.read())
    except OSError as err:
        raise ConfigError(f"LB_CONFIG: {err}") from None
    if told := environ.get("LB_OPS"):  # of this very start, where a file may have been written for the next one
        try:
            parse_address(told, min_port=0)
        except ValueError as err:
            raise ConfigError(f"LB_OPS: {err}") from None
        config.ops = told
    return config
