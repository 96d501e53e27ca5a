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
from lapispick.cli.config import FILE
from lapispick.cli.output import DIFFERS, NO_STATE, as_json, say, table
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
_NOBODY = "nobody"
_INFINITE = "unknown"


def _summary(store: RolloutStore, state: RolloutState) -> dict[str, Any]:
    """Return what ``status`` shows of a rollout, under the names of its JSON output."""
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
        "serving": dict(Counter(host.serving or _NOBODY for host in hosts.values())),
        "changing": state.stage_hosts,
        "controls": state.controls,
        "over": len(state.confirmed_hosts),
        "later": state.deferred_hosts,
        "deviations": fleet.deviations if fleet is not None else [],
        "boxes": {name: list(host) for name, host in hosts.items()},
    }


@click.command()
@FILE
@NAME_ARGUMENT
@JSON_OPTION
def status(file: Path | None, name: str, json_: bool) -> None:
    """Show the state of a rollout, by default the newest. Ends with 1 where it was rolled back or asks an operator."""
    store = open_store(file)
    state = get_rollout(store, name)
    summary = _summary(store, state)
    if json_:
        as_json(summary)
    else:
        for key, value in summary.items():
            if key != "boxes":
                say(f"{key:<11} {value}")
        if summary["seen_s_ago"] > CONTROLLER_TIMEOUT_S and not state.is_over:
            say("no controller runs: lapispick rollout resume")
    sys.exit(DIFFERS if state.phase in (Phase.ROLLED_BACK, Phase.AWAITING_DECISION) else 0)


@click.command()
@FILE
@NAME_ARGUMENT
@click.option("--seconds", type=float, default=0.0, help="End after this long; 0: when the rollout is over.")
def watch(file: Path | None, name: str, seconds: float) -> None:
    """Show stages and hosts live."""
    store = open_store(file)
    end = time.monotonic() + seconds if seconds else float("inf")
    with Live(_watch_table(store, name), refresh_per_second=WATCH_FRAMES_PER_S) as live:
        while time.monotonic() < end and not get_rollout(store, name).is_over:
            time.sleep(WATCH_INTERVAL_S)
            live.update(_watch_table(store, name))


def _watch_table(store: RolloutStore, name: str) -> Table:
    state = get_rollout(store, name)
    fleet = store.fleet_summary(state.name)
    hosts = fleet.hosts if fleet is not None else {}
    shown = Table(title=f"{state.name} {state.phase}: {state.reason}", title_justify="left", box=None)
    for column in ("host", "stage", "serves", "phase", "fault"):
        shown.add_column(column)
    stage_of = {host: number for number, stage in enumerate(state.plan.stages, 1) for host in stage}
    for host, summary in hosts.items():
        stage = str(stage_of.get(host, "later"))
        shown.add_row(host, stage, summary.serving or _NOBODY, summary.phase, summary.fault)
    return shown


def _local_time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


@click.command()
@FILE
@NAME_ARGUMENT
@JSON_OPTION
def history(file: Path | None, name: str, json_: bool) -> None:
    """List all rollouts, or what happened in one."""
    store = open_store(file)
    if name:
        _show_events(store, get_rollout(store, name), json_)
    else:
        _show_rollouts(store.history(), json_)


def _show_events(store: RolloutStore, state: RolloutState, json_: bool) -> None:
    events = store.events(state.name)
    if json_:
        as_json([event._asdict() for event in events])
        return
    for event in events:
        say(f"{_local_time(event.at)}  {event.text}")


def _show_rollouts(records: list[RolloutRecord], json_: bool) -> None:
    if json_:
        as_json([_record_json(record) for record in records])
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
    table("rollouts", ("name", "began", "generation", "phase", "reason"), rows)


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
@FILE
@NAME_ARGUMENT
@JSON_OPTION
def explain(file: Path | None, name: str, json_: bool) -> None:
    """Show why the canary analysis decides as it does, metric by metric."""
    store = open_store(file)
    state = get_rollout(store, name)
    stored = store.explanation(state.name)
    if stored is None:
        fail(NO_STATE, f"{state.name}: there is no canary analysis yet")
    explanation = stored.explanation
    if json_:
        as_json({"at": stored.at, **msgspec.to_builtins(explanation)})
        return
    say(f"{state.name} stage {explanation.stage}: {explanation.outcome}: {explanation.reason}")
    changed = " ".join(explanation.changed) or "none warm"
    unchanged = " ".join(explanation.unchanged) or "none"
    say(f"changed: {changed}; compared with: {unchanged}")
    table(
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
    return f"{value:+.2%}" if value is not None else _INFINITE
