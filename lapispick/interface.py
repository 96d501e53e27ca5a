"""The module's interface: start settings, events and actions.

All times are milliseconds, all memory kilobytes. Times called ``*_at`` are clock times, the others are spans.
Classes are numbered from 0; no name reaches the decisions. No default here decides anything.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

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


class Outcome(IntEnum):
    """How a run or a downstream call ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


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


class Learned(NamedTuple):
    """What a server has learned of its runs, for a process that takes its place while it is young."""

    cores: tuple[float, ...]  # ms by class, as are the next three
    holds: tuple[float, ...]
    calls: tuple[float, ...]
    in_call: tuple[float, ...]
    counts: tuple[int, ...]  # runs that these rest on
    limit: float
    call_times: tuple[float, float]  # usual and recent, ms
    call_limit: float
    prices: tuple[float, float]  # of hold and cost
    frozen: bool  # the prices were learned


OTHERS = ("other_runs", "other_kb", "other_calls")  # gauges: what another process of this server has in hand


# Events.


class Request(NamedTuple):
    """A request was read and is now held; it is owed one final answer."""

    id: int
    due_at: float  # when the caller stops waiting; 0 = not told
    rank: float  # place in [0, 1) by class worth, lowest first
    age: float  # since it reached the machine
    prior: int  # the request that this one repeats; 0 = none
    cost: float  # expected work; 0 = no hint
    held_kb: float
    cls: int
    caller: int


class Gone(NamedTuple):
    """Nobody waits for this request any more."""

    id: int


class RunEnded(NamedTuple):
    """A run or a join is over."""

    id: int
    outcome: Outcome
    took: float


class NeedsCall(NamedTuple):
    """A running request cannot go on without a downstream call."""

    id: int


class CallEnded(NamedTuple):
    """A downstream call is over."""

    id: int
    outcome: Outcome
    took: float


class Leave(NamedTuple):
    """The server is to leave and is stopped at the given time."""

    stop_at: float
    handed: bool = False  # another process of this server goes on: nothing that came is turned away for it


class TimerFired(NamedTuple):
    """A timer ran out; the gauges come in the order of ``Settings.gauges``."""

    token: int
    gauges: tuple[float, ...]


Event = Request | Gone | RunEnded | NeedsCall | CallEnded | Leave | TimerFired


# Actions.


class Run(NamedTuple):
    """Start a held request."""

    id: int


class Stop(NamedTuple):
    """Stop a running request."""

    id: int


class Refuse(NamedTuple):
    """Final answer: turned away, never ran."""

    id: int
    retry_after: float
    no_retry: bool
    ground: str = ""  # the bound that it met, for those who look; no caller is told


class Fail(NamedTuple):
    """Final answer: failed; promises nothing."""

    id: int


class Call(NamedTuple):
    """Make the call that a request waits for."""

    id: int
    timeout: float


class GoWithout(NamedTuple):
    """Go on without the call."""

    id: int


class Join(NamedTuple):
    """Answer a held request with the result of the one it repeats."""

    id: int


class KeepKey(NamedTuple):
    """Put a request in the table of keys for a span."""

    id: int
    span: float


class ForgetKey(NamedTuple):
    """Take a request's entry out of the table of keys."""

    id: int


class SetHealth(NamedTuple):
    """Answer health checks so from now on; from store: without work for each check."""

    good: bool
    from_store: bool


class LimitIdle(NamedTuple):
    """Close connections that carried nothing for this long; 0 = as late as can be."""

    span: float


class Advertise(NamedTuple):
    """The value that goes out with every answer from now on."""

    value: float


class SetTimer(NamedTuple):
    """Ask for a ``TimerFired`` after a span."""

    after: float
    token: int


class Log(NamedTuple):
    """A line for those on call."""

    text: str


Action = (
    Run
    | Stop
    | Refuse
    | Fail
    | Call
    | GoWithout
    | Join
    | KeepKey
    | ForgetKey
    | SetHealth
    | LimitIdle
    | Advertise
    | SetTimer
    | Log
)
