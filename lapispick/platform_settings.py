"""The start settings from the simulator or the platform, and their translation for the decision module.

The names of fields are the terms of ``docs/GLOSSARY.md``. A key of the document is the field's name in Pascal case, or
the ``name`` of the field. Times are in milliseconds.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from lapispick import admission

IDEMPOTENCY = {
    "idempotent": admission.Idempotency.IDEMPOTENT,
    "deduplicated": admission.Idempotency.KEYED,
    "at_most_once": admission.Idempotency.AT_MOST_ONCE,
}
CANCEL_MODES = {
    "off": admission.CancelMode.NONE,
    "drop": admission.CancelMode.DROP,
    "pause": admission.CancelMode.PAUSE,
}
BACKPRESSURE_SIGNALS = {
    "off": admission.BackpressureSignal.NONE,
    "level": admission.BackpressureSignal.LEVEL,
    "credit": admission.BackpressureSignal.CREDIT,
    "weight": admission.BackpressureSignal.WEIGHT,
}

SHARED_DOWNSTREAM = "shared"  # a dependency that other hosts call too
WEIGHT_BY_WORK = "work"  # weights apply to each unit of work, not to each request


class RequestClass(msgspec.Struct, rename="pascal"):
    """One class of requests, an element of ``Services``."""

    name: str
    latency_objective_ms: float = field(name="Promise")
    deadline_ms: float = field(name="GiveUp")
    idempotency: str
    idempotency_window_ms: float = field(name="Window")
    priority_weight: float = field(name="Worth")
    late_weight: float = field(name="LateWorth")
    objective_stretch: float = field(name="AimStretch", default=0.0)


class Tenant(msgspec.Struct, rename="pascal"):
    """One tenant, an element of ``Parties``."""

    name: str


class HostProperties(msgspec.Struct, rename="pascal"):
    """Properties of this host and its site: ``FamilyInfo``."""

    downstream: str = field(name="Below")
    degraded_weights: list[float] = field(name="ClassSkipWorth")  # one for each request class
    cores: int
    memory_kb: float
    run_memory_factor: float = field(name="RunMemFactor")
    key_memory_kb: float = field(name="KbPerKey")
    warming_up: bool = field(name="Cold")
    cancel_mode: str = field(name="Halt")
    backpressure_signal: str = field(name="Advert")
    call_quota: float = field(name="CallsOut")
    call_quota_window_ms: float = field(name="DepWindow")
    gauges: list[str]
    callers: int = field(name="Upstreams", default=0)
    idle_timeout_ms: float = field(name="Idle", default=0.0)
    readiness: bool = False
    callers_send_deadline: bool = field(name="PassesDeadline", default=False)


class RetryAfterSettings(msgspec.Struct, rename="pascal"):
    """Whether rejections may carry a Retry-After, and its largest value: ``Bounds``."""

    max_ms: float = field(name="MaxRetryAfter")
    enabled: bool = field(name="RetryAfter")


class CallerProperties(msgspec.Struct, rename="pascal"):
    """Properties of the clients: ``Callers``."""

    retries_are_marked: bool = field(name="MarksRetry", default=True)


class PlatformGuarantees(msgspec.Struct, rename="pascal"):
    """Figures that the platform's rules guarantee: ``Guarantees``."""

    initial_speed_fraction: float = field(name="ColdFrom")
    warm_up_ms: float = field(name="WarmUp")
    overload_runs_per_core: float = field(name="FallMultiple")
    drain_grace_ms: float = field(name="DrainGrace")


class StartSettings(msgspec.Struct, rename="pascal"):
    """The whole document; keys without a field are ignored."""

    host: HostProperties = field(name="FamilyInfo")
    retry_after: RetryAfterSettings = field(name="Bounds")
    guarantees: PlatformGuarantees
    request_classes: list[RequestClass] = field(name="Services")
    weight_by: str = field(name="ValueBy")
    tier: int = field(name="Layer")
    tenants: list[Tenant] = field(name="Parties", default_factory=list)
    callers: CallerProperties = field(name="Callers", default_factory=CallerProperties)


def admission_settings(settings: StartSettings) -> admission.Settings:
    """Translate the start settings into the settings of the decision module.

    Raises ``KeyError`` for an unknown idempotency, cancel mode or backpressure signal, and ``ValueError`` if there are
    more or fewer degraded weights than request classes.
    """
    host = settings.host
    guarantees = settings.guarantees
    retry_after = settings.retry_after
    classes = tuple(
        admission.ClassSettings(
            latency_objective_ms=request_class.latency_objective_ms,
            objective_stretch=request_class.objective_stretch,
            deadline_ms=request_class.deadline_ms,
            idempotency=IDEMPOTENCY[request_class.idempotency],
            idempotency_window_ms=request_class.idempotency_window_ms,
            priority_weight=request_class.priority_weight,
            late_weight=request_class.late_weight,
            degraded_weight=degraded_weight,
        )
        for request_class, degraded_weight in zip(settings.request_classes, host.degraded_weights, strict=True)
    )
    return admission.Settings(
        classes=classes,
        weight_by_work=settings.weight_by == WEIGHT_BY_WORK,
        callers=host.callers,
        lower_tier=settings.tier > 0,
        cores=host.cores,
        memory_kb=host.memory_kb,
        run_memory_factor=host.run_memory_factor,
        key_memory_kb=host.key_memory_kb,
        warming_up=host.warming_up,
        initial_speed_fraction=guarantees.initial_speed_fraction,
        warm_up_ms=guarantees.warm_up_ms,
        overload_runs_per_core=guarantees.overload_runs_per_core,
        drain_grace_ms=guarantees.drain_grace_ms,
        cancel_mode=CANCEL_MODES[host.cancel_mode],
        backpressure_signal=BACKPRESSURE_SIGNALS[host.backpressure_signal],
        call_quota=host.call_quota if host.downstream == SHARED_DOWNSTREAM else 0.0,
        call_quota_window_ms=host.call_quota_window_ms,
        max_retry_after_ms=retry_after.max_ms if retry_after.enabled else 0.0,
        idle_timeout_ms=host.idle_timeout_ms,
        gauges=tuple(host.gauges),
    )
