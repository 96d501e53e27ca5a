"""Model of the load on a server: the rate and the classes of the requests that its callers send."""

from __future__ import annotations

import math

from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import RequestTable
from benchmarks.parity_scenarios import RequestClass

OBEYS_BACKPRESSURE_FRACTION = 0.85  # fraction of requests whose caller obeys the backpressure signal
HEALTH_DELAY_MS = 1500.0  # until the callers have seen a change of health


class Traffic:
    """Draws arrivals, and holds the backpressure and health of the server as its callers see them."""

    def __init__(self, instance: Instance, requests: RequestTable) -> None:
        self._instance = instance
        self._requests = requests
        self._rank_bands = _rank_bands(instance.scenario.classes)
        self._backpressure: float | None = None
        self._healthy = True
        self._health_known_at = instance.clock

    def draw_rank(self, class_index: int) -> float:
        """Draw the rank of a request of a class: its position by priority weight, in [0, 1)."""
        low, width = self._rank_bands[class_index]
        return low + width * self._instance.rng.random()

    def draw_class(self) -> int:
        """Draw the index of the class of an arriving request."""
        classes = self._instance.scenario.classes
        fractions = [request_class.request_fraction for request_class in classes]
        return self._instance.rng.choices(range(len(classes)), fractions)[0]

    def rate_per_ms(self) -> float:
        """Return the current rate of arrivals per ms."""
        scenario, clock = self._instance.scenario, self._instance.clock
        if not self._healthy and clock > self._health_known_at:
            return 0.0
        total_fraction = sum(request_class.request_fraction for request_class in scenario.classes)
        work_ms = (
            sum(request_class.request_fraction * request_class.work_ms for request_class in scenario.classes)
            / total_fraction
        )
        phase = math.copysign(1.0, math.sin(clock * math.tau / scenario.load_swing_period_ms))
        load = scenario.load * (1 + scenario.load_swing * phase)
        return load * scenario.cores * scenario.speed / work_ms

    def draw_is_sent(self, rank: float) -> bool:
        """Draw whether a caller sends a request of this rank, given the backpressure signal."""
        rng, scenario = self._instance.rng, self._instance.scenario
        if self._backpressure is None or rng.random() > OBEYS_BACKPRESSURE_FRACTION:
            return True
        match scenario.backpressure_signal:
            case "level":
                return rank >= self._backpressure
            case "weight":
                return rng.random() < self._backpressure
            case "credit":
                return len(self._requests) < self._backpressure * scenario.callers
        return True

    # Actions of the controller.

    def set_backpressure(self, value: float) -> None:
        """Set the value of the backpressure signal, which is sent with answers."""
        self._backpressure = value

    def set_health(self, healthy: bool, _shallow: bool) -> None:
        """Set the health of the server; the callers see a change after ``HEALTH_DELAY_MS``."""
        if self._instance.scenario.callers_check_health and healthy != self._healthy:
            self._healthy = healthy
            self._health_known_at = self._instance.clock + HEALTH_DELAY_MS


def _rank_bands(classes: tuple[RequestClass, ...]) -> list[tuple[float, float]]:
    """Return the low end and width of the rank band of each class: equal bands, ordered by priority weight."""
    width = 1 / len(classes)
    order = sorted(range(len(classes)), key=lambda class_index: (classes[class_index].priority_weight, class_index))
    return [(order.index(class_index) * width, width) for class_index in range(len(classes))]
