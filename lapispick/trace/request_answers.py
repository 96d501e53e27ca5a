"""Records the answers of a block in the table of requests. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Records
from lapispick.trace.record_types import FAILED, REJECTED, SERVED
from lapispick.trace.request_table import AnswerCode, FoundAttempts, RequestTable

NOT_CANCELLED = np.iinfo(np.int64).max  # later than the position of any step
ANSWER_CODES = {
    SERVED.encode(): AnswerCode.SERVED,
    REJECTED.encode(): AnswerCode.REJECTED,
    FAILED.encode(): AnswerCode.FAILED,
}


class CancelledAttempts(NamedTuple):
    """Attempts of one source that were cancelled by clients in a block."""

    attempt_rows: Array
    step_positions: Array  # the step of the block in which each was cancelled


def add_answers(
    table: RequestTable, answers: Records, times: Array, found: FoundAttempts, cancelled: dict[int, CancelledAttempts]
) -> None:
    """Record answers, given as ``Answered`` records, in the requests that they belong to.

    Only the first answer to an open attempt counts. ``cancelled`` has the block's cancelled attempts by source.
    """
    codes = np.array([ANSWER_CODES.get(kind, AnswerCode.NONE) for kind in answers.dictionary("kind")], np.uint8)
    answer = codes[answers.column("kind")]
    is_counted = np.zeros(answers.count, np.bool_)
    for source, record_rows, attempt_rows in found.by_source:
        attempts = table.attempts[source]
        is_first = np.zeros(len(attempt_rows), np.bool_)
        is_first[np.unique(attempt_rows, return_index=True)[1]] = True
        is_first &= attempts["open"][attempt_rows]
        # Within a step, a cancellation comes before the note of an answer.
        if source in cancelled:
            cancelled_step = np.full(attempts.size, NOT_CANCELLED, np.int64)
            cancelled_step[cancelled[source].attempt_rows[::-1]] = cancelled[source].step_positions[::-1]
            is_first &= cancelled_step[attempt_rows] > answers.step_positions[record_rows]
        attempts["open"][attempt_rows] = False
        is_counted[record_rows[is_first]] = answer[record_rows[is_first]] != AnswerCode.NONE
    _store_unserved(table, found.request_rows, answer, is_counted)
    _store_served(table, found.request_rows, times, is_counted & (answer == AnswerCode.SERVED))


def _store_unserved(table: RequestTable, request_rows: Array, answer: Array, is_counted: Array) -> None:
    """Record the last rejection or failure of each request, unless the request was served."""
    stored_answer = table.requests["answer"]
    unserved = is_counted & (answer != AnswerCode.SERVED)
    unserved[unserved] = stored_answer[request_rows[unserved]] != AnswerCode.SERVED
    stored_answer[request_rows[unserved]] = answer[unserved]


def _store_served(table: RequestTable, request_rows: Array, times: Array, served: Array) -> None:
    """Record the first served answer of each request, with the request's age at that time."""
    requests = table.requests
    stored_answer = requests["answer"]
    rows = np.flatnonzero(served)
    rows = rows[stored_answer[request_rows[rows]] != AnswerCode.SERVED]
    rows = rows[np.unique(request_rows[rows], return_index=True)[1]]
    stored_answer[request_rows[rows]] = AnswerCode.SERVED
    requests["age_ms"][request_rows[rows]] = times[rows] - requests["born_at"][request_rows[rows]]
