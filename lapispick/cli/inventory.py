"""``lapispick inventory``: shows the host list as a worker host reads it, and the lists that a host accepted."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from lapispick.cli.config import CONF_OPTION, load_settings
from lapispick.cli.output import ExitCode, format_pairs, print_error, print_json, print_line, print_table, setup_logs
from lapispick.conf.sections import InventorySettings
from lapispick.fleet import files, hosts, last_good, snapshot
from lapispick.fleet.acceptance import MIN_ACCEPT_DIGITS, Acceptance, Observation, Phase, Verdict
from lapispick.fleet.errors import StateFolderError
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.fleet.reading import InventoryReader, ReadResult
from lapispick.fleet.schema import ANY_HOST, Schema
from lapispick.fleet.snapshot import Snapshot
from lapispick.host.amqp import inventory_schema
from lapispick.host.inventory import acceptance_policy, reading_options

JSON_OPTION = click.option("--json", "json_", is_flag=True, help="Print JSON.")
PATH_OPTION = click.option(
    "--path", type=click.Path(path_type=Path), help="File or folder of the list; defaults to path in the settings."
)
ACCEPTED_KEYWORD = "accepted"  # stands for the list that the host accepted last, instead of a path
ACCEPT_POLL_INTERVAL_S = 0.05  # while ``accept`` waits for the host
SHORT_DIGEST_DIGITS = 12  # of a digest in tables and log lines
GROUP_OPTION = click.option("--group", help="Group of the hosts; defaults to group in the settings.")


class ListSource(NamedTuple):
    """Settings and schema by which a host list is read."""

    settings: InventorySettings
    schema: Schema


def _amqp_schema() -> Schema:
    """Return the schema of the AMQP front; request classes and tenants are checked only if LB_CONFIG is set."""
    if not os.environ.get("LB_CONFIG"):
        return inventory_schema.schema(None)
    from lapispick.host import config as platform

    try:
        return inventory_schema.schema(platform.load().start_settings)
    except platform.ConfigError as err:
        print_error(f"{os.environ['LB_CONFIG']}: {err}")
        sys.exit(ExitCode.INVALID)


def resolve_list_source(conf_file: Path | None, path: Path | None, group: str | None) -> ListSource:
    """Return how to read the list of a group.

    The hosts of the AMQP front's group have queues, those of the fleet's group are worker hosts, and those of any other
    group are neither.
    """
    loaded = load_settings(conf_file)
    inventory_settings = loaded.inventory
    fleet = loaded.fleet
    group = group or (inventory_settings.group if loaded.amqp.enabled or not fleet.group else fleet.group)
    settings = msgspec.structs.replace(inventory_settings, path=path or inventory_settings.path, group=group)
    if settings.path is None:
        print_error("no host list: expected --path, or path in section inventory of the settings")
        sys.exit(ExitCode.INVALID)
    if fleet.group and group == fleet.group:
        return ListSource(msgspec.structs.replace(settings, state_folder=fleet.state_folder), hosts.SCHEMA)
    return ListSource(settings, _amqp_schema() if group == inventory_settings.group else ANY_HOST)


class ListFiles:
    """Files of a host list; keeps what is unchanged between two reads."""

    def __init__(self, list_source: ListSource) -> None:
        settings = list_source.settings
        self._schema = list_source.schema
        self._path = Path(str(settings.path))
        self._max_bytes = settings.max_bytes
        self._reader = InventoryReader(reading_options(settings, self._schema), os.environ)

    def read(self) -> ReadResult:
        """Read the files as they are now."""
        contents = files.read(self._path, self._max_bytes)
        if contents.faults:
            return ReadResult({}, contents.faults, "")
        reading = self._reader.read(contents.files)
        if self._schema is hosts.SCHEMA and not reading.faults:
            reading = reading._replace(faults=hosts.worker_hosts_of(reading.hosts.values())[1])
        return reading._replace(incomplete_reason=contents.incomplete_reason or reading.incomplete_reason)


def _read_snapshot(list_source: ListSource) -> Snapshot:
    """Return the list in the files; prints the faults and ends the program if there are any."""
    reading = ListFiles(list_source).read()
    if reading.faults:
        for fault in reading.faults:
            print_error(str(fault))
        sys.exit(ExitCode.DIFFERENCES)
    return snapshot.snapshot_of(reading.hosts)


def _state_folder(settings: InventorySettings) -> Path:
    if settings.state_folder is None:
        print_error("section inventory of the settings: state-folder is missing, so the host stores no state")
        sys.exit(ExitCode.NO_STATE)
    return Path(str(settings.state_folder))


def _load_accepted(settings: InventorySettings) -> Snapshot | None:
    """Return the last good list of the host, or None if there is no usable one."""
    if settings.state_folder is None:
        return None
    try:
        stored = last_good.load(Path(str(settings.state_folder)), f"{settings.path} group {settings.group}")
    except StateFolderError as err:
        print_error(str(err))
        return None
    return stored.snapshot if stored else None


def _require_accepted(settings: InventorySettings) -> Snapshot:
    """Return the last good list of the host; ends the program if there is no usable one."""
    accepted = _load_accepted(settings)
    if accepted is None:
        print_error("the host has no usable accepted list")
        sys.exit(ExitCode.NO_STATE)
    return accepted


def _local_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@click.group()
def inventory() -> None:
    """Check, show, compare and accept the host list."""


@inventory.command()
@CONF_OPTION
@PATH_OPTION
@GROUP_OPTION
@JSON_OPTION
def check(conf_file: Path | None, path: Path | None, group: str | None, json_: bool) -> None:
    """List every fault of the list's files, and show whether a host would hold the list."""
    list_source = resolve_list_source(conf_file, path, group)
    settings, reading = list_source.settings, ListFiles(list_source).read()
    read_list = snapshot.snapshot_of(reading.hosts)
    remarks = [reading.incomplete_reason] if reading.incomplete_reason else []
    accepted = _load_accepted(settings)
    if not reading.faults and accepted is not None:
        hold_reason = Acceptance(acceptance_policy(settings), accepted).hold_reason(0.0, read_list)
        remarks += [f"a host would hold this list: {hold_reason}"] if hold_reason else []
    remarks += [
        f"one host under several spellings: {', '.join(host.spellings)}"
        for host in reading.hosts.values()
        if len(host.spellings) > 1
    ]
    if json_:
        print_json(
            {
                "boxes": len(read_list.hosts),
                "digest": read_list.digest,
                "remarks": remarks,
                "faults": [str(fault) for fault in reading.faults],
                "faults_left_out": reading.omitted_faults,
            }
        )
    else:
        for fault in reading.faults:
            print_error(str(fault))
        if reading.omitted_faults:
            print_error(f"and {reading.omitted_faults} more faults")
        for remark in remarks:
            print_line(remark)
        if not reading.faults:
            print_line(f"{len(read_list.hosts)} hosts, digest {read_list.digest}")
    sys.exit(ExitCode.DIFFERENCES if reading.faults else 0)


@inventory.command("list")
@CONF_OPTION
@PATH_OPTION
@GROUP_OPTION
@JSON_OPTION
@click.option("--accepted", is_flag=True, help="Show the list that the host accepted last, instead of the files.")
def list_(conf_file: Path | None, path: Path | None, group: str | None, json_: bool, accepted: bool) -> None:
    """List the hosts with their variables and queues; secrets are hidden."""
    list_source = resolve_list_source(conf_file, path, group)
    if accepted:
        _state_folder(list_source.settings)
    listed = _require_accepted(list_source.settings) if accepted else _read_snapshot(list_source)
    listed_hosts = [listed.hosts[name] for name in sorted(listed.hosts)]
    if json_:
        return print_json([_as_json(host, list_source.schema) for host in listed_hosts])
    return print_table(
        f"{len(listed_hosts)} hosts, digest {listed.digest}",
        ("name", "at", "variables", "queues", "place"),
        (_as_row(host, list_source.schema) for host in listed_hosts),
    )


def _as_json(host: InventoryHost, schema: Schema) -> dict[str, Any]:
    return {
        "name": host.name,
        "host": host.address,
        "port": host.port,
        "vars": host.redacted_vars(schema),
        "items": host.items,
        "spellings": host.spellings,
        "places": [str(location) for location in host.locations],
    }


def _as_row(host: InventoryHost, schema: Schema) -> tuple[object, ...]:
    return (
        host.name,
        f"{host.address}:{host.port}",
        format_pairs({key: value for key, value in host.redacted_vars(schema).items() if value != ""}),
        ", ".join(str(item.get(schema.item_name_variable, "")) for item in host.items),
        host.locations[0] if host.locations else "",
    )


def _resolve_snapshot(name: str, list_source: ListSource) -> Snapshot:
    """Return the list at a path, or the accepted one for ``ACCEPTED_KEYWORD``."""
    if name != ACCEPTED_KEYWORD:
        settings = msgspec.structs.replace(list_source.settings, path=Path(name))
        return _read_snapshot(list_source._replace(settings=settings))
    _state_folder(list_source.settings)
    return _require_accepted(list_source.settings)


@inventory.command()
@CONF_OPTION
@GROUP_OPTION
@JSON_OPTION
@click.argument("old", default=ACCEPTED_KEYWORD)
@click.argument("new", required=False)
def diff(conf_file: Path | None, group: str | None, json_: bool, old: str, new: str | None) -> None:
    """Show the differences between the lists OLD and NEW.

    Each is a file or folder, or the word `accepted` for the list that the host accepted last. NEW defaults to
    the path in the settings. Exits with 1 if the lists differ.
    """
    list_source = resolve_list_source(
        conf_file, Path(old) if old != ACCEPTED_KEYWORD and new is not None else None, group
    )
    old_list = _resolve_snapshot(old, list_source)
    new_list = _resolve_snapshot(new, list_source) if new is not None else _read_snapshot(list_source)
    difference = snapshot.difference(old_list, new_list)
    hold_reason = Acceptance(acceptance_policy(list_source.settings), old_list).hold_reason(0.0, new_list)
    if json_:
        print_json({"old": old_list.digest, "new": new_list.digest, **difference._asdict(), "held": hold_reason})
    else:
        for kind, names in difference._asdict().items():
            for name in names:
                is_in_both = kind in ("moved", "changed")
                details = _details(list_source.schema, old_list, new_list, name) if is_in_both else ""
                print_line(f"{kind:<8} {name}{details}")
        host_count = sum(difference.counts().values())
        print_line(f"a host would hold the new list: {hold_reason}" if hold_reason else f"{host_count} hosts differ")
    sys.exit(ExitCode.DIFFERENCES if difference else 0)


def _details(schema: Schema, old_list: Snapshot, new_list: Snapshot, name: str) -> str:
    """Return the differences in a host, without the values of secrets."""
    old, new = old_list.hosts[name], new_list.hosts[name]
    parts = []
    if (old.address, old.port) != (new.address, new.port):
        parts.append(f"{old.address}:{old.port} -> {new.address}:{new.port}")
    old_vars, new_vars = old.redacted_vars(schema), new.redacted_vars(schema)
    for key in sorted(old_vars.keys() | new_vars.keys()):
        if old.vars.get(key) != new.vars.get(key) and key != schema.port_variable:
            parts.append(f"{key}: {old_vars.get(key)} -> {new_vars.get(key)}")
    old_items, new_items = ({item[schema.item_name_variable]: item for item in host.items} for host in (old, new))
    for key in sorted(old_items.keys() | new_items.keys()):
        if old_items.get(key) != new_items.get(key):
            parts.append(
                f"queue {key} " + ("left" if key not in new_items else "joined" if key not in old_items else "changed")
            )
    return f" ({'; '.join(parts)})" if parts else ""


@inventory.command()
@CONF_OPTION
@JSON_OPTION
def history(conf_file: Path | None, json_: bool) -> None:
    """Show the lists that the host accepted, the newest last, and its current state."""
    folder = _state_folder(load_settings(conf_file).inventory)
    entries, status = last_good.load_history(folder), last_good.load_status(folder)
    if json_:
        return print_json({"history": entries, "status": status})
    print_table(
        "accepted lists",
        ("at", "digest", "hosts", "change", "reason"),
        (
            (
                _local_time(entry.at),
                entry.digest[:SHORT_DIGEST_DIGITS],
                entry.host_count,
                format_pairs({kind: count for kind, count in entry.counts.items() if count}) or "none",
                entry.reason,
            )
            for entry in entries
        ),
    )
    if status is None:
        print_line(f"no host status is stored in {folder}")
        sys.exit(ExitCode.NO_STATE)
    print_line(f"now: {status['phase']} since {_local_time(status['at'])}: {status['ground']}")
    for fault in status["faults"]:
        print_line(fault)
    return None


@inventory.command()
@CONF_OPTION
@PATH_OPTION
@GROUP_OPTION
@click.option("--seconds", type=float, default=0.0, help="Time to run; 0: until interrupted.")
def watch(conf_file: Path | None, path: Path | None, group: str | None, seconds: float) -> None:
    """Poll the files and log how a host would treat each change."""
    list_source = resolve_list_source(conf_file, path, group)
    settings, log = list_source.settings, setup_logs()
    list_files = ListFiles(list_source)
    acceptance = Acceptance(acceptance_policy(settings), _load_accepted(settings))
    end = time.monotonic() + seconds if seconds else float("inf")
    while time.monotonic() < end:
        reading = list_files.read()
        read_list = None if reading.faults else snapshot.snapshot_of(reading.hosts)
        observation = Observation(read_list, reading.faults, reading.incomplete_reason)
        verdict = acceptance.observe(time.monotonic(), observation)
        if verdict.is_new:
            _log_verdict(log, verdict, observation)
        time.sleep(settings.poll_interval_s)


def _log_verdict(log: Any, verdict: Verdict, observation: Observation) -> None:
    fields: dict[str, Any] = {"reason": verdict.reason}
    if observation.snapshot is not None:
        fields |= {
            "digest": observation.snapshot.digest[:SHORT_DIGEST_DIGITS],
            "hosts": len(observation.snapshot.hosts),
        }
    if verdict.accepted is not None:
        fields |= verdict.difference.counts()
    level = {Phase.REJECTED: log.error, Phase.HELD: log.warning}.get(verdict.phase, log.info)
    level(f"inventory-{verdict.phase.name.lower()}", **fields)
    for fault in observation.faults[1:] if verdict.phase is Phase.REJECTED else ():
        log.error("inventory-fault", fault=str(fault))


@inventory.command()
@CONF_OPTION
@click.argument("digest", default="")
@click.option(
    "--wait", type=float, default=10.0, help="Seconds to wait until the host accepts the list; 0: do not wait."
)
def accept(conf_file: Path | None, digest: str, wait: float) -> None:
    """Make the host accept a held list: the current candidate, or the list with this DIGEST."""
    settings = load_settings(conf_file).inventory
    folder = _state_folder(settings)
    status = last_good.load_status(folder)
    if status is None:
        print_error(f"no host status is stored in {folder}")
        sys.exit(ExitCode.NO_STATE)
    if not digest and status["phase"] != Phase.HELD.value:
        print_error(f"no list is held: the state is {status['phase']} ({status['ground']})")
        sys.exit(ExitCode.DIFFERENCES)
    requested_digest = (digest or status["candidate"]).lower()
    if len(requested_digest) < MIN_ACCEPT_DIGITS or any(digit not in "0123456789abcdef" for digit in requested_digest):
        print_error(f"expected at least {MIN_ACCEPT_DIGITS} hex digits of a digest, got {requested_digest!r}")
        sys.exit(ExitCode.INVALID)
    last_good.save_operator_digest(folder, requested_digest[:32])
    print_line(f"asked the host to accept {requested_digest}")
    end = time.monotonic() + wait
    while wait and time.monotonic() < end:
        status = last_good.load_status(folder) or status
        if str(status["accepted"]).startswith(requested_digest):
            return print_line(f"accepted: {status['boxes']} hosts")
        time.sleep(ACCEPT_POLL_INTERVAL_S)
    if wait:
        print_error(f"the host did not accept the list within {wait:g} s; check that the files still contain this list")
        sys.exit(ExitCode.DIFFERENCES)
    return None
