"""Periodic work: removes expired idempotency records, ends lost runs and logs totals."""

from __future__ import annotations

import logging
import time

from lapispick.host.core.answers import AnswerSender
from lapispick.host.core.clock import Clock
from lapispick.host.core.completion import RequestCompletion
from lapispick.host.core.idempotency import IdempotencyCoordinator
from lapispick.host.core.request_table import RequestTable
from lapispick.host.logs import log
from lapispick.host.requests import AnswerKind
from lapispick.host.scheduler import EventLoop

LOG = "core"
RECORD_GRACE_MS = 30_000.0  # expired records are retained this much longer for retries that are read late
SWEEP_INTERVAL_S = 1.0
LOST_RUN_TIMEOUT_MS = 15_000.0  # a run that has not ended this long after its request was answered is lost
TOTALS_INTERVAL_S = 10.0  # between two log lines of totals


class Housekeeper:
    """Periodic work that bounds the stored records and the requests in flight, and logs totals."""

    def __init__(
        self,
        loop: EventLoop,
        clock: Clock,
        requests: RequestTable,
        answers: AnswerSender,
        completion: RequestCompletion,
        idempotency: IdempotencyCoordinator,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._requests = requests
        self._answers = answers
        self._completion = completion
        self._idempotency = idempotency

    def start(self) -> None:
        """Schedule the periodic work."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._loop.call_later(TOTALS_INTERVAL_S, self._log_totals)

    def _sweep(self) -> None:
        """End lost runs and remove expired records.

        A record is removed so late that every retry that was created within its window has been read by then.
        """
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        table = self._idempotency.table
        for record in table.expired(time.time() * 1000 - RECORD_GRACE_MS):
            table.remove(record)
        for entry in self._requests.answered_before(self._clock.now - LOST_RUN_TIMEOUT_MS):
            log(LOG, logging.WARNING, "run-lost", request_id=entry.request.request_id)
            self._completion.end_unreported_run(entry)  # otherwise it would occupy its slot forever

    def _log_totals(self) -> None:
        self._loop.call_later(TOTALS_INTERVAL_S, self._log_totals)
        log(
            LOG,
            logging.INFO,
            "request-totals",
            **{kind.value: self._answers.metrics.total(kind) for kind in AnswerKind},
            cancelled=self._answers.cancelled,
            unanswered=self._answers.unanswered,
            in_flight=len(self._requests),
            keys=len(self._idempotency.table),
            backpressure=self._answers.backpressure,
        )
