"""The adaptive concurrency limit of running requests, and the speed of a server during slow start."""

from __future__ import annotations

from math import inf

from lapispick.admission.settings import Settings

MAX_LATENCY_RATIO = 1.5  # of mean run time to that of the fastest window; above it the limit does not grow
INITIAL_LIMIT_RATIO = 1.5  # of the limit to the cores; above 1 as runs may wait for a disk, which no event reports
MIN_WINDOW_RUNS = 8  # a mean of fewer runs is not used
MAX_ON_CORE_RATIO = 1.6  # of threads to cores; with more threads, runs only slow each other down
BACKOFF_RATIO = 0.9
MAX_CORE_USE_FRACTION = 0.95  # of the cores; at a higher use another run adds no throughput
OVERLOAD_FRACTION = 0.5  # of the number of running requests that the server survives
ON_CORE_SMOOTHING_FRACTION = 0.1  # weight of one reading in the moving average
LATE_READING_FRACTION = 0.5  # of the limit; only this part is used while requests are read late
MIN_OWN_QUOTA_FRACTION = 0.5  # of a limit shared by two processes of one server; each may use at least this much


class ConcurrencyLimit:
    """The limit of running requests, between the number of cores and a fraction of the load that the server survives.

    The limit is adapted once per control window by additive increase and multiplicative decrease. A request occupies a
    slot while it runs, but not while it waits for a call or is paused.
    """

    __slots__ = (
        "_failed",
        "_latency_ratio_sum",
        "_lowest_latency_ratio",
        "_mean_threads_on_cores",
        "_runs",
        "_settings",
        "peer_runs",
        "reached",
        "running",
        "value",
    )

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.value = INITIAL_LIMIT_RATIO * settings.cores
        self.running = 0  # requests that occupy a slot
        self.reached = False  # whether a queued request had to wait for a slot in this window
        self.peer_runs = 0.0  # running requests of another process of this server
        self._failed = False  # whether a run failed or was cancelled by its client late in this window
        self._lowest_latency_ratio = inf
        self._latency_ratio_sum = 0.0
        self._runs = 0
        self._mean_threads_on_cores = 0.0

    def occupy_slot(self) -> None:
        """Count a request as running."""
        self.running += 1

    def free_slot(self) -> None:
        """Stop counting a request as running: it has ended, is paused or waits for its call."""
        self.running -= 1

    def slots(self, reading_late: bool) -> int:
        """Return how many requests may run now, reduced by the runs of another process of this server."""
        slots = int(self.value * (LATE_READING_FRACTION if reading_late else 1.0))
        return max(int(MIN_OWN_QUOTA_FRACTION * slots), slots - int(self.peer_runs))

    def slots_left_by_peer(self) -> int:
        """Return the slots not occupied by the runs of another process of this server, at least one."""
        return max(1, int(self.value) - int(self.peer_runs))

    def record_reached(self) -> None:
        """Record that a queued request had to wait for a slot."""
        self.reached = True

    def record_failure(self) -> None:
        """Record that a run failed, or that its client cancelled it late."""
        self._failed = True

    def adopt(self, value: float) -> None:
        """Start with the limit that another process learned."""
        self.value = max(float(self._settings.cores), value)

    def record_run(self, latency_ratio: float) -> None:
        """Record the ratio of the time of a run to its expected time."""
        self._latency_ratio_sum += latency_ratio
        self._runs += 1

    def record_threads_on_cores(self, threads: float) -> None:
        """Record the number of threads on the cores; a moving average smooths single readings."""
        self._mean_threads_on_cores += (threads - self._mean_threads_on_cores) * ON_CORE_SMOOTHING_FRACTION

    def close_window(self, speed: float, core_use: float) -> None:
        """Adapt the limit: +1 while runs are fast and cores are idle, less on errors, cancellations and contention.

        ``speed`` is the server's speed as a fraction of its full speed, ``core_use`` the fraction of the cores in use.
        """
        settings = self._settings
        survived_ratio = OVERLOAD_FRACTION * (1 + (settings.overload_runs_per_core - 1) * speed)
        ceiling = settings.cores * max(1.0, survived_ratio)
        fast = self._runs_are_fast()
        if self._failed:
            self.value *= BACKOFF_RATIO
        elif self._mean_threads_on_cores > MAX_ON_CORE_RATIO * settings.cores:
            self.value -= 1
        elif self.reached and fast and core_use < MAX_CORE_USE_FRACTION:
            self.value += 1
        self.value = min(ceiling, max(float(settings.cores), self.value))
        self._failed = False
        self.reached = False

    def _runs_are_fast(self) -> bool:
        """Return True unless the last runs were much slower than the fastest window; True if they were too few."""
        if self._runs < MIN_WINDOW_RUNS:
            return True
        mean = self._latency_ratio_sum / self._runs
        self._lowest_latency_ratio = min(self._lowest_latency_ratio, mean)
        self._latency_ratio_sum = 0.0
        self._runs = 0
        return mean < MAX_LATENCY_RATIO * self._lowest_latency_ratio


class SlowStart:
    """Speed of a server that is warming up, as a fraction of its full speed."""

    __slots__ = ("_settings", "_started_at")

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._started_at = now

    def speed_fraction(self, now: float) -> float:
        """Return the fraction of its full speed that this server is guaranteed to have at least."""
        settings = self._settings
        if not settings.warming_up or settings.warm_up_ms <= 0:
            return 1.0
        elapsed = (now - self._started_at) / settings.warm_up_ms
        return min(1.0, settings.initial_speed_fraction + (1 - settings.initial_speed_fraction) * elapsed)
