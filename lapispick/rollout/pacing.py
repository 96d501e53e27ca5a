"""Limits on how many hosts change at once and when stages may begin. No I/O and no clock."""

from __future__ import annotations

import datetime
import re
from collections.abc import Iterable
from typing import NamedTuple

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MINUTES_PER_DAY = 1440
_ROUNDING_TOLERANCE = 1e-9  # so that an exact fraction of the fleet counts as reached


class PacedHost(NamedTuple):
    """State of a host that matters for pacing."""

    name: str
    is_serving: bool  # it accepts clients according to a recent report of its agent
    is_changing: bool  # it is changing or rolling back
    is_waiting: bool  # its change has yet to begin


class Limits(NamedTuple):
    """Limits on concurrent changes; stored as an array, so the order of the fields is fixed."""

    max_changing: int = 2
    min_serving_fraction: float = 0.8


class Admission(NamedTuple):
    """Hosts that may begin to change now."""

    hosts: list[str]
    reason: str  # why the other waiting hosts may not begin; empty if there are none


class Hours(NamedTuple):
    """Time window within a day in minutes after midnight; it crosses midnight if ``start`` is after ``end``."""

    start: int
    end: int

    def contains(self, minute: int) -> bool:
        """Return True if a minute of the day is within the window."""
        if self.start < self.end:
            return self.start <= minute < self.end
        return minute >= self.start or minute < self.end


def next_hosts(hosts: Iterable[PacedHost], limits: Limits) -> Admission:
    """Return the waiting hosts that may begin to change now, in the order given.

    A host that begins counts as down until it serves again: an upgrade leaves no gap, but it may fail. Hosts that are
    down for other reasons count as down too.
    """
    fleet = list(hosts)
    waiting = [host for host in fleet if host.is_waiting and not host.is_changing]
    changing = sum(host.is_changing for host in fleet)
    serving = sum(host.is_serving and not host.is_changing for host in fleet)
    min_serving = limits.min_serving_fraction * len(fleet) - _ROUNDING_TOLERANCE
    admitted: list[str] = []
    for host in waiting:
        if changing >= limits.max_changing:
            return Admission(admitted, f"{changing} are in change; {limits.max_changing} may be at once")
        serving_after = serving - host.is_serving  # a host that is already down takes no capacity away
        if serving_after < min_serving:
            reason = f"{serving} of {len(fleet)} serve; {limits.min_serving_fraction:.0%} must"
            return Admission(admitted, reason)
        admitted.append(host.name)
        changing += 1
        serving = serving_after
    return Admission(admitted, "")


_HOURS_PATTERN = re.compile(r"([01]\d|2[0-4]):([0-5]\d)-([01]\d|2[0-4]):([0-5]\d)")


def parse_hours(text: str) -> Hours | None:
    """Parse ``HH:MM-HH:MM``; returns None for an empty text and raises ``ValueError`` for an invalid one."""
    if not text:
        return None
    match = _HOURS_PATTERN.fullmatch(text)
    if not match:
        raise ValueError(f"expected HH:MM-HH:MM, got {text!r}")
    start_hour, start_minute, end_hour, end_minute = map(int, match.groups())
    start = 60 * start_hour + start_minute
    end = 60 * end_hour + end_minute
    if start > MINUTES_PER_DAY or end > MINUTES_PER_DAY or start == end:
        raise ValueError(f"expected two different times of day up to 24:00, got {text!r}")
    return Hours(start, end)


def closed_reason(now: datetime.datetime, hours: Hours | None, excluded_days: Iterable[str]) -> str:
    """Return why no stage may begin at a local time; empty if one may.

    A time window that crosses midnight belongs to the day on which it starts.
    """
    minute = now.hour * 60 + now.minute
    day = now.weekday()
    if hours is not None:
        if hours.start > hours.end and minute < hours.end:
            day = (day - 1) % 7
        if not hours.contains(minute):
            return f"it is {now:%H:%M}, outside of the hours"
    return f"it is {DAYS[day]}, on which nothing begins" if DAYS[day] in set(excluded_days) else ""
