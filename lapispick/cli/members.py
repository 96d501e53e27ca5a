"""``lapispick members``: who is alive, as a running worker host sees it."""

from __future__ import annotations

import sys
import time
from typing import Any

import click
import msgspec
from rich.live import Live
from rich.table import Table

from lapispick.cli.ops import AT, NoAnswer, call, located
from lapispick.cli.output import DIFFERS, NO_STATE, as_json, complain, say

LOOK_S = 1.0  # s; between two looks of ``watch``


def asked(at: tuple[str, int], word: str) -> Any:
    """Return what a host answers to a call, as it was written; ends the program where there is no answer."""
    try:
        lines = call(at, word)
    except NoAnswer as err:
        complain(str(err))
        sys.exit(NO_STATE)
    if not lines[0].startswith("OK") or len(lines) < 2:
        complain(lines[0].removeprefix("ERR "))
        sys.exit(DIFFERS)
    return msgspec.json.decode(lines[1])


@click.group()
def members() -> None:
    """Look at the worker hosts that talk to each other, as one of them sees them."""


def _summary(told: dict[str, Any]) -> str:
    claims = "a majority: turns can be claimed" if told["majority"] else "no majority: nobody here gets a turn"
    health = "" if not told["health"] else f", not well itself ({told['health']})"
    gone = ", replaced by another process" if told["replaced"] else ""
    return f"{told['name']} sees {told['seen']} of {told['size']}, {claims}{health}{gone}"


def _table(told: dict[str, Any]) -> Table:
    made = Table(title=_summary(told))
    for head in ("member", "state", "life", "incarnation", "at", "says"):
        made.add_column(head)
    says: dict[str, list[str]] = {}
    for author, _, _, kind, subject, value, _, age, _, text in told["facts"]:
        what = " ".join(filter(None, (kind, subject, text or f"{value:g}")))
        says.setdefault(author, []).append(f"{what} ({age:.0f} s)")
    for each in sorted(told["members"], key=lambda m: (m["state"] == "alive", m["name"])):
        made.add_row(
            each["name"],
            each["state"],
            str(each["life"]),
            str(each["incarnation"]),
            each["at"],
            ", ".join(says.get(each["name"], ())),
        )
    return made


@members.command()
@AT
@click.option("--json", "json_", is_flag=True, help="For programs.")
def show(at: str | None, json_: bool) -> None:
    """Show who is alive, suspect, dead or left. Ends with 1 where it sees no majority of the list."""
    from rich.console import Console

    told = asked(located(at), "members")
    if json_:
        as_json(told)
    else:
        Console().print(_table(told))
    sys.exit(0 if told["majority"] else DIFFERS)


@members.command()
@AT
@click.option("--seconds", type=float, help="How long; by default until it is ended.")
def watch(at: str | None, seconds: float | None) -> None:
    """Show the members live."""
    where, end = located(at), time.monotonic() + (seconds or float("inf"))
    with Live(_table(asked(where, "members")), refresh_per_second=2) as live:
        while time.monotonic() < end:
            time.sleep(min(LOOK_S, max(0.0, end - time.monotonic())))
            live.update(_table(asked(where, "members")))


@members.command()
@AT
@click.argument("name")
@click.option("--json", "json_", is_flag=True, help="For programs.")
def why(at: str | None, name: str, json_: bool) -> None:
    """Say why a member counts as it does: its last changes of state, each with its cause."""
    told = asked(located(at), f"why {name}")
    if json_:
        return as_json(told)
    say(f"{told['name']} is {told['state']}" + ("" if told["changes"] else "; nothing has changed since the start"))
    for when, state, cause in told["changes"]:
        say(f"  {time.strftime('%H:%M:%S', time.localtime(when))}  {state:<8} {cause}")
