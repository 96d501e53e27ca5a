"""Waits for conditions of programs that run beside a test."""

import time

TIMEOUT_S = 15.0  # for anything that is expected to happen
POLL_INTERVAL_S = 0.005


def wait_until(condition, description="what was waited for"):
    """Wait for a condition and return its value; fails after ``TIMEOUT_S``."""
    end = time.monotonic() + TIMEOUT_S
    while not (value := condition()):
        assert time.monotonic() < end, f"{description} did not happen"
        time.sleep(POLL_INTERVAL_S)
    return value
