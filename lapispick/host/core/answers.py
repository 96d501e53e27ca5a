"""Sends the final answers and counts them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lapispick import admission
from lapispick.host.core.clock import Clock
from lapispick.host.metrics import Metrics
from lapispick.host.requests import Answer, AnswerKind, Request

if TYPE_CHECKING:
    from lapispick.host.extended_metrics import ExtendedMetrics

SLACK_MS = 60.0  # of the rule that each request is answered by its due time


class AnswerSender:
    """Owns the number of answers that are owed, the metrics and the backpressure value sent with every answer."""

    def __init__(self, clock: Clock, settings: admission.Settings, names: Sequence[str]) -> None:
        self._clock = clock
        self._classes = settings.classes
        self.metrics = Metrics(names)
        self.extended_metrics: ExtendedMetrics | None = None
        signal = settings.backpressure_signal
        self.backpressure: float | None = None if signal is admission.BackpressureSignal.NONE else 0.0
        self.owed = 0  # requests that wait for their answer
        self.cancelled = 0  # requests whose clients cancelled them

    def opened(self, request: Request) -> None:
        """Note that a request was read and is owed an answer."""
        self.owed += 1
        if self.extended_metrics is not None:
            request.read_at = self._clock.now

    def send(self, request: Request, answer: Answer) -> None:
        """Give a request its final answer."""
        self.owed -= 1
        self.metrics.count_answer(answer.kind, request.class_index)
        if self.extended_metrics is not None:
            self._measure(self.extended_metrics, request, answer.kind)
        request.reply(self._with_backpressure(answer))

    def _with_backpressure(self, answer: Answer) -> Answer:
        kind, result, retry_after_ms, no_retry, _, client_error = answer  # a third of the time of ``_replace``
        return Answer(kind, result, retry_after_ms, no_retry, self.backpressure, client_error)

    def _measure(self, metrics: ExtendedMetrics, request: Request, kind: AnswerKind) -> None:
        now = self._clock.now
        metrics.count_answer(kind, request.class_index, now - request.born_at, now - request.read_at)
        deadline_at = request.deadline_at or request.born_at + self._classes[request.class_index].deadline_ms
        # What was read after its due time was late before this process had it, and is not counted.
        metrics.broken_rules += request.read_at <= deadline_at < self._clock.now - SLACK_MS

    def cancelled_before_arrival(self, request: Request) -> None:
        """Count a request that its client cancelled before the core had it."""
        self.metrics.count_answer(AnswerKind.FAILED, request.class_index)

    def cancelled_by_client(self, request: Request) -> None:
        """Count a request that is owed no answer any more; its front tells whoever still listens."""
        self.cancelled += 1
        self.owed -= 1
        self.metrics.count_answer(AnswerKind.FAILED, request.class_index)

    def advertise(self, action: admission.Advertise) -> None:
        """Send this backpressure value from now on."""
        self.backpressure = action.value
