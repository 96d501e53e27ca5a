"""The tries of subjects out of a box's steps, for what compares boxes. No I/O; memory follows what is open."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from lapispick import admission
from lapispick.trace.clock_skew import Try
from lapispick.trace.record_types import Answered, Arrival, Step

TRIES_MOST = 200_000  # tries that are kept for an estimate; a thousand tell a clock to the ms


def tries(sources: Sequence[Any], steps: Iterable[Step]) -> Iterator[Try]:
    """Yield the answered tries that name a subject, by each box's own clock."""
    open_: dict[tuple[int, int], Arrival] = {}
    for step in steps:
        for note in step.notes:
            if type(note) is Arrival and note.subject:
                open_[step.box, note.id] = note
            elif type(note) is Answered and (came := open_.pop((step.box, note.id), None)) is not None:
                yield Try(came.subject, sources[step.box].box, came.born, came.born + note.age, note.kind == "served")
        for event in step.events:
            if type(event) is admission.ClientCancelled:  # nobody waited for an answer, so none tells when it ended
                open_.pop((step.box, event.id), None)


def kept(many: Iterable[Iterable[Try]], most: int = TRIES_MOST) -> list[Try]:
    """Return the tries of a share of the subjects: the same subjects of all boxes, as many as there is room for.

    Subjects are digests, so the lowest of them are a fair choice.
    """
    limit, found = 1 << 64, []
    for of in many:
        for one in of:
            if _rank(one) < limit:
                found.append(one)
                while len(found) > most:
                    limit //= 2
                    found = [held for held in found if _rank(held) < limit]
    return found


def _rank(one: Try) -> int:
    return int.from_bytes(one.subject[:8].ljust(8, b"\0"), "big")
