"""Whether a write's sync fits before a request is due, and what a failing disk means for keyed work. No I/O, no clock.

Syncs are shared: a write that comes while one runs waits for it and for its own. How long one takes is learned; a
disk that hangs is not learned from, so the one that runs counts for as long as it has run.
"""

from __future__ import annotations

from enum import Enum

import msgspec

KEPT = 0.9  # of the learned spread and mean, at each sync
SPREADS = 3.0  # spreads above the mean that a sync is taken to need
BACKOFF_MS, BACKOFF_MOST_MS = 100.0, 10_000.0  # between two tries of a disk that failed


class Disk(Enum):
    """What the disk does."""

    WELL = "well"
    FAILED = "failed"  # the last sync failed: what it held is unknown
    GONE = "gone"  # full, read-only, another box's: no write is tried but for a look now and then


class Answer(Enum):
    """What a keyed request gets before its intent is written."""

    WRITE = "write"
    REFUSE = "refuse"  # certainly not run: turned away, told when to come back
    BARE = "bare"  # runs without the guarantee, where the operator chose so


class Commits(msgspec.Struct):
    """What is learned of syncs, in ms."""

    bare: bool  # the operator would rather serve without the guarantee than turn keyed work away
    mean: float = 5.0  # before anything is known: a slow disk's usual sync
    spread: float = 5.0
    disk: Disk = Disk.WELL
    since: float = 0.0  # when the sync that runs began; 0: none runs
    failures: int = 0
    again: float = 0.0  # no write before this where the disk does not do well

    def needs(self, now: float) -> float:
        """Return how long a write that comes now is taken to wait."""
        one = self.mean + SPREADS * self.spread
        if not self.since:
            return one
        ran = now - self.since
        return max(ran, one - ran) + one  # one that ran over its time is taken to run as long again

    def answer(self, now: float, due: float, run_ms: float) -> Answer:
        """Tell what a keyed request that comes now gets: two syncs and a run must fit before it is due."""
        if self.disk is not Disk.WELL and now < self.again:
            return Answer.BARE if self.bare else Answer.REFUSE
        if now + self.needs(now) + run_ms + self.mean > due:
            return Answer.REFUSE
        return Answer.WRITE

    def pause(self, now: float) -> float:
        """Return when a refused request may come back, ms from now."""
        return max(self.again - now, self.needs(now))

    def began(self, now: float) -> None:
        """Note that a sync runs."""
        self.since = now

    def ended(self, now: float) -> None:
        """Note that it ended well."""
        took, self.since = now - self.since, 0.0
        self.spread = KEPT * self.spread + (1 - KEPT) * abs(took - self.mean)
        self.mean = KEPT * self.mean + (1 - KEPT) * took
        self.disk, self.failures, self.again = Disk.WELL, 0, 0.0

    def failed(self, now: float, gone: bool) -> None:
        """Note that it failed; ``gone``: writing again at once is no use."""
        self.since = 0.0
        self.disk = Disk.GONE if gone else Disk.FAILED
        self.again = now + min(BACKOFF_MOST_MS, BACKOFF_MS * 2**self.failures)
        self.failures = min(self.failures + 1, 20)
