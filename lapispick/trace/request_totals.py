"""Sums up requests by class, account and time window. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import numpy as np

from lapispick import admission
from lapispick.trace.arrays import Array
from lapispick.trace.growing_table import GrowingTable
from lapispick.trace.request_table import AnswerCode
from lapispick.trace.summary import WINDOW_MS, RequestTotals, Summary


class TotalsCounter:
    """Adds requests to the totals of a summary."""

    def __init__(self, class_names: Sequence[str], classes: Sequence[admission.ClassSettings]) -> None:
        self._class_names = class_names
        self._latency_objective_ms = _column(classes, "latency_objective_ms")
        self._priority_weight = _column(classes, "priority_weight")
        self._late_weight = _column(classes, "late_weight")
        self._degraded_weight = _column(classes, "degraded_weight")

    def add(self, summary: Summary, requests: GrowingTable, count: int, account_names: Sequence[str]) -> None:
        """Add the ``count`` oldest requests of a table; ``account_names`` are indexed by account number."""
        rows = np.flatnonzero(~requests["is_retry"][:count])
        columns = self._totals_by_request(requests, rows)
        windows = (requests["born_at"][rows] // WINDOW_MS).astype(np.int64)

        def class_totals(class_index: int) -> RequestTotals:
            return summary.classes[self._class_names[class_index]]

        def account_totals(account: int) -> RequestTotals:
            return summary.accounts.setdefault(account_names[account], RequestTotals())

        def window_totals(window: int) -> RequestTotals:
            return summary.windows.setdefault(str(int(window * WINDOW_MS)), RequestTotals())

        _add_by_group(columns, np.zeros(len(rows), np.int64), lambda _: summary.total)
        _add_by_group(columns, requests["class_index"][rows], class_totals)
        _add_by_group(columns, requests["account"][rows], account_totals)
        _add_by_group(columns, windows, window_totals)

    def _totals_by_request(self, requests: GrowingTable, rows: Array) -> dict[str, Array]:
        """Return, for each field of ``RequestTotals``, the amount that each request adds."""
        class_index = requests["class_index"][rows]
        answer = requests["answer"][rows]
        degraded = requests["degraded"][rows]
        served = answer == AnswerCode.SERVED
        within_objective = served & (requests["age_ms"][rows] <= self._latency_objective_ms[class_index])
        served_weight = np.where(served, self._priority_weight[class_index], 0.0)
        served_weight *= np.where(within_objective, 1.0, self._late_weight[class_index])
        served_weight *= np.where(degraded, self._degraded_weight[class_index], 1.0)
        return {
            "requests": np.ones(len(rows), np.int64),
            "attempts": requests["attempts"][rows],
            "offered_weight": self._priority_weight[class_index],
            "served_weight": served_weight,
            "within_objective": within_objective,
            "late": served & ~within_objective,
            "degraded": served & degraded,
            "rejected": answer == AnswerCode.REJECTED,
            "failed": answer == AnswerCode.FAILED,
            "unanswered": answer == AnswerCode.NONE,
        }


def _column(classes: Sequence[admission.ClassSettings], name: str) -> Array:
    return np.array([getattr(settings, name) for settings in classes], np.float64)


def _add_by_group(columns: dict[str, Array], groups: Array, totals_of: Callable[[int], RequestTotals]) -> None:
    """Add the sums of columns over each group to the totals of the group."""
    distinct, positions = np.unique(groups, return_inverse=True)
    sums = {
        name: np.bincount(positions, weights=column, minlength=len(distinct)).tolist()
        for name, column in columns.items()
    }
    for position, group in enumerate(distinct.tolist()):
        totals = totals_of(group)
        for name, values in sums.items():
            before = getattr(totals, name)
            setattr(totals, name, before + type(before)(values[position]))
