"""Less room: crowds that never finish a request, slow writers, and messages cut at any byte."""

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
from lapispick.host.connection_eviction import FIRST_S, QUIET_S, Standing
from lapispick.host.jsonrpc.front import Gateways
from lapispick.host.scheduler import EventLoop
from lapispick.platform_settings import StartSettings, admission_settings

NEW = Standing(since=0.0, used_at=0.0, heard_at=0.0, pieces=1, begun_at=0.0, open=False, served=False, at_fault=False)


def test_the_least_loss_goes_first_and_what_is_open_or_young_stays():
    now = 100.0
    kinds = {
        "fault": NEW._replace(at_fault=True, served=True, used_at=99.0),
        "silent": NEW._replace(since=99.5),
        "older silent": NEW._replace(since=98.0),
        "stalled": NEW._replace(since=99.0, begun_at=99.0, heard_at=99.1),
        "longer stalled": NEW._replace(since=99.0, begun_at=99.0, heard_at=99.0),
        "idle": NEW._replace(served=True, used_at=99.0),
        "begun": NEW._replace(begun_at=99.8, heard_at=99.8),
        "going on": NEW._replace(begun_at=98.0, heard_at=99.5, pieces=4),
        "gave up": NEW._replace(begun_at=98.0, heard_at=99.2, pieces=4),
        "just served": NEW._replace(served=True, used_at=99.8),
        "young": NEW._replace(since=99.95),
        "open": NEW._replace(open=True, served=True),
        "open and at fault": NEW._replace(open=True, at_fault=True),
    }
    mixed = list(kinds.items())
    random.Random(1).shuffle(mixed)
    assert [c for c, _ in connection_eviction.order(mixed, now)] == [
        "fault",
        "older silent",
        "silent",
        "longer stalled",
        "stalled",
        "gave up",
        "idle",
        "begun",
        "young",
        "just served",
        "going on",
    ]


@pytest.mark.parametrize(
    ("standing", "late"),
    [
        (NEW, True),
        (NEW._replace(served=True), False),
        (NEW._replace(served=True, begun_at=5.0), True),
        (NEW._replace(since=9.0), False),
        (NEW._replace(served=True, begun_at=9.0), False),
    ],
)
def test_a_message_has_its_time_from_connecting_or_from_its_first_byte(standing, late):
    assert connection_eviction.overdue(standing, 5.0 + FIRST_S) is late
    assert 2.0 < FIRST_S < 3.0 - 0.5
    assert max(QUIET_S) < FIRST_S


@pytest.fixture
def front():
    """A front that nobody reads for, and a client's connection to it."""
    info = msgspec.convert(PLATFORM_INFO, StartSettings)
    made = Gateways(EventLoop(), ("127.0.0.1", 0), info, admission_settings(info), 2, lambda item: None, lambda: None)
    made.listen()
    name, port = made.address.split(":")
    clients = []

    def connect():
        clients.append(socket.create_connection((name, int(port))))
        select.select([made.fileno()], [], [], 5)
        made._accept(made._sock)
        return clients[-1]

    made.client = connect
    yield made
    for each in clients:
        each.close()


def test_bytes_that_wait_in_the_system_keep_a_connection(front):
    first = front.client()
    first.sendall(b"{")
    (kept,) = front.connections
    select.select([kept.stream.sock], [], [], 5)
    front._going = None
    assert not front._make_room()
    assert not kept.stream.closed
    front.client()
    silent = next(c for c in front.connections if c is not kept)
    front._going = None
    assert front._make_room()
    assert silent.stream.closed
    assert not kept.stream.closed


def test_a_message_that_was_received_whole_keeps_its_connection_until_it_is_taken(front):
    front.client().sendall(b'{"jsonrpc":"2.0"}\n')
    (kept,) = front.connections
    select.select([kept.stream.sock], [], [], 5)
    kept.stream.loop.yield_control = lambda: None
    kept.stream._receive(None)  # in the buffer, and its reader gives way to others before it takes it
    assert not kept.stream.has_pending_input()
    assert not front._make_room()
    assert not kept.stream.closed
    kept.used_at -= 60
    front.limit_idle(100.0)
    front._sweep()
    assert not kept.stream.closing
    assert not kept.stream.closed


def test_a_listener_that_is_closed_between_its_wake_and_its_turn_is_let_be(front):
    front.loop.wait_for_io = lambda fd, event: front.close_listener(passed=True) is None
    front._accept = lambda sock: pytest.fail("a closed listener was asked")
    front.serve()
    assert not front.listening


PIECES, SPAN = 20, 2.0  # of a message that is written slowly, and the seconds that it takes
# s; a writer that a busy machine held up for longer than this is none of those that the host must wait for
PUNCTUAL = (QUIET_S[0] - 0.05, QUIET_S[1] - 0.15, FIRST_S - 0.15)  # after the first piece, after others, in all
CROWD = """
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


class Writer:
    """Writes a request in pieces on a connection of its own."""

    def __init__(self, h, body):
        self.gateway = h.gateway()
        # It comes with its last byte; one that were older than its aim would be worth nothing here.
        self.line = self.gateway.request_line("track", body, born=(time.time() + SPAN) * 1000) + b"\n"
        self.at = []

    def write(self):
        cuts = [len(self.line) * i // PIECES for i in range(PIECES + 1)]
        began = time.monotonic()
        for number, (a, b) in enumerate(itertools.pairwise(cuts)):
            time.sleep(max(0.0, began + number * SPAN / PIECES - time.monotonic()))
            self.gateway.sock.sendall(self.line[a:b])
            self.at.append(time.monotonic())

    def punctual(self):
        """Tell whether all pieces so far came in their time, the one that may be due now among them."""
        times = [*self.at, time.monotonic()] if len(self.at) < PIECES else self.at
        first, *others = (b - a for a, b in itertools.pairwise(times))
        return first < PUNCTUAL[0] and max(others, default=0) < PUNCTUAL[1] and times[-1] - times[0] < PUNCTUAL[2]


def test_true_requests_pass_a_crowd_that_never_finishes_one(host):
    """Who keeps its time is served. Its own delays on a busy machine do not count against the host: it tries again."""
    h = host(executor=Executor(work_s=0.001))
    crowd = [subprocess.Popen([sys.executable, "-c", CROWD, *h.address.split(":"), str(seed)]) for seed in range(2)]
    got = []

    def write_slowly():
        for _ in range(10):
            writer = Writer(h, "slow")
            try:
                writer.write()
                return got.append(writer.gateway.result(1))
            except (OSError, AssertionError, KeyError) as err:
                if writer.punctual():
                    return got.append(f"a punctual writer got {err!r}")

    try:
        slow = [threading.Thread(target=write_slowly) for _ in range(6)]
        for each in slow:
            each.start()
        for n in range(60):
            began = time.monotonic()
            g = h.gateway()
            assert g.result(g.request("track", f"x{n}")) == f"did x{n}"
            assert time.monotonic() - began < 2
            g.sock.close()
            assert h.call_operators() == ["OK"]
        for each in slow:
            each.join()
    finally:
        for each in crowd:
            each.kill()
            each.wait()
    assert got == ["did slow"] * 6
    assert h.peak_memory_mb() < 64


def test_a_request_may_be_cut_at_any_byte(host):
    h = host()
    pulse, g = h.gateway(), h.gateway()
    line = g.request_line("track", "cut", number=1) + b"\n"
    for at in range(1, len(line)):
        line = g.request_line("track", f"cut{at}", number=at) + b"\n"
        g.sock.sendall(line[:at])
        pulse.answer(pulse.send("probe"))  # the host has had a turn in between
        g.sock.sendall(line[at:])
        assert g.result(at) == f"did cut{at}"


def test_operators_calls_and_all_peers_may_come_byte_by_byte(host):
    executor, store = Executor(), Store()
    executor.byte_by_byte = store.byte_by_byte = True
    h = host(executor=executor, store=store)
    g = h.gateway()
    for n in range(5):
        assert g.result(g.request("track", "call:200")).startswith("reply")
        assert g.result(g.request("book", f"x{n}", f"{n:032x}")) == f"did x{n}"
    for word in ("check", "vars"):
        with socket.create_connection(h.ops.split(":")) as sock:
            ByteByByteSocket(sock).sendall(f"{word}\n".encode())
            assert sock.makefile().read().splitlines()[-1] in ("OK", "END")


def test_quiet_connections_stay_and_are_served_when_they_speak_again(host):
    h = host()
    quiet = [h.gateway() for _ in range(20)]
    for g in quiet:
        assert g.result(g.request("track", "once")) == "did once"
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > FIRST_S + 0.3, "more than the time for a message")
    for g in quiet:
        assert g.result(g.request("track", "again")) == "did again"


def test_an_order_that_was_found_before_closes_nobody_who_may_stay_since(front, monkeypatch):
    """One that was silent then may have said something since; one that was open then may be silent by now."""
    front._most, found, order = 3, [], connection_eviction.order
    monkeypatch.setattr(connection_eviction, "order", lambda *told: found.append(1) or order(*told))
    for _ in range(3):
        front.client()
    first, second, third = sorted(front.connections, key=lambda c: c.since)
    for c in front.connections:
        c.since -= 1.0
    third.open[1] = None
    assert front._make_room()
    assert first.stream.closed
    second.open[1] = None  # its request was read in between
    assert not front._make_room()
    assert not (second.stream.closed)
    assert not (third.stream.closed)
    third.open.clear()
    assert front._make_room()
    assert third.stream.closed
    assert not second.stream.closed
    before = len(found)
    front._most = 100
    for _ in range(12):
        front.client()
    for c in front.connections:
        c.since -= 1.0
    while sum(not c.stream.closed for c in front.connections) > 2:
        assert front._make_room()
    assert len(found) == before + 1  # one order for all that go in one go
