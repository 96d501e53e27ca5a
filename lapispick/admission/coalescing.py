"""Coalesces retries with an earlier attempt of the same request on this server."""

from __future__ import annotations

from lapispick.admission.actions import Coalesce, RejectReason
from lapispick.admission.events import RequestReceived
from lapispick.admission.idempotency_keys import IdempotencyRecord
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import COALESCED, QUEUED, TrackedRequest
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Idempotency


class Coalescer:
    """Coalescing of retries with the previous attempt, so that no key runs twice and no work is done twice."""

    __slots__ = ("_lifecycle", "_state")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def coalesce(self, request: TrackedRequest, retry_of: int) -> bool:
        """Attach a retry to the attempt that it repeats; return False if it must be handled as a new request."""
        if self._state.settings.classes[request.class_index].idempotency is Idempotency.KEYED:
            coalesced = self._can_coalesce_keyed(request, retry_of)
        else:
            coalesced = self._can_coalesce(retry_of)
        if coalesced:
            request.state = COALESCED
            self._state.actions.append(Coalesce(request.id))
        return coalesced

    def _can_coalesce(self, retry_of: int) -> bool:
        """Return True if the previous attempt, which has no key, still expects its result."""
        previous = self._state.requests.get(retry_of)
        return previous is not None and previous.state is not COALESCED and not previous.answered

    def _can_coalesce_keyed(self, request: TrackedRequest, retry_of: int) -> bool:
        """Return True if the key was executed or its owner attempt may still run; may replace a queued owner."""
        record = self._state.idempotency.get(retry_of)
        if record is None:
            # If both attempts arrived in this step and the retry is handled first, the retry owns the key.
            return retry_of in self._state.requests or not self._arrives_in_this_step(retry_of)
        if record.executed:
            return True
        owner = self._state.requests.get(record.owner_id)
        if owner is None:
            return False
        if owner.state is QUEUED and owner.deadline_at < request.deadline_at:
            self._replace_owner(owner, retry_of, record)
            return False
        return True

    def _arrives_in_this_step(self, attempt_id: int) -> bool:
        return any(type(event) is RequestReceived and event.id == attempt_id for event in self._state.events)

    def _replace_owner(self, owner: TrackedRequest, retry_of: int, record: IdempotencyRecord) -> None:
        """Reject an owner that never ran, so that a newer attempt with a later deadline can own the key."""
        idempotency = self._state.idempotency
        idempotency.detach(owner.id)  # otherwise the rejection would release the key
        self._lifecycle.reject(owner, RejectReason.REPEAT)
        idempotency.attach(retry_of, record)
