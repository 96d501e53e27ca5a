"""Settings of two sites, as their pages state them, in the form of the platform's configuration."""

import copy

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 512}
_GUARANTEES = {
    "AnswerSlack": 60.0,
    "ColdFrom": 0.2,
    "DrainGrace": 1800.0,
    "Fall": 1500.0,
    "FallMultiple": 8.0,
    "WarmUp": 16000.0,
}
_FAMILY = {
    "Advert": "level",
    "Below": "shared",
    "CallsByClass": [True, True, True, True],
    "CallsOut": 5.0,
    "ClassSkipWorth": [0.3, 0.3, 0.6, 0.0],
    "Cold": False,
    "Cores": 6,
    "DepWindow": 5000.0,
    "Fresh": 0.0,
    "FullChecks": True,
    "Gauges": ["core_use", "on_cores", "heap_share", "links"],
    "Halt": "drop",
    "HangupSeen": True,
    "Idle": 30000.0,
    "KbPerKey": 114.89,
    "Linger": 200.0,
    "MemoryKb": 29508.0,
    "PassesDeadline": True,
    "Readiness": True,
    "RunMemFactor": 8.0,
    "SaidFor": 1000.0,
    "Upstreams": 3,
}


def _service(name, promise, give_up, worth, kind="idempotent", window=5000.0, late_worth=0.0):
    return {
        "GiveUp": give_up,
        "Idempotency": kind,
        "LateWorth": late_worth,
        "Name": name,
        "Promise": promise,
        "Window": window,
        "Worth": worth,
    }


_COMMON = {
    "Bounds": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 60000, "MaxRetryAfter": 1000.0, "RetryAfter": True},
    "KindOfService": "server",
    "Layer": 0,
    "Resolution": 2.0,
    "ValueBy": "request",
}

DISPATCH_TENANTS = (
    "piata-obor",
    "farmacia-dacia",
    "pizzeria-colt",
    "librarie-veche",
    "florarie-lalea",
    "cofetaria-mica",
)

DISPATCH = {
    **_COMMON,
    "Callers": {"MarksRetry": True},
    "FamilyInfo": _FAMILY,
    "Guarantees": _GUARANTEES,
    "Parties": [{"Name": name, "QuotaRps": 25.0, "Share": 0.16} for name in DISPATCH_TENANTS],
    "Services": [
        _service("track", 2000.0, 4800.0, 1.0),
        _service("quote", 2000.0, 4800.0, 2.0),
        _service("rider-ping", 1200.0, 3000.0, 2.0),
        _service("book", 2000.0, 4800.0, 5.0, "deduplicated", 14286.0, 0.2),
    ],
}

DAR = {
    **_COMMON,
    "Callers": {"MarksRetry": False},
    "FamilyInfo": {
        **_FAMILY,
        "Advert": "off",
        "ClassSkipWorth": [0.0, 0.0, 0.0, 0.0],
        "Halt": "pause",
        "PassesDeadline": False,
    },
    "Guarantees": {**_GUARANTEES, "ColdFrom": 0.24, "DrainGrace": 2000.0, "WarmUp": 17000.0},
    "Services": [
        _service("price-check", 1300.0, 3100.0, 1.0),
        _service("proof-render", 2800.0, 7200.0, 2.0),
        _service("order-status", 1300.0, 3100.0, 2.0),
        _service("place-order", 1300.0, 3100.0, 5.0, "deduplicated", 9195.0, 0.2),
    ],
}


def config(settings, **addresses):
    """Return the platform's configuration of one worker host."""
    return {
        "name": "n3",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": LIMITS,
        "settings": copy.deepcopy(settings),
        **addresses,
    }
