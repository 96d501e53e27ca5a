"""Helpers shared by tests of a running worker host and its gateways."""

import contextlib

from lapispick.fakes.messages import make_idempotency_key
from lapispick.fakes.waiting import wait_until

FAILED_CODE = -32000  # of a JSON-RPC error: the request may have been executed
MAX_RUNS = 8  # the maximum of concurrent runs of a worker host with the settings of the tests


def ends_without_reset(gateway):
    """Read the rest of a connection; return True if it ends without a reset."""
    with contextlib.suppress(AssertionError):
        while True:
            gateway.read()
    return gateway.file.read() == b""


def send_with_lost_starts(worker, gateway, patience=1500):
    """Send an idempotent and a keyed request whose starts the executor reads and ignores; return their ids."""
    worker.executor.ignores_commands = True
    idempotent_id = gateway.request("track", "again")
    keyed_id = gateway.request("book", "once", make_idempotency_key(), patience=patience)
    wait_until(lambda: worker.executor.received_verbs.count("EXEC") == 2, "both were written")
    return idempotent_id, keyed_id


def fill_all_slots(send_request, start_count):
    """Send requests until as many run as may run at once; return their ids.

    Each is sent once the one before it was started, so that none is queued and rejected. ``start_count`` returns the
    number of started runs.
    """
    request_ids = []
    for count in range(1, MAX_RUNS + 1):
        request_ids.append(send_request())
        wait_until(lambda count=count: start_count() == count, "the start")
    return request_ids
