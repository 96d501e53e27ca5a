"""Races of two events, each forced into the unfavourable order; `docs/CROSSINGS.md` lists them.

The process is stopped while bytes are written to it, or an emulated peer withholds a reply; nothing is left to chance.
"""

import contextlib
import os
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

import pytest

from lapispick.fakes.executor import Executor
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.messages import encode_base64, make_idempotency_key
from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until
from lapispick.handover import messages

REJECTED, FAILED = -32050, -32000


def ends_without_reset(gateway):
    """Read the rest of a connection; True where it ends in order, without a reset."""
    with contextlib.suppress(AssertionError):
        while True:
            gateway.read()
    return gateway.file.read() == b""


# Shutdown.


@pytest.mark.parametrize("stop_ms", [300, 1500])
def test_requests_in_kernel_buffers_at_sigterm_are_answered(host, stop_ms):
    worker = host(stop_ms=stop_ms, limits={"sockets": 1024})
    idle, half_written = worker.gateway(), worker.gateway()
    assert idle.result(idle.request("track", "before")) == "did before"
    line = half_written.request_line("track", "half") + b"\n"
    half_written.sock.sendall(line[:40])
    with worker.suspended():
        unread_id = idle.request("track", "unread")
        backlog = [worker.gateway() for _ in range(300)]
        backlog_ids = [gateway.request("track", "queued") for gateway in backlog]
        half_written.sock.sendall(line[40:])
        worker.terminate()
    for gateway, request_id in [(idle, unread_id), (half_written, 1), *zip(backlog, backlog_ids, strict=True)]:
        answer = gateway.answer(request_id)  # a run that the end of the process cuts short is failed
        assert "result" in answer or answer["error"]["code"] in (REJECTED, FAILED)
    assert worker.process.wait(5) == 0
    assert "unanswered=0" in worker.log().split("event=ended")[1]


def suspend_before_its_end(host, prepare=lambda worker, gateway: gateway.result(gateway.request("track", "before"))):
    """Return a host that shuts down, suspended when it is about to end; a connection; the result of ``prepare``."""
    worker = host(stop_ms=800)
    gateway = worker.gateway()
    prepared = prepare(worker, gateway)
    worker.terminate()
    wait_until(lambda: refuses_connections(worker.address), "the end of the listener")
    worker.process.send_signal(signal.SIGSTOP)
    wait_until(worker.is_suspended, "the stop")
    since = time.monotonic()
    wait_until(lambda: time.monotonic() > since + 0.3, "the time for its end")
    messages_received = gateway.sock.recv(1 << 16, socket.MSG_PEEK | socket.MSG_DONTWAIT).count(b"\n")
    if "event=ended" not in worker.log() and messages_received == 1:  # the goaway
        return worker, gateway, prepared
    return suspend_before_its_end(host, prepare)  # a busy machine delayed this test, and the host had gone further


def refuses_connections(address):
    name, port = address.split(":")
    with socket.socket() as sock:
        return sock.connect_ex((name, int(port))) != 0


def test_request_just_before_the_process_ends_is_read(host):
    worker, gateway, _ = suspend_before_its_end(host)
    request_id = gateway.request("book", "last", make_idempotency_key())
    worker.process.send_signal(signal.SIGCONT)
    assert "result" in gateway.answer(request_id) or gateway.error_code(request_id) == REJECTED
    assert worker.process.wait(5) == 0


def test_run_that_completes_just_before_the_process_ends_gives_its_result(host):
    def start_run(worker, gateway):
        request_id = gateway.request("book", "hold", make_idempotency_key())
        wait_until(lambda: worker.executor.runs_of("hold"), "the run")
        return request_id

    worker, gateway, request_id = suspend_before_its_end(host, start_run)
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    worker.process.send_signal(signal.SIGCONT)
    assert gateway.result(request_id) == "booked"
    assert worker.process.wait(5) == 0


def test_connection_closed_at_the_end_of_the_process_executes_nothing(host):
    worker = host(stop_ms=700)
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "before")) == "did before"
    worker.terminate()
    assert ends_without_reset(gateway)  # then the process takes nothing more
    with contextlib.suppress(OSError):
        gateway.request("book", "after the end", make_idempotency_key())
    assert worker.process.wait(5) == 0
    assert not worker.executor.runs_of("after the end")


def test_idempotency_records_are_handed_over_after_the_last_connection_ends(host, shared_address, tmp_path):
    old = host(listen=shared_address(), stop_ms=2000)
    gateway = old.gateway()
    assert gateway.result(gateway.request("track", "before")) == "did before"
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(next(tmp_path.glob("lapispick-*.sock"))))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"], "passed")))
        _, fds, _, _ = socket.recv_fds(sock, 1, 1)
        os.close(fds[0])
        old.terminate()
        lines = sock.makefile("rb")
        while not isinstance(messages.decode(lines.readline()), messages.HandoverComplete):
            pass
        gateway.sock.setblocking(False)
        received = b""
        while data := gateway.sock.recv(4096):  # would block on a connection that still takes requests
            received += data
        assert b"goaway" in received
    assert old.process.wait(5) == 0


def test_successor_that_reports_serving_at_sigterm_takes_over(host, shared_address, tmp_path):
    old = host(listen=shared_address(), stop_ms=1500)
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(next(tmp_path.glob("lapispick-*.sock"))))
        sock.sendall(messages.encode(messages.Hello(messages.VERSION, "n3", old.config["listen"])))
        _, fds, _, _ = socket.recv_fds(sock, 1, 1)
        old.wait_for_log("linked")
        with old.suspended():
            old.terminate()
            sock.sendall(messages.encode(messages.Serving()))
        old.wait_for_log("shutdown-started")
        assert "handed_over=True" in old.log()
        assert old.process.wait(5) == 0
        os.close(fds[0])


def test_second_sigterm_and_reload_do_not_change_a_shutdown(host):
    worker = host(stop_ms=2500)
    gateway = worker.gateway()
    number = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the run")
    worker.terminate()
    worker.wait_for_log("shutdown-started")
    worker.reload(stop_ms=60_000)
    worker.terminate()
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(number) == "booked"
    assert worker.process.wait(5) == 0
    assert worker.log().count("event=shutdown-started") == 1


def test_host_shut_down_before_its_executor_is_ready_runs_nothing(host):
    executor = Executor(is_up=False)
    worker = host(executor=executor, wait_for_ready=False, stop_ms=1500)
    gateway = worker.gateway()
    worker.terminate()
    worker.wait_for_log("shutdown-started")
    wait_until(lambda: executor.commands, "the first message")
    executor.become_ready()
    worker.wait_for_log("link-up")
    assert gateway.error_code(gateway.request("track", "late")) == REJECTED
    assert gateway.answer(gateway.send("probe"))["result"]["healthy"] is False
    assert worker.process.wait(5) == 0
    assert not executor.runs


def test_sighup_while_the_program_loads_does_not_end_it(host, tmp_path):
    (tmp_path / "msgspec.py").write_text(  # shadows the real package, and loads it after the signal
        "import signal, sys\n"
        "signal.raise_signal(signal.SIGHUP)\n"
        f"sys.path.remove({str(tmp_path)!r})\n"
        "del sys.modules['msgspec']\n"
        "import msgspec\n"
        "sys.modules['msgspec'] = msgspec\n"
    )
    start_command = tomllib.loads(Path("deploy/balancer.toml").read_text())["run"]
    worker = host(
        environ={"PYTHONPATH": str(tmp_path)},
        command=["/bin/sh", "-c", start_command.replace(".venv/bin/python", sys.executable)],
    )
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "alive")) == "did alive"
    worker.reload()


# Closing a connection.


def test_close_over_unread_input_loses_no_answer(host):
    worker = host()
    for unread in (b"{}", b"x" * 60_000):
        gateway = worker.gateway()
        request_id = gateway.request("track", "hold")
        wait_until(lambda: worker.executor.runs_of("hold"), "the run")
        with worker.suspended():
            gateway.sock.sendall(b"not JSON\n" + unread)
        assert gateway.error_code(request_id) == FAILED
        assert ends_without_reset(gateway)
        worker.executor.runs.clear()


ANSWER_BYTES = len('{"jsonrpc":"2.0","id":1000,"result":{"doc":"","advice":0}}' + encode_base64("did " + "x" * 2000))


def slow_reader(worker):
    """Return a gateway that reads nothing, once answers for it wait in the program's own buffer."""
    host, port = worker.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    gateway = GatewayConnection(sock)
    own_port = gateway.sock.getsockname()[1]

    def bytes_in_kernel():
        with open("/proc/net/tcp") as file:
            rows = [line.split() for line in file.read().splitlines()[1:]]
        queues_by_end = [
            [row[4].split(":")[side] for row in rows if int(row[2 - side].split(":")[1], 16) == own_port]
            for side in (0, 1)
        ]  # the send queue of the program, and the receive queue of the gateway
        return sum(int(size, 16) for sizes in queues_by_end for size in sizes)

    unsent_bytes = 0
    while unsent_bytes < 60_000:  # of the 256 KB that are kept for a slow reader; a round of requests has 80,000
        for _ in range(30):
            gateway.request("track", "x" * 2000)
        metrics = wait_until(
            lambda: (
                (now := worker.metrics())["inflight"] == 0
                and gateway.last_id == sum(n for name, n in now.items() if name.endswith(".track"))
                and now
            ),
            "the answers",
        )
        unsent_bytes = metrics["success.track"] * ANSWER_BYTES - bytes_in_kernel()
    return gateway


def test_half_closed_gateway_gets_all_answers_however_slowly_it_reads(host):
    worker = host()
    gateway = slow_reader(worker)
    gateway.sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: worker.metrics(), "a round of the loop")
    gateway.answer(gateway.last_id)
    assert sorted(gateway.answers) == list(range(1, gateway.last_id + 1))
    assert ends_without_reset(gateway)


@pytest.mark.parametrize("reads_s", [0.0, 3.5])  # a reader that stopped for this long may lose its connection
def test_slow_reader_with_pending_answers_is_not_evicted(host, reads_s):
    worker = host(limits={"sockets": 64})
    gateway = slow_reader(worker)
    since = time.monotonic()
    for n in range(int(reads_s / 0.05)):  # so little that the kernel, which holds megabytes, takes no more
        wait_until(lambda n=n: time.monotonic() >= since + 0.05 * n, "its time")
        gateway.read()
    others = []  # more than there are descriptors for, each served and idle
    for _ in range(42):
        gateway.read()
        others.append(worker.gateway())
        others[-1].answer(others[-1].request("track", "busy"))
    gateway.answer(gateway.last_id)
    assert sorted(gateway.answers) == list(range(1, gateway.last_id + 1))


def test_request_sent_as_its_idle_connection_closes_is_answered(host):
    worker = host(info=make_platform_info(Idle=300.0))
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "before")) == "did before"
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    with worker.suspended():
        since = time.monotonic()
        wait_until(lambda: time.monotonic() > since + 1.6, "the time of the close")
        number = gateway.request("book", "crossing", make_idempotency_key())
    assert gateway.result(number) == "did crossing"
    assert ends_without_reset(gateway)


def test_incomplete_line_closes_the_connection_after_its_open_requests_are_answered(host):
    worker = host()
    gateway = worker.gateway()
    number = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the run")
    gateway.sock.sendall(gateway.request_line("track", "incomplete", 2)[:50])
    assert gateway.read()["id"] is None  # the error, within 3 s
    gateway.sock.sendall(b" the rest of it\n" + gateway.request_line("track", "after it", 3) + b"\n")
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(number) == "booked"
    assert ends_without_reset(gateway)
    assert not worker.executor.runs_of("after it")


# The executor.


class UncooperativeExecutor(Executor):
    """Cancels nothing: it replies that there is no such run, or does not reply."""

    replies = True

    def on_kill(self, connection, command):
        if self.replies:
            self.send(connection, verb="BAD", outcome="KILL", task=command["task"])


@pytest.mark.parametrize("replies", [True, False])
def test_runs_that_ignore_cancellation_release_their_slots_in_time(host, replies):
    executor = UncooperativeExecutor()
    executor.replies = replies
    info = make_platform_info([{"GiveUp": 48_000.0, "Promise": 47_000.0}])
    info["Guarantees"]["FallMultiple"] = 2.0  # keeps the number of slots small
    worker = host(executor=executor, info=info)
    gateway = worker.gateway()
    lost = [gateway.request("track", "hold", patience=600) for _ in range(12)]  # as many as may run at once, and more
    assert all(gateway.error_code(n) in (FAILED, REJECTED) for n in lost)
    assert len(worker.executor.runs) > 1
    began = time.monotonic()
    gateway.sock.settimeout(40)
    assert gateway.result(gateway.request("track", "next", patience=40_000)) == "did next"  # it waits for a slot
    assert replies or "event=run-lost" in worker.log()
    assert (time.monotonic() - began < 10) is replies


@pytest.mark.parametrize("effect", ["deduplicated", "at_most_once"])
def test_start_that_is_not_idempotent_is_never_resent(host, effect):
    worker = host(info=make_platform_info([{}, {"Idempotency": effect}]))
    gateway = worker.gateway()
    worker.executor.ignores_commands = True
    read, write = (
        gateway.request("track", "again"),
        gateway.request("book", "once", make_idempotency_key(), patience=1500),
    )
    wait_until(lambda: worker.executor.received_verbs.count("EXEC") == 2, "both were written")
    worker.executor.ignores_commands = False
    worker.executor.disconnect()
    assert gateway.result(read) == "did again"
    assert gateway.error_code(write) != REJECTED
    assert not worker.executor.runs_of("once")


def test_missed_notices_occupy_no_slot_for_good(host):
    worker = host()
    gateway = worker.gateway()
    lost = []
    for i in range(1, 9):  # as many as may ever run
        lost.append(gateway.request("book", "hold", make_idempotency_key(), patience=1500))
        wait_until(lambda i=i: len(worker.executor.runs) == i, "the run")
    worker.executor.max_resent_notices = 4
    with worker.executor.lock:
        worker.executor.disconnect()
        for task, _, _ in worker.executor.runs:
            worker.executor.end_run(task)
        for _ in range(4):
            worker.executor.send_notice(verb="LOG", outcome="later")
    assert all(gateway.error_code(n) == FAILED for n in lost)
    began = time.monotonic()
    assert gateway.result(gateway.request("track", "next")) == "did next"
    assert time.monotonic() - began < 5
    assert "event=notices-missed" in worker.log()


def test_cancel_that_crosses_the_end_of_its_run_occupies_no_slot(host):
    worker = host()
    gateway = worker.gateway()
    with worker.suspended():
        pass
    for _ in range(12):  # more than may run at once: none keeps its slot
        number = gateway.request("track", "hold", patience=2000)
        wait_until(lambda: worker.executor.runs_of("hold"), "the run")
        with worker.suspended():
            worker.executor.end_run(worker.executor.runs[-1].task, result="in time")
            gateway.cancel(number)
        gateway.answer(number)
        worker.executor.runs.clear()
    assert gateway.result(gateway.request("track", "next")) == "did next"


def test_commands_wait_for_the_welcome_of_a_new_link(host):
    worker = host()
    gateway = worker.gateway()
    with worker.executor.lock:
        worker.executor.is_up = False
        worker.executor.disconnect()
    wait_until(lambda: worker.executor.received_verbs.count("JOIN") == 2, "the new link")
    numbers = [gateway.request("track", f"early{i}") for i in range(3)]
    assert gateway.answer(gateway.send("probe"))["result"]["healthy"]
    assert not worker.executor.runs
    worker.executor.become_ready()
    assert [gateway.result(n) for n in numbers] == [f"did early{i}" for i in range(3)]


@pytest.mark.parametrize("relinked", [False, True])
def test_start_sent_before_the_fence_is_answered_has_a_known_outcome(host, relinked):
    worker = host(wait_for_ready=False, executor=(executor := Executor(is_up=False)))
    executor.withheld_fences = []
    wait_until(lambda: executor.connection, "the first link")
    executor.become_ready()
    worker.wait_for_log("ready")
    if relinked:
        executor.disconnect()
    wait_until(lambda: len(executor.withheld_fences) == 1 + relinked, "the link")
    gateway, key = worker.gateway(), make_idempotency_key()
    first = gateway.request("book", "hold", key)
    wait_until(lambda: executor.runs, "the run")
    withheld, executor.withheld_fences = executor.withheld_fences, None
    executor.on_meter(*withheld[-1])
    gateway.cancel(first)
    retry = gateway.request("book", "hold", key, redo=1)
    gateway.answer(gateway.send("probe"))  # then all of this was read
    executor.end_run(executor.runs[0].task, result="booked")
    assert gateway.result(retry) == "booked"
    assert len(executor.runs) == 1


def test_link_lost_twice_before_its_fence_is_answered_loses_no_start(host):
    worker = host()
    gateway = worker.gateway()
    worker.executor.ignores_commands = True
    read, write = (
        gateway.request("track", "again"),
        gateway.request("book", "once", make_idempotency_key(), patience=3000),
    )
    wait_until(lambda: worker.executor.received_verbs.count("EXEC") == 2, "both were written")
    sent = time.monotonic()
    worker.executor.ignores_commands, worker.executor.withheld_fences = False, []
    worker.executor.disconnect()
    wait_until(lambda: worker.executor.withheld_fences, "the second link")
    wait_until(lambda: time.monotonic() > sent + 0.8, "the time after which a start counts as read")
    worker.executor.withheld_fences = None
    worker.executor.disconnect()
    assert gateway.result(read) == "did again"
    assert gateway.error_code(write) == FAILED
    assert not worker.executor.runs_of("once")


FAULTY_NOTICES = [  # with the log event for each, if there is one
    (b"not JSON", "notice-malformed"),
    (b"[1]", "notice-malformed"),
    (b'{"verb":7}', "notice-malformed"),
    (b'{"verb":"EXIT","index":"x"}', "notice-malformed"),
    (b'{"verb":"METERS","readings":["a"]}', "notice-malformed"),
    (b'{"verb":"SING"}', "notice-unknown"),
    (b'{"verb":"BAD","outcome":"EXEC","task":"none"}', "command-refused"),
    (b'{"verb":"EXIT","task":"none","outcome":"complete"}', ""),
    (b'{"verb":"CALLOUT","task":"none"}', ""),
    (b'{"verb":"METERS","nonce":"tick","readings":[]}', ""),
    (b'{"verb":"DIAGNOSED","nonce":"none"}', ""),
    (b'{"verb":"WELCOME","outcome":"chilly","spent":5}', "link-up"),
    (b"\xff\xfe", "notice-malformed"),
    (b"", ""),
]


def test_faulty_notices_do_not_affect_other_requests(host):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the run")
    for line, event in FAULTY_NOTICES:
        before = worker.log().count(f"event={event}")
        worker.executor.connection.sendall(line + b"\n")
        if event:
            wait_until(lambda e=event, n=before: worker.log().count(f"event={e}") > n, f"{event} for {line!r}")
        assert gateway.result(gateway.request("track", "unaffected")) == "did unaffected"
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(request_id) == "booked"
    assert worker.log().count("event=ready") == 1


# The store.


def test_truncated_reply_fails_a_keyed_request_without_a_second_call(host):
    worker = host()
    gateway = worker.gateway()
    complete = len(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
    for size in range(complete):
        assert gateway.error_code(gateway.request("book", f"call:cut {size}", make_idempotency_key())) == FAILED
    assert gateway.result(gateway.request("book", f"call:cut {complete}", make_idempotency_key())) == "reply"
    assert [call.body for call in worker.store.calls] == [f"cut {size}" for size in range(complete + 1)]


def test_pooled_connection_that_closes_as_a_call_is_written_loses_no_call(host):
    worker = host(info=make_platform_info(ClassSkipWorth=[0.0, 0.0]))
    gateway = worker.gateway()
    results = []

    def call_was_repeated():
        results.append(gateway.result(gateway.request("track", "call:hang up")))
        return len(worker.store.calls) > len(results)

    wait_until(call_was_repeated, "a call that met the end of its connection, and was made once more")
    assert all(result.startswith("reply") for result in results)


# Retries.


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


def fill_all_slots(worker, gateway):
    """Start as many runs as there may ever be at once."""
    for i in range(1, 9):
        gateway.request("track", "hold")
        wait_until(lambda i=i: len(worker.executor.runs) == i, "the run")


def end_all_runs(worker):
    for task, _, _ in list(worker.executor.runs):
        worker.executor.end_run(task)


def test_attempt_queued_beyond_a_short_window_runs_once_for_all_retries(host):
    worker = host(info=make_platform_info([{}, {"Window": 200.0}]))
    gateway, key = worker.gateway(), make_idempotency_key()
    fill_all_slots(worker, gateway)
    born = time.time() * 1000
    first = gateway.request("book", "once", key, born=born, patience=4000)
    gateway.answer(gateway.send("probe"))  # then all that was written before was read
    wait_until(lambda: time.time() * 1000 > born + 600, "the end of the window")
    beyond = gateway.request("book", "once", key, born=born + 300, patience=4000, redo=1)
    within = gateway.request("book", "once", key, born=born + 150, patience=4600, redo=1)  # read after a later one
    gateway.answer(gateway.send("probe"))
    end_all_runs(worker)
    assert [gateway.result(n) for n in (first, beyond, within)] == ["did once"] * 3
    assert len(worker.executor.runs_of("once")) == 1


def test_request_coalesced_with_a_rejected_attempt_is_answered_at_once(host):
    worker = host(info=make_platform_info([{}, {"Window": 200.0}]))
    gateway, key = worker.gateway(), make_idempotency_key()
    fill_all_slots(worker, gateway)
    born = time.time() * 1000
    first = gateway.request("book", "once", key, born=born, patience=1200)
    gateway.answer(gateway.send("probe"))
    wait_until(lambda: time.time() * 1000 > born + 600, "the end of the window")
    retry = gateway.request("book", "once", key, born=born + 150, patience=4500, redo=1)
    assert gateway.error_code(first) == REJECTED
    assert gateway.error_code(retry) in (REJECTED, FAILED)
    assert time.time() * 1000 < born + 2500
    assert not worker.executor.runs_of("once")


# Discovery.


def test_registry_learns_the_last_state_after_a_drain_that_ends_at_once(host):
    worker = host()
    wait_until(lambda: worker.registry.reports, "the first report")
    with worker.suspended():
        calls = []
        for command in (b"drain-on\n", b"drain-off\n"):
            name, port = worker.ops.split(":")
            calls.append(socket.create_connection((name, int(port)), timeout=15))
            calls[-1].sendall(command)
    for call in calls:
        assert call.makefile("rb").read() == b"OK\n"
        call.close()
    report_count = len(worker.registry.reports)
    wait_until(lambda: len(worker.registry.reports) > report_count + 12, "reports of three periods")
    assert {text for _, text in worker.registry.reports[-3:]} == {"HERE n3 on"}
    assert "event=drain-off" in worker.log()
