"""Handles idempotency keys: which attempt owns a key, whether it may run, and which requests get its result."""

from __future__ import annotations

from collections.abc import Callable

from lapispick import admission
from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.core.clock import Clock
from lapispick.host.core.completion import RequestCompletion
from lapispick.host.core.in_flight import InFlightRequest, RunState
from lapispick.host.core.request_table import RequestTable
from lapispick.host.requests import Answer, AnswerKind, Request
from lapispick.idempotency.ownership import KeyOwnership
from lapispick.idempotency.states import Verdict
from lapispick.idempotency.table import EXECUTED_BY_PEER, IdempotencyRecord, IdempotencyTable, digest_request


def _longest_window_ms(settings: admission.Settings) -> float:
    """Return the longest window of the classes that have idempotency keys."""
    keyed = [c.idempotency_window_ms for c in settings.classes if c.idempotency is admission.Idempotency.KEYED]
    return max(keyed, default=0.0)


class IdempotencyCoordinator:
    """Owner of the idempotency records, which carries out the decision module's actions on them."""

    def __init__(
        self,
        clock: Clock,
        settings: admission.Settings,
        requests: RequestTable,
        completion: RequestCompletion,
        post: Callable[[events.Event], None],
        max_result_bytes: int,
        max_keys: int,
    ) -> None:
        self._clock = clock
        self._classes = settings.classes
        self._requests = requests
        self._completion = completion
        self._post = post
        self._max_result_bytes = max_result_bytes
        self._max_keys = max_keys
        self._key_limit = float(max_keys)
        self.table = IdempotencyTable(max_result_bytes)
        self.ownership = KeyOwnership(self.table, _longest_window_ms(settings))
        self.ownership.on_verdict = lambda entry_id, verdict: post(events.ClaimDecided(requests[entry_id], verdict))
        self.ownership.on_completed = self._answer_coalesced

    def set_limit_fraction(self, fraction: float) -> None:
        """Limit the retained keys and the stored results to this fraction of their maximum."""
        self._key_limit = self._max_keys * fraction
        self.table.max_result_bytes = int(self._max_result_bytes * fraction)
        self.table.trim()

    def accepts_new_key(self) -> bool:
        """Return True if a further key may be retained. No key may be dropped early: it could be executed again."""
        return len(self.table) < self._key_limit

    # Which attempt an arriving request repeats.

    def find_record(self, request: Request) -> IdempotencyRecord | None:
        """Return the record of the key that a request repeats; None if it repeats no attempt."""
        if request.idempotency_key is None:
            return None
        record = self.table.find(request.idempotency_key, request.created_at)
        if record is not None and (
            record.completed or record.executed_attempt or record.owner_attempt in self._requests
        ):
            return record
        # An attempt in flight matches however short its window is. It may run at any moment, and its window, which
        # begins when it arrived, would then include a retry that had been treated as another request.
        record = self.table.get(request.idempotency_key)
        is_in_flight = record is not None and not record.executed_attempt and record.owner_attempt in self._requests
        return record if is_in_flight else None

    def find_in_batch(self, request: Request, module_events: list[admission.Event]) -> InFlightRequest | None:
        """Return the latest attempt of the same key in this batch; None if there is none.

        The decision module has not retained the key yet. An attempt that was cancelled in the same batch is skipped
        if it is no longer in flight.
        """
        if request.idempotency_key is None:
            return None
        for event in reversed(module_events):
            if type(event) is not admission.RequestReceived:
                continue
            earlier = self._requests.get(event.id)
            if earlier is not None and earlier.request.idempotency_key == request.idempotency_key:
                return earlier
        return None

    # Whether a key may run.

    def may_run_twice(self, entry: InFlightRequest) -> bool:
        """Return True if starting this attempt could run its key twice, whatever the decision module decided."""
        if self._classes[entry.request.class_index].idempotency is not admission.Idempotency.KEYED:
            return False
        record = entry.record
        return record is None or record.executed_attempt not in (0, EXECUTED_BY_PEER)

    def claim(self, entry: InFlightRequest) -> Verdict:
        """Decide whether an attempt may run in this process."""
        record = entry.record
        if record is None:
            return Verdict.RUN
        request = entry.request
        expires_at_ms = request.arrived_at + self._classes[request.class_index].idempotency_window_ms
        return self.ownership.claim(
            entry.id,
            record,
            request.created_at,
            expires_at_ms,
            request.is_retry,
            self._clock.now,
            request.retries_are_marked,
        )

    # How a run of a key ends.

    def run_ended(self, entry: InFlightRequest, result: str | None) -> None:
        """Pass the result of a run, None for a failed one, to all requests that wait for it."""
        if entry.record is not None and entry.record.executed_attempt == entry.id:
            self.ownership.complete(entry.record, result)

    def run_never_started(self, entry: InFlightRequest) -> None:
        """Release the key of a run that never started, so that another attempt may run."""
        if entry.record is not None and entry.record.executed_attempt == entry.id:
            self.ownership.release(entry.record)

    def release_unexecuted(self, entry: InFlightRequest) -> None:
        """Release the key that an attempt owns, if no attempt was executed."""
        record = entry.record
        if record is not None and not record.executed_attempt and record.owner_attempt == entry.id:
            self.ownership.release(record)

    def release_key(self, entry: InFlightRequest) -> None:
        """Release the key of an attempt that may run but is not started."""
        if entry.record is not None:
            self.ownership.release(entry.record)

    # Actions of the decision module.

    def retain(self, action: admission.RetainKey) -> None:
        """Make an attempt the owner of its key."""
        entry = self._requests.get(action.id)
        if entry is None or entry.request.idempotency_key is None:
            return
        request = entry.request
        expires_at_ms = self._clock.now + action.retention_ms
        request_digest = digest_request(request.class_name, request.body)
        entry.record = self.table.retain(
            request.idempotency_key, entry.id, request.created_at, expires_at_ms, request_digest
        )

    def release(self, action: admission.ReleaseKey) -> None:
        """Release the key of an attempt, unless it was executed."""
        if (entry := self._requests.get(action.id)) is not None:
            self.release_unexecuted(entry)

    def coalesce(self, action: admission.Coalesce) -> None:
        """Answer a request with the result of an earlier attempt, now or when that attempt ends."""
        entry = self._requests.get(action.id)
        if entry is None or entry.answered:
            return
        if entry.record is None and entry.request.idempotency_key is not None:  # its owner arrived in the same batch
            entry.record = self.table.get(entry.request.idempotency_key)
        if entry.state is RunState.QUEUED:
            entry.state = RunState.COALESCED
        if entry.record is None or entry.record.completed:
            self._answer_coalesced(entry, entry.record.result if entry.record else None)
        else:
            entry.record.waiters.append(entry)

    def _answer_coalesced(self, entry: InFlightRequest, result: str | None) -> None:
        """Answer a coalesced request with the result of the executed attempt; None if there is no result."""
        if result is None:
            self._completion.answer(entry, Answer(AnswerKind.FAILED))
            outcome = Outcome.ERROR
        else:
            self._completion.answer(entry, Answer(AnswerKind.SERVED, result))
            outcome = Outcome.OK
        self._post(events.CoalescedRequestCompleted(entry, outcome))

    # Events.

    def on_coalesced_completed(
        self, event: events.CoalescedRequestCompleted, module_events: list[admission.Event]
    ) -> None:
        """Notify the decision module that a coalesced request is over."""
        entry = event.entry
        if entry.start_withheld:  # the decision module started it and must learn no duration from it
            module_events.append(admission.ClientCancelled(entry.id))
            module_events.append(admission.RunCompleted(entry.id, Outcome.CANCELLED, 0.0))
        else:
            module_events.append(admission.RunCompleted(entry.id, event.outcome, 0.0))
        self._completion.remove_if_complete(entry)

    def on_owner_released(self, event: events.OwnerReleased, module_events: list[admission.Event]) -> None:
        """Answer the requests that wait for an attempt that never ran, unless another attempt owns its key by now."""
        if event.record.owner_attempt == event.owner_id and not event.record.executed_attempt:
            self.ownership.release(event.record)
