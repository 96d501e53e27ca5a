"""Tests of a worker host with the settings of other deployments: features that are absent, off or different."""

import json
import time

import pytest

from lapispick.fakes.fleet import Fleet
from lapispick.fakes.host_pauses import measure_pauses
from lapispick.fakes.messages import REJECTED_CODE, request_params
from lapispick.fakes.start_settings import PLATFORM_INFO, make_platform_info
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import wait_until
from lapispick.host.config import ConfigError, parse
from tests.host_support import FAILED_CODE


@pytest.mark.parametrize("downstream", ["off", "tier"])
def test_a_host_without_a_store_serves_degraded_answers(host, downstream):
    worker = host(info=make_platform_info(Below=downstream, CallsOut=0.0), omit=("store",))
    gateway = worker.gateway()
    assert gateway.result(gateway.request("track", "plain")) == "did plain"
    assert gateway.result(gateway.request("track", "call:200")) == "poorer"
    number = gateway.request("book", "call:200", f"{7:032x}")
    assert gateway.error_code(number) == FAILED_CODE  # it was executed, and its call can't be skipped
    worker.reload(omit=("store",))
    assert gateway.result(gateway.request("track", "again")) == "did again"
    assert not worker.store.calls


def test_a_store_address_is_required_only_for_a_shared_dependency(host):
    text = host(wait_for_start=False).path.read_bytes()
    for downstream, required in (("shared", True), ("off", False), ("tier", False)):
        changed = text.replace(b'"shared"', f'"{downstream}"'.encode()).replace(b'"store"', b'"no store"')
        if required:
            with pytest.raises(ConfigError, match=r"^store: "):
                parse(changed)
        else:
            assert parse(changed).store_address is None


def test_hosts_with_different_settings_are_independent(host):
    other_info = make_platform_info(CallsOut=0.5, Advert="off", PassesDeadline=False)
    other_info["Parties"] = []
    other_info["Services"][1].update(Name="place", GiveUp=1200.0, Promise=600.0)
    gateway = host().gateway()
    other_gateway = host(info=other_info).gateway()
    assert gateway.result(gateway.request("book", "one", f"{1:032x}")) == "did one"
    assert "advice" in gateway.answer(1)["result"]
    assert (
        other_gateway.result(other_gateway.request("place", "two", f"{1:032x}", customer="", patience=None))
        == "did two"
    )
    assert "advice" not in other_gateway.answer(1)["result"]
    assert gateway.error_code(gateway.request("place", "no", f"{2:032x}")) == -32601
    assert other_gateway.error_code(other_gateway.request("book", "no", f"{2:032x}")) == -32601


def test_a_request_without_a_deadline_is_answered_by_the_deadline_of_its_class(host):
    info = make_platform_info(PassesDeadline=False)
    info["Services"][0].update(GiveUp=1500.0, Promise=900.0)
    worker = host(info=info)
    gateway = worker.gateway()
    with measure_pauses(worker) as paused_s:
        created_at_ms = time.time() * 1000
        number = gateway.send(
            "track", **{k: v for k, v in request_params("hold", born=created_at_ms).items() if k != "patience"}
        )
        assert gateway.error_code(number) == FAILED_CODE
        assert 1300 < time.time() * 1000 - created_at_ms < 1560 + 1000 * paused_s()
    assert worker.executor.runs_of("hold")


def test_a_request_without_a_deadline_is_invalid_where_callers_send_them(host):
    worker = host(info=make_platform_info(PassesDeadline=True))
    gateway = worker.gateway()
    number = gateway.send("track", **{k: v for k, v in request_params("x").items() if k != "patience"})
    assert gateway.error_code(number) == -32600
    assert not worker.executor.runs


def test_unmarked_retries_execute_a_key_once_and_idempotent_requests_each_time(host):
    worker = host(info=make_platform_info(PassesDeadline=False, Advert="off"))
    gateway = worker.gateway()
    other = worker.gateway()
    key = f"{7:032x}"
    first = gateway.request("book", "hold", key)
    wait_until(lambda: worker.executor.runs, "the run")
    retries = [other.request("book", "hold", key) for _ in range(3)]
    idempotent_requests = [other.request("track", "copy") for _ in range(2)]
    assert [other.result(n) for n in idempotent_requests] == ["did copy"] * 2
    worker.executor.end_run(worker.executor.runs[0].task, result="placed")
    assert [gateway.result(first), *(other.result(n) for n in retries)] == ["placed"] * 4
    assert len(worker.executor.runs_of("hold")) == 1


@pytest.mark.parametrize(("grace", "window"), [(500.0, 9195.0), (2000.0, 1000.0)])
def test_drain_grace_and_idempotency_window_are_those_of_the_settings(host, grace, window):
    info = make_platform_info()
    info["Guarantees"]["DrainGrace"] = grace
    info["Services"][1]["Window"] = window
    worker = host(info=info, stop_ms=4000)
    gateway = worker.gateway()
    key = f"{3:032x}"
    created_at_ms = time.time() * 1000
    assert gateway.result(gateway.request("book", "placed", key, born=created_at_ms)) == "did placed"
    wait_until(lambda: time.time() * 1000 > created_at_ms + 1500, "the end of the shorter window")
    retry = gateway.request("book", "placed", key)
    assert gateway.result(retry) == "did placed"
    assert len(worker.executor.runs_of("placed")) == (1 if window > 1500 else 2)
    worker.terminate()
    worker.wait_for_log("shutdown-started")
    drain_started_at_ms = time.time() * 1000
    wait_until(lambda: time.time() * 1000 > drain_started_at_ms + 1000, "the first second of the drain")
    late = gateway.request("track", "late")
    answer = gateway.answer(late)
    assert ("result" in answer) == (grace > 1000)


def test_a_run_of_a_cancelled_request_is_stopped_also_where_runs_can_be_paused(host):
    worker = host(info=make_platform_info(Halt="pause"))
    gateway = worker.gateway()
    number = gateway.request("track", "hold")
    wait_until(lambda: worker.executor.runs, "the run")
    gateway.cancel(number)
    wait_until(lambda: any(c["verb"] == "KILL" for c in worker.executor.commands), "the KILL command")
    assert gateway.result(gateway.request("track", "next")) == "did next"


def test_runs_that_an_executor_never_ends_fail_at_their_deadline(host):
    worker = host(info=make_platform_info(PassesDeadline=False))
    gateway = worker.gateway()
    worker.executor.ignores_commands = True
    numbers = [gateway.request("track", "lost", patience=900) for _ in range(4)]
    probe = gateway.send("probe")
    assert "result" in gateway.answer(probe)
    assert all(gateway.error_code(n) in (FAILED_CODE, REJECTED_CODE) for n in numbers)
    worker.executor.ignores_commands = False
    worker.executor.disconnect()
    assert gateway.result(gateway.request("track", "back")) == "did back"


@pytest.mark.parametrize("returning", [False, True])
def test_idle_connections_of_one_time_callers_are_closed_before_the_idle_timeout(host, returning):
    """Idle connections that fill a connection table prevent requests of other callers from being served."""
    worker = host(info=make_platform_info(Idle=4000.0))
    callers = [worker.gateway() for _ in range(60)]
    started_at = time.monotonic()
    for n, gateway in enumerate(callers):
        assert gateway.result(gateway.request("track", "once", client=1 + (0 if returning else n))) == "did once"
    callers[0].file.peek(1)  # the goaway
    goaway_after_s = time.monotonic() - started_at
    callers[0].read()
    assert callers[0].goaway_received
    assert goaway_after_s > 3.9 if returning else goaway_after_s < 3.9


def test_a_few_requests_that_do_not_end_fail_without_affecting_others(host):
    info = make_platform_info(PassesDeadline=False, Halt="pause")
    info["Services"][0].update(GiveUp=2500.0, Promise=1000.0)
    worker = host(info=info)
    gateway = worker.gateway()
    heavy = []
    light = []
    for n in range(200):
        (heavy if n % 50 == 20 else light).append(
            number := gateway.request("track", "hold" if n % 50 == 20 else f"x{n}")
        )
        if number in light:
            assert gateway.result(number) == f"did x{n}"
    assert {gateway.error_code(n) for n in heavy} == {FAILED_CODE}
    wait_until(
        lambda: len([c for c in worker.executor.commands if c["verb"] == "KILL"]) == len(heavy), "the KILL commands"
    )
    assert gateway.result(gateway.request("track", "after")) == "did after"


class LoadedStore(Store):
    """Store whose calls take ``work_s * slowdown``; records the maximum number of concurrent calls."""

    def __init__(self):
        self.concurrent = 0
        self.max_concurrent = 0
        self.slowdown = 1.0
        self.work_s = 0.01
        super().__init__()

    def serve(self, connection):
        for _ in self.read_calls(connection.makefile("rb")):
            with self.lock:
                self.concurrent += 1
                self.max_concurrent = max(self.max_concurrent, self.concurrent)
            time.sleep(self.work_s * self.slowdown)
            with self.lock:
                self.concurrent -= 1
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def test_calls_to_a_slow_store_stay_within_the_quota_and_all_requests_are_answered(host):
    info = make_platform_info(PassesDeadline=False, CallsOut=3.0, ClassSkipWorth=[0.0, 0.0], DepWindow=1000.0)
    info["Services"][0].update(GiveUp=2000.0, Promise=1000.0)
    worker = host(info=info, store=LoadedStore())
    gateway = worker.gateway()
    numbers = []
    served_counts = []
    for step in range(60):
        worker.store.slowdown = 20.0 if 15 <= step < 40 else 1.0
        batch = [gateway.request("track", f"call:{step}-{n}") for n in range(4)]
        answers = [gateway.answer(n) for n in batch]
        served_counts.append(sum("result" in a for a in answers))
        numbers += batch
    assert len(gateway.answers) >= len(numbers)
    assert worker.store.max_concurrent <= 3
    assert sum(served_counts[:15]) >= 40
    assert sum(served_counts[-10:]) >= 30


def test_a_fleet_that_shrinks_to_a_third_breaks_no_rule(tmp_path):
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Halt="pause", Advert="off")
    with Fleet(tmp_path, seed=12, hosts=3, rate=40, info=info) as fleet:
        fleet.start()
        fleet.start_load()
        fleet.wait_for_results(60)
        for worker in fleet.hosts[1:]:
            fleet.record.add_shutdown(worker.name, worker.processes[0].name)
            worker.processes[0].terminate()
        assert all(worker.processes[0].wait(8) == 0 for worker in fleet.hosts[1:])
        since = time.time()
        fleet.wait_for_results(100)
        assert fleet.broken_rules() == []
        assert fleet.record.answer_counts(since=since, hosts={"disp-01"})["served"] > 50
