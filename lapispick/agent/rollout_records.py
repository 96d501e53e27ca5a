"""Records of the rollout store other than the states of rollouts, as they are stored and shown with ``--json``."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lapispick.rollout.canary_analysis import MetricResult, Verdict
from lapispick.rollout.rollout_state import ComparisonGroups, HostReport, RolloutState


class HostSummary(NamedTuple):
    """Last report of an agent on its host; all fields are empty if there is none. Stored as an array."""

    serving: str = ""
    phase: str = ""
    fault: str = ""


class FleetSummary(msgspec.Struct):
    """State of the fleet as a controller last saw it."""

    deviations: list[str]
    hosts: dict[str, HostSummary] = msgspec.field(name="boxes")


class MetricExplanation(msgspec.Struct):
    """Analysis of one metric in an explanation; an infinite bound is None."""

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
    """Explanation of a verdict of the canary analysis."""

    stage: int  # from 1
    outcome: str
    reason: str = msgspec.field(name="ground")
    changed: list[str]
    unchanged: list[str] = msgspec.field(name="old")
    metrics: list[MetricExplanation] = msgspec.field(name="rows")


class StoredExplanation(NamedTuple):
    """An explanation and the time at which it was stored, in Unix seconds."""

    at: float
    explanation: Explanation


class Event(NamedTuple):
    """Event in a rollout; the time is in Unix seconds."""

    at: float
    text: str


class RolloutRecord(NamedTuple):
    """A rollout in the history; times are in Unix seconds."""

    name: str
    began_at: float
    ended_at: float | None
    state: RolloutState


class Leadership(NamedTuple):
    """Controller in charge, and the time at which it was last seen, in Unix seconds."""

    controller: str
    epoch: int
    seen_at: float


def summarize_fleet(deviations: list[str], reports: dict[str, HostReport]) -> FleetSummary:
    """Return the summary of the fleet that operators are shown."""
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
