"""Options, access to the store and error exits that the commands of ``lapispick rollout`` share."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from lapispick.agent.errors import RolloutStoreError
from lapispick.agent.rollout_store import RolloutStore
from lapispick.cli.config import load_settings
from lapispick.cli.output import ExitCode, print_error
from lapispick.rollout.rollout_state import RolloutState

JSON_OPTION = click.option("--json", "json_", is_flag=True, help="Print JSON.")
NAME_ARGUMENT = click.argument("name", default="")
CONTROLLER_TIMEOUT_S = 10.0  # a controller without a heartbeat for longer counts as ended


def fail(code: int, *messages: str) -> NoReturn:
    """Print error messages and end the program with an exit code."""
    for message in messages:
        print_error(message)
    sys.exit(code)


def open_store(conf_file: Path | None) -> RolloutStore:
    """Open the store that the settings name; ends the program if this fails."""
    settings = load_settings(conf_file).rollout
    if settings.state_folder is None:
        fail(ExitCode.INVALID, "section rollout of the settings: state-folder is missing")
    try:
        return RolloutStore(Path(str(settings.state_folder)))
    except (RolloutStoreError, OSError) as err:
        fail(ExitCode.INVALID, str(err))


def get_rollout(store: RolloutStore, name: str) -> RolloutState:
    """Return a rollout, by default the newest; ends the program if there is none."""
    state = store.get(name)
    if state is None:
        fail(ExitCode.NO_STATE, f"there is no rollout {name}".rstrip())
    return state


def get_open_rollout(store: RolloutStore, name: str) -> RolloutState:
    """Return a rollout, by default the newest; ends the program if there is none or it is over."""
    state = get_rollout(store, name)
    if state.is_over:
        fail(ExitCode.DIFFERENCES, f"rollout {state.name} is over: {state.phase}")
    return state
