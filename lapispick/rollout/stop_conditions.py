"""Conditions that roll a rollout back at once, in any phase in which hosts run the change. No I/O and no clock."""

from __future__ import annotations

from lapispick.rollout.canary_analysis import Outcome
from lapispick.rollout.host_state import NOT_CONFIRMED_IN_TIME, ROLLBACK_ORDERED
from lapispick.rollout.rollout_state import HostReport, Phase
from lapispick.rollout.step_context import StepContext

_KB_PER_MB = 1024
_ANALYSED_PHASES = (Phase.CHANGING, Phase.BAKING)


def stop_reason(step: StepContext) -> str:
    """Return why the rollout has to be rolled back now; empty if there is no reason."""
    for name in sorted(step.state.touched_hosts):
        report = step.reports.get(name)
        if report is not None and (reason := _host_fault(step, report)):
            return f"{name}: {reason}"
    verdict = step.verdict
    if verdict is not None and verdict.outcome is Outcome.WORSE and step.state.phase in _ANALYSED_PHASES:
        return verdict.reason
    return ""


def _host_fault(step: StepContext, report: HostReport) -> str:
    state = step.state
    status = report.status
    if status is None:
        return ""
    if status.rolled_back_rollout == state.name and status.fault != ROLLBACK_ORDERED:
        # A confirmation that did not arrive in time is no evidence against the change.
        return "" if status.fault == NOT_CONFIRMED_IN_TIME else status.fault
    if status.serving != state.plan.generation:
        return ""
    if report.broken_rules:
        return f"broke a rule {report.broken_rules} times (broken, in its figures)"
    memory_limit_mb = status.memory_limit_mb or state.plan.default_memory_limit_mb
    max_memory_mb = state.plan.max_memory_fraction * memory_limit_mb
    if max_memory_mb and report.memory_kb > max_memory_mb * _KB_PER_MB:
        return f"holds {report.memory_kb // _KB_PER_MB} MB of at most {max_memory_mb:.0f}"
    return ""
