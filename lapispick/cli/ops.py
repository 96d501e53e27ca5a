"""``lapispick ops``: calls a running worker host at its operators' address."""

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
POLL_INTERVAL_S = 0.05  # between two calls of ``wait``
MAX_ANSWER_BYTES = 64 * 1024
RECEIVE_BYTES = 4096
MIN_SOCKET_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
METRIC_KINDS = ("c", "g")
METRIC_PREFIX = "app."
OK = "OK"


class NoAnswerError(Exception):
    """There was no answer from the operators' address, or an invalid one."""


def call(address: tuple[str, int], line: str, timeout: float = CALL_TIMEOUT_S) -> list[str]:
    """Make one call and return the lines of the answer; raises ``NoAnswerError``."""
    try:
        answer = _exchange(address, line, time.monotonic() + timeout, timeout)
    except OSError as err:
        raise NoAnswerError(f"{address[0]}:{address[1]}: {err}") from None
    lines = answer.decode(errors="replace").splitlines()
    if not lines or not answer.endswith(b"\n"):
        raise NoAnswerError(f"{address[0]}:{address[1]}: the answer is incomplete")
    return lines


def _exchange(address: tuple[str, int], line: str, deadline: float, timeout: float) -> bytearray:
    """Send a line and read until the peer closes, the answer reaches its maximum size or the deadline has passed."""
    answer = bytearray()
    with socket.create_connection(address, timeout=timeout) as sock:
        sock.sendall(f"{line}\n".encode())
        while len(answer) < MAX_ANSWER_BYTES:
            sock.settimeout(max(MIN_SOCKET_TIMEOUT_S, deadline - time.monotonic()))
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                break
            answer += data
    return answer


def parse_metrics(lines: list[str]) -> dict[str, int]:
    """Parse the answer to ``vars``; raises ``NoAnswerError``."""
    if lines[-1] != "END":
        raise NoAnswerError(f"metrics: expected END as the last line, got {lines[-1]!r}")
    metrics = {}
    for line in lines[:-1]:
        name, _, value = line.partition(":")
        number, _, kind = value.partition("|")
        if not number.isdecimal() or kind not in METRIC_KINDS:
            raise NoAnswerError(f"metrics: expected NAME:NUMBER|KIND with the kind c or g, got {line!r}")
        metrics[name.removeprefix(METRIC_PREFIX)] = int(number)
    return metrics


class _PlatformConfig(msgspec.Struct):
    """The one field that is read of the platform's configuration."""

    ops: str = ""


def resolve_address(option: str | None) -> tuple[str, int]:
    """Return the address from the option or else the environment; ends the program if there is no valid one."""
    text = option or os.environ.get("LB_OPS", "")
    path = os.environ.get("LB_CONFIG")
    if not text and path:
        try:
            with open(path, "rb") as file:
                text = msgspec.json.decode(file.read(), type=_PlatformConfig).ops
        except (OSError, msgspec.DecodeError) as err:
            print_error(f"{path}: {err}")
            sys.exit(ExitCode.INVALID)
    try:
        return parse_address(text)
    except ValueError as err:
        print_error(f"expected the operators' address in --at, in LB_OPS or in ops of the file LB_CONFIG: {err}")
        sys.exit(ExitCode.INVALID)


ADDRESS_OPTION = click.option(
    "--at", metavar="IP:PORT", help="The operators' address; defaults to LB_OPS, then to ops in the file LB_CONFIG."
)


@click.group()
def ops() -> None:
    """Call a running worker host at its operators' address."""


def _plain_command(name: str, help_text: str) -> click.Command:
    """Return a command that sends its name to the host and prints the answer."""

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
    "check": "Show whether the process accepts clients.",
    "drain-on": "Start to drain: clients are asked to leave, and requests that still arrive are answered as usual.",
    "drain-off": "Stop draining.",
}
for _name, _help_text in PLAIN_COMMANDS.items():
    ops.add_command(_plain_command(_name, _help_text))


@ops.command("vars")
@ADDRESS_OPTION
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
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
@click.option("--seconds", default=6.0, show_default=True, help="Maximum time to wait.")
def wait(at: str | None, seconds: float) -> None:
    """Wait until a new process accepts clients; an upgrade must do this before it sends SIGTERM to the old process."""
    host_address = resolve_address(at)
    started_at = time.monotonic()
    last_answer = "no answer"
    while time.monotonic() < started_at + seconds:
        try:
            last_answer = call(host_address, "check")[0]
        except NoAnswerError as err:
            last_answer = str(err)
        else:
            if last_answer.startswith(OK):
                print_line(f"accepts clients after {time.monotonic() - started_at:.2f} s")
                return
        time.sleep(POLL_INTERVAL_S)
    print_error(f"does not accept clients after {seconds:g} s: {last_answer}")
    sys.exit(ExitCode.DIFFERENCES)
