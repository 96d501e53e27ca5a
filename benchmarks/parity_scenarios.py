"""The start settings and loads that ``benchmarks/decision_parity.py`` plays, written as the simulator would send them.

The two scenarios named after sites hold values from the middle of the ranges of those site files.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import msgspec

IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE = "idempotent", "deduplicated", "at_most_once"
OBJECTIVE = {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.25}
PRICES = {"Connection": 0.0, "Handshake": 0.0, "LateFail": 0.044, "Origin": 0.01, "Waste": 0.086}


@dataclass(frozen=True)
class ServiceClass:
    """One class of requests; times in ms. ``calls`` is the mean number of downstream calls of one run."""

    name: str
    request_fraction: float
    work_ms: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: str = IDEMPOTENT
    late_weight: float = 0.0
    window: float = 5000.0
    degraded_weight: float = 0.0
    calls: float = 1.0
    objective_stretch: float = 0.0
    write: bool = False


@dataclass(frozen=True)
class Scenario:
    """One start settings object and the load that is played against it."""

    name: str
    classes: tuple[ServiceClass, ...]
    cancel_mode: str = "drop"
    backpressure_signal: str = "level"
    value_by: str = "request"
    below: str = "shared"
    call_quota: float = 5.0
    call_quota_window_ms: float = 5000.0
    warming_up: bool = False
    upstreams: int = 3
    retry_after: bool = True
    max_retry_after: float = 1000.0
    sends_deadline: bool = True
    reports_cancels: bool = True
    readiness: bool = True
    cores: int = 6
    memory_runs: float = 15.0  # mean runs that fit into the memory
    run_factor: float = 8.0
    request_kb: tuple[float, float] = (10.0, 56.0)
    key_kb: float = 60.0
    fresh: float = 0.0
    idle: float = 30000.0
    layer: int = 0
    cold_speed_fraction: float = 0.3
    warm_up: float = 12000.0
    fall_multiple: float = 8.0
    drain_grace: float = 1800.0
    resolution: float = 5.0
    gauges: tuple[str, ...] = ("core_use", "on_cores", "heap_share", "links")
    tenants: int = 0
    # The load; nothing of it is in the settings.
    speed: float = 0.9  # of a core, over the standard one
    load: float = 0.7  # of what the cores can do, on average
    swing: float = 0.3  # of the load, up and down
    swing_ms: float = 9000.0
    hints: bool = False  # requests bring an expected cost
    callers: int = 4
    retry_fraction: float = 0.4  # of the rejected and failed requests that are retried
    unread_ms: float = 15.0  # mean time that a request lay unread, without overload
    call_ms: float = 35.0
    call_fault_fraction: float = 0.15  # of the time in which the dependency has a fault
    mean_lifetime_ms: float = 25000.0  # mean time until an instance is replaced

    @property
    def mean_request_kb(self) -> float:
        """Return the mean memory of a queued request."""
        return sum(self.request_kb) / 2

    @property
    def memory_kb(self) -> float:
        """Return the memory of an instance."""
        return self.memory_runs * self.run_factor * self.mean_request_kb


def start_settings(scenario: Scenario, number: int, warming_up: bool) -> bytes:
    """Return the settings object of one instance as JSON."""
    return msgspec.json.encode(
        {
            "Bounds": _bounds(scenario),
            "Callers": {"MarksRetry": True},
            "FailureDomains": ["zone-a", "zone-b", "zone-c"],
            "FamilyInfo": _family_info(scenario, warming_up),
            "Guarantees": _guarantees(scenario),
            "KindOfService": "server",
            "Layer": scenario.layer,
            "LoadInfo": {"Columns": [], "Source": "off"},
            "Me": number,
            "MyZone": number % 3,
            "ObjectiveMix": OBJECTIVE,
            "OverShareWorth": 0.1,
            "Parties": _parties(scenario.tenants),
            "PeersTotal": 11,
            "Prices": PRICES,
            "Resolution": scenario.resolution,
            "Services": [_service(each) for each in scenario.classes],
            "Stages": ["front", "fleet"],
            "ValueBy": scenario.value_by,
        }
    )


def _bounds(scenario: Scenario) -> dict[str, Any]:
    return {
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 60000,
        "MaxRetryAfter": scenario.max_retry_after,
        "RetryAfter": scenario.retry_after,
    }


def _family_info(scenario: Scenario, warming_up: bool) -> dict[str, Any]:
    return {
        "Advert": scenario.backpressure_signal,
        "Below": scenario.below,
        "CallsByClass": [each.calls > 0 for each in scenario.classes],
        "CallsOut": scenario.call_quota,
        "ClassSkipWorth": [each.degraded_weight for each in scenario.classes],
        "Cold": warming_up,
        "Cores": scenario.cores,
        "DepWindow": scenario.call_quota_window_ms,
        "Fresh": scenario.fresh,
        "FullChecks": True,
        "Gauges": list(scenario.gauges),
        "Halt": scenario.cancel_mode,
        "HangupSeen": scenario.reports_cancels,
        "Idle": scenario.idle,
        "KbPerKey": scenario.key_kb,
        "Linger": 200.0,
        "MemoryKb": scenario.memory_kb,
        "PassesDeadline": scenario.sends_deadline,
        "Readiness": scenario.readiness,
        "RunMemFactor": scenario.run_factor,
        "SaidFor": 1000.0,
        "Upstreams": scenario.upstreams,
    }


def _guarantees(scenario: Scenario) -> dict[str, Any]:
    return {
        "AnswerSlack": 60.0,
        "ColdFrom": scenario.cold_speed_fraction,
        "DrainGrace": scenario.drain_grace,
        "Fall": 1500.0,
        "FallMultiple": scenario.fall_multiple,
        "WarmUp": scenario.warm_up,
    }


def _parties(tenants: int) -> list[dict[str, Any]]:
    return [{"Name": f"tenant-{n}", "QuotaRps": 20.0 + n, "Share": 1 / tenants} for n in range(tenants)]


def _service(each: ServiceClass) -> dict[str, Any]:
    service: dict[str, Any] = {
        "GiveUp": each.deadline_ms,
        "Idempotency": each.idempotency,
        "LateWorth": each.late_weight,
        "Name": each.name,
        "Promise": each.latency_objective_ms,
        "Window": each.window,
        "Worth": each.priority_weight,
    }
    if each.objective_stretch:
        service["AimStretch"] = each.objective_stretch
    return service


DISPATCH_CLASSES = (
    ServiceClass("track", 0.33, 326, 2000, 4800, 1.0, degraded_weight=0.3),
    ServiceClass("quote", 0.32, 326, 2000, 4800, 2.0, degraded_weight=0.3),
    ServiceClass("rider-ping", 0.21, 199, 1200, 3000, 2.0, degraded_weight=0.6),
    ServiceClass("book", 0.15, 326, 2000, 4800, 5.0, DEDUPLICATED, 0.2, 14286.0, write=True),
)
ORDER_CLASSES = (
    ServiceClass("price-check", 0.34, 211, 1300, 3100, 1.0),
    ServiceClass("proof-render", 0.32, 487, 2800, 7200, 2.0, calls=1.5),
    ServiceClass("order-status", 0.26, 211, 1300, 3100, 2.0),
    ServiceClass("place-order", 0.08, 211, 1300, 3100, 5.0, DEDUPLICATED, 0.2, 9195.0, write=True),
)
MIXED_CLASSES = (
    ServiceClass("search", 0.4, 60, 500, 1500, 1.0, degraded_weight=0.5),
    ServiceClass("reserve", 0.3, 90, 800, 2500, 4.0, DEDUPLICATED, 0.3, 6000.0, write=True),
    ServiceClass("notify", 0.3, 45, 600, 1800, 2.0, AT_MOST_ONCE, 0.1, write=True),
)
NO_SKIP_CLASSES = tuple(replace(each, degraded_weight=0.0) for each in MIXED_CLASSES)
STRETCHED_CLASSES = tuple(replace(each, objective_stretch=2.0) for each in MIXED_CLASSES)
MANY_CLASSES = (
    *MIXED_CLASSES,
    ServiceClass("report", 0.1, 250, 1500, 4000, 3.0, late_weight=0.5, calls=2.0),
    ServiceClass("charge", 0.1, 120, 900, 3000, 6.0, DEDUPLICATED, 0.0, 9000.0, 0.2, write=True),
)

DISPATCH_SITE = Scenario(
    "dispatch-bucuresti",
    DISPATCH_CLASSES,
    resolution=2.0,
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
    sends_deadline=False,
    drain_grace=2000.0,
    memory_runs=18.0,
    load=0.85,
    callers=5,
)
SCENARIOS = (
    DISPATCH_SITE,
    replace(DISPATCH_SITE, name="dispatch-overload", load=1.25, swing=0.4, tenants=6, call_fault_fraction=0.3),
    ORDER_SITE,
    replace(ORDER_SITE, name="orders-overload", load=1.4, call_ms=90.0),
    Scenario("light", MIXED_CLASSES, load=0.25, swing=0.1, call_fault_fraction=0.0, backpressure_signal="credit"),
    Scenario("mixed-pause-credit", MIXED_CLASSES, cancel_mode="pause", backpressure_signal="credit", load=1.2),
    Scenario(
        "mixed-drop-weight", MIXED_CLASSES, backpressure_signal="weight", load=1.2, retry_after=False, fresh=800.0
    ),
    Scenario("mixed-off-level", MIXED_CLASSES, cancel_mode="off", load=1.1, hints=True, value_by="work"),
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
        "no-dependency", NO_SKIP_CLASSES, below="off", call_quota=0.0, backpressure_signal="off", load=1.3, hints=True
    ),
    Scenario(
        "lower-tier", STRETCHED_CLASSES, below="tier", layer=1, upstreams=11, callers=11, load=1.0, cancel_mode="off"
    ),
    Scenario("memory-pressure", MANY_CLASSES, memory_runs=5.0, load=0.9, key_kb=12.0, hints=True, upstreams=0),
    Scenario(
        "memory-pause",
        MANY_CLASSES,
        memory_runs=7.0,
        load=1.2,
        key_kb=15.0,
        cancel_mode="pause",
        backpressure_signal="credit",
        value_by="work",
    ),
    Scenario(
        "small-call-share", MANY_CLASSES, call_quota=0.6, call_fault_fraction=0.4, load=0.8, warming_up=True, idle=0.0
    ),
    Scenario(
        "no-hangups", MANY_CLASSES, reports_cancels=False, readiness=False, sends_deadline=False, load=1.1, cores=2
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
    Scenario("unread", MIXED_CLASSES, unread_ms=250.0, load=1.1, callers=80, upstreams=80, idle=5000.0, tenants=3),
    Scenario(
        "short-lives",
        MANY_CLASSES,
        mean_lifetime_ms=3500.0,
        load=0.8,
        warming_up=True,
        warm_up=2500.0,
        backpressure_signal="credit",
    ),
)
