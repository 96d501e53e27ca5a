"""Races of a retry with the end of an earlier attempt; `docs/CROSSINGS.md` lists them.

The order of events is forced: the process is suspended while bytes are written to it, or a fake peer withholds a reply.
"""

import time

import pytest

from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until
from tests.host_support import FAILED_CODE, fill_all_slots


def test_retry_after_a_cancellation_is_coalesced_with_the_run(host):
    worker = host()
    gateway, key = worker.gateway(), make_idempotency_key()
    first = gateway.request("book", "hold", key)
    wait_until(lambda: worker.executor.runs, "the run")
    with worker.suspended():
        gateway.cancel(first)
        retry = gateway.request("book", "hold", key, redo=1)
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(retry) == "booked"
    assert len(worker.executor.runs) == 1


@pytest.mark.parametrize("window", [200.0, 3000.0])
def test_retry_at_the_end_of_a_run_gets_the_result_for_any_window(host, window):
    worker = host(info=make_platform_info([{}, {"Window": window}]))
    gateway, key, born = worker.gateway(), make_idempotency_key(), time.time() * 1000
    first = gateway.request("book", "hold", key, born=born)
    wait_until(lambda: worker.executor.runs, "the run")
    wait_until(lambda: time.time() * 1000 > born + 400, "the end of the short window")
    with worker.suspended():
        worker.executor.end_run(worker.executor.runs[0].task, result="booked")
        within = gateway.request("book", "hold", key, born=born + min(window, 400) - 1, redo=1)
    assert gateway.result(first) == gateway.result(within) == "booked"
    assert len(worker.executor.runs) == 1


def occupy_all_slots(worker, gateway):
    """Start the maximum number of concurrent runs, which last until the test ends them."""
    fill_all_slots(lambda: gateway.request("track", "hold"), start_count=lambda: len(worker.executor.runs))


def end_all_runs(worker):
    for task, _, _ in list(worker.executor.runs):
        worker.executor.end_run(task)


def test_attempt_queued_beyond_a_short_window_runs_once_for_all_retries(host):
    worker = host(info=make_platform_info([{}, {"Window": 200.0}]))
    gateway, key = worker.gateway(), make_idempotency_key()
    occupy_all_slots(worker, gateway)
    born = time.time() * 1000
    first = gateway.request("book", "once", key, born=born, patience=4000)
    gateway.answer(gateway.send("probe"))  # once it is answered, the host has read all that was sent before
    wait_until(lambda: time.time() * 1000 > born + 600, "the end of the window")
    beyond = gateway.request("book", "once", key, born=born + 300, patience=4000, redo=1)
    within = gateway.request("book", "once", key, born=born + 150, patience=4600, redo=1)  # read after a later retry
    gateway.answer(gateway.send("probe"))
    end_all_runs(worker)
    assert [gateway.result(n) for n in (first, beyond, within)] == ["did once"] * 3
    assert len(worker.executor.runs_of("once")) == 1


def test_request_coalesced_with_a_rejected_attempt_is_answered_at_once(host):
    worker = host(info=make_platform_info([{}, {"Window": 200.0}]))
    gateway, key = worker.gateway(), make_idempotency_key()
    occupy_all_slots(worker, gateway)
    born = time.time() * 1000
    first = gateway.request("book", "once", key, born=born, patience=1200)
    gateway.answer(gateway.send("probe"))
    wait_until(lambda: time.time() * 1000 > born + 600, "the end of the window")
    retry = gateway.request("book", "once", key, born=born + 150, patience=4500, redo=1)
    assert gateway.error_code(first) == REJECTED_CODE
    assert gateway.error_code(retry) in (REJECTED_CODE, FAILED_CODE)
    assert time.time() * 1000 < born + 2500
    assert not worker.executor.runs_of("once")
