"""``lapispick config``: checks and shows the settings file and the platform's configuration."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec

from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.conf import settings as conf
from lapispick.file_errors import InvalidFileError

FILE = click.option(
    "--conf",
    "file",
    type=click.Path(path_type=Path),
    help="The settings file; by default LAPISPICK_CONF or deploy/lapispick.conf.",
)


def load(file: Path | None) -> conf.Settings:
    """Return the settings, or end with the faults of them."""
    try:
        return conf.parse(file) if file is not None else conf.load()
    except InvalidFileError as err:
        for fault in err.faults:
            print_error(str(fault))
        sys.exit(ExitCode.INVALID)


@click.group()
def config() -> None:
    """Check and show the settings."""


@config.command()
@FILE
@click.option("--json", "json_", is_flag=True, help="For programs.")
def check(file: Path | None, json_: bool) -> None:
    """List every fault of the settings file and of LB_CONFIG, if it is set."""
    faults: list[str] = []
    try:
        conf.parse(file) if file is not None else conf.load()
    except InvalidFileError as err:
        faults += [str(f) for f in err.faults]
    if os.environ.get("LB_CONFIG"):
        from lapispick.host import config as platform

        try:
            platform.load()
        except platform.ConfigError as err:
            faults.append(f"{os.environ['LB_CONFIG']}: {err}")
    if json_:
        print_json({"faults": faults})
    else:
        for fault in faults:
            print_error(fault)
        print_line(f"{len(faults)} faults" if faults else f"{file or conf.settings_path()} is in order")
    sys.exit(ExitCode.INVALID if faults else 0)


@config.command()
@FILE
@click.option("--json", "json_", is_flag=True, help="For programs.")
def show(file: Path | None, json_: bool) -> None:
    """Show all settings as they are in force, with defaults; the output reads back as a settings file."""
    settings = load(file)
    if json_:
        print_json(msgspec.to_builtins(settings, enc_hook=str))
    else:
        for line in conf.format_settings(settings):
            print_line(line)
