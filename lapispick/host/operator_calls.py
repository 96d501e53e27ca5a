"""The operators' calls that every worker host answers."""

from __future__ import annotations

from lapispick.host import events
from lapispick.host.core import Core
from lapispick.host.ops import CallHandler


class HostCalls:
    """Answers operators about the state of this process, and drains it."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def by_name(self) -> dict[str, CallHandler]:
        """Return the calls by the names that operators send."""
        return {
            "check": self._check,
            "vars": self._list_metrics,
            "drain-on": lambda: self._set_draining(True),
            "drain-off": lambda: self._set_draining(False),
        }

    def _check(self) -> list[str]:
        """Tell whether this process accepts clients."""
        reason = self._core.health.state.not_accepting_reason
        return [f"ERR {reason}" if reason else "OK"]

    def _list_metrics(self) -> list[str]:
        answers = self._core.answers
        extended = answers.extended_metrics.lines() if answers.extended_metrics is not None else []
        return [*answers.metrics.lines(self._core.unanswered), *extended, "END"]

    def _set_draining(self, draining: bool) -> list[str]:
        self._core.post(events.DrainChanged(draining))  # in the queue before any health check that is read after this
        return ["OK"]
