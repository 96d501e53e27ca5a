"""``lapispick members``: the members of the cluster, as a running worker host sees them."""

from __future__ import annotations

import sys
import time
from typing import TypeVar

import click
import msgspec
from rich.live import Live
from rich.table import Table

from lapispick.cli.ops import ADDRESS_OPTION, NoAnswerError, call, resolve_address
from lapispick.cli.output import ExitCode, print_error, print_json, print_line
from lapispick.host.members.reports import ChangesInfo, ViewInfo
from lapispick.members.messages import Fact

WATCH_INTERVAL_S = 1.0
ALIVE = "alive"

Report = TypeVar("Report")


def fetch_json(address: tuple[str, int], request: str) -> bytes:
    """Return the JSON that a host answers; ends the program if there is none."""
    try:
        lines = call(address, request)
    except NoAnswerError as err:
        print_error(str(err))
        sys.exit(ExitCode.NO_STATE)
    if not lines[0].startswith("OK") or len(lines) < 2:
        print_error(lines[0].removeprefix("ERR "))
        sys.exit(ExitCode.DIFFERENCES)
    return lines[1].encode()


def fetch(address: tuple[str, int], request: str, report_type: type[Report]) -> Report:
    """Return the report that a host answers; ends the program if there is none."""
    return msgspec.json.decode(fetch_json(address, request), type=report_type)


@click.group()
def members() -> None:
    """Show the members of the cluster of worker hosts, as one of them sees them."""


def _summary(view: ViewInfo) -> str:
    quorum = "a quorum: leases can be obtained" if view.has_quorum else "no quorum: no lease can be obtained here"
    health = f", unhealthy itself ({view.health_score})" if view.health_score else ""
    replaced = ", replaced by another process" if view.replaced else ""
    return f"{view.name} sees {view.live_count} of {view.size}, {quorum}{health}{replaced}"


def _fact_text(fact: Fact) -> str:
    parts = (fact.kind, fact.subject, fact.text or f"{fact.value:g}")
    return f"{' '.join(filter(None, parts))} ({fact.age_s:.0f} s)"


def _members_table(view: ViewInfo) -> Table:
    table = Table(title=_summary(view))
    for heading in ("member", "state", "process epoch", "incarnation", "address", "facts"):
        table.add_column(heading)
    facts_by_author: dict[str, list[str]] = {}
    for fact in view.facts:
        facts_by_author.setdefault(fact.author, []).append(_fact_text(fact))
    for member in sorted(view.members, key=lambda member: (member.state == ALIVE, member.name)):
        table.add_row(
            member.name,
            member.state,
            str(member.process_epoch),
            str(member.incarnation),
            member.address,
            ", ".join(facts_by_author.get(member.name, ())),
        )
    return table


@members.command()
@ADDRESS_OPTION
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def show(at: str | None, json_: bool) -> None:
    """Show which members are alive, suspect, dead or left. Exits with 1 if the host sees no quorum."""
    from rich.console import Console

    answer = fetch_json(resolve_address(at), "members")
    view = msgspec.json.decode(answer, type=ViewInfo)
    if json_:
        print_json(msgspec.json.decode(answer))
    else:
        Console().print(_members_table(view))
    sys.exit(0 if view.has_quorum else ExitCode.DIFFERENCES)


@members.command()
@ADDRESS_OPTION
@click.option("--seconds", type=float, help="Time to run; by default until interrupted.")
def watch(at: str | None, seconds: float | None) -> None:
    """Show the members and refresh them every second."""
    host = resolve_address(at)
    end = time.monotonic() + (seconds or float("inf"))
    with Live(_members_table(fetch(host, "members", ViewInfo)), refresh_per_second=2) as live:
        while time.monotonic() < end:
            time.sleep(min(WATCH_INTERVAL_S, max(0.0, end - time.monotonic())))
            live.update(_members_table(fetch(host, "members", ViewInfo)))


@members.command()
@ADDRESS_OPTION
@click.argument("name")
@click.option("--json", "json_", is_flag=True, help="Print JSON.")
def why(at: str | None, name: str, json_: bool) -> None:
    """Show the last state changes of a member, each with its reason."""
    answer = fetch_json(resolve_address(at), f"why {name}")
    if json_:
        return print_json(msgspec.json.decode(answer))
    report = msgspec.json.decode(answer, type=ChangesInfo)
    print_line(
        f"{report.name} is {report.state}" + ("" if report.changes else "; no state changes since the host started")
    )
    for change in report.changes:
        print_line(f"  {time.strftime('%H:%M:%S', time.localtime(change.time))}  {change.state:<8} {change.reason}")
    return None
