"""The states of a key, what a try of it gets in each, and what a restart makes of it. No I/O, no clock.

    unseen --intend--> intended --started--> started --finish--> finished
      ^                   |                     |----fail------> failed
      |----withdraw-------|                     |
    unseen <---expire--- (all, once the window is over)          a restart makes doubt of intended and started

The order with the disk is the whole point: the intent is there before the command leaves for the executor, the result
before the answer leaves. So after a restart nothing that ran is unseen, and no answer that left is forgotten.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class State(IntEnum):
    """What is known of a key; the numbers stand in the store and never change."""

    INTENDED = 1  # the intent is on the disk or on its way; no command has left
    STARTED = 2  # the command has left; the run may have its effect at any moment
    FINISHED = 3  # it ran, and the result is known
    FAILED = 4  # it ran or may have; the failure was answered
    DOUBT = 5  # a life ended before it could say what became of it


class Verdict(Enum):
    """What a try of a key gets."""

    RUN = "run"  # nothing stands against it: write the intent, then run
    JOIN = "join"  # another try runs: wait for what it gives
    RESULT = "result"  # answer with the kept result
    FAIL = "fail"  # it ran or may have, and there is no result: fail once, never refuse, never run
    OTHER = "other"  # another body under this key: an error, whatever the key's state


class Known(msgspec.Struct, frozen=True):
    """One key. Times are Unix ms; ``until`` is the end of its window, counted from ``born`` of the try that runs."""

    state: State
    life: int  # of the box, in which this was written
    born: float
    until: float
    body: bytes  # a digest
    result: bytes | None = None  # None: not known, or given up for room


class Broken(Exception):
    """A step that no order of events allows: a fault of the program, never of a peer."""


def verdict(known: Known | None, body: bytes, now: float) -> Verdict:
    """Tell what a try that comes now gets."""
    if known is None or now >= known.until:
        return Verdict.RUN
    if body != known.body:
        return Verdict.OTHER
    if known.state in (State.INTENDED, State.STARTED):
        return Verdict.JOIN
    if known.state is State.FINISHED and known.result is not None:
        return Verdict.RESULT
    return Verdict.FAIL


def intend(known: Known | None, life: int, body: bytes, born: float, window: float, now: float) -> Known:
    """Return what is to be on the disk before the command leaves; only where the verdict was to run.

    A window counts from ``born``, which a caller's clock says; where that lies ahead, from now, or a clock that is
    wrong by an hour would hold the key for an hour.
    """
    if known is not None and now < known.until:
        raise Broken(f"a run was intended for a key that is {known.state.name}")
    born = min(born, now)
    return Known(State.INTENDED, life, born, born + window, body)


def started(known: Known) -> Known:
    """Return the key once its command leaves; this needs no disk, as a restart treats both alike."""
    return _from(known, State.STARTED, State.INTENDED)


def withdraw(known: Known) -> None:
    """Check that an intent may be taken back: its command never left, and never will."""
    if known.state is not State.INTENDED:
        raise Broken(f"an intent was withdrawn that is {known.state.name}")


def finish(known: Known, result: bytes) -> Known:
    """Return the key with its result, to be on the disk before the answer leaves."""
    return msgspec.structs.replace(_from(known, State.FINISHED, State.STARTED), result=result)


def fail(known: Known) -> Known:
    """Return the key of a run that failed, or whose end nobody heard of."""
    return _from(known, State.FAILED, State.STARTED)


def _from(known: Known, to: State, *allowed: State) -> Known:
    if known.state not in allowed:
        raise Broken(f"a key that is {known.state.name} cannot become {to.name}")
    return msgspec.structs.replace(known, state=to)


def recover(known: Known, life: int, now: float) -> Known | None:
    """Return what a new life makes of a key that it finds; None where it is over.

    An intent may have been sent after it was written, so it is in doubt. Its result may still come to light (a notice
    that was not read); until then every try of it fails.
    """
    if now >= known.until:
        return None
    if known.state in (State.INTENDED, State.STARTED):
        if known.life >= life:
            raise Broken(f"a key of life {known.life} was found by life {life}")
        return msgspec.structs.replace(known, state=State.DOUBT)
    return known


def resolve(known: Known, result: bytes) -> Known:
    """Return a key in doubt whose result came to light."""
    return msgspec.structs.replace(_from(known, State.FINISHED, State.DOUBT), result=result)
