"""A request as all fronts hand it to the core, and its one final answer."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from enum import StrEnum
from typing import NamedTuple

import msgspec

MAX_BODY_BYTES = 2048  # of a request's body before its base64 encoding, from any front
MAX_REQUEST_MEMORY_KB = 2000.0  # the memory reserved for a request stays under this


class AnswerKind(StrEnum):
    """How a request ended. The values stand in log lines, in traces and in AMQP replies."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class Answer(NamedTuple):
    """The one final answer to a request."""

    kind: AnswerKind
    result: str | None = None  # of SERVED: the executor's result, unchanged
    retry_after_ms: float = 0.0  # of REJECTED: when to come back
    no_retry: bool = False  # of REJECTED: asks the client to try no other host
    backpressure: float | None = None  # the value advertised to clients, where the settings have one
    client_error: str = ""  # of FAILED: the protocol error that the client made


class Request(msgspec.Struct, eq=False):
    """One attempt of a request, with no trace of its wire format."""

    request_id: str  # identifies this attempt at the executor and the store
    class_name: str
    class_index: int
    body: str  # base64, unchanged
    born_at: float  # Unix ms; when it reached the machine
    deadline_at: float  # Unix ms; 0 = none given
    request_memory_kb: float
    rank: float
    caller: int  # the number of the gateway or broker that sent it
    idempotency_key: Hashable | None  # the same for all attempts of one request
    reply: Callable[[Answer], None]
    tenant: str = ""  # for traces only
    is_retry: bool = False  # an earlier attempt may have run
    lookup_only: bool = False  # may be answered from the idempotency table, but must not run itself
    read_at: float = 0.0  # Unix ms; when it was read, where the extended metrics are on
