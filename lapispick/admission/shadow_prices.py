"""Shadow prices of occupancy (the time on a slot) and cost: the duals of a linear program over a sample of requests.

After the adaptive bid-price filter of ThrottleKit's "Unified Admission" page: a prior of zero prices the first
requests, and prices learned from a sample replace it only if they do better on that sample.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import combinations
from math import inf
from typing import NamedTuple

SAMPLE_SIZE = 24  # requests; the prices are frozen after one sample
MIN_FREE_SLOTS_FRACTION = 0.3  # of the slots; what is queued already takes from the occupancy budget, down to this
BUDGET_PERIOD_MS = 1000.0  # T of the linear program
PRICE_TOLERANCE = 1e-12
GAIN_TOLERANCE = 1e-9


class Prices(NamedTuple):
    """The prices of a millisecond on a slot and of a unit of cost."""

    occupancy: float
    cost: float


class SampledRequest(NamedTuple):
    """One request of the sample."""

    class_index: int
    value: float
    occupancy_ms: float
    cost: float


class RequestType(NamedTuple):
    """The requests of one class in the linear program: how many come in a period, and their mean figures."""

    weight: float
    value: float
    occupancy_ms: float
    cost: float


def solve_prices(types: Sequence[RequestType], occupancy_budget: float, cost_budget: float) -> Prices:
    """Find the duals of: maximise sum w*v*x, sum w*h*x <= occupancy_budget, sum w*c*x <= cost_budget, 0 <= x <= 1.

    The dual is piecewise linear and convex in the prices, so its least value lies where two of the lines
    v = p_h*h + p_c*c, p_h = 0 and p_c = 0 meet; all such points are tried. The letters w, v, h and c stand for the
    weight, value, occupancy and cost of a ``RequestType``, and x for the fraction of it that is admitted.
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
    """Return the value of the dual at these prices."""
    occupancy_price, cost_price = prices
    dual = occupancy_price * occupancy_budget + cost_price * cost_budget
    return dual + sum(w * max(0.0, v - occupancy_price * h - cost_price * c) for w, v, h, c in types)


class ShadowPrices:
    """The prices of occupancy and cost: zero at first, learned once from a sample under pressure, then frozen."""

    __slots__ = (
        "_pressure_seen_at",
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
        self.admitted_cost = 0.0  # under pressure; the price test adds to it
        self._sample_ms = 0.0  # the time under pressure that the sample covers
        self._total_wait_ms = 0.0
        self._pressure_seen_at: float | None = None  # the last request under the present pressure

    @property
    def current(self) -> Prices:
        """Return the prices that requests are put to now."""
        return Prices(self.occupancy_price, self.cost_price)

    def adopt(self, prices: Prices, frozen: bool) -> None:
        """Begin with the prices of another process; ``frozen`` if they were learned."""
        self.occupancy_price, self.cost_price = prices
        self.frozen = frozen

    def end_pressure(self) -> None:
        """Note that no work waits: the time until the next pressure is no part of the sample."""
        self._pressure_seen_at = None

    def observe(self, now: float, wait_ms: float, request: SampledRequest) -> None:
        """Note a request that came under pressure, and the wait that it met."""
        if self._pressure_seen_at is not None:
            self._sample_ms += now - self._pressure_seen_at
        self._pressure_seen_at = now
        self._total_wait_ms += wait_ms
        self.sample.append(request)

    def learn(self, slots: float) -> str | None:
        """Price a full sample, adopt the result only if it admits more value on that sample, and freeze.

        Returns a text for the log when the prices were frozen just now.
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
        """Return the sample's classes with their rate and mean figures."""
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
        """Return the value admitted when the sample arrives evenly and each budget refills evenly."""
        occupancy_budget = slots * BUDGET_PERIOD_MS
        refill = self._sample_ms / len(self.sample) / BUDGET_PERIOD_MS
        occupancy_left = 0.0
        cost_left = 0.0
        admitted_value = 0.0
        for _, value, occupancy_ms, cost in self.sample:
            occupancy_left = min(occupancy_budget, occupancy_left + occupancy_budget * refill)
            cost_left = min(cost_budget, cost_left + cost_budget * refill)
            clears = value >= (prices.occupancy * occupancy_ms + prices.cost * cost) * (1 - GAIN_TOLERANCE)
            if clears and occupancy_ms <= occupancy_left and cost <= cost_left:
                occupancy_left -= occupancy_ms
                cost_left -= cost
                admitted_value += value
        return admitted_value
