"""Names of records, fields and outcomes in the text form of a trace, where they differ from the names in the code.

The text form (``lapispick trace convert``, ``--json``) is read by other versions, so its names must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lapispick import admission
from lapispick.trace.record_types import RECORD_TYPES, Answered, Arrival, ExternalEvent, SpansBoundary

if TYPE_CHECKING:
    from lapispick.trace.record_types import Record

_RECORD_NAMES: dict[type, str] = {
    admission.RequestReceived: "Request",
    admission.ClientCancelled: "Gone",
    admission.RunCompleted: "RunEnded",
    admission.CallRequested: "NeedsCall",
    admission.CallCompleted: "CallEnded",
    admission.ShutdownRequested: "Leave",
    admission.StartRun: "Run",
    admission.CancelRun: "Stop",
    admission.Reject: "Refuse",
    admission.StartCall: "Call",
    admission.SkipCall: "GoWithout",
    admission.Coalesce: "Join",
    admission.RetainKey: "KeepKey",
    admission.ReleaseKey: "ForgetKey",
    admission.SetIdleTimeout: "LimitIdle",
    ExternalEvent: "Happened",
    SpansBoundary: "Straddles",
}
_FIELD_NAMES: dict[tuple[type, str], str] = {
    (admission.RequestReceived, "deadline_at"): "due_at",
    (admission.RequestReceived, "age_ms"): "age",
    (admission.RequestReceived, "retry_of"): "prior",
    (admission.RequestReceived, "request_memory_kb"): "held_kb",
    (admission.RequestReceived, "class_index"): "cls",
    (admission.RunCompleted, "duration_ms"): "took",
    (admission.CallCompleted, "duration_ms"): "took",
    (admission.ShutdownRequested, "handed_over"): "handed",
    (admission.Reject, "retry_after_ms"): "retry_after",
    (admission.Reject, "reason"): "ground",
    (admission.StartCall, "timeout_ms"): "timeout",
    (admission.RetainKey, "retention_ms"): "span",
    (admission.SetHealth, "healthy"): "good",
    (admission.SetHealth, "cached"): "from_store",
    (admission.SetIdleTimeout, "timeout_ms"): "span",
    (admission.SetTimer, "delay_ms"): "after",
    (Arrival, "created_at"): "born",
    (Answered, "age_ms"): "age",
    (ExternalEvent, "kind"): "what",
    (ExternalEvent, "details"): "told",
    (SpansBoundary, "began_before"): "before",
    (SpansBoundary, "ends_after"): "after",
}
_STEP_FIELD_NAMES = {"source_index": "box"}
_OUTCOME_NAMES = {admission.Outcome.ABANDONED: "MOOT"}


def record_name(record_type: type) -> str:
    """Return the name of a record type in the text form."""
    return _RECORD_NAMES.get(record_type, record_type.__name__)


def field_name(record_type: type, field: str) -> str:
    """Return the name of a record's field in the text form."""
    return _FIELD_NAMES.get((record_type, field), field)


def step_field_name(field: str) -> str:
    """Return the name of a field of ``Step`` in the text form."""
    return _STEP_FIELD_NAMES.get(field, field)


def outcome_name(outcome: admission.Outcome) -> str:
    """Return the name of an outcome in the text form."""
    return _OUTCOME_NAMES.get(outcome, outcome.name)


def format_record(record: Record) -> str:
    """Return one record as a line of text, such as ``Run(id=2)``."""
    record_type = type(record)
    fields = (f"{field_name(record_type, name)}={_format_value(value)}" for name, value in record._asdict().items())
    return f"{record_name(record_type)}({', '.join(fields)})"


def _format_value(value: object) -> str:
    if isinstance(value, admission.Outcome):
        return f"<Outcome.{outcome_name(value)}: {value.value}>"
    return repr(value)


def format_records(records: Sequence[Record]) -> str:
    """Return the records of one category of a step as the text of a tuple."""
    texts = [format_record(record) for record in records]
    return f"({texts[0]},)" if len(texts) == 1 else f"({', '.join(texts)})"


RECORDS_BY_NAME: dict[str, type] = {record_name(record_type): record_type for record_type in RECORD_TYPES.values()}
OUTCOMES_BY_NAME: dict[str, admission.Outcome] = {outcome_name(outcome): outcome for outcome in admission.Outcome}
