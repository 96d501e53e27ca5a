"""Replaces subjects, accounts, callers and hosts by pseudonyms: keyed, stable and one to one. No I/O.

Equal names get equal pseudonyms and different names different ones, so a replay of the result makes the same decisions.
Pseudonyms can't be reversed without the key, which no trace contains. Times, sizes and classes are unchanged.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b
from typing import TYPE_CHECKING, Generic, TypeVar

from lapispick import admission
from lapispick.trace.record_types import ADOPTED, Arrival, ExternalEvent, Step

if TYPE_CHECKING:
    from lapispick.trace import message_types
    from lapispick.trace.record_types import Note

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
DIGEST_BYTES = 8
DIGEST_CHARACTERS = 10  # hexadecimal digits of the digest in the pseudonym of a name
CALLER_BYTES = 4  # shifted right by one bit, because caller numbers have 31 bits
MADE_NOTE = "anonymised"  # in the header, on how the file was made


class NameKind(enum.StrEnum):
    """Type of a name; part of the pseudonym."""

    ACCOUNT = "account"
    CALLER = "caller"
    HOST = "box"
    SUBJECT = "subject"


class PseudonymConflictError(Exception):
    """Two names have the same pseudonym with the given key."""


Name = TypeVar("Name", bound=str | int)


class _Pseudonyms(Generic[Name]):
    """Maps names of one Python type to pseudonyms, and detects two names with the same pseudonym."""

    def __init__(self, derive: Callable[[NameKind, Name], Name]) -> None:
        """``derive`` computes the pseudonym of a name."""
        self._derive = derive
        self.by_original: dict[tuple[NameKind, Name], Name] = {}
        self._originals: dict[tuple[NameKind, Name], Name] = {}  # by pseudonym

    def get(self, kind: NameKind, original: Name) -> Name:
        """Return the pseudonym of a name; raises ``PseudonymConflictError`` if another name has the same one."""
        known = self.by_original.get((kind, original))
        if known is not None:
            return known
        pseudonym = self._derive(kind, original)
        if self._originals.setdefault((kind, pseudonym), original) != original:
            raise PseudonymConflictError(
                f"two names of type {kind} have the same pseudonym with this key; use another key"
            )
        self.by_original[kind, original] = pseudonym
        return pseudonym


class Anonymiser:
    """Replaces names by pseudonyms."""

    def __init__(self, key: bytes, hosts: bool = False) -> None:
        """``hosts``: replace host names too. Raises ``ValueError`` for a key of the wrong length."""
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"expected a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {len(key)}")
        self._key = key
        self._replaces_hosts = hosts
        self._names = _Pseudonyms(self._derive_name)
        self._callers = _Pseudonyms(self._derive_caller)

    def originals(self) -> set[str]:
        """Return the original names that were replaced so far."""
        return {original for _, original in self._names.by_original if original}

    def pseudonyms(self) -> set[str]:
        """Return the pseudonyms that names were replaced by so far."""
        return set(self._names.by_original.values())

    def replace_header(self, header: message_types.Header) -> None:
        """Replace the names in a header, in place."""
        for source in header.sources:
            accounts = [self._names.get(NameKind.ACCOUNT, name) for name in source.accounts]
            del source.accounts[:]
            source.accounts.extend(accounts)
            if self._replaces_hosts:
                source.box = self._names.get(NameKind.HOST, source.box)
        # The notes on how the file was made may contain names of hosts and folders.
        del header.made[:]
        header.made.append(MADE_NOTE)

    def replace_steps(self, steps: Iterable[Step]) -> Iterator[Step]:
        """Yield the steps with all names replaced by pseudonyms."""
        for step in steps:
            yield step._replace(
                events=tuple(self._replace_event(event) for event in step.events),
                notes=tuple(self._replace_note(note) for note in step.notes),
            )

    def _replace_event(self, event: admission.Event) -> admission.Event:
        if type(event) is admission.RequestReceived:
            return event._replace(caller=self._callers.get(NameKind.CALLER, event.caller))
        return event

    def _replace_note(self, note: Note) -> Note:
        if type(note) is Arrival:
            account = self._names.get(NameKind.ACCOUNT, note.account) if note.account else ""
            return note._replace(account=account, subject=self._subject(note.subject))
        # Details may contain addresses; those of ``ADOPTED`` events don't, and a replay needs them.
        if type(note) is ExternalEvent and note.kind != ADOPTED:
            return note._replace(details="")
        return note

    def _subject(self, original: bytes) -> bytes:
        return self._digest(NameKind.SUBJECT, original) if original else b""

    def _derive_caller(self, kind: NameKind, original: int) -> int:
        digest = self._digest(kind, b"%d" % original)
        return int.from_bytes(digest[:CALLER_BYTES], "little") >> 1

    def _derive_name(self, kind: NameKind, original: str) -> str:
        return f"{kind}-{self._digest(kind, original.encode()).hex()[:DIGEST_CHARACTERS]}"

    def _digest(self, kind: NameKind, original: bytes) -> bytes:
        return blake2b(original, digest_size=DIGEST_BYTES, key=self._key, person=kind.encode()).digest()
