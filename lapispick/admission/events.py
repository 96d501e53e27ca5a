"""The events that the decision module is handed.

All times are milliseconds, all memory is in kilobytes. Times called ``*_at`` are clock times, the others are spans.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from lapispick.admission.shadow_prices import Prices


class Outcome(IntEnum):
    """How a run or a downstream call ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    ABANDONED = 7


class CallTimes(NamedTuple):
    """Moving averages of the time that a downstream call takes, in ms."""

    usual_ms: float
    recent_ms: float


class LearnedEstimates(NamedTuple):
    """What a server has learned of its runs, for a process that takes its place; sent and stored by position."""

    core_ms: tuple[float, ...]  # mean times by class: on the cores,
    run_ms: tuple[float, ...]  # in total,
    blocked_ms: tuple[float, ...]  # from needing a call to going on,
    call_ms: tuple[float, ...]  # with a call in flight
    runs: tuple[int, ...]  # that these rest on, by class
    concurrency_limit: float
    call_times: CallTimes
    call_limit: float
    prices: Prices
    prices_frozen: bool  # they were learned


# Names in ``Settings.gauges``.
CORE_USE_GAUGE = "core_use"  # fraction of the cores that is busy
ON_CORES_GAUGE = "on_cores"  # threads on the cores now
PEER_RUNS_GAUGE = "other_runs"  # running requests of another process of this server
PEER_MEMORY_GAUGE = "other_kb"  # its memory in KB
PEER_CALLS_GAUGE = "other_calls"  # its downstream calls in flight
PEER_GAUGES = (PEER_RUNS_GAUGE, PEER_MEMORY_GAUGE, PEER_CALLS_GAUGE)


class RequestReceived(NamedTuple):
    """A request was read and is owed one final answer."""

    id: int
    deadline_at: float  # when the client stops waiting; 0 = unknown
    rank: float  # place in [0, 1) by priority weight, lowest first
    age_ms: float  # since it reached the machine
    retry_of: int  # the request that this one repeats; 0 = none
    cost: float  # expected work; 0 = no hint
    request_memory_kb: float  # while it is queued
    class_index: int
    caller: int


class ClientCancelled(NamedTuple):
    """Nobody waits for this request any more."""

    id: int


class RunCompleted(NamedTuple):
    """A run is over, or the run that a coalesced request waited for."""

    id: int
    outcome: Outcome
    duration_ms: float


class CallRequested(NamedTuple):
    """A running request waits for a downstream call."""

    id: int


class CallCompleted(NamedTuple):
    """A downstream call is over."""

    id: int
    outcome: Outcome
    duration_ms: float


class ShutdownRequested(NamedTuple):
    """The server is to drain and is stopped at the given time."""

    stop_at: float
    handed_over: bool = False  # another process of this server continues: nothing is rejected for the shutdown


class TimerFired(NamedTuple):
    """A timer ran out; the gauges come in the order of ``Settings.gauges``."""

    token: int
    gauges: tuple[float, ...]


Event = (
    RequestReceived | ClientCancelled | RunCompleted | CallRequested | CallCompleted | ShutdownRequested | TimerFired
)
