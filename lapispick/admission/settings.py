"""What the decision module is told at its start.

All times are milliseconds, all memory is in kilobytes. Classes are numbered from 0. No default here decides anything.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Effect(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Halting(Enum):
    """What stopping a run does: not possible, work lost, or work paused."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class Advert(Enum):
    """What callers do with the advertised value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class ClassSettings(msgspec.Struct, frozen=True):
    """What is known of one class of requests."""

    aim_ms: float  # an answer within this span of the first try earns the full worth
    aim_stretch: float  # the aim grows by this times the work of the request
    deadline_ms: float  # how long a client waits in total
    effect: Effect
    window_ms: float  # keyed: a request can come again within this span
    worth: float
    late_worth: float  # part of the worth for an answer after the aim
    skip_worth: float  # part of the worth for an answer that left a call out; 0 = calls cannot be left out


class Settings(msgspec.Struct, frozen=True):
    """What a server is told at its start."""

    classes: tuple[ClassSettings, ...]
    worth_by_work: bool  # worth counts for each unit of work, not for each request
    callers: int  # callers of this tier at the start; 0 = not told
    lower_tier: bool  # requests come from a tier of our own that already worked on them
    cores: int
    memory_kb: float
    run_factor: float  # memory of a running request over that of a held one
    key_kb: float  # memory of one kept key
    cold: bool  # started just now, not yet at full speed
    cold_from: float  # least share of the speed at a cold start
    warm_up_ms: float  # warm after this at the latest
    fall_multiple: float  # requests on the cores for each core that a warm server survives
    drain_grace_ms: float
    halt: Halting
    advert: Advert
    calls_out: float  # mean calls in hand that are this server's share; 0 = not limited
    calls_window_ms: float  # the span of that mean
    max_retry_after_ms: float  # 0 = retry-after is not passed on
    idle_ms: float  # callers close a connection that carried nothing for this long; 0 = not told
    gauges: tuple[str, ...]  # names of the values a timer brings

    def validate(self) -> None:
        """Raise ``ValueError`` for settings that contradict themselves."""
        if not self.classes or self.cores < 1 or self.memory_kb <= 0 or self.callers < 0:
            raise ValueError("there must be a class, cores and memory must be positive, callers not negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from is a share of the speed, over 0 and at most 1")
        for i, c in enumerate(self.classes):
            if not 0 < c.aim_ms <= c.deadline_ms:
                raise ValueError(f"class {i}: the aim must be positive and no later than the deadline")
            if c.effect is Effect.KEYED and c.window_ms <= 0:
                raise ValueError(f"class {i}: a keyed class needs a window")
