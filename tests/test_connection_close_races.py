"""Races between the close of a connection and data that is still sent on it; `docs/CROSSINGS.md` lists them.

The races are deterministic: a test sends bytes while the process is suspended, or an emulated peer withholds a reply.
"""

import socket
import time

import pytest

from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.messages import encode_base64, make_idempotency_key
from lapispick.fakes.start_settings import make_platform_info
from lapispick.fakes.waiting import wait_until
from tests.host_support import FAILED_CODE, ends_without_reset


def test_close_with_unread_input_loses_no_answer(host):
    worker = host()
    for unread in (b"{}", b"x" * 60_000):
        gateway = worker.gateway()
        request_id = gateway.request("track", "hold")
        worker.executor.wait_for_run("hold")
        with worker.suspended():
            gateway.sock.sendall(b"not JSON\n" + unread)
        assert gateway.error_code(request_id) == FAILED_CODE
        assert ends_without_reset(gateway)
        worker.executor.runs.clear()


ANSWER_BYTES = len('{"jsonrpc":"2.0","id":1000,"result":{"doc":"","advice":0}}' + encode_base64("did " + "x" * 2000))


def slow_reader(worker):
    """Return a gateway that reads nothing, once the worker host buffers answers for it."""
    host, port = worker.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    gateway = GatewayConnection(sock)
    gateway_port = gateway.sock.getsockname()[1]

    def bytes_in_kernel():
        with open("/proc/net/tcp") as file:
            rows = [line.split() for line in file.read().splitlines()[1:]]
        queues_by_end = [
            [row[4].split(":")[side] for row in rows if int(row[2 - side].split(":")[1], 16) == gateway_port]
            for side in (0, 1)
        ]  # the send queue of the worker host and the receive queue of the gateway
        return sum(int(size, 16) for sizes in queues_by_end for size in sizes)

    unsent_bytes = 0
    # Up to 256 KB are buffered for a slow reader; the answers to one round of requests have 80,000 bytes.
    while unsent_bytes < 60_000:
        for _ in range(30):
            gateway.request("track", "x" * 2000)
        metrics = wait_until(
            lambda: (
                (current_metrics := worker.metrics())["inflight"] == 0
                and gateway.last_id == sum(count for name, count in current_metrics.items() if name.endswith(".track"))
                and current_metrics
            ),
            "the answers to all requests",
        )
        unsent_bytes = metrics["success.track"] * ANSWER_BYTES - bytes_in_kernel()
    return gateway


def test_half_closed_gateway_that_reads_slowly_gets_all_answers(host):
    worker = host()
    gateway = slow_reader(worker)
    gateway.sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: worker.metrics(), "a round of the event loop")
    gateway.answer(gateway.last_id)
    assert sorted(gateway.answers) == list(range(1, gateway.last_id + 1))
    assert ends_without_reset(gateway)


@pytest.mark.parametrize("reads_s", [0.0, 3.5])  # a reader that stalls for 3.5 s may lose its connection
def test_slow_reader_with_pending_answers_is_not_evicted(host, reads_s):
    worker = host(limits={"sockets": 64})
    gateway = slow_reader(worker)
    since = time.monotonic()
    # The kernel buffers megabytes, so these few reads do not make it accept more data from the worker host.
    for read_count in range(int(reads_s / 0.05)):
        wait_until(lambda read_count=read_count: time.monotonic() >= since + 0.05 * read_count, "the time of the read")
        gateway.read()
    others = []  # more connections than there are descriptors, each served and idle
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
        wait_until(lambda: time.monotonic() > since + 1.6, "the time at which the idle connection closes")
        request_id = gateway.request("book", "crossing", make_idempotency_key())
    assert gateway.result(request_id) == "did crossing"
    assert ends_without_reset(gateway)


def test_incomplete_line_closes_the_connection_after_its_open_requests_are_answered(host):
    worker = host()
    gateway = worker.gateway()
    request_id = gateway.request("book", "hold", make_idempotency_key())
    wait_until(lambda: worker.executor.runs, "the start of the run")
    gateway.sock.sendall(gateway.request_line("track", "incomplete", 2)[:50])
    assert gateway.read()["id"] is None  # the error for the incomplete line, sent within 3 s
    gateway.sock.sendall(b" the rest of it\n" + gateway.request_line("track", "after it", 3) + b"\n")
    worker.executor.end_run(worker.executor.runs[0].task, result="booked")
    assert gateway.result(request_id) == "booked"
    assert ends_without_reset(gateway)
    assert not worker.executor.runs_of("after it")
