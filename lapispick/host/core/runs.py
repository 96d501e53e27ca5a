"""Handles runs at the executor, and the calls to the store that runs wait for."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lapispick import admission
from lapispick.admission import Outcome
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.arrivals import NOT_READY_RETRY_AFTER_MS
from lapispick.host.core.completion import RequestCompletion
from lapispick.host.core.idempotency import IdempotencyCoordinator
from lapispick.host.core.in_flight import InFlightRequest, RunState
from lapispick.host.core.peers import Peers
from lapispick.host.core.request_table import RequestTable
from lapispick.host.logs import log
from lapispick.host.requests import Answer, AnswerKind
from lapispick.idempotency.states import Verdict

LOG = "core"


class RunCoordinator:
    """Handler of the decision module's actions on runs and calls, which notifies the module of their ends."""

    def __init__(
        self,
        settings: admission.Settings,
        requests: RequestTable,
        answers: AnswerSender,
        completion: RequestCompletion,
        idempotency: IdempotencyCoordinator,
        peers: Peers,
        post: Callable[[events.Event], None],
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._answers = answers
        self._completion = completion
        self._idempotency = idempotency
        self._peers = peers
        self._post = post

    # Actions of the decision module.

    def start(self, action: admission.StartRun) -> None:
        """Start the run of a queued request, or resume a paused run."""
        entry = self._requests.get(action.id)
        if entry is None or entry.answered:
            return
        if entry.state is RunState.PAUSED:
            entry.state = RunState.RUNNING
            return self._peers.executor.resume_run(entry.request.request_id)
        if self._idempotency.may_run_twice(entry):
            return self._prevent_duplicate(entry)
        verdict = self._idempotency.claim(entry)
        self._apply_verdict(entry, verdict)

    def _prevent_duplicate(self, entry: InFlightRequest) -> None:
        """Fail an attempt whose run could be the second run of its key, which must never be started."""
        log(LOG, logging.ERROR, "duplicate-run-prevented", request_id=entry.request.request_id)
        if self._answers.extended_metrics is not None:
            self._answers.extended_metrics.broken_rules += 1
        self._post(events.CoalescedRequestCompleted(entry, Outcome.ERROR))
        self._completion.answer(entry, Answer(AnswerKind.FAILED))

    def _apply_verdict(self, entry: InFlightRequest, verdict: Verdict) -> None:
        """Apply the verdict on an attempt that the decision module wants to run."""
        if verdict is Verdict.RUN:
            self._start_run(entry)
        elif verdict is Verdict.WAIT:
            entry.state = RunState.CLAIMING
        elif verdict is Verdict.COALESCE:
            entry.withhold_start(RunState.COALESCED)
            self._idempotency.coalesce(admission.Coalesce(entry.id))
        else:
            self._answer_undecided(entry, AnswerKind.REJECTED if verdict is Verdict.REJECT else AnswerKind.FAILED)

    def _start_run(self, entry: InFlightRequest) -> None:
        entry.state = RunState.RUNNING
        self._answers.metrics.runs += 1
        request = entry.request
        self._peers.executor.start_run(
            request.request_id, request.class_name, request.body, self._is_idempotent(request.class_index)
        )

    def _is_idempotent(self, class_index: int) -> bool:
        return self._settings.classes[class_index].idempotency is admission.Idempotency.IDEMPOTENT

    def _answer_undecided(self, entry: InFlightRequest, kind: AnswerKind) -> None:
        """Answer an attempt that has not run, because it is not known in time whether it may run."""
        log(
            LOG,
            logging.WARNING,
            "claim-undecided",
            request_id=entry.request.request_id,
            role=self._idempotency.ownership.role.value,
            answer=kind.value,
        )
        entry.withhold_start(RunState.ENDED)
        self._idempotency.release_unexecuted(entry)
        retry_after_ms = NOT_READY_RETRY_AFTER_MS if kind is AnswerKind.REJECTED else 0.0
        self._completion.answer(entry, Answer(kind, retry_after_ms=retry_after_ms))
        self._post(events.CoalescedRequestCompleted(entry, Outcome.ERROR))

    def cancel(self, action: admission.CancelRun) -> None:
        """Cancel a run; if the settings say so and its request is unanswered, pause it instead."""
        entry = self._requests.get(action.id)
        if entry is None or not entry.in_executor:
            return
        self._completion.cancel_call(entry)
        entry.cancel_requested(not entry.answered and self._settings.cancel_mode is admission.CancelMode.PAUSE)
        self._peers.executor.cancel_run(entry.request.request_id)

    def start_call(self, action: admission.StartCall) -> None:
        """Start the call that a run waits for."""
        entry = self._requests.get(action.id)
        if entry is None or not entry.in_executor or entry.answered:
            return
        request = entry.request
        timeout_ms = action.timeout_ms or self._settings.classes[request.class_index].deadline_ms
        entry.store_call = self._peers.store.start_call(request.request_id, entry.call_body, timeout_ms)

    def skip_call(self, action: admission.SkipCall) -> None:
        """Let a run continue without its call."""
        entry = self._requests.get(action.id)
        if entry is not None and entry.in_executor:
            self._completion.cancel_call(entry)
            self._peers.executor.skip_call(entry.request.request_id, entry.call_notice_index)

    # Events.

    def on_claim_decided(self, event: events.ClaimDecided, module_events: list[admission.Event]) -> None:
        """Apply the verdict on an attempt that waited for the decision on its key."""
        entry = event.entry
        if entry.state is not RunState.CLAIMING:
            return
        if event.verdict is Verdict.RUN and entry.answered:  # no answer is needed any more
            entry.withhold_start(RunState.ENDED)
            self._idempotency.release_key(entry)
            self._post(events.CoalescedRequestCompleted(entry, Outcome.ERROR))
        else:
            self._apply_verdict(entry, event.verdict)

    def on_run_completed(self, event: events.RunCompleted, module_events: list[admission.Event]) -> None:
        """Answer a request with the result of its run, or record that the run is paused."""
        entry = self._requests.find(event.request_id)
        if entry is None or not entry.in_executor:
            return
        outcome = event.outcome
        if outcome is Outcome.CANCELLED and entry.state is RunState.PAUSING and not entry.answered:
            entry.state = RunState.PAUSED
            module_events.append(admission.RunCompleted(entry.id, outcome, event.duration_ms))
            return
        entry.state = RunState.ENDED
        self._completion.cancel_call(entry)
        if outcome not in (Outcome.OK, Outcome.ERROR):
            return self._end_without_result(entry, module_events, ran=outcome is not Outcome.ABANDONED)
        served = outcome is Outcome.OK
        self._idempotency.run_ended(entry, event.result if served else None)
        module_events.append(admission.RunCompleted(entry.id, outcome, event.duration_ms))
        if not entry.answered:
            answer = Answer(AnswerKind.SERVED, event.result) if served else Answer(AnswerKind.FAILED)
            self._completion.answer(entry, answer)
        self._completion.remove_if_complete(entry)

    def _end_without_result(
        self, entry: InFlightRequest, module_events: list[admission.Event], ran: bool, client_error: str = ""
    ) -> None:
        """End a run that was cancelled or never started."""
        if not entry.answered:
            # The executor cancels a run, or does not start it, if the client of the request has gone, and the front
            # may never report that. The decision module reserves slots and calls until it is notified of the end.
            module_events.append(admission.ClientCancelled(entry.id))
            self._completion.answer(entry, Answer(AnswerKind.FAILED, client_error=client_error))
        if ran:
            self._idempotency.run_ended(entry, None)
        else:
            self._idempotency.run_never_started(entry)
        module_events.append(admission.RunCompleted(entry.id, Outcome.CANCELLED, 0.0))
        self._completion.remove_if_complete(entry)

    def on_run_unknown(self, event: events.RunUnknown, module_events: list[admission.Event]) -> None:
        """Fail a request that the executor does not know."""
        entry = self._requests.find(event.request_id)
        if entry is not None and entry.in_executor:
            entry.state = RunState.ENDED
            text = "a request that the executor does not know"
            self._end_without_result(entry, module_events, ran=False, client_error=text)

    def on_run_outcome_unknown(self, event: events.RunOutcomeUnknown, module_events: list[admission.Event]) -> None:
        """Stop waiting for the end of a run whose outcome is unknown, once its request is answered."""
        entry = self._requests.find(event.request_id)
        if entry is not None and entry.in_executor:
            entry.outcome_unknown = True
            if entry.answered:
                self._completion.end_unreported_run(entry)

    def on_call_requested(self, event: events.CallRequested, module_events: list[admission.Event]) -> None:
        """Notify the decision module that a run waits for a call."""
        entry = self._requests.find(event.request_id)
        if entry is not None and entry.in_executor:
            self._completion.cancel_call(entry)  # a call in flight always belongs to the last notice of a call
            entry.call_requested(event.notice_index, event.body)
            module_events.append(admission.CallRequested(entry.id))

    def on_call_completed(self, event: events.CallCompleted, module_events: list[admission.Event]) -> None:
        """Pass the reply to a call to its run, and notify the decision module that the call ended."""
        request_id = event.call.request_id
        entry = self._requests.find(request_id)
        if entry is None or entry.store_call is not event.call:
            return
        entry.store_call = None
        if event.outcome is Outcome.OK:
            self._peers.executor.send_call_reply(request_id, entry.call_notice_index, event.body)
        module_events.append(admission.CallCompleted(entry.id, event.outcome, event.duration_ms))

    def on_call_reply_in_doubt(self, event: events.CallReplyInDoubt, module_events: list[admission.Event]) -> None:
        """Let a run continue without a reply that may be lost, if the settings allow that for its class.

        The command to skip names the notice of the call, so it has no effect on a run that had the reply. Without it
        a run that had the reply continues by itself, and one that had not ends with its request, at its deadline.
        """
        entry = self._requests.find(event.request_id)
        if entry is None or not entry.in_executor or entry.call_notice_index != event.notice_index:
            return
        may_skip = self._settings.classes[entry.request.class_index].degraded_weight > 0
        log(
            LOG,
            logging.WARNING,
            "call-reply-in-doubt",
            request_id=event.request_id,
            index=event.notice_index,
            skipped=may_skip,
        )
        if may_skip:
            self._peers.executor.skip_call(event.request_id, event.notice_index)
