"""One trace out of those of several boxes: whose steps come when, and whose they are. No I/O.

Never reorders within one life of a box, whatever its clock did.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from lapispick.trace.clock_skew import Clock, Unknown
from lapispick.trace.record_types import Step

Life = tuple[str, str]  # box and incarnation


def life(source: Any) -> Life:
    """Return which life of which box a source stands for; its files differ in their sequence only."""
    return source.box, source.incarnation


def sources(files: Iterable[Sequence[Any]]) -> tuple[list[Any], list[list[int]]]:
    """Return the distinct sources of files' headers, in order of their first file, and each file's places in them."""
    made: dict[Life, int] = {}
    kept: list[Any] = []
    places = []
    for told in files:
        for one in told:
            if life(one) not in made:
                made[life(one)] = len(kept)
                kept.append(one)
        places.append([made[life(one)] for one in told])
    return kept, places


def corrected(told: Sequence[Any], clocks: dict[str, Clock | Unknown]) -> list[str]:
    """Write the clocks of boxes into their sources; return why those that are not corrected are not."""
    left = []
    for source in told:
        clock = clocks.get(source.box)
        if isinstance(clock, Clock):
            source.offset, source.drift, source.error = clock.offset, clock.drift, clock.error
            source.at = clock.at + clock.offset  # when it was that far ahead, by the box's own clock
        else:
            left.append(f"{source.box}: {clock.why if clock is not None else 'cannot tell: it was not looked at'}")
    return left


def merge(streams: Sequence[Iterable[Step]], when: Callable[[Step], float]) -> Iterator[Step]:
    """Yield the steps of lives by time; at the same time by the order of the streams.

    A step that is earlier than the one before it in its stream follows that one at once: no other head is earlier.
    """
    return heapq.merge(*streams, key=when)
