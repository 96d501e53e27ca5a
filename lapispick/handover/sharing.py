"""Who may run a key while two processes are one worker host: a state machine with no I/O and no clock.

The older process owns the keys. What it is about to run it tells before it orders the run; the newer one asks. So
each knows all that has run here or there, and whichever is left can go on alone.

| role | a key that is not known to have run |
| --- | --- |
| ``ALONE`` | runs |
| ``OWNER`` | runs once the other process's socket has taken the word of it |
| ``FOLLOWER`` | waits for the owner's word |
| ``SHUT`` | waits: another process lives, and what it runs is not known |

A wait has an end: after ``CLAIM_MS`` the try is refused, for it has certainly not run. A key that the other process
ran and never told the end of is in doubt: it counts as run and failed. Where the other process ended without a last
word, it may have gone on unlinked: for one window what came before its end, and any repeat, is in doubt too.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from enum import Enum
from math import inf
from typing import Any, cast

from lapispick.handover import messages as say
from lapispick.handover.table import ELSEWHERE, Key, KeyTable

CLAIM_MS = 300.0  # ms; the longest wait for a word on a key; a loop that is held up longer is no help in time


class Role(Enum):
    """What this process is to the keys."""

    ALONE = "alone"
    OWNER = "owner"
    FOLLOWER = "follower"
    SHUT = "shut"


class Verdict(Enum):
    """What becomes of a try that the module wants to run."""

    RUN = "run"
    WAIT = "wait"  # ``settle`` tells later
    JOIN = "join"  # another try has run or runs: its result, whenever it comes
    REFUSE = "refuse"  # it has certainly not run, and nobody can say whether it may
    FAIL = "fail"  # another try of it may have run at a process that left no word


class Sharing:
    """Decides which process runs a key; the host carries the messages and the verdicts."""

    def __init__(self, table: KeyTable, idempotency_window_ms: float, role: Role = Role.ALONE) -> None:
        self.table, self.role, self._window_ms = table, role, idempotency_window_ms
        self._ended = 0.0  # Unix ms; when a process ended that may have run keys which are not known here
        self.send: Callable[[say.Message], None] = lambda message: None
        self.behind: Callable[[], bool] = lambda: False  # the other process's socket has not taken all that was sent
        self.settle: Callable[[Any, Verdict], None] = lambda token, verdict: None
        self.ended: Callable[[Any, str | None], None] = lambda waiter, result: None  # for those who joined a run
        self._waiting: dict[Hashable, tuple[int, Key, float]] = {}  # key -> token, entry, when it asked

    def doubt(self, ended: float) -> None:
        """Note that a process ended then, Unix ms, that may have run keys which are not known here."""
        self._ended = max(self._ended, ended)

    def in_doubt(self, born: float, redo: bool) -> bool:
        """Tell whether the request of this try may have run though nothing is known of it."""
        return self._ended > 0 and born < self._ended + self._window_ms and (redo or born <= self._ended)

    def claim(self, token: int, key: Key, born: float, until: float, redo: bool, now: float) -> Verdict:
        """Ask whether a held try may run; ``key`` is its entry, ``redo`` says that it is a further try."""
        if key.ran:
            return Verdict.JOIN
        if self.in_doubt(born, redo):
            return Verdict.FAIL
        if self.role is Role.ALONE:
            self._mark(key, token, until)
            return Verdict.RUN
        if key.name in self._waiting:  # another try of it has asked already
            return Verdict.JOIN
        if self.role is Role.OWNER:
            self._mark(key, token, until)
            self._tell(say.Claimed(_name(key), key.until, key.what))
            if not self.behind():
                return Verdict.RUN
        elif self.role is Role.FOLLOWER:
            self._tell(say.Claim(token, _name(key), born, until, key.what, redo))
        self._waiting[key.name] = token, key, now
        key.until = max(key.until, until)
        return Verdict.WAIT

    def _mark(self, key: Key, token: int, until: float) -> None:
        key.ran, key.until = token, max(key.until, until)

    def flushed(self) -> None:
        """Run what waited until the other process's socket had taken the word of it."""
        if self.role is Role.OWNER:
            for name, (token, *_) in list(self._waiting.items()):
                del self._waiting[name]
                self.settle(token, Verdict.RUN)

    def expire(self, now: float) -> bool:
        """End waits that were too long; True where the other process is too far behind to be kept."""
        late = [name for name, (_, _, since) in self._waiting.items() if now - since > CLAIM_MS]
        if late and self.role is Role.OWNER:
            return True
        for name in late:
            self.settle(self._waiting.pop(name)[0], Verdict.REFUSE)
        return False

    def over(self, key: Key, result: str | None) -> None:
        """Note the end of a run of this process."""
        self._tell(say.Over(_name(key), result))
        self._end(key, result)

    def free(self, key: Key) -> None:
        """Take back a key: it did not run after all."""
        if (asked := self._waiting.get(key.name)) is not None and asked[1] is key:
            return  # the word for another try of it is on its way, and what it says must not be lost
        if key.ran and key.ran != ELSEWHERE:
            self._tell(say.Freed(_name(key), key.until))
        self._forget(key)

    def _tell(self, message: say.Message) -> None:
        if self.role in (Role.OWNER, Role.FOLLOWER):
            self.send(message)

    def _end(self, key: Key, result: str | None) -> None:
        for waiter in self.table.over(key, result):
            self.ended(waiter, result)

    def _forget(self, key: Key) -> None:
        for waiter in self.table.forget(key):
            self.ended(waiter, None)

    # The other process.

    def linked(self, role: Role) -> None:
        """Begin to share, as the owner or as the one that asks."""
        self.role = role
        if role is Role.OWNER:
            self.send(say.Doubt(self._ended))

    def snapshot(self, names: list[Hashable]) -> list[say.Message]:
        """Return what is known now of some keys; only those that ran count."""
        found = [self.table.get(name) for name in names]
        return [say.Known(_name(k), k.until, k.what, k.over, k.result) for k in found if k is not None and k.ran]

    def take(self, message: say.Message) -> None:
        """Take in what the other process says of keys."""
        match message:
            case say.Known(name, until, what, over, result):
                self._elsewhere(name, until, what)
                if over:
                    self._over_elsewhere(name, result)
            case say.Doubt(ended):
                self.doubt(ended)
            case say.Claimed(name, until, what):
                self._elsewhere(name, until, what)
            case say.Over(name, result):
                self._over_elsewhere(name, result)
            case say.Freed(name, until):
                if (key := self.table.get(name)) is not None and key.ran == ELSEWHERE and key.until <= until:
                    self._forget(key)
            case say.Claim(number, name, born, until, what, redo):
                key = self.table.at(name, born)
                if (key is not None and key.ran) or self.in_doubt(born, redo):
                    return self.send(say.Denied(number, name))
                self._elsewhere(name, until, what)
                self.send(say.Granted(number, name, until))
            case say.Granted(number, name, until):
                self._granted(number, name, until)
            case say.Denied(number, name):
                if (asked := self._waiting.get(name)) is not None and asked[0] == number:
                    token, key, *_ = self._waiting.pop(name)
                    # Whatever ran was told before this word; a key of which nothing was told is in doubt.
                    if not key.ran:
                        key.ran = ELSEWHERE
                        self.table.over(key, None)
                    self.settle(token, Verdict.JOIN)

    def _granted(self, number: int, name: say.Name, until: float) -> None:
        asked = self._waiting.get(name)
        if asked is None or asked[0] != number:  # the wait ended before: it is not run here
            return self._tell(say.Freed(name, until))
        token, key, *_ = self._waiting.pop(name)
        key.ran = token
        self.settle(token, Verdict.RUN)

    def _elsewhere(self, name: say.Name, until: float, what: int) -> None:
        """Note that the other process runs a key; a try that is held here joins it when its turn comes."""
        key = self.table.get(name)
        if key is not None and key.ran and until <= key.until:
            return  # told before, or what ran here is newer
        if key is None or key.ran:  # a run of an older window stands for nothing any more
            key = self.table.hold(name, ELSEWHERE, inf, until, what)
        key.ran, key.until, key.what = ELSEWHERE, max(key.until, until), what

    def _over_elsewhere(self, name: say.Name, result: str | None) -> None:
        if (key := self.table.get(name)) is not None and key.ran == ELSEWHERE and not key.over:
            self._end(key, result)

    def lost(self, alone: bool, ended: float = 0.0) -> None:
        """Go on without the other process: ``alone`` where it has ended for sure, else it may still run keys.

        ``ended`` is when, Unix ms, where it owned the keys and left no last word.
        """
        if ended:
            self.doubt(ended)
        if not alone:
            if self.role is Role.FOLLOWER:
                self.role = Role.SHUT
            elif self.role is Role.OWNER:  # it asks before it runs, and can ask no more
                alone = True
        if not alone:
            return
        self.role = Role.ALONE
        for key in self.table:
            if key.ran == ELSEWHERE and not key.over:  # in doubt: whether it came to an end will never be known
                self._end(key, None)
        for name, (token, key, _) in list(self._waiting.items()):
            del self._waiting[name]
            if key.ran == 0 and ended:
                self.settle(token, Verdict.FAIL)
            elif key.ran in (0, token):
                key.ran = token
                self.settle(token, Verdict.RUN)
            else:
                self.settle(token, Verdict.JOIN)


def _name(key: Key) -> say.Name:
    return cast(say.Name, key.name)
