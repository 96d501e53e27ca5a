"""Finds the requests that attempts repeat: by what the host says of them, or by their subject. No I/O.

A host names the attempt that a retry follows (``retry_of``). Attempts at several hosts, in a merged trace, belong
together if they have the same subject.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Block, Records
from lapispick.trace.record_types import Arrival
from lapispick.trace.request_table import RequestTable


class ReceivedAttempt(NamedTuple):
    """An attempt that was just added to the table, with the request that it has if it is no retry."""

    source_index: int
    id: int
    retry_of: int  # id of an attempt at the same host; 0: none
    subject: bytes  # empty: none
    received_at: float
    own_request: int


class RetryLinker:
    """Links attempts to the requests that they repeat."""

    def __init__(self, table: RequestTable) -> None:
        self._table = table
        self._requests_by_subject: dict[bytes, int] = {}  # the newest last

    def __len__(self) -> int:
        """Return how many subjects are remembered."""
        return len(self._requests_by_subject)

    def link(self, attempt: ReceivedAttempt) -> None:
        """Merge an attempt into the request that it repeats, or remember it as a request of its own."""
        by_subject = self._requests_by_subject
        subject = attempt.subject
        if not attempt.retry_of:
            if not subject:
                return
            if subject not in by_subject:  # nearly all
                by_subject[subject] = attempt.own_request
                return
        request = self._find(attempt)
        if request is not None:
            self._table.merge_retry(attempt.source_index, attempt.id, attempt.own_request, request)
        elif subject:
            by_subject.pop(subject, None)
            by_subject[subject] = attempt.own_request

    def forget_before(self, first_request: int) -> None:
        """Forget the subjects of requests with a lower index."""
        for subject, request in list(self._requests_by_subject.items()):
            if request >= first_request:
                break
            del self._requests_by_subject[subject]

    def _find(self, attempt: ReceivedAttempt) -> int | None:
        """Return the index of the request that an attempt repeats, None if there is none."""
        table = self._table
        request = None
        if attempt.retry_of and attempt.retry_of < attempt.id:
            request = table.request_of(attempt.source_index, attempt.retry_of)
        if attempt.subject and not table.can_be_retried(request, attempt.received_at):
            request = self._requests_by_subject.get(attempt.subject)
        return request if table.can_be_retried(request, attempt.received_at) else None


def subjects_of(block: Block, requests: Records, source_index: Array) -> list[bytes]:
    """Return the subject of each request, from its ``Arrival`` in the same block; b'' where it has none."""
    arrivals = block.records(Arrival)
    none = [b""] * requests.count
    if not arrivals.count:
        return none
    dictionary = arrivals.dictionary("subject")
    if not any(dictionary):
        return none
    sources = block.source_index[arrivals.step_positions].tolist()
    ids = arrivals.column("id").tolist()
    indices = arrivals.column("subject").tolist()
    subjects = {
        (source, number): dictionary[index] for source, number, index in zip(sources, ids, indices, strict=True)
    }
    keys = zip(source_index.tolist(), requests.column("id").tolist(), strict=True)
    return [subjects.get(key, b"") for key in keys]
