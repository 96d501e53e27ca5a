"""Converts the times of steps from the clock of their source to the reference clock of a file. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import numpy as np

from lapispick.trace.arrays import Array
from lapispick.trace.block_reader import Block
from lapispick.trace.record_types import Step


class CorrectedSource(Protocol):
    """A source with its clock correction, as in the header of a file."""

    @property
    def offset(self) -> float:
        """Return how far the clock is ahead of the reference clock at ``at``, ms."""

    @property
    def drift(self) -> float:
        """Return how much the clock gains on the reference clock, ms per second."""

    @property
    def at(self) -> float:
        """Return the time at which ``offset`` applies, ms by the source's own clock."""


def step_time(sources: Sequence[CorrectedSource], step: Step) -> float:
    """Return the corrected time of a step, ms; the recorded time if its source is unknown."""
    if step.source_index >= len(sources):
        return step.now
    source = sources[step.source_index]
    return step.now - source.offset - source.drift * (step.now - source.at) / 1000


def step_times(sources: Sequence[CorrectedSource], block: Block) -> Array:
    """Return the corrected times of all steps of a block, ms: shape (steps,)."""
    offset = np.array([source.offset for source in sources])[block.source_index]
    drift = np.array([source.drift for source in sources])[block.source_index]
    at = np.array([source.at for source in sources])[block.source_index]
    return block.now - offset - drift * (block.now - at) / 1000
