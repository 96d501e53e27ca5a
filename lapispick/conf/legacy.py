"""The file that ``deploy/lapispick.conf`` replaces: ``amqp.toml``, still read in this version."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from lapispick.conf.sections import AmqpSettings, Settings
from lapispick.conf.settings import LEGACY_PATH, LEGACY_PATH_VARIABLE
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

KEY_TYPES = {"enabled": bool, "inventory": str, "group": str}


def located(environ: Mapping[str, str]) -> Path | None:
    """Return the path of such a file, None where there is none."""
    if named := environ.get(LEGACY_PATH_VARIABLE):
        return Path(named)
    return Path(LEGACY_PATH) if Path(LEGACY_PATH).exists() else None


def merged(settings: Settings, path: Path) -> Settings:
    """Return the settings with those of the old file; raises ``InvalidFileError``."""
    faults = FaultCollector()
    location = SourceLocation(str(path))
    try:
        given = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as err:
        faults.add(location, "", str(err))
        raise InvalidFileError(faults.collected) from None
    for key, value in given.items():
        if key not in KEY_TYPES:
            faults.add(location, key, f"unknown; there are {', '.join(KEY_TYPES)}{suggest_nearest(key, KEY_TYPES)}")
        elif type(value) is not KEY_TYPES[key]:
            faults.add(location, key, f"must be a {KEY_TYPES[key].__name__}")
    if given.get("enabled") and "inventory" not in given:
        faults.add(location, "inventory", "must name the inventory's file")
    if faults:
        raise InvalidFileError(faults.collected)
    if not given.get("enabled", False):
        return settings
    inventory = msgspec.structs.replace(
        settings.inventory, path=path.parent / given["inventory"], group=given.get("group", "amqp")
    )
    return msgspec.structs.replace(
        settings, inventory=inventory, amqp=AmqpSettings(enabled=True, drain_timeout_s=settings.amqp.drain_timeout_s)
    )
