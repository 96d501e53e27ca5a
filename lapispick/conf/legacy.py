"""The file that ``deploy/lapispick.conf`` replaces: ``amqp.toml``, still read in this version."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from lapispick.conf.settings import Amqp, Settings
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

FILE, VARIABLE = "deploy/amqp.toml", "LAPISPICK_AMQP"
KEYS = {"enabled": bool, "inventory": str, "group": str}


def located(environ: Mapping[str, str]) -> Path | None:
    """Return the path of such a file, None where there is none."""
    if told := environ.get(VARIABLE):
        return Path(told)
    return Path(FILE) if Path(FILE).exists() else None


def merged(settings: Settings, path: Path) -> Settings:
    """Return the settings with what the old file says; raises ``InvalidFileError``."""
    faults, place = FaultCollector(), SourceLocation(str(path))
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as err:
        faults.add(place, "", str(err))
        raise InvalidFileError(faults.collected) from None
    for key, value in told.items():
        if key not in KEYS:
            faults.add(place, key, f"unknown; there are {', '.join(KEYS)}{suggest_nearest(key, KEYS)}")
        elif type(value) is not KEYS[key]:
            faults.add(place, key, f"must be a {KEYS[key].__name__}")
    if told.get("enabled") and "inventory" not in told:
        faults.add(place, "inventory", "must name the inventory's file")
    if faults:
        raise InvalidFileError(faults.collected)
    if not told.get("enabled", False):
        return settings
    kept = msgspec.structs.replace(
        settings.inventory, path=path.parent / told["inventory"], group=told.get("group", "amqp")
    )
    return msgspec.structs.replace(settings, inventory=kept, amqp=Amqp(enabled=True, drain=settings.amqp.drain))
