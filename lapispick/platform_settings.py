"""The start settings as the simulator and the platform give them, translated for the module."""

from __future__ import annotations

import msgspec

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


class Service(msgspec.Struct, rename="pascal"):
    """One class of requests."""

    name: str
    promise: float
    give_up: float
    idempotency: str
    window: float
    worth: float
    late_worth: float
    aim_stretch: float = 0.0


class Party(msgspec.Struct, rename="pascal"):
    """One tenant."""

    name: str


class FamilyInfo(msgspec.Struct, rename="pascal"):
    """Properties of this server and its site."""

    below: str
    class_skip_worth: list[float]
    cores: int
    memory_kb: float
    run_mem_factor: float
    kb_per_key: float
    cold: bool
    halt: str
    advert: str
    calls_out: float
    dep_window: float
    gauges: list[str]
    upstreams: int = 0
    idle: float = 0.0
    readiness: bool = False
    passes_deadline: bool = False


class Bounds(msgspec.Struct, rename="pascal"):
    """What the site permits."""

    max_retry_after: float
    retry_after: bool


class Guarantees(msgspec.Struct, rename="pascal"):
    """The figures of the four rules."""

    cold_from: float
    warm_up: float
    fall_multiple: float
    drain_grace: float


class Info(msgspec.Struct, rename="pascal"):
    """The settings object; keys that are not used here are skipped."""

    family_info: FamilyInfo
    bounds: Bounds
    guarantees: Guarantees
    services: list[Service]
    value_by: str
    layer: int
    parties: list[Party] = []


def settings_from(info: Info) -> admission.Settings:
    """Translate the start settings for the module."""
    fam, rules = info.family_info, info.guarantees
    classes = tuple(
        admission.ClassSettings(
            latency_objective_ms=c.promise,
            objective_stretch=c.aim_stretch,
            deadline_ms=c.give_up,
            idempotency=IDEMPOTENCY[c.idempotency],
            idempotency_window_ms=c.window,
            priority_weight=c.worth,
            late_weight=c.late_worth,
            degraded_weight=skip,
        )
        for c, skip in zip(info.services, fam.class_skip_worth, strict=True)
    )
    return admission.Settings(
        classes=classes,
        weight_by_work=info.value_by == "work",
        callers=fam.upstreams,
        lower_tier=info.layer > 0,
        cores=fam.cores,
        memory_kb=fam.memory_kb,
        run_memory_factor=fam.run_mem_factor,
        key_memory_kb=fam.kb_per_key,
        warming_up=fam.cold,
        cold_speed_fraction=rules.cold_from,
        warm_up_ms=rules.warm_up,
        overload_runs_per_core=rules.fall_multiple,
        drain_grace_ms=rules.drain_grace,
        cancel_mode=CANCEL_MODES[fam.halt],
        backpressure_signal=BACKPRESSURE_SIGNALS[fam.advert],
        call_quota=fam.calls_out if fam.below == "shared" else 0.0,
        call_quota_window_ms=fam.dep_window,
        max_retry_after_ms=info.bounds.max_retry_after if info.bounds.retry_after else 0.0,
        idle_timeout_ms=fam.idle,
        gauges=tuple(fam.gauges),
    )
