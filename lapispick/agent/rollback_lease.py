"""The lease that a host holds, as a member, while it rolls back an unconfirmed change."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lapispick.host.logs import log

LOG = "agent"
OWNER = "agent"
_HELD_ANSWER = "OK held"


class RollbackLease:
    """A named lease; ``call_host`` sends a line to the host and returns its answer."""

    def __init__(self, name: str, call_host: Callable[[str], list[str]]) -> None:
        self._name = name  # empty = no lease is requested
        self._call_host = call_host
        self._is_requested = False
        self.is_held = False

    def update(self, is_needed: bool) -> None:
        """Request the lease while it is needed, and release it afterwards."""
        if not self._name or not (is_needed or self._is_requested):
            return
        command = "want" if is_needed else "done"
        answer = self._call_host(f"{command} {self._name} {OWNER}")[0]
        self.is_held = is_needed and answer.startswith(_HELD_ANSWER)
        self._is_requested = is_needed
        if is_needed:
            log(LOG, logging.DEBUG, "agent-lease", answer=answer)
