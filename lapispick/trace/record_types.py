"""The kinds of records and their numbers; nothing here needs more than the interface.

docs/TRACE-FORMAT.md states the same numbers. A number is never used again for something else.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from lapispick import admission

EVENTS: tuple[type, ...] = (
    admission.RequestReceived,
    admission.ClientCancelled,
    admission.RunCompleted,
    admission.CallRequested,
    admission.CallCompleted,
    admission.ShutdownRequested,
    admission.TimerFired,
)
ACTIONS: tuple[type, ...] = (
    admission.StartRun,
    admission.CancelRun,
    admission.Reject,
    admission.Fail,
    admission.StartCall,
    admission.SkipCall,
    admission.Coalesce,
    admission.RetainKey,
    admission.ReleaseKey,
    admission.SetHealth,
    admission.SetIdleTimeout,
    admission.Advertise,
    admission.SetTimer,
    admission.Log,
)


class Arrival(NamedTuple):
    """What is known of a request beside the module's event: one a request, in the step that hands it over."""

    id: int
    account: str
    subject: bytes  # a keyed digest of a keyed request's subject; empty where it has none
    born: float  # Unix ms


class Answered(NamedTuple):
    """The final answer; ``age`` is in ms since ``born``."""

    id: int
    kind: str  # served, refused, failed
    age: float


class Gap(NamedTuple):
    """Steps that were not kept, as the disk was slow or full."""

    steps: int


class Happened(NamedTuple):
    """What came from outside the module's events: a drain's begin or end, a reload, an upgrade."""

    what: str  # drain-on, drain-off, reloaded; adopted: the module took over what another process had learned
    told: str  # reloaded: the keys; adopted: JSON of it


class Straddles(NamedTuple):
    """A request that a cut goes through: what came before its begin, or what came after its end, is not there."""

    id: int
    before: bool
    after: bool


NOTES: tuple[type, ...] = (Arrival, Answered, Gap, Happened, Straddles)
NUMBERS: dict[type, int] = {kind: at for at, kind in enumerate((*EVENTS, *ACTIONS, *NOTES), 1)}
KINDS: dict[int, type] = {at: kind for kind, at in NUMBERS.items()}


class Step(NamedTuple):
    """One step of the module: its clock (ms), what it was handed, what it ordered, and what else is known."""

    now: float
    events: tuple[Any, ...] = ()
    actions: tuple[Any, ...] = ()
    notes: tuple[Any, ...] = ()
    box: int = 0  # which source of the file's header it comes from
