"""``lapispick model``: many members on one simulated clock."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from lapispick.cli.output import DIFFERS, FAULTY, as_json, complain, say, table


@click.group()
def model() -> None:
    """Try members and turns at sizes that sockets do not reach: the same decisions, one simulated clock."""


OPTIONS = (
    click.option("--seconds", default=60.0, show_default=True, help="Simulated time."),
    click.option("--loss", default=0.0, show_default=True, help="Share of words that are lost."),
    click.option("--seed", default=1, show_default=True),
    click.option(
        "--script",
        type=click.Path(exists=True, dir_okay=False, path_type=Path),
        help="Faults, a line each: AT KIND BOXES [for SPAN] [VALUE].",
    ),
    click.option("--want", default=0, show_default=True, help="Members that want the turn all the time."),
)


def _options(command):  # type: ignore[no-untyped-def]
    for option in reversed(OPTIONS):
        command = option(command)
    return command


def _script(path: Path | None) -> str:
    from lapispick.model import script

    text = path.read_text() if path is not None else ""
    try:
        script.parse(text)
    except ValueError as err:
        complain(f"{path}: {err}")
        sys.exit(FAULTY)
    return text


@model.command()
@click.option("--size", default=14, show_default=True, help="Members.")
@_options
@click.option("--json", "json_", is_flag=True, help="For programs.")
def run(size: int, seconds: float, loss: float, seed: int, script: Path | None, want: int, json_: bool) -> None:
    """Play one fleet and say what became of it."""
    from lapispick.model import runs

    found = runs.played(runs.Run(size, seconds, loss, seed, _script(script), want))
    if json_:
        return as_json(found)
    for name, value in msgspec.structs.asdict(found).items():
        say(f"{name:<24} {value if not isinstance(value, float) else round(value, 4)}")


@model.command()
@click.option("--sizes", default="14,200,1000", show_default=True, help="Members, one run each.")
@_options
@click.option("--json", "json_", is_flag=True, help="For programs.")
@click.option("--save", type=click.Path(path_type=Path), help="Write the rows here, for plot.")
def sweep(
    sizes: str, seconds: float, loss: float, seed: int, script: Path | None, want: int, json_: bool, save: Path | None
) -> None:
    """Play fleets of several sizes by one script."""
    from lapispick.model import runs

    text = _script(script)
    try:
        told = [int(size) for size in sizes.split(",")]
    except ValueError:
        complain(f"--sizes {sizes}: takes numbers with commas between")
        sys.exit(FAULTY)
    rows = [runs.played(runs.Run(size, seconds, loss, seed, text, want)) for size in told]
    if save is not None:
        save.write_bytes(msgspec.json.encode(rows))
    if json_:
        return as_json(rows)
    heads = list(runs.Found.__struct_fields__)
    return table("runs", heads, [[f"{getattr(row, head):.4g}" for head in heads] for row in rows])


@model.command("check")
@click.option("--seeds", default=20, show_default=True, help="Runs of each property.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.argument("names", nargs=-1)
def check_(seeds: int, first: int, names: tuple[str, ...]) -> None:
    """Play what must hold, all or by name. Ends with 1 where something broke, and says by which seed."""
    from lapispick.model import properties

    unknown = [name for name in names if name not in properties.ALL]
    if unknown:
        complain(f"no property {unknown[0]}; there are {', '.join(properties.ALL)}")
        sys.exit(FAULTY)
    found = properties.check(names or tuple(properties.ALL), range(first, first + seeds))
    for name, seed, what in found:
        complain(f"{name}, seed {seed}: {what}")
    if found:
        sys.exit(DIFFERS)
    say(f"{len(names or properties.ALL)} properties hold by {seeds} seeds each")


@model.command()
@click.argument("rows", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("picture", type=click.Path(path_type=Path))
def plot(rows: Path, picture: Path) -> None:
    """Draw what sweep saved: time to notice a death, and words and bytes a member and second, by size."""
    from lapispick.model import runs

    try:
        found = msgspec.json.decode(rows.read_bytes(), type=list[runs.Found])
    except msgspec.MsgspecError as err:
        complain(f"{rows}: {err}")
        sys.exit(FAULTY)
    runs.draw(found, str(picture))
