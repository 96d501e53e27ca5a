"""Start settings and loads of ``benchmarks/decision_parity.py``; the settings have the form that the simulator sends.

The two scenarios named after sites use values from the middle of the ranges of these site files.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import msgspec

IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE = "idempotent", "deduplicated", "at_most_once"
OBJECTIVE = {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.25}
PRICES = {"Connection": 0.0, "Handshake": 0.0, "LateFail": 0.044, "Origin": 0.01, "Waste": 0.086}


@dataclass(frozen=True)
class RequestClass:
    """Request class; times in ms. ``calls`` is the mean number of downstream calls of one run."""

    name: str
    request_fraction: float
    work_ms: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: str = IDEMPOTENT
    late_weight: float = 0.0
    idempotency_window_ms: float = 5000.0
    degraded_weight: float = 0.0
    calls: float = 1.0
    objective_stretch: float = 0.0
    is_write: bool = False


@dataclass(frozen=True)
class Scenario:
    """Start settings of a server and the load on it; times in ms."""

    name: str
    classes: tuple[RequestClass, ...]
    cancel_mode: str = "drop"
    backpressure_signal: str = "level"
    weight_by: str = "request"
    downstream: str = "shared"
    call_quota: float = 5.0
    call_quota_window_ms: float = 5000.0
    warming_up: bool = False
    upstreams: int = 3
    sends_retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    callers_send_deadline: bool = True
    reports_cancels: bool = True
    callers_check_health: bool = True
    cores: int = 6
    memory_capacity_runs: float = 15.0  # number of runs of mean size that fit into the memory
    run_memory_factor: float = 8.0
    request_memory_kb: tuple[float, float] = (10.0, 56.0)
    key_memory_kb: float = 60.0
    freshness_ms: float = 0.0  # above 0, idempotent requests name an equal open request as the one they repeat
    idle_timeout_ms: float = 30000.0
    tier: int = 0
    initial_speed_fraction: float = 0.3
    warm_up_ms: float = 12000.0
    overload_runs_per_core: float = 8.0
    drain_grace_ms: float = 1800.0
    resolution_ms: float = 5.0
    gauges: tuple[str, ...] = ("core_use", "on_cores", "heap_share", "links")
    tenants: int = 0
    # The load, which is not part of the settings.
    speed: float = 0.9  # of a core, relative to a standard core
    load: float = 0.7  # mean load as a fraction of the capacity of the cores
    load_swing: float = 0.3  # amplitude of the variation, as a fraction of the load
    load_swing_period_ms: float = 9000.0
    sends_cost_hints: bool = False  # requests have an expected cost
    callers: int = 4
    retry_fraction: float = 0.4  # fraction of rejected and failed requests that are retried
    unread_ms: float = 15.0  # mean time from arrival to reading of a request, without overload
    call_ms: float = 35.0
    call_fault_fraction: float = 0.15  # fraction of time in which the dependency has a fault
    mean_lifetime_ms: float = 25000.0  # mean time until an instance is replaced

    @property
    def mean_request_memory_kb(self) -> float:
        """Return the mean memory of a queued request in KB."""
        return sum(self.request_memory_kb) / 2

    @property
    def memory_kb(self) -> float:
        """Return the memory of an instance in KB."""
        return self.memory_capacity_runs * self.run_memory_factor * self.mean_request_memory_kb


def start_settings(scenario: Scenario, number: int, warming_up: bool) -> bytes:
    """Return the start settings of one instance as JSON."""
    return msgspec.json.encode(
        {
            "Bounds": _bounds(scenario),
            "Callers": {"MarksRetry": True},
            "FailureDomains": ["zone-a", "zone-b", "zone-c"],
            "FamilyInfo": _family_info(scenario, warming_up),
            "Guarantees": _guarantees(scenario),
            "KindOfService": "server",
            "Layer": scenario.tier,
            "LoadInfo": {"Columns": [], "Source": "off"},
            "Me": number,
            "MyZone": number % 3,
            "ObjectiveMix": OBJECTIVE,
            "OverShareWorth": 0.1,
            "Parties": _parties(scenario.tenants),
            "PeersTotal": 11,
            "Prices": PRICES,
            "Resolution": scenario.resolution_ms,
            "Services": [_request_class_settings(request_class) for request_class in scenario.classes],
            "Stages": ["front", "fleet"],
            "ValueBy": scenario.weight_by,
        }
    )


def _bounds(scenario: Scenario) -> dict[str, Any]:
    return {
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 60000,
        "MaxRetryAfter": scenario.max_retry_after_ms,
        "RetryAfter": scenario.sends_retry_after,
    }


def _family_info(scenario: Scenario, warming_up: bool) -> dict[str, Any]:
    return {
        "Advert": scenario.backpressure_signal,
        "Below": scenario.downstream,
        "CallsByClass": [request_class.calls > 0 for request_class in scenario.classes],
        "CallsOut": scenario.call_quota,
        "ClassSkipWorth": [request_class.degraded_weight for request_class in scenario.classes],
        "Cold": warming_up,
        "Cores": scenario.cores,
        "DepWindow": scenario.call_quota_window_ms,
        "Fresh": scenario.freshness_ms,
        "FullChecks": True,
        "Gauges": list(scenario.gauges),
        "Halt": scenario.cancel_mode,
        "HangupSeen": scenario.reports_cancels,
        "Idle": scenario.idle_timeout_ms,
        "KbPerKey": scenario.key_memory_kb,
        "Linger": 200.0,
        "MemoryKb": scenario.memory_kb,
        "PassesDeadline": scenario.callers_send_deadline,
        "Readiness": scenario.callers_check_health,
        "RunMemFactor": scenario.run_memory_factor,
        "SaidFor": 1000.0,
        "Upstreams": scenario.upstreams,
    }


def _guarantees(scenario: Scenario) -> dict[str, Any]:
    return {
        "AnswerSlack": 60.0,
        "ColdFrom": scenario.initial_speed_fraction,
        "DrainGrace": scenario.drain_grace_ms,
        "Fall": 1500.0,
        "FallMultiple": scenario.overload_runs_per_core,
        "WarmUp": scenario.warm_up_ms,
    }


def _parties(tenants: int) -> list[dict[str, Any]]:
    return [{"Name": f"tenant-{n}", "QuotaRps": 20.0 + n, "Share": 1 / tenants} for n in range(tenants)]


def _request_class_settings(request_class: RequestClass) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "GiveUp": request_class.deadline_ms,
        "Idempotency": request_class.idempotency,
        "LateWorth": request_class.late_weight,
        "Name": request_class.name,
        "Promise": request_class.latency_objective_ms,
        "Window": request_class.idempotency_window_ms,
        "Worth": request_class.priority_weight,
    }
    if request_class.objective_stretch:
        settings["AimStretch"] = request_class.objective_stretch
    return settings


DISPATCH_CLASSES = (
    RequestClass("track", 0.33, 326, 2000, 4800, 1.0, degraded_weight=0.3),
    RequestClass("quote", 0.32, 326, 2000, 4800, 2.0, degraded_weight=0.3),
    RequestClass("rider-ping", 0.21, 199, 1200, 3000, 2.0, degraded_weight=0.6),
    RequestClass("book", 0.15, 326, 2000, 4800, 5.0, DEDUPLICATED, 0.2, 14286.0, is_write=True),
)
ORDER_CLASSES = (
    RequestClass("price-check", 0.34, 211, 1300, 3100, 1.0),
    RequestClass("proof-render", 0.32, 487, 2800, 7200, 2.0, calls=1.5),
    RequestClass("order-status", 0.26, 211, 1300, 3100, 2.0),
    RequestClass("place-order", 0.08, 211, 1300, 3100, 5.0, DEDUPLICATED, 0.2, 9195.0, is_write=True),
)
MIXED_CLASSES = (
    RequestClass("search", 0.4, 60, 500, 1500, 1.0, degraded_weight=0.5),
    RequestClass("reserve", 0.3, 90, 800, 2500, 4.0, DEDUPLICATED, 0.3, 6000.0, is_write=True),
    RequestClass("notify", 0.3, 45, 600, 1800, 2.0, AT_MOST_ONCE, 0.1, is_write=True),
)
NO_SKIP_CLASSES = tuple(replace(request_class, degraded_weight=0.0) for request_class in MIXED_CLASSES)
STRETCHED_CLASSES = tuple(replace(request_class, objective_stretch=2.0) for request_class in MIXED_CLASSES)
MANY_CLASSES = (
    *MIXED_CLASSES,
    RequestClass("report", 0.1, 250, 1500, 4000, 3.0, late_weight=0.5, calls=2.0),
    RequestClass("charge", 0.1, 120, 900, 3000, 6.0, DEDUPLICATED, 0.0, 9000.0, 0.2, is_write=True),
)

DISPATCH_SITE = Scenario(
    "dispatch-bucuresti",
    DISPATCH_CLASSES,
    resolution_ms=2.0,
    load=0.75,
    tenants=6,
    unread_ms=40.0,
    call_fault_fraction=0.2,
)
ORDER_SITE = Scenario(
    "dar-main",
    ORDER_CLASSES,
    cancel_mode="pause",
    backpressure_signal="off",
    callers_send_deadline=False,
    drain_grace_ms=2000.0,
    memory_capacity_runs=18.0,
    load=0.85,
    callers=5,
)
SCENARIOS = (
    DISPATCH_SITE,
    replace(DISPATCH_SITE, name="dispatch-overload", load=1.25, load_swing=0.4, tenants=6, call_fault_fraction=0.3),
    ORDER_SITE,
    replace(ORDER_SITE, name="orders-overload", load=1.4, call_ms=90.0),
    Scenario("light", MIXED_CLASSES, load=0.25, load_swing=0.1, call_fault_fraction=0.0, backpressure_signal="credit"),
    Scenario("mixed-pause-credit", MIXED_CLASSES, cancel_mode="pause", backpressure_signal="credit", load=1.2),
    Scenario(
        "mixed-drop-weight",
        MIXED_CLASSES,
        backpressure_signal="weight",
        load=1.2,
        sends_retry_after=False,
        freshness_ms=800.0,
    ),
    Scenario("mixed-off-level", MIXED_CLASSES, cancel_mode="off", load=1.1, sends_cost_hints=True, weight_by="work"),
    Scenario(
        "no-skip-pause",
        NO_SKIP_CLASSES,
        cancel_mode="pause",
        backpressure_signal="weight",
        load=1.0,
        call_quota=2.0,
        warming_up=True,
    ),
    Scenario(
        "no-dependency",
        NO_SKIP_CLASSES,
        downstream="off",
        call_quota=0.0,
        backpressure_signal="off",
        load=1.3,
        sends_cost_hints=True,
    ),
    Scenario(
        "lower-tier",
        STRETCHED_CLASSES,
        downstream="tier",
        tier=1,
        upstreams=11,
        callers=11,
        load=1.0,
        cancel_mode="off",
    ),
    Scenario(
        "memory-pressure",
        MANY_CLASSES,
        memory_capacity_runs=5.0,
        load=0.9,
        key_memory_kb=12.0,
        sends_cost_hints=True,
        upstreams=0,
    ),
    Scenario(
        "memory-pause",
        MANY_CLASSES,
        memory_capacity_runs=7.0,
        load=1.2,
        key_memory_kb=15.0,
        cancel_mode="pause",
        backpressure_signal="credit",
        weight_by="work",
    ),
    Scenario(
        "small-call-share",
        MANY_CLASSES,
        call_quota=0.6,
        call_fault_fraction=0.4,
        load=0.8,
        warming_up=True,
        idle_timeout_ms=0.0,
    ),
    Scenario(
        "no-hangups",
        MANY_CLASSES,
        reports_cancels=False,
        callers_check_health=False,
        callers_send_deadline=False,
        load=1.1,
        cores=2,
    ),
    Scenario(
        "slow-dependency",
        MANY_CLASSES,
        call_ms=250.0,
        call_quota=9.0,
        call_fault_fraction=0.5,
        load=0.9,
        cancel_mode="pause",
    ),
    Scenario(
        "unread", MIXED_CLASSES, unread_ms=250.0, load=1.1, callers=80, upstreams=80, idle_timeout_ms=5000.0, tenants=3
    ),
    Scenario(
        "short-lives",
        MANY_CLASSES,
        mean_lifetime_ms=3500.0,
        load=0.8,
        warming_up=True,
        warm_up_ms=2500.0,
        backpressure_signal="credit",
    ),
)
