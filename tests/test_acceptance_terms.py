"""Limits that many hosts keep together: slow start, calls to a recovered store, descriptors, and the time to start."""

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

READY_S = 10.0  # by then nine in ten restarted processes take clients


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
            started = wait_until(
                lambda worker=worker: re.search(r"event=started .*listen=(\S+)", worker.log()), "the start"
            )
            worker.address = started.group(1)
            if ready:
                worker.wait_for_log("ready")
        return hosts

    yield start
    for worker in hosts:
        worker.close()
        worker.check_log()


def send_requests(hosts, duration_s, interval_s, rng, body, answer_timeout_s=10, **over):
    """Send requests to random hosts at an interval; return once all are answered, or after a timeout."""
    open_requests, answered = [0], threading.Condition()

    def on_answer(token, answer):
        with answered:
            open_requests[0] -= 1
            answered.notify()

    pools = [ConnectionPool(worker.address, on_answer) for worker in hosts]
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        with answered:
            open_requests[0] += 1
        pools[rng.randrange(len(pools))].send_request("track", 1, request_params(body, **over))
        time.sleep(interval_s)
    with answered:
        answered.wait_for(lambda: open_requests[0] <= 0, answer_timeout_s)
    for pool in pools:
        pool.close()


class ColdExecutor(Executor):
    """Warms up: as many runs as cores, each five times as long as usual; records the time of each start."""

    def __init__(self):
        self.started_at = []
        super().__init__(work_s=0.5, cores=2)

    def on_join(self, connection, command):
        self.connection = connection
        self.send(connection, verb="WELCOME", outcome="chilly", spent=0)

    def on_exec(self, connection, command):
        self.started_at.append(time.monotonic())
        super().on_exec(connection, command)


def max_within(times, span):
    """Return how many of the times lie within any span of this length, at most."""
    times = sorted(times)
    return max((sum(at <= other < at + span for other in times[i:]) for i, at in enumerate(times)), default=0)


def upper_bound(mean):
    """Return a bound on a random count with this mean."""
    return mean + 2 * math.sqrt(mean) + 2


@pytest.mark.parametrize("count", [20, 30])
def test_warming_up_hosts_admit_no_more_than_the_settings_allow(fleet, count):
    print("seed", seed := 11 + count)
    hosts = fleet(count, executor=ColdExecutor, info=make_platform_info(Cold=True))
    send_requests(hosts, 5, 0.25 / count, random.Random(seed), "work")
    rules = PLATFORM_INFO["Guarantees"]
    allowed = 2 * (1 + (rules["FallMultiple"] - 1) * rules["ColdFrom"])  # on two cores, at the lowest speed
    max_starts = [max_within(worker.executor.started_at, 1.5) for worker in hosts]
    print("most starts of one host", max(max_starts), "of", upper_bound(allowed))
    assert max(max_starts) <= upper_bound(allowed)
    assert min(max_starts) > 0


class RecoveringStore(Store):
    """Is down at first, and slow after its recovery; records how many calls are in flight."""

    def __init__(self):
        self.in_flight = 0
        self.max_in_flight = 0
        self.started_at = []
        super().__init__()

    def listen(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))  # an address that refuses until it listens
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def recover(self):
        self.sock.listen(512)
        self.start_accepting()

    def serve(self, connection):
        for _ in self.read_calls(connection.makefile("rb")):
            with self.lock:
                self.started_at.append(time.monotonic())
                self.in_flight += 1
                self.max_in_flight = max(self.max_in_flight, self.in_flight)
            time.sleep(0.3)
            with self.lock:
                self.in_flight -= 1
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@pytest.mark.parametrize(("count", "quota"), [(20, 2.0), (30, 2.0), (20, 0.4), (30, 0.4)])
def test_calls_of_all_hosts_to_a_recovered_store_stay_within_its_quota(fleet, count, quota):
    print("seed", seed := 7 + count)
    store = RecoveringStore()
    hosts = fleet(count, store, info=make_platform_info(CallsOut=quota, ClassSkipWorth=[0.0, 0.0]))
    recovery = threading.Timer(2.0, store.recover)
    recovery.start()
    # No request ends by its deadline.
    send_requests(hosts, 4, 0.15 / count, random.Random(seed), "call:200", answer_timeout_s=1, patience=20_000)
    recovery.join()
    print("most calls in flight", store.max_in_flight, "of", upper_bound(quota * count), "calls", len(store.started_at))
    assert store.started_at
    assert store.max_in_flight <= upper_bound(quota * count)


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_that_fill_the_descriptors_block_nobody_else(host, sockets):
    worker = host(
        limits={"sockets": sockets},
        info=make_platform_info(Cores=16, CallsOut=100.0),
        command=["/bin/sh", "-c", f"ulimit -n {sockets}; exec {sys.executable} -m lapispick.host"],
    )
    worker.registry.close()  # the service registry is down
    first = worker.gateway()
    for number in range(1, 15):  # calls that never end: as many as there are descriptors for at the lowest limit
        first.request("book", "call:hang", f"{number:032x}")
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
    wait_until(lambda: new.call_operators() == ["OK"], "the successor to be healthy")
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
