"""The command ``lapispick`` and its sub-commands."""

from __future__ import annotations

import importlib
import select
import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any

import click

from lapispick.agent.errors import AgentError

# Each command is defined in the module of the same name in this package.
COMMANDS = ("agent", "config", "demo", "inventory", "leases", "members", "model", "ops", "rollout", "shares", "trace")
HIDDEN_ALIASES = {"turns": "leases"}  # former name -> current name


def _version() -> str:
    try:
        return version("lapispick")
    except PackageNotFoundError:  # run from a checkout that is not installed
        return "not installed"


class _LazyGroup(click.Group):
    """Group that imports only the selected command, and reports connections that a peer closed.

    The agent of every host is a process of this command line, so modules that only other commands need must not
    take up its memory.

    On a broken pipe click exits without a message, because it assumes that the reader of standard output closed the
    pipe. If standard output is intact, a peer closed its connection, and this is reported as an error.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), *COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command with this name or former name; imports its module."""
        name = HIDDEN_ALIASES.get(name, name)
        if name in COMMANDS:
            command: click.Command = getattr(importlib.import_module(f"lapispick.cli.{name}"), name)
            return command
        return super().get_command(ctx, name)

    def invoke(self, ctx: click.Context) -> Any:
        """Run the selected command.

        Reports errors of a rollout's files, and an ``OSError`` unless the reader of standard output closed the pipe.
        """
        try:
            return super().invoke(ctx)
        except AgentError as err:
            raise click.ClickException(f"{ctx.invoked_subcommand}: {err}") from err
        except OSError as err:
            if not isinstance(err, BrokenPipeError) or not _output_is_broken():
                raise click.ClickException(f"{ctx.invoked_subcommand}: {err}") from err
            raise


def _output_is_broken() -> bool:
    """Return True if the reader of standard output closed the pipe.

    A flush would not detect this if standard output is unbuffered.
    """
    poller = select.poll()
    try:
        poller.register(sys.stdout.fileno(), 0)
    except (OSError, ValueError):  # standard output has no descriptor
        return False
    return bool(poller.poll(0))


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(_version(), prog_name="lapispick")
def cli() -> None:
    """Operators' commands of lapispick, the overload control for worker hosts.

    Start a worker host itself with `python -m lapispick.host`. Exit codes: 0 success, 1 differences or faults
    were found, 2 the arguments or the settings are invalid, 3 there is no state to read or no answer.
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
