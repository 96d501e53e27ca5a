"""The adaptive limit of requests that run at one time, and how fast a server is while it warms up."""

from __future__ import annotations

from math import inf

from lapispick.admission.settings import Settings

MAX_LATENCY_RATIO = 1.5  # of the fastest window; above it the limit does not grow
INITIAL_LIMIT_RATIO = 1.5  # of the cores: runs may wait for a disk, which no event reports
MIN_WINDOW_RUNS = 8  # with fewer the mean is not used
MAX_ON_CORE_RATIO = 1.6  # of the cores; with more than this on them runs only slow each other down
BACKOFF_RATIO = 0.9
MAX_CORE_USE_FRACTION = 0.95  # with cores this busy one more run adds no throughput
OVERLOAD_FRACTION = 0.5  # of the runs that a server survives
ON_CORE_SMOOTHING_FRACTION = 0.1  # weight of one reading
LATE_READING_FRACTION = 0.5  # of the limit; what runs while reading is late
MIN_OWN_QUOTA_FRACTION = 0.5  # of a limit that two processes of one server share; this much is left to each


class ConcurrencyLimit:
    """The limit L of running requests: from the number of cores to a fraction of what the server survives.

    Additive increase, multiplicative decrease, once a control window. A slot is taken while a request runs, and free
    while it waits for a call or is paused.
    """

    __slots__ = (
        "_failed",
        "_latency_ratio_sum",
        "_lowest_latency_ratio",
        "_on_cores",
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
        self.running = 0  # requests that take a slot
        self.reached = False  # in this window queued requests had to wait for it
        self.peer_runs = 0.0  # of another process of this server
        self._failed = False  # in this window a run failed or lost its client late
        self._lowest_latency_ratio = inf
        self._latency_ratio_sum = 0.0
        self._runs = 0
        self._on_cores = 0.0

    def occupy_slot(self) -> None:
        """Count a request that runs from now on."""
        self.running += 1

    def free_slot(self) -> None:
        """Stop counting a request that is over, paused or waits for its call."""
        self.running -= 1

    def slots(self, reading_late: bool) -> int:
        """Return how many may run now; another process of this server takes a part of them."""
        slots = int(self.value * (LATE_READING_FRACTION if reading_late else 1.0))
        return max(int(MIN_OWN_QUOTA_FRACTION * slots), slots - int(self.peer_runs))

    def slots_beside_peer(self) -> int:
        """Return how many may run while another process of this server keeps all of its runs; at least one."""
        return max(1, int(self.value) - int(self.peer_runs))

    def record_reached(self) -> None:
        """Note that a queued request waits for a slot."""
        self.reached = True

    def record_failure(self) -> None:
        """Note that a run failed, or lost its client late."""
        self._failed = True

    def adopt(self, value: float) -> None:
        """Begin with the limit that another process learned."""
        self.value = max(float(self._settings.cores), value)

    def record_run(self, latency_ratio: float) -> None:
        """Note a run's time over the time that was expected."""
        self._latency_ratio_sum += latency_ratio
        self._runs += 1

    def observe_on_cores(self, on_cores: float) -> None:
        """Note how many threads are on the cores now; a moving average evens out single readings."""
        self._on_cores += (on_cores - self._on_cores) * ON_CORE_SMOOTHING_FRACTION

    def close_window(self, speed: float, core_use: float) -> None:
        """Take one step: +1 while runs are fast and cores idle, less on errors, cancellations and contention.

        ``speed`` is the fraction of its full speed that the server has, ``core_use`` the fraction of the cores in use.
        """
        settings = self._settings
        survived_ratio = OVERLOAD_FRACTION * (1 + (settings.overload_runs_per_core - 1) * speed)
        ceiling = settings.cores * max(1.0, survived_ratio)
        fast = self._runs_are_fast()
        if self._failed:
            self.value *= BACKOFF_RATIO
        elif self._on_cores > MAX_ON_CORE_RATIO * settings.cores:
            self.value -= 1
        elif self.reached and fast and core_use < MAX_CORE_USE_FRACTION:
            self.value += 1
        self.value = min(ceiling, max(float(settings.cores), self.value))
        self._failed = False
        self.reached = False

    def _runs_are_fast(self) -> bool:
        """Compare the mean of the last runs with the fastest window; True where they are too few."""
        if self._runs < MIN_WINDOW_RUNS:
            return True
        mean = self._latency_ratio_sum / self._runs
        self._lowest_latency_ratio = min(self._lowest_latency_ratio, mean)
        self._latency_ratio_sum = 0.0
        self._runs = 0
        return mean < MAX_LATENCY_RATIO * self._lowest_latency_ratio


class SlowStart:
    """The speed of a server that warms up, as a fraction of its full speed."""

    __slots__ = ("_settings", "_started_at")

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._started_at = now

    def speed_fraction(self, now: float) -> float:
        """Return the least fraction of its full speed that this server is sure to have."""
        settings = self._settings
        if not settings.warming_up or settings.warm_up_ms <= 0:
            return 1.0
        elapsed = (now - self._started_at) / settings.warm_up_ms
        return min(1.0, settings.initial_speed_fraction + (1 - settings.initial_speed_fraction) * elapsed)
