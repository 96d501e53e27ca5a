"""Settings that other deployments bring: what is not there, is off or differs must cost no service."""

import copy
import json
import time

import pytest

from lapispick.host.config import ConfigError, parse
from lapispick.standins.pauses import watched
from lapispick.standins.peers import INFO, asked, until


def settings(**family):
    """Return the usual settings with changes of the server's own properties."""
    info = copy.deepcopy(INFO)
    info["FamilyInfo"].update(family)
    return info


@pytest.mark.parametrize("below", ["off", "tier"])
def test_a_host_without_a_store_serves_and_leaves_calls_out(host, below):
    h = host(info=settings(Below=below, CallsOut=0.0), without=("store",))
    g = h.gateway()
    assert g.result(g.request("track", "plain")) == "did plain"
    assert g.result(g.request("track", "call:200")) == "poorer"
    assert g.code(g.request("book", "call:200", f"{7:032x}")) == -32000  # it ran, and its call can't be left out
    h.reload(without=("store",))
    assert g.result(g.request("track", "again")) == "did again" and not h.store.calls


def test_a_store_is_asked_for_where_all_hosts_share_one(host):
    text = host(started=False).path.read_bytes()
    for below, missing in (("shared", True), ("off", False), ("tier", False)):
        changed = text.replace(b'"shared"', f'"{below}"'.encode()).replace(b'"store"', b'"no store"')
        if missing:
            with pytest.raises(ConfigError, match=r"^store: "):
                parse(changed)
        else:
            assert parse(changed).store_address is None


def test_settings_of_two_hosts_share_nothing(host):
    other = settings(CallsOut=0.5, Advert="off", PassesDeadline=False)
    other["Parties"] = []
    other["Services"][1].update(Name="place", GiveUp=1200.0, Promise=600.0)
    a, b = host(), host(info=other)
    ga, gb = a.gateway(), b.gateway()
    assert ga.result(ga.request("book", "one", f"{1:032x}")) == "did one" and "advice" in ga.answer(1)["result"]
    assert gb.result(gb.request("place", "two", f"{1:032x}", customer="", patience=None)) == "did two"
    assert "advice" not in gb.answer(1)["result"]
    assert ga.code(ga.request("place", "no", f"{2:032x}")) == -32601
    assert gb.code(gb.request("book", "no", f"{2:032x}")) == -32601


def test_a_request_that_tells_no_patience_is_answered_by_its_classs_time(host):
    info = settings(PassesDeadline=False)
    info["Services"][0].update(GiveUp=1500.0, Promise=900.0)
    h = host(info=info)
    g = h.gateway()
    with watched(h) as held:
        born = time.time() * 1000
        number = g.send("track", **{k: v for k, v in asked("hold", born=born).items() if k != "patience"})
        assert g.code(number) == -32000 and 1300 < time.time() * 1000 - born < 1560 + 1000 * held()
    assert h.executor.ran("hold")


def test_where_callers_tell_their_patience_one_that_does_not_is_at_fault(host):
    h = host(info=settings(PassesDeadline=True))
    g = h.gateway()
    number = g.send("track", **{k: v for k, v in asked("x").items() if k != "patience"})
    assert g.code(number) == -32600 and not h.executor.runs


def test_further_tries_without_a_mark_run_a_key_once_and_reads_freely(host):
    h = host(info=settings(PassesDeadline=False, Advert="off"))
    g, other, key = h.gateway(), h.gateway(), f"{7:032x}"
    first = g.request("book", "hold", key)
    until(lambda: h.executor.runs, "the run")
    copies = [other.request("book", "hold", key) for _ in range(3)]
    reads = [other.request("track", "copy") for _ in range(2)]
    assert [other.result(n) for n in reads] == ["did copy"] * 2
    h.executor.end(h.executor.runs[0][0], result="placed")
    assert [g.result(first), *(other.result(n) for n in copies)] == ["placed"] * 4
    assert len(h.executor.ran("hold")) == 1


@pytest.mark.parametrize("grace,window", [(500.0, 9195.0), (2000.0, 1000.0)])
def test_grace_and_window_are_those_of_the_settings(host, grace, window):
    info = settings()
    info["Guarantees"]["DrainGrace"] = grace
    info["Services"][1]["Window"] = window
    h = host(info=info, stop_ms=4000)
    g, key, born = h.gateway(), f"{3:032x}", time.time() * 1000
    assert g.result(g.request("book", "placed", key, born=born)) == "did placed"
    until(lambda: time.time() * 1000 > born + 1500, "the end of the short window")
    again = g.request("book", "placed", key)
    assert g.result(again) == "did placed"
    assert len(h.executor.ran("placed")) == (1 if window > 1500 else 2)
    h.leave()
    h.logged("leaving")
    left = time.time() * 1000
    until(lambda: time.time() * 1000 > left + 1000, "a second of the drain")
    late = g.request("track", "late")
    answer = g.answer(late)
    assert ("result" in answer) == (grace > 1000)


def test_runs_that_nobody_waits_for_are_stopped_where_work_is_paused_too(host):
    h = host(info=settings(Halt="pause"))
    g = h.gateway()
    number = g.request("track", "hold")
    until(lambda: h.executor.runs, "the run")
    g.raw(json.dumps({"jsonrpc": "2.0", "method": "giveUp", "params": {"id": number}}).encode())
    until(lambda: any(c["verb"] == "KILL" for c in h.executor.commands), "the stop")
    assert g.result(g.request("track", "next")) == "did next"


def test_an_executor_that_takes_runs_and_ends_none_costs_their_time_only(host):
    h = host(info=settings(PassesDeadline=False))
    g = h.gateway()
    h.executor.deaf = True
    numbers = [g.request("track", "lost", patience=900) for _ in range(4)]
    probe = g.send("probe")
    assert "result" in g.answer(probe)
    assert all(g.code(n) in (-32000, -32050) for n in numbers)
    h.executor.deaf = False
    h.executor.cut()
    assert g.result(g.request("track", "back")) == "did back"
