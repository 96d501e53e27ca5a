"""Waits for conditions in processes and threads that run concurrently with a test."""

import time

TIMEOUT_S = 15.0  # default for every expected condition
POLL_INTERVAL_S = 0.005


def wait_until(condition, description="a condition", timeout_s=TIMEOUT_S, poll_interval_s=POLL_INTERVAL_S):
    """Wait until a condition is true and return its value; raises ``AssertionError`` after ``timeout_s``.

    ``description`` is a text, or a function that is called after the timeout and returns the text.
    """
    end = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() >= end:
            text = description() if callable(description) else description
            raise AssertionError(f"timed out after {timeout_s} s while waiting for {text}")
        time.sleep(poll_interval_s)
    return value


def let_time_pass(seconds):
    """Wait for a time in which something must not happen, or in which other processes must detect inactivity."""
    end = time.monotonic() + seconds
    while (remaining_s := end - time.monotonic()) > 0:
        time.sleep(remaining_s)
