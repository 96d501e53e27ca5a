"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import os
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from lapispick import interface as api
from lapispick.host.loop import address
from lapispick.settings import ADVERTS, EFFECTS, HALTS, Info, settings_from

Address = tuple[str, int]


class ConfigError(Exception):
    """What was configured cannot be used; the text names the key at fault."""


class Limits(msgspec.Struct):
    """What the processes of this program may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class Config(msgspec.Struct):
    """All that a worker host is told at its start."""

    name: str
    listen: str
    executor: str
    roster: str
    store: str
    seed: str
    stop_ms: float
    settings: Info
    limits: Limits = msgspec.field(default_factory=Limits)

    def address(self, key: str) -> Address:
        """Return one of the addresses."""
        return address(getattr(self, key))

    @property
    def start(self) -> api.Settings:
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
    for key in ("listen", "executor", "roster", "store"):
        try:
            config.address(key)
        except ValueError as err:
            raise ConfigError(f"{key}: {err}") from None
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {config.seed!r} is not a hexadecimal number") from None
    _check("name", bool(re.fullmatch(r"[!-~]+", config.name)), "must be one word")
    _check("stop_ms", config.stop_ms > 0, "must be over 0")
    _check("limits.sockets", config.limits.sockets >= 64, "must be at least 64")
    _check("limits.memory_mb", config.limits.memory_mb > 0, "must be over 0")
    _check_settings(config.settings)
    return config


def _check_settings(info: Info) -> None:
    fam, where = info.family_info, "settings.FamilyInfo"
    for i, service in enumerate(info.services):
        key = f"settings.Services[{i}]"
        _check(f"{key}.Idempotency", service.idempotency in EFFECTS, f"must be one of {', '.join(EFFECTS)}")
        _check(f"{key}.GiveUp", service.give_up > 0, "must be over 0")
    names = [s.name for s in info.services]
    _check("settings.Services", len(set(names)) == len(names) > 0, "must hold classes with different names")
    _check(f"{where}.ClassSkipWorth", len(fam.class_skip_worth) == len(names), "must have one value a class")
    _check(f"{where}.Halt", fam.halt in HALTS, f"must be one of {', '.join(HALTS)}")
    _check(f"{where}.Advert", fam.advert in ADVERTS, f"must be one of {', '.join(ADVERTS)}")
    try:
        settings_from(info).validate()
    except ValueError as err:
        raise ConfigError(f"settings: {err}") from None


def load(environ: Mapping[str, Any] = os.environ) -> Config:
    """Read the file that ``LB_CONFIG`` names; raises ``ConfigError``."""
    path = environ.get("LB_CONFIG")
    _check("LB_CONFIG", bool(path), "must name the configuration file")
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as err:
        raise ConfigError(f"LB_CONFIG: {err}") from None
