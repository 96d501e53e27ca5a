"""The summary of traces.

Other programs read its JSON, so the names of the keys, which ``name=`` sets, don't change.
"""

from __future__ import annotations

import msgspec

WINDOW_MS = 10_000.0  # length of the windows for which totals are given
UNKNOWN_NAME = "not told"  # shown for an account or a reason that was not recorded


class RequestTotals(msgspec.Struct):
    """Counts of requests and their priority weight; retries count for the request that they repeat."""

    requests: int = 0
    attempts: int = msgspec.field(default=0, name="tries")
    offered_weight: float = msgspec.field(default=0.0, name="asked")
    served_weight: float = msgspec.field(default=0.0, name="served")
    within_objective: int = msgspec.field(default=0, name="in_aim")
    late: int = 0  # served after the latency objective
    degraded: int = msgspec.field(default=0, name="poorer")  # served with a degraded answer, without the call
    rejected: int = msgspec.field(default=0, name="refused")
    failed: int = 0
    unanswered: int = msgspec.field(default=0, name="gone")  # cancelled, or still open when the trace ended

    @property
    def served_fraction(self) -> float | None:
        """Return the served fraction of the offered weight, None if nothing was offered."""
        return self.served_weight / self.offered_weight if self.offered_weight else None


class Percentiles(msgspec.Struct):
    """Percentiles of durations, ms."""

    count: int = 0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    maximum: float = msgspec.field(default=0.0, name="most")


class Summary(msgspec.Struct):
    """Outcomes and durations of the requests of a trace."""

    total: RequestTotals = msgspec.field(name="whole")
    classes: dict[str, RequestTotals]
    accounts: dict[str, RequestTotals]
    windows: dict[str, RequestTotals]  # by the start of each window, ms
    worst_windows: list[str] = msgspec.field(name="worst")  # with the smallest served fraction, in ascending order
    rejection_reasons: dict[str, int] = msgspec.field(name="grounds")  # rejected attempts by reason
    queue_times: dict[str, Percentiles] = msgspec.field(name="waits")  # from arrival to start, by class
    run_durations: dict[str, Percentiles] = msgspec.field(name="runs")
    lost_steps: int = msgspec.field(default=0, name="gaps")
