"""The settings of the decision module.

All times are in milliseconds, all memory sizes in kilobytes. Classes are numbered from 0. No setting has a default.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import field


class Idempotency(Enum):
    """Idempotency of a request class: whether a request may run a second time."""

    IDEMPOTENT = "safe"  # a second run does no harm
    KEYED = "keyed"  # a second run does harm; retries carry the same idempotency key
    AT_MOST_ONCE = "unsafe"  # a second run does harm; retries can't be recognised


class CancelMode(Enum):
    """Effect of cancelling a run."""

    NONE = "none"  # runs can't be cancelled
    DROP = "drop"  # the work done is lost
    PAUSE = "pause"  # the work done is kept and the run can be resumed


class BackpressureSignal(Enum):
    """Meaning of the backpressure value that is sent to callers with every answer."""

    NONE = "none"  # no value is sent
    LEVEL = "level"  # lowest rank that callers may send
    CREDIT = "credit"  # maximum number of requests that a caller may have in flight
    WEIGHT = "weight"  # weight of this server in the load balancing of the callers


class SettingsError(ValueError):
    """Error for a setting with an invalid value."""

    def __init__(self, setting: str, value: object, requirement: str) -> None:
        super().__init__(f"{setting}: {requirement}, got {value!r}")
        self.setting = setting
        self.value = value


class ClassSettings(msgspec.Struct, frozen=True):
    """Settings of one request class. The encoded names are those of stored traces."""

    latency_objective_ms: float = field(name="aim_ms")  # from the first attempt; answers within it have full weight
    objective_stretch: float = field(name="aim_stretch")  # the objective grows by this factor times the core time
    deadline_ms: float  # total time that a client waits
    idempotency: Idempotency = field(name="effect")
    idempotency_window_ms: float = field(name="window_ms")  # keyed classes: retries can arrive within this time
    priority_weight: float = field(name="worth")  # the value of an answer in time
    late_weight: float = field(name="late_worth")  # fraction of the priority weight for an answer after the objective
    degraded_weight: float = field(name="skip_worth")  # fraction for a degraded answer; 0 = calls can't be skipped


class Settings(msgspec.Struct, frozen=True):
    """The settings of one worker host. The encoded names are those of stored traces."""

    classes: tuple[ClassSettings, ...]
    weight_by_work: bool = field(name="worth_by_work")  # weights apply to each unit of work, not to each request
    callers: int  # number of callers of this tier at the start; 0 = unknown
    lower_tier: bool  # requests come from another tier of worker hosts, which has already worked on them
    cores: int
    memory_kb: float
    run_memory_factor: float = field(name="run_factor")  # memory of a running request divided by that of a queued one
    key_memory_kb: float = field(name="key_kb")  # memory of one retained idempotency key
    warming_up: bool = field(name="cold")  # the host has just started and is not at full speed yet
    initial_speed_fraction: float = field(name="cold_from")  # minimum fraction of the full speed right after a start
    warm_up_ms: float  # maximum time until the host is at full speed
    overload_runs_per_core: float = field(name="fall_multiple")  # running requests per core that a host can sustain
    drain_grace_ms: float
    cancel_mode: CancelMode = field(name="halt")
    backpressure_signal: BackpressureSignal = field(name="advert")
    call_quota: float = field(name="calls_out")  # limit of the mean number of calls in flight; 0 = not limited
    call_quota_window_ms: float = field(name="calls_window_ms")  # window over which that mean is taken
    max_retry_after_ms: float  # 0 = Retry-After is not forwarded to clients
    idle_timeout_ms: float = field(name="idle_ms")  # callers close connections after this idle time; 0 = unknown
    gauges: tuple[str, ...]  # names of the gauge values in a ``TimerFired`` event, in their order

    def validate(self) -> None:
        """Raise ``SettingsError`` for the first invalid setting."""
        _require(len(self.classes) > 0, "classes", self.classes, "expected at least one class")
        _require(self.cores >= 1, "cores", self.cores, "expected at least 1")
        _require(self.memory_kb > 0, "memory_kb", self.memory_kb, "expected a number above 0")
        _require(self.callers >= 0, "callers", self.callers, "expected at least 0")
        speed = self.initial_speed_fraction
        _require(0 < speed <= 1, "initial_speed_fraction", speed, "expected a number above 0 and at most 1")
        for class_index, settings in enumerate(self.classes):
            prefix = f"classes[{class_index}]"
            objective_ms = settings.latency_objective_ms
            in_range = 0 < objective_ms <= settings.deadline_ms
            _require(
                in_range,
                f"{prefix}.latency_objective_ms",
                objective_ms,
                "expected a number above 0 and at most deadline_ms",
            )
            window_ms = settings.idempotency_window_ms
            has_window = settings.idempotency is not Idempotency.KEYED or window_ms > 0
            _require(
                has_window, f"{prefix}.idempotency_window_ms", window_ms, "expected a number above 0 for a keyed class"
            )


def _require(condition: bool, setting: str, value: object, requirement: str) -> None:
    if not condition:
        raise SettingsError(setting, value, requirement)
