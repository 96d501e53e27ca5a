"""The input events of the decision module.

All times are in milliseconds, all memory sizes in kilobytes. Fields named ``*_at`` are clock times, all other times are
durations.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from lapispick.admission.shadow_prices import Prices


class Outcome(IntEnum):
    """Outcome of a run or a downstream call."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    ABANDONED = 7


class CallTimes(NamedTuple):
    """Moving averages of the duration of a downstream call, in ms: over many calls and over the last few."""

    usual_ms: float
    recent_ms: float


class LearnedEstimates(NamedTuple):
    """Estimates learned from completed runs, for the process that replaces this one.

    Encoded as an array, so the order of the fields is part of the format. The first five fields have one entry for
    each class.
    """

    core_ms: tuple[float, ...]  # mean time on the cores
    run_ms: tuple[float, ...]  # mean total run time
    blocked_ms: tuple[float, ...]  # mean time from requesting a downstream call until the run resumes
    call_ms: tuple[float, ...]  # mean time with a call in flight
    runs: tuple[int, ...]  # number of runs that the means are based on, up to the span of the moving average
    concurrency_limit: float
    call_times: CallTimes
    call_limit: float
    prices: Prices
    prices_frozen: bool  # True once the prices were learned from a sample; they stay the same from then on


# Gauge names in ``Settings.gauges``.
CORE_USE_GAUGE = "core_use"  # fraction of the cores that is busy
ON_CORES_GAUGE = "on_cores"  # number of threads that are on the cores at present
PEER_RUNS_GAUGE = "other_runs"  # running requests of the peer, another process of this server
PEER_MEMORY_GAUGE = "other_kb"  # memory used by the peer, in KB
PEER_CALLS_GAUGE = "other_calls"  # downstream calls of the peer in flight
PEER_GAUGES = (PEER_RUNS_GAUGE, PEER_MEMORY_GAUGE, PEER_CALLS_GAUGE)


class RequestReceived(NamedTuple):
    """A request was read; it must get exactly one final answer."""

    id: int
    deadline_at: float  # when the client stops waiting; 0 = unknown
    rank: float  # position in [0, 1) in the order of priority weights, lowest first
    age_ms: float  # time since the request reached the machine
    retry_of: int  # id of the attempt that this request repeats; 0 = none
    cost: float  # expected work; 0 = no hint
    request_memory_kb: float  # memory that the request takes while it is queued
    class_index: int
    caller: int


class ClientCancelled(NamedTuple):
    """The client no longer waits for this request."""

    id: int


class RunCompleted(NamedTuple):
    """The run of a request ended; for a coalesced request, the run whose result it waits for."""

    id: int
    outcome: Outcome
    duration_ms: float


class CallRequested(NamedTuple):
    """A running request needs a downstream call before it can continue."""

    id: int


class CallCompleted(NamedTuple):
    """A downstream call ended."""

    id: int
    outcome: Outcome
    duration_ms: float


class ShutdownRequested(NamedTuple):
    """The server must drain; its process is stopped at ``stop_at``."""

    stop_at: float
    handed_over: bool = False  # another process of this server takes over: no request is rejected for the shutdown


class TimerFired(NamedTuple):
    """A timer expired; ``gauges`` has the gauge values in the order of ``Settings.gauges``."""

    token: int
    gauges: tuple[float, ...]


Event = (
    RequestReceived | ClientCancelled | RunCompleted | CallRequested | CallCompleted | ShutdownRequested | TimerFired
)
