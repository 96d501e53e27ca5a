"""What ends with the final answer: the call under way, runs that nobody reports on, the entry itself."""

from __future__ import annotations

from collections.abc import Callable

from lapispick import admission
from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.clock import Clock
from lapispick.host.core.in_flight import InFlightRequest, RunState
from lapispick.host.core.peers import Peers
from lapispick.host.core.request_table import RequestTable
from lapispick.host.requests import Answer, AnswerKind


class RequestCompletion:
    """Answers a request once, and forgets it when neither the client nor the executor needs it."""

    def __init__(
        self,
        clock: Clock,
        table: RequestTable,
        answers: AnswerSender,
        peers: Peers,
        post: Callable[[events.Event], None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._answers = answers
        self._peers = peers
        self._post = post

    def answer(self, entry: InFlightRequest, answer: Answer) -> None:
        """Give the final answer, unless one was given or the client cancelled."""
        if entry.answered:
            return
        entry.answered = True
        entry.answered_at = self._clock.now
        if self._peers.recorder is not None:
            age_ms = self._clock.now - entry.request.born_at
            self._peers.recorder.record_answer(entry.id, answer.kind, age_ms)
        self._answers.send(entry.request, answer)
        self._finish(entry)

    def cancel(self, entry: InFlightRequest) -> None:
        """Note that the client cancelled and is owed no answer."""
        self._answers.cancelled_by_client(entry.request)
        entry.answered = True
        entry.answered_at = self._clock.now
        self._finish(entry)

    def fail(self, action: admission.Fail) -> None:
        """Carry out the module's order to fail a request."""
        if (entry := self._table.get(action.id)) is not None:
            self.answer(entry, Answer(AnswerKind.FAILED))

    def reject(self, action: admission.Reject) -> None:
        """Carry out the module's order to reject a request; one that may have run is failed instead."""
        entry = self._table.get(action.id)
        if entry is None:
            return
        never_ran = not entry.awaits_end and (entry.record is None or entry.record.executed_attempt != entry.id)
        kind = AnswerKind.REJECTED if never_ran else AnswerKind.FAILED
        self.answer(entry, Answer(kind, None, action.retry_after_ms, action.no_retry))

    def _finish(self, entry: InFlightRequest) -> None:
        self.drop_call(entry)  # the executor ends a run at a call once its request is over
        if entry.outcome_unknown or entry.state is RunState.PAUSED:  # nothing is reported of either
            self.expect_no_end(entry)
        self.release(entry)

    def expect_no_end(self, entry: InFlightRequest) -> None:
        """End a run of which no report may ever come, as where its start was lost with a link."""
        self._peers.executor.forget_run(entry.request.request_id)
        self._post(events.RunCompleted(entry.request.request_id, Outcome.CANCELLED, 0.0, ""))

    def drop_call(self, entry: InFlightRequest) -> None:
        """Abandon the call under way."""
        if entry.store_call is not None:
            self._peers.store.cancel_call(entry.store_call)
            entry.store_call = None

    def release(self, entry: InFlightRequest) -> None:
        """Forget a request that is answered and of which no report is awaited."""
        if not entry.answered or entry.awaits_end or not self._table.remove(entry):
            return
        record = entry.record
        if record is None or not record.waiters:
            return
        if entry in record.waiters:
            record.waiters.remove(entry)
        elif record.owner_attempt == entry.id and not record.executed_attempt:
            # The module released the key, as its window was shorter than the attempt was queued.
            self._post(events.OwnerReleased(record, entry.id))
