"""Time in which the worker host stands still does not count against its clients."""

import json
import socket
import time

import pytest

from lapispick.fakes.messages import REJECTED_CODE
from lapispick.fakes.waiting import TIMEOUT_S, wait_until
from lapispick.host.connection_eviction import MESSAGE_TIMEOUT_S
from lapispick.host.ops import CALL_TIMEOUT_S
from lapispick.host.scheduler import MIN_STALL_S, READ, EventLoop

WRITE_S = 1.9  # some valid requests take 2 s to arrive
PIECES = 10


def write_slowly(gateway, line, after_piece):
    """Write a line in pieces; ``after_piece`` is called with the number of pieces written."""
    size = -(-len(line) // PIECES)
    for number, start in enumerate(range(0, len(line), size), 1):
        gateway.sock.sendall(line[start : start + size])
        time.sleep(WRITE_S / PIECES)
        after_piece(number)


def pause(worker, seconds):
    with worker.suspended():
        time.sleep(seconds)


@pytest.mark.parametrize("pauses_s", [{5: 0.8}, {2: 0.4, 5: 0.4, 8: 0.4}, {9: 1.5}])
def test_a_pause_while_a_message_is_written_does_not_count_as_time_of_the_client(host, pauses_s):
    worker = host()
    gateway = worker.gateway()
    open_id = gateway.request("track", "hold", patience=9000)
    wait_until(lambda: worker.executor.runs, "the run")
    line = gateway.request_line("track", "slow", request_id=2, patience=9000) + b"\n"

    def after_piece(number):
        if number in pauses_s:
            pause(worker, pauses_s[number])

    write_slowly(gateway, line, after_piece)
    assert gateway.result(2) == "did slow"
    worker.executor.end_run_of("hold", "held")
    assert gateway.result(open_id) == "held"
    assert "event=silent-closed" not in worker.log()


def test_a_pause_before_the_first_message_does_not_count_as_time_of_the_client(host):
    worker = host()
    gateway = worker.gateway()
    worker.call_ops()
    pause(worker, MESSAGE_TIMEOUT_S + 0.5)
    time.sleep(0.5)
    assert gateway.result(gateway.request("track", "x")) == "did x"


def test_a_message_that_arrives_whole_after_its_time_is_rejected_under_its_id(host):
    """Guards against a request that is discarded without an answer while its connection stays open."""
    worker = host()
    gateway = worker.gateway()
    open_id = gateway.request("track", "hold", patience=9000)
    wait_until(lambda: worker.executor.runs, "the run")
    late = gateway.request_line("track", "late", request_id=2, patience=9000) + b"\n"
    gateway.sock.sendall(late[:40])
    wait_until(lambda: "event=silent-closed" in worker.log(), "the end of the message's time")
    assert gateway.read()["id"] is None
    gateway.sock.sendall(late[40:] + gateway.request_line("track", "next", request_id=3) + b"\n")
    assert [gateway.error_code(2), gateway.error_code(3)] == [REJECTED_CODE] * 2
    worker.executor.end_run_of("hold", "held")
    assert gateway.result(open_id) == "held"
    assert gateway.file.readline() == b""  # the connection ends
    assert not worker.executor.runs_of("late")
    assert json.loads(late)["id"] == 2


def test_the_active_time_stands_still_while_a_step_keeps_the_loop_from_polling():
    loop = EventLoop()
    readings = []

    def read():
        readings.append((time.monotonic(), loop.active_time()))

    def block():
        read()
        time.sleep(0.5)

    loop.call_later(0.05, block)
    loop.call_later(0.1, read)
    loop.call_later(0.2, loop.stop)
    loop.run()
    (began, active_began), (ended, active_ended) = readings
    assert ended - began >= 0.5
    assert active_ended - active_began <= MIN_STALL_S + 0.05
    assert active_ended >= active_began


def test_a_wait_for_input_does_not_end_by_a_step_that_keeps_the_loop_from_polling():
    loop = EventLoop()
    ours, peers = socket.socketpair()
    received = []

    def read():
        received.append(loop.wait_for_io(ours.fileno(), READ, 0.3))
        loop.stop()

    def block():
        time.sleep(0.6)
        loop.call_later(0.1, peers.send, b"x")  # a peer that stood still as well

    loop.spawn(read)
    loop.call_later(0.1, block)
    loop.run()
    assert received == [True]
    ours.close()
    peers.close()


def test_a_wait_without_input_ends_after_its_timeout():
    loop = EventLoop()
    ours, peers = socket.socketpair()
    waits = []

    def read():
        began = time.monotonic()
        waits.append((loop.wait_for_io(ours.fileno(), READ, 0.2), time.monotonic() - began))
        loop.stop()

    loop.spawn(read)
    loop.run()
    [(has_input, elapsed_s)] = waits
    assert not has_input
    assert elapsed_s >= 0.2
    ours.close()
    peers.close()


def test_a_pause_within_an_operators_call_does_not_end_it(host):
    worker = host()
    address, port = worker.ops.split(":")
    with socket.create_connection((address, int(port)), timeout=TIMEOUT_S) as sock:
        sock.sendall(b"che")
        time.sleep(0.3)
        pause(worker, CALL_TIMEOUT_S + 0.3)
        time.sleep(0.2)
        sock.sendall(b"ck\n")
        assert sock.makefile("rb").read() != b""
