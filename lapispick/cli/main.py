"""The command ``lapispick`` and its sub-commands."""

from __future__ import annotations

import importlib
import select
import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import click

# Each is defined in the module of its name in this package.
COMMANDS = ("agent", "config", "demo", "inventory", "leases", "members", "model", "ops", "rollout", "shares", "trace")
HIDDEN_ALIASES = {"turns": "leases"}  # an earlier name -> the command


def _version() -> str:
    try:
        return version("lapispick")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "not installed"


class _LazyGroup(click.Group):
    """A group that imports only the command that is run, and reports broken pipes of peers.

    An agent is a process of this command line on every host: what other commands import must not stay in its memory.

    At a broken pipe click ends without a message, as if the reader of the output had left. Where the output is not
    broken, a peer closed its connection, which is reported as an error.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name all commands."""
        return sorted([*super().list_commands(ctx), *COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return a command."""
        name = HIDDEN_ALIASES.get(name, name)
        if name in COMMANDS:
            command: click.Command = getattr(importlib.import_module(f"lapispick.cli.{name}"), name)
            return command
        return super().get_command(ctx, name)

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command that was named."""
        try:
            return super().invoke(ctx)
        except OSError as err:
            if not isinstance(err, BrokenPipeError) or not _output_is_broken():
                raise click.ClickException(f"{ctx.invoked_subcommand}: {err}") from err
            raise


def _output_is_broken() -> bool:
    """Tell whether the reader of standard output has left; a flush would not show it where output is unbuffered."""
    poll = select.poll()
    try:
        poll.register(sys.stdout.fileno(), 0)
    except (OSError, ValueError):  # standard output has no descriptor
        return False
    return bool(poll.poll(0))


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(_version(), prog_name="lapispick")
def cli() -> None:
    """Overload control for worker hosts: the operators' commands.

    A worker host itself is started by `python -m lapispick.host`. Exit codes: 0 success, 1 differences or
    faults were found, 2 the call or the settings are invalid, 3 there is no state to read or no answer.
    """


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell, as in: eval "$(lapispick completion bash)"."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, "lapispick", "_LAPISPICK_COMPLETE").source())


def main() -> None:
    """Run the command line."""
    cli(prog_name="lapispick")
