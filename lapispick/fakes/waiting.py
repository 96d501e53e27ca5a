"""Waits for conditions of programs that run beside a test."""

import time

TIMEOUT_S = 15.0  # for anything that is expected to happen
POLL_INTERVAL_S = 0.005


def wait_until(condition, description="what was waited for", timeout_s=TIMEOUT_S, poll_interval_s=POLL_INTERVAL_S):
    """Wait for a condition and return its value; fails after ``timeout_s``.

    ``description`` is a text, or a function that returns one once the wait has failed.
    """
    end = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() >= end:
            text = description() if callable(description) else description
            raise AssertionError(f"{text} did not happen")
        time.sleep(poll_interval_s)
    return value


def let_time_pass(seconds):
    """Wait for a time in which something must not happen, or others must notice that nothing happens."""
    end = time.monotonic() + seconds
    while (left := end - time.monotonic()) > 0:
        time.sleep(left)
