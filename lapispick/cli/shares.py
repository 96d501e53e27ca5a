"""``lapispick shares``: which backends each worker host uses, and what a change would move."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import click

from lapispick.cli.config import FILE, load
from lapispick.cli.inventory import ANY_HOST, Files, Source, source
from lapispick.cli.output import DIFFERS, FAULTY, as_json, complain, say, table
from lapispick.fleet import hosts as listing
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.shares import subsets
from lapispick.shares.subsets import Backend, Host


@click.group()
def shares() -> None:
    """Choices of many worker hosts that add up: which backends each of them uses, by the lists alone."""


PATH = click.Path(exists=True, path_type=Path)
LISTS = (
    FILE,
    click.option("--backends", "backends_", type=PATH, required=True, help="The list of backends."),
    click.option("--group", default="all", show_default=True, help="Of the backends, in their list."),
    click.option("--least", default=2, show_default=True, help="Hosts that each backend needs."),
    click.option("--json", "json_", is_flag=True, help="For programs."),
)


def _lists(command):  # type: ignore[no-untyped-def]
    for option in reversed(LISTS):
        command = option(command)
    return command


def _inventory_hosts(where: Source) -> list[InventoryHost]:
    reading = Files(where).read()
    if reading.faults:
        for fault in reading.faults:
            complain(str(fault))
        sys.exit(DIFFERS)
    return list(reading.hosts.values())


def _hosts(conf: Path | None, path: Path | None = None) -> list[Host]:
    group = load(conf).fleet.group
    if not group:
        complain("no group in section fleet of the settings")
        sys.exit(FAULTY)
    found, _ = listing.workers(_inventory_hosts(source(conf, path, group)))
    return [Host(each.name, each.zone, each.weight) for each in found]


def _backends(conf: Path | None, path: Path, group: str) -> list[Backend]:
    return [Backend(host.name) for host in _inventory_hosts(source(conf, path, group)._replace(schema=ANY_HOST))]


def _known(name: str, hosts: Sequence[Host]) -> None:
    if name not in {host.name for host in hosts}:
        complain(f"{name} is no worker host of the list")
        sys.exit(FAULTY)


@shares.command()
@_lists
def show(file: Path | None, backends_: Path, group: str, least: int, json_: bool) -> None:
    """Show what every host uses, and the load of each backend where all hosts have as much as their weight."""
    hosts, backends = _hosts(file), _backends(file, backends_, group)
    chosen = subsets.assign(hosts, backends, least)
    parts = subsets.shares(hosts, backends, chosen)
    found = subsets.loads(hosts, parts)
    if json_:
        return as_json({"hosts": parts, "loads": found})
    table(
        "hosts",
        ["host", "backends"],
        [[name, " ".join(f"{b}:{part:.0%}" for b, part in row.items())] for name, row in parts.items()],
    )
    mean = sum(found.values()) / max(1, len(found))
    return table(
        "backends",
        ["backend", "hosts", "load over the mean"],
        [
            [b.name, sum(b.name in mine for mine in chosen.values()), f"{found.get(b.name, 0.0) / mean:.2f}"]
            for b in backends
        ],
    )


@shares.command()
@click.argument("name")
@_lists
def subset(name: str, file: Path | None, backends_: Path, group: str, least: int, json_: bool) -> None:
    """Show what one host uses, and by which place in each backend's order it has it."""
    hosts, backends = _hosts(file), _backends(file, backends_, group)
    _known(name, hosts)
    found = subsets.explained(name, hosts, backends, least)
    if json_:
        return as_json(
            {
                "name": name,
                "backends": [{"backend": backend, "place": place, "needs": many} for backend, place, many in found],
            }
        )
    return table(name, ["backend", "place in its order", "hosts that it needs"], found)


@shares.command("what-if")
@click.option("--without", multiple=True, metavar="NAME", help="A host that goes; may stand several times.")
@click.option("--boxes", type=click.IntRange(1, 100_000), help="So many hosts: the last go, or new ones come.")
@click.option("--list", "other", type=PATH, help="Another list of worker hosts.")
@_lists
def what_if(
    without: tuple[str, ...],
    boxes: int | None,
    other: Path | None,
    file: Path | None,
    backends_: Path,
    group: str,
    least: int,
    json_: bool,
) -> None:
    """Say before a change of the fleet what would move: which hosts would let go of backends, and which take them."""
    if sum((bool(without), boxes is not None, other is not None)) != 1:
        complain("name one of --without, --boxes, --list")
        sys.exit(FAULTY)
    hosts, backends = _hosts(file), _backends(file, backends_, group)
    for name in without:
        _known(name, hosts)
    later = [host for host in hosts if host.name not in without]
    if boxes is not None:
        zones = sorted({host.zone for host in hosts})
        more = [Host(f"new-{n:05}", zones[n % len(zones)] if zones else "") for n in range(boxes - len(hosts))]
        later = sorted(hosts)[:boxes] + more
    elif other is not None:
        later = _hosts(file, other)
    old, new = (subsets.assign(each, backends, least) for each in (hosts, later))
    found = subsets.moved(old, new)
    many = [sum(b.name in mine for mine in new.values()) for b in backends]
    if json_:
        return as_json(
            {
                "hosts": len(later),
                "least": min(many, default=0),
                "needed": found.needed,
                "ended": found.ended,
                "begun": found.begun,
            }
        )
    say(
        f"{len(hosts)} hosts become {len(later)}: {len(found.begun)} of {sum(map(len, new.values()))} pairs begin, "
        f"{len(found.ended)} end; {found.needed} had to. Hosts of a backend: {min(many, default=0)} at least"
    )
    return table("begin", ["host", "backend"], found.begun)
