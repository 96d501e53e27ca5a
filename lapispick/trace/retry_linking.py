"""Finds the requests that attempts repeat: by the attempt that the host recorded, or by subject. No I/O.

A host records which attempt a retry follows (``retry_of``). Attempts at several hosts, in a merged trace, belong to the
same request if they have the same subject.
"""

from __future__ import annotations

from typing import NamedTuple

from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Block, Records
from lapispick.trace.record_types import Arrival
from lapispick.trace.request_table import RequestTable


class ReceivedAttempt(NamedTuple):
    """An attempt that was just added to the table."""

    source_index: int
    id: int
    retry_of: int  # id of an attempt at the same host; 0: none
    subject: bytes  # empty: none
    received_at: float
    own_request: int  # index of the request that was added with it; unused if the attempt turns out to be a retry


class RetryLinker:
    """Links attempts to the requests that they repeat."""

    def __init__(self, table: RequestTable) -> None:
        self._table = table
        self._requests_by_subject: dict[bytes, int] = {}  # request indexes in increasing order

    def __len__(self) -> int:
        """Return the number of subjects in memory."""
        return len(self._requests_by_subject)

    def link(self, attempt: ReceivedAttempt) -> None:
        """Merge an attempt into the request that it repeats, or register its subject for later retries."""
        by_subject = self._requests_by_subject
        subject = attempt.subject
        if not attempt.retry_of:
            if not subject:
                return
            if subject not in by_subject:  # the usual case
                by_subject[subject] = attempt.own_request
                return
        request = self._find_request(attempt)
        if request is not None:
            self._table.merge_retry(attempt.source_index, attempt.id, attempt.own_request, request)
        elif subject:
            by_subject.pop(subject, None)
            by_subject[subject] = attempt.own_request

    def remove_before(self, first_request: int) -> None:
        """Remove the subjects of requests with a lower index."""
        for subject, request in list(self._requests_by_subject.items()):
            if request >= first_request:
                break
            del self._requests_by_subject[subject]

    def _find_request(self, attempt: ReceivedAttempt) -> int | None:
        """Return the index of the request that an attempt repeats, None if it is not a retry."""
        table = self._table
        request = None
        if attempt.retry_of and attempt.retry_of < attempt.id:
            request = table.find_request(attempt.source_index, attempt.retry_of)
        if attempt.subject and not table.can_be_retried(request, attempt.received_at):
            request = self._requests_by_subject.get(attempt.subject)
        return request if table.can_be_retried(request, attempt.received_at) else None


def subjects_of(block: Block, requests: Records, source_index: Array) -> list[bytes]:
    """Return the subject of each request, from its ``Arrival`` in the same block; b'' if it has none."""
    arrivals = block.records(Arrival)
    no_subjects = [b""] * requests.count
    if not arrivals.count:
        return no_subjects
    dictionary = arrivals.dictionary("subject")
    if not any(dictionary):
        return no_subjects
    sources = block.source_index[arrivals.step_positions].tolist()
    ids = arrivals.column("id").tolist()
    indices = arrivals.column("subject").tolist()
    subjects = {
        (source, number): dictionary[index] for source, number, index in zip(sources, ids, indices, strict=True)
    }
    keys = zip(source_index.tolist(), requests.column("id").tolist(), strict=True)
    return [subjects.get(key, b"") for key in keys]
