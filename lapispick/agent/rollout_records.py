"""What the store of rollouts holds beside their states, as it is stored and shown with ``--json``."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lapispick.rollout.canary_analysis import MetricResult, Verdict
from lapispick.rollout.rollout_state import ComparisonGroups, HostReport, RolloutState


class HostSummary(NamedTuple):
    """What an agent reported of its host, all empty where it did not; stored as an array."""

    serving: str = ""
    phase: str = ""
    fault: str = ""


class FleetSummary(msgspec.Struct):
    """What a controller last saw of the fleet."""

    deviations: list[str]
    hosts: dict[str, HostSummary] = msgspec.field(name="boxes")


class MetricExplanation(msgspec.Struct):
    """One metric of an explanation; a bound is None where it is infinite."""

    metric: str = msgspec.field(name="figure")
    slices: int
    mean: float
    low: float | None
    high: float | None
    margin: float
    evidence: float
    needed: float
    cleared: float
    unchanged_regression: float = msgspec.field(name="old_change")


class Explanation(msgspec.Struct):
    """Why the canary analysis decides as it does."""

    stage: int  # from 1
    outcome: str
    reason: str = msgspec.field(name="ground")
    changed: list[str]
    unchanged: list[str] = msgspec.field(name="old")
    metrics: list[MetricExplanation] = msgspec.field(name="rows")


class StoredExplanation(NamedTuple):
    """An explanation and when it was stored, Unix s."""

    at: float
    explanation: Explanation


class Event(NamedTuple):
    """Something that happened in a rollout, at a Unix time."""

    at: float
    text: str


class RolloutRecord(NamedTuple):
    """A rollout in the history; times are Unix seconds."""

    name: str
    began_at: float
    ended_at: float | None
    state: RolloutState


class Leadership(NamedTuple):
    """Which controller is in charge, and when it was last seen, Unix s."""

    controller: str
    epoch: int
    seen_at: float


def summarize_fleet(deviations: list[str], reports: dict[str, HostReport]) -> FleetSummary:
    """Return what is shown of the fleet."""
    hosts = {name: _summarize_host(report) for name, report in sorted(reports.items())}
    return FleetSummary(deviations, hosts)


def _summarize_host(report: HostReport) -> HostSummary:
    status = report.status
    return HostSummary(status.serving, status.phase, status.fault) if status is not None else HostSummary()


def explain(stage: int, verdict: Verdict, groups: ComparisonGroups) -> Explanation:
    """Return the explanation of a verdict on a stage, counted from 1."""
    metrics = [_explain_metric(result) for result in verdict.results]
    return Explanation(stage, verdict.outcome.value, verdict.reason, groups.changed, groups.unchanged, metrics)


def _explain_metric(result: MetricResult) -> MetricExplanation:
    return MetricExplanation(*result)
