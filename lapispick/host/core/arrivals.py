"""Requests that arrive, and those that their clients cancel."""

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
NOT_READY_MS = 500.0  # when to come back to a host that can't take the request yet
MAX_OPEN_REQUESTS = 2000  # that wait for an answer, unless the limits say otherwise


class ArrivalHandler:
    """Hands requests to the decision module, or answers at once those that it must not see."""

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
        max_open: int,
    ) -> None:
        self._clock = clock
        self._classes = settings.classes
        self._requests = requests
        self._answers = answers
        self._completion = completion
        self._idempotency = idempotency
        self._module = module
        self._peers = peers
        self._max_open = max_open
        self._open_limit = float(max_open)

    def use_quota(self, fraction: float) -> None:
        """Limit the open requests to this fraction of the maximum."""
        self._open_limit = self._max_open * fraction

    def on_request_arrived(self, event: events.RequestArrived, module_events: list[admission.Event]) -> None:
        """Take a request in."""
        request = event.request
        self._answers.opened(request)
        if (answer := self._immediate_answer(request)) is not None:
            return self._answers.send(request, answer)
        if self._classes[request.class_index].idempotency is not admission.Idempotency.KEYED:
            request.idempotency_key = None
        record = self._idempotency.find_record(request)
        if record is not None:
            retry_of, fingerprint = record.owner_attempt, record.request_digest
        elif request.lookup_only:
            return self._answers.send(request, Answer(AnswerKind.FAILED))
        elif (first := self._idempotency.find_in_batch(request, module_events)) is not None:
            retry_of, fingerprint = first.id, digest_request(first.request.class_name, first.request.body)
        else:
            retry_of, fingerprint = 0, None
        if fingerprint is not None and fingerprint != digest_request(request.class_name, request.body):
            # Guards the result of one request against whoever names its key with another body.
            return self._answers.send(request, Answer(AnswerKind.FAILED, client_error="the key of another request"))
        entry = self._requests.add(request, record)
        if self._peers.recorder is not None:
            self._peers.recorder.record_arrival(entry.id, request)
        module_events.append(self._received(entry.id, request, retry_of))

    def _immediate_answer(self, request: Request) -> Answer | None:
        """Return the answer to a request that can't be taken whatever it asks for."""
        if self._module.controller is None:
            log(LOG, logging.WARNING, "request-rejected", request_id=request.request_id, reason="not ready")
            return Answer(AnswerKind.REJECTED, retry_after_ms=NOT_READY_MS)
        if self._answers.owed > self._open_limit:  # guards the memory against more than any front sends
            log(LOG, logging.WARNING, "request-rejected", request_id=request.request_id, reason="too many open")
            return Answer(AnswerKind.REJECTED, retry_after_ms=NOT_READY_MS)
        if self._requests.find(request.request_id) is not None:
            return Answer(AnswerKind.FAILED, client_error="a trace that is open already")
        return None

    def _received(self, number: int, request: Request, retry_of: int) -> admission.RequestReceived:
        return admission.RequestReceived(
            number,
            request.deadline_at,
            request.rank,
            max(0.0, self._clock.now - request.born_at),
            retry_of,
            0.0,
            request.request_memory_kb,
            request.class_index,
            request.caller,
        )

    def on_client_cancelled(self, event: events.ClientCancelled, module_events: list[admission.Event]) -> None:
        """Note that nobody waits for a request any more."""
        if event.before_arrival:
            return self._answers.cancelled_before_arrival(event.request)
        entry = self._requests.find(event.request.request_id)
        if entry is None or entry.request is not event.request or entry.answered:
            return
        module_events.append(admission.ClientCancelled(entry.id))
        self._completion.cancel(entry)
