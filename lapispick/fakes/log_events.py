"""Log events that say that a part of the host itself failed; no test expects one of them."""

import re

INTERNAL_ERRORS = ("event-handler-failed", "greenlet-failed", "call-failed", "decision-module-failed")
FORMER_INTERNAL_ERRORS = ("item-failed", "module-failed")  # of an earlier version that a test may start
_PATTERN = re.compile(rf"event=({'|'.join(INTERNAL_ERRORS + FORMER_INTERNAL_ERRORS)})\b")


def internal_errors(log):
    """Return which of these events a log has."""
    return _PATTERN.findall(log)
