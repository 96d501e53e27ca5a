"""Reads and validates the platform's configuration, and sets its defaults.

The operators' own settings file is read in ``lapispick.conf``.
"""

from __future__ import annotations

import os
import re
from collections.abc import Collection, Mapping

import msgspec

from lapispick import admission
from lapispick.host.addresses import parse_address
from lapispick.host.errors import HostError
from lapispick.json_decoding import json_decoder
from lapispick.platform_settings import (
    BACKPRESSURE_SIGNALS,
    CANCEL_MODES,
    IDEMPOTENCY,
    SHARED_DOWNSTREAM,
    HostProperties,
    StartSettings,
    admission_settings,
)

Address = tuple[str, int]
CONFIG_PATH_VARIABLE = "LB_CONFIG"
OPERATORS_ADDRESS_VARIABLE = "LB_OPS"
# Descriptors that neither clients, calls nor operators may use: the standard streams, the socket pair for signals,
# listeners, the executor's link and its successor, the service registry, a file that is read, and the folder, locks and
# sockets of an upgrade
RESERVED_DESCRIPTORS = 16
MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
MAX_MEMORY_MB = (1 << 20) - 1
MEMORY_TO_UNSENT_RATIO = 8  # memory limit divided by the bytes that may wait for slow readers
MEMORY_TO_INPUT_RATIO = 4  # memory limit divided by the bytes of incomplete messages of clients
MEMORY_TO_KEYS_RATIO = 8  # memory limit divided by the memory for idempotency keys without their results
MEMORY_TO_RESULTS_RATIO = 6  # memory limit divided by the bytes of retained results
MEMORY_TO_REQUESTS_RATIO = 6  # memory limit divided by the memory for open requests
MAX_REQUEST_BYTES = 8192  # memory of an open request, including all that belongs to it
KEY_BYTES = 1024  # memory of an idempotency key with its record, without its result
MIN_BROKER_CONNECTIONS = 2
MIN_OPERATOR_CONNECTIONS = 4


class ConfigError(HostError):
    """The configuration is invalid; the text begins with the invalid key."""


class Limits(msgspec.Struct):
    """Resource limits of this program's processes, and the bounds derived from them."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024

    @property
    def max_connections(self) -> int:
        """Maximum number of clients' connections.

        Gateways open at most half of ``sockets``; the rest is for other connections until they are closed.
        """
        unreserved = self.sockets - self.max_calls - self.max_operator_connections - RESERVED_DESCRIPTORS
        return min(self.sockets * 5 // 8, unreserved)

    @property
    def max_calls(self) -> int:
        """Maximum number of connections to the store.

        An eighth of ``sockets`` is left for the listener, links and what the operating system holds.
        """
        unreserved = self.sockets // 2 - self.max_operator_connections - RESERVED_DESCRIPTORS
        return min(self.sockets // 4, unreserved)

    @property
    def max_broker_connections(self) -> int:
        """Maximum number of connections to brokers, including old ones that still drain.

        This is half of what is left for links.
        """
        return max(MIN_BROKER_CONNECTIONS, self.sockets // 16 - MIN_BROKER_CONNECTIONS)

    @property
    def max_operator_connections(self) -> int:
        """Maximum number of operators' connections, from the eighth that gateways and calls can't use."""
        return max(MIN_OPERATOR_CONNECTIONS, self.sockets // 32)

    @property
    def max_unsent_bytes(self) -> int:
        """Maximum number of bytes that may wait for all slow readers together."""
        return self._memory_bytes // MEMORY_TO_UNSENT_RATIO

    @property
    def max_input_bytes(self) -> int:
        """Maximum number of bytes of messages that clients have not sent completely."""
        return self._memory_bytes // MEMORY_TO_INPUT_RATIO

    @property
    def max_result_bytes(self) -> int:
        """Maximum number of bytes of results that are retained for retries."""
        return self._memory_bytes // MEMORY_TO_RESULTS_RATIO

    @property
    def max_keys(self) -> int:
        """Maximum number of idempotency keys that are retained in their window and, for late retries, after it."""
        return self._memory_bytes // MEMORY_TO_KEYS_RATIO // KEY_BYTES

    @property
    def max_open_requests(self) -> int:
        """Maximum number of requests that may be open at once."""
        return self._memory_bytes // MEMORY_TO_REQUESTS_RATIO // MAX_REQUEST_BYTES

    @property
    def _memory_bytes(self) -> int:
        return int(self.memory_mb * (1 << 20))


class Config(msgspec.Struct):
    """Configuration that the platform passes to a worker host at its start."""

    name: str
    listen: str
    executor: str
    registry: str = msgspec.field(name="roster")
    seed: str
    stop_ms: float
    start_settings: StartSettings = msgspec.field(name="settings")
    store: str = ""  # empty = worker hosts share no dependency, and no calls are made
    ops: str = ""  # address for operators' calls; empty = none
    limits: Limits = msgspec.field(default_factory=Limits)

    @property
    def listen_address(self) -> Address:
        """Address that clients connect to; port 0 = any free port."""
        return _socket_address(self.listen)

    @property
    def executor_address(self) -> Address:
        """Address that the executor listens on."""
        return _socket_address(self.executor)

    @property
    def registry_address(self) -> Address:
        """Address that load reports are sent to."""
        return _socket_address(self.registry)

    @property
    def store_address(self) -> Address | None:
        """Address that downstream calls are sent to, or None if no calls are made."""
        return _socket_address(self.store) if self.store else None

    @property
    def operators_address(self) -> Address:
        """Address for operators' calls; valid only if ``ops`` is set."""
        return _socket_address(self.ops)

    @property
    def seed_number(self) -> int:
        """Seed of the random number generators; the file has it in hexadecimal."""
        return int(self.seed, 16)

    @property
    def admission_settings(self) -> admission.Settings:
        """Settings of the decision module."""
        return admission_settings(self.start_settings)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that ``LB_CONFIG`` names; ``LB_OPS`` takes precedence over its ``ops``. Raises ``ConfigError``."""
    path = environ.get(CONFIG_PATH_VARIABLE, "")
    _require(bool(path), CONFIG_PATH_VARIABLE, f"expected the path of the configuration file, got {path!r}")
    try:
        with open(path, "rb") as file:
            config = parse(file.read())
    except OSError as err:
        raise ConfigError(f"{CONFIG_PATH_VARIABLE}: {err}") from None
    # The variable takes precedence, as the file may have been written for another start.
    if operators_address := environ.get(OPERATORS_ADDRESS_VARIABLE):
        _require_address(operators_address, OPERATORS_ADDRESS_VARIABLE, min_port=0)
        config.ops = operators_address
    return config


def parse(raw: bytes) -> Config:
    """Decode and validate the configuration; raises ``ConfigError``."""
    config = _decode(raw)
    _require(
        bool(config.store) or config.start_settings.host.downstream != SHARED_DOWNSTREAM,
        "store",
        "missing; expected an address, because settings.FamilyInfo.Below is shared",
    )
    _check_addresses(config)
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, got {config.seed!r}") from None
    is_one_word = bool(re.fullmatch(r"[!-~]+", config.name))
    _require(is_one_word, "name", f"expected one word of printable ASCII characters, got {config.name!r}")
    _require(config.stop_ms > 0, "stop_ms", f"expected a number above 0, got {config.stop_ms}")
    _check_limits(config.limits)
    _check_start_settings(config.start_settings)
    return config


def _socket_address(text: str) -> Address:
    return parse_address(text, min_port=0)


_decode_config = json_decoder(Config)


def _decode(raw: bytes) -> Config:
    try:
        return _decode_config(raw)
    except msgspec.ValidationError as err:
        raise ConfigError(_key_and_fault(err)) from None
    except msgspec.DecodeError as err:
        raise ConfigError(f"configuration: invalid JSON: {err}") from None


def _key_and_fault(err: msgspec.ValidationError) -> str:
    """Convert msgspec's ``fault - at `$.key``` to ``key: fault``."""
    text = str(err)
    location = re.search(r" - at `\$\.?([^`]*)`$", text)
    missing = re.search(r"missing required field `([^`]*)`", text)
    path = location.group(1) if location else ""
    if missing:
        path = f"{path}.{missing.group(1)}".lstrip(".")
    return f"{path or 'configuration'}: {text[: location.start()] if location else text}"


def _require(condition: bool, key: str, requirement: str) -> None:
    if not condition:
        raise ConfigError(f"{key}: {requirement}")


def _require_one_of(value: str, choices: Collection[str], key: str) -> None:
    _require(value in choices, key, f"expected one of {', '.join(choices)}, got {value!r}")


def _require_address(text: str, key: str, min_port: int) -> None:
    try:
        parse_address(text, min_port)
    except ValueError as err:
        raise ConfigError(f"{key}: {err}") from None


def _check_addresses(config: Config) -> None:
    _require_address(config.listen, "listen", min_port=0)
    _require_address(config.executor, "executor", min_port=1)
    _require_address(config.registry, "roster", min_port=1)
    if config.store:
        _require_address(config.store, "store", min_port=1)
    if config.ops:
        _require_address(config.ops, "ops", min_port=0)


def _check_limits(limits: Limits) -> None:
    _require(
        limits.sockets >= MIN_SOCKETS,
        "limits.sockets",
        f"expected a number of at least {MIN_SOCKETS}, got {limits.sockets}",
    )
    _require(
        MIN_MEMORY_MB <= limits.memory_mb < MAX_MEMORY_MB + 1,
        "limits.memory_mb",
        f"expected a number from {MIN_MEMORY_MB} to {MAX_MEMORY_MB}, got {limits.memory_mb}",
    )


def _check_start_settings(settings: StartSettings) -> None:
    for i, request_class in enumerate(settings.request_classes):
        key = f"settings.Services[{i}]"
        _require_one_of(request_class.idempotency, IDEMPOTENCY, f"{key}.Idempotency")
        deadline_ms = request_class.deadline_ms
        _require(deadline_ms > 0, f"{key}.GiveUp", f"expected a number above 0, got {deadline_ms}")
    names = [request_class.name for request_class in settings.request_classes]
    _require(
        len(set(names)) == len(names) > 0,
        "settings.Services",
        f"expected at least one class and different names, got {names}",
    )
    _check_host_properties(settings.host, len(names))
    try:
        admission_settings(settings).validate()
    except ValueError as err:
        raise ConfigError(f"settings: {err}") from None


def _check_host_properties(host: HostProperties, class_count: int) -> None:
    key = "settings.FamilyInfo"
    weight_count = len(host.degraded_weights)
    _require(
        weight_count == class_count,
        f"{key}.ClassSkipWorth",
        f"expected one value per class ({class_count} values), got {weight_count} values",
    )
    _require_one_of(host.cancel_mode, CANCEL_MODES, f"{key}.Halt")
    _require_one_of(host.backpressure_signal, BACKPRESSURE_SIGNALS, f"{key}.Advert")
