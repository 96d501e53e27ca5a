"""``lapispick turns``: named turns that at most so many boxes have at once."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import time

import click

from lapispick.cli.members import asked
from lapispick.cli.ops import AT, NoAnswer, call, located
from lapispick.cli.output import DIFFERS, FAULTY, NO_STATE, as_json, complain, say, table

LOOK_S = 0.3  # s; between two words for a turn; the host drops who is silent for longer than ``keep``
STOP_S = 0.5  # s; of the lease that are left for a command to end after SIGTERM
FENCE = "LAPISPICK_FENCE"  # the environment's name of the number that what is guarded checks


@click.group()
def leases() -> None:
    """Named turns over the fleet: see them, take one for a command, give one back."""


@leases.command("list")
@AT
@click.option("--json", "json_", is_flag=True, help="For programs.")
def list_(at: str | None, json_: bool) -> None:
    """List the turns that are wanted here, and those that this box's vote is given to."""
    told = asked(located(at), "turns")
    if json_:
        return as_json(told)
    rows = []
    for each in told:
        what = (
            f"granted to {each['granted_to']}"
            if each["granted_to"]
            else (f"held, fence {each['fence']}" if each["fence"] else "waits")
        )
        rows.append([each["slot"], each["owner"], what, f"{each['left']:.1f} s", " ".join(each["waiting"])])
    return table("turns", ["slot", "owner", "what", "lease left", "waiting"], rows)


@leases.command()
@AT
@click.argument("turn")
def show(at: str | None, turn: str) -> None:
    """Say who has a turn, as far as this box's vote tells. Ends with 1 where nobody has."""
    found = [
        each
        for each in asked(located(at), "turns")
        if each["slot"].split("/")[0] == turn and (each["granted_to"] or each["fence"])
    ]
    for each in found:
        say(
            f"{each['slot']}: {each['granted_to'] or 'this box, for ' + each['owner']}, fence {each['fence']}, "
            f"{each['left']:.1f} s left"
        )
    if not found:
        say(f"nobody has {turn}, as far as this box's vote tells")
        sys.exit(DIFFERS)


@leases.command()
@AT
@click.argument("turn")
@click.argument("owner")
def release(at: str | None, turn: str, owner: str) -> None:
    """Give a turn back that an owner at this box has or waits for; what it does meanwhile bears an old fence."""
    try:
        lines = call(located(at), f"done {turn} {owner}")
    except NoAnswer as err:
        complain(str(err))
        sys.exit(NO_STATE)
    say(lines[0])
    sys.exit(0 if lines[0].startswith("OK") else DIFFERS)


@leases.command(context_settings={"ignore_unknown_options": True})
@AT
@click.option("--wait", default=600.0, show_default=True, help="Seconds to wait for the turn at most.")
@click.option("--priority", default=0, show_default=True, help="0 to 99; waiting makes up for it with time.")
@click.argument("turn")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def hold(at: str | None, wait: float, priority: int, turn: str, command: tuple[str, ...]) -> None:
    """Run a command while this box has a turn, as in: lapispick turns hold compact -- vacuum-everything.

    The command finds its fencing number in LAPISPICK_FENCE. Where the lease is lost on the way (the box was stopped,
    or cut off from the majority), the command is ended before somebody else can have the turn. Ends with the
    command's own status; with 1 where the turn did not come in time or was lost.
    """
    where, owner = located(at), f"hold-{os.getpid()}"
    said = f"want {turn} {owner} {priority}"
    child: subprocess.Popen[bytes] | None = None
    end, over, missed = time.monotonic() + wait, 0.0, ""
    try:
        while True:
            asked_at = time.monotonic()
            try:
                words = call(where, said, min(2.0, max(0.3, over - asked_at)) if child else 2.0)[0].split()
            except NoAnswer as err:
                words, missed = ["NONE"], str(err)
            if words[0] == "ERR":
                complain(" ".join(words[1:]))
                sys.exit(FAULTY)
            if words[:2] == ["OK", "held"]:
                over = asked_at + float(words[4])  # counted from before the call: never later than the host's own
                if child is None:
                    child = subprocess.Popen(command, env={**os.environ, FENCE: words[3]})
            elif words[0] == "OK" and child is not None:
                over = min(over, time.monotonic())
            if child is None and time.monotonic() >= end:
                complain(f"{turn} did not come within {wait:g} s" + (f": {missed}" if missed else ""))
                sys.exit(DIFFERS)
            if child is not None and _ended(child, min(LOOK_S, max(0.0, over - STOP_S - time.monotonic()))):
                sys.exit(child.returncode if child.returncode >= 0 else 128 - child.returncode)
            if child is not None and time.monotonic() >= over - STOP_S:
                _stop(child, over)
                complain(f"{turn} was lost while the command ran; it was ended")
                sys.exit(DIFFERS)
            if child is None:
                time.sleep(LOOK_S)
    except FileNotFoundError as err:
        complain(str(err))
        sys.exit(FAULTY)
    finally:
        if child is not None and child.poll() is None:
            _stop(child, over)
        with contextlib.suppress(NoAnswer):  # the host drops who is silent
            call(where, f"done {turn} {owner}")


def _ended(child: subprocess.Popen[bytes], within: float) -> bool:
    try:
        child.wait(max(0.01, within))
    except subprocess.TimeoutExpired:
        return False
    return True


def _stop(child: subprocess.Popen[bytes], over: float) -> None:
    """End a command, plainly where there is time for that."""
    child.terminate()
    if not _ended(child, over - time.monotonic()):
        child.kill()
        child.wait()
