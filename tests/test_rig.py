"""The emulated fleet itself: correct hosts pass its rule checker under faults, and it detects rule-breaking hosts."""

import contextlib
import os
import random
import socket
import time
import types

import pytest

from lapispick.fakes import fault_script
from lapispick.fakes.busy_processes import busy_processes
from lapispick.fakes.fake_server import FakeServer
from lapispick.fakes.fault_proxy import FaultProxy
from lapispick.fakes.fault_script import FaultKind, FaultStep
from lapispick.fakes.fleet import Fleet
from lapispick.fakes.fleet_gateway import Request
from lapispick.fakes.host_pauses import PauseMonitor
from lapispick.fakes.messages import make_idempotency_key
from lapispick.fakes.program_patches import RULE_BREAKING_HOSTS, make_program_folder
from lapispick.fakes.rule_checker import Answer, Attempt, Fault, FleetRecord, check
from lapispick.fakes.waiting import wait_until


def rule_names(violations):
    """Return the names of the broken rules."""
    return {rule for rule, _ in violations}


@contextlib.contextmanager
def loaded_fleet(folder, seed, answered=60, program_folder=None, **options):
    """Start a fleet and its load, and wait for ``answered`` results."""
    with Fleet(folder, seed, **options) as fleet:
        fleet.start(program=program_folder)
        fleet.start_load()
        fleet.wait_for_results(answered)
        yield fleet


def shut_down(fleet, host):
    """Ask a host to shut down, and record it."""
    (process,) = host.processes
    fleet.record.add_shutdown(host.name, process.name)
    process.terminate()
    return process


def test_a_fleet_under_load_breaks_no_rule(tmp_path):
    with loaded_fleet(tmp_path, seed=1, hosts=3, rate=40, answered=300) as fleet:
        assert fleet.broken_rules() == []
        assert fleet.served_weight_fraction() > 0.98
        assert len(fleet.record.executions_by_key()) > 50


def repeat_one_key(fleet, host):
    """Send attempts of one key until it has run twice; an overloaded host may reject some of them."""
    key = make_idempotency_key()

    def ran_twice():
        now = time.time()
        request = Request("book", "again", key, now, now + 1.5, attempts_left=1)
        fleet.gateways[0].send(request, host, is_retry=True)
        fleet.wait_for_results(5)
        return fleet.record.executions_by_key()[key] > 1

    wait_until(ran_twice, "two runs of one key")


def shut_down_under_load(fleet, host):
    """Shut down a host while the gateways continue to send to it."""
    process = shut_down(fleet, host)
    fleet.listed_hosts = lambda _: fleet.hosts  # as for gateways that learn of the shutdown late or never
    wait_until(lambda: rule_names(check(fleet.record)) == {"drain"} or process.poll() is not None, "a late run")


@pytest.mark.parametrize("rule", RULE_BREAKING_HOSTS)
def test_a_host_that_breaks_a_rule_is_detected(tmp_path, rule):
    folder = make_program_folder(tmp_path / "rule_breaking_host", RULE_BREAKING_HOSTS[rule])
    options = {"hosts": 1, "gateways": 2, "rate": 40, "stop_ms": 6000, "request_timeout_s": 1.5}
    with loaded_fleet(tmp_path, seed=2, program_folder=folder, **options) as fleet:
        if rule == "twice":
            repeat_one_key(fleet, fleet.hosts[0])
        if rule == "drain":
            shut_down_under_load(fleet, fleet.hosts[0])
        assert rule_names(fleet.broken_rules()) == {rule}


def test_a_host_that_shuts_down_breaks_no_rule(tmp_path):
    with loaded_fleet(tmp_path, seed=3, hosts=2, rate=40) as fleet:
        process = shut_down(fleet, fleet.hosts[0])
        assert process.wait(5) == 0
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []


def kill_and_restart(fleet, host, gateways):
    host.kill()
    fleet.wait_for_results(60)
    host.start()
    fleet.record.end_all_faults()


def suspend_and_resume(fleet, host, gateways):
    resume = fleet.suspend(host)
    fleet.wait_for_results(60)
    resume()


def partition_and_heal(fleet, host, gateways, one_way=False):
    heal = fleet.partition(gateways, [host.name], one_way=one_way)
    fleet.wait_for_results(60)
    heal()


def partition_one_way_and_heal(fleet, host, gateways):
    partition_and_heal(fleet, host, gateways, one_way=True)


def reset_connections(fleet, host, gateways):
    fault = fleet.record.begin_fault("reset", [host.name])
    for _ in range(5):
        fleet.net.reset(gateways, [host.name])
        fleet.wait_for_results(12)
    fleet.record.end_fault(fault)


def slow_links(fleet, host, gateways):
    fleet.net.impair(gateways, [host.name], delay_s=0.02, jitter_s=0.05, bytes_per_s=20_000)
    fleet.wait_for_results(60)
    fleet.net.heal()


FAULTS = {
    "killed": kill_and_restart,
    "stopped": suspend_and_resume,
    "partition": partition_and_heal,
    "one way": partition_one_way_and_heal,
    "reset": reset_connections,
    "slow": slow_links,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fleet_under_a_fault_breaks_no_rule_and_the_host_serves_again(tmp_path, fault):
    with loaded_fleet(tmp_path, seed=4, hosts=3, rate=30) as fleet:
        host = fleet.hosts[0]
        FAULTS[fault](fleet, host, [gateway.name for gateway in fleet.gateways])

        def answered_count():
            attempts = list(fleet.record.attempts.values())
            return sum(attempt.host == host.name and bool(attempt.answers) for attempt in attempts)

        count = answered_count()
        wait_until(lambda: answered_count() > count + 20, "new answers of the host after the fault")
        assert fleet.broken_rules() == []
        assert max(fleet.record.executions_by_key().values()) == 1


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_under_a_random_fault_script_breaks_no_rule(tmp_path, seed):
    options = {"hosts": 4, "zones": ("pipera", "militari"), "rate": 25}
    with loaded_fleet(tmp_path, seed, answered=40, **options) as fleet:
        fault_script.play(fleet, fault_script.draw(random.Random(seed), fleet, 5, 4.0))
        fleet.wait_for_results(60)
        assert fleet.broken_rules() == []


def test_a_fault_step_can_wait_for_a_condition(tmp_path):
    with Fleet(tmp_path, seed=9, hosts=2, rate=25) as fleet:
        fleet.start()
        fleet.start_load()
        step = FaultStep(lambda: len(fleet.record.executions) > 50, FaultKind.KILL, "disp-01", 0.2)
        fault_script.play(fleet, [step])
        fleet.wait_for_results(40)
        assert fleet.broken_rules() == []


def test_a_host_with_a_skewed_clock_serves_and_breaks_no_rule(tmp_path):
    with Fleet(tmp_path, seed=10, hosts=2, rate=20) as fleet:
        fleet.hosts[0].start(clock_skew_s=0.0)
        fleet.hosts[1].start(clock_skew_s=-0.4)
        fleet.start_load()
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []
        assert fleet.record.answer_counts(hosts={"disp-02"})["served"] > 20


def test_only_attempts_open_during_a_fault_of_their_host_are_excused():
    record = FleetRecord()
    now = time.time()
    for trace, host, at in (("a", "x", now - 5), ("b", "y", now - 5), ("c", "x", now - 50)):
        record.add_attempt(Attempt(trace, "g0", host, "track", "b", "", at, at + 1))
    record.faults.append(Fault(now - 5.5, now - 4.5, "killed", frozenset(["x"])))
    assert sorted(text.split()[0] for rule, text in check(record)) == ["b", "c"]


@pytest.mark.parametrize(
    ("spans", "is_late"),
    [
        ([], True),
        ([("x", 0.0, 0.25)], False),
        ([("", 0.0, 0.25)], False),
        ([("x", 0.0, 0.15)], True),
        ([("y", 0.0, 0.25)], True),
        ([("x", -9.0, 0.25)], True),
        ([("", 0.0, 0.1), ("x", 0.1, 0.15)], False),
    ],
)
def test_pauses_of_the_machine_are_subtracted_from_the_lateness_of_an_answer(spans, is_late):
    """The answer is 300 ms late; its lateness without the pauses must be within the slack of 110 ms."""
    record = FleetRecord()
    pauses = PauseMonitor([])
    record.paused_s = pauses.paused_s
    now = time.time()
    attempt = Attempt("a", "g0", "x", "track", "b", "", now - 1.3, now - 0.3)
    record.add_attempt(attempt)
    attempt.answers.append(Answer(now, "served", "did b"))
    for host, at, paused_s in spans:
        pauses.add_pause(now - 1 + at, now - 0.9 + at, host, paused_s)
    assert [rule for rule, _ in check(record)] == ["lost"] * is_late


def test_time_that_a_process_waits_for_a_core_counts_as_a_pause(tmp_path):
    """Each of three busy processes on one core waits for the others two thirds of the time."""
    core = min(os.sched_getaffinity(0))
    with busy_processes(3, cores=[core]) as processes:
        host = types.SimpleNamespace(name="x", serving_pids=lambda: [processes[0].pid])
        pauses = PauseMonitor([host])
        pauses.start()
        since = time.time()
        try:
            wait_until(lambda: pauses.paused_s("x", since, time.time()) > 0.5, "0.5 s of waiting for a core")
        finally:
            pauses.stop()
    assert pauses.paused_s("y", since, time.time()) < pauses.paused_s("x", since, time.time())


class EchoServer(FakeServer):
    """Sends received bytes back."""

    def serve(self, connection):
        while data := connection.recv(1000):
            connection.sendall(data)


@pytest.fixture
def fault_proxy():
    """Fault proxy without links."""
    proxy = FaultProxy(1)
    yield proxy
    proxy.close()


def test_a_link_can_be_partitioned_one_way_reset_and_refused(fault_proxy):
    echo = EchoServer()
    address = fault_proxy.tcp("a", "b", echo.address).split(":")

    def connect():
        sock = socket.create_connection(address, timeout=5)
        sock.sendall(b"hello")
        assert sock.recv(10) == b"hello"
        return sock

    sock = connect()
    fault_proxy.partition(["b"], ["a"], one_way=True)  # delays what b sends and loses nothing
    sock.sendall(b"again")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(10)
    fault_proxy.heal()
    sock.settimeout(5)
    assert sock.recv(10) == b"again"
    fault_proxy.impair(["a"], ["b"], reset_after_bytes=8)
    new_sock = socket.create_connection(address, timeout=5)
    new_sock.sendall(b"0123456789")
    with pytest.raises(ConnectionError):
        while new_sock.recv(10):
            pass
        raise ConnectionError
    fault_proxy.heal()
    fault_proxy.reset(["a"], ["b"], refuse_connections=True)
    with pytest.raises(ConnectionError):
        sock.sendall(b"x")
        if not sock.recv(10):
            raise ConnectionError
    with pytest.raises(ConnectionError):
        if not socket.create_connection(address, timeout=5).recv(10):
            raise ConnectionError
    echo.close()


def test_datagrams_are_lost_duplicated_and_reordered(fault_proxy):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(0.5)
        host, port = fault_proxy.udp("a", "b", "{}:{}".format(*receiver.getsockname())).split(":")
        fault_proxy.impair(["a"], ["b"], loss=0.3, duplicate=0.3, reorder=0.3)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(200):
                sender.sendto(str(number).encode(), (host, int(port)))
                time.sleep(0.0005)
        received = []
        with contextlib.suppress(TimeoutError):
            while True:
                received.append(int(receiver.recv(100)))
    assert 100 < len(set(received)) < 180
    assert len(received) > len(set(received))
    assert received != sorted(received)
