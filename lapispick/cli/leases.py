"""``lapispick leases``: named leases that a limited number of hosts hold at once."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import time

import click
import msgspec

from lapispick.cli.members import fetch, fetch_json
from lapispick.cli.ops import ADDRESS_OPTION, NoAnswerError, call, resolve_address
from lapispick.cli.output import ExitCode, print_error, print_json, print_line, print_table
from lapispick.host.members.reports import LeaseInfo

RENEW_INTERVAL_S = 0.3  # the host drops requests that are not repeated within its setting ``keep``
STOP_MARGIN_S = 0.5  # before the lease expires, for the command to end after SIGTERM
MIN_CALL_TIMEOUT_S = 0.3
MAX_CALL_TIMEOUT_S = 2.0
FENCING_TOKEN_VARIABLE = "LAPISPICK_FENCE"
MIN_CHILD_WAIT_S = 0.01
SIGNAL_EXIT_STATUS_BASE = 128  # the signal's number is added, as in a shell


# The parameter keeps its name from earlier versions; users pass it by position and see LEASE.
LEASE_ARGUMENT = click.argument("turn", metavar="LEASE")


@click.group()
def leases() -> None:
    """List the named leases of the cluster, hold one while a command runs, or release one."""


def _lease_state(lease: LeaseInfo) -> str:
    if lease.granted_to:
        return f"granted to {lease.granted_to}"
    return f"held, fencing token {lease.fencing_token}" if lease.fencing_token else "waiting"


@leases.command("list")
@ADDRESS_OPTION
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def list_(at: str | None, json_: bool) -> None:
    """List the leases that are requested at a host, and those for which it voted."""
    answer = fetch_json(resolve_address(at), "turns")
    if json_:
        return print_json(msgspec.json.decode(answer))
    rows = [
        [lease.slot, lease.owner, _lease_state(lease), f"{lease.remaining_s:.1f} s", " ".join(lease.waiting)]
        for lease in msgspec.json.decode(answer, type=list[LeaseInfo])
    ]
    return print_table("leases", ["slot", "owner", "state", "expires in", "waiting"], rows)


@leases.command()
@ADDRESS_OPTION
@LEASE_ARGUMENT
def show(at: str | None, turn: str) -> None:
    """Show the holders of a lease that one host knows from its votes. Exits with 1 if it knows none."""
    held_leases = [
        lease
        for lease in fetch(resolve_address(at), "turns", list[LeaseInfo])
        if lease.slot.split("/")[0] == turn and (lease.granted_to or lease.fencing_token)
    ]
    for lease in held_leases:
        holder = lease.granted_to or f"this host, for {lease.owner}"
        print_line(f"{lease.slot}: {holder}, fencing token {lease.fencing_token}, expires in {lease.remaining_s:.1f} s")
    if not held_leases:
        print_line(f"{turn}: this host knows no holder from its votes")
        sys.exit(ExitCode.DIFFERENCES)


@leases.command()
@ADDRESS_OPTION
@LEASE_ARGUMENT
@click.argument("owner")
def release(at: str | None, turn: str, owner: str) -> None:
    """Release a lease that an owner at a host holds or waits for; its fencing token is outdated afterwards."""
    try:
        lines = call(resolve_address(at), f"done {turn} {owner}")
    except NoAnswerError as err:
        print_error(str(err))
        sys.exit(ExitCode.NO_STATE)
    print_line(lines[0])
    sys.exit(0 if lines[0].startswith("OK") else ExitCode.DIFFERENCES)


@leases.command(context_settings={"ignore_unknown_options": True})
@ADDRESS_OPTION
@click.option("--wait", default=600.0, show_default=True, help="Maximum time to wait for the lease, in seconds.")
@click.option(
    "--priority", default=0, show_default=True, help="0 to 99, higher first; it increases with the waiting time."
)
@LEASE_ARGUMENT
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def hold(at: str | None, wait: float, priority: int, turn: str, command: tuple[str, ...]) -> None:
    """Run a command while the host holds a lease, as in: lapispick leases hold compact -- vacuum-everything.

    The command gets its fencing token in LAPISPICK_FENCE. If the lease is lost while the command runs (the host was
    paused, or disconnected from the majority), the command is stopped before another host can obtain the lease. Exits
    with the command's own status, or with 1 if the lease was not obtained in time or was lost.
    """
    sys.exit(_LeaseHolder(resolve_address(at), turn, priority, command).run(wait))


class _LeaseHolder:
    """Holds a lease by repeated requests to the host while a command runs."""

    def __init__(self, host: tuple[str, int], lease: str, priority: int, command: tuple[str, ...]) -> None:
        self._host = host
        self._lease = lease
        self._owner = f"hold-{os.getpid()}"
        self._priority = priority
        self._command = command
        self._child: subprocess.Popen[bytes] | None = None
        self._expires_at = 0.0
        self._last_failure = ""

    def run(self, wait_s: float) -> int:
        """Return the exit status of the command, or of this program."""
        try:
            return self._run(time.monotonic() + wait_s, wait_s)
        except FileNotFoundError as err:
            print_error(str(err))
            return ExitCode.INVALID
        finally:
            if self._child is not None and self._child.poll() is None:
                _stop(self._child, self._expires_at)
            # Without an answer the lease is released too: the host drops a request that is not repeated.
            with contextlib.suppress(NoAnswerError):
                call(self._host, f"done {self._lease} {self._owner}")

    def _run(self, deadline: float, wait_s: float) -> int:
        while True:
            if (error := self._renew()) is not None:
                print_error(error)
                return ExitCode.INVALID
            if self._child is None:
                if time.monotonic() >= deadline:
                    reason = f": {self._last_failure}" if self._last_failure else ""
                    print_error(f"{self._lease} was not obtained within {wait_s:g} s{reason}")
                    return ExitCode.DIFFERENCES
                time.sleep(RENEW_INTERVAL_S)
                continue
            stop_at = self._expires_at - STOP_MARGIN_S
            if _ends_within(self._child, min(RENEW_INTERVAL_S, max(0.0, stop_at - time.monotonic()))):
                status = self._child.returncode
                return status if status >= 0 else SIGNAL_EXIT_STATUS_BASE - status
            if time.monotonic() >= stop_at:
                _stop(self._child, self._expires_at)
                print_error(f"{self._lease} was lost while the command ran; the command was stopped")
                return ExitCode.DIFFERENCES

    def _renew(self) -> str | None:
        """Request the lease once, and start the command if the lease is obtained; return the error of a bad request."""
        requested_at = time.monotonic()
        try:
            line = call(self._host, f"want {self._lease} {self._owner} {self._priority}", self._timeout(requested_at))[
                0
            ]
        except NoAnswerError as err:
            self._last_failure = str(err)
            return None
        status, *fields = line.split()
        if status == "ERR":
            return " ".join(fields)
        if status == "OK" and fields[:1] == ["held"]:
            _, _, token, remaining_s = fields
            self._expires_at = requested_at + float(
                remaining_s
            )  # counted from the request, so not later than at the host
            if self._child is None:
                self._child = subprocess.Popen(self._command, env={**os.environ, FENCING_TOKEN_VARIABLE: token})
        elif status == "OK" and self._child is not None:
            self._expires_at = min(self._expires_at, time.monotonic())
        return None

    def _timeout(self, now: float) -> float:
        if self._child is None:
            return MAX_CALL_TIMEOUT_S
        return min(MAX_CALL_TIMEOUT_S, max(MIN_CALL_TIMEOUT_S, self._expires_at - now))


def _ends_within(child: subprocess.Popen[bytes], seconds: float) -> bool:
    try:
        child.wait(max(MIN_CHILD_WAIT_S, seconds))
    except subprocess.TimeoutExpired:
        return False
    return True


def _stop(child: subprocess.Popen[bytes], expires_at: float) -> None:
    """Stop a command with SIGTERM, and with SIGKILL if it still runs when the lease expires."""
    child.terminate()
    if not _ends_within(child, expires_at - time.monotonic()):
        child.kill()
        child.wait()
