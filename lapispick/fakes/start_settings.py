"""Start settings of worker hosts, with the platform's JSON names."""

import copy
from typing import Any

PLATFORM_INFO: dict[str, Any] = {
    "Bounds": {"MaxRetryAfter": 1000.0, "RetryAfter": True},
    "FamilyInfo": {
        "Advert": "level",
        "Below": "shared",
        "CallsOut": 5.0,
        "ClassSkipWorth": [0.3, 0.0],
        "Cold": False,
        "Cores": 2,
        "DepWindow": 5000.0,
        "Halt": "drop",
        "Idle": 30000.0,
        "Gauges": ["core_use", "on_cores", "heap_share", "links"],
        "KbPerKey": 10.0,
        "MemoryKb": 100000.0,
        "RunMemFactor": 8.0,
        "Upstreams": 3,
        "Readiness": True,
        "PassesDeadline": True,
    },
    "Guarantees": {"ColdFrom": 0.2, "DrainGrace": 1800.0, "FallMultiple": 8.0, "WarmUp": 16000.0},
    "Layer": 0,
    "ValueBy": "request",
    "Parties": [{"Name": "shop"}],
    "Services": [
        {
            "GiveUp": 4800.0,
            "Idempotency": "idempotent",
            "LateWorth": 0.0,
            "Name": "track",
            "Promise": 2000.0,
            "Window": 5000.0,
            "Worth": 1.0,
        },
        {
            "GiveUp": 4800.0,
            "Idempotency": "deduplicated",
            "LateWorth": 0.2,
            "Name": "book",
            "Promise": 2000.0,
            "Window": 3000.0,
            "Worth": 5.0,
        },
    ],
}

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}


def make_platform_info(services=(), **family):
    """Return a copy of ``PLATFORM_INFO`` with changes to ``FamilyInfo`` and to ``Services``, in their order."""
    info = copy.deepcopy(PLATFORM_INFO)
    for service, changes in zip(info["Services"], services, strict=False):
        service.update(changes)
    info["FamilyInfo"].update(family)
    return info


def make_start_settings(**overrides):
    """Return the start settings of a worker host without peers, with some of them overridden."""
    return {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "executor": "127.0.0.1:2",
        "roster": "127.0.0.1:3",
        "store": "127.0.0.1:4",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1500,
        "settings": PLATFORM_INFO,
        **overrides,
    }
