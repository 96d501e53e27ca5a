"""The worker host as a process, with emulated gateways, executor, store and service registry."""

import itertools
import json
import socket
import threading
import time

import pytest

from lapispick.fakes.executor import Executor
from lapispick.fakes.host_pauses import measure_pauses
from lapispick.fakes.messages import REJECTED_CODE, encode_base64, make_idempotency_key
from lapispick.fakes.start_settings import PLATFORM_INFO, make_start_settings
from lapispick.fakes.waiting import wait_until
from tests.host_support import fill_all_slots, send_with_lost_starts


def test_request_is_served_with_the_executors_bytes_and_backpressure(host):
    worker = host()
    gateway = worker.gateway()
    body = "x/y+?" * 50
    request_id = gateway.request("track", body)
    assert gateway.result(request_id) == f"did {body}"
    assert gateway.answer(request_id)["result"]["advice"] >= 0
    assert worker.executor.runs[0][1:] == ("track", body)
    check_id = gateway.send("probe", thorough=True)
    assert gateway.answer(check_id)["result"]["healthy"] is True
    assert "advice" in gateway.answer(check_id)["result"]


@pytest.mark.parametrize(
    ("call", "served"),
    [("200", "reply 1"), ("503 n", "poorer"), ("500", "poorer"), ("break", "poorer"), ("409 n", "poorer")],
)
def test_call_reply_reaches_the_run_or_the_call_is_skipped(host, call, served):
    worker = host()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", f"call:{call}")) == served
    (received, *_) = worker.store.calls
    assert received.request == worker.executor.runs[0].task
    assert received.wait_ms > 0
    assert received.body == call


def test_keyed_request_repeats_a_call_only_if_it_never_ran(host):
    worker = host()
    gateway = worker.gateway()
    call_not_run_id = gateway.request("book", "call:503 n", make_idempotency_key())
    call_maybe_run_id = gateway.request("book", "call:500", make_idempotency_key())
    assert gateway.error_code(call_not_run_id) != REJECTED_CODE  # it ran, so it is failed and not rejected
    assert gateway.error_code(call_maybe_run_id) != REJECTED_CODE
    assert sum(call.body == "503 n" for call in worker.store.calls) > 1
    assert sum(call.body == "500" for call in worker.store.calls) == 1


def test_refused_store_connection_degrades_the_answer(host):
    worker = host()
    worker.store.close()
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "call:200")) == "poorer"
    assert "event=connect-failed" in worker.log()


def test_each_call_has_a_connection_of_its_own_whatever_the_store_closes(host):
    worker = host()
    gateway = worker.gateway()
    for number in range(1, 4):
        assert gateway.result(gateway.request("track", "call:200")) == f"reply {number}"
        worker.store.disconnect()
    assert len({call.connection for call in worker.store.calls}) == len(worker.store.calls) == 3


@pytest.mark.parametrize("class_name", ["track", "book"])
def test_cancelled_request_closes_its_call(host, class_name):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request(class_name, "call:hang", make_idempotency_key(), trace="00000000000000aa")
    wait_until(lambda: worker.store.calls, "the call")
    gateway.cancel(request_id)
    began = time.monotonic()
    wait_until(lambda: worker.store.ended_requests == ["00000000000000aa"], "the end of the call")
    assert time.monotonic() - began < 1.5  # long before the call's timeout


def test_keyed_request_runs_once_and_its_retries_get_the_result(host):
    worker = host()
    gateway, key = worker.gateway(), make_idempotency_key()
    first_id = gateway.request("book", "hold", key)
    wait_until(lambda: worker.executor.runs, "the run")
    retry_id = gateway.request("book", "hold", key, redo=1)
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(first_id) == "booked"
    assert gateway.result(retry_id) == "booked"
    other_gateway = worker.gateway()
    assert other_gateway.result(other_gateway.request("book", "hold", key, redo=1)) == "booked"
    assert len(worker.executor.runs) == 1


def test_attempts_written_in_one_batch_run_once(host):
    worker = host()
    gateway, key = worker.gateway(), make_idempotency_key()
    lines = []
    gateway.send_line, send_line = lines.append, gateway.send_line
    request_ids = [gateway.request("book", "once", key, redo=redo) for redo in (0, 1, 1)]
    send_line(b"\n".join(lines))
    answers = [gateway.answer(request_id) for request_id in request_ids]
    assert len(worker.executor.runs_of("once")) == 1
    assert all(answer.get("result") or answer["error"]["code"] == REJECTED_CODE for answer in answers)
    assert any("result" in answer for answer in answers)


def test_idempotency_window_applies_to_the_time_when_a_retry_was_created(host):
    worker = host()
    gateway, key = worker.gateway(), make_idempotency_key()
    born = time.time() * 1000
    assert gateway.result(gateway.request("book", "late", key, born=born)) == "did late"
    window_ms = PLATFORM_INFO["Services"][1]["Window"]
    wait_until(lambda: time.time() * 1000 > born + window_ms + 1500, "the end of the window")
    # A retry that was created within the window must not run again, even if it is read after the window.
    within_window_id = gateway.request("book", "late", key, born=born + window_ms - 100, patience=9000, redo=1)
    assert gateway.result(within_window_id) == "did late"
    assert len(worker.executor.runs) == 1
    after_window_id = gateway.request("book", "late", key, redo=1)
    assert gateway.result(after_window_id) == "did late"
    assert len(worker.executor.runs) == 2


def test_failed_keyed_request_and_its_retries_fail(host):
    worker = host()
    gateway, key = worker.gateway(), make_idempotency_key()
    assert gateway.error_code(gateway.request("book", "error", key)) != REJECTED_CODE
    assert gateway.error_code(gateway.request("book", "error", key, redo=1)) != REJECTED_CODE
    assert len(worker.executor.runs) == 1


def test_request_that_cannot_finish_is_rejected_at_once_with_a_retry_after(host):
    worker = host()
    gateway = worker.gateway()
    sent_at = time.monotonic()
    request_id = gateway.request("track", "late", born=time.time() * 1000 - 4500, patience=4520)
    data = gateway.answer(request_id)["error"]["data"]
    assert gateway.error_code(request_id) == REJECTED_CODE
    assert data["pause"] > 0
    assert data["terminal"] == 1
    assert "advice" in data
    assert time.monotonic() - sent_at < 1
    assert not worker.executor.runs


def test_run_past_its_deadline_is_failed_and_cancelled(host):
    worker = host()
    gateway = worker.gateway()
    with measure_pauses(worker) as paused_s:
        born = time.time() * 1000
        request_id = gateway.request("track", "hold", born=born, patience=600)
        assert gateway.error_code(request_id) != REJECTED_CODE
        assert time.time() * 1000 <= born + 660 + 1000 * paused_s()
    wait_until(lambda: any(command["verb"] == "KILL" for command in worker.executor.commands), "the cancellation")


def test_flooding_client_does_not_starve_others(host):
    worker = host()
    flooding, gateway, stop = worker.gateway(), worker.gateway(), threading.Event()

    def flood():
        lines = b'{"jsonrpc":"2.0","method":"giveUp","params":{"id":1}}\n' * 5000
        flooding.request("track", "first")
        while not stop.is_set():
            flooding.sock.sendall(lines)

    thread = threading.Thread(target=flood)
    thread.start()
    try:
        for _ in range(5):
            began = time.monotonic()
            assert gateway.result(gateway.request("track", "quick")) == "did quick"
            assert time.monotonic() - began < 2
    finally:
        stop.set()
        thread.join()


def test_new_connection_is_served_beside_too_many_idle_ones(host):
    worker = host()
    name, port = worker.address.split(":")
    idle_connections = [socket.create_connection((name, int(port))) for _ in range(256 * 5 // 8 + 20)]
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "still")) == "did still"
    for connection in idle_connections:
        connection.close()


def test_flood_from_a_slow_reader_closes_its_connection_only(host):
    worker = host()
    slow_gateway, gateway = worker.gateway(), worker.gateway()
    slow_gateway.sock.setblocking(False)
    flood, sent = b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n' * 2000, 0
    while "event=slow-reader-dropped" not in worker.log():
        try:
            sent += slow_gateway.sock.send(flood[sent % len(flood) :])
        except BlockingIOError:
            began = time.monotonic()
            assert gateway.result(gateway.request("track", "between")) == "did between"
            assert time.monotonic() - began < 2
        except OSError:
            break
    worker.wait_for_log("slow-reader-dropped")
    assert gateway.result(gateway.request("track", "after")) == "did after"
    assert worker.peak_memory_mb() < 96  # half of the memory limit


def test_health_checks_fail_until_the_executor_is_ready(host):
    executor = Executor(is_up=False)
    worker = host(executor=executor, wait_for_ready=False)
    gateway = worker.gateway()
    assert gateway.answer(gateway.send("probe"))["result"]["healthy"] is False
    assert gateway.error_code(gateway.request("track", "early")) == REJECTED_CODE
    wait_until(lambda: executor.commands, "the first message")
    executor.become_ready()
    worker.wait_for_log("ready")
    assert gateway.answer(gateway.send("probe"))["result"]["healthy"] is True
    assert gateway.result(gateway.request("track", "now")) == "did now"


def test_lost_link_loses_no_run_and_starts_no_keyed_run_twice(host):
    worker = host()
    gateway = worker.gateway()
    idempotent_id, keyed_id = gateway.request("track", "hold"), gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: len(worker.executor.runs) == 2, "both runs")
    with worker.executor.lock:
        worker.executor.disconnect()
        task_by_class = {handler: task for task, handler, _ in worker.executor.runs}
        worker.executor.end_run(task_by_class["book"], result="booked")  # while there is no link
    assert gateway.result(keyed_id) == "booked"
    worker.executor.end_run(task_by_class["track"], result="tracked")
    assert gateway.result(idempotent_id) == "tracked"
    commands = worker.executor.commands
    assert sum(command["verb"] == "EXEC" and command["task"] == task_by_class["book"] for command in commands) == 1
    assert next(command["index"] for command in commands if command["verb"] == "JOIN") == 0


def test_start_lost_with_a_link_is_resent_for_idempotent_requests_only(host):
    worker = host()
    gateway = worker.gateway()
    idempotent_id, keyed_id = send_with_lost_starts(worker, gateway)
    worker.executor.ignores_commands = False
    worker.executor.disconnect()
    assert gateway.result(idempotent_id) == "did again"
    assert gateway.error_code(keyed_id) != REJECTED_CODE  # it may have run: failed, not rejected
    assert not worker.executor.runs_of("once")


def test_lost_starts_do_not_occupy_slots_forever(host):
    worker = host()
    gateway = worker.gateway()
    worker.executor.ignores_commands = True
    lost_ids = fill_all_slots(
        lambda: gateway.request("book", "never", make_idempotency_key(), patience=4500),
        start_count=lambda: worker.executor.received_verbs.count("EXEC"),
    )
    worker.executor.ignores_commands = False
    worker.executor.disconnect()
    assert all(gateway.error_code(request_id) != REJECTED_CODE for request_id in lost_ids)
    assert gateway.result(gateway.request("track", "next")) == "did next"


def test_repeated_notices_are_ignored(host):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("track", "stay:200")
    wait_until(lambda: "RETURN" in worker.executor.received_verbs, "the reply to the call")
    worker.executor.resends_all_notices = True
    worker.executor.disconnect()
    worker.wait_for_log("call-reply-in-doubt")  # after the old notices
    worker.executor.end_run(worker.executor.runs[0].task, result="done")
    assert gateway.result(request_id) == "done"
    assert len(worker.store.calls) == 1
    assert worker.executor.received_verbs.count("RETURN") == 1


def test_registry_gets_reports_each_second_and_off_at_shutdown(host):
    worker = host()
    wait_until(lambda: len(worker.registry.reports) >= 3, "three reports")
    times = [at for at, text in worker.registry.reports if text == "HERE n3 on"]
    assert len(times) >= 3
    assert max(later - earlier for earlier, later in itertools.pairwise(times)) < 1.5
    worker.terminate()
    wait_until(lambda: worker.registry.reports[-1].text == "HERE n3 off", "a report that says off")


def test_shutdown_answers_all_requests_in_time(host):
    worker = host(stop_ms=3000)
    gateway = worker.gateway()
    running_id, completed_id = (
        gateway.request("track", "hold", patience=9000),
        gateway.request("book", "hold", make_idempotency_key()),
    )
    wait_until(lambda: len(worker.executor.runs) == 2, "both runs")
    began = time.monotonic()
    worker.terminate()
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    new_gateway = worker.gateway()
    assert new_gateway.read()["method"] == "goaway"
    check_id = new_gateway.send("probe")
    assert new_gateway.answer(check_id)["result"]["healthy"] is False
    worker.executor.end_run(next(run.task for run in worker.executor.runs if run.handler == "book"), result="booked")
    assert gateway.result(completed_id) == "booked"
    wait_until(lambda: time.monotonic() - began > 1.9, "the end of the grace")
    late_id = new_gateway.request("track", "late")
    assert new_gateway.error_code(late_id) == REJECTED_CODE
    assert not worker.executor.runs_of("late")
    assert gateway.error_code(running_id) != REJECTED_CODE
    assert worker.process.wait(5) == 0
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
def test_invalid_configuration_names_its_key(change, key):
    from lapispick.host import config

    base = make_start_settings(listen="127.0.0.1:1")
    assert config.parse(json.dumps(base).encode()).limits.sockets == 1024
    with pytest.raises(config.ConfigError, match=f"^{key}"):
        config.parse(json.dumps({**base, **change}).encode())


def test_base64_body_passes_unchanged(host):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("track", "plain")
    assert gateway.answer(request_id)["result"]["doc"] == encode_base64("did plain")
