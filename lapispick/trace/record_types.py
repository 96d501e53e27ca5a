"""Record types of a trace, and the numbers that identify them in files.

``docs/TRACE-FORMAT.md`` lists the same numbers; a number is never reused. The worker host imports this module, so it
must depend on nothing but the decision module's events and actions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lapispick import admission

# The values of ``Answered.kind``.
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
# A value of ``ExternalEvent.kind``: in an upgrade, the decision module adopted the estimates of its predecessor.
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
    """Attributes of a request that its event lacks; there is one for each request, in the same step as the event."""

    id: int
    account: str
    subject: bytes  # keyed digest of the subject of a keyed request; empty for other requests
    created_at: float  # Unix ms


class Answered(NamedTuple):
    """The final answer of a request."""

    id: int
    kind: str  # ``SERVED``, ``REJECTED`` or ``FAILED``
    age_ms: float  # since ``Arrival.created_at``


class Gap(NamedTuple):
    """A gap of lost steps, because the disk was slow or full or the writer ended."""

    steps: int


class ExternalEvent(NamedTuple):
    """An event of the host outside the decision module: a drain, a reload or an upgrade."""

    kind: str  # drain-on, drain-off, reloaded or ``ADOPTED``
    details: str  # the changed keys of a reload, or the adopted estimates as JSON; empty for a drain


class SpansBoundary(NamedTuple):
    """Marks a request that is only partly within the time window of a cut."""

    id: int
    began_before: bool  # records before the window are missing
    ends_after: bool  # records after the window are missing


NOTES: tuple[type, ...] = (Arrival, Answered, Gap, ExternalEvent, SpansBoundary)
RECORD_NUMBERS: dict[type, int] = {
    record_type: number for number, record_type in enumerate((*EVENTS, *ACTIONS, *NOTES), 1)
}
RECORD_TYPES: dict[int, type] = {number: record_type for record_type, number in RECORD_NUMBERS.items()}

# These unions are used only in annotations.
if TYPE_CHECKING:
    Note = Arrival | Answered | Gap | ExternalEvent | SpansBoundary
    Record = admission.Event | admission.Action | Note


class Step(NamedTuple):
    """One step of the decision module: its clock (ms), its inputs, its outputs, and notes of the host."""

    now: float
    events: tuple[admission.Event, ...] = ()
    actions: tuple[admission.Action, ...] = ()
    notes: tuple[Note, ...] = ()
    source_index: int = 0  # index in the file's header of the host incarnation that recorded the step
