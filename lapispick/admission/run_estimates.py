"""The learned run times of each request class."""

from __future__ import annotations

from collections.abc import Sequence

from lapispick.admission.events import LearnedEstimates
from lapispick.admission.request_state import TrackedRequest
from lapispick.admission.settings import ClassSettings

MAX_AVERAGED_RUNS = 30  # span of the moving averages of a class
MAX_AVERAGED_COST_RUNS = 60  # span of the moving average of the time per unit of cost, over all classes
MIN_CORE_TIME_MS = 1.0  # lower bound of the time on the cores where it is a divisor
INITIAL_RUN_FRACTION = 0.15  # of the latency objective; the expected run time of a class before its first run
MAX_EXPECTED_FRACTION = 0.7  # of the latency objective; a higher estimate would reject a class permanently


class RunEstimates:
    """Mean times by class in ms: on the cores (per unit of cost, if hinted), blocked by calls, and in total."""

    __slots__ = ("_cost_ratio", "_cost_runs", "_max_expected_ms", "blocked_ms", "call_ms", "core_ms", "run_ms", "runs")

    def __init__(self, classes: Sequence[ClassSettings]) -> None:
        self.core_ms = [settings.latency_objective_ms * INITIAL_RUN_FRACTION for settings in classes]
        self.run_ms = list(self.core_ms)
        self.blocked_ms = [0.0] * len(classes)  # from requesting a downstream call until the run resumes
        self.call_ms = [0.0] * len(classes)  # the part of ``blocked_ms`` with a call in flight
        self.runs = [0] * len(classes)
        self._max_expected_ms = [MAX_EXPECTED_FRACTION * settings.latency_objective_ms for settings in classes]
        self._cost_ratio = 1.0  # ms on the cores per unit of cost, over the runs with a cost hint
        self._cost_runs = 0

    def core_time_ms(self, request: TrackedRequest) -> float:
        """Return the expected time on the cores and at the disk, from the cost hint if the request has one."""
        return request.cost * self._cost_ratio if request.cost > 0 else self.core_ms[request.class_index]

    def expected_run_ms(self, request: TrackedRequest) -> float:
        """Return the expected run time; bounded, as an estimate near the objective would always reject the class."""
        class_index = request.class_index
        return min(self.core_time_ms(request) + self.blocked_ms[class_index], self._max_expected_ms[class_index])

    def adopt(self, learned: LearnedEstimates) -> bool:
        """Start with the means of another process; return False if this one has seen runs or has other classes."""
        if any(self.runs) or len(learned.runs) != len(self.runs):
            return False
        self.core_ms = list(learned.core_ms)
        self.run_ms = list(learned.run_ms)
        self.blocked_ms = list(learned.blocked_ms)
        self.call_ms = list(learned.call_ms)
        self.runs = list(learned.runs)
        return True

    def learn(self, request: TrackedRequest, duration_ms: float) -> float:
        """Update the means with a completed run; return the ratio of its time on the cores to the expected time."""
        class_index = request.class_index
        core_ms = max(0.0, duration_ms - request.blocked_ms)
        latency_ratio = core_ms / max(MIN_CORE_TIME_MS, self.core_time_ms(request))
        runs = min(MAX_AVERAGED_RUNS, self.runs[class_index] + 1)
        self.runs[class_index] = runs
        self.core_ms[class_index] += (core_ms - self.core_ms[class_index]) / runs
        self.run_ms[class_index] += (duration_ms - self.run_ms[class_index]) / runs
        self.blocked_ms[class_index] += (request.blocked_ms - self.blocked_ms[class_index]) / runs
        self.call_ms[class_index] += (request.call_ms - self.call_ms[class_index]) / runs
        if request.cost > 0:
            self._cost_runs = min(MAX_AVERAGED_COST_RUNS, self._cost_runs + 1)
            self._cost_ratio += (core_ms / request.cost - self._cost_ratio) / self._cost_runs
        return latency_ratio
