"""Tests of upgrades of a running worker host: two processes under load, and kills of either process."""

import collections
import contextlib
import os
import random
import socket
import threading
import time

import pytest

from lapispick.fakes.executor import Executor
from lapispick.fakes.gateway import GatewayConnection
from lapispick.fakes.messages import REJECTED_CODE, make_idempotency_key
from lapispick.fakes.rule_checker import FAILED, SERVED, answer_kind
from lapispick.fakes.start_settings import LIMITS, PLATFORM_INFO
from lapispick.fakes.waiting import wait_until
from tests.upgrade_support import (
    LONG_WINDOW_INFO,
    connection_to,
    execution_count,
    lock_path,
    logged_at,
    operators_address,
    wait_until_ready,
)


class LoadClient(threading.Thread):
    """Gateway that sends one request at a time and stops using a connection after goaway.

    With ``reuses_connection`` it uses one connection for as long as possible, otherwise a new one for each request.
    """

    def __init__(self, address, seed, stop, reuses_connection):
        super().__init__(daemon=True)
        self.address = address
        self.rng = random.Random(seed)
        self.stop = stop
        self.reuses_connection = reuses_connection
        self.requested = 0
        self.answered = 0
        self.errors = []
        self.outcomes = collections.Counter()
        self.keys = []
        self.results = {}

    def run(self):
        connection = None
        while not self.stop.is_set():
            try:
                if connection is None or connection.goaway_received or not self.reuses_connection:
                    if connection is not None:
                        connection.sock.close()
                    connection = GatewayConnection.connect(self.address)
                self.send_request(connection)
            except (OSError, AssertionError) as err:
                self.errors.append(repr(err))
                connection = None

    def send_request(self, connection):
        """Send a request, which may be keyed and may be a retry, and read its answer."""
        key = ""
        if self.rng.random() < 0.5:
            if self.keys and self.rng.random() < 0.5:
                key = self.rng.choice(self.keys[-5:])
                retry_mark = {"redo": 1}
            else:
                key = make_idempotency_key(self.rng)
                self.keys.append(key)
                retry_mark = {}
            number = connection.request("book", f"call:200#{key}", key, **retry_mark)
        else:
            number = connection.request("track", "read")
        self.requested += 1
        message = connection.answer(number)
        self.answered += 1
        kind = answer_kind(message)
        self.outcomes[kind] += 1
        if key and kind == SERVED:  # all attempts of a key must get the same result
            assert self.results.setdefault(key, connection.result(number)) == connection.result(number)


@contextlib.contextmanager
def load(address, seed, client_count=6):
    """Send requests from several clients while the context is open."""
    print("seed", seed)
    stop = threading.Event()
    load_clients = [
        LoadClient(address, seed * 100 + i, stop, reuses_connection=i % 2 == 0) for i in range(client_count)
    ]
    for client in load_clients:
        client.start()
    try:
        yield load_clients
    finally:
        stop.set()
        for client in load_clients:
            client.join()


def answered_count(clients):
    """Return how many requests of these clients were answered."""
    return sum(client.answered for client in clients)


def check_executions(clients, *hosts):
    """Check that no key was executed twice by the executors or had two effects in the store that all hosts share."""
    runs = collections.Counter(run.body for host in hosts for run in list(host.executor.runs) if "#" in run.body)
    effects = collections.Counter(call.body for call in hosts[0].store.calls if "#" in call.body)
    assert not [body for body in (runs + effects) if runs[body] > 1 or effects[body] > 1]
    assert len(effects) > 20
    assert sum(len(client.keys) for client in clients) >= len(effects)


def test_an_upgrade_under_load_refuses_no_connection_and_runs_no_key_twice(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, executor=Executor(work_s=0.003), stop_ms=2500)
    hosts = [old]
    with load(old.address, 1) as clients:
        for _ in range(3):
            wait_until(lambda: answered_count(clients) > 100 * len(hosts), "more answers")
            old = hosts[-1]
            new = host(successor_of=old, executor=Executor(work_s=0.003))
            hosts.append(new)
            wait_until_ready(new)
            old.terminate()
            assert old.process.wait(4) == 0
            assert "event=ended unanswered=0" in old.log()
            assert new.wait_for_log("owns-keys")
    assert not [error for client in clients for error in client.errors]
    assert [client.answered for client in clients] == [client.requested for client in clients]
    check_executions(clients, *hosts)
    assert sum(client.outcomes[FAILED] for client in clients) == 0
    assert not [report for _, report in old.registry.reports if report.endswith("off")]


def test_results_and_runs_are_found_at_either_process(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    gateway = old.gateway()
    done, early, late = (make_idempotency_key() for _ in range(3))
    assert gateway.result(gateway.request("book", "done", done)) == "did done"
    first = gateway.request("book", "hold", early)
    old.executor.wait_for_run("hold")
    new = host(successor_of=old)
    wait_until_ready(new)
    other_gateway = connection_to(new, old)
    # This result was in the snapshot.
    assert other_gateway.result(other_gateway.request("book", "done", done, redo=1)) == "did done"
    retry = other_gateway.request("book", "hold", early, redo=1)
    old.executor.end_run_of("hold", "booked")
    assert gateway.result(first) == "booked"
    assert other_gateway.result(retry) == "booked"  # the result came after the snapshot
    first_at_new = other_gateway.request("book", "hold", late)
    new.executor.wait_for_run("hold")
    retry_at_old = gateway.request("book", "hold", late, redo=1)
    new.executor.end_run_of("hold", "also")
    assert other_gateway.result(first_at_new) == "also"
    assert gateway.result(retry_at_old) == "also"
    third_gateway = connection_to(new, old)
    conflicting = third_gateway.request("book", "another body", done)
    assert "result" not in third_gateway.answer(conflicting)  # both processes reject another body for a known key
    assert execution_count("hold", old, new) == 2
    assert execution_count("done", old, new) == 1


def test_a_drain_applies_to_both_processes_and_through_the_upgrade(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    old.call_ops(b"drain-on")
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    assert gateway.is_healthy() is False
    new.call_ops(b"drain-off")
    gateway = connection_to(old, new)
    wait_until(lambda: gateway.is_healthy(), "a passing health check at the old process")
    old.terminate()
    assert old.process.wait(4) == 0
    other_gateway = new.gateway()
    assert other_gateway.is_healthy() is True


def test_a_new_process_that_is_killed_fails_only_the_requests_that_it_accepted(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old, executor=Executor(is_up=False), wait_for_ready=False)  # starts but is never ready
    new.wait_for_log("linked")
    assert new.call_ops()[0].startswith("ERR")
    new.process.kill()
    old.wait_for_log("link-ended")
    gateway = old.gateway()
    assert gateway.result(gateway.request("book", "after", make_idempotency_key())) == "did after"
    new = host(successor_of=old)
    wait_until_ready(new)
    other_gateway = connection_to(new, old)
    key = make_idempotency_key()
    other_gateway.request("book", "hold", key)
    new.executor.wait_for_run("hold")
    coalesced = gateway.request("book", "hold", key, redo=1)
    new.process.kill()
    assert gateway.error_code(coalesced) != REJECTED_CODE  # the outcome is unknown, so it fails and is not executed
    assert gateway.error_code(gateway.request("book", "hold", key, redo=1)) != REJECTED_CODE
    assert execution_count("hold", old) == 0
    assert gateway.result(gateway.request("book", "more", make_idempotency_key())) == "did more"
    assert wait_until_ready(host(successor_of=old))


def test_the_new_process_owns_the_keys_of_an_old_process_that_is_killed(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    gateway = old.gateway()
    done = make_idempotency_key()
    running = make_idempotency_key()
    assert gateway.result(gateway.request("book", "done", done)) == "did done"
    gateway.request("book", "hold", running)
    old.executor.wait_for_run("hold")
    new = host(successor_of=old)
    wait_until_ready(new)
    other_gateway = connection_to(new, old)
    coalesced = other_gateway.request("book", "hold", running, redo=1)
    old.process.kill()
    assert other_gateway.error_code(coalesced) != REJECTED_CODE
    new.wait_for_log("owns-keys")
    assert other_gateway.result(other_gateway.request("book", "done", done, redo=1)) == "did done"
    assert other_gateway.error_code(other_gateway.request("book", "hold", running, redo=1)) != REJECTED_CODE
    unknown = other_gateway.request("book", "never seen", make_idempotency_key(), redo=1)
    assert other_gateway.error_code(unknown) != REJECTED_CODE  # the old process may have executed it
    assert other_gateway.result(other_gateway.request("book", "first", make_idempotency_key())) == "did first"
    assert execution_count("hold", old, new) == 1
    assert not new.executor.runs_of("never seen")
    assert new.gateway()
    assert wait_until_ready(host(successor_of=new))


@pytest.mark.parametrize("retries_are_marked", [True, False])
def test_a_key_that_a_hanging_old_process_ran_is_not_run_again_where_retries_are_not_marked(
    host, shared_address, retries_are_marked
):
    # Guards against taking a request for a first one because it has no mark, where the settings say that none has.
    info = {**LONG_WINDOW_INFO, "Callers": {"MarksRetry": retries_are_marked}}
    old = host(listen=shared_address(), info=info)
    gateway, key = old.gateway(), make_idempotency_key()
    assert gateway.result(gateway.request("book", "ran", key)) == "did ran"
    with old.suspended():
        new = host(successor_of=old)  # it can't link to the old process
        old.process.kill()
    new.wait_for_log("owns-keys")
    new.wait_for_log("open")
    gateway = new.gateway()
    first_id = gateway.request("book", "first", make_idempotency_key())
    if retries_are_marked:
        assert gateway.result(first_id) == "did first"
        repeat_id = gateway.request("book", "ran", key, redo=1)
    else:
        assert gateway.error_code(first_id) != REJECTED_CODE
        repeat_id = gateway.request("book", "ran", key)
    assert gateway.error_code(repeat_id) != REJECTED_CODE
    assert gateway.result(gateway.request("track", "x")) == "did x"
    assert execution_count("ran", old, new) == 1


def test_an_old_process_that_hangs_delays_no_answer_beyond_its_deadline(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    with old.suspended():
        started_at = time.monotonic()
        keyed_number = gateway.request("book", "mine", make_idempotency_key())
        assert gateway.result(gateway.request("track", "read")) == "did read"
        assert gateway.error_code(keyed_number) == REJECTED_CODE
        assert gateway.answer(keyed_number)["error"]["data"]["pause"] > 0
        assert time.monotonic() - started_at < 1.5
        assert not new.executor.runs_of("mine")
    assert wait_until(
        lambda: gateway.answer(gateway.request("book", "mine", make_idempotency_key())).get("result"),
        "a served request",
    )


def test_a_new_process_that_hangs_delays_no_request_of_the_old_one(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(old, new)
    with new.suspended():
        for _ in range(20):
            assert gateway.result(gateway.request("book", "x", make_idempotency_key())) == "did x"


def test_stale_files_of_a_killed_process_are_replaced_and_its_outcomes_are_unknown(host, shared_address, tmp_path):
    old = host(listen=shared_address())
    gateway = old.gateway()
    key = make_idempotency_key()
    assert gateway.result(gateway.request("book", "ran", key)) == "did ran"
    old.process.kill()
    old.process.wait()
    assert list(tmp_path.glob("lapispick-*.sock"))  # the kill left the stale socket
    new = host(successor_of=old)
    gateway = new.gateway()
    assert gateway.error_code(gateway.request("book", "ran", key, redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("ran")
    assert gateway.result(gateway.request("book", "first", make_idempotency_key())) == "did first"
    window_s = PLATFORM_INFO["Services"][1]["Window"] / 1000
    wait_until(lambda: time.time() - lock_path(tmp_path).stat().st_mtime > window_s + 0.2, "the end of the window")
    assert gateway.result(gateway.request("book", "later", make_idempotency_key(), redo=1)) == "did later"


def test_outcomes_of_a_process_that_ended_in_order_are_unknown_for_a_window(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    gateway = old.gateway()
    key = make_idempotency_key()
    assert gateway.result(gateway.request("book", "ran", key)) == "did ran"
    old.terminate()
    assert old.process.wait(5) == 0
    new = host(successor_of=old)
    gateway = new.gateway()
    assert gateway.error_code(gateway.request("book", "ran", key, redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("ran")
    assert gateway.result(gateway.request("book", "first", make_idempotency_key())) == "did first"


def test_a_third_process_waits_for_the_second_to_own_the_keys(host, shared_address):
    first = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=4000)
    gateway = first.gateway()
    key = make_idempotency_key()
    running = gateway.request("book", "hold", key, patience=9000)
    wait_until(lambda: first.executor.runs, "the run")
    second = host(successor_of=first)
    wait_until_ready(second)
    # The third process is started before the first shuts down, because a start may take longer than a shutdown.
    third = host(successor_of=second, wait_for_ready=False)
    third.wait_for_log("link-waiting")
    first.terminate()
    first.wait_for_log("shutdown-started")
    first.executor.end_run(first.executor.runs[0].task, result="booked")
    assert gateway.result(running) == "booked"
    assert first.process.wait(5) == 0
    third.wait_for_log("linked role=follower")
    second.terminate()
    assert second.process.wait(4) == 0
    wait_until_ready(third)
    other_gateway = third.gateway()
    assert other_gateway.result(other_gateway.request("book", "hold", key, redo=1)) == "booked"


def test_a_third_process_never_acquires_the_keys_before_a_suspended_second(host, shared_address):
    first = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2500)
    gateway = first.gateway()
    key = make_idempotency_key()
    assert gateway.result(gateway.request("book", "mine", key)) == "did mine"
    second = host(successor_of=first)
    wait_until_ready(second)
    third = host(successor_of=second, wait_for_ready=False)
    third.wait_for_log("link-waiting")
    with second.suspended():
        first.terminate()
        assert first.process.wait(5) == 0
        third.wait_for_log("open")
        assert "event=owns-keys" not in third.log()
    second.wait_for_log("owns-keys")
    third.wait_for_log("linked role=follower")
    second.terminate()
    assert second.process.wait(5) == 0
    other_gateway = third.gateway()
    assert other_gateway.result(other_gateway.request("book", "mine", key, redo=1)) == "did mine"
    assert execution_count("mine", first, second, third) == 1


def test_a_shutdown_without_a_successor_sends_goaway_and_leaves_the_registry(host, shared_address):
    process = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2000)
    gateway = process.gateway()
    process.terminate()
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    assert gateway.is_healthy() is False
    assert process.process.wait(4) == 0
    assert process.registry.reports[-1].text == "HERE n3 off"


KILL_EVENTS = ["started", "link-up", "linked", "open", "successor-serving", "shutdown-started", "link-ended"]


@pytest.mark.parametrize("seed", range(int(os.environ.get("TRIALS", "6"))))
def test_a_kill_at_any_point_of_an_upgrade_runs_no_key_twice(host, shared_address, seed):
    rng = random.Random(seed)
    kill_event, victim = rng.choice(KILL_EVENTS), rng.choice(["old", "new"])
    print("seed", seed, "kills the", victim, "process at", kill_event)
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, executor=Executor(work_s=0.003), stop_ms=2500)
    with load(old.address, seed, client_count=4) as clients:
        wait_until(lambda: answered_count(clients) > 60, "the first answers")
        new = host(successor_of=old, executor=Executor(work_s=0.003), wait_for_start=False)
        processes = {"old": old, "new": new}
        wait_until(
            lambda: (
                f"event={kill_event}" in new.log()
                or f"event={kill_event}" in old.log()
                or (new.log() and shut_down_once_ready(new, old))
            ),
            "the event at which to kill",
        )
        if rng.random() < 0.5:
            time.sleep(rng.random() * 0.05)
        processes[victim].process.kill()
        survivor = new if victim == "old" else old
        if victim == "new" and getattr(old, "shut_down", False):  # the old process answers everything and exits
            assert old.process.wait(4) == 0
            assert "unanswered=0" in old.log()
            return check_executions(clients, old, new)
        survivor.ops = wait_until(lambda: operators_address(survivor), "the start")
        wait_until_ready(survivor)
        count = answered_count(clients)
        wait_until(lambda: answered_count(clients) > count + 60, "answers by the remaining process")
    check_executions(clients, old, new)


def shut_down_once_ready(new, old):
    """Shut the old process down once the new one is ready, as the platform does; return False."""
    if (address := operators_address(new)) is None:
        return False
    new.ops = address
    with contextlib.suppress(OSError):
        if new.call_ops() == ["OK"] and not getattr(old, "shut_down", False):
            old.shut_down = True
            old.terminate()
    return False


def test_after_an_aborted_upgrade_the_old_process_has_the_results_of_the_new_one(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    key = make_idempotency_key()
    first = gateway.request("book", "hold", key)
    new.executor.wait_for_run("hold")
    new.terminate()
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    other_gateway = old.gateway()
    retry = other_gateway.request("book", "hold", key, redo=1)
    new.executor.end_run_of("hold", "booked")
    assert gateway.result(first) == "booked"
    assert other_gateway.result(retry) == "booked"
    assert new.process.wait(4) == 0
    assert "event=ended unanswered=0" in new.log()
    assert other_gateway.result(other_gateway.request("book", "hold", key, redo=1)) == "booked"
    assert execution_count("hold", old, new) == 1
    assert other_gateway.is_healthy() is True
    assert not [report for _, report in old.registry.reports if report.endswith("off")]


def open_descriptor_count(*processes):
    """Return how many descriptors the processes have open."""
    return sum(len(os.listdir(f"/proc/{process.process.pid}/fd")) for process in processes)


def test_two_processes_together_stay_within_the_descriptor_limit_of_one(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    max_sockets = LIMITS["sockets"]
    max_connections = max_sockets * 5 // 8
    gateways = []
    for _ in range(max_connections):
        gateways.append(old.gateway())
        gateways[-1].result(gateways[-1].request("track", "x"))
    new = host(successor_of=old)
    wait_until_ready(new)
    wait_until(lambda: open_descriptor_count(old) < max_connections, "the reduction of the old process's quota")
    name, port = old.address.split(":")
    sockets = [socket.create_connection((name, int(port))) for _ in range(max_connections)]
    wait_until(lambda: open_descriptor_count(old, new) < max_sockets, "a descriptor count within the limit of one")
    gateway = new.gateway()
    assert gateway.result(gateway.request("track", "first")) == "did first"
    assert open_descriptor_count(old, new) < max_sockets
    new.process.kill()
    old.wait_for_log("link-ended")
    late = [old.gateway() for _ in range(max_connections)]
    wait_until(lambda: open_descriptor_count(old) > max_connections, "the whole quota for the remaining process")
    assert late[-1].result(late[-1].request("track", "last")) == "did last"
    for sock in sockets:
        sock.close()


def test_the_old_process_accepts_no_connection_after_its_hand_over(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=9000)
    gateway = old.gateway()
    running = gateway.request("track", "hold", patience=9000)
    old.executor.wait_for_run("hold")
    new = host(successor_of=old)
    wait_until_ready(new)
    old.terminate()
    old.wait_for_log("shutdown-started")
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    for n in range(40):
        late_gateway = new.gateway()
        assert late_gateway.result(late_gateway.request("track", f"late{n}")) == f"did late{n}"
        assert not late_gateway.goaway_received
    assert len([run for run in new.executor.runs if run.body.startswith("late")]) == 40
    # The run never ends, so its request fails, and the process exits before the platform would kill it. The time is
    # taken from the log of the process, because this test and the end of a process may be delayed on a busy machine.
    assert gateway.error_code(running) != REJECTED_CODE
    assert old.process.wait(8) == 0
    assert logged_at(old, "ended") - logged_at(old, "shutdown-started") < 3.7
    assert "unanswered=0" in old.log()


def test_estimates_adopted_in_an_upgrade_are_traced_and_replayed(host, shared_address, tmp_path):
    from lapispick.trace import files
    from lapispick.trace.record_types import ExternalEvent
    from lapispick.trace.replaying import replay

    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    gateway = old.gateway()
    for _ in range(30):  # runs from which the old process learns its estimates
        gateway.result(gateway.request("track", "call:200"))
    (tmp_path / "own.conf").write_text("section trace\n enabled yes\n folder traces\n flush 50ms\nend\n")
    new = host(successor_of=old, environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
    assert wait_until_ready(new)
    old.terminate()
    assert old.process.wait(6) == 0
    gateway = new.gateway()
    for n in range(30):
        class_name, key = ("track", None) if n % 2 else ("book", make_idempotency_key())
        gateway.result(gateway.request(class_name, "call:200", key))
    new.terminate()
    assert new.process.wait(6) == 0
    (path,) = wait_until(lambda: list((tmp_path / "traces").glob("*.lptrace")), "the closed file")
    with files.TraceReader(path) as reader:
        steps = list(reader.steps())
        source = reader.first_source
    assert {note.kind for step in steps for note in step.notes if type(note) is ExternalEvent} == {"adopted"}
    replayed = replay(source.settings, source.seed, source.module_now, steps)
    assert replayed.differing_steps == 0
    assert replayed.steps > 60
    # Without the notes of the adopted estimates, the decision module decides differently.
    without_notes = [step._replace(notes=()) for step in steps]
    assert replay(source.settings, source.seed, source.module_now, without_notes).differing_steps > 0
