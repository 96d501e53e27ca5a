"""SIGHUP applies a new configuration: peers move, runs and notice indices continue, and nothing is lost."""

import itertools
import time
import uuid

import pytest

from lapispick.fakes.waiting import wait_until


def move_all_peers(h):
    for peer in (h.executor, h.store, h.registry):
        peer.relocate()


def test_a_reload_moves_runs_calls_and_load_reports_to_the_new_addresses(host):
    h = host()
    g = h.gateway()
    running = g.request("book", "hold", uuid.uuid4().hex)
    calling = g.request("track", "call:late")
    wait_until(lambda: len(h.executor.runs) == 2 and h.store.calls, "both runs and the call")
    move_all_peers(h)
    h.reload()
    report_count = len(h.registry.reports)
    assert g.result(g.request("track", "call:200")).startswith("reply")
    assert "{}:{}".format(*h.store.calls[-1].connection.getsockname()) == h.store.address
    assert g.result(calling).startswith("reply")  # the call that was out ended on its old connection
    h.executor.end_run(h.executor.runs_of("hold")[0].task, result="booked")
    assert g.result(running) == "booked"
    assert [c["index"] for c in h.executor.commands if c["verb"] == "JOIN"] == [0, 1]
    assert sum(c["verb"] == "EXEC" for c in h.executor.commands) == 3  # none was started again
    wait_until(lambda: len(h.registry.reports) > report_count, "a report at the new address")
    h.reload(store="nowhere")
    assert "event=reload-refused fault=\"store: 'nowhere'" in h.log()
    h.reload("{")
    h.reload(name="other", stop_ms=2000)
    assert "event=reloaded changed=stop_ms" in h.log()
    assert "needs_restart=name" in h.log()
    assert g.result(g.request("track", "call:200")).startswith("reply")  # invalid files changed nothing


def move_links(h):
    """Move all peers, and return what breaks the links to their old addresses."""
    old_links = [(peer, list(peer.connections)) for peer in (h.executor, h.store)]
    for peer, _ in old_links:
        peer.relocate(break_connections=False)
    h.registry.relocate()

    def break_old_links():
        for peer, connections in old_links:
            peer.disconnect(connections)

    return break_old_links


def test_reloads_under_load_and_during_a_shutdown_lose_no_request(host):
    h = host(stop_ms=4000)
    g = h.gateway()
    numbers = []
    for step in range(8):
        if step == 6:
            h.terminate()
            wait_until(lambda: g.read() and g.goaway_received, "goaway")
        numbers.append(g.request("track", "call:200"))
        break_old_links = move_links(h)
        h.reload()
        sent_before_the_move = list(numbers)
        numbers.append(g.request("book", "call:200", uuid.uuid4().hex))
        for number in sent_before_the_move:  # a keyed call on a link that breaks is not made again
            g.answer(number)
        break_old_links()
    answers = [g.answer(n) for n in numbers]
    assert not [a for a in answers[:12] if "result" not in a]
    tasks = [c["task"] for c in h.executor.commands if c["verb"] == "EXEC"]
    assert len(tasks) == len(set(tasks))
    joins = [c["index"] for c in h.executor.commands if c["verb"] == "JOIN"]
    assert all(a <= b for a, b in itertools.pairwise(joins))
    wait_until(lambda: h.registry.reports and h.registry.reports[-1].text == "HERE n3 off", "off at the last address")
    assert h.process.wait(6) == 0


def test_a_link_that_breaks_during_a_reload_is_opened_at_the_new_address(host):
    h = host()
    g = h.gateway()
    number = g.request("book", "hold", uuid.uuid4().hex)
    wait_until(lambda: h.executor.runs, "the run")
    with h.executor.lock:  # the executor answers nothing more on the old link
        h.executor.ignores_commands = True
        h.executor.relocate()
        h.reload()
        h.executor.ignores_commands = False
    began = time.monotonic()
    wait_until(lambda: sum(c["verb"] == "JOIN" for c in h.executor.commands) == 2, "the new link")
    assert time.monotonic() - began < 1
    h.executor.end_run(h.executor.runs[0].task, result="booked")
    assert g.result(number) == "booked"
    assert len(h.executor.runs) == 1


@pytest.mark.parametrize("loss_fraction", [0.75])
def test_load_reports_are_frequent_enough_for_a_registry_that_loses_three_of_four(host, loss_fraction):
    h = host()
    wait_until(lambda: len(h.registry.reports) > 8, "some reports")
    times = [t for t, _ in h.registry.reports][2:]
    assert max(b - a for a, b in itertools.pairwise(times)) < 3 * (1 - loss_fraction)


def test_a_run_that_was_started_is_not_started_again_when_the_link_moves(host):
    """The executor has read its start from the old link, though it has sent no notice of it."""
    h = host()
    g = h.gateway()
    number = g.request("track", "hold")
    wait_until(lambda: h.executor.runs_of("hold"), "the run")
    h.executor.relocate()
    h.reload()
    wait_until(lambda: h.executor.received_verbs.count("JOIN") == 2, "the new link")
    meter_count = h.executor.received_verbs.count("METER")
    wait_until(
        lambda: h.executor.received_verbs.count("METER") > meter_count + 4, "the time at which it would be sent again"
    )
    assert h.executor.received_verbs.count("EXEC") == 1
    h.executor.end_run(h.executor.runs[0].task)
    assert g.result(number) == "done"
