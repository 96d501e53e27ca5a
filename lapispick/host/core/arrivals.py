"""Handles requests that arrive, and requests that their clients cancel."""

from __future__ import annotations

import logging

from lapispick import admission
from lapispick.host import events
from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.clock import Clock
from lapispick.host.core.completion import RequestCompletion
from lapispick.host.core.decision_module import DecisionModule
from lapispick.host.core.idempotency import IdempotencyCoordinator
from lapispick.host.core.peers import Peers
from lapispick.host.core.request_table import RequestTable
from lapispick.host.logs import log
from lapispick.host.requests import Answer, AnswerKind, Request
from lapispick.idempotency.table import digest_request

LOG = "core"
NOT_READY_RETRY_AFTER_MS = 500.0  # Retry-After of requests that this host can't accept yet
MAX_OPEN_REQUESTS = 2000  # unanswered requests, unless the limits set another maximum


class ArrivalHandler:
    """Handler of arriving requests, which passes them to the decision module or answers them at once."""

    def __init__(
        self,
        clock: Clock,
        settings: admission.Settings,
        requests: RequestTable,
        answers: AnswerSender,
        completion: RequestCompletion,
        idempotency: IdempotencyCoordinator,
        module: DecisionModule,
        peers: Peers,
        max_open_requests: int,
    ) -> None:
        self._clock = clock
        self._classes = settings.classes
        self._requests = requests
        self._answers = answers
        self._completion = completion
        self._idempotency = idempotency
        self._module = module
        self._peers = peers
        self._max_open_requests = max_open_requests
        self._open_limit = float(max_open_requests)

    def set_limit_fraction(self, fraction: float) -> None:
        """Limit the unanswered requests to this fraction of their maximum."""
        self._open_limit = self._max_open_requests * fraction

    def on_request_arrived(self, event: events.RequestArrived, module_events: list[admission.Event]) -> None:
        """Pass a request to the decision module, or answer it at once."""
        request = event.request
        self._answers.count_request(request)
        if (answer := self._immediate_answer(request)) is not None:
            return self._answers.send(request, answer)
        if self._classes[request.class_index].idempotency is not admission.Idempotency.KEYED:
            request.idempotency_key = None
        record = self._idempotency.find_record(request)
        if record is not None:
            retry_of, request_digest = record.owner_attempt, record.request_digest
        elif request.lookup_only:
            return self._answers.send(request, Answer(AnswerKind.FAILED))
        elif (earlier := self._idempotency.find_in_batch(request, module_events)) is not None:
            retry_of, request_digest = earlier.id, digest_request(earlier.request.class_name, earlier.request.body)
        elif request.idempotency_key is not None and not self._idempotency.accepts_new_key():
            return self._answers.send(request, self._not_ready(request, "too many keys"))
        else:
            retry_of, request_digest = 0, None
        if request_digest is not None and request_digest != digest_request(request.class_name, request.body):
            # A client that sends the key of another request with a different body must not get that request's result.
            return self._answers.send(request, Answer(AnswerKind.FAILED, client_error="the key of another request"))
        entry = self._requests.add(request, record)
        if self._peers.recorder is not None:
            self._peers.recorder.record_arrival(entry.id, request)
        module_events.append(self._request_received(entry.id, request, retry_of))

    def _immediate_answer(self, request: Request) -> Answer | None:
        """Return the answer to a request that can't be accepted, whatever its content; None if it can."""
        if self._module.controller is None:
            return self._not_ready(request, "not ready")
        if self._answers.unanswered > self._open_limit:  # bounds the memory even if a front sends more than expected
            return self._not_ready(request, "too many open")
        if self._requests.find(request.request_id) is not None:
            return Answer(AnswerKind.FAILED, client_error="a trace that is open already")
        return None

    def _not_ready(self, request: Request, reason: str) -> Answer:
        """Return the rejection of a request that this host can't accept now, and log the reason."""
        log(LOG, logging.WARNING, "request-rejected", request_id=request.request_id, reason=reason)
        return Answer(AnswerKind.REJECTED, retry_after_ms=NOT_READY_RETRY_AFTER_MS)

    def _request_received(self, entry_id: int, request: Request, retry_of: int) -> admission.RequestReceived:
        return admission.RequestReceived(
            entry_id,
            request.deadline_at,
            request.rank,
            max(0.0, self._clock.now - request.arrived_at),
            retry_of,
            0.0,
            request.request_memory_kb,
            request.class_index,
            request.caller,
        )

    def on_client_cancelled(self, event: events.ClientCancelled, module_events: list[admission.Event]) -> None:
        """Record that a client cancelled its request, and notify the decision module."""
        if event.before_arrival:
            return self._answers.count_cancelled_before_arrival(event.request)
        entry = self._requests.find(event.request.request_id)
        if entry is None or entry.request is not event.request or entry.answered:
            return
        module_events.append(admission.ClientCancelled(entry.id))
        self._completion.cancel(entry)
