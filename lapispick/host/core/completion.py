"""Completes requests: final answers, calls that are no longer needed, runs whose end is not reported, removal."""

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
    """Steps that answer each request once, and remove it when neither its client nor the executor needs it."""

    def __init__(
        self,
        clock: Clock,
        requests: RequestTable,
        answers: AnswerSender,
        peers: Peers,
        post: Callable[[events.Event], None],
    ) -> None:
        self._clock = clock
        self._requests = requests
        self._answers = answers
        self._peers = peers
        self._post = post

    def answer(self, entry: InFlightRequest, answer: Answer) -> None:
        """Send the final answer, unless one was sent or the client cancelled."""
        if entry.answered:
            return
        entry.answered = True
        entry.answered_at = self._clock.now
        if self._peers.recorder is not None:
            age_ms = self._clock.now - entry.request.created_at
            self._peers.recorder.record_answer(entry.id, answer.kind, age_ms)
        self._answers.send(entry.request, answer)
        self._finish(entry)

    def cancel(self, entry: InFlightRequest) -> None:
        """Record that the client cancelled and gets no answer."""
        self._answers.count_cancelled(entry.request)
        entry.answered = True
        entry.answered_at = self._clock.now
        self._finish(entry)

    def fail(self, action: admission.Fail) -> None:
        """Fail a request, as the decision module decided."""
        if (entry := self._requests.get(action.id)) is not None:
            self.answer(entry, Answer(AnswerKind.FAILED))

    def reject(self, action: admission.Reject) -> None:
        """Reject a request, as the decision module decided; fail it instead if it may have run."""
        entry = self._requests.get(action.id)
        if entry is None:
            return
        never_ran = not entry.awaits_end and (entry.record is None or entry.record.executed_attempt != entry.id)
        kind = AnswerKind.REJECTED if never_ran else AnswerKind.FAILED
        self.answer(entry, Answer(kind, None, action.retry_after_ms, action.no_retry))

    def _finish(self, entry: InFlightRequest) -> None:
        self.cancel_call(entry)  # the executor ends a run that waits for a call once its request is over
        if entry.outcome_unknown or entry.state is RunState.PAUSED:  # the executor reports no end of either
            self.end_unreported_run(entry)
        self.remove_if_complete(entry)

    def end_unreported_run(self, entry: InFlightRequest) -> None:
        """End a run whose end may never be reported, for example because its start was lost with a link."""
        self._peers.executor.forget_run(entry.request.request_id)
        self._post(events.RunCompleted(entry.request.request_id, Outcome.CANCELLED, 0.0, ""))

    def cancel_call(self, entry: InFlightRequest) -> None:
        """Cancel the call that a run waits for, if any."""
        if entry.store_call is not None:
            self._peers.store.cancel_call(entry.store_call)
            entry.store_call = None

    def remove_if_complete(self, entry: InFlightRequest) -> None:
        """Remove a request if it is answered and no report of its end is awaited."""
        if not entry.answered or entry.awaits_end or not self._requests.remove(entry):
            return
        record = entry.record
        if record is None or not record.waiters:
            return
        if entry in record.waiters:
            record.waiters.remove(entry)
        elif record.owner_attempt == entry.id and not record.executed_attempt:
            # The decision module released the key, because the attempt was queued for longer than its window.
            self._post(events.OwnerReleased(record, entry.id))
