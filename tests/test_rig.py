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
from lapispick.fakes.fleet import Fleet, program
from lapispick.fakes.host_pauses import Pauses
from lapispick.fakes.peers import Server, until
from lapispick.fakes.rule_checker import Account, Try, check


def rules(found):
    return {rule for rule, _ in found}


def test_a_fleet_under_load_keeps_all_rules(tmp_path):
    with Fleet(tmp_path, seed=1, boxes=3, rate=40) as fleet:
        fleet.start()
        fleet.load()
        fleet.answered(300)
        assert fleet.broken_rules() == []
        assert fleet.worth() > 0.98 and len(fleet.account.effects()) > 50


REPLY = "        request.reply(answer._replace(backpressure=self.advice))"
ODD = "int(request.request_id, 16) % 5 == 0"
SINS = {
    "lost": [("host/core.py", REPLY, f"        if not {ODD}:\n    {REPLY}")],
    "doubled": [
        (
            "host/jsonrpc/front.py",
            '(_encode({"jsonrpc": "2.0", "id": number, member: fields}) + b"\\n")',
            '(2 * (_encode({"jsonrpc": "2.0", "id": number, member: fields}) + b"\\n"))',
        )
    ],
    "twice": [
        ("host/core.py", "key = self.table.find(request.idempotency_key, request.born_at) if", "key = None if"),
        ("host/core.py", "held = self.table.get(request.idempotency_key)", "held = None"),
        ("host/core.py", "key.executed_attempt not in (0, EXECUTED_BY_PEER)", "key.executed_attempt == -9"),
        ("host/core.py", "verdict = self.ownership.claim(", "verdict = Verdict.RUN if True else ("),
    ],
    "changed": [
        ("host/core.py", REPLY, f"        answer = answer._replace(result=answer.result and 'd3Jvbmc=')\n{REPLY}")
    ],
    "refused": [
        ("host/core.py", REPLY, f"        if {ODD}:\n            answer = Answer(AnswerKind.REJECTED)\n{REPLY}")
    ],
    "drain": [("platform_settings.py", "drain_grace_ms=", "drain_grace_ms=5 * ")],
    "memory": [("host/core.py", "TALLY_S = ", "HOG = b'x' * (200 << 20)\nTALLY_S = ")],
}


@pytest.mark.parametrize("rule", SINS)
def test_a_host_that_breaks_a_rule_is_caught(tmp_path, rule):
    made = program(tmp_path / "sinner", SINS[rule])
    with Fleet(tmp_path, seed=2, boxes=1, gateways=2, rate=40, stop_ms=6000, patience=1.5) as fleet:
        box = fleet.boxes[0]
        fleet.start(program=made)
        fleet.load()
        fleet.answered(60)
        if rule == "twice":
            key = uuid.uuid4().hex

            def again():  # a busy host may turn some of these away unrun
                fleet.gateways[0]._try("book", "again", key, time.time(), time.time() + 1.5, box, 1, True)
                fleet.answered(5)
                return fleet.account.effects()[key] > 1

            until(again, "two runs of one key")
        if rule == "drain":
            fleet.account.left(box.name, box.processes[0].name)
            box.processes[0].terminate()
            fleet.listed = lambda _: fleet.boxes  # gateways that hear late, or never
            until(lambda: rules(check(fleet.account)) == {"drain"} or box.processes[0].poll() is not None, "a late run")
        assert rules(fleet.broken_rules()) == {rule}


def test_an_honest_host_that_leaves_and_gateways_that_hear_late_break_no_rule(tmp_path):
    with Fleet(tmp_path, seed=3, boxes=2, rate=40) as fleet:
        fleet.start()
        fleet.load()
        fleet.answered(60)
        box = fleet.boxes[0]
        fleet.account.left(box.name, box.processes[0].name)
        box.processes[0].terminate()
        assert box.processes[0].wait(5) == 0
        fleet.answered(100)
        assert fleet.broken_rules() == []


@pytest.mark.parametrize("fault", ["killed", "stopped", "parted", "one way", "reset", "slow"])
def test_a_fleet_under_a_fault_keeps_all_rules_and_serves_again(tmp_path, fault):
    with Fleet(tmp_path, seed=4, boxes=3, rate=30) as fleet:
        fleet.start()
        fleet.load()
        fleet.answered(60)
        box = fleet.boxes[0]
        gateways = [g.name for g in fleet.gateways]
        if fault == "killed":
            box.kill()
            fleet.answered(60)
            box.start()
            fleet.account.over()
        elif fault == "stopped":
            wake = fleet.stop(box)
            fleet.answered(60)
            wake()
        elif fault in ("parted", "one way"):
            heal = fleet.part(gateways, [box.name], one_way=fault == "one way")
            fleet.answered(60)
            heal()
        elif fault == "reset":
            number = fleet.account.fault("reset", [box.name])
            for _ in range(5):
                fleet.net.reset(gateways, [box.name])
                fleet.answered(12)
            fleet.account.over(number)
        else:
            fleet.net.slow(gateways, [box.name], delay=0.02, jitter=0.05, rate=20_000)
            fleet.answered(60)
            fleet.net.heal()
        count = sum(t.box == box.name and bool(t.answers) for t in fleet.account.tries.values())
        until(
            lambda: sum(t.box == box.name and bool(t.answers) for t in list(fleet.account.tries.values())) > count + 20,
            "service by the box again",
        )
        assert fleet.broken_rules() == []
        assert max(fleet.account.effects().values()) == 1


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_keeps_all_rules_through_a_drawn_script_of_faults(tmp_path, seed):
    with Fleet(tmp_path, seed, boxes=4, zones=("pipera", "militari"), rate=25) as fleet:
        fleet.start()
        fleet.load()
        fleet.answered(40)
        script.play(fleet, script.drawn(random.Random(seed), fleet, 5, 4.0))
        fleet.answered(60)
        assert fleet.broken_rules() == []


def test_a_script_may_wait_for_a_point(tmp_path):
    with Fleet(tmp_path, seed=9, boxes=2, rate=25) as fleet:
        fleet.start()
        fleet.load()
        script.play(fleet, [script.Step(lambda: len(fleet.account.runs) > 50, "kill", "disp-01", 0.2)])
        fleet.answered(40)
        assert fleet.broken_rules() == []


def test_a_host_whose_clock_is_off_a_little_serves_and_breaks_no_rule(tmp_path):
    with Fleet(tmp_path, seed=10, boxes=2, rate=20) as fleet:
        fleet.boxes[0].start(skew=0.0)
        fleet.boxes[1].start(skew=-0.4)
        fleet.load()
        fleet.answered(100)
        assert fleet.broken_rules() == []
        assert fleet.account.counts(boxes={"disp-02"})["served"] > 20


def test_excuses_are_for_those_a_fault_touched_while_it_lasted():
    book = Account()
    now = time.time()
    for trace, box, at in (("a", "x", now - 5), ("b", "y", now - 5), ("c", "x", now - 50)):
        book.wrote(Try(trace, "g0", box, "track", "b", "", at, at + 1))
    book.faults.append([now - 5.5, now - 4.5, "killed", frozenset(["x"])])
    assert sorted(text.split()[0] for rule, text in check(book)) == ["b", "c"]


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
        book, pauses = Account(), Pauses([])
        book.held_up, now = pauses.held, time.time()
        made = Try("a", "g0", "x", "track", "b", "", now - 1.3, now - 0.3)
        book.wrote(made)
        made.answers.append((now, "served", "did b"))
        for whom, at, held in spans:
            pauses.note(now - 1 + at, now - 0.9 + at, whom, held)
        assert [rule for rule, _ in check(book)] == ["lost"] * late, spans


def test_a_process_that_finds_no_core_is_seen_to_be_held_up(tmp_path):
    """Three that want one core: each waits for the others two thirds of the time."""
    core = min(os.sched_getaffinity(0))
    loops = [
        subprocess.Popen([sys.executable, "-c", f"import os\nos.sched_setaffinity(0, [{core}])\nwhile 1: pass"])
        for _ in range(3)
    ]
    box = types.SimpleNamespace(name="x", serving=lambda: [loops[0].pid])
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
    assert 100 < len(set(got)) < 180 and len(got) > len(set(got)) and got != sorted(got)
