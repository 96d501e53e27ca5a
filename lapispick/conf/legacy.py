"""The earlier settings file ``amqp.toml``, which ``deploy/lapispick.conf`` replaces and this version still reads."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping

import msgspec

from lapispick.conf import paths
from lapispick.conf.sections import AmqpSettings, Settings
from lapispick.conf.settings import LEGACY_PATH, LEGACY_PATH_VARIABLE
from lapispick.file_errors import FaultCollector, InvalidFileError, SourceLocation, suggest_nearest

KEY_TYPES = {"enabled": bool, "inventory": str, "group": str}


def legacy_path(environ: Mapping[str, str]) -> str | None:
    """Return the path of the ``amqp.toml``, None if there is none."""
    if path := environ.get(LEGACY_PATH_VARIABLE):
        return path
    return LEGACY_PATH if os.path.exists(LEGACY_PATH) else None


def apply_legacy_file(settings: Settings, path: str) -> Settings:
    """Return the settings with the values of the ``amqp.toml`` applied; raises ``InvalidFileError``."""
    faults = FaultCollector()
    location = SourceLocation(path)
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except (OSError, ValueError) as err:
        faults.add(location, "", str(err))
        raise InvalidFileError(faults.collected) from None
    for key, value in values.items():
        if key not in KEY_TYPES:
            faults.add(
                location, key, f"unknown key; expected one of {', '.join(KEY_TYPES)}{suggest_nearest(key, KEY_TYPES)}"
            )
        elif type(value) is not KEY_TYPES[key]:
            faults.add(location, key, f"expected {KEY_TYPES[key].__name__}, got {value!r:.200}")
    if values.get("enabled") and "inventory" not in values:
        faults.add(location, "inventory", "missing; expected the path of the inventory's file, because enabled is true")
    if faults:
        raise InvalidFileError(faults.collected)
    if not values.get("enabled", False):
        return settings
    inventory = msgspec.structs.replace(
        settings.inventory, path=paths.relative_to_file(path, values["inventory"]), group=values.get("group", "amqp")
    )
    return msgspec.structs.replace(
        settings, inventory=inventory, amqp=AmqpSettings(enabled=True, drain_timeout_s=settings.amqp.drain_timeout_s)
    )
