"""``lapispick model``: simulated clusters of many members."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table


@click.group()
def model() -> None:
    """Simulate membership and leases of large clusters, with the code of the hosts and a simulated clock."""


COMMON_OPTIONS = (
    click.option("--seconds", default=60.0, show_default=True, help="Simulated time."),
    click.option("--loss", default=0.0, show_default=True, help="Fraction of messages that are lost."),
    click.option("--seed", default=1, show_default=True),
    click.option(
        "--script",
        type=click.Path(exists=True, dir_okay=False, path_type=Path),
        help="File of faults, one per line: AT KIND HOSTS [for SPAN] [VALUE].",
    ),
    click.option(
        "--want",
        "lease_requesters",
        default=0,
        show_default=True,
        help="Number of members that request the lease continuously.",
    ),
)


def _common_options(command):  # type: ignore[no-untyped-def]
    for option in reversed(COMMON_OPTIONS):
        command = option(command)
    return command


def _script_text(path: Path | None) -> str:
    """Return the text of a fault script; ends the program if it is invalid."""
    from lapispick.model import fault_script

    text = path.read_text() if path is not None else ""
    try:
        fault_script.parse(text)
    except fault_script.FaultScriptError as err:
        print_error(f"{path}: {err}")
        sys.exit(ExitCode.INVALID)
    return text


@model.command()
@click.option("--size", default=14, show_default=True, help="Number of members.")
@_common_options
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def run(
    size: int, seconds: float, loss: float, seed: int, script: Path | None, lease_requesters: int, json_: bool
) -> None:
    """Simulate one cluster and print its metrics."""
    from lapispick.model import runs

    settings = runs.RunSettings(size, seconds, loss, seed, _script_text(script), lease_requesters)
    metrics = runs.simulate(settings)
    if json_:
        return print_json(metrics)
    for name, value in msgspec.to_builtins(metrics).items():
        print_line(f"{name:<24} {value if not isinstance(value, float) else round(value, 4)}")


@model.command()
@click.option(
    "--sizes", default="14,200,1000", show_default=True, help="Numbers of members, separated by commas; one run each."
)
@_common_options
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
@click.option("--save", type=click.Path(path_type=Path), help="File to save the rows to, for plot.")
def sweep(
    sizes: str,
    seconds: float,
    loss: float,
    seed: int,
    script: Path | None,
    lease_requesters: int,
    json_: bool,
    save: Path | None,
) -> None:
    """Simulate clusters of several sizes with one script."""
    from lapispick.model import runs

    text = _script_text(script)
    try:
        cluster_sizes = [int(size) for size in sizes.split(",")]
    except ValueError:
        print_error(f"--sizes: expected whole numbers separated by commas, got {sizes!r}")
        sys.exit(ExitCode.INVALID)
    rows = [
        runs.simulate(runs.RunSettings(size, seconds, loss, seed, text, lease_requesters)) for size in cluster_sizes
    ]
    if save is not None:
        save.write_bytes(msgspec.json.encode(rows))
    if json_:
        return print_json(rows)
    cells = [msgspec.to_builtins(row) for row in rows]
    columns = list(cells[0])
    return print_table("runs", columns, [[f"{row[column]:.4g}" for column in columns] for row in cells])


@model.command("check")
@click.option("--seeds", default=20, show_default=True, help="Seeds for each property.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.argument("names", nargs=-1)
def check_(seeds: int, first: int, names: tuple[str, ...]) -> None:
    """Check all properties, or those named. Prints the seed of each violation, and exits with 1 if there is any."""
    from lapispick.model.properties import FORMER_NAMES, PROPERTIES, check

    selected = [FORMER_NAMES.get(name, name) for name in names] or list(PROPERTIES)
    for name in selected:
        if name not in PROPERTIES:
            print_error(f"unknown property {name!r}; expected one of {', '.join(PROPERTIES)}")
            sys.exit(ExitCode.INVALID)
    violations = check(selected, range(first, first + seeds))
    for violation in violations:
        print_error(f"{violation.name}, seed {violation.seed}: {violation.observed}")
    if violations:
        sys.exit(ExitCode.DIFFERENCES)
    print_line(f"{len(selected)} properties hold with {seeds} seeds each")


@model.command()
@click.argument("rows", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("picture", type=click.Path(path_type=Path))
def plot(rows: Path, picture: Path) -> None:
    """Plot the rows saved by sweep, by size: time to detect a dead member, messages and bytes per member and second."""
    from lapispick.model import runs

    try:
        metrics = msgspec.json.decode(rows.read_bytes(), type=list[runs.RunMetrics])
    except msgspec.MsgspecError as err:
        print_error(f"{rows}: {err}")
        sys.exit(ExitCode.INVALID)
    runs.plot(metrics, str(picture))
