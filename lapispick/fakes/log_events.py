"""Log events that report an internal error of the host; no test may cause one."""

import re

INTERNAL_ERRORS = ("event-handler-failed", "greenlet-failed", "call-failed", "decision-module-failed")
FORMER_INTERNAL_ERRORS = ("item-failed", "module-failed")  # names in earlier versions, which a test may start
_PATTERN = re.compile(rf"event=({'|'.join(INTERNAL_ERRORS + FORMER_INTERNAL_ERRORS)})\b")


def internal_errors(log):
    """Return the names of the internal errors that a log contains."""
    return _PATTERN.findall(log)
