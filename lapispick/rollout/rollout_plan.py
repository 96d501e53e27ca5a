"""What a rollout is to do, fixed when it starts. No I/O."""

from __future__ import annotations

from math import ceil

import msgspec

from lapispick.rollout import pacing

SLICES_PER_BAKE = 60
MIN_SLICE_S = 0.5


class Plan(msgspec.Struct, frozen=True):
    """A rollout's generation, stages and limits; times are in seconds. Stored under the names given to ``field``."""

    generation: str
    stages: tuple[tuple[str, ...], ...]
    hold_after_stages: tuple[int, ...] = msgspec.field(name="hold", default=())  # from 1; an operator resumes
    host_kinds: dict[str, tuple[str, str]] = msgspec.field(name="kinds", default_factory=dict)  # -> zone, machine
    warm_up_s: float = msgspec.field(name="warm_up", default=20.0)
    min_bake_s: float = msgspec.field(name="bake", default=120.0)
    max_bake_s: float = msgspec.field(name="bake_most", default=900.0)
    confirm_timeout_s: float = msgspec.field(name="confirm", default=1800.0)
    baseline_s: float = msgspec.field(name="watch", default=30.0)  # before the first stage
    pace: pacing.Limits = pacing.Limits()
    max_concurrent_rollbacks: int = msgspec.field(name="back_most", default=2)
    unreachable_after_s: float = msgspec.field(name="unreached", default=10.0)
    max_down_fraction: float = msgspec.field(name="fire", default=0.3)  # over it no host is rolled back any more
    use_controls: bool = msgspec.field(name="controls", default=True)
    max_memory_fraction: float = msgspec.field(name="memory_most", default=0.9)  # over it the rollout stops
    default_memory_limit_mb: float = msgspec.field(name="memory_mb", default=0.0)  # where agents report none; 0 = any


def slice_duration_s(plan: Plan) -> float:
    """Return the duration of one slice of metrics: a sixtieth of the bake, and at least half a second."""
    return max(MIN_SLICE_S, ceil(plan.min_bake_s / SLICES_PER_BAKE * 10) / 10)
