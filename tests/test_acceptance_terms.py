"""Limits that many hosts keep together: slow start, calls to a recovered store, descriptors and startup time."""

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

READY_TIMEOUT_S = 10.0  # nine of ten restarted processes have to accept clients within this time


@pytest.fixture
def fleet(tmp_path):
    """Start several hosts at once, each with its own executor and all with one store."""
    hosts = []

    def start(count, store=None, executor=Executor, ready=True, **host_options):
        store = store or Store()
        for index in range(count):
            folder = tmp_path / f"h{index}"
            folder.mkdir()
            hosts.append(
                HostProcess(
                    folder,
                    executor=executor(),
                    store=store,
                    wait_for_start=False,
                    seed=f"{index * 7919 + 5:016x}",
                    **host_options,
                )
            )
        for worker in hosts:
            log_match = wait_until(
                lambda worker=worker: re.search(r"event=started .*listen=(\S+)", worker.log()), "the start of the host"
            )
            worker.address = log_match.group(1)
            if ready:
                worker.wait_for_log("ready")
        return hosts

    yield start
    for worker in hosts:
        worker.close()
        worker.check_no_internal_errors()


def send_requests(hosts, duration_s, interval_s, rng, body, answer_timeout_s=10, **params):
    """Send requests to random hosts at an interval; return once all are answered or ``answer_timeout_s`` has passed."""
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
        pools[rng.randrange(len(pools))].send_request("track", 1, request_params(body, **params))
        time.sleep(interval_s)
    with answered:
        answered.wait_for(lambda: open_requests[0] <= 0, answer_timeout_s)
    for pool in pools:
        pool.close()


class ColdExecutor(Executor):
    """Executor that is warming up: it runs as many requests as it has cores, each for five times as long as usual.

    It records the start time of each run.
    """

    def __init__(self):
        self.started_at = []
        super().__init__(work_s=0.5, cores=2)

    def on_join(self, connection, command):
        self.connection = connection
        self.send(connection, verb="WELCOME", outcome="chilly", spent=0)

    def on_exec(self, connection, command):
        self.started_at.append(time.monotonic())
        super().on_exec(connection, command)


def max_count_in_window(times, window_s):
    """Return the maximum number of the times that lie within one window of this length."""
    times = sorted(times)
    return max(
        (
            sum(start <= timestamp < start + window_s for timestamp in times[index:])
            for index, start in enumerate(times)
        ),
        default=0,
    )


def upper_bound(mean):
    """Return an upper bound for a random count with this mean."""
    return mean + 2 * math.sqrt(mean) + 2


@pytest.mark.parametrize("count", [20, 30])
def test_warming_up_hosts_admit_no_more_than_the_settings_allow(fleet, count):
    print("seed", seed := 11 + count)
    hosts = fleet(count, executor=ColdExecutor, info=make_platform_info(Cold=True))
    send_requests(hosts, 5, 0.25 / count, random.Random(seed), "work")
    guarantees = PLATFORM_INFO["Guarantees"]
    # Two cores run this many requests at the lowest speed.
    allowed_runs = 2 * (1 + (guarantees["FallMultiple"] - 1) * guarantees["ColdFrom"])
    max_starts = [max_count_in_window(worker.executor.started_at, 1.5) for worker in hosts]
    print("most starts of one host", max(max_starts), "of", upper_bound(allowed_runs))
    assert max(max_starts) <= upper_bound(allowed_runs)
    assert min(max_starts) > 0


class RecoveringStore(Store):
    """Store that is down at first and slow after its recovery; it records how many calls are in flight."""

    def __init__(self):
        self.in_flight = 0
        self.max_in_flight = 0
        self.started_at = []
        super().__init__()

    def listen(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))  # connections to this address are refused until the socket listens
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
    # The timeout is so long that no request ends at its deadline.
    send_requests(hosts, 4, 0.15 / count, random.Random(seed), "call:200", answer_timeout_s=1, patience=20_000)
    recovery.join()
    print("most calls in flight", store.max_in_flight, "of", upper_bound(quota * count), "calls", len(store.started_at))
    assert store.started_at
    assert store.max_in_flight <= upper_bound(quota * count)


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_that_use_up_the_descriptors_block_no_other_peer(host, sockets):
    worker = host(
        limits={"sockets": sockets},
        info=make_platform_info(Cores=16, CallsOut=100.0),
        command=["/bin/sh", "-c", f"ulimit -n {sockets}; exec {sys.executable} -m lapispick.host"],
    )
    worker.registry.close()  # the service registry is down
    first = worker.gateway()
    for number in range(1, 15):  # calls that never end; as many as the lowest descriptor limit allows
        first.request("book", "call:hang", f"{number:032x}")
    wait_until(lambda: len(worker.store.calls) >= 12, "the calls to the store")
    address, port = worker.address.split(":")
    idle = [socket.create_connection((address, int(port)), timeout=15) for _ in range(sockets * 2)]
    operator_connections = [
        socket.create_connection(("127.0.0.1", int(worker.ops.split(":")[1])), timeout=15) for _ in range(sockets)
    ]
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "true")) == "did true"
    if sockets > 64:
        assert gateway.result(gateway.request("book", "call:200", f"{99:032x}")).startswith("reply")
    with worker.executor.lock:
        worker.executor.disconnect()
    wait_until(lambda: worker.executor.received_verbs.count("JOIN") > 1, "a new link to the executor")
    assert gateway.result(gateway.request("track", "linked")) == "did linked"
    worker.registry.relocate()
    worker.reload()
    wait_until(lambda: worker.registry.reports, "a report at the new address")
    assert worker.call_ops() == ["OK"]
    assert "Errno 24" not in worker.log()
    assert "accept-failed" not in worker.log()
    for sock in (*idle, *operator_connections):
        sock.close()


def test_upgrade_succeeds_while_idle_clients_use_up_the_descriptors(host, shared_address):
    address = shared_address()
    name, port = address.split(":")
    shell = ["/bin/sh", "-c", f"ulimit -n 64; exec {sys.executable} -m lapispick.host"]
    old = host(listen=address, limits={"sockets": 64}, command=shell)
    idle = [socket.create_connection((name, int(port)), timeout=15) for _ in range(100)]
    new = host(successor_of=old, limits={"sockets": 64}, command=shell)
    wait_until(lambda: new.call_ops() == ["OK"], "a healthy answer of the successor")
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
        started_at = time.monotonic()
        hosts = fleet(20, ready=False)
        ready_after_s = []
        for worker in hosts:
            worker.wait_for_log("ready")
            ready_after_s.append(time.monotonic() - started_at)
    print("ready after, s", [round(seconds, 2) for seconds in sorted(ready_after_s)])
    assert sorted(ready_after_s)[17] < READY_TIMEOUT_S
