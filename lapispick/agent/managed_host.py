"""The last status and metrics of one host, as a controller has received them."""

from __future__ import annotations

import time

from lapispick.fleet.hosts import WorkerHost
from lapispick.rollout import metrics
from lapispick.rollout.messages import Status
from lapispick.rollout.metrics import Sample, Slice
from lapispick.rollout.rollout_state import HostReport


class ManagedHost:
    """Last status and metrics of one host."""

    def __init__(self, worker: WorkerHost) -> None:
        self.worker = worker
        self.memory_kb = 0
        self.broken_rules = 0
        self._status: Status | None = None
        self._status_at = 0.0
        self._sample: Sample | None = None
        self._slices: list[Slice] = []

    def update_status(self, status: Status) -> None:
        """Store the status that the agent has just reported."""
        self._status = status
        self._status_at = time.monotonic()
        if not status.serving:
            self._sample = None

    def update_metrics(self, sample: Sample) -> None:
        """Store the metrics that the serving process has just reported."""
        self.memory_kb = sample.memory_kb
        self.broken_rules = sample.broken_rules
        if self._sample is not None:
            slice_ = metrics.slice_between(self.worker.name, self._sample, sample)
            if slice_ is not None:
                self._slices.append(slice_)
        self._sample = sample

    def take_slice(self) -> Slice | None:
        """Return and clear the metrics since the last call, merged into one slice; None if there are none."""
        merged = metrics.merge_slices(self._slices, self.worker.name)
        self._slices.clear()
        return merged

    @property
    def status(self) -> Status | None:
        """Return the last status; None before the first one."""
        return self._status

    def report(self, now: float) -> HostReport:
        """Return the last status and metrics, and the age of the status; ``now`` is monotonic."""
        age_s = now - self._status_at if self._status is not None else float("inf")
        return HostReport(self._status, age_s, self.memory_kb, self.broken_rules)
