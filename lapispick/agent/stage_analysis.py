"""Feeds the canary analysis of the current stage, and keeps slices of unchanged hosts as its baseline."""

from __future__ import annotations

from collections.abc import Mapping

from lapispick.agent.rollout_records import Explanation, explain
from lapispick.rollout.canary_analysis import AnalysisBounds, CanaryAnalysis, Verdict
from lapispick.rollout.metrics import Slice
from lapispick.rollout.rollout_state import HostReport, Phase, RolloutState, comparison_groups

MAX_BASELINE_SLICES = 60
_UNCHANGED_PHASES = (Phase.BASELINE, Phase.WAITING, Phase.HELD)
_ANALYSED_PHASES = (Phase.CHANGING, Phase.BAKING)


class StageAnalysis:
    """Canary analysis of the current stage of a rollout."""

    def __init__(self, bounds: AnalysisBounds) -> None:
        self._bounds = bounds
        self._analysis: CanaryAnalysis | None = None
        self._analysed_stage = -1
        self._baseline: list[dict[str, Slice]] = []
        self.verdict: Verdict | None = None

    def add(
        self, state: RolloutState, reports: Mapping[str, HostReport], slices: dict[str, Slice]
    ) -> Explanation | None:
        """Add the hosts' slices of one interval.

        Returns the explanation of the new verdict, or None in a phase that is not analysed.
        """
        if state.phase in _UNCHANGED_PHASES:
            self._add_to_baseline(slices)
        if state.phase not in _ANALYSED_PHASES:
            return None
        if self._analysis is None or self._analysed_stage != state.stage:
            self._begin_stage(state)
        assert self._analysis is not None
        groups = comparison_groups(state, reports)
        if groups.changed and groups.unchanged:
            self._analysis.add_canary(groups.changed, groups.unchanged, slices)
        self.verdict = self._analysis.verdict()
        touched = state.touched_hosts
        self._add_to_baseline({name: slice_ for name, slice_ in slices.items() if name not in touched})
        return explain(state.stage + 1, self.verdict, groups)

    def _begin_stage(self, state: RolloutState) -> None:
        self._analysed_stage = state.stage
        self._analysis = CanaryAnalysis(self._bounds, dict(state.plan.host_kinds))
        self.verdict = None
        touched = state.touched_hosts
        for slices in self._baseline:
            unchanged = [name for name in slices if name not in touched]
            self._analysis.add_baseline(state.stage_hosts, unchanged, slices)

    def _add_to_baseline(self, slices: dict[str, Slice]) -> None:
        self._baseline = [*self._baseline, slices][-MAX_BASELINE_SLICES:]
