"""The tries of subjects out of a box's steps, for what compares boxes. No I/O; memory follows what is open."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from lapispick import interface as api
from lapispick.trace.clocks import Try
from lapispick.trace.kinds import Answered, Arrival, Step


def tries(box: str, steps: Iterable[Step]) -> Iterator[Try]:
    """Yield the answered tries that name a subject, by the box's own clock."""
    open_: dict[int, Arrival] = {}
    for step in steps:
        for note in step.notes:
            if type(note) is Arrival and note.subject:
                open_[note.id] = note
            elif type(note) is Answered and (came := open_.pop(note.id, None)) is not None:
                yield Try(came.subject, box, came.born, came.born + note.age, note.kind == "served")
        for event in step.events:
            if type(event) is api.Gone:  # nobody waited for an answer, so none tells when it ended
                open_.pop(event.id, None)
