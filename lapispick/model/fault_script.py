"""Parser of fault scripts for the simulation. No I/O.

Each line is one step, ``AT KIND HOSTS [for SPAN] [VALUE]``. Examples:

    10s part disp-01,disp-02 for 20s     # partition: no messages between these hosts and all others
    12s one-way disp-03 for 5s           # no messages from these hosts to all others
    15s stop 10% for 2s                  # paused as by SIGSTOP; messages are delivered after the pause
    20s kill 20% for 30s                 # restarted after the span as a new process without state
    40s loss all for 10s 20%             # fraction of messages that are lost
    60s late all for 10s 0.2             # maximum extra delay in s; the delay of each message is random
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

from lapispick.conf import value_types

ALL_HOSTS = "all"
DEFAULT_SPAN_S = 1.0
SYNTAX = "AT KIND HOSTS [for SPAN] [VALUE]"
MIN_TOKENS = 3
SPAN_KEYWORD = "for"


class FaultKind(enum.StrEnum):
    """Kinds of faults, by their names in scripts."""

    PARTITION = "part"
    ONE_WAY_PARTITION = "one-way"
    PAUSE = "stop"
    KILL = "kill"
    LOSS = "loss"
    DELAY = "late"


KINDS_WITH_VALUE = (FaultKind.LOSS, FaultKind.DELAY)


class FaultScriptError(ValueError):
    """Invalid line in a fault script."""

    def __init__(self, line_number: int, reason: str) -> None:
        super().__init__(f"line {line_number}: {reason}; expected {SYNTAX}")
        self.line_number = line_number
        self.reason = reason


class FaultStep(NamedTuple):
    """One fault: ``at`` and ``span`` in s.

    ``hosts`` is a comma-separated list of names, ``all``, or a percentage of hosts to select at random. ``value`` is
    the fraction of lost messages or the maximum extra delay in s.
    """

    at: float
    kind: str
    hosts: str
    span: float = DEFAULT_SPAN_S
    value: float = 0.0

    def affected_hosts(self, names: Sequence[str], rng: random.Random) -> list[str]:
        """Return the names of the hosts that the fault affects; a percentage selects random ones."""
        if self.hosts == ALL_HOSTS:
            return list(names)
        if self.hosts.endswith("%"):
            return sorted(rng.sample(sorted(names), round(len(names) * value_types.fraction(self.hosts))))
        return self.hosts.split(",")


def parse(text: str) -> list[FaultStep]:
    """Parse a script, and return its steps in chronological order; raise ``FaultScriptError`` if a line is invalid."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        tokens = line.partition("#")[0].split()
        if not tokens:
            continue
        try:
            steps.append(_parse_step(tokens))
        except ValueError as err:
            raise FaultScriptError(number, str(err)) from None
    return sorted(steps)


def _parse_step(tokens: list[str]) -> FaultStep:
    if len(tokens) < MIN_TOKENS or tokens[-1] == SPAN_KEYWORD:
        raise ValueError(f"incomplete step {' '.join(tokens)!r}")
    at, kind, hosts, *rest = tokens
    if kind not in tuple(FaultKind):
        raise ValueError(f"unknown fault kind {kind!r}, expected one of {', '.join(FaultKind)}")
    span = DEFAULT_SPAN_S
    if rest[:1] == [SPAN_KEYWORD]:
        span = value_types.duration(rest[1])
        rest = rest[2:]
    takes_value = kind in KINDS_WITH_VALUE
    if len(rest) > 1 or bool(rest) != takes_value:
        expected = "one value" if takes_value else "no value"
        raise ValueError(f"{kind} takes {expected}, got {' '.join(rest) or 'none'}")
    value = 0.0
    if kind == FaultKind.LOSS:
        value = value_types.fraction(rest[0])
    elif kind == FaultKind.DELAY:
        value = value_types.duration(rest[0])
    return FaultStep(value_types.duration(at), kind, hosts, span, value)
