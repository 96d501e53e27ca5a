"""The settings of the decision module.

All times are milliseconds, all memory is in kilobytes. Classes are numbered from 0. No setting has a default.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import field


class Idempotency(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "safe"  # nothing: it may run again
    KEYED = "keyed"  # harm, and repeats carry the same idempotency key
    AT_MOST_ONCE = "unsafe"  # harm, and repeats can't be recognised


class CancelMode(Enum):
    """What cancelling a run does."""

    NONE = "none"  # it is not possible
    DROP = "drop"  # the work done is lost
    PAUSE = "pause"  # the work done is kept and can be taken up again


class BackpressureSignal(Enum):
    """What callers do with the value that is advertised with every answer."""

    NONE = "none"
    LEVEL = "level"  # they send nothing of a lower rank
    CREDIT = "credit"  # they keep at most so many requests in flight
    WEIGHT = "weight"  # they balance by it


class SettingsError(ValueError):
    """A setting that can't be used."""

    def __init__(self, setting: str, value: object, requirement: str) -> None:
        super().__init__(f"{setting} {requirement}, is {value!r}")
        self.setting = setting
        self.value = value


class ClassSettings(msgspec.Struct, frozen=True):
    """What is known of one class of requests. The encoded names are those of stored traces."""

    latency_objective_ms: float = field(name="aim_ms")  # from the first attempt; an answer in time has full weight
    objective_stretch: float = field(name="aim_stretch")  # the objective grows by this times the work of the request
    deadline_ms: float  # how long a client waits in total
    idempotency: Idempotency = field(name="effect")
    idempotency_window_ms: float = field(name="window_ms")  # keyed: repeats can come within this span
    priority_weight: float = field(name="worth")  # the value of an answer in time
    late_weight: float = field(name="late_worth")  # fraction of it for an answer after the objective
    degraded_weight: float = field(name="skip_worth")  # fraction of it without the call; 0 = calls can't be skipped


class Settings(msgspec.Struct, frozen=True):
    """The settings of one worker host. The encoded names are those of stored traces."""

    classes: tuple[ClassSettings, ...]
    weight_by_work: bool = field(name="worth_by_work")  # weights count for each unit of work, not for each request
    callers: int  # callers of this tier at the start; 0 = unknown
    lower_tier: bool  # requests come from another tier of worker hosts, which already worked on them
    cores: int
    memory_kb: float
    run_memory_factor: float = field(name="run_factor")  # memory of a running request over that of a queued one
    key_memory_kb: float = field(name="key_kb")  # memory of one retained idempotency key
    warming_up: bool = field(name="cold")  # it was just started and is not at full speed yet
    initial_speed_fraction: float = field(name="cold_from")  # least fraction of the full speed right after a start
    warm_up_ms: float  # at full speed after this at the latest
    overload_runs_per_core: float = field(name="fall_multiple")  # running requests for each core that a host survives
    drain_grace_ms: float
    cancel_mode: CancelMode = field(name="halt")
    backpressure_signal: BackpressureSignal = field(name="advert")
    call_quota: float = field(name="calls_out")  # mean calls in flight that are this host's quota; 0 = not limited
    call_quota_window_ms: float = field(name="calls_window_ms")  # the span of that mean
    max_retry_after_ms: float  # 0 = Retry-After is not passed on
    idle_timeout_ms: float = field(name="idle_ms")  # callers close connections idle for this long; 0 = unknown
    gauges: tuple[str, ...]  # names of the values that a timer event brings

    def validate(self) -> None:
        """Raise ``SettingsError`` for settings that can't be used."""
        _require(len(self.classes) > 0, "classes", self.classes, "must hold at least one class")
        _require(self.cores >= 1, "cores", self.cores, "must be at least 1")
        _require(self.memory_kb > 0, "memory_kb", self.memory_kb, "must be positive")
        _require(self.callers >= 0, "callers", self.callers, "must not be negative")
        speed = self.initial_speed_fraction
        _require(0 < speed <= 1, "initial_speed_fraction", speed, "must be over 0 and at most 1")
        for number, settings in enumerate(self.classes):
            where = f"classes[{number}]"
            objective_ms = settings.latency_objective_ms
            in_range = 0 < objective_ms <= settings.deadline_ms
            _require(
                in_range, f"{where}.latency_objective_ms", objective_ms, "must be positive and within the deadline"
            )
            window_ms = settings.idempotency_window_ms
            has_window = settings.idempotency is not Idempotency.KEYED or window_ms > 0
            _require(has_window, f"{where}.idempotency_window_ms", window_ms, "must be positive for a keyed class")


def _require(holds: bool, setting: str, value: object, requirement: str) -> None:
    if not holds:
        raise SettingsError(setting, value, requirement)
