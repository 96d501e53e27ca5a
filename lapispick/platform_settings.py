"""The start settings as the simulator and the platform give them, translated for the decision module.

Classes are named after the keys of the document; fields have the field's terms, with the key beside them. Times are
milliseconds.
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

SHARED_DOWNSTREAM = "shared"  # a dependency that other servers call too
VALUE_BY_WORK = "work"


class Service(msgspec.Struct, rename="pascal"):
    """One class of requests."""

    name: str
    latency_objective_ms: float = field(name="Promise")
    deadline_ms: float = field(name="GiveUp")
    idempotency: str
    idempotency_window_ms: float = field(name="Window")
    priority_weight: float = field(name="Worth")
    late_weight: float = field(name="LateWorth")
    objective_stretch: float = field(name="AimStretch", default=0.0)


class Party(msgspec.Struct, rename="pascal"):
    """One tenant."""

    name: str


class FamilyInfo(msgspec.Struct, rename="pascal"):
    """Properties of this server and its site."""

    downstream: str = field(name="Below")
    degraded_weights: list[float] = field(name="ClassSkipWorth")  # by class
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
    passes_deadline: bool = False


class Bounds(msgspec.Struct, rename="pascal"):
    """What the site permits."""

    max_retry_after_ms: float = field(name="MaxRetryAfter")
    retry_after: bool


class Guarantees(msgspec.Struct, rename="pascal"):
    """What the rules on a server state in figures."""

    cold_speed_fraction: float = field(name="ColdFrom")
    warm_up_ms: float = field(name="WarmUp")
    overload_runs_per_core: float = field(name="FallMultiple")
    drain_grace_ms: float = field(name="DrainGrace")


class Info(msgspec.Struct, rename="pascal"):
    """The whole document; keys that are not used here are skipped."""

    family_info: FamilyInfo
    bounds: Bounds
    guarantees: Guarantees
    services: list[Service]
    value_by: str
    layer: int
    parties: list[Party] = []


def settings_from(info: Info) -> admission.Settings:
    """Translate the start settings; raises ``KeyError`` for an unknown word and ``ValueError`` for a wrong count."""
    server = info.family_info
    guarantees = info.guarantees
    classes = tuple(
        admission.ClassSettings(
            latency_objective_ms=service.latency_objective_ms,
            objective_stretch=service.objective_stretch,
            deadline_ms=service.deadline_ms,
            idempotency=IDEMPOTENCY[service.idempotency],
            idempotency_window_ms=service.idempotency_window_ms,
            priority_weight=service.priority_weight,
            late_weight=service.late_weight,
            degraded_weight=degraded_weight,
        )
        for service, degraded_weight in zip(info.services, server.degraded_weights, strict=True)
    )
    return admission.Settings(
        classes=classes,
        weight_by_work=info.value_by == VALUE_BY_WORK,
        callers=server.callers,
        lower_tier=info.layer > 0,
        cores=server.cores,
        memory_kb=server.memory_kb,
        run_memory_factor=server.run_memory_factor,
        key_memory_kb=server.key_memory_kb,
        warming_up=server.warming_up,
        cold_speed_fraction=guarantees.cold_speed_fraction,
        warm_up_ms=guarantees.warm_up_ms,
        overload_runs_per_core=guarantees.overload_runs_per_core,
        drain_grace_ms=guarantees.drain_grace_ms,
        cancel_mode=CANCEL_MODES[server.cancel_mode],
        backpressure_signal=BACKPRESSURE_SIGNALS[server.backpressure_signal],
        call_quota=server.call_quota if server.downstream == SHARED_DOWNSTREAM else 0.0,
        call_quota_window_ms=server.call_quota_window_ms,
        max_retry_after_ms=info.bounds.max_retry_after_ms if info.bounds.retry_after else 0.0,
        idle_timeout_ms=server.idle_timeout_ms,
        gauges=tuple(server.gauges),
    )
