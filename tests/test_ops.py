"""The operators' address, the metrics and the drain by call."""

import contextlib
import itertools
import json
import os
import random
import socket
import threading
import time
import uuid

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli
from lapispick.cli.ops import NoAnswerError, parse_metrics
from lapispick.fakes.executor import Executor
from lapispick.fakes.start_settings import PLATFORM_INFO, make_start_settings
from lapispick.fakes.waiting import wait_until
from lapispick.host import config
from lapispick.host.health import HealthState

REJECTED_CODE = -32050


def test_each_call_is_answered_and_anything_else_is_an_error(host):
    h = host()
    assert h.call_operators(b"check") == ["OK"]
    assert h.call_operators(b"check\r") == ["OK"]
    for invalid_call in (b"", b"CHECK", b"vars all", b"\xff\xfe", b"x" * 5000):
        (answer,) = h.call_operators(invalid_call)
        assert answer.startswith("ERR "), invalid_call
        assert len(answer) > 10, invalid_call
    with socket.create_connection(h.ops.split(":"), timeout=5) as sock:
        sock.sendall(b"che")
        sock.shutdown(socket.SHUT_WR)
        assert sock.makefile().read().startswith("ERR ")
    assert h.call_operators(b"check") == ["OK"]


def test_check_succeeds_only_while_clients_are_accepted(host):
    late = Executor(is_up=False)
    h = host(executor=late, wait_for_ready=False)
    (answer,) = h.call_operators()
    assert answer.startswith("ERR ")
    h.call_operators(b"drain-on")  # a drain call before the executor is up holds from then on
    wait_until(lambda: late.commands, "the first message")
    late.become_ready()
    h.wait_for_log("ready")
    assert h.call_operators() == ["OK"]
    g = h.gateway()
    assert g.answer(g.send("probe"))["result"]["healthy"] is False
    h.call_operators(b"drain-off")
    assert g.answer(g.send("probe"))["result"]["healthy"] is True


def test_silent_callers_affect_only_themselves(host):
    h = host()
    name, port = h.ops.split(":")
    began = time.monotonic()
    callers = [socket.create_connection((name, int(port))) for _ in range(40)]
    for caller in callers[::2]:
        with contextlib.suppress(OSError):
            caller.sendall(b"va")
    assert h.call_operators() == ["OK"]
    assert h.metrics()["inflight"] == 0
    assert time.monotonic() - began < 1
    assert len(os.listdir(f"/proc/{h.process.pid}/fd")) < 30  # 8 of them at most, of 256 descriptors
    for caller in callers:
        caller.settimeout(3.5)
        with contextlib.suppress(ConnectionError):
            assert not caller.recv(10)
    assert time.monotonic() - began < 4


def test_calls_are_answered_within_a_second_under_a_flood(host):
    h = host(executor=Executor(work_s=0.004))
    stop = threading.Event()

    def flood():
        g = h.gateway()
        line = g.request_line("track", "x") + b"\n"
        with contextlib.suppress(OSError):
            while not stop.is_set():
                g.sock.sendall(line * 200)  # ids that are not new: each costs a look and an answer
                g = h.gateway()

    floods = [threading.Thread(target=flood) for _ in range(8)]
    for thread in floods:
        thread.start()
    try:
        worst = 0.0
        for _ in range(40):
            began = time.monotonic()
            assert h.call_operators() == ["OK"]
            assert h.call_operators(b"vars")[-1] == "END"
            worst = max(worst, time.monotonic() - began)
        assert worst < 1
    finally:
        stop.set()
        for thread in floods:
            thread.join()


def test_metrics_agree_with_the_fake_peers_through_a_seeded_mix(host):
    seed = 20261201
    print("seed", seed)
    rng = random.Random(seed)
    h = host(executor=Executor(work_s=0.002))
    assert set(h.metrics().values()) == {0}
    g = h.gateway()
    keys = [uuid.UUID(int=i).hex for i in range(6)]
    sent = {}
    cancelled = set()
    for step in range(300):
        class_name = rng.choice(["track", "book"])
        key = rng.choice(keys) if class_name == "book" else None
        body = f"keyed {key}" if key else rng.choice(["x", "error", "call:200", "call:500", "late"])
        patience = 1 if body == "late" else 4000
        sent[
            g.request(class_name, body, key, born=time.time() * 1000 - (5 if body == "late" else 0), patience=patience)
        ] = class_name
        if rng.random() < 0.05:
            cancelled.add(g.last_id)
            g.cancel(g.last_id)
        if step % 100 == 50:
            h.executor.disconnect()
        elif step % 100 == 70:
            h.call_operators(rng.choice([b"drain-on", b"drain-off"]))
        elif step % 100 == 80:
            for peer in (h.executor, h.store, h.registry):
                peer.relocate()
            h.reload()
        if step % 30 == 29:  # under the 32 that may be open
            for n in sent:
                g.answer(n)
    counts = dict.fromkeys(itertools.product(("success", "busy", "failure"), ("track", "book")), 0)
    for n, class_name in sent.items():
        answer = g.answer(n)
        kind = "success" if "result" in answer else "busy" if answer["error"]["code"] == REJECTED_CODE else "failure"
        counts[kind, class_name] += n not in cancelled or kind == "failure"  # an answer that says so is counted
    metrics = h.metrics()
    for (kind, class_name), count in counts.items():
        assert 0 <= metrics[f"{kind}.{class_name}"] - count <= len(cancelled) * (kind != "failure"), (kind, class_name)
    assert counts["success", "track"] > 50
    assert counts["failure", "track"] > 10
    # Starts that were lost with a link are sent again: the host handed over each run once.
    assert metrics["backend_calls"] == len({c["task"] for c in h.executor.commands if c["verb"] == "EXEC"})
    assert metrics["inflight"] == 0


def test_inflight_counts_requests_received_and_not_answered(host):
    h = host()
    g = h.gateway()
    held = [g.request("track", "hold") for _ in range(3)]
    wait_until(lambda: h.metrics()["inflight"] == 3, "three in flight")
    wait_until(lambda: len(h.executor.runs) == 3, "three runs at the executor")
    for task, _, _ in list(h.executor.runs):
        h.executor.end_run(task)
    for n in held:
        g.answer(n)
    assert h.metrics()["inflight"] == 0
    assert h.metrics()["success.track"] == 3


def test_a_drain_by_call_fails_health_checks_and_answers_all_requests(host):
    h = host()
    g = h.gateway()
    for _ in range(3):
        for call, healthy in ((b"drain-on", False), (b"drain-on", False), (b"drain-off", True), (b"drain-off", True)):
            assert h.call_operators(call) == ["OK"]
            assert g.answer(g.send("probe"))["result"]["healthy"] is healthy
            assert g.result(g.request("track", "still")) == "did still"
            assert h.call_operators() == ["OK"]
    h.call_operators(b"drain-on")
    wait_until(lambda: h.registry.reports[-1].text == "HERE n3 off", "off")
    h.reload()
    assert g.answer(g.send("probe"))["result"]["healthy"] is False  # SIGHUP in a drain changes nothing
    h.call_operators(b"drain-off")
    wait_until(lambda: h.registry.reports[-1].text == "HERE n3 on", "on")


def test_sigterm_while_draining_is_an_ordinary_shutdown(host):
    h = host(stop_ms=2500)
    g = h.gateway()
    running = g.request("track", "hold", patience=9000)
    wait_until(lambda: h.executor.runs, "the run")
    h.call_operators(b"drain-on")
    h.terminate()
    wait_until(lambda: g.read() and g.goaway_received, "goaway")
    assert h.call_operators()[0].startswith("ERR")
    assert h.call_operators(b"drain-off") == ["OK"]
    assert g.answer(g.send("probe"))["result"]["healthy"] is False
    h.executor.end_run(h.executor.runs[0].task)
    assert g.result(running) == "done"
    assert h.process.wait(5) == 0


@pytest.mark.parametrize(
    ("ready", "module_healthy", "draining", "shutting_down"), list(itertools.product([False, True], repeat=4))
)
def test_health_state_follows_from_its_facts(ready, module_healthy, draining, shutting_down):
    state = HealthState(ready, module_healthy, draining, shutting_down)
    assert state.healthy == (ready and module_healthy and not draining and not shutting_down)
    assert state.listed == (module_healthy and not draining and not shutting_down)
    assert (state.not_accepting_reason == "") == (ready and not shutting_down)


def test_the_operators_address_is_read_from_file_and_environment_and_validated(tmp_path):
    base = make_start_settings(listen="127.0.0.1:1")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(base))
    environ = {"LB_CONFIG": str(path)}
    assert config.load(environ).ops == ""
    assert config.load({**environ, "LB_OPS": "127.0.0.1:9"}).ops == "127.0.0.1:9"
    path.write_text(json.dumps({**base, "ops": "127.0.0.1:8"}))
    assert config.load(environ).ops == "127.0.0.1:8"
    assert config.load({**environ, "LB_OPS": "127.0.0.1:9"}).ops == "127.0.0.1:9"
    with pytest.raises(config.ConfigError, match=r"^LB_OPS"):
        config.load({**environ, "LB_OPS": "here"})
    path.write_text(json.dumps({**base, "ops": "here"}))
    with pytest.raises(config.ConfigError, match=r"^ops"):
        config.load(environ)


def test_the_command_line_calls_a_host_and_reports_the_outcome(host, tmp_path, monkeypatch):
    runner = CliRunner()
    h = host()

    def lapispick(*arguments):
        result = runner.invoke(cli, ["ops", *arguments])
        return result.exit_code, result.output

    assert lapispick("check", "--at", h.ops) == (0, "OK\n")
    monkeypatch.setenv("LB_OPS", h.ops)
    assert lapispick("drain-on") == (0, "OK\n")
    assert lapispick("drain-off") == (0, "OK\n")
    assert json.loads(lapispick("vars", "--json")[1])["inflight"] == 0
    assert "backend_calls" in lapispick("vars")[1]
    assert "yes after" in lapispick("wait")[1]
    monkeypatch.delenv("LB_OPS")
    monkeypatch.setenv("LB_CONFIG", str(h.path))
    h.path.write_text(json.dumps({**h.config, "ops": h.ops}))
    assert lapispick("check")[0] == 0
    h.process.kill()
    h.process.wait()
    assert lapispick("check")[0] == 3
    assert lapispick("wait", "--seconds", "0.2")[0] == 1
    assert lapispick("check", "--at", "here")[0] == 2


@pytest.mark.parametrize("lines", [["app.inflight:1|g"], ["app.x:-1|c", "END"], ["app.x|c", "END"], ["END", "x"]])
def test_incomplete_metrics_are_rejected(lines):
    with pytest.raises(NoAnswerError):
        parse_metrics(lines)


def test_extended_metrics_are_shown_only_where_the_settings_enable_them(host, tmp_path):
    plain = host()
    g = plain.gateway()
    g.result(g.request("track", "x"))
    assert not [name for name in plain.metrics() if name.startswith(("worth", "took", "late", "memory", "generation"))]
    (tmp_path / "own.conf").write_text("section figures\n enabled yes\nend\n")
    h = host(environ={"LAPISPICK_CONF": str(tmp_path / "own.conf"), "LAPISPICK_GENERATION": "abc"})
    g = h.gateway()
    for n in range(20):
        g.result(g.request("track", f"x{n}"))
    g.result(g.request("book", "x", f"{1:032x}"))
    found = h.metrics()
    assert found["worth.track"] == 20_000
    assert found["worth.book"] == 5000
    assert found["late.track"] == 0
    assert sum(value for name, value in found.items() if name.startswith("took.track.")) == 20
    assert 10_000 < found["memory_kb"] <= found["memory_most_kb"] < 100_000
    assert found["generation.abc"] == 1


def extended_metrics_environ(tmp_path):
    """Return the environment of a host with extended metrics."""
    (tmp_path / "own.conf").write_text("section figures\n enabled yes\nend\n")
    return {"LAPISPICK_CONF": str(tmp_path / "own.conf")}


def test_a_request_that_arrived_after_its_deadline_counts_as_no_broken_rule(host, tmp_path):
    """Senders may be delayed between ``born`` and a request's last byte; a rollout must not undo a change for that."""
    h = host(environ=extended_metrics_environ(tmp_path))
    g = h.gateway()
    for class_name, params in (("track", {"patience": 500}), ("book", {"nonce": uuid.uuid4().hex})):
        number = g.request(class_name, "late", born=time.time() * 1000 - 900, **{"patience": 300, **params})
        assert g.error_code(number) == REJECTED_CODE
    assert h.metrics()["broken"] == 0
    assert not h.executor.runs_of("late")


@pytest.mark.parametrize("sends_deadline", [True, False])
def test_a_late_answer_to_a_request_read_in_time_counts_as_a_broken_rule(host, tmp_path, sends_deadline):
    """The deadline is the caller's where it sends one, else that of the class."""
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"]["PassesDeadline"] = sends_deadline
    info["Services"][0].update(GiveUp=4800.0 if sends_deadline else 300.0, Promise=250.0)
    h = host(environ=extended_metrics_environ(tmp_path), info=info)
    g = h.gateway()
    number = g.request("track", "hold", patience=300 if sends_deadline else None)
    wait_until(lambda: h.executor.runs_of("hold"), "the run")
    with h.suspended():
        late = time.monotonic() + 0.5
        wait_until(lambda: time.monotonic() > late, "its deadline and the slack")
    assert g.answer(number)["error"]["code"] != REJECTED_CODE
    assert h.metrics()["broken"] == 1
