"""A new configuration on SIGHUP: the peers move, runs and indices go on, and nothing is lost."""

import itertools
import time
import uuid

import pytest

from lapispick.fakes.waiting import wait_until


def move_all(h):
    for peer in (h.executor, h.store, h.registry):
        peer.relocate()


def test_a_reload_takes_runs_calls_and_reports_to_the_new_addresses(host):
    h = host()
    g = h.gateway()
    held, called = g.request("book", "hold", uuid.uuid4().hex), g.request("track", "call:late")
    wait_until(lambda: len(h.executor.runs) == 2 and h.store.calls, "both runs and the call")
    move_all(h)
    h.reload()
    seen = len(h.registry.reports)
    assert g.result(g.request("track", "call:200")).startswith("reply")
    assert "{}:{}".format(*h.store.calls[-1].connection.getsockname()) == h.store.address
    assert g.result(called).startswith("reply")  # the call that was out ended on its old connection
    h.executor.end_run(h.executor.runs_of("hold")[0].task, result="booked")
    assert g.result(held) == "booked"
    assert [c["index"] for c in h.executor.commands if c["verb"] == "JOIN"] == [0, 1]
    assert sum(c["verb"] == "EXEC" for c in h.executor.commands) == 3  # none was started again
    wait_until(lambda: len(h.registry.reports) > seen, "a report at the new address")
    h.reload(store="nowhere")
    assert "event=reload-refused fault=\"store: 'nowhere'" in h.log()
    h.reload("{")
    h.reload(name="other", stop_ms=2000)
    assert "event=reloaded changed=stop_ms" in h.log()
    assert "needs_restart=name" in h.log()
    assert g.result(g.request("track", "call:200")).startswith("reply")  # faulty files changed nothing


def test_reloads_under_load_and_in_a_drain_lose_nothing(host):
    h = host(stop_ms=4000)
    g, numbers = h.gateway(), []
    for turn in range(8):
        if turn == 6:
            h.terminate()
            wait_until(lambda: g.read() and g.goaway_received, "goaway")
        numbers.append(g.request("track", "call:200"))
        move_all(h)
        h.reload()
        numbers.append(g.request("book", "call:200", uuid.uuid4().hex))
        wait_until(lambda: len(g.answers) > len(numbers) - 4 or not g.read(), "the answers of the turn before")
    answers = [g.answer(n) for n in numbers]
    assert not [a for a in answers[:12] if "result" not in a]
    tasks = [c["task"] for c in h.executor.commands if c["verb"] == "EXEC"]
    assert len(tasks) == len(set(tasks))
    joins = [c["index"] for c in h.executor.commands if c["verb"] == "JOIN"]
    assert all(a <= b for a, b in itertools.pairwise(joins))
    wait_until(lambda: h.registry.reports and h.registry.reports[-1].text == "HERE n3 off", "off at the last address")
    assert h.process.wait(6) == 0


def test_a_link_that_breaks_with_the_reload_is_joined_at_the_new_address(host):
    h = host()
    g = h.gateway()
    n = g.request("book", "hold", uuid.uuid4().hex)
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
    assert g.result(n) == "booked"
    assert len(h.executor.runs) == 1


@pytest.mark.parametrize("losing", [0.75])
def test_a_roster_that_loses_reports_still_hears_one_in_time(host, losing):
    h = host()
    wait_until(lambda: len(h.registry.reports) > 8, "some reports")
    times = [t for t, _ in h.registry.reports][2:]
    assert max(b - a for a, b in itertools.pairwise(times)) < 3 * (1 - losing)


def test_a_run_that_has_begun_is_not_begun_again_as_the_link_moves(host):
    """Its start is read before the link is left, though no notice of it has come."""
    h = host()
    g = h.gateway()
    n = g.request("track", "hold")
    wait_until(lambda: h.executor.runs_of("hold"), "the run")
    h.executor.relocate()
    h.reload()
    wait_until(lambda: h.executor.received_verbs.count("JOIN") == 2, "the new link")
    beats = h.executor.received_verbs.count("METER")
    wait_until(lambda: h.executor.received_verbs.count("METER") > beats + 4, "the time at which it would be sent again")
    assert h.executor.received_verbs.count("EXEC") == 1
    h.executor.end_run(h.executor.runs[0].task)
    assert g.result(n) == "done"
