"""Shadow prices of occupancy (time in a slot) and cost: the dual prices of a linear program over a sample of requests.

Based on the adaptive bid-price filter in ThrottleKit's "Unified Admission" page: prices are zero at first, and prices
learned from a sample replace them only if they admit more value on that sample.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import combinations
from math import inf
from typing import NamedTuple

SAMPLE_SIZE = 24  # requests; the prices are frozen after one sample
# Fraction of the slots. Queued requests reduce the occupancy budget, but never below this fraction.
MIN_FREE_SLOTS_FRACTION = 0.3
BUDGET_PERIOD_MS = 1000.0  # the period of the linear program's budgets and rates
PRICE_TOLERANCE = 1e-12
GAIN_TOLERANCE = 1e-9


class Prices(NamedTuple):
    """The price of one millisecond in a slot and of one unit of cost."""

    occupancy: float
    cost: float


class SampledRequest(NamedTuple):
    """One request in the sample."""

    class_index: int
    value: float
    occupancy_ms: float
    cost: float


class RequestType(NamedTuple):
    """The requests of one class in the linear program, with their mean value, occupancy and cost."""

    weight: float  # requests per budget period
    value: float
    occupancy_ms: float
    cost: float


def solve_prices(types: Sequence[RequestType], occupancy_budget: float, cost_budget: float) -> Prices:
    """Return the dual prices of the linear program that maximises the admitted value within both budgets.

    Maximise sum w*v*x subject to sum w*h*x <= occupancy_budget, sum w*c*x <= cost_budget and 0 <= x <= 1. The letters
    w, v, h and c are the weight, value, occupancy and cost of a ``RequestType``, and x is the fraction of its requests
    that is admitted.

    The dual is piecewise linear and convex in the prices p_h and p_c, so its minimum lies at an intersection of two of
    the lines v = p_h*h + p_c*c, p_h = 0 and p_c = 0. All intersections are tried.
    """
    lines = [(occupancy, cost, value) for _, value, occupancy, cost in types] + [(1.0, 0.0, 0.0), (0.0, 1.0, 0.0)]
    best = inf
    prices = Prices(0.0, 0.0)
    for (h1, c1, v1), (h2, c2, v2) in combinations(lines, 2):
        determinant = h1 * c2 - h2 * c1
        if abs(determinant) < PRICE_TOLERANCE:
            continue
        occupancy_price = (v1 * c2 - v2 * c1) / determinant
        cost_price = (h1 * v2 - h2 * v1) / determinant
        if occupancy_price < -PRICE_TOLERANCE or cost_price < -PRICE_TOLERANCE:
            continue
        candidate = Prices(max(0.0, occupancy_price), max(0.0, cost_price))
        dual = _dual_value(types, candidate, occupancy_budget, cost_budget)
        if dual < best - GAIN_TOLERANCE:
            best = dual
            prices = candidate
    return prices


def _dual_value(types: Iterable[RequestType], prices: Prices, occupancy_budget: float, cost_budget: float) -> float:
    """Return the value of the dual objective at the given prices."""
    occupancy_price, cost_price = prices
    dual = occupancy_price * occupancy_budget + cost_price * cost_budget
    return dual + sum(w * max(0.0, v - occupancy_price * h - cost_price * c) for w, v, h, c in types)


class ShadowPrices:
    """Prices of occupancy and cost: zero at first, learned once from a sample taken under pressure, then frozen."""

    __slots__ = (
        "_last_observed_at",
        "_sample_ms",
        "_total_wait_ms",
        "admitted_cost",
        "cost_price",
        "frozen",
        "occupancy_price",
        "sample",
    )

    def __init__(self) -> None:
        self.occupancy_price = 0.0
        self.cost_price = 0.0
        self.frozen = False
        self.sample: list[SampledRequest] = []
        self.admitted_cost = 0.0  # of requests admitted under pressure; increased by the price test
        self._sample_ms = 0.0  # the time under pressure that the sample covers
        self._total_wait_ms = 0.0
        self._last_observed_at: float | None = None  # last sampled request since pressure began; None without pressure

    @property
    def current(self) -> Prices:
        """Return the prices in effect."""
        return Prices(self.occupancy_price, self.cost_price)

    def adopt(self, prices: Prices, frozen: bool) -> None:
        """Start with the prices of another process; ``frozen`` states whether they were learned from a sample."""
        self.occupancy_price, self.cost_price = prices
        self.frozen = frozen

    def end_pressure(self) -> None:
        """Record that no work waits; the time until the next pressure is excluded from the time of the sample."""
        self._last_observed_at = None

    def observe(self, now: float, wait_ms: float, request: SampledRequest) -> None:
        """Add a request that arrived under pressure to the sample, with its expected wait."""
        if self._last_observed_at is not None:
            self._sample_ms += now - self._last_observed_at
        self._last_observed_at = now
        self._total_wait_ms += wait_ms
        self.sample.append(request)

    def learn(self, slots: float) -> str | None:
        """Compute prices from a full sample, adopt them only if they admit more value on it, and freeze the prices.

        Returns a log text if this call froze the prices, otherwise None.
        """
        if self.frozen or len(self.sample) < SAMPLE_SIZE or self._sample_ms <= 0:
            return None
        periods = self._sample_ms / BUDGET_PERIOD_MS
        mean_wait_ms = self._total_wait_ms / len(self.sample)
        slots *= max(MIN_FREE_SLOTS_FRACTION, 1 - mean_wait_ms / BUDGET_PERIOD_MS)
        cost_budget = self.admitted_cost / periods
        learned = solve_prices(self._request_types(periods), slots * BUDGET_PERIOD_MS, cost_budget)
        old = self.current
        gain = self._replay(learned, slots, cost_budget) - self._replay(old, slots, cost_budget)
        self.frozen = True
        self.sample = []
        self.occupancy_price, self.cost_price = learned if gain > 0 else old
        verdict = "adopted" if gain > 0 else "kept"
        return f"prices {verdict}: hold {self.occupancy_price:.3g} cost {self.cost_price:.3g}"

    def _request_types(self, periods: float) -> list[RequestType]:
        """Return each class of the sample with its arrival rate and its mean value, occupancy and cost."""
        types = []
        for class_index in sorted({request.class_index for request in self.sample}):
            requests = [request for request in self.sample if request.class_index == class_index]
            count = len(requests)
            types.append(
                RequestType(
                    count / periods,
                    sum(request.value for request in requests) / count,
                    sum(request.occupancy_ms for request in requests) / count,
                    sum(request.cost for request in requests) / count,
                )
            )
        return types

    def _replay(self, prices: Prices, slots: float, cost_budget: float) -> float:
        """Return the value admitted if the sample arrives at a constant rate and each budget refills at one."""
        occupancy_budget = slots * BUDGET_PERIOD_MS
        refill = self._sample_ms / len(self.sample) / BUDGET_PERIOD_MS
        occupancy_left = 0.0
        cost_left = 0.0
        admitted_value = 0.0
        for _, value, occupancy_ms, cost in self.sample:
            occupancy_left = min(occupancy_budget, occupancy_left + occupancy_budget * refill)
            cost_left = min(cost_budget, cost_left + cost_budget * refill)
            covers_price = value >= (prices.occupancy * occupancy_ms + prices.cost * cost) * (1 - GAIN_TOLERANCE)
            if covers_price and occupancy_ms <= occupancy_left and cost <= cost_left:
                occupancy_left -= occupancy_ms
                cost_left -= cost
                admitted_value += value
        return admitted_value
