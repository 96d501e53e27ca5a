"""``lapispick ops``: call a running worker host at its operators' address."""

from __future__ import annotations

import os
import socket
import sys
import time

import click
import msgspec

from lapispick.cli.output import DIFFERS, FAULTY, NO_STATE, as_json, complain, say
from lapispick.host.addresses import parse_address

TIMEOUT_S = 2.0  # s; an answer is due within 1 s
LOOK_S = 0.05  # s; between two looks of ``wait``
MOST = 64 * 1024  # bytes of an answer


class NoAnswer(Exception):
    """Nobody answered, or what came is no answer."""


def call(at: tuple[str, int], word: str, timeout: float = TIMEOUT_S) -> list[str]:
    """Make one call and return the lines of the answer; raises ``NoAnswer``."""
    until, got = time.monotonic() + timeout, bytearray()
    try:
        with socket.create_connection(at, timeout=timeout) as sock:
            sock.sendall(f"{word}\n".encode())
            while len(got) < MOST:
                sock.settimeout(max(0.001, until - time.monotonic()))
                if not (data := sock.recv(4096)):
                    break
                got += data
    except OSError as err:
        raise NoAnswer(f"{at[0]}:{at[1]}: {err}") from None
    lines = got.decode(errors="replace").splitlines()
    if not lines or not got.endswith(b"\n"):
        raise NoAnswer(f"{at[0]}:{at[1]}: the answer is not whole")
    return lines


def figures(lines: list[str]) -> dict[str, int]:
    """Read the answer to ``vars``; raises ``NoAnswer``."""
    if lines[-1] != "END":
        raise NoAnswer("the figures have no END")
    found = {}
    for line in lines[:-1]:
        name, _, value = line.partition(":")
        number, _, kind = value.partition("|")
        if not number.isdecimal() or kind not in ("c", "g"):
            raise NoAnswer(f"{line!r} is no figure")
        found[name.removeprefix("app.")] = int(number)
    return found


class _Told(msgspec.Struct):
    ops: str = ""


def located(told: str | None) -> tuple[str, int]:
    """Return the address that was named, else that of the environment; ends the program where there is none."""
    text = told or os.environ.get("LB_OPS", "")
    if not text and (path := os.environ.get("LB_CONFIG")):
        try:
            with open(path, "rb") as file:
                text = msgspec.json.decode(file.read(), type=_Told).ops
        except (OSError, msgspec.DecodeError) as err:
            complain(f"{path}: {err}")
            sys.exit(FAULTY)
    try:
        return parse_address(text)
    except ValueError as err:
        complain(f"no operators' address (--at, LB_OPS or ops in LB_CONFIG): {err}")
        sys.exit(FAULTY)


AT = click.option("--at", metavar="IP:PORT", help="The operators' address; by default that of LB_OPS or LB_CONFIG.")


@click.group()
def ops() -> None:
    """Call a running worker host at its operators' address."""


def _simple(word: str, doc: str) -> click.Command:
    @click.command(word, help=doc)
    @AT
    def command(at: str | None) -> None:
        try:
            lines = call(located(at), word)
        except NoAnswer as err:
            complain(str(err))
            sys.exit(NO_STATE)
        for line in lines:
            say(line)
        sys.exit(0 if lines[0].startswith("OK") else DIFFERS)

    return command


for _word, _doc in (
    ("check", "Tell whether the process takes clients."),
    ("drain-on", "Send clients away; what still comes is answered as always."),
    ("drain-off", "End the drain."),
):
    ops.add_command(_simple(_word, _doc))


@ops.command("vars")
@AT
@click.option("--json", "json_", is_flag=True, help="For programs.")
def vars_(at: str | None, json_: bool) -> None:
    """Print the figures."""
    try:
        lines = call(located(at), "vars")
        found = figures(lines)
    except NoAnswer as err:
        complain(str(err))
        sys.exit(NO_STATE)
    if json_:
        return as_json(found)
    width = max(map(len, found))
    for name, value in found.items():
        say(f"{name:<{width}}  {value}")


@ops.command()
@AT
@click.option("--seconds", default=6.0, show_default=True, help="How long to wait at most.")
def wait(at: str | None, seconds: float) -> None:
    """Wait until a process that was started takes clients, as an upgrade does before the old one is told to leave."""
    where, end, last = located(at), time.monotonic() + seconds, "nobody answered"
    began = time.monotonic()
    while time.monotonic() < end:
        try:
            last = call(where, "check")[0]
            if last.startswith("OK"):
                return say(f"yes after {time.monotonic() - began:.2f} s")
        except NoAnswer as err:
            last = str(err)
        time.sleep(LOOK_S)
    complain(f"not within {seconds:g} s: {last}")
    sys.exit(DIFFERS)
