"""``lapispick config``: checks the settings file and the platform's configuration, and shows the settings."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec

from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.conf import settings as conf
from lapispick.file_errors import InvalidFileError

CONF_OPTION = click.option(
    "--conf",
    "conf_file",
    type=click.Path(path_type=Path),
    help="The settings file; defaults to LAPISPICK_CONF, then to deploy/lapispick.conf.",
)


def load_settings(conf_file: Path | None) -> conf.Settings:
    """Return the settings; prints the faults and ends the program if the file is invalid."""
    try:
        return conf.parse(conf_file) if conf_file is not None else conf.load()
    except InvalidFileError as err:
        for fault in err.faults:
            print_error(str(fault))
        sys.exit(ExitCode.INVALID)


@click.group()
def config() -> None:
    """Check and show the settings."""


@config.command()
@CONF_OPTION
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def check(conf_file: Path | None, json_: bool) -> None:
    """List every fault of the settings file, and of the file that LB_CONFIG names, if it is set."""
    faults: list[str] = []
    try:
        conf.parse(conf_file) if conf_file is not None else conf.load()
    except InvalidFileError as err:
        faults += [str(fault) for fault in err.faults]
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
        print_line(f"{len(faults)} faults" if faults else f"{conf_file or conf.settings_path()} is valid")
    sys.exit(ExitCode.INVALID if faults else 0)


@config.command()
@CONF_OPTION
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def show(conf_file: Path | None, json_: bool) -> None:
    """Show all settings in effect, including defaults, in the format of the settings file."""
    settings = load_settings(conf_file)
    if json_:
        print_json(msgspec.to_builtins(settings, enc_hook=str))
    else:
        for line in conf.format_settings(settings):
            print_line(line)
