"""Races of a shutdown with another event, each forced into the unfavourable order; `docs/CROSSINGS.md` lists them.

The order of events is forced: the process is suspended while bytes are written to it, or a fake peer withholds a reply.
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
from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.waiting import wait_until
from lapispick.handover import messages
from tests.host_support import FAILED_CODE, ends_without_reset


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
        answer = gateway.answer(request_id)  # a request whose run has not ended when the process ends is failed
        assert "result" in answer or answer["error"]["code"] in (REJECTED_CODE, FAILED_CODE)
    assert worker.process.wait(5) == 0
    assert "unanswered=0" in worker.log().split("event=ended")[1]


def suspend_before_exit(host, prepare=lambda worker, gateway: gateway.result(gateway.request("track", "before"))):
    """Return a host that is suspended at the end of its shutdown, a connection to it and the result of ``prepare``."""
    worker = host(stop_ms=800)
    gateway = worker.gateway()
    prepared = prepare(worker, gateway)
    worker.terminate()
    wait_until(lambda: refuses_connections(worker.address), "the end of the listener")
    worker.process.send_signal(signal.SIGSTOP)
    wait_until(worker.is_suspended, "the suspension")
    since = time.monotonic()
    wait_until(lambda: time.monotonic() > since + 0.3, "the end of the shutdown period")
    messages_received = gateway.sock.recv(1 << 16, socket.MSG_PEEK | socket.MSG_DONTWAIT).count(b"\n")
    if "event=ended" not in worker.log() and messages_received == 1:  # the goaway
        return worker, gateway, prepared
    return suspend_before_exit(host, prepare)  # on a busy machine the host was suspended too late


def refuses_connections(address):
    name, port = address.split(":")
    with socket.socket() as sock:
        return sock.connect_ex((name, int(port))) != 0


def test_request_sent_just_before_the_process_ends_is_answered(host):
    worker, gateway, _ = suspend_before_exit(host)
    request_id = gateway.request("book", "last", make_idempotency_key())
    worker.process.send_signal(signal.SIGCONT)
    assert "result" in gateway.answer(request_id) or gateway.error_code(request_id) == REJECTED_CODE
    assert worker.process.wait(5) == 0


def test_run_that_completes_just_before_the_process_ends_gives_its_result(host):
    def start_run(worker, gateway):
        request_id = gateway.request("book", "hold", make_idempotency_key())
        worker.executor.wait_for_run("hold")
        return request_id

    worker, gateway, request_id = suspend_before_exit(host, start_run)
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    worker.process.send_signal(signal.SIGCONT)
    assert gateway.result(request_id) == "booked"
    assert worker.process.wait(5) == 0


def test_request_on_a_connection_that_the_ending_process_closed_is_not_executed(host):
    worker = host(stop_ms=700)
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "before")) == "did before"
    worker.terminate()
    assert ends_without_reset(gateway)  # after this the process reads no more requests
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
        while data := gateway.sock.recv(4096):  # raises BlockingIOError if the connection is still open
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
    request_id = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the run")
    worker.terminate()
    worker.wait_for_log("shutdown-started")
    worker.reload(stop_ms=60_000)
    worker.terminate()
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(request_id) == "booked"
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
    assert gateway.error_code(gateway.request("track", "late")) == REJECTED_CODE
    assert gateway.answer(gateway.send("probe"))["result"]["healthy"] is False
    assert worker.process.wait(5) == 0
    assert not executor.runs


def test_sighup_while_the_program_loads_does_not_end_it(host, tmp_path):
    (tmp_path / "msgspec.py").write_text(  # shadows the real package: raises the signal, then loads the real one
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
    assert gateway.result(gateway.request("track", "loaded")) == "did loaded"
    worker.reload()
