"""``lapispick shares``: the backends of each worker host, and how they change with the fleet."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from lapispick.cli.config import CONF_OPTION, load_settings
from lapispick.cli.inventory import ANY_HOST, ListFiles, ListSource, resolve_list_source
from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table
from lapispick.fleet import hosts as worker_hosts
from lapispick.fleet.host_assembly import InventoryHost
from lapispick.shares import load_fractions, subsets
from lapispick.shares.subsets import Assignment, AssignmentChange, Backend, Host

MAX_HOSTS = 100_000


@click.group()
def shares() -> None:
    """Show which backends each worker host uses, as computed from the inventories alone."""


EXISTING_PATH = click.Path(exists=True, path_type=Path)
COMMON_OPTIONS = (
    CONF_OPTION,
    click.option("--backends", "backends_path", type=EXISTING_PATH, required=True, help="Inventory of the backends."),
    click.option("--group", default="all", show_default=True, help="Group of the backends in their inventory."),
    click.option("--least", "min_hosts", default=2, show_default=True, help="Minimum number of hosts of each backend."),
    click.option("--json", "json_", is_flag=True, help="Print JSON."),
)


def _common_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that all commands of this group have."""
    for option in reversed(COMMON_OPTIONS):
        command = option(command)
    return command


def _read_hosts(list_source: ListSource) -> list[InventoryHost]:
    """Return the hosts of an inventory; prints the faults and ends the program if there are any."""
    reading = ListFiles(list_source).read()
    if reading.faults:
        for fault in reading.faults:
            print_error(str(fault))
        sys.exit(ExitCode.DIFFERENCES)
    return list(reading.hosts.values())


def _worker_hosts(conf_file: Path | None, path: Path | None = None) -> list[Host]:
    group = load_settings(conf_file).fleet.group
    if not group:
        print_error("section fleet of the settings: group is missing")
        sys.exit(ExitCode.INVALID)
    workers, _ = worker_hosts.worker_hosts_of(_read_hosts(resolve_list_source(conf_file, path, group)))
    return [Host(worker.name, worker.zone, worker.weight) for worker in workers]


def _backends(conf_file: Path | None, path: Path, group: str) -> list[Backend]:
    list_source = resolve_list_source(conf_file, path, group)._replace(schema=ANY_HOST)
    return [Backend(host.name) for host in _read_hosts(list_source)]


def _require_host(name: str, hosts: Sequence[Host]) -> None:
    """End the program if no host has this name."""
    if name not in {host.name for host in hosts}:
        print_error(f"unknown worker host {name!r}: not in the host list")
        sys.exit(ExitCode.INVALID)


def _host_counts(backends: Sequence[Backend], assignment: Assignment) -> list[int]:
    """Return the number of hosts of each backend."""
    return [sum(backend.name in assigned for assigned in assignment.values()) for backend in backends]


@shares.command()
@_common_options
def show(conf_file: Path | None, backends_path: Path, group: str, min_hosts: int, json_: bool) -> None:
    """Show the backends of every host, and the load of each backend if the load of each host equals its weight."""
    hosts = _worker_hosts(conf_file)
    backends = _backends(conf_file, backends_path, group)
    assignment = subsets.assign_backends(hosts, backends, min_hosts)
    fractions = load_fractions.load_fractions(hosts, backends, assignment)
    loads = load_fractions.backend_loads(hosts, fractions)
    if json_:
        print_json({"hosts": fractions, "loads": loads})
        return
    _print_fractions(fractions)
    _print_loads(backends, _host_counts(backends, assignment), loads)


def _print_fractions(fractions: load_fractions.LoadFractions) -> None:
    rows = []
    for host, row in fractions.items():
        rows.append([host, " ".join(f"{backend}:{fraction:.0%}" for backend, fraction in row.items())])
    print_table("hosts", ["host", "backends"], rows)


def _print_loads(backends: Sequence[Backend], host_counts: Sequence[int], loads: dict[str, float]) -> None:
    mean = sum(loads.values()) / max(1, len(loads))
    rows = []
    for backend, host_count in zip(backends, host_counts, strict=True):
        rows.append([backend.name, host_count, f"{loads.get(backend.name, 0.0) / mean:.2f}"])
    print_table("backends", ["backend", "hosts", "load over the mean"], rows)


@shares.command()
@click.argument("name")
@_common_options
def subset(name: str, conf_file: Path | None, backends_path: Path, group: str, min_hosts: int, json_: bool) -> None:
    """Show the backends of one host, and its place in the order of hosts of each backend."""
    hosts = _worker_hosts(conf_file)
    backends = _backends(conf_file, backends_path, group)
    _require_host(name, hosts)
    ranks = subsets.explain_assignment(name, hosts, backends, min_hosts)
    if json_:
        rows = [{"backend": rank.backend, "place": rank.place, "needs": rank.required_hosts} for rank in ranks]
        print_json({"name": name, "backends": rows})
        return
    print_table(name, ["backend", "place in its order", "hosts that it needs"], ranks)


@shares.command("what-if")
@click.option("--without", multiple=True, metavar="NAME", help="Host to remove; may be given several times.")
@click.option(
    "--boxes",
    "host_count",
    type=click.IntRange(1, MAX_HOSTS),
    help="New number of hosts: the last by name are removed, or new ones added.",
)
@click.option("--list", "other_list", type=EXISTING_PATH, help="Other inventory of worker hosts.")
@_common_options
def what_if(
    without: tuple[str, ...],
    host_count: int | None,
    other_list: Path | None,
    conf_file: Path | None,
    backends_path: Path,
    group: str,
    min_hosts: int,
    json_: bool,
) -> None:
    """Show which pairs of host and backend would begin and end with a change of the fleet."""
    if sum((bool(without), host_count is not None, other_list is not None)) != 1:
        print_error("expected exactly one of --without, --boxes and --list")
        sys.exit(ExitCode.INVALID)
    hosts = _worker_hosts(conf_file)
    backends = _backends(conf_file, backends_path, group)
    for name in without:
        _require_host(name, hosts)
    if host_count is not None:
        new_hosts = _resized(hosts, host_count)
    elif other_list is not None:
        new_hosts = _worker_hosts(conf_file, other_list)
    else:
        new_hosts = [host for host in hosts if host.name not in without]
    old = subsets.assign_backends(hosts, backends, min_hosts)
    new = subsets.assign_backends(new_hosts, backends, min_hosts)
    change = subsets.compare_assignments(old, new)
    fewest_hosts = min(_host_counts(backends, new), default=0)
    if json_:
        _print_change_json(change, len(new_hosts), fewest_hosts)
        return
    new_pair_count = sum(map(len, new.values()))
    print_line(
        f"from {len(hosts)} to {len(new_hosts)} hosts: {len(change.added)} of {new_pair_count} pairs begin "
        f"(minimum {change.min_added}), {len(change.removed)} end; each backend has at least {fewest_hosts} hosts"
    )
    print_table("begin", ["host", "backend"], change.added)


def _resized(hosts: Sequence[Host], host_count: int) -> list[Host]:
    """Return the first hosts by name; if there are too few, add new ones evenly over the zones."""
    zones = sorted({host.zone for host in hosts})
    new_hosts = []
    for number in range(host_count - len(hosts)):
        zone = zones[number % len(zones)] if zones else ""
        new_hosts.append(Host(f"new-{number:05}", zone))
    return sorted(hosts)[:host_count] + new_hosts


def _print_change_json(change: AssignmentChange, host_count: int, fewest_hosts: int) -> None:
    print_json(
        {
            "hosts": host_count,
            "least": fewest_hosts,
            "needed": change.min_added,
            "ended": change.removed,
            "begun": change.added,
        }
    )
