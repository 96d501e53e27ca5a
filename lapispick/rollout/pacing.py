"""Which boxes may begin now: the pace within a stage, and a least share of the fleet that serves. No I/O, no clock."""

from __future__ import annotations

import datetime
import re
from collections.abc import Iterable
from typing import NamedTuple

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")


class Place(NamedTuple):
    """Where a box stands, as far as pace is concerned."""

    name: str
    serves: bool  # it takes clients, as its agent said in time
    in_change: bool  # a change of it is under way, in either direction
    waits: bool  # it is to begin


class Bounds(NamedTuple):
    """How much at once."""

    most: int = 2
    serving_least: float = 0.8


def next_boxes(places: Iterable[Place], bounds: Bounds) -> tuple[list[str], str]:
    """Return the boxes that may begin now, and why no more do; boxes that are down for other reasons count as down.

    A box that begins counts as down until it serves again, though an upgrade leaves it no gap: it may fail.
    """
    held = list(places)
    waiting = [place for place in held if place.waits and not place.in_change]
    changing = sum(place.in_change for place in held)
    serving = sum(place.serves and not place.in_change for place in held)
    begun: list[str] = []
    for place in waiting:
        if changing >= bounds.most:
            return begun, f"{changing} are in change; {bounds.most} may be at once"
        # One that is down already takes nothing away by being changed.
        after = serving - place.serves
        if after < bounds.serving_least * len(held) - 1e-9:
            return begun, f"{serving} of {len(held)} serve; {bounds.serving_least:.0%} must"
        begun.append(place.name)
        changing, serving = changing + 1, after
    return begun, ""


_HOURS = re.compile(r"([01]\d|2[0-4]):([0-5]\d)-([01]\d|2[0-4]):([0-5]\d)")


def hours(text: str) -> tuple[int, int] | None:
    """Read ``HH:MM-HH:MM`` as minutes of a day; None for empty; raises ``ValueError``."""
    if not text:
        return None
    match = _HOURS.fullmatch(text)
    if not match:
        raise ValueError(f"{text!r} is not HH:MM-HH:MM")
    a, b, c, d = map(int, match.groups())
    start, end = 60 * a + b, 60 * c + d
    if start > 1440 or end > 1440 or start == end:
        raise ValueError(f"{text!r} is no span of a day")
    return start, end


def open_at(now: datetime.datetime, span: tuple[int, int] | None, not_days: Iterable[str]) -> str:
    """Return why nothing begins at a local time; empty where it may. A span over midnight belongs to its first day."""
    minute, day = now.hour * 60 + now.minute, now.weekday()
    if span is not None:
        start, end = span
        if start > end and minute < end:
            day = (day - 1) % 7
        if not (start <= minute < end if start < end else minute >= start or minute < end):
            return f"it is {now:%H:%M}, outside of the hours"
    return f"it is {DAYS[day]}, on which nothing begins" if DAYS[day] in set(not_days) else ""
