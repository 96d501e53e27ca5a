"""Three terms of the operators that many processes keep together: a cold ramp, full descriptors, quick starts."""

import math
import random
import re
import socket
import sys
import threading
import time

import pytest

from lapispick.fakes.busy_processes import busy_processes
from lapispick.fakes.connection_pool import ConnectionPool
from lapispick.fakes.executor import Executor
from lapispick.fakes.host_process import HostProcess
from lapispick.fakes.messages import request_params
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import wait_until

READY_S = 10.0  # s; by then nine in ten restarted processes take clients


@pytest.fixture
def fleet(tmp_path):
    """Start hosts at once, each with an executor of its own and all with one store."""
    hosts = []

    def start(count, store=None, executor=Executor, ready=True, **over):
        store = store or Store()
        for i in range(count):
            folder = tmp_path / f"h{i}"
            folder.mkdir()
            hosts.append(
                HostProcess(
                    folder, executor=executor(), store=store, wait_for_start=False, seed=f"{i * 7919 + 5:016x}", **over
                )
            )
        for worker in hosts:
            worker.address = wait_until(
                lambda worker=worker: re.search(r"event=started .*listen=(\S+)", worker.log()), "the start"
            ).group(1)
            if ready:
                worker.wait_for_log("ready")
        return hosts

    yield start
    for worker in hosts:
        worker.close()
        worker.check_log()


def ask_for(seconds, hosts, gap, rng, body, wait=10, **over):
    """Ask every host at random, ``gap`` s apart for all of them together; return once all are answered, or later."""
    left, heard = [0], threading.Condition()

    def took(token, answer):
        with heard:
            left[0] -= 1
            heard.notify()

    pools = [ConnectionPool(worker.address, took) for worker in hosts]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with heard:
            left[0] += 1
        pools[rng.randrange(len(pools))].send_request("track", 1, request_params(body, **over))
        time.sleep(gap)
    with heard:
        heard.wait_for(lambda: left[0] <= 0, wait)
    for pool in pools:
        pool.close()


class Slow(Executor):
    """A cold executor: as many runs as cores, each five times as long as on a warm one; it notes each start."""

    def __init__(self):
        self.begun = []
        super().__init__(work_s=0.5, cores=2)

    def on_join(self, connection, command):
        self.connection = connection
        self.send(connection, verb="WELCOME", outcome="chilly", spent=0)

    def on_exec(self, connection, command):
        self.begun.append(time.monotonic())
        super().on_exec(connection, command)


def most_within(times, span):
    """Return how many of these lie within any such span."""
    times = sorted(times)
    return max((sum(at <= t < at + span for t in times[i:]) for i, at in enumerate(times)), default=0)


def bound(n):
    return n + 2 * math.sqrt(n) + 2


@pytest.mark.parametrize("count", [20, 30])
def test_warming_up_hosts_admit_no_more_than_the_settings_allow(fleet, count):
    print("seed", seed := 11 + count)
    hosts = fleet(count, executor=Slow, info=make_platform_info(Cold=True))
    ask_for(5, hosts, 0.25 / count, random.Random(seed), "work")
    rules = PLATFORM_INFO["Guarantees"]
    allowed = 2 * (1 + (rules["FallMultiple"] - 1) * rules["ColdFrom"])  # on two cores, at the least speed
    worst = [most_within(worker.executor.begun, 1.5) for worker in hosts]
    print("most for one", max(worst), "of", bound(allowed))
    assert max(worst) <= bound(allowed)
    assert min(worst) > 0


class Returning(Store):
    """A store that is down at first, and slow when it is back; it notes how many calls it has in hand."""

    def __init__(self):
        self.held, self.worst, self.begun = 0, 0, []
        super().__init__()

    def listen(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))  # an address that refuses until it listens
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def come_back(self):
        self.sock.listen(512)
        self.start_accepting()

    def serve(self, connection):
        for _ in self.read_calls(connection.makefile("rb")):
            with self.lock:
                self.begun.append(time.monotonic())
                self.held += 1
                self.worst = max(self.worst, self.held)
            time.sleep(0.3)
            with self.lock:
                self.held -= 1
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@pytest.mark.parametrize(("count", "share"), [(20, 2.0), (30, 2.0), (20, 0.4), (30, 0.4)])
def test_calls_of_all_hosts_to_a_recovered_store_stay_within_its_quota(fleet, count, share):
    print("seed", seed := 7 + count)
    store = Returning()
    hosts = fleet(count, store, info=make_platform_info(CallsOut=share, ClassSkipWorth=[0.0, 0.0]))
    back = threading.Timer(2.0, store.come_back)
    back.start()
    ask_for(4, hosts, 0.15 / count, random.Random(seed), "call:200", 1, patience=20_000)  # nothing is given up on
    back.join()
    print("most in hand", store.worst, "of", bound(share * count), "calls", len(store.begun))
    assert store.begun
    assert store.worst <= bound(share * count)


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_that_fill_the_descriptors_block_nobody_else(host, sockets):
    worker = host(
        limits={"sockets": sockets},
        info=make_platform_info(Cores=16, CallsOut=100.0),
        command=["/bin/sh", "-c", f"ulimit -n {sockets}; exec {sys.executable} -m lapispick.host"],
    )
    worker.registry.close()  # discovery is down
    first = worker.gateway()
    for n in range(1, 15):  # calls of which none ends: as many as there are descriptors for at the least limit
        first.request("book", "call:hang", f"{n:032x}")
    wait_until(lambda: len(worker.store.calls) >= 12, "the calls")
    name, port = worker.address.split(":")
    idle = [socket.create_connection((name, int(port)), timeout=15) for _ in range(sockets * 2)]
    callers = [
        socket.create_connection(("127.0.0.1", int(worker.ops.split(":")[1])), timeout=15) for _ in range(sockets)
    ]
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "true")) == "did true"
    if sockets > 64:
        assert gateway.result(gateway.request("book", "call:200", f"{99:032x}")).startswith("reply")
    with worker.executor.lock:
        worker.executor.disconnect()
    wait_until(lambda: worker.executor.received_verbs.count("JOIN") > 1, "the new link")
    assert gateway.result(gateway.request("track", "linked")) == "did linked"
    worker.registry.relocate()
    worker.reload()
    wait_until(lambda: worker.registry.reports, "a report at the new address")
    assert worker.call_operators() == ["OK"]
    assert "Errno 24" not in worker.log()
    assert "accept-failed" not in worker.log()
    for sock in (*idle, *callers):
        sock.close()


def test_upgrade_succeeds_beside_idle_clients_that_fill_the_descriptors(host, shared_address):
    address = shared_address()
    name, port = address.split(":")
    shell = ["/bin/sh", "-c", f"ulimit -n 64; exec {sys.executable} -m lapispick.host"]
    old = host(listen=address, limits={"sockets": 64}, command=shell)
    idle = [socket.create_connection((name, int(port)), timeout=15) for _ in range(100)]
    new = host(successor_of=old, limits={"sockets": 64}, command=shell)
    wait_until(lambda: new.call_operators() == ["OK"], "its yes")
    old.terminate()
    assert old.process.wait(10) == 0
    gateway = new.gateway()
    assert gateway.result(gateway.request("track", "new")) == "did new"
    assert "Errno 24" not in old.log() + new.log()
    assert "event=linked" in new.log()
    for sock in idle:
        sock.close()


def test_hosts_started_at_once_on_busy_cores_are_ready_in_time(fleet):
    with busy_processes(4):
        began = time.monotonic()
        hosts = fleet(20, ready=False)
        took = []
        for worker in hosts:
            worker.wait_for_log("ready")
            took.append(time.monotonic() - began)
    print("ready after, s", [round(each, 2) for each in sorted(took)])
    assert sorted(took)[17] < READY_S
