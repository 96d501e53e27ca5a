"""Operators' calls that every worker host answers."""

from __future__ import annotations

import time

from lapispick.host import events
from lapispick.host.core import Core
from lapispick.host.ops import CallHandler


class HostCalls:
    """Handlers of operators' calls for the state of this process and for its drain."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def by_name(self) -> dict[str, CallHandler]:
        """Return the handlers by the names that operators send."""
        return {
            "check": self._check,
            "vars": self._list_metrics,
            "drain-on": lambda: self._set_draining(True),
            "drain-off": lambda: self._set_draining(False),
        }

    def _check(self) -> list[str]:
        """Answer OK if this process accepts clients, else the reason why not."""
        reason = self._core.health.state.not_accepting_reason
        return [f"ERR {reason}" if reason else "OK"]

    def _list_metrics(self) -> list[str]:
        answers = self._core.answers
        extended = answers.extended_metrics.lines() if answers.extended_metrics is not None else []
        return [*answers.metrics.lines(self._core.unanswered), *extended, "END"]

    def _set_draining(self, draining: bool) -> list[str]:
        # Queued ahead of any health check that is read later.
        self._core.post(events.DrainChanged(draining, time.monotonic() * 1000))
        return ["OK"]
