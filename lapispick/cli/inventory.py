"""``lapispick inventory``: look at the list of boxes as a worker host would, and at what a host made of it."""

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
from lapispick.conf.settings import Inventory as Settings
from lapispick.fleet import files, hosts, last_good, snapshot
from lapispick.fleet.acceptance import ACCEPT_LEAST, Acceptance, Phase, Seen
from lapispick.fleet.reading import Reader, Reading
from lapispick.fleet.schema import FLEET as ANY
from lapispick.fleet.schema import Schema
from lapispick.fleet.snapshot import Snapshot
from lapispick.host.amqp import listing
from lapispick.host.inventory import options, policy

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")
PATH = click.option("--path", type=click.Path(path_type=Path), help="Another file or folder than the settings'.")
GROUP = click.option("--group", help="Another group than the settings'.")


class Source(NamedTuple):
    """Which list: how it is read, and what is wanted of its boxes."""

    settings: Settings
    schema: Schema


def _amqp() -> Schema:
    """Return what the AMQP front wants to know; classes and customers are checked where LB_CONFIG names them."""
    if not os.environ.get("LB_CONFIG"):
        return listing.schema(None)
    from lapispick.host import config as platform

    try:
        return listing.schema(platform.load().settings)
    except platform.ConfigError as err:
        print_error(f"{os.environ['LB_CONFIG']}: {err}")
        sys.exit(ExitCode.INVALID)


def source(conf: Path | None, path: Path | None, group: str | None) -> Source:
    """Return the list that is meant: the AMQP front's group is asked for queues, the fleet's for hosts, none else."""
    own = load(conf)
    told, fleet = own.inventory, own.fleet
    group = group or (told.group if own.amqp.enabled or not fleet.group else fleet.group)
    made = msgspec.structs.replace(told, path=path or told.path, group=group)
    if made.path is None:
        print_error("no path: name one by --path, or in section inventory of the settings")
        sys.exit(ExitCode.INVALID)
    if fleet.group and group == fleet.group:
        return Source(msgspec.structs.replace(made, state_folder=fleet.state_folder), hosts.SCHEMA)
    return Source(made, _amqp() if group == told.group else ANY)


class Files:
    """The files of a list, read again and again."""

    def __init__(self, where: Source) -> None:
        settings, self._schema = where
        self._path, self._most = Path(str(settings.path)), settings.size_most
        self._reader = Reader(options(settings, self._schema), os.environ)

    def read(self) -> Reading:
        """Return what the files say now."""
        found = files.read(self._path, self._most)
        if found.faults:
            return Reading({}, found.faults, "")
        reading = self._reader.read(found.files)
        if self._schema is hosts.SCHEMA and not reading.faults:
            reading = reading._replace(faults=hosts.workers(reading.boxes.values())[1])
        return reading._replace(unfinished=found.unfinished or reading.unfinished)


def _snapshot(where: Source) -> Snapshot:
    """Return the list that the files hold, or end with their faults."""
    reading = Files(where).read()
    if reading.faults:
        for fault in reading.faults:
            print_error(str(fault))
        sys.exit(ExitCode.DIFFERENCES)
    return snapshot.of(reading.boxes)


def _folder(settings: Settings) -> Path:
    if settings.state_folder is None:
        print_error("no state-folder in section inventory of the settings: the host leaves no traces")
        sys.exit(ExitCode.NO_STATE)
    return Path(str(settings.state_folder))


def _accepted(settings: Settings) -> Snapshot | None:
    """Return the last good list of the host, None where there is none that can be used."""
    if settings.state_folder is None:
        return None
    try:
        found = last_good.kept(Path(str(settings.state_folder)), f"{settings.path} group {settings.group}")
    except last_good.StateFault as err:
        print_error(str(err))
        return None
    return found[1] if found else None


def _when(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@click.group()
def inventory() -> None:
    """Look at the list of boxes."""


@inventory.command()
@FILE
@PATH
@GROUP
@JSON
def check(file: Path | None, path: Path | None, group: str | None, json_: bool) -> None:
    """Name every fault of the list's files, and what else a host would say of them."""
    where = source(file, path, group)
    settings, reading = where.settings, Files(where).read()
    made = snapshot.of(reading.boxes)
    remarks = [reading.unfinished] if reading.unfinished else []
    accepted = _accepted(settings)
    if not reading.faults and accepted is not None:
        objection = Acceptance(policy(settings), accepted).objection(0.0, made)
        remarks += [f"a host holds it back: {objection}"] if objection else []
    remarks += [
        f"one box under several spellings: {', '.join(box.spellings)}"
        for box in reading.boxes.values()
        if len(box.spellings) > 1
    ]
    if json_:
        print_json(
            {
                "boxes": len(made.boxes),
                "digest": made.digest,
                "remarks": remarks,
                "faults": [str(f) for f in reading.faults],
                "faults_left_out": reading.left_out,
            }
        )
    else:
        for fault in reading.faults:
            print_error(str(fault))
        if reading.left_out:
            print_error(f"and {reading.left_out} more faults")
        for remark in remarks:
            print_line(remark)
        if not reading.faults:
            print_line(f"{len(made.boxes)} boxes, digest {made.digest}")
    sys.exit(ExitCode.DIFFERENCES if reading.faults else 0)


@inventory.command("list")
@FILE
@PATH
@GROUP
@JSON
@click.option("--accepted", is_flag=True, help="What the host has accepted, not what the files say.")
def list_(file: Path | None, path: Path | None, group: str | None, json_: bool, accepted: bool) -> None:
    """List the boxes with what is read of them; secrets are hidden."""
    where = source(file, path, group)
    settings, schema = where
    if accepted:
        _folder(settings)
    made = _accepted(settings) if accepted else _snapshot(where)
    if made is None:
        print_error("nothing has been accepted so far")
        sys.exit(ExitCode.NO_STATE)
    boxes = [made.boxes[name] for name in sorted(made.boxes)]
    if json_:
        print_json(
            [
                {
                    "name": b.name,
                    "host": b.host,
                    "port": b.port,
                    "vars": b.shown(schema),
                    "items": b.items,
                    "spellings": b.spellings,
                    "places": [str(p) for p in b.places],
                }
                for b in boxes
            ]
        )
    else:
        print_table(
            f"{len(boxes)} boxes, digest {made.digest}",
            ("name", "at", "variables", "queues", "place"),
            (
                (
                    b.name,
                    f"{b.host}:{b.port}",
                    format_pairs({k: v for k, v in b.shown(schema).items() if v != ""}),
                    ", ".join(str(item.get(schema.item_name, "")) for item in b.items),
                    b.places[0] if b.places else "",
                )
                for b in boxes
            ),
        )


def _named(word: str, where: Source) -> Snapshot:
    if word != "accepted":
        return _snapshot(where._replace(settings=msgspec.structs.replace(where.settings, path=Path(word))))
    _folder(where.settings)
    found = _accepted(where.settings)
    if found is None:
        print_error("nothing has been accepted so far")
        sys.exit(ExitCode.NO_STATE)
    return found


@inventory.command()
@FILE
@GROUP
@JSON
@click.argument("old", default="accepted")
@click.argument("new", required=False)
def diff(file: Path | None, group: str | None, json_: bool, old: str, new: str | None) -> None:
    """Show what makes the list NEW of the list OLD.

    Each is a file or folder, or the word `accepted` for what the host accepted last; NEW is by default what
    the settings name. Ends with 1 where they differ.
    """
    where = source(file, Path(old) if old != "accepted" and new is not None else None, group)
    one = _named(old, where)
    two = _named(new, where) if new is not None else _snapshot(where)
    found = snapshot.difference(one, two)
    objection = Acceptance(policy(where.settings), one).objection(0.0, two)
    if json_:
        print_json({"old": one.digest, "new": two.digest, **found._asdict(), "held": objection})
    else:
        for what, names in found._asdict().items():
            for name in names:
                details = _details(where.schema, one, two, name) if what in ("moved", "changed") else ""
                print_line(f"{what:<8} {name}{details}")
        print_line(f"held back: {objection}" if objection else f"{sum(found.counts().values())} boxes differ")
    sys.exit(ExitCode.DIFFERENCES if found else 0)


def _details(schema: Schema, one: Snapshot, two: Snapshot, name: str) -> str:
    """Return what is other in a box, without values that are secret."""
    old, new = one.boxes[name], two.boxes[name]
    parts = []
    if (old.host, old.port) != (new.host, new.port):
        parts.append(f"{old.host}:{old.port} -> {new.host}:{new.port}")
    was, now = old.shown(schema), new.shown(schema)
    for key in sorted(was.keys() | now.keys()):
        if old.vars.get(key) != new.vars.get(key) and key != schema.port:
            parts.append(f"{key}: {was.get(key)} -> {now.get(key)}")
    items_old, items_new = ({item[schema.item_name]: item for item in b.items} for b in (old, new))
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
    """Show the lists that the host accepted, the newest last, and where it stands now."""
    folder = _folder(load(file).inventory)
    entries, status = last_good.history(folder), last_good.status(folder)
    if json_:
        return print_json({"history": entries, "status": status})
    print_table(
        "accepted lists",
        ("at", "digest", "boxes", "change", "ground"),
        (
            (
                _when(e.at),
                e.digest[:12],
                e.boxes,
                format_pairs({k: v for k, v in e.counts.items() if v}) or "none",
                e.ground,
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
    """Follow the files and say, a log line an event, what a host would make of each change."""
    where = source(file, path, group)
    settings, log = where.settings, setup_logs()
    reader, judge = Files(where), Acceptance(policy(settings), _accepted(settings))
    end = time.monotonic() + seconds if seconds else float("inf")
    while time.monotonic() < end:
        reading = reader.read()
        seen = Seen(None if reading.faults else snapshot.of(reading.boxes), reading.faults, reading.unfinished)
        verdict = judge.see(time.monotonic(), seen)
        if verdict.news:
            _say_verdict(log, verdict.phase, verdict, seen)
        time.sleep(settings.look)


def _say_verdict(log: Any, phase: Phase, verdict: Any, seen: Seen) -> None:
    told: dict[str, Any] = {"ground": verdict.ground}
    if seen.snapshot is not None:
        told |= {"digest": seen.snapshot.digest[:12], "boxes": len(seen.snapshot.boxes)}
    if verdict.accepted is not None:
        told |= verdict.difference.counts()
    level = {Phase.REFUSED: log.error, Phase.HELD: log.warning}.get(phase, log.info)
    level(f"inventory-{phase.value}", **told)
    for fault in seen.faults[1:] if phase is Phase.REFUSED else ():
        log.error("inventory-fault", fault=str(fault))


@inventory.command()
@FILE
@click.argument("digest", default="")
@click.option("--wait", type=float, default=10.0, help="Seconds to wait for the host's word; 0: do not wait.")
def accept(file: Path | None, digest: str, wait: float) -> None:
    """Let the host accept a list that it holds back: the present one, or the one with this DIGEST."""
    settings = load(file).inventory
    folder = _folder(settings)
    status = last_good.status(folder)
    if status is None:
        print_error("no host has said where it stands")
        sys.exit(ExitCode.NO_STATE)
    if not digest and status["phase"] != Phase.HELD.value:
        print_error(f"nothing is held back: the list is {status['phase']} ({status['ground']})")
        sys.exit(ExitCode.DIFFERENCES)
    wanted = (digest or status["candidate"]).lower()
    if len(wanted) < ACCEPT_LEAST or any(c not in "0123456789abcdef" for c in wanted):
        print_error(f"a digest has at least {ACCEPT_LEAST} hex digits")
        sys.exit(ExitCode.INVALID)
    last_good.accept(folder, wanted[:32])
    print_line(f"told the host to accept {wanted}")
    end = time.monotonic() + wait
    while wait and time.monotonic() < end:
        status = last_good.status(folder) or status
        if str(status["accepted"]).startswith(wanted):
            return print_line(f"accepted: {status['boxes']} boxes")
        time.sleep(0.05)
    if wait:
        print_error("the host has not accepted it so far; is the list in the files still this one?")
        sys.exit(ExitCode.DIFFERENCES)
    return None
