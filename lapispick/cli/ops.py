"""``lapispick ops``: call a running worker host at its operators' address."""

from __future__ import annotations

import os
import socket
import sys
import time

import click
import msgspec

from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.host.addresses import parse_address

CALL_TIMEOUT_S = 2.0  # an answer is due within 1 s
POLL_INTERVAL_S = 0.05  # of ``wait``
MAX_ANSWER_BYTES = 64 * 1024
RECEIVE_BYTES = 4096
MIN_SOCKET_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
METRIC_KINDS = ("c", "g")
METRIC_PREFIX = "app."
OK = "OK"


class NoAnswerError(Exception):
    """Nobody answered at the operators' address, or the answer is invalid."""


def call(at: tuple[str, int], line: str, timeout: float = CALL_TIMEOUT_S) -> list[str]:
    """Make one call and return the lines of the answer; raises ``NoAnswerError``."""
    try:
        answer = _exchange(at, line, time.monotonic() + timeout, timeout)
    except OSError as err:
        raise NoAnswerError(f"{at[0]}:{at[1]}: {err}") from None
    lines = answer.decode(errors="replace").splitlines()
    if not lines or not answer.endswith(b"\n"):
        raise NoAnswerError(f"{at[0]}:{at[1]}: the answer is not whole")
    return lines


def _exchange(at: tuple[str, int], line: str, deadline: float, timeout: float) -> bytearray:
    """Send a line and read until the other side closes, the answer is too long or the deadline has passed."""
    answer = bytearray()
    with socket.create_connection(at, timeout=timeout) as sock:
        sock.sendall(f"{line}\n".encode())
        while len(answer) < MAX_ANSWER_BYTES:
            sock.settimeout(max(MIN_SOCKET_TIMEOUT_S, deadline - time.monotonic()))
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                break
            answer += data
    return answer


def parse_metrics(lines: list[str]) -> dict[str, int]:
    """Read the answer to ``vars``; raises ``NoAnswerError``."""
    if lines[-1] != "END":
        raise NoAnswerError("the figures have no END")
    metrics = {}
    for line in lines[:-1]:
        name, _, value = line.partition(":")
        number, _, kind = value.partition("|")
        if not number.isdecimal() or kind not in METRIC_KINDS:
            raise NoAnswerError(f"{line!r} is no figure")
        metrics[name.removeprefix(METRIC_PREFIX)] = int(number)
    return metrics


class _StartSettings(msgspec.Struct):
    """The part of the start settings that is read here."""

    ops: str = ""


def resolve_address(option: str | None) -> tuple[str, int]:
    """Return the address that was named, else that of the environment; ends the program where there is none."""
    text = option or os.environ.get("LB_OPS", "")
    path = os.environ.get("LB_CONFIG")
    if not text and path:
        try:
            with open(path, "rb") as file:
                text = msgspec.json.decode(file.read(), type=_StartSettings).ops
        except (OSError, msgspec.DecodeError) as err:
            print_error(f"{path}: {err}")
            sys.exit(ExitCode.INVALID)
    try:
        return parse_address(text)
    except ValueError as err:
        print_error(f"no operators' address (--at, LB_OPS or ops in LB_CONFIG): {err}")
        sys.exit(ExitCode.INVALID)


ADDRESS_OPTION = click.option(
    "--at", metavar="IP:PORT", help="The operators' address; by default that of LB_OPS or LB_CONFIG."
)


@click.group()
def ops() -> None:
    """Call a running worker host at its operators' address."""


def _plain_command(name: str, help_text: str) -> click.Command:
    """Return a command that makes the call of its name and prints the answer."""

    @click.command(name, help=help_text)
    @ADDRESS_OPTION
    def command(at: str | None) -> None:
        try:
            lines = call(resolve_address(at), name)
        except NoAnswerError as err:
            print_error(str(err))
            sys.exit(ExitCode.NO_STATE)
        for line in lines:
            print_line(line)
        sys.exit(0 if lines[0].startswith(OK) else ExitCode.DIFFERENCES)

    return command


PLAIN_COMMANDS = {
    "check": "Tell whether the process takes clients.",
    "drain-on": "Send clients away; what still comes is answered as always.",
    "drain-off": "End the drain.",
}
for _name, _help_text in PLAIN_COMMANDS.items():
    ops.add_command(_plain_command(_name, _help_text))


@ops.command("vars")
@ADDRESS_OPTION
@click.option("--json", "json_", is_flag=True, help="For programs.")
def print_metrics(at: str | None, json_: bool) -> None:
    """Print the metrics."""
    try:
        metrics = parse_metrics(call(resolve_address(at), "vars"))
    except NoAnswerError as err:
        print_error(str(err))
        sys.exit(ExitCode.NO_STATE)
    if json_:
        print_json(metrics)
        return
    width = max(map(len, metrics))
    for name, value in metrics.items():
        print_line(f"{name:<{width}}  {value}")


@ops.command()
@ADDRESS_OPTION
@click.option("--seconds", default=6.0, show_default=True, help="How long to wait at most.")
def wait(at: str | None, seconds: float) -> None:
    """Wait until a started process accepts clients, as an upgrade must before SIGTERM is sent to the old one."""
    host_address = resolve_address(at)
    started_at = time.monotonic()
    last_answer = "nobody answered"
    while time.monotonic() < started_at + seconds:
        try:
            last_answer = call(host_address, "check")[0]
        except NoAnswerError as err:
            last_answer = str(err)
        else:
            if last_answer.startswith(OK):
                print_line(f"yes after {time.monotonic() - started_at:.2f} s")
                return
        time.sleep(POLL_INTERVAL_S)
    print_error(f"not within {seconds:g} s: {last_answer}")
    sys.exit(ExitCode.DIFFERENCES)
