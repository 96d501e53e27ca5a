"""Shows rollouts: ``lapispick rollout status``, ``watch``, ``history`` and ``explain``."""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.live import Live
from rich.table import Table

from lapispick.agent.rollout_records import MetricExplanation, RolloutRecord
from lapispick.agent.rollout_store import RolloutStore
from lapispick.cli.config import CONF_OPTION
from lapispick.cli.output import ExitCode, print_json, print_line, print_table
from lapispick.cli.rollout_common import (
    CONTROLLER_TIMEOUT_S,
    JSON_OPTION,
    NAME_ARGUMENT,
    fail,
    get_rollout,
    open_store,
)
from lapispick.rollout.rollout_state import Phase, RolloutState

WATCH_INTERVAL_S = 0.25
WATCH_FRAMES_PER_S = 4
_NO_GENERATION = "nobody"  # stands for the generation of a host that serves none
_UNKNOWN_BOUND = "unknown"


def _summary(store: RolloutStore, state: RolloutState) -> dict[str, Any]:
    """Return the fields that ``status`` shows, by the keys of its JSON output."""
    leadership = store.leadership()
    fleet = store.fleet_summary(state.name)
    hosts = fleet.hosts if fleet is not None else {}
    return {
        "rollout": state.name,
        "generation": state.plan.generation,
        "phase": state.phase.value,
        "reason": state.reason,
        "stage": state.stage + 1,
        "stages": len(state.plan.stages),
        "since": state.phase_since,
        "steered_by": f"{leadership.epoch}.{leadership.controller}",
        "seen_s_ago": round(time.time() - leadership.seen_at, 1),
        "serving": dict(Counter(host.serving or _NO_GENERATION for host in hosts.values())),
        "changing": state.stage_hosts,
        "controls": state.controls,
        "over": len(state.confirmed_hosts),
        "later": state.deferred_hosts,
        "deviations": fleet.deviations if fleet is not None else [],
        "boxes": {name: list(host) for name, host in hosts.items()},
    }


@click.command()
@CONF_OPTION
@NAME_ARGUMENT
@JSON_OPTION
def status(conf_file: Path | None, name: str, json_: bool) -> None:
    """Show the state of a rollout, by default the newest.

    Exits with 1 if the rollout was rolled back or waits for an operator's decision.
    """
    store = open_store(conf_file)
    state = get_rollout(store, name)
    summary = _summary(store, state)
    if json_:
        print_json(summary)
    else:
        for key, value in summary.items():
            if key != "boxes":
                print_line(f"{key:<11} {value}")
        if summary["seen_s_ago"] > CONTROLLER_TIMEOUT_S and not state.is_over:
            print_line("no controller runs; run lapispick rollout resume")
    sys.exit(ExitCode.DIFFERENCES if state.phase in (Phase.ROLLED_BACK, Phase.AWAITING_DECISION) else 0)


@click.command()
@CONF_OPTION
@NAME_ARGUMENT
@click.option("--seconds", type=float, default=0.0, help="Time to run; 0: until the rollout is over.")
def watch(conf_file: Path | None, name: str, seconds: float) -> None:
    """Show the stages and hosts of a rollout, and refresh them until it is over."""
    store = open_store(conf_file)
    end = time.monotonic() + seconds if seconds else float("inf")
    with Live(_watch_table(store, name), refresh_per_second=WATCH_FRAMES_PER_S) as live:
        while time.monotonic() < end and not get_rollout(store, name).is_over:
            time.sleep(WATCH_INTERVAL_S)
            live.update(_watch_table(store, name))


def _watch_table(store: RolloutStore, name: str) -> Table:
    state = get_rollout(store, name)
    fleet = store.fleet_summary(state.name)
    hosts = fleet.hosts if fleet is not None else {}
    table = Table(title=f"{state.name} {state.phase}: {state.reason}", title_justify="left", box=None)
    for column in ("host", "stage", "serves", "phase", "fault"):
        table.add_column(column)
    stage_of = {host: number for number, stage in enumerate(state.plan.stages, 1) for host in stage}
    for host, summary in hosts.items():
        stage = str(stage_of.get(host, "later"))
        table.add_row(host, stage, summary.serving or _NO_GENERATION, summary.phase, summary.fault)
    return table


def _local_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@click.command()
@CONF_OPTION
@NAME_ARGUMENT
@JSON_OPTION
def history(conf_file: Path | None, name: str, json_: bool) -> None:
    """List all rollouts, or the events of one."""
    store = open_store(conf_file)
    if name:
        _show_events(store, get_rollout(store, name), json_)
    else:
        _show_rollouts(store.history(), json_)


def _show_events(store: RolloutStore, state: RolloutState, json_: bool) -> None:
    events = store.events(state.name)
    if json_:
        print_json([event._asdict() for event in events])
        return
    for event in events:
        print_line(f"{_local_time(event.at)}  {event.text}")


def _show_rollouts(records: list[RolloutRecord], json_: bool) -> None:
    if json_:
        print_json([_record_json(record) for record in records])
        return
    rows = (
        (
            record.name,
            _local_time(record.began_at),
            record.state.plan.generation,
            record.state.phase,
            record.state.reason,
        )
        for record in records
    )
    print_table("rollouts", ("name", "began", "generation", "phase", "reason"), rows)


def _record_json(record: RolloutRecord) -> dict[str, Any]:
    return {
        "rollout": record.name,
        "began": record.began_at,
        "ended": record.ended_at,
        "generation": record.state.plan.generation,
        "phase": record.state.phase.value,
        "reason": record.state.reason,
    }


@click.command()
@CONF_OPTION
@NAME_ARGUMENT
@JSON_OPTION
def explain(conf_file: Path | None, name: str, json_: bool) -> None:
    """Show how the canary analysis reached its verdict, metric by metric."""
    store = open_store(conf_file)
    state = get_rollout(store, name)
    stored = store.explanation(state.name)
    if stored is None:
        fail(ExitCode.NO_STATE, f"{state.name}: no canary analysis is stored yet")
    explanation = stored.explanation
    if json_:
        print_json({"at": stored.at, **msgspec.to_builtins(explanation)})
        return
    print_line(f"{state.name} stage {explanation.stage}: {explanation.outcome}: {explanation.reason}")
    changed = " ".join(explanation.changed) or "none warmed up"
    unchanged = " ".join(explanation.unchanged) or "none"
    print_line(f"changed: {changed}; compared with: {unchanged}")
    print_table(
        "metrics, more is worse",
        ("metric", "slices", "worse by", "between", "margin", "evidence", "needed", "cleared", "unchanged hosts"),
        (_metric_row(metric) for metric in explanation.metrics),
    )


def _metric_row(metric: MetricExplanation) -> tuple[Any, ...]:
    return (
        metric.metric,
        metric.slices,
        f"{metric.mean:+.2%}",
        f"{_bound(metric.low)} {_bound(metric.high)}",
        f"{metric.margin:.1%}",
        f"{metric.evidence:.3g}",
        f"{metric.needed:.3g}",
        f"{metric.cleared:.3g}",
        f"{metric.unchanged_regression:+.2%}",
    )


def _bound(value: float | None) -> str:
    return f"{value:+.2%}" if value is not None else _UNKNOWN_BOUND
