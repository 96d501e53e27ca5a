"""The fleet rig itself: honest hosts pass its checker under faults, and a host that breaks a rule on purpose fails."""

import contextlib
import os
import random
import socket
import subprocess
import sys
import time
import types
import uuid

import pytest

from lapispick.fakes import script
from lapispick.fakes.fault_proxy import Net
from lapispick.fakes.fleet import Fleet
from lapispick.fakes.fleet_gateway import Request
from lapispick.fakes.host_pauses import Pauses
from lapispick.fakes.peers import Server, until
from lapispick.fakes.program_patches import RULE_BREAKING_HOSTS, program
from lapispick.fakes.rule_checker import Answer, Attempt, Fault, FleetRecord, check


def rules(found):
    return {rule for rule, _ in found}


def test_a_fleet_under_load_keeps_all_rules(tmp_path):
    with Fleet(tmp_path, seed=1, hosts=3, rate=40) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(300)
        assert fleet.broken_rules() == []
        assert fleet.served_weight_fraction() > 0.98
        assert len(fleet.record.executions_by_key()) > 50


@pytest.mark.parametrize("rule", RULE_BREAKING_HOSTS)
def test_a_host_that_breaks_a_rule_is_caught(tmp_path, rule):
    made = program(tmp_path / "rule_breaking_host", RULE_BREAKING_HOSTS[rule])
    with Fleet(tmp_path, seed=2, hosts=1, gateways=2, rate=40, stop_ms=6000, patience_s=1.5) as fleet:
        box = fleet.hosts[0]
        fleet.start(program=made)
        fleet.start_load()
        fleet.wait_for_results(60)
        if rule == "twice":
            key = uuid.uuid4().hex

            def again():  # a busy host may turn some of these away unrun
                now = time.time()
                request = Request("book", "again", key, now, now + 1.5, attempts_left=1)
                fleet.gateways[0].send(request, box, is_retry=True)
                fleet.wait_for_results(5)
                return fleet.record.executions_by_key()[key] > 1

            until(again, "two runs of one key")
        if rule == "drain":
            fleet.record.add_shutdown(box.name, box.processes[0].name)
            box.processes[0].terminate()
            fleet.listed_hosts = lambda _: fleet.hosts  # gateways that hear late, or never
            until(lambda: rules(check(fleet.record)) == {"drain"} or box.processes[0].poll() is not None, "a late run")
        assert rules(fleet.broken_rules()) == {rule}


def test_an_honest_host_that_leaves_and_gateways_that_hear_late_break_no_rule(tmp_path):
    with Fleet(tmp_path, seed=3, hosts=2, rate=40) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(60)
        box = fleet.hosts[0]
        fleet.record.add_shutdown(box.name, box.processes[0].name)
        box.processes[0].terminate()
        assert box.processes[0].wait(5) == 0
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []


@pytest.mark.parametrize("fault", ["killed", "stopped", "parted", "one way", "reset", "slow"])
def test_a_fleet_under_a_fault_keeps_all_rules_and_serves_again(tmp_path, fault):
    with Fleet(tmp_path, seed=4, hosts=3, rate=30) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(60)
        box = fleet.hosts[0]
        gateways = [g.name for g in fleet.gateways]
        if fault == "killed":
            box.kill()
            fleet.wait_for_results(60)
            box.start()
            fleet.record.end_all_faults()
        elif fault == "stopped":
            wake = fleet.suspend(box)
            fleet.wait_for_results(60)
            wake()
        elif fault in ("parted", "one way"):
            heal = fleet.partition(gateways, [box.name], one_way=fault == "one way")
            fleet.wait_for_results(60)
            heal()
        elif fault == "reset":
            number = fleet.record.begin_fault("reset", [box.name])
            for _ in range(5):
                fleet.net.reset(gateways, [box.name])
                fleet.wait_for_results(12)
            fleet.record.end_fault(number)
        else:
            fleet.net.slow(gateways, [box.name], delay=0.02, jitter=0.05, rate=20_000)
            fleet.wait_for_results(60)
            fleet.net.heal()
        count = sum(t.host == box.name and bool(t.answers) for t in fleet.record.attempts.values())
        until(
            lambda: (
                sum(t.host == box.name and bool(t.answers) for t in list(fleet.record.attempts.values())) > count + 20
            ),
            "service by the box again",
        )
        assert fleet.broken_rules() == []
        assert max(fleet.record.executions_by_key().values()) == 1


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_keeps_all_rules_through_a_drawn_script_of_faults(tmp_path, seed):
    with Fleet(tmp_path, seed, hosts=4, zones=("pipera", "militari"), rate=25) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(40)
        script.play(fleet, script.drawn(random.Random(seed), fleet, 5, 4.0))
        fleet.wait_for_results(60)
        assert fleet.broken_rules() == []


def test_a_script_may_wait_for_a_point(tmp_path):
    with Fleet(tmp_path, seed=9, hosts=2, rate=25) as fleet:
        fleet.start()
        fleet.start_load()
        script.play(fleet, [script.Step(lambda: len(fleet.record.executions) > 50, "kill", "disp-01", 0.2)])
        fleet.wait_for_results(40)
        assert fleet.broken_rules() == []


def test_a_host_whose_clock_is_off_a_little_serves_and_breaks_no_rule(tmp_path):
    with Fleet(tmp_path, seed=10, hosts=2, rate=20) as fleet:
        fleet.hosts[0].start(skew=0.0)
        fleet.hosts[1].start(skew=-0.4)
        fleet.start_load()
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []
        assert fleet.record.answer_counts(hosts={"disp-02"})["served"] > 20


def test_excuses_are_for_those_a_fault_touched_while_it_lasted():
    record = FleetRecord()
    now = time.time()
    for trace, box, at in (("a", "x", now - 5), ("b", "y", now - 5), ("c", "x", now - 50)):
        record.add_attempt(Attempt(trace, "g0", box, "track", "b", "", at, at + 1))
    record.faults.append(Fault(now - 5.5, now - 4.5, "killed", frozenset(["x"])))
    assert sorted(text.split()[0] for rule, text in check(record)) == ["b", "c"]


def test_an_answer_is_late_by_what_the_machine_did_not_take():
    """It is 300 ms late: what the machine did not take of it has to be within the slack."""
    for spans, late in (
        ([], True),
        ([("x", 0.0, 0.25)], False),
        ([("", 0.0, 0.25)], False),
        ([("x", 0.0, 0.15)], True),
        ([("y", 0.0, 0.25)], True),
        ([("x", -9.0, 0.25)], True),
        ([("", 0.0, 0.1), ("x", 0.1, 0.15)], False),
    ):
        record, pauses = FleetRecord(), Pauses([])
        record.paused_s, now = pauses.held, time.time()
        made = Attempt("a", "g0", "x", "track", "b", "", now - 1.3, now - 0.3)
        record.add_attempt(made)
        made.answers.append(Answer(now, "served", "did b"))
        for whom, at, held in spans:
            pauses.note(now - 1 + at, now - 0.9 + at, whom, held)
        assert [rule for rule, _ in check(record)] == ["lost"] * late, spans


def test_a_process_that_finds_no_core_is_seen_to_be_held_up(tmp_path):
    """Three that want one core: each waits for the others two thirds of the time."""
    core = min(os.sched_getaffinity(0))
    loops = [
        subprocess.Popen([sys.executable, "-c", f"import os\nos.sched_setaffinity(0, [{core}])\nwhile 1: pass"])
        for _ in range(3)
    ]
    box = types.SimpleNamespace(name="x", serving_pids=lambda: [loops[0].pid])
    pauses = Pauses([box])
    pauses.start()
    since = time.time()
    try:
        until(lambda: pauses.held("x", since, time.time()) > 0.5, "that it is held up")
    finally:
        pauses.stop()
        for each in loops:
            each.kill()
            each.wait()
    assert pauses.held("y", since, time.time()) < pauses.held("x", since, time.time())


class Echo(Server):
    def talk(self, link):
        while data := link.recv(1000):
            link.sendall(data)


@pytest.fixture
def net():
    made = Net(1)
    yield made
    made.close()


def test_a_link_is_held_one_way_cut_and_refused(net):
    echo = Echo()
    at = net.tcp("a", "b", echo.at).split(":")

    def joined():
        sock = socket.create_connection(at, timeout=5)
        sock.sendall(b"hello")
        assert sock.recv(10) == b"hello"
        return sock

    sock = joined()
    net.part(["b"], ["a"], one_way=True)  # what b says is held; nothing is lost
    sock.sendall(b"again")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(10)
    net.heal()
    sock.settimeout(5)
    assert sock.recv(10) == b"again"
    net.slow(["a"], ["b"], cut_at=8)
    fresh = socket.create_connection(at, timeout=5)
    fresh.sendall(b"0123456789")
    with pytest.raises(ConnectionError):
        while fresh.recv(10):
            pass
        raise ConnectionError
    net.heal()
    net.reset(["a"], ["b"], refuse=True)
    with pytest.raises(ConnectionError):
        sock.sendall(b"x")
        if not sock.recv(10):
            raise ConnectionError
    with pytest.raises(ConnectionError):
        if not socket.create_connection(at, timeout=5).recv(10):
            raise ConnectionError
    echo.close()


def test_datagrams_are_lost_doubled_and_late_by_the_seed(net):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here:
        here.bind(("127.0.0.1", 0))
        here.settimeout(0.5)
        host, port = net.udp("a", "b", "{}:{}".format(*here.getsockname())).split(":")
        net.slow(["a"], ["b"], loss=0.3, double=0.3, shuffle=0.3)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as there:
            for n in range(200):
                there.sendto(str(n).encode(), (host, int(port)))
                time.sleep(0.0005)
        got = []
        with contextlib.suppress(TimeoutError):
            while True:
                got.append(int(here.recv(100)))
    assert 100 < len(set(got)) < 180
    assert len(got) > len(set(got))
    assert got != sorted(got)
