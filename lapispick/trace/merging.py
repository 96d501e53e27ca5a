"""One trace out of those of several boxes: whose steps come when, and whose they are. No I/O.

Never reorders within one life of a box, whatever its clock did: a step counts as no earlier than the one before it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from lapispick.trace.clocks import Clock, Unknown
from lapispick.trace.kinds import Step

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


def _rising(steps: Iterable[Step], number: int, when: Callable[[Step], float]) -> Iterator[tuple[float, int, Step]]:
    latest = float("-inf")
    for step in steps:
        latest = max(latest, when(step))
        yield latest, number, step


def merge(streams: Sequence[Iterable[Step]], when: Callable[[Step], float]) -> Iterator[Step]:
    """Yield the steps of lives by time; at the same time by the order of the streams."""
    # The key ends before the step: steps of one stream are never compared with each other, as its times do not fall.
    ordered = [_rising(steps, number, when) for number, steps in enumerate(streams)]
    for _, _, step in heapq.merge(*ordered, key=lambda one: one[:2]):
        yield step
