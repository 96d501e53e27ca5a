"""Applies a changed configuration to the running process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from lapispick.host.config import Config, ConfigError, load
from lapispick.host.logs import log

if TYPE_CHECKING:
    from lapispick.host.executor import ExecutorLink
    from lapispick.host.recorder import Recorder
    from lapispick.host.registry import RegistryClient
    from lapispick.host.store import StoreClient

LOG = "host"
RELOADABLE_KEYS = ("executor", "store", "roster", "stop_ms")  # others are read only at the start


class ConfigurationReloader:
    """Reloads the platform's configuration and switches the clients of the peers to their new addresses."""

    def __init__(
        self,
        config: Config,
        executor: ExecutorLink,
        store: StoreClient,
        registry: RegistryClient,
        recorder: Recorder | None,
    ) -> None:
        """``config`` is changed in place, so that all objects that refer to it see the new values."""
        self._config = config
        self._executor = executor
        self._store = store
        self._registry = registry
        self._recorder = recorder

    def reload(self) -> None:
        """Apply the changes that need no restart; an invalid configuration changes nothing."""
        try:
            new_config = load()
        except ConfigError as err:
            log(LOG, logging.ERROR, "reload-refused", fault=err)
            return
        self._apply(new_config)
        self._executor.change_address(self._config.executor_address)
        self._store.change_address(self._config.store_address)
        self._registry.change_address(self._config.registry_address)

    def _apply(self, new_config: Config) -> None:
        """Copy the values of reloadable keys, and log which keys changed."""
        changed: list[str] = []
        applied: list[str] = []
        for field in msgspec.structs.fields(Config):
            value = getattr(new_config, field.name)
            if value == getattr(self._config, field.name):
                continue
            changed.append(field.encode_name)
            if field.encode_name in RELOADABLE_KEYS:
                applied.append(field.encode_name)
                setattr(self._config, field.name, value)
        log(LOG, logging.INFO, "reloaded", changed=",".join(applied) or "nothing")
        if self._recorder is not None:
            self._recorder.record_external_event("reloaded", ",".join(applied))
        if left_out := [key for key in changed if key not in RELOADABLE_KEYS]:
            log(LOG, logging.WARNING, "reload-left-out", needs_restart=",".join(left_out))
