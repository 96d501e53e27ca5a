"""The events that the decision module is handed.

All times are milliseconds, all memory is in kilobytes. Times called ``*_at`` are clock times, the others are spans.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


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


class LearnedEstimates(NamedTuple):
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


PEER_GAUGES = ("other_runs", "other_kb", "other_calls")  # gauges: what another process of this server has in hand


class RequestReceived(NamedTuple):
    """A request was read and is now held; it is owed one final answer."""

    id: int
    deadline_at: float  # when the caller stops waiting; 0 = not told
    rank: float  # place in [0, 1) by priority weight, lowest first
    age_ms: float  # since it reached the machine
    retry_of: int  # the request that this one repeats; 0 = none
    cost: float  # expected work; 0 = no hint
    request_memory_kb: float  # while it is queued
    cls: int
    caller: int


class ClientCancelled(NamedTuple):
    """Nobody waits for this request any more."""

    id: int


class RunCompleted(NamedTuple):
    """A run or a join is over."""

    id: int
    outcome: Outcome
    duration_ms: float


class CallRequested(NamedTuple):
    """A running request cannot go on without a downstream call."""

    id: int


class CallCompleted(NamedTuple):
    """A downstream call is over."""

    id: int
    outcome: Outcome
    duration_ms: float


class ShutdownRequested(NamedTuple):
    """The server is to leave and is stopped at the given time."""

    stop_at: float
    handed_over: bool = False  # another process of this server goes on: nothing that came is turned away for it


class TimerFired(NamedTuple):
    """A timer ran out; the gauges come in the order of ``Settings.gauges``."""

    token: int
    gauges: tuple[float, ...]


Event = (
    RequestReceived | ClientCancelled | RunCompleted | CallRequested | CallCompleted | ShutdownRequested | TimerFired
)
