"""Attempts that repeat a request which this server has read before."""

from __future__ import annotations

from lapispick.admission.actions import Coalesce, RejectReason
from lapispick.admission.events import RequestReceived
from lapispick.admission.idempotency_keys import IdempotencyRecord
from lapispick.admission.request_lifecycle import RequestLifecycle
from lapispick.admission.request_state import COALESCED, QUEUED, TrackedRequest
from lapispick.admission.server_state import ServerState
from lapispick.admission.settings import Idempotency


class Coalescer:
    """Attaches a repeat to the attempt before it, so that no key runs twice and no work is done twice."""

    __slots__ = ("_lifecycle", "_state")

    def __init__(self, state: ServerState, lifecycle: RequestLifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def coalesce(self, request: TrackedRequest, retry_of: int) -> bool:
        """Attach a repeat to the attempt that it repeats; False if it is to be taken as a request of its own."""
        if self._state.settings.classes[request.class_index].idempotency is Idempotency.KEYED:
            attaches = self._attaches_keyed(request, retry_of)
        else:
            attaches = self._attaches(retry_of)
        if attaches:
            request.state = COALESCED
            self._state.actions.append(Coalesce(request.id))
        return attaches

    def _attaches(self, retry_of: int) -> bool:
        """Tell whether the result of an attempt without a key is still to come."""
        previous = self._state.requests.get(retry_of)
        return previous is not None and previous.state is not COALESCED and not previous.answered

    def _attaches_keyed(self, request: TrackedRequest, retry_of: int) -> bool:
        """Tell whether the key was executed, or its owner still may be."""
        record = self._state.idempotency.get(retry_of)
        if record is None:
            # If both came in this step and this one is handled first, it stands for the key.
            return retry_of in self._state.requests or not self._comes_in_this_step(retry_of)
        if record.executed:
            return True
        owner = self._state.requests.get(record.owner_id)
        if owner is None:
            return False
        if owner.state is QUEUED and owner.deadline_at < request.deadline_at:
            self._take_over(owner, retry_of, record)
            return False
        return True

    def _comes_in_this_step(self, attempt_id: int) -> bool:
        return any(type(event) is RequestReceived and event.id == attempt_id for event in self._state.events)

    def _take_over(self, owner: TrackedRequest, retry_of: int, record: IdempotencyRecord) -> None:
        """Reject an attempt that never ran in favour of a newer one, which has more time."""
        idempotency = self._state.idempotency
        idempotency.detach(owner.id)  # or the rejection would free the key
        self._lifecycle.reject(owner, RejectReason.REPEAT)
        idempotency.attach(retry_of, record)
