"""The requests and attempts of a trace that are unanswered or may still be retried, as columns. No I/O."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

import numpy as np

from lapispick.trace.arrays import Array
from lapispick.trace.growing_table import GrowingTable


class AnswerCode(enum.IntEnum):
    """The final answer of a request."""

    NONE = 0
    REJECTED = 1
    FAILED = 2
    SERVED = 3


class AttemptRows(NamedTuple):
    """Attempts of one source that records refer to."""

    source_index: int
    record_rows: Array  # positions of the records in the arrays passed to ``RequestTable.find_attempts``
    attempt_rows: Array  # rows of their attempts in the source's table of attempts


class FoundAttempts(NamedTuple):
    """The attempts that records refer to."""

    request_rows: Array  # by record: the row of its request, or -1 if that is unknown or can't be retried any more
    by_source: list[AttemptRows]


class RequestTable:
    """One table of requests, and one of attempts for each source; attempts refer to requests by index.

    Whether records of a request are still counted depends only on the trace's clock, so the result does not depend on
    how a trace is divided into blocks.
    """

    def __init__(self, source_count: int, retention_ms: Array) -> None:
        """``retention_ms``: by class, how long after its creation a request is kept for retries."""
        self._retention_ms = retention_ms
        self.requests = GrowingTable(
            born_at=np.float64,
            class_index=np.int64,
            account=np.int64,
            answer=np.uint8,
            age_ms=np.float64,
            degraded=np.bool_,
            attempts=np.int64,
            is_retry=np.bool_,  # the row is unused, because its attempt counts for an earlier request
        )
        self.attempts = [
            GrowingTable(id=np.int64, request=np.int64, open=np.bool_, waiting=np.bool_, received_at=np.float64)
            for _ in range(source_count)
        ]

    def add(self, ids: Array, source_index: Array, received_at: Array, ages_ms: Array, class_index: Array) -> int:
        """Add an attempt and a request for each id; return the index of the first request.

        Raises ``ValueError`` if the ids of a source are not strictly increasing.
        """
        first = self.requests.append(len(ids), born_at=received_at - ages_ms, class_index=class_index, attempts=1)
        for source, attempts in enumerate(self.attempts):
            rows = np.flatnonzero(source_index == source)
            all_ids = np.concatenate((attempts["id"][-1:], ids[rows]))
            is_out_of_order = np.diff(all_ids) <= 0
            if is_out_of_order.any():
                position = int(np.argmax(is_out_of_order))
                raise ValueError(
                    f"expected increasing request ids, got {all_ids[position + 1]} after {all_ids[position]}"
                )
            attempts.append(
                len(rows), id=ids[rows], request=first + rows, open=True, waiting=True, received_at=received_at[rows]
            )
        return first

    def find_attempts(self, ids: Array, source_index: Array, times: Array) -> FoundAttempts:
        """Look up the attempts with these ids; requests that can't be retried any more at these times are left out."""
        request_rows = np.full(len(ids), -1, np.int64)
        by_source: list[AttemptRows] = []
        for source, attempts in enumerate(self.attempts):
            records = np.flatnonzero(source_index == source)
            if not len(records) or not attempts.size:
                continue
            rows = np.minimum(np.searchsorted(attempts["id"], ids[records]), attempts.size - 1)
            known = attempts["id"][rows] == ids[records]
            records = records[known]
            rows = rows[known]
            requests = attempts["request"][rows] - self.requests.first_index
            retained = requests >= 0
            retained[retained] = self._is_retained(requests[retained], times[records[retained]])
            request_rows[records[retained]] = requests[retained]
            by_source.append(AttemptRows(source, records[retained], rows[retained]))
        return FoundAttempts(request_rows, by_source)

    def find_request(self, source: int, attempt_id: int) -> int | None:
        """Return the index of an attempt's request, None if the attempt is unknown."""
        attempts = self.attempts[source]
        row = int(np.searchsorted(attempts["id"], attempt_id))
        if row < attempts.size and attempts["id"][row] == attempt_id:
            return int(attempts["request"][row])
        return None

    def can_be_retried(self, request: int | None, now: float) -> bool:
        """Return True if a request, given by its index, may still be retried."""
        if request is None or request < self.requests.first_index:
            return False
        return bool(self._is_retained(request - self.requests.first_index, now))

    def merge_retry(self, source: int, attempt_id: int, own_request: int, request: int) -> None:
        """Count an attempt for an earlier request instead of its own; requests are given by index."""
        attempts = self.attempts[source]
        attempts["request"][int(np.searchsorted(attempts["id"], attempt_id))] = request
        self.requests["is_retry"][own_request - self.requests.first_index] = True
        self.requests["attempts"][request - self.requests.first_index] += 1

    def expired_count(self, now: float) -> int:
        """Return the number of oldest requests that can't be retried any more."""
        retained = self._is_retained(slice(None), now)
        return int(np.argmax(retained)) if retained.any() else self.requests.size

    def drop(self, count: int) -> None:
        """Drop the oldest requests, and the oldest attempts that belong to them only."""
        self.requests.drop(count)
        for attempts in self.attempts:
            needed = attempts["request"] >= self.requests.first_index
            attempts.drop(int(np.argmax(needed)) if needed.any() else attempts.size)

    def _is_retained(self, rows: Any, times: Any) -> Any:
        requests = self.requests
        return requests["born_at"][rows] + self._retention_ms[requests["class_index"][rows]] > times
