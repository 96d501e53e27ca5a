"""``lapispick agent``: a host's agent, its stored generations, and calls to it."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from lapispick.agent.errors import AgentError, InvalidGenerationError
from lapispick.agent.generation_store import GenerationStore
from lapispick.cli.config import CONF_OPTION, load_settings
from lapispick.cli.ops import NoAnswerError, call
from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table
from lapispick.conf.sections import AgentSettings
from lapispick.host.addresses import parse_address
from lapispick.rollout import messages
from lapispick.rollout.host_state import SLOT_COUNT

JSON_OPTION = click.option("--json", "json_", is_flag=True, help="Print JSON.")


@click.group()
def agent() -> None:
    """Run a host's agent, manage its generations, or show its status."""


def _agent_settings(conf_file: Path | None) -> AgentSettings:
    settings = load_settings(conf_file).agent
    if settings.folder is None:
        print_error("section agent of the settings: folder is missing")
        sys.exit(ExitCode.INVALID)
    return settings


def _generation_store(conf_file: Path | None) -> GenerationStore:
    return GenerationStore(Path(str(_agent_settings(conf_file).folder)) / "generations")


def _read_config(path: Path) -> dict[str, Any]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError) as err:
        print_error(f"{path}: {err}")
        sys.exit(ExitCode.INVALID)


@agent.command()
@CONF_OPTION
@click.option("--adopt", metavar="GENERATION", default="", help="Last good generation, if the host has none yet.")
def run(conf_file: Path | None, adopt: str) -> None:
    """Run the agent of this host until SIGTERM or SIGINT; the host continues to serve afterwards."""
    from lapispick.agent.service import Agent
    from lapispick.host import config as platform
    from lapispick.host import logs

    settings = _agent_settings(conf_file)
    if settings.host_config is None or len(settings.slot_ops) != SLOT_COUNT:
        print_error(
            f"section agent of the settings: expected config and {SLOT_COUNT} slot-ops, "
            f"got config {settings.host_config or '(none)'} and {len(settings.slot_ops)} slot-ops"
        )
        sys.exit(ExitCode.INVALID)
    base = _read_config(Path(str(settings.host_config)))
    try:
        name = platform.load({"LB_CONFIG": str(settings.host_config)}).name
        logs.configure_logging()
        service = Agent(name, settings, base)
        service.adopt(adopt)
    except (AgentError, OSError, ValueError, platform.ConfigError) as err:
        print_error(str(err))
        sys.exit(ExitCode.INVALID)
    service.run()


@agent.command()
@CONF_OPTION
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    required=True,
    help="Folder that contains the package lapispick.",
)
@click.option("--settings", type=click.Path(path_type=Path, exists=True), help="The program's settings file.")
@click.option(
    "--config",
    type=click.Path(path_type=Path, exists=True),
    help="JSON file of changes to the platform's configuration, such as stop_ms.",
)
@click.option("--label", default="", help="Free text that describes the generation.")
def add(conf_file: Path | None, program: Path, settings: Path | None, config: Path | None, label: str) -> None:
    """Store a generation on this host and print its digest, without starting it."""
    from lapispick.conf import settings as conf
    from lapispick.file_errors import InvalidFileError

    try:
        if settings is not None:
            conf.parse(settings)
        generation = _generation_store(conf_file).add(program, settings, _read_config(config) if config else {}, label)
    except InvalidFileError as err:
        for fault in err.faults:
            print_error(str(fault))
        sys.exit(ExitCode.INVALID)
    except (InvalidGenerationError, OSError) as err:
        print_error(str(err))
        sys.exit(ExitCode.INVALID)
    print_line(generation.digest)


@agent.command("shelf")
@CONF_OPTION
@JSON_OPTION
def list_generations(conf_file: Path | None, json_: bool) -> None:
    """List the generations stored on this host, and check their files against the digests."""
    store = _generation_store(conf_file)
    verified = [(generation, store.verify(generation.digest)) for generation in store.all().values()]
    if json_:
        return print_json([{**msgspec.to_builtins(generation), "fault": fault} for generation, fault in verified])
    rows = []
    for generation, fault in verified:
        changes = " ".join(f"{key}={value}" for key, value in generation.config.items())
        identity = (generation.digest, generation.label, generation.program_digest, generation.settings_digest)
        rows.append((*identity, changes, fault or "none"))
    print_table("generations", ("digest", "label", "program", "settings", "changes", "fault"), rows)
    sys.exit(ExitCode.DIFFERENCES if any(fault for _, fault in verified) else 0)


@agent.command()
@click.option("--at", metavar="IP:PORT", required=True, help="Address of the agent.")
@JSON_OPTION
def status(at: str, json_: bool) -> None:
    """Show the status that an agent reports."""
    try:
        answer = messages.decode_status(call(parse_address(at), "status"))
    except (NoAnswerError, ValueError) as err:
        print_error(str(err))
        sys.exit(ExitCode.NO_STATE)
    fields = msgspec.to_builtins(answer)
    if json_:
        return print_json(fields)
    for key, value in fields.items():
        print_line(f"{key:<10} {value}")
    return None
