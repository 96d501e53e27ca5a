"""Requests that all fronts post to the core, and their final answers."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from enum import StrEnum
from typing import NamedTuple

import msgspec

MAX_BODY_BYTES = 2048  # of a decoded request body, for all fronts
MAX_REQUEST_MEMORY_KB = 2000.0  # exclusive limit of the memory that one request reserves


class AnswerKind(StrEnum):
    """Outcome of a request; the values appear in log lines, traces and AMQP replies."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class Answer(NamedTuple):
    """Final answer to a request; each request gets exactly one."""

    kind: AnswerKind
    result: str | None = None  # of SERVED: the executor's result, unchanged
    retry_after_ms: float = 0.0  # of REJECTED: delay before a retry
    no_retry: bool = False  # of REJECTED: tells the client not to retry on another host
    backpressure: float | None = None  # the value advertised to clients; None if the settings disable it
    client_error: str = ""  # of FAILED: the protocol error of the client, if any


class Request(msgspec.Struct, eq=False):
    """One attempt of a request, independent of its wire format."""

    request_id: str  # id of this attempt at the executor and the store
    class_name: str
    class_index: int
    body: str  # base64, unchanged
    created_at: float  # Unix ms; when its client sent it; deadlines count from it
    arrived_at: float  # Unix ms; when it reached the machine, after any wait in a queue; windows and ages count from it
    deadline_at: float  # Unix ms; 0 = no deadline given
    request_memory_kb: float
    rank: float
    caller: int  # number of the gateway or broker that sent the request
    idempotency_key: Hashable | None  # the same for all attempts of one request
    reply: Callable[[Answer], None]
    tenant: str = ""  # for traces only
    is_retry: bool = False  # marked by its client: an earlier attempt may have run
    retries_are_marked: bool = True  # if not, any request may be a retry
    lookup_only: bool = False  # may be answered from the idempotency table but must not run
    read_at: float = 0.0  # Unix ms; when the request was read; 0 unless the extended metrics are enabled
