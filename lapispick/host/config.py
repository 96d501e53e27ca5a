"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import os
import re
import socket
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from lapispick import interface as api
from lapispick.host import inventory
from lapispick.host.inventory import Host, InventoryError, Var
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

    @property
    def connections(self) -> int:
        """Gateways' connections: they open half of the limit at most; in the rest others are shown out."""
        return self.sockets * 5 // 8

    @property
    def calls(self) -> int:
        """Connections to the store; an eighth is left for listener, links and what the system holds."""
        return self.sockets // 4

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
    store: str
    seed: str
    stop_ms: float
    settings: Info
    limits: Limits = msgspec.field(default_factory=Limits)

    def address(self, key: str) -> Address:
        """Return one of the addresses."""
        return address(getattr(self, key), least=0)

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
            address(getattr(config, key), least=0 if key == "listen" else 1)
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


# The AMQP front: which queues are consumed.

AMQP_FILE = "deploy/amqp.toml"  # from the root, where the program is started


class Queue(msgspec.Struct, frozen=True):
    """One queue to consume, with what its messages may leave out."""

    name: str
    prefetch: int
    cls: str
    customer: str
    held_kb: float


class Broker(msgspec.Struct, frozen=True):
    """One broker and how to log in there."""

    address: Address
    vhost: str
    user: str
    password: str
    heartbeat_s: int


class Consume(msgspec.Struct):
    """What is consumed: the queues of each broker."""

    queues: dict[Broker, list[Queue]]


# Keys of the inventory, their defaults, and the type and bounds of the numbers.
BROKER_KEYS = {"amqp_host": "", "amqp_port": 5672, "amqp_vhost": "/", "amqp_user": "guest",
               "amqp_password": "guest", "amqp_password_env": "", "amqp_heartbeat": 10}
QUEUE_KEYS = {"amqp_queue": "", "amqp_prefetch": 32, "amqp_class": "", "amqp_customer": "",
              "amqp_held_kb": 24.0}
BOUNDS = {"amqp_port": (1, 65535), "amqp_heartbeat": (1, 3600), "amqp_prefetch": (1, 1000),
          "amqp_held_kb": (0.1, 1999.0)}
LIST_KEY = "amqp_queues"  # YAML: a list of names, or of mappings with the keys of a queue


def load_amqp(info: Info, environ: Mapping[str, str] = os.environ) -> Consume | None:
    """Read what the AMQP front consumes; None where it is off. Raises ``ConfigError``."""
    path = Path(environ.get("LAPISPICK_AMQP", AMQP_FILE))
    if not path.exists() and "LAPISPICK_AMQP" not in environ:
        return None
    try:
        told = tomllib.loads(path.read_text())
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path}: {err}") from None
    wanted = {"enabled": bool, "inventory": str, "group": str}
    for key, value in told.items():
        _check(f"{path}: {key}", key in wanted, f"unknown; there are {', '.join(wanted)}")
        _check(f"{path}: {key}", type(value) is wanted[key], f"must be a {wanted[key].__name__}")
    if not told.get("enabled", False):
        return None
    _check(f"{path}: inventory", "inventory" in told, "must name the inventory's file")
    try:
        hosts = inventory.load(path.parent / told["inventory"], told.get("group", "amqp"))
        found: dict[Broker, list[Queue]] = {}
        for host in hosts:
            _host_queues(host, info, environ, found)
    except InventoryError as err:
        raise ConfigError(str(err)) from None
    _check(f"{path}: inventory", bool(found), "names no queue in this group")
    return Consume(found)


def _host_queues(host: Host, info: Info, environ: Mapping[str, str],
                 found: dict[Broker, list[Queue]]) -> None:
    known = {*BROKER_KEYS, *QUEUE_KEYS, LIST_KEY}
    for key, var in host.vars.items():  # other tools' variables are left alone, ours must be known
        if key.startswith("amqp_") and key not in known:
            raise var.fault(key, "unknown key")
    broker = _broker(host, environ)
    many = host.vars.get(LIST_KEY)
    rows: list[dict[str, Var]] = [host.vars]
    if many is not None:
        if not isinstance(many.value, list) or "amqp_queue" in host.vars:
            raise many.fault(LIST_KEY, "must be a list, and then there is no amqp_queue")
        rows = [host.vars | _list_item(item, many) for item in many.value]
    queues = found.setdefault(broker, [])
    for row in rows:
        name = row.get("amqp_queue", Var("", host.where))
        queue = _queue(row, name, info)
        if any(q.name == queue.name for q in queues):
            raise name.fault("amqp_queue", f"{queue.name!r} is consumed twice")
        queues.append(queue)


def _list_item(item: Any, many: Var) -> dict[str, Var]:
    if isinstance(item, str):
        return {"amqp_queue": Var(item, many.where)}
    if not isinstance(item, dict):
        raise many.fault(LIST_KEY, "holds what is neither a name nor a mapping")
    file = many.where.rpartition(": row ")[0]
    lines = getattr(item, "lines", {})
    row = {k: Var(v, f"{file}: row {lines[k]}" if k in lines else many.where) for k, v in item.items()}
    for key, var in row.items():
        if key not in QUEUE_KEYS:
            raise var.fault(key, f"unknown key of a queue; there are {', '.join(QUEUE_KEYS)}")
    return row


def _value(row: Mapping[str, Var], key: str, default: Any) -> Any:
    """Return a variable as the type of its default, within its bounds."""
    var = row.get(key)
    if var is None:
        return default
    if isinstance(default, str):
        if isinstance(var.value, bool) or not isinstance(var.value, str | int | float):
            raise var.fault(key, "must be a text")
        return str(var.value)
    low, high = BOUNDS[key]
    try:
        if isinstance(var.value, bool):
            raise ValueError
        number = type(default)(var.value)
        if not low <= number <= high or (isinstance(var.value, float) and number != var.value):
            raise ValueError
    except (TypeError, ValueError):
        raise var.fault(key, f"must be a number from {low} to {high}, not {var.value!r}") from None
    return number


def _broker(host: Host, environ: Mapping[str, str]) -> Broker:
    told = {key: _value(host.vars, key, default) for key, default in BROKER_KEYS.items()}
    name = told["amqp_host"] or _value(host.vars, "ansible_host", host.name)
    password = told["amqp_password"]
    if variable := told["amqp_password_env"]:
        if variable not in environ:
            raise host.vars["amqp_password_env"].fault("amqp_password_env", f"{variable} is not set")
        password = environ[variable]
    try:
        # Once, at the start: a name looked up at each connection would stop the loop meanwhile.
        name = socket.getaddrinfo(name, told["amqp_port"], type=socket.SOCK_STREAM)[0][4][0]
    except (OSError, UnicodeError) as err:
        key = next((k for k in ("amqp_host", "ansible_host") if k in host.vars), "host")
        var = host.vars.get(key, Var(name, host.where))
        raise var.fault(key, f"{name!r} has no address: {err}") from None
    return Broker((name, told["amqp_port"]), told["amqp_vhost"], told["amqp_user"], password,
                  told["amqp_heartbeat"])


def _queue(row: Mapping[str, Var], name: Var, info: Info) -> Queue:
    told = {key: _value(row, key, default) for key, default in QUEUE_KEYS.items()}
    if not 0 < len(told["amqp_queue"].encode()) < 256:
        raise name.fault("amqp_queue", "must name a queue, in at most 255 bytes")
    for key, names in (("amqp_class", [s.name for s in info.services]),
                       ("amqp_customer", [p.name for p in info.parties])):
        if told[key] and told[key] not in names:
            raise row[key].fault(key, f"{told[key]!r} is none of {', '.join(names)}")
    return Queue(told["amqp_queue"], told["amqp_prefetch"], told["amqp_class"], told["amqp_customer"],
                 told["amqp_held_kb"])
