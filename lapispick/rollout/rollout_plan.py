"""Plan of a rollout, which does not change after its start. No I/O."""

from __future__ import annotations

from math import ceil

import msgspec

from lapispick.rollout import pacing

SLICES_PER_BAKE = 60
MIN_SLICE_S = 0.5
MIN_WATCHED_SLICES = 16  # before the first stage; a class with few requests needs several for one comparison


class Plan(msgspec.Struct, frozen=True):
    """Generation, stages and limits of a rollout, stored under the names given to ``field``; times are in seconds."""

    generation: str
    stages: tuple[tuple[str, ...], ...]
    hold_after_stages: tuple[int, ...] = msgspec.field(name="hold", default=())  # from 1; an operator has to resume
    # host -> (zone, machine type)
    host_kinds: dict[str, tuple[str, str]] = msgspec.field(name="kinds", default_factory=dict)
    warm_up_s: float = msgspec.field(name="warm_up", default=20.0)
    min_bake_s: float = msgspec.field(name="bake", default=120.0)
    max_bake_s: float = msgspec.field(name="bake_most", default=900.0)
    confirm_timeout_s: float = msgspec.field(name="confirm", default=1800.0)
    baseline_s: float = msgspec.field(name="watch", default=30.0)  # before the first stage begins
    pace: pacing.Limits = pacing.Limits()
    max_concurrent_rollbacks: int = msgspec.field(name="back_most", default=2)
    unreachable_after_s: float = msgspec.field(name="unreached", default=10.0)
    max_down_fraction: float = msgspec.field(name="fire", default=0.3)  # above it the rollback is suspended
    use_controls: bool = msgspec.field(name="controls", default=True)
    max_memory_fraction: float = msgspec.field(name="memory_most", default=0.9)  # above it the rollout is rolled back
    # Memory limit of hosts whose agent reports none; 0 = no limit.
    default_memory_limit_mb: float = msgspec.field(name="memory_mb", default=0.0)


def slice_duration_s(plan: Plan) -> float:
    """Return the duration of one slice of metrics: a sixtieth of the minimum bake time, at least half a second."""
    return _slice_duration_s(plan.min_bake_s)


def baseline_duration_s(warm_up_s: float, min_bake_s: float) -> float:
    """Return how long hosts are watched before the first stage, for a baseline of the canary analysis."""
    return max(warm_up_s, min_bake_s / 2, MIN_WATCHED_SLICES * _slice_duration_s(min_bake_s))


def _slice_duration_s(min_bake_s: float) -> float:
    return max(MIN_SLICE_S, ceil(min_bake_s / SLICES_PER_BAKE * 10) / 10)
