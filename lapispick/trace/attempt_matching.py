"""Collects the answered attempts that have a subject, to compare the clocks of hosts. No I/O.

Memory use is proportional to the number of unanswered attempts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from lapispick import admission
from lapispick.trace.clock_skew import Attempt
from lapispick.trace.record_types import SERVED, Answered, Arrival, Step

if TYPE_CHECKING:
    from lapispick.trace import message_types

MAX_ATTEMPTS = 200_000  # used for an estimate; a thousand already determine a clock to within 1 ms
SUBJECT_RANK_BYTES = 8
MAX_SUBJECT_RANK = 1 << (8 * SUBJECT_RANK_BYTES)


def answered_attempts(sources: Sequence[message_types.Source], steps: Iterable[Step]) -> Iterator[Attempt]:
    """Yield the answered attempts that have a subject, with times by each host's own clock."""
    open_arrivals: dict[tuple[int, int], Arrival] = {}  # by source and request
    for step in steps:
        for note in step.notes:
            if type(note) is Arrival and note.subject:
                open_arrivals[step.source_index, note.id] = note
            elif type(note) is Answered:
                arrival = open_arrivals.pop((step.source_index, note.id), None)
                if arrival is not None:
                    yield _attempt(sources[step.source_index].box, arrival, note)
        for event in step.events:
            # The client of a cancelled attempt does not wait for the answer, so the answer's time is no lower bound for
            # the time of a retry.
            if type(event) is admission.ClientCancelled:
                open_arrivals.pop((step.source_index, event.id), None)


def _attempt(host: str, arrival: Arrival, answer: Answered) -> Attempt:
    ended_at = arrival.created_at + answer.age_ms
    return Attempt(arrival.subject, host, arrival.created_at, ended_at, served=answer.kind == SERVED)


def sample_attempts(traces: Iterable[Iterable[Attempt]], max_attempts: int = MAX_ATTEMPTS) -> list[Attempt]:
    """Return at most ``max_attempts`` attempts, for a sample of subjects that is the same at all hosts.

    Subjects are uniformly distributed digests, so those with the lowest values are an unbiased sample.
    """
    rank_limit = MAX_SUBJECT_RANK
    sample: list[Attempt] = []
    for attempts in traces:
        for attempt in attempts:
            if _rank(attempt) >= rank_limit:
                continue
            sample.append(attempt)
            while len(sample) > max_attempts:
                rank_limit //= 2
                sample = [kept for kept in sample if _rank(kept) < rank_limit]
    return sample


def _rank(attempt: Attempt) -> int:
    return int.from_bytes(attempt.subject[:SUBJECT_RANK_BYTES].ljust(SUBJECT_RANK_BYTES, b"\0"), "big")
