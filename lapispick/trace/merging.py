"""Merges the traces of several hosts: the order of their steps, and the sources that they come from. No I/O.

Never reorders within one incarnation of a host, whatever its clock did.
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
    """One incarnation of a host; its files differ in their sequence only."""

    host: str
    number: str


class MergedSources(NamedTuple):
    """The distinct sources of files, in order of their first file, and where those of each file are among them."""

    sources: list[message_types.Source]
    positions: list[list[int]]


def incarnation_of(source: message_types.Source) -> Incarnation:
    """Return which incarnation of which host a source stands for."""
    return Incarnation(source.box, source.incarnation)


def merge_sources(files: Iterable[Sequence[message_types.Source]]) -> MergedSources:
    """Return the distinct sources in the headers of files."""
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
    """Write the clocks of hosts into their sources; return the reasons for those that are not corrected."""
    reasons: list[str] = []
    for source in sources:
        clock = clocks.get(source.box)
        if isinstance(clock, Clock):
            source.offset = clock.offset
            source.drift = clock.drift
            source.error = clock.error
            source.at = clock.at + clock.offset  # when it was that far ahead, by the host's own clock
        else:
            reason = clock.reason if clock is not None else "cannot tell: it was not looked at"
            reasons.append(f"{source.box}: {reason}")
    return reasons


def merge(streams: Sequence[Iterable[Step]], step_time: Callable[[Step], float]) -> Iterator[Step]:
    """Yield the steps of all streams by time; at the same time by the order of the streams.

    A step that is earlier than the one before it in its stream follows that one at once.
    """
    return heapq.merge(*streams, key=step_time)
