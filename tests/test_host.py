"""The worker host as a process, spoken to as gateways, the executor, the store and the roster would."""

import itertools
import json
import socket
import threading
import time

import pytest

from lapispick.fakes.executor import Executor
from lapispick.fakes.host_pauses import measure_pauses
from lapispick.fakes.messages import encode_base64, make_idempotency_key
from lapispick.fakes.start_settings import PLATFORM_INFO, make_start_settings
from lapispick.fakes.waiting import wait_until

REFUSED = -32050


def test_a_request_is_served_with_the_executors_bytes_and_advice(host):
    h = host()
    g = h.gateway()
    body = "x/y+?" * 50
    n = g.request("track", body)
    assert g.result(n) == f"did {body}"
    assert g.answer(n)["result"]["advice"] >= 0
    assert h.executor.runs[0][1:] == ("track", body)
    probe = g.send("probe", thorough=True)
    assert g.answer(probe)["result"]["healthy"] is True
    assert "advice" in g.answer(probe)["result"]


@pytest.mark.parametrize(
    ("call", "served"),
    [("200", "reply 1"), ("503 n", "poorer"), ("500", "poorer"), ("break", "poorer"), ("409 n", "poorer")],
)
def test_calls_go_to_the_store_and_back_or_are_left_out(host, call, served):
    h = host()
    g = h.gateway()
    assert g.result(g.request("track", f"call:{call}")) == served
    tag, wait, body, _ = h.store.calls[0]
    assert tag == h.executor.runs[0].task
    assert wait > 0
    assert body == call


def test_a_write_repeats_a_call_only_after_proof_that_it_never_ran(host):
    h = host()
    g = h.gateway()
    turned_away, unsure = (
        g.request("book", "call:503 n", make_idempotency_key()),
        g.request("book", "call:500", make_idempotency_key()),
    )
    assert g.answer(turned_away)["error"]["code"] != REFUSED  # it ran, so it is failed and not turned away
    assert g.answer(unsure)["error"]["code"] != REFUSED
    assert sum(call.body == "503 n" for call in h.store.calls) > 1
    assert sum(call.body == "500" for call in h.store.calls) == 1


def test_a_store_that_refuses_connections_proves_that_nothing_ran(host):
    h = host()
    h.store.close()
    g = h.gateway()
    assert g.result(g.request("track", "call:200")) == "poorer"
    assert "event=connect-failed" in h.log()


def test_store_connections_are_used_again_but_never_stale_ones(host):
    h = host()
    g = h.gateway()

    def again():
        g.result(g.request("track", "call:200"))
        return len({call.connection for call in h.store.calls}) < len(h.store.calls)

    wait_until(again, "a connection that is used again")
    h.store.disconnect()  # closes the connection that was kept
    assert g.result(g.request("track", "call:200")).startswith("reply")


@pytest.mark.parametrize("class_name", ["track", "book"])
def test_an_ended_request_closes_its_call(host, class_name):
    h = host()
    g = h.gateway()
    n = g.request(class_name, "call:hang", make_idempotency_key(), trace="00000000000000aa")
    wait_until(lambda: h.store.calls, "the call")
    g.cancel(n)
    began = time.monotonic()
    wait_until(lambda: h.store.ended_requests == ["00000000000000aa"], "the end of the call")
    assert time.monotonic() - began < 1.5  # long before its own time is over


def test_a_keyed_request_runs_once_and_repeats_get_the_kept_result(host):
    h = host()
    g, key = h.gateway(), make_idempotency_key()
    first = g.request("book", "hold", key)
    wait_until(lambda: h.executor.runs, "the run")
    while_it_runs = g.request("book", "hold", key, redo=1)
    h.executor.end_run(h.executor.runs[0].task, result="booked")
    assert [g.result(n) for n in (first, while_it_runs)] == ["booked"] * 2
    other = h.gateway()
    assert other.result(other.request("book", "hold", key, redo=1)) == "booked"
    assert len(h.executor.runs) == 1


def test_two_tries_written_at_once_see_each_other(host):
    h = host()
    g, key = h.gateway(), make_idempotency_key()
    lines = []
    g.send_line, raw = lines.append, g.send_line
    numbers = [g.request("book", "once", key, redo=i) for i in (0, 1, 1)]
    raw(b"\n".join(lines))
    answers = [g.answer(n) for n in numbers]
    assert len(h.executor.runs_of("once")) == 1
    assert all(a.get("result") or a["error"]["code"] == REFUSED for a in answers)
    assert any("result" in a for a in answers)


def test_a_repeat_counts_by_its_own_time_however_late_it_is_read(host):
    h = host()
    g, key = h.gateway(), make_idempotency_key()
    born = time.time() * 1000
    assert g.result(g.request("book", "late", key, born=born)) == "did late"
    window = PLATFORM_INFO["Services"][1]["Window"]
    wait_until(lambda: time.time() * 1000 > born + window + 1500, "the end of the window")
    # It came within the window, though it is read after it: never a second run.
    within = g.request("book", "late", key, born=born + window - 100, patience=9000, redo=1)
    assert g.result(within) == "did late"
    assert len(h.executor.runs) == 1
    after = g.request("book", "late", key, redo=1)
    assert g.result(after) == "did late"
    assert len(h.executor.runs) == 2


def test_a_failed_write_is_failed_and_its_repeats_too(host):
    h = host()
    g, key = h.gateway(), make_idempotency_key()
    assert g.error_code(g.request("book", "error", key)) != REFUSED
    assert g.error_code(g.request("book", "error", key, redo=1)) != REFUSED
    assert len(h.executor.runs) == 1


def test_what_is_given_up_on_is_answered_at_once_with_a_time_to_come_back(host):
    h = host()
    g = h.gateway()
    began = time.monotonic()
    n = g.request("track", "late", born=time.time() * 1000 - 4500, patience=4520)
    data = g.answer(n)["error"]["data"]
    assert g.error_code(n) == REFUSED
    assert data["pause"] > 0
    assert data["terminal"] == 1
    assert "advice" in data
    assert time.monotonic() - began < 1
    assert not h.executor.runs


def test_running_work_is_failed_by_its_due_time_and_stopped(host):
    h = host()
    g = h.gateway()
    with measure_pauses(h) as paused_s:
        born = time.time() * 1000
        n = g.request("track", "hold", born=born, patience=600)
        assert g.error_code(n) != REFUSED
        assert time.time() * 1000 <= born + 660 + 1000 * paused_s()
    wait_until(lambda: any(c["verb"] == "KILL" for c in h.executor.commands), "the stop")


def test_a_peer_that_never_pauses_does_not_keep_others_waiting(host):
    h = host()
    loud, g, stop = h.gateway(), h.gateway(), threading.Event()

    def flood():
        lines = b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":1}}\n' * 5000
        loud.request("track", "first")
        while not stop.is_set():
            loud.sock.sendall(lines)

    thread = threading.Thread(target=flood)
    thread.start()
    try:
        for _ in range(5):
            began = time.monotonic()
            assert g.result(g.request("track", "quick")) == "did quick"
            assert time.monotonic() - began < 2
    finally:
        stop.set()
        thread.join()


def test_too_many_connections_leave_room_for_those_in_use(host):
    h = host()
    name, port = h.address.split(":")
    crowd = [socket.create_connection((name, int(port))) for _ in range(256 * 5 // 8 + 20)]
    g = h.gateway()
    assert g.result(g.request("track", "still")) == "did still"
    for each in crowd:
        each.close()


def test_a_flood_from_a_slow_reader_ends_its_connection_and_stops_nobody(host):
    h = host()
    slow, g = h.gateway(), h.gateway()
    slow.sock.setblocking(False)
    flood, sent = b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n' * 2000, 0
    while "event=slow-reader-dropped" not in h.log():
        try:
            sent += slow.sock.send(flood[sent % len(flood) :])
        except BlockingIOError:
            began = time.monotonic()
            assert g.result(g.request("track", "between")) == "did between"
            assert time.monotonic() - began < 2
        except OSError:
            break
    h.wait_for_log("slow-reader-dropped")
    assert g.result(g.request("track", "after")) == "did after"
    assert h.peak_memory_mb() < 96  # half of the limit


def test_the_executor_may_come_late_and_probes_are_sick_until_then(host):
    late = Executor(is_up=False)
    h = host(executor=late, wait_for_ready=False)
    g = h.gateway()
    assert g.answer(g.send("probe"))["result"]["healthy"] is False
    assert g.error_code(g.request("track", "early")) == REFUSED
    wait_until(lambda: late.commands, "the first message")
    late.become_ready()
    h.wait_for_log("ready")
    assert g.answer(g.send("probe"))["result"]["healthy"] is True
    assert g.result(g.request("track", "now")) == "did now"


def test_a_lost_link_loses_no_run_and_starts_no_write_twice(host):
    h = host()
    g = h.gateway()
    kept, ended = g.request("track", "hold"), g.request("book", "hold", make_idempotency_key())
    wait_until(lambda: len(h.executor.runs) == 2, "both runs")
    with h.executor.lock:
        h.executor.disconnect()
        by_class = {handler: task for task, handler, _ in h.executor.runs}
        h.executor.end_run(by_class["book"], result="booked")  # while there is no link
    assert g.result(ended) == "booked"
    h.executor.end_run(by_class["track"], result="tracked")
    assert g.result(kept) == "tracked"
    assert sum(c["verb"] == "EXEC" and c["task"] == by_class["book"] for c in h.executor.commands) == 1
    assert next(c["index"] for c in h.executor.commands if c["verb"] == "JOIN") == 0


def test_a_start_that_went_with_a_link_is_sent_again_for_reads_only(host):
    h = host()
    g = h.gateway()
    h.executor.ignores_commands = True
    read, write = g.request("track", "again"), g.request("book", "once", make_idempotency_key(), patience=1500)
    wait_until(lambda: h.executor.received_verbs.count("EXEC") == 2, "both were written")
    h.executor.ignores_commands = False
    h.executor.disconnect()
    assert g.result(read) == "did again"
    assert g.error_code(write) != REFUSED  # it may have run: failed, not turned away
    assert not h.executor.runs_of("once")


def test_a_start_that_was_lost_takes_no_slot_for_good(host):
    h = host()
    g = h.gateway()
    h.executor.ignores_commands = True
    lost = []
    for i in range(1, 9):  # as many as may ever run; one at a time, so that no line makes the module refuse
        lost.append(g.request("book", "never", make_idempotency_key(), patience=4500))
        wait_until(lambda i=i: h.executor.received_verbs.count("EXEC") == i, "the start was written")
    h.executor.ignores_commands = False
    h.executor.disconnect()
    assert all(g.error_code(n) != REFUSED for n in lost)
    assert g.result(g.request("track", "next")) == "did next"


def test_notices_that_were_seen_are_ignored(host):
    h = host()
    g = h.gateway()
    n = g.request("track", "stay:200")
    wait_until(lambda: "RETURN" in h.executor.received_verbs, "the reply to the call")
    h.executor.resends_all_notices = True
    h.executor.disconnect()
    wait_until(lambda: h.executor.received_verbs.count("RETURN") == 2, "the reply once more, behind the old notices")
    h.executor.end_run(h.executor.runs[0].task, result="done")
    assert g.result(n) == "done"
    assert len(h.store.calls) == 1


def test_the_roster_hears_on_each_second_and_off_at_the_notice(host):
    h = host()
    wait_until(lambda: len(h.registry.reports) >= 3, "three reports")
    times = [t for t, word in h.registry.reports if word == "HERE n3 on"]
    assert len(times) >= 3
    assert max(b - a for a, b in itertools.pairwise(times)) < 1.5
    h.terminate()
    wait_until(lambda: h.registry.reports[-1].text == "HERE n3 off", "off")


def test_the_drain_answers_all_and_ends_in_time(host):
    h = host(stop_ms=3000)
    g = h.gateway()
    running, done = g.request("track", "hold", patience=9000), g.request("book", "hold", make_idempotency_key())
    wait_until(lambda: len(h.executor.runs) == 2, "both runs")
    began = time.monotonic()
    h.terminate()
    wait_until(lambda: g.read() and g.goaway_received, "goaway")
    fresh = h.gateway()
    assert fresh.read()["method"] == "goaway"
    probe = fresh.send("probe")
    assert fresh.answer(probe)["result"]["healthy"] is False
    h.executor.end_run(next(t for t, c, _ in h.executor.runs if c == "book"), result="booked")
    assert g.result(done) == "booked"
    wait_until(lambda: time.monotonic() - began > 1.9, "the end of the grace")
    late = fresh.request("track", "late")
    assert fresh.error_code(late) == REFUSED
    assert not h.executor.runs_of("late")
    assert g.error_code(running) != REFUSED
    assert h.process.wait(5) == 0
    assert time.monotonic() - began < 3


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"store": "store:9042"}, "store"),
        ({"seed": "xyz"}, "seed"),
        ({"stop_ms": "soon"}, "stop_ms"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"settings": {**PLATFORM_INFO, "Services": []}}, "settings.Services"),
        ({"settings": {k: v for k, v in PLATFORM_INFO.items() if k != "Layer"}}, "settings.Layer"),
    ],
)
def test_a_faulty_configuration_names_its_key(change, key):
    from lapispick.host import config

    base = make_start_settings(listen="127.0.0.1:1")
    assert config.parse(json.dumps(base).encode()).limits.sockets == 1024
    with pytest.raises(config.ConfigError, match=f"^{key}"):
        config.parse(json.dumps({**base, **change}).encode())


def test_base64_bodies_pass_unchanged(host):
    h = host()
    g = h.gateway()
    n = g.request("track", "plain")
    assert g.answer(n)["result"]["doc"] == encode_base64("did plain")
