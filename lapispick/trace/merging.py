"""Merges the traces of several hosts: the order of their steps, and the sources in the headers. No I/O.

The steps of one incarnation of a host are never reordered, even if its clock was set back.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from lapispick.trace.clock_skew import Clock, UnknownClock
from lapispick.trace.record_types import Step

if TYPE_CHECKING:
    from lapispick.trace import message_types


class Incarnation(NamedTuple):
    """Identity of one incarnation of a host; the headers of its files differ in the sequence number only."""

    host: str
    number: str


class MergedSources(NamedTuple):
    """The distinct sources of several files, in order of their first occurrence."""

    sources: list[message_types.Source]
    positions: list[list[int]]  # for each file, the positions in ``sources`` of the file's own sources


def incarnation_of(source: message_types.Source) -> Incarnation:
    """Return the identity of the incarnation that a source describes."""
    return Incarnation(source.box, source.incarnation)


def merge_sources(files: Iterable[Sequence[message_types.Source]]) -> MergedSources:
    """Return the distinct sources in the headers of several files."""
    known: dict[Incarnation, int] = {}
    distinct: list[message_types.Source] = []
    positions: list[list[int]] = []
    for sources in files:
        for source in sources:
            if incarnation_of(source) not in known:
                known[incarnation_of(source)] = len(distinct)
                distinct.append(source)
        positions.append([known[incarnation_of(source)] for source in sources])
    return MergedSources(distinct, positions)


def apply_clocks(sources: Sequence[message_types.Source], clocks: dict[str, Clock | UnknownClock]) -> list[str]:
    """Set the clock correction of each source; return the hosts that are not corrected, each with the reason."""
    reasons: list[str] = []
    for source in sources:
        clock = clocks.get(source.box)
        if isinstance(clock, Clock):
            source.offset = clock.offset
            source.drift = clock.drift
            source.error = clock.error
            source.at = clock.at + clock.offset  # by the host's own clock, not by the reference's
        else:
            reason = clock.reason if clock is not None else "cannot tell: no estimate for this host"
            reasons.append(f"{source.box}: {reason}")
    return reasons


def merge(streams: Sequence[Iterable[Step]], step_time: Callable[[Step], float]) -> Iterator[Step]:
    """Yield the steps of all streams ordered by time, and by the order of the streams where times are equal.

    A step that is earlier than its predecessor in the same stream comes directly after it.
    """
    return heapq.merge(*streams, key=step_time)
