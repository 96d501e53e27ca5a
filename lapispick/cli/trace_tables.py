"""Rows of the tables of a summary, for the commands that print them and the HTML page of ``trace plot``."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from lapispick.trace.summary import UNKNOWN_NAME, Percentiles, RequestTotals

PERCENTILE_COLUMNS = ("class", "count", "p50", "p90", "p99", "most")


def _served_fraction(totals: RequestTotals) -> str:
    fraction = totals.served_fraction
    return "-" if fraction is None else f"{fraction:.3f}"


_TOTALS_CELLS: dict[str, Callable[[RequestTotals], Any]] = {
    "requests": lambda totals: totals.requests,
    "tries": lambda totals: totals.attempts,
    "asked": lambda totals: f"{totals.offered_weight:g}",
    "served": lambda totals: f"{totals.served_weight:g}",
    "share": _served_fraction,
    "in aim": lambda totals: totals.within_objective,
    "late": lambda totals: totals.late,
    "poorer": lambda totals: totals.degraded,
    "refused": lambda totals: totals.rejected,
    "failed": lambda totals: totals.failed,
    "gone": lambda totals: totals.unanswered,
}
TOTALS_COLUMNS = tuple(_TOTALS_CELLS)


def totals_rows(totals_by_name: Mapping[str, RequestTotals], columns: Sequence[str]) -> Iterator[tuple[Any, ...]]:
    """Yield one row per name, with the name and the cells of these columns."""
    for name, totals in totals_by_name.items():
        yield (name or UNKNOWN_NAME, *(_TOTALS_CELLS[column](totals) for column in columns))


def percentile_rows(percentiles_by_name: Mapping[str, Percentiles]) -> Iterator[tuple[Any, ...]]:
    """Yield one row of ``PERCENTILE_COLUMNS`` per name."""
    for name, percentiles in percentiles_by_name.items():
        yield name, percentiles.count, percentiles.p50, percentiles.p90, percentiles.p99, percentiles.maximum
