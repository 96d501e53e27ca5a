"""SIGHUP applies a new configuration: peers move, runs and notice indices continue, and nothing is lost."""

import itertools
import time

import pytest

from lapispick.fakes.messages import make_idempotency_key
from lapispick.fakes.waiting import wait_until


def move_all_peers(worker):
    for peer in (worker.executor, worker.store, worker.registry):
        peer.relocate()


def test_a_reload_moves_runs_calls_and_load_reports_to_the_new_addresses(host):
    worker = host()
    gateway = worker.gateway()
    running_id = gateway.request("book", "hold", make_idempotency_key())
    calling_id = gateway.request("track", "call:late")
    wait_until(lambda: len(worker.executor.runs) == 2 and worker.store.calls, "both runs and the call")
    move_all_peers(worker)
    worker.reload()
    report_count = len(worker.registry.reports)
    assert gateway.result(gateway.request("track", "call:200")).startswith("reply")
    assert worker.store.calls[-1].store_address == worker.store.address
    assert gateway.result(calling_id).startswith("reply")  # the call in flight ended on its old connection
    worker.executor.end_run_of("hold", "booked")
    assert gateway.result(running_id) == "booked"
    assert [c["index"] for c in worker.executor.commands if c["verb"] == "JOIN"] == [0, 1]
    assert sum(c["verb"] == "EXEC" for c in worker.executor.commands) == 3  # no run was started twice
    wait_until(lambda: len(worker.registry.reports) > report_count, "a report at the new address")
    worker.reload(store="nowhere")
    refusal = "event=reload-refused fault=\"store: expected IP:port with a port from 1 to 65535, got 'nowhere'"
    assert refusal in worker.log()
    worker.reload("{")
    worker.reload(name="other", stop_ms=2000)
    assert "event=reloaded changed=stop_ms" in worker.log()
    assert "needs_restart=name" in worker.log()
    assert gateway.result(gateway.request("track", "call:200")).startswith("reply")  # invalid files changed nothing


def move_links(worker):
    """Move all peers; return a function that breaks the links to their old addresses."""
    old_links = [(peer, list(peer.connections)) for peer in (worker.executor, worker.store)]
    for peer, _ in old_links:
        peer.relocate(break_connections=False)
    worker.registry.relocate()

    def break_old_links():
        for peer, connections in old_links:
            peer.disconnect(connections)

    return break_old_links


def test_reloads_under_load_and_during_a_shutdown_lose_no_request(host):
    worker = host(stop_ms=4000)
    gateway = worker.gateway()
    request_ids = []
    for step in range(8):
        if step == 6:
            worker.terminate()
            wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
        request_ids.append(gateway.request("track", "call:200"))
        break_old_links = move_links(worker)
        worker.reload()
        ids_before_the_move = list(request_ids)
        request_ids.append(gateway.request("book", "call:200", make_idempotency_key()))
        for request_id in ids_before_the_move:  # a keyed call is not repeated if its link breaks
            gateway.answer(request_id)
        break_old_links()
    answers = [gateway.answer(request_id) for request_id in request_ids]
    assert not [a for a in answers[:12] if "result" not in a]
    tasks = [c["task"] for c in worker.executor.commands if c["verb"] == "EXEC"]
    assert len(tasks) == len(set(tasks))
    joins = [c["index"] for c in worker.executor.commands if c["verb"] == "JOIN"]
    assert all(a <= b for a, b in itertools.pairwise(joins))
    wait_until(
        lambda: worker.registry.reports and worker.registry.reports[-1].text == "HERE n3 off",
        "a report that says off at the last address",
    )
    assert worker.process.wait(6) == 0


def test_a_link_that_breaks_during_a_reload_is_opened_at_the_new_address(host):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the run")
    with worker.executor.lock:  # the executor answers nothing more on the old link
        worker.executor.ignores_commands = True
        worker.executor.relocate()
        worker.reload()
        worker.executor.ignores_commands = False
    began = time.monotonic()
    wait_until(lambda: sum(c["verb"] == "JOIN" for c in worker.executor.commands) == 2, "the new link")
    assert time.monotonic() - began < 1
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(request_id) == "booked"
    assert len(worker.executor.runs) == 1


@pytest.mark.parametrize("loss_fraction", [0.75])
def test_load_reports_are_frequent_enough_for_a_registry_that_loses_three_of_four(host, loss_fraction):
    worker = host()
    wait_until(lambda: len(worker.registry.reports) > 8, "some reports")
    times = [t for t, _ in worker.registry.reports][2:]
    assert max(b - a for a, b in itertools.pairwise(times)) < 3 * (1 - loss_fraction)


def test_a_run_that_was_started_is_not_started_again_when_the_link_moves(host):
    """The executor has read the start from the old link, but has sent no notice of it."""
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("track", "hold")
    worker.executor.wait_for_run("hold")
    worker.executor.relocate()
    worker.reload()
    wait_until(lambda: worker.executor.received_verbs.count("JOIN") == 2, "the new link")
    meter_count = worker.executor.received_verbs.count("METER")
    wait_until(
        lambda: worker.executor.received_verbs.count("METER") > meter_count + 4,
        "the time at which the start would be sent again",
    )
    assert worker.executor.received_verbs.count("EXEC") == 1
    worker.executor.end_run(worker.executor.runs[0].task)
    assert gateway.result(request_id) == "done"
