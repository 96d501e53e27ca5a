"""Scripts of faults, for the model and for the rig of running hosts. No I/O.

A step a line: ``AT KIND BOXES [for SPAN] [VALUE]``, as in

    10s part disp-01,disp-02 for 20s     # nothing passes between these and all others
    12s one-way disp-03 for 5s           # nothing passes from these to all others
    15s stop 10% for 2s                  # SIGSTOP, and on with what waits
    20s kill 20% for 30s                 # at once; back as another life after the span, with no state
    40s loss all for 10s 20%             # of datagrams
    60s late all for 10s 0.2             # s of delay at most, drawn for each word
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from lapispick.conf import value_types

KINDS = ("part", "one-way", "stop", "kill", "loss", "late")


class Step(NamedTuple):
    """One fault: ``at`` and ``span`` in s; ``boxes`` are names, ``all`` or a share."""

    at: float
    kind: str
    boxes: str
    span: float = 1.0
    value: float = 0.0

    def chosen(self, names: Sequence[str], rng: random.Random) -> list[str]:
        """Return the boxes that it strikes."""
        if self.boxes == "all":
            return list(names)
        if self.boxes.endswith("%"):
            return sorted(rng.sample(sorted(names), round(len(names) * value_types.share(self.boxes))))
        return self.boxes.split(",")


def parse(text: str) -> list[Step]:
    """Read a script; raises ``ValueError`` that names the line."""
    made = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            made.append(_step(words))
        except (ValueError, IndexError) as err:
            what = str(err) if isinstance(err, ValueError) else f"{line.strip()!r} is not whole"
            raise ValueError(f"line {number}: {what}; AT KIND BOXES [for SPAN] [VALUE]") from None
    return sorted(made)


def _step(words: list[str]) -> Step:
    at, kind, boxes, *rest = words
    if kind not in KINDS:
        raise ValueError(f"{kind} is none of {', '.join(KINDS)}")
    span = value_types.span(rest[1]) if rest[:1] == ["for"] else 1.0
    rest = rest[2:] if rest[:1] == ["for"] else rest
    if len(rest) > 1 or (bool(rest) != (kind in ("loss", "late"))):
        raise ValueError(f"{kind} takes {'one value' if kind in ('loss', 'late') else 'no value'}")
    value = (value_types.share(rest[0]) if kind == "loss" else value_types.span(rest[0])) if rest else 0.0
    return Step(value_types.span(at), kind, boxes, span, value)
