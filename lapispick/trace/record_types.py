"""The types of the records in a trace, and the numbers that stand for them in files.

``docs/TRACE-FORMAT.md`` lists the same numbers; a number is never reused. The worker host imports this module, so it
depends on nothing but the decision module's events and actions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lapispick import admission

# The values of ``Answered.kind``.
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
# A value of ``ExternalEvent.kind``: the module took over the estimates of the process before it, in an upgrade.
ADOPTED = "adopted"

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
    """What is known of a request beside the decision module's event; one for each request, in the step that has it."""

    id: int
    account: str
    subject: bytes  # a keyed digest of a keyed request's subject; empty where it has none
    born_at: float  # Unix ms


class Answered(NamedTuple):
    """The final answer of a request."""

    id: int
    kind: str  # ``SERVED``, ``REJECTED`` or ``FAILED``
    age_ms: float  # since ``Arrival.born_at``


class Gap(NamedTuple):
    """Steps that were lost, because the disk was slow or full or the writer ended."""

    steps: int


class ExternalEvent(NamedTuple):
    """A drain, a reload or an upgrade: what the host reports beside the decision module's events."""

    kind: str  # drain-on, drain-off, reloaded or ``ADOPTED``
    details: str  # reloaded: the changed keys; adopted: the estimates as JSON; else empty


class SpansBoundary(NamedTuple):
    """A request that is only partly inside the time window of a cut."""

    id: int
    began_before: bool  # records before the window are missing
    ends_after: bool  # records after the window are missing


NOTES: tuple[type, ...] = (Arrival, Answered, Gap, ExternalEvent, SpansBoundary)
RECORD_NUMBERS: dict[type, int] = {
    record_type: number for number, record_type in enumerate((*EVENTS, *ACTIONS, *NOTES), 1)
}
RECORD_TYPES: dict[int, type] = {number: record_type for record_type, number in RECORD_NUMBERS.items()}

# For annotations only: nothing reads the unions at run time.
if TYPE_CHECKING:
    Note = Arrival | Answered | Gap | ExternalEvent | SpansBoundary
    Record = admission.Event | admission.Action | Note


class Step(NamedTuple):
    """One step of the decision module: its clock (ms), its input, its output, and notes of the host."""

    now: float
    events: tuple[admission.Event, ...] = ()
    actions: tuple[admission.Action, ...] = ()
    notes: tuple[Note, ...] = ()
    source_index: int = 0  # of the incarnation of a host that it comes from, in the file's header
