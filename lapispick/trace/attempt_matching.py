"""Collects the attempts that name a subject from the steps of hosts, to compare their clocks. No I/O.

Memory follows the attempts that are open.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from lapispick import admission
from lapispick.trace.clock_skew import Attempt
from lapispick.trace.record_types import SERVED, Answered, Arrival, Step

if TYPE_CHECKING:
    from lapispick.trace import message_types

MAX_ATTEMPTS = 200_000  # that are used for an estimate; a thousand determine a clock to the ms
SUBJECT_RANK_BYTES = 8
MAX_SUBJECT_RANK = 1 << (8 * SUBJECT_RANK_BYTES)


def answered_attempts(sources: Sequence[message_types.Source], steps: Iterable[Step]) -> Iterator[Attempt]:
    """Yield the answered attempts that name a subject, with the times of each host's own clock."""
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
            if type(event) is admission.ClientCancelled:  # nobody waited for the answer, so its time says nothing
                open_arrivals.pop((step.source_index, event.id), None)


def _attempt(host: str, arrival: Arrival, answer: Answered) -> Attempt:
    ended_at = arrival.created_at + answer.age_ms
    return Attempt(arrival.subject, host, arrival.created_at, ended_at, served=answer.kind == SERVED)


def sample_subjects(traces: Iterable[Iterable[Attempt]], max_attempts: int = MAX_ATTEMPTS) -> list[Attempt]:
    """Return the attempts of a sample of the subjects: the same subjects at all hosts, as many as fit.

    Subjects are digests, so those with the lowest values are a fair sample.
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
                sample = [each for each in sample if _rank(each) < rank_limit]
    return sample


def _rank(attempt: Attempt) -> int:
    return int.from_bytes(attempt.subject[:SUBJECT_RANK_BYTES].ljust(SUBJECT_RANK_BYTES, b"\0"), "big")
