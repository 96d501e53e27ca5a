"""Connections under overload: floods that never finish a request, slow writers, and messages cut at any byte."""

import itertools
import random
import select
import socket
import subprocess
import sys
import threading
import time

import msgspec
import pytest

from lapispick.fakes.executor import Executor
from lapispick.fakes.fake_server import ByteByByteSocket
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import wait_until
from lapispick.host import connection_eviction
from lapispick.host.connection_eviction import (
    FIRST_PART_TIMEOUT_S,
    LATER_PART_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    ConnectionState,
)
from lapispick.host.jsonrpc.front import JsonRpcFront
from lapispick.host.scheduler import EventLoop
from lapispick.platform_settings import StartSettings, admission_settings

NEW_CONNECTION = ConnectionState(
    accepted_at=0.0,
    last_used_at=0.0,
    last_received_at=0.0,
    receive_count=1,
    message_started_at=0.0,
    has_pending_answer=False,
    has_sent_valid_message=False,
    is_at_fault=False,
)


def test_connections_are_evicted_by_class_and_then_by_inactivity():
    now = 100.0
    within_message = NEW_CONNECTION._replace(accepted_at=99.0, message_started_at=99.0)
    continued_message = NEW_CONNECTION._replace(message_started_at=98.0, receive_count=4)
    states = {
        "at fault": NEW_CONNECTION._replace(is_at_fault=True, has_sent_valid_message=True, last_used_at=99.0),
        "silent": NEW_CONNECTION._replace(accepted_at=99.5),
        "silent for longer": NEW_CONNECTION._replace(accepted_at=98.0),
        "stopped": within_message._replace(last_received_at=99.1),
        "stopped for longer": within_message._replace(last_received_at=99.0),
        "idle": NEW_CONNECTION._replace(has_sent_valid_message=True, last_used_at=99.0),
        "started": NEW_CONNECTION._replace(message_started_at=99.8, last_received_at=99.8),
        "sending": continued_message._replace(last_received_at=99.5),
        "stopped after several parts": continued_message._replace(last_received_at=99.2),
        "recently served": NEW_CONNECTION._replace(has_sent_valid_message=True, last_used_at=99.8),
        "new": NEW_CONNECTION._replace(accepted_at=99.95),
        "has a pending answer": NEW_CONNECTION._replace(has_pending_answer=True, has_sent_valid_message=True),
        "has a pending answer and is at fault": NEW_CONNECTION._replace(has_pending_answer=True, is_at_fault=True),
    }
    shuffled = list(states.items())
    random.Random(1).shuffle(shuffled)
    assert [name for name, _ in connection_eviction.eviction_order(shuffled, now)] == [
        "at fault",
        "silent for longer",
        "silent",
        "stopped for longer",
        "stopped",
        "stopped after several parts",
        "idle",
        "started",
        "new",
        "recently served",
        "sending",
    ]


@pytest.mark.parametrize(
    ("state", "is_overdue"),
    [
        (NEW_CONNECTION, True),
        (NEW_CONNECTION._replace(has_sent_valid_message=True), False),
        (NEW_CONNECTION._replace(has_sent_valid_message=True, message_started_at=5.0), True),
        (NEW_CONNECTION._replace(accepted_at=9.0), False),
        (NEW_CONNECTION._replace(has_sent_valid_message=True, message_started_at=9.0), False),
    ],
)
def test_the_time_for_a_message_counts_from_connecting_or_from_its_first_byte(state, is_overdue):
    assert connection_eviction.is_overdue(state, 5.0 + MESSAGE_TIMEOUT_S) is is_overdue
    assert 2.0 < MESSAGE_TIMEOUT_S < 3.0 - 0.5
    assert max(FIRST_PART_TIMEOUT_S, LATER_PART_TIMEOUT_S) < MESSAGE_TIMEOUT_S


@pytest.fixture
def front():
    """A front whose connections nobody reads, with ``connect`` to open one."""
    info = msgspec.convert(PLATFORM_INFO, StartSettings)
    started = JsonRpcFront(
        EventLoop(), ("127.0.0.1", 0), info, admission_settings(info), 2, lambda item: None, lambda: None
    )
    started.listen()
    host, port = started.address.split(":")
    clients = []

    def connect():
        clients.append(socket.create_connection((host, int(port))))
        select.select([started.fileno()], [], [], 5)
        started._accept(started._listener)
        return clients[-1]

    started.connect = connect
    yield started
    for client in clients:
        client.close()


def test_unread_input_in_the_kernel_protects_a_connection_from_eviction(front):
    front.connect().sendall(b"{")
    (sending,) = front.connections
    select.select([sending.stream.sock], [], [], 5)
    front._evictor._candidates = None
    assert not front._evictor.evict()
    assert not sending.stream.closed
    front.connect()
    silent = next(connection for connection in front.connections if connection is not sending)
    front._evictor._candidates = None
    assert front._evictor.evict()
    assert silent.stream.closed
    assert not sending.stream.closed


def test_a_complete_message_that_is_not_processed_keeps_its_connection_open(front):
    front.connect().sendall(b'{"jsonrpc":"2.0"}\n')
    (connection,) = front.connections
    select.select([connection.stream.sock], [], [], 5)
    connection.stream.loop.yield_control = lambda: None
    connection.stream._receive(None)  # into the buffer, as before a reader that lets other greenlets run
    assert not connection.stream.has_pending_input()
    assert not front._evictor.evict()
    assert not connection.stream.closed
    connection.activity.last_used_at -= 60
    front.set_idle_timeout(100.0)
    front._sweep()
    assert not connection.stream.closing
    assert not connection.stream.closed


def test_a_listener_that_is_closed_before_its_greenlet_runs_is_not_accepted_from(front):
    front.loop.wait_for_io = lambda fd, event: front.close_listener(is_shared=True) is None
    front._accept = lambda listener: pytest.fail("a closed listener was accepted from")
    front.serve()
    assert not front.is_listening


PARTS = 20  # of a message that is written slowly
WRITE_S = 2.0  # the time that it takes
# The host has to wait for a writer whose delays stay under these; on a busy machine a writer may exceed them itself.
MAX_FIRST_GAP_S = FIRST_PART_TIMEOUT_S - 0.05
MAX_LATER_GAP_S = LATER_PART_TIMEOUT_S - 0.15
MAX_WRITE_S = MESSAGE_TIMEOUT_S - 0.15
FLOOD = """
import contextlib, random, socket, sys, time
rng, mine, end = random.Random(int(sys.argv[3])), [], time.monotonic() + 60
while time.monotonic() < end:
    with contextlib.suppress(OSError):
        mine.append(socket.create_connection((sys.argv[1], int(sys.argv[2]))))
        mine[-1].sendall(b'{"jsonrpc":"2.0","id":1,"method":"track","params":{"trace":'[: rng.randrange(0, 50)])
    if len(mine) > 100:  # far more of all together than the host has descriptors
        mine.pop(rng.randrange(50)).close()
    time.sleep(0.005)  # up to 200 a second from each
"""


class SlowWriter:
    """Writes a request in parts on a connection of its own."""

    def __init__(self, host, body):
        self.gateway = host.gateway()
        # Its creation time is that of its last byte: an older request would be past its latency objective.
        created_at_ms = (time.time() + WRITE_S) * 1000
        self.line = self.gateway.request_line("track", body, born=created_at_ms) + b"\n"
        self.written_at = []

    def write(self):
        cuts = [len(self.line) * part // PARTS for part in range(PARTS + 1)]
        started_at = time.monotonic()
        for part, (start, end) in enumerate(itertools.pairwise(cuts)):
            time.sleep(max(0.0, started_at + part * WRITE_S / PARTS - time.monotonic()))
            self.gateway.sock.sendall(self.line[start:end])
            self.written_at.append(time.monotonic())

    def is_punctual(self):
        """Tell whether all parts so far were written in time, the one that may be due now among them."""
        times = list(self.written_at)
        if len(times) < PARTS:
            times.append(time.monotonic())
        first_gap, *later_gaps = (end - start for start, end in itertools.pairwise(times))
        if times[-1] - times[0] >= MAX_WRITE_S:
            return False
        return first_gap < MAX_FIRST_GAP_S and max(later_gaps, default=0) < MAX_LATER_GAP_S


def test_valid_requests_are_served_during_a_flood_of_connections_that_never_finish_one(host):
    """A punctual slow writer is served; one that the busy machine delayed counts for nothing and writes again."""
    started = host(executor=Executor(work_s=0.001))
    address = started.address.split(":")
    flood = [subprocess.Popen([sys.executable, "-c", FLOOD, *address, str(seed)]) for seed in range(2)]
    results = []

    def write_slowly():
        for _ in range(10):
            writer = SlowWriter(started, "slow")
            try:
                writer.write()
                return results.append(writer.gateway.result(1))
            except (OSError, AssertionError, KeyError) as err:
                if writer.is_punctual():
                    return results.append(f"a punctual writer got {err!r}")

    try:
        threads = [threading.Thread(target=write_slowly) for _ in range(6)]
        for thread in threads:
            thread.start()
        for number in range(60):
            started_at = time.monotonic()
            gateway = started.gateway()
            assert gateway.result(gateway.request("track", f"x{number}")) == f"did x{number}"
            assert time.monotonic() - started_at < 2
            gateway.sock.close()
            assert started.call_operators() == ["OK"]
        for thread in threads:
            thread.join()
    finally:
        for process in flood:
            process.kill()
            process.wait()
    assert results == ["did slow"] * 6
    assert started.peak_memory_mb() < 64


def test_a_request_may_be_cut_at_any_byte(host):
    started = host()
    other_gateway = started.gateway()
    gateway = started.gateway()
    line = gateway.request_line("track", "cut", number=1) + b"\n"
    for cut_at in range(1, len(line)):
        line = gateway.request_line("track", f"cut{cut_at}", number=cut_at) + b"\n"
        gateway.sock.sendall(line[:cut_at])
        other_gateway.answer(other_gateway.send("probe"))  # the host has read the first part when it answers this
        gateway.sock.sendall(line[cut_at:])
        assert gateway.result(cut_at) == f"did cut{cut_at}"


def test_operators_calls_and_all_peers_may_send_byte_by_byte(host):
    executor = Executor()
    executor.byte_by_byte = True
    store = Store()
    store.byte_by_byte = True
    started = host(executor=executor, store=store)
    gateway = started.gateway()
    for number in range(5):
        assert gateway.result(gateway.request("track", "call:200")).startswith("reply")
        assert gateway.result(gateway.request("book", f"x{number}", f"{number:032x}")) == f"did x{number}"
    for call in ("check", "vars"):
        with socket.create_connection(started.ops.split(":")) as sock:
            ByteByByteSocket(sock).sendall(f"{call}\n".encode())
            assert sock.makefile().read().splitlines()[-1] in ("OK", "END")


def test_silent_connections_that_were_served_stay_open_and_are_served_again(host):
    started = host()
    gateways = [started.gateway() for _ in range(20)]
    for gateway in gateways:
        assert gateway.result(gateway.request("track", "once")) == "did once"
    silent_since = time.monotonic()
    wait_until(lambda: time.monotonic() - silent_since > MESSAGE_TIMEOUT_S + 0.3, "more than the time for a message")
    for gateway in gateways:
        assert gateway.result(gateway.request("track", "again")) == "did again"


def test_an_eviction_order_that_was_computed_before_closes_no_connection_that_must_stay_by_now(front, monkeypatch):
    """A connection that was silent then may owe an answer now, and the other way round."""
    eviction_order = connection_eviction.eviction_order
    computed = []
    monkeypatch.setattr(
        connection_eviction, "eviction_order", lambda *arguments: computed.append(1) or eviction_order(*arguments)
    )
    front._max_connections = 3
    for _ in range(3):
        front.connect()
    first, second, third = sorted(front.connections, key=lambda connection: connection.activity.accepted_at)
    for connection in front.connections:
        connection.activity.accepted_at -= 1.0
    third.requests.by_id[1] = None
    assert front._evictor.evict()
    assert first.stream.closed
    second.requests.by_id[1] = None  # its request was read in between
    assert not front._evictor.evict()
    assert not second.stream.closed
    assert not third.stream.closed
    third.requests.by_id.clear()
    assert front._evictor.evict()
    assert third.stream.closed
    assert not second.stream.closed
    computed_before = len(computed)
    front._max_connections = 100
    for _ in range(12):
        front.connect()
    for connection in front.connections:
        connection.activity.accepted_at -= 1.0
    while sum(not connection.stream.closed for connection in front.connections) > 2:
        assert front._evictor.evict()
    assert len(computed) == computed_before + 1  # one order for all evictions of one burst
