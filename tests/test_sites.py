"""Settings that other deployments bring: what is not there, is off or differs must cost no service."""

import json
import time

import pytest

from lapispick.fakes.fleet import Fleet
from lapispick.fakes.host_pauses import measure_pauses
from lapispick.fakes.messages import request_params
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import wait_until
from lapispick.host.config import ConfigError, parse


@pytest.mark.parametrize("below", ["off", "tier"])
def test_a_host_without_a_store_serves_and_leaves_calls_out(host, below):
    h = host(info=make_platform_info(Below=below, CallsOut=0.0), omit=("store",))
    g = h.gateway()
    assert g.result(g.request("track", "plain")) == "did plain"
    assert g.result(g.request("track", "call:200")) == "poorer"
    assert g.error_code(g.request("book", "call:200", f"{7:032x}")) == -32000  # it ran, and its call can't be left out
    h.reload(omit=("store",))
    assert g.result(g.request("track", "again")) == "did again"
    assert not h.store.calls


def test_a_store_is_asked_for_where_all_hosts_share_one(host):
    text = host(wait_for_start=False).path.read_bytes()
    for below, missing in (("shared", True), ("off", False), ("tier", False)):
        changed = text.replace(b'"shared"', f'"{below}"'.encode()).replace(b'"store"', b'"no store"')
        if missing:
            with pytest.raises(ConfigError, match=r"^store: "):
                parse(changed)
        else:
            assert parse(changed).store_address is None


def test_settings_of_two_hosts_share_nothing(host):
    other = make_platform_info(CallsOut=0.5, Advert="off", PassesDeadline=False)
    other["Parties"] = []
    other["Services"][1].update(Name="place", GiveUp=1200.0, Promise=600.0)
    a, b = host(), host(info=other)
    ga, gb = a.gateway(), b.gateway()
    assert ga.result(ga.request("book", "one", f"{1:032x}")) == "did one"
    assert "advice" in ga.answer(1)["result"]
    assert gb.result(gb.request("place", "two", f"{1:032x}", customer="", patience=None)) == "did two"
    assert "advice" not in gb.answer(1)["result"]
    assert ga.error_code(ga.request("place", "no", f"{2:032x}")) == -32601
    assert gb.error_code(gb.request("book", "no", f"{2:032x}")) == -32601


def test_a_request_that_tells_no_patience_is_answered_by_its_classs_time(host):
    info = make_platform_info(PassesDeadline=False)
    info["Services"][0].update(GiveUp=1500.0, Promise=900.0)
    h = host(info=info)
    g = h.gateway()
    with measure_pauses(h) as paused_s:
        born = time.time() * 1000
        number = g.send("track", **{k: v for k, v in request_params("hold", born=born).items() if k != "patience"})
        assert g.error_code(number) == -32000
        assert 1300 < time.time() * 1000 - born < 1560 + 1000 * paused_s()
    assert h.executor.runs_of("hold")


def test_where_callers_tell_their_patience_one_that_does_not_is_at_fault(host):
    h = host(info=make_platform_info(PassesDeadline=True))
    g = h.gateway()
    number = g.send("track", **{k: v for k, v in request_params("x").items() if k != "patience"})
    assert g.error_code(number) == -32600
    assert not h.executor.runs


def test_further_tries_without_a_mark_run_a_key_once_and_reads_freely(host):
    h = host(info=make_platform_info(PassesDeadline=False, Advert="off"))
    g, other, key = h.gateway(), h.gateway(), f"{7:032x}"
    first = g.request("book", "hold", key)
    wait_until(lambda: h.executor.runs, "the run")
    copies = [other.request("book", "hold", key) for _ in range(3)]
    reads = [other.request("track", "copy") for _ in range(2)]
    assert [other.result(n) for n in reads] == ["did copy"] * 2
    h.executor.end_run(h.executor.runs[0].task, result="placed")
    assert [g.result(first), *(other.result(n) for n in copies)] == ["placed"] * 4
    assert len(h.executor.runs_of("hold")) == 1


@pytest.mark.parametrize(("grace", "window"), [(500.0, 9195.0), (2000.0, 1000.0)])
def test_grace_and_window_are_those_of_the_settings(host, grace, window):
    info = make_platform_info()
    info["Guarantees"]["DrainGrace"] = grace
    info["Services"][1]["Window"] = window
    h = host(info=info, stop_ms=4000)
    g, key, born = h.gateway(), f"{3:032x}", time.time() * 1000
    assert g.result(g.request("book", "placed", key, born=born)) == "did placed"
    wait_until(lambda: time.time() * 1000 > born + 1500, "the end of the short window")
    again = g.request("book", "placed", key)
    assert g.result(again) == "did placed"
    assert len(h.executor.runs_of("placed")) == (1 if window > 1500 else 2)
    h.terminate()
    h.wait_for_log("shutdown-started")
    left = time.time() * 1000
    wait_until(lambda: time.time() * 1000 > left + 1000, "a second of the drain")
    late = g.request("track", "late")
    answer = g.answer(late)
    assert ("result" in answer) == (grace > 1000)


def test_runs_that_nobody_waits_for_are_stopped_where_work_is_paused_too(host):
    h = host(info=make_platform_info(Halt="pause"))
    g = h.gateway()
    number = g.request("track", "hold")
    wait_until(lambda: h.executor.runs, "the run")
    g.cancel(number)
    wait_until(lambda: any(c["verb"] == "KILL" for c in h.executor.commands), "the stop")
    assert g.result(g.request("track", "next")) == "did next"


def test_an_executor_that_takes_runs_and_ends_none_costs_their_time_only(host):
    h = host(info=make_platform_info(PassesDeadline=False))
    g = h.gateway()
    h.executor.ignores_commands = True
    numbers = [g.request("track", "lost", patience=900) for _ in range(4)]
    probe = g.send("probe")
    assert "result" in g.answer(probe)
    assert all(g.error_code(n) in (-32000, -32050) for n in numbers)
    h.executor.ignores_commands = False
    h.executor.disconnect()
    assert g.result(g.request("track", "back")) == "did back"


@pytest.mark.parametrize("returning", [False, True])
def test_callers_that_ask_once_and_stay_leave_before_their_own_time(host, returning):
    """Where a table is full of them, connections that carry nothing cost the work that others need."""
    h = host(info=make_platform_info(Idle=4000.0))
    callers = [h.gateway() for _ in range(60)]
    began = time.monotonic()
    for n, g in enumerate(callers):
        assert g.result(g.request("track", "once", client=1 + (0 if returning else n))) == "did once"
    callers[0].file.peek(1)  # the goaway
    after = time.monotonic() - began
    callers[0].read()
    assert callers[0].goaway_received
    assert after > 3.9 if returning else after < 3.9


def test_a_few_requests_of_many_times_the_usual_work_cost_only_themselves(host):
    info = make_platform_info(PassesDeadline=False, Halt="pause")
    info["Services"][0].update(GiveUp=2500.0, Promise=1000.0)
    h = host(info=info)
    g, heavy, light = h.gateway(), [], []
    for n in range(200):
        (heavy if n % 50 == 20 else light).append(number := g.request("track", "hold" if n % 50 == 20 else f"x{n}"))
        if number in light:
            assert g.result(number) == f"did x{n}"
    assert {g.error_code(n) for n in heavy} == {-32000}
    wait_until(lambda: len([c for c in h.executor.commands if c["verb"] == "KILL"]) == len(heavy), "their stops")
    assert g.result(g.request("track", "after")) == "did after"


class Crowded(Store):
    """Takes ``work_s`` for a call, longer by ``slow``; it notes the most that it had in hand."""

    def __init__(self):
        self.now, self.worst, self.slow, self.work_s = 0, 0, 1.0, 0.01
        super().__init__()

    def serve(self, connection):
        for _ in self.read_calls(connection.makefile("rb")):
            with self.lock:
                self.now += 1
                self.worst = max(self.worst, self.now)
            time.sleep(self.work_s * self.slow)
            with self.lock:
                self.now -= 1
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def test_a_slow_store_is_asked_no_more_than_its_share_and_all_is_answered(host):
    info = make_platform_info(PassesDeadline=False, CallsOut=3.0, ClassSkipWorth=[0.0, 0.0], DepWindow=1000.0)
    info["Services"][0].update(GiveUp=2000.0, Promise=1000.0)
    h = host(info=info, store=Crowded())
    g, numbers, kinds = h.gateway(), [], []
    for turn in range(60):
        h.store.slow = 20.0 if 15 <= turn < 40 else 1.0
        batch = [g.request("track", f"call:{turn}-{n}") for n in range(4)]
        answers = [g.answer(n) for n in batch]
        kinds.append(sum("result" in a for a in answers))
        numbers += batch
    assert len(g.answers) >= len(numbers)
    assert h.store.worst <= 3
    assert sum(kinds[:15]) >= 40
    assert sum(kinds[-10:]) >= 30


def test_a_fleet_that_shrinks_to_a_third_keeps_all_rules(tmp_path):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Halt="pause", Advert="off")
    with Fleet(tmp_path, seed=12, hosts=3, rate=40, info=info) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(60)
        for box in fleet.hosts[1:]:
            fleet.record.add_shutdown(box.name, box.processes[0].name)
            box.processes[0].terminate()
        assert all(box.processes[0].wait(8) == 0 for box in fleet.hosts[1:])
        since = time.time()
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []
        assert fleet.record.answer_counts(since=since, hosts={"disp-01"})["served"] > 50
