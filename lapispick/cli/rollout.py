"""``lapispick rollout``: rolls out a change in stages; shows, holds, resumes and rolls back a rollout."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from lapispick.agent import generation_store
from lapispick.agent.errors import InvalidGenerationError
from lapispick.agent.rollout_store import RolloutStore
from lapispick.cli import rollout_show
from lapispick.cli.config import CONF_OPTION
from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table
from lapispick.cli.rollout_common import (
    CONTROLLER_TIMEOUT_S,
    JSON_OPTION,
    NAME_ARGUMENT,
    fail,
    get_open_rollout,
    open_store,
)
from lapispick.cli.rollout_planning import Fleet, agent_objections, make_plan, read_candidate, read_fleet
from lapispick.rollout import compat
from lapispick.rollout.rollout_state import Order, RolloutState

FOLDER = click.Path(path_type=Path, exists=True, file_okay=False)
EXISTING_FILE = click.Path(path_type=Path, exists=True)
PROGRAM_OPTION = click.option(
    "--program", type=FOLDER, required=True, help="Folder that contains the package lapispick."
)
SETTINGS_OPTION = click.option("--settings", type=EXISTING_FILE, help="The program's settings file.")
CONFIG_OPTION = click.option(
    "--config", type=EXISTING_FILE, help="JSON file of changes to the platform's configuration."
)
MEMORY_OPTION = click.option(
    "--memory-mb", default=192.0, show_default=True, help="Memory limit of hosts whose agents report none."
)
PREVIEW_NAME = "next"
MAX_SHOWN_HOSTS = 8


@click.group()
def rollout() -> None:
    """Roll out a change of the program or its settings to the fleet in stages."""


for _command in (rollout_show.status, rollout_show.watch, rollout_show.history, rollout_show.explain):
    rollout.add_command(_command)


@rollout.command()
@CONF_OPTION
@JSON_OPTION
@click.option(
    "--name", default=PREVIEW_NAME, show_default=True, help="Name of the rollout; the order of the hosts depends on it."
)
def plan(conf_file: Path | None, json_: bool, name: str) -> None:
    """Show the stages that a rollout of this name would have."""
    fleet = read_fleet(conf_file, name)
    for fault in fleet.faults:
        print_error(fault)
    if json_:
        print_json({"stages": fleet.stages, "remarks": fleet.remarks, "faults": fleet.faults})
    else:
        _show_stages(fleet)
    sys.exit(ExitCode.INVALID if fleet.faults else 0)


def _show_stages(fleet: Fleet) -> None:
    kinds = {worker.name: f"{worker.zone}/{worker.machine}".strip("/") for worker in fleet.workers}
    rows = []
    for number, stage in enumerate(fleet.stages, 1):
        stage_kinds = " ".join(sorted({kinds[name] for name in stage}))
        names = " ".join(stage[:MAX_SHOWN_HOSTS])
        more = " ..." if len(stage) > MAX_SHOWN_HOSTS else ""
        rows.append((number, len(stage), stage_kinds, names + more))
    title = f"{len(fleet.workers)} hosts in {len(fleet.stages)} stages"
    print_table(title, ("stage", "hosts", "of", "names"), rows)
    for remark in fleet.remarks:
        print_line(remark)


@rollout.command()
@CONF_OPTION
@PROGRAM_OPTION
@SETTINGS_OPTION
@CONFIG_OPTION
@click.option("--old", type=FOLDER, help="Folder of the program that runs now.")
@JSON_OPTION
def check(
    conf_file: Path | None, program: Path, settings: Path | None, config: Path | None, old: Path | None, json_: bool
) -> None:
    """List the faults and incompatibilities of a rollout without asking agents. Exits with 2 if there are any."""
    fleet = read_fleet(conf_file, PREVIEW_NAME)
    candidate = read_candidate(program, settings, config)
    faults = [*fleet.faults, *candidate.faults]
    if old is not None:
        try:
            faults += compat.incompatibilities(generation_store.reported_formats(old), candidate.formats)
        except InvalidGenerationError as err:
            faults.append(str(err))
    if json_:
        print_json({"generation": candidate.digest, "faults": faults, "remarks": fleet.remarks})
    else:
        for fault in faults:
            print_error(fault)
        for remark in fleet.remarks:
            print_line(remark)
        if candidate.digest:
            print_line(f"generation {candidate.digest}")
    sys.exit(ExitCode.INVALID if faults else 0)


@rollout.command()
@CONF_OPTION
@PROGRAM_OPTION
@SETTINGS_OPTION
@CONFIG_OPTION
@click.option("--name", default="", help="Name of the rollout; by default r and the next number.")
@MEMORY_OPTION
def start(
    conf_file: Path | None, program: Path, settings: Path | None, config: Path | None, name: str, memory_mb: float
) -> None:
    """Start a rollout and control it until it is over; `resume` continues it if the controller ends earlier."""
    from lapispick.cli.rollout_control import run_controller

    store = open_store(conf_file)
    candidate = read_candidate(program, settings, config)
    name = _new_name(store, name)
    fleet = read_fleet(conf_file, name)
    faults = [*fleet.faults, *candidate.faults, *agent_objections(fleet, candidate)]
    if faults or not fleet.workers:
        fail(ExitCode.INVALID, *(faults or ["the host list contains no worker hosts"]))
    state = RolloutState(name, make_plan(fleet, candidate.digest, memory_mb))
    run_controller(store, state, fleet, memory_mb)


def _new_name(store: RolloutStore, name: str) -> str:
    """Return the name of a new rollout; ends the program if another is not over or has this name."""
    records = store.history()
    name = name or f"r{len(records) + 1}"
    unfinished = next((record.name for record in records if not record.state.is_over), None)
    if unfinished is not None:
        fail(ExitCode.DIFFERENCES, f"rollout {unfinished} is not over: resume it or roll it back")
    if any(record.name == name for record in records):
        fail(ExitCode.DIFFERENCES, f"a rollout named {name} already exists")
    return name


@rollout.command()
@CONF_OPTION
@NAME_ARGUMENT
@MEMORY_OPTION
def resume(conf_file: Path | None, name: str, memory_mb: float) -> None:
    """Take control of a rollout whose controller ended or was fenced."""
    from lapispick.cli.rollout_control import run_controller

    store = open_store(conf_file)
    state = get_open_rollout(store, name)
    run_controller(store, state, read_fleet(conf_file, state.name), memory_mb)


def _order_command(order: Order, help_text: str) -> click.Command:
    @click.command(order.value, help=help_text)
    @CONF_OPTION
    @NAME_ARGUMENT
    def command(conf_file: Path | None, name: str) -> None:
        store = open_store(conf_file)
        state = get_open_rollout(store, name)
        store.add_order(state.name, order.value)
        if time.time() - store.leadership().seen_at > CONTROLLER_TIMEOUT_S:
            print_line(
                f"{state.name}: the order {order} is stored, but no controller runs; run lapispick rollout resume"
            )
        else:
            print_line(f"{state.name}: the order {order} is stored for the controller")

    return command


for _order, _help in (
    (Order.HOLD, "Change no more hosts; changed hosts are still monitored."),
    (Order.RESUME, "Continue a rollout that holds or waits for an operator's decision."),
    (Order.ROLL_BACK, "Roll every host of the rollout back to its previous generation."),
):
    rollout.add_command(_order_command(_order, _help))
