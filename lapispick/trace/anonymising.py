"""Stand-ins for subjects, accounts, callers and boxes: keyed, the same each time, one to one. No I/O.

What is equal stays equal and what differs differs, so popularity and the order of first use are kept, and a replay
orders the same. Nobody can go back without the key, which no file holds. Times, sizes and classes stay as they are.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import Any

from lapispick import admission
from lapispick.trace.record_types import Arrival, Happened, Step

KEY_LEAST, KEY_MOST = 16, 64  # bytes


class PseudonymConflictError(Exception):
    """Two names have one stand-in; another key is needed."""


class Anonymiser:
    """Replaces names; remembers them, for as many as there are, to see that no two get one stand-in."""

    def __init__(self, key: bytes, boxes: bool = False) -> None:
        if not KEY_LEAST <= len(key) <= KEY_MOST:
            raise ValueError(f"the key must hold {KEY_LEAST} to {KEY_MOST} bytes, not {len(key)}")
        self._key, self._boxes = key, boxes
        self._made: dict[tuple[str, Any], Any] = {}
        self._taken: dict[tuple[str, Any], Any] = {}

    def _digest(self, what: str, original: bytes) -> bytes:
        return blake2b(original, digest_size=8, key=self._key, person=what.encode()).digest()

    def _stand_in(self, what: str, original: Any) -> Any:
        made = self._made.get((what, original))
        if made is not None:
            return made
        if what == "caller":
            # 31 bits: callers are told in 4 bytes elsewhere
            made = int.from_bytes(self._digest(what, b"%d" % original)[:4], "little") >> 1
        else:
            made = f"{what}-{self._digest(what, original.encode()).hex()[:10]}"
        if self._taken.setdefault((what, made), original) != original:
            raise PseudonymConflictError(f"two {what}s have one stand-in with this key; take another key")
        self._made[what, original] = made
        return made

    def _subject(self, original: bytes) -> bytes:
        return self._digest("subject", original) if original else b""

    def originals(self) -> set[str]:
        """Return the names that were replaced, to look whether one is left."""
        return {original for (what, original) in self._made if what != "caller" and original}

    def stand_ins(self) -> set[str]:
        """Return the names that stand for others."""
        return {made for (what, _), made in self._made.items() if what != "caller"}

    def header(self, header: Any) -> None:
        """Replace what a header says."""
        for source in header.sources:
            accounts = [self._stand_in("account", name) for name in source.accounts]
            del source.accounts[:]
            source.accounts.extend(accounts)
            if self._boxes:
                source.box = self._stand_in("box", source.box)
        # How the file came to be may name boxes and folders.
        del header.made[:]
        header.made.append("anonymised")

    def steps(self, steps: Iterable[Step]) -> Iterator[Step]:
        """Yield the steps with stand-ins."""
        for step in steps:
            events, notes = step.events, step.notes
            if any(type(one) is admission.RequestReceived for one in events):
                events = tuple(
                    one._replace(caller=self._stand_in("caller", one.caller))
                    if type(one) is admission.RequestReceived
                    else one
                    for one in events
                )
            if notes:
                notes = tuple(self._note(one) for one in notes)
            yield step._replace(events=events, notes=notes)

    def _note(self, note: Any) -> Any:
        if type(note) is Arrival:
            account = self._stand_in("account", note.account) if note.account else ""
            return note._replace(account=account, subject=self._subject(note.subject))
        if type(note) is Happened and note.what != "adopted":  # its text may name addresses
            return note._replace(told="")
        return note
