"""``lapispick inventory``: shows the host list as a worker host reads it, and what a host accepted."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from lapispick.cli.config import FILE, load
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

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")
PATH = click.option("--path", type=click.Path(path_type=Path), help="Another file or folder than the settings'.")
ACCEPTED = "accepted"  # names the list that the host accepted last, in place of a file
GROUP = click.option("--group", help="Another group than the settings'.")


class Source(NamedTuple):
    """Which list: how it is read, and what is read of its hosts."""

    settings: InventorySettings
    schema: Schema


def _amqp() -> Schema:
    """Return the schema of the AMQP front; classes and customers are checked where LB_CONFIG names them."""
    if not os.environ.get("LB_CONFIG"):
        return inventory_schema.schema(None)
    from lapispick.host import config as platform

    try:
        return inventory_schema.schema(platform.load().start_settings)
    except platform.ConfigError as err:
        print_error(f"{os.environ['LB_CONFIG']}: {err}")
        sys.exit(ExitCode.INVALID)


def source(conf: Path | None, path: Path | None, group: str | None) -> Source:
    """Return the list of a group: that of the AMQP front has queues, that of the fleet worker hosts, others neither."""
    loaded = load(conf)
    inventory_settings = loaded.inventory
    fleet = loaded.fleet
    group = group or (inventory_settings.group if loaded.amqp.enabled or not fleet.group else fleet.group)
    settings = msgspec.structs.replace(inventory_settings, path=path or inventory_settings.path, group=group)
    if settings.path is None:
        print_error("no path: name one by --path, or in section inventory of the settings")
        sys.exit(ExitCode.INVALID)
    if fleet.group and group == fleet.group:
        return Source(msgspec.structs.replace(settings, state_folder=fleet.state_folder), hosts.SCHEMA)
    return Source(settings, _amqp() if group == inventory_settings.group else ANY_HOST)


class Files:
    """The files of a list, read again and again."""

    def __init__(self, where: Source) -> None:
        settings = where.settings
        self._schema = where.schema
        self._path = Path(str(settings.path))
        self._max_bytes = settings.max_bytes
        self._reader = InventoryReader(reading_options(settings, self._schema), os.environ)

    def read(self) -> ReadResult:
        """Read the files again."""
        found = files.read(self._path, self._max_bytes)
        if found.faults:
            return ReadResult({}, found.faults, "")
        reading = self._reader.read(found.files)
        if self._schema is hosts.SCHEMA and not reading.faults:
            reading = reading._replace(faults=hosts.worker_hosts_of(reading.hosts.values())[1])
        return reading._replace(incomplete_reason=found.incomplete_reason or reading.incomplete_reason)


def _snapshot(where: Source) -> Snapshot:
    """Return the list that the files hold, or end with their faults."""
    reading = Files(where).read()
    if reading.faults:
        for fault in reading.faults:
            print_error(str(fault))
        sys.exit(ExitCode.DIFFERENCES)
    return snapshot.snapshot_of(reading.hosts)


def _folder(settings: InventorySettings) -> Path:
    if settings.state_folder is None:
        print_error("no state-folder in section inventory of the settings: the host leaves no traces")
        sys.exit(ExitCode.NO_STATE)
    return Path(str(settings.state_folder))


def _accepted(settings: InventorySettings) -> Snapshot | None:
    """Return the last good list of the host, None where there is none that can be used."""
    if settings.state_folder is None:
        return None
    try:
        found = last_good.load(Path(str(settings.state_folder)), f"{settings.path} group {settings.group}")
    except StateFolderError as err:
        print_error(str(err))
        return None
    return found.snapshot if found else None


def _require_accepted(settings: InventorySettings) -> Snapshot:
    """Return the last good list of the host, or end where there is none."""
    found = _accepted(settings)
    if found is None:
        print_error("nothing has been accepted so far")
        sys.exit(ExitCode.NO_STATE)
    return found


def _when(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@click.group()
def inventory() -> None:
    """Check, show, compare and accept the host list."""


@inventory.command()
@FILE
@PATH
@GROUP
@JSON
def check(file: Path | None, path: Path | None, group: str | None, json_: bool) -> None:
    """List every fault of the list's files, and say whether a host would hold the list."""
    where = source(file, path, group)
    settings, reading = where.settings, Files(where).read()
    made = snapshot.snapshot_of(reading.hosts)
    remarks = [reading.incomplete_reason] if reading.incomplete_reason else []
    accepted = _accepted(settings)
    if not reading.faults and accepted is not None:
        objection = Acceptance(acceptance_policy(settings), accepted).hold_reason(0.0, made)
        remarks += [f"a host holds it back: {objection}"] if objection else []
    remarks += [
        f"one host under several spellings: {', '.join(host.spellings)}"
        for host in reading.hosts.values()
        if len(host.spellings) > 1
    ]
    if json_:
        print_json(
            {
                "boxes": len(made.hosts),
                "digest": made.digest,
                "remarks": remarks,
                "faults": [str(f) for f in reading.faults],
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
            print_line(f"{len(made.hosts)} hosts, digest {made.digest}")
    sys.exit(ExitCode.DIFFERENCES if reading.faults else 0)


@inventory.command("list")
@FILE
@PATH
@GROUP
@JSON
@click.option("--accepted", is_flag=True, help="What the host has accepted, not what the files say.")
def list_(file: Path | None, path: Path | None, group: str | None, json_: bool, accepted: bool) -> None:
    """List the hosts with what is read of them; secrets are hidden."""
    where = source(file, path, group)
    if accepted:
        _folder(where.settings)
    listed = _require_accepted(where.settings) if accepted else _snapshot(where)
    listed_hosts = [listed.hosts[name] for name in sorted(listed.hosts)]
    if json_:
        return print_json([_as_json(host, where.schema) for host in listed_hosts])
    return print_table(
        f"{len(listed_hosts)} hosts, digest {listed.digest}",
        ("name", "at", "variables", "queues", "place"),
        (_as_row(host, where.schema) for host in listed_hosts),
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


def _named(name: str, where: Source) -> Snapshot:
    if name != ACCEPTED:
        return _snapshot(where._replace(settings=msgspec.structs.replace(where.settings, path=Path(name))))
    _folder(where.settings)
    return _require_accepted(where.settings)


@inventory.command()
@FILE
@GROUP
@JSON
@click.argument("old", default=ACCEPTED)
@click.argument("new", required=False)
def diff(file: Path | None, group: str | None, json_: bool, old: str, new: str | None) -> None:
    """Show what makes the list NEW of the list OLD.

    Each is a file or folder, or the word `accepted` for what the host accepted last; NEW is by default what
    the settings name. Ends with 1 where they differ.
    """
    where = source(file, Path(old) if old != ACCEPTED and new is not None else None, group)
    one = _named(old, where)
    two = _named(new, where) if new is not None else _snapshot(where)
    found = snapshot.difference(one, two)
    objection = Acceptance(acceptance_policy(where.settings), one).hold_reason(0.0, two)
    if json_:
        print_json({"old": one.digest, "new": two.digest, **found._asdict(), "held": objection})
    else:
        for what, names in found._asdict().items():
            for name in names:
                details = _details(where.schema, one, two, name) if what in ("moved", "changed") else ""
                print_line(f"{what:<8} {name}{details}")
        print_line(f"held back: {objection}" if objection else f"{sum(found.counts().values())} hosts differ")
    sys.exit(ExitCode.DIFFERENCES if found else 0)


def _details(schema: Schema, one: Snapshot, two: Snapshot, name: str) -> str:
    """Return what differs in a host, without values that are secret."""
    old, new = one.hosts[name], two.hosts[name]
    parts = []
    if (old.address, old.port) != (new.address, new.port):
        parts.append(f"{old.address}:{old.port} -> {new.address}:{new.port}")
    was, now = old.redacted_vars(schema), new.redacted_vars(schema)
    for key in sorted(was.keys() | now.keys()):
        if old.vars.get(key) != new.vars.get(key) and key != schema.port_variable:
            parts.append(f"{key}: {was.get(key)} -> {now.get(key)}")
    items_old, items_new = ({item[schema.item_name_variable]: item for item in host.items} for host in (old, new))
    for key in sorted(items_old.keys() | items_new.keys()):
        if items_old.get(key) != items_new.get(key):
            parts.append(
                f"queue {key} " + ("left" if key not in items_new else "joined" if key not in items_old else "changed")
            )
    return f" ({'; '.join(parts)})" if parts else ""


@inventory.command()
@FILE
@JSON
def history(file: Path | None, json_: bool) -> None:
    """Show the lists that the host accepted, the newest last, and its present state."""
    folder = _folder(load(file).inventory)
    entries, status = last_good.load_history(folder), last_good.load_status(folder)
    if json_:
        return print_json({"history": entries, "status": status})
    print_table(
        "accepted lists",
        ("at", "digest", "hosts", "change", "reason"),
        (
            (
                _when(e.at),
                e.digest[:12],
                e.host_count,
                format_pairs({k: v for k, v in e.counts.items() if v}) or "none",
                e.reason,
            )
            for e in entries
        ),
    )
    if status is None:
        print_line("no host has said where it stands")
        sys.exit(ExitCode.NO_STATE)
    print_line(f"now: {status['phase']} since {_when(status['at'])}: {status['ground']}")
    for fault in status["faults"]:
        print_line(fault)
    return None


@inventory.command()
@FILE
@PATH
@GROUP
@click.option("--seconds", type=float, default=0.0, help="End after this long; 0: go on until interrupted.")
def watch(file: Path | None, path: Path | None, group: str | None, seconds: float) -> None:
    """Follow the files and log what a host would do at each change."""
    where = source(file, path, group)
    settings, log = where.settings, setup_logs()
    reader, judge = Files(where), Acceptance(acceptance_policy(settings), _accepted(settings))
    end = time.monotonic() + seconds if seconds else float("inf")
    while time.monotonic() < end:
        reading = reader.read()
        found = None if reading.faults else snapshot.snapshot_of(reading.hosts)
        observation = Observation(found, reading.faults, reading.incomplete_reason)
        verdict = judge.observe(time.monotonic(), observation)
        if verdict.is_new:
            _log_verdict(log, verdict, observation)
        time.sleep(settings.poll_interval_s)


def _log_verdict(log: Any, verdict: Verdict, observation: Observation) -> None:
    fields: dict[str, Any] = {"reason": verdict.reason}
    if observation.snapshot is not None:
        fields |= {"digest": observation.snapshot.digest[:12], "hosts": len(observation.snapshot.hosts)}
    if verdict.accepted is not None:
        fields |= verdict.difference.counts()
    level = {Phase.REJECTED: log.error, Phase.HELD: log.warning}.get(verdict.phase, log.info)
    level(f"inventory-{verdict.phase.name.lower()}", **fields)
    for fault in observation.faults[1:] if verdict.phase is Phase.REJECTED else ():
        log.error("inventory-fault", fault=str(fault))


@inventory.command()
@FILE
@click.argument("digest", default="")
@click.option("--wait", type=float, default=10.0, help="Seconds to wait for the host's word; 0: do not wait.")
def accept(file: Path | None, digest: str, wait: float) -> None:
    """Have the host accept a list that is held: the present one, or the one with this DIGEST."""
    settings = load(file).inventory
    folder = _folder(settings)
    status = last_good.load_status(folder)
    if status is None:
        print_error("no host has said where it stands")
        sys.exit(ExitCode.NO_STATE)
    if not digest and status["phase"] != Phase.HELD.value:
        print_error(f"nothing is held back: the list is {status['phase']} ({status['ground']})")
        sys.exit(ExitCode.DIFFERENCES)
    requested_digest = (digest or status["candidate"]).lower()
    if len(requested_digest) < MIN_ACCEPT_DIGITS or any(c not in "0123456789abcdef" for c in requested_digest):
        print_error(f"a digest has at least {MIN_ACCEPT_DIGITS} hex digits")
        sys.exit(ExitCode.INVALID)
    last_good.save_operator_digest(folder, requested_digest[:32])
    print_line(f"told the host to accept {requested_digest}")
    end = time.monotonic() + wait
    while wait and time.monotonic() < end:
        status = last_good.load_status(folder) or status
        if str(status["accepted"]).startswith(requested_digest):
            return print_line(f"accepted: {status['boxes']} hosts")
        time.sleep(0.05)
    if wait:
        print_error("the host has not accepted it so far; is the list in the files still this one?")
        sys.exit(ExitCode.DIFFERENCES)
    return None
