"""The requests in flight on this host, by the decision module's number and by request id."""

from __future__ import annotations

from collections.abc import Callable

from lapispick.host.core.in_flight import InFlightRequest
from lapispick.host.requests import Request
from lapispick.idempotency.table import IdempotencyRecord


class RequestTable:
    """Table of the requests in flight, which gives each of them a number."""

    def __init__(self) -> None:
        self._by_id: dict[int, InFlightRequest] = {}
        self._by_request_id: dict[str, InFlightRequest] = {}
        self._last_id = 0
        self.get: Callable[[int], InFlightRequest | None] = self._by_id.get
        self.find: Callable[[str], InFlightRequest | None] = self._by_request_id.get

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, entry_id: int) -> bool:
        return entry_id in self._by_id

    def __getitem__(self, entry_id: int) -> InFlightRequest:
        return self._by_id[entry_id]

    def add(self, request: Request, record: IdempotencyRecord | None) -> InFlightRequest:
        """Add a request under the next number."""
        self._last_id += 1
        entry = InFlightRequest(self._last_id, request, record)
        self._by_id[entry.id] = self._by_request_id[request.request_id] = entry
        return entry

    def remove(self, entry: InFlightRequest) -> bool:
        """Remove a request; return False if it was removed before."""
        if entry.id not in self._by_id:
            return False
        del self._by_id[entry.id]
        del self._by_request_id[entry.request.request_id]
        return True

    def answered_before(self, before_ms: float) -> list[InFlightRequest]:
        """Return the requests in the table that were answered before this Unix time in ms."""
        return [entry for entry in self._by_id.values() if entry.answered and entry.answered_at < before_ms]
