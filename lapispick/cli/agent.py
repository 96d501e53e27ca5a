"""``lapispick agent``: a box's agent, its shelf of generations, and calls to it."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.agent.generation_store import Shelf
from lapispick.agent.generation_store import Unfit as UnfitGeneration
from lapispick.cli.config import FILE, load
from lapispick.cli.ops import NoAnswer, call
from lapispick.cli.output import DIFFERS, FAULTY, NO_STATE, as_json, complain, say, table
from lapispick.conf.settings import Agent as Settings
from lapispick.host.addresses import parse_address
from lapispick.rollout import messages

JSON = click.option("--json", "json_", is_flag=True, help="For programs.")


@click.group()
def agent() -> None:
    """Run a box's agent, keep its generations, or ask it where it stands."""


def _settings(file: Path | None) -> Settings:
    told = load(file).agent
    if told.folder is None:
        complain("no folder in section agent of the settings")
        sys.exit(FAULTY)
    return told


def _shelf(file: Path | None) -> Shelf:
    return Shelf(Path(str(_settings(file).folder)) / "generations")


def _config(path: Path) -> dict[str, Any]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError) as err:
        complain(f"{path}: {err}")
        sys.exit(FAULTY)


@agent.command()
@FILE
@click.option("--adopt", metavar="GENERATION", default="", help="The good one, where the box has none so far.")
def run(file: Path | None, adopt: str) -> None:
    """Run the agent of this box until it is told to end; the host goes on without it."""
    from lapispick.agent.service import Agent, Unfit
    from lapispick.host import config as platform
    from lapispick.host import logs

    told = _settings(file)
    if told.config is None or len(told.slot_ops) != 2:
        complain("section agent needs config and slot-ops")
        sys.exit(FAULTY)
    base = _config(Path(str(told.config)))
    try:
        name = platform.load({"LB_CONFIG": str(told.config)}).name
        logs.setup()
        made = Agent(name, told, base)
        made.adopt(adopt)
    except (Unfit, OSError, ValueError, platform.ConfigError) as err:
        complain(str(err))
        sys.exit(FAULTY)
    made.run()


@agent.command()
@FILE
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    required=True,
    help="The folder that holds the package lapispick.",
)
@click.option("--settings", type=click.Path(path_type=Path, exists=True), help="The operators' settings file of it.")
@click.option(
    "--config",
    type=click.Path(path_type=Path, exists=True),
    help="JSON: what it changes of the platform's configuration, such as stop_ms.",
)
@click.option("--label", default="", help="A word for people.")
def add(file: Path | None, program: Path, settings: Path | None, config: Path | None, label: str) -> None:
    """Put a generation on this box's shelf and print its digest; nothing runs it so far."""
    from lapispick.conf import settings as conf
    from lapispick.file_errors import Faulty

    try:
        if settings is not None:
            conf.parse(settings)
        made = _shelf(file).add(program, settings, _config(config) if config else {}, label)
    except Faulty as err:
        for fault in err.faults:
            complain(str(fault))
        sys.exit(FAULTY)
    except (UnfitGeneration, OSError) as err:
        complain(str(err))
        sys.exit(FAULTY)
    say(made.digest)


@agent.command()
@FILE
@JSON
def shelf(file: Path | None, json_: bool) -> None:
    """List the generations on this box's shelf, and whether their files are what the digests say."""
    held = _shelf(file)
    found = [(g, held.verify(g.digest)) for g in held.all().values()]
    if json_:
        return as_json([{**msgspec.to_builtins(g), "fault": fault} for g, fault in found])
    table(
        "generations",
        ("digest", "label", "program", "settings", "changes", "fault"),
        (
            (g.digest, g.label, g.program, g.conf, " ".join(f"{k}={v}" for k, v in g.config.items()), fault or "none")
            for g, fault in found
        ),
    )
    sys.exit(DIFFERS if any(fault for _, fault in found) else 0)


@agent.command()
@click.option("--at", metavar="IP:PORT", required=True, help="Where the agent listens.")
@JSON
def status(at: str, json_: bool) -> None:
    """Ask an agent where its box stands."""
    try:
        found = messages.heard(call(parse_address(at), "status"))
    except (NoAnswer, ValueError) as err:
        complain(str(err))
        sys.exit(NO_STATE)
    told = msgspec.to_builtins(found)
    if json_:
        return as_json(told)
    for key, value in told.items():
        say(f"{key:<10} {value}")
    return None
