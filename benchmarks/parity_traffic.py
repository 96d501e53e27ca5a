"""The load on a modelled server: how many requests of which class its callers send at a moment."""

from __future__ import annotations

import math

from benchmarks.parity_instance import Instance
from benchmarks.parity_requests import RequestTable
from benchmarks.parity_scenarios import ServiceClass

OBEYS_BACKPRESSURE_FRACTION = 0.85  # of the arrivals
HEALTH_DELAY_MS = 1500.0  # until the callers know of a change of health


class Traffic:
    """Draws arrivals; owns what the callers know of the server."""

    def __init__(self, instance: Instance, requests: RequestTable) -> None:
        self._instance = instance
        self._requests = requests
        self._rank_bands = _rank_bands(instance.scenario.classes)
        self._backpressure: float | None = None
        self._healthy = True
        self._health_known_at = instance.clock

    def draw_rank(self, class_index: int) -> float:
        """Return a place by priority weight for a request of a class, from 0 to under 1."""
        low, width = self._rank_bands[class_index]
        return low + width * self._instance.rng.random()

    def draw_class(self) -> int:
        """Return the index of the class of an arriving request."""
        classes = self._instance.scenario.classes
        fractions = [service_class.request_fraction for service_class in classes]
        return self._instance.rng.choices(range(len(classes)), fractions)[0]

    def rate_per_ms(self) -> float:
        """Return the arrivals per ms at this moment."""
        scenario, clock = self._instance.scenario, self._instance.clock
        if not self._healthy and clock > self._health_known_at:
            return 0.0
        total_fraction = sum(service_class.request_fraction for service_class in scenario.classes)
        work_ms = (
            sum(service_class.request_fraction * service_class.work_ms for service_class in scenario.classes)
            / total_fraction
        )
        phase = math.copysign(1.0, math.sin(clock * math.tau / scenario.swing_ms))
        load = scenario.load * (1 + scenario.swing * phase)
        return load * scenario.cores * scenario.speed / work_ms

    def is_sent(self, rank: float) -> bool:
        """Draw whether a caller sends a request of this rank, under the backpressure that it knows of."""
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
        """Take note of the value that goes out with answers."""
        self._backpressure = value

    def set_health(self, healthy: bool, _shallow: bool) -> None:
        """Take note of the server's health; the callers know of a change some time later."""
        if self._instance.scenario.readiness and healthy != self._healthy:
            self._healthy = healthy
            self._health_known_at = self._instance.clock + HEALTH_DELAY_MS


def _rank_bands(classes: tuple[ServiceClass, ...]) -> list[tuple[float, float]]:
    """Return the band of ranks of each class as its low end and width: equal bands, ordered by priority weight."""
    width = 1 / len(classes)
    order = sorted(range(len(classes)), key=lambda class_index: (classes[class_index].priority_weight, class_index))
    return [(order.index(class_index) * width, width) for class_index in range(len(classes))]
