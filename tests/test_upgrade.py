"""Upgrades of the running program under load: two processes of one worker host, and what kills do to them."""

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
    """A gateway that sends one request after the other and obeys goaway.

    ``reuses_connection``: it sends on one connection as long as it can, and on a new one for each request otherwise.
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
        """Send a request, perhaps keyed and perhaps as a retry, and read its answer."""
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
        if key and kind == SERVED:  # the very result of the run
            assert self.results.setdefault(key, connection.result(number)) == connection.result(number)


@contextlib.contextmanager
def load(address, seed, clients=6):
    """Send requests by several clients for a while."""
    print("seed", seed)
    stop = threading.Event()
    started = [LoadClient(address, seed * 100 + i, stop, reuses_connection=i % 2 == 0) for i in range(clients)]
    for client in started:
        client.start()
    try:
        yield started
    finally:
        stop.set()
        for client in started:
            client.join()


def answered_count(clients):
    """Return how many requests these clients got an answer to."""
    return sum(client.answered for client in clients)


def check_executions(clients, *hosts):
    """Check that no key ran twice at the executors, nor had two effects at the store that all share."""
    runs = collections.Counter(run.body for host in hosts for run in list(host.executor.runs) if "#" in run.body)
    effects = collections.Counter(call.body for call in hosts[0].store.calls if "#" in call.body)
    assert not [each for each in (runs + effects) if runs[each] > 1 or effects[each] > 1]
    assert len(effects) > 20
    assert sum(len(client.keys) for client in clients) >= len(effects)


def test_an_upgrade_under_load_refuses_no_connection_and_runs_no_key_twice(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, executor=Executor(work_s=0.003), stop_ms=2500)
    hosts = [old]
    with load(old.address, 1) as clients:
        for _ in range(3):
            wait_until(lambda: answered_count(clients) > 100 * len(hosts), "some load")
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
    assert other_gateway.result(other_gateway.request("book", "done", done, redo=1)) == "did done"  # of the snapshot
    again = other_gateway.request("book", "hold", early, redo=1)
    old.executor.end_run_of("hold", "booked")
    assert gateway.result(first) == "booked"
    assert other_gateway.result(again) == "booked"  # of what came after it
    mine = other_gateway.request("book", "hold", late)
    new.executor.wait_for_run("hold")
    theirs = gateway.request("book", "hold", late, redo=1)
    new.executor.end_run_of("hold", "also")
    assert other_gateway.result(mine) == "also"
    assert gateway.result(theirs) == "also"
    other = connection_to(new, old)
    conflicting = other.request("book", "another body", done)
    assert "result" not in other.answer(conflicting)  # at both processes a key belongs to one body
    assert execution_count("hold", old, new) == 2
    assert execution_count("done", old, new) == 1


def test_a_drain_applies_to_both_processes_and_through_the_upgrade(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    old.call_operators(b"drain-on")
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    assert gateway.is_healthy() is False
    new.call_operators(b"drain-off")
    gateway = connection_to(old, new)
    wait_until(lambda: gateway.is_healthy(), "good health at the old process")
    old.terminate()
    assert old.process.wait(4) == 0
    other_gateway = new.gateway()
    assert other_gateway.is_healthy() is True


def test_a_new_process_that_is_killed_fails_only_what_it_had_taken_over(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old, executor=Executor(is_up=False), wait_for_ready=False)  # up, and never says yes
    new.wait_for_log("linked")
    assert new.call_operators()[0].startswith("ERR")
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
    joined = gateway.request("book", "hold", key, redo=1)
    new.process.kill()
    assert gateway.error_code(joined) != REJECTED_CODE  # outcome unknown: failed, never run
    assert gateway.error_code(gateway.request("book", "hold", key, redo=1)) != REJECTED_CODE
    assert execution_count("hold", old) == 0
    assert gateway.result(gateway.request("book", "more", make_idempotency_key())) == "did more"
    assert wait_until_ready(host(successor_of=old))


def test_an_old_process_that_is_killed_hands_its_keys_to_the_new_one(host, shared_address):
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
    joined = other_gateway.request("book", "hold", running, redo=1)
    old.process.kill()
    assert other_gateway.error_code(joined) != REJECTED_CODE
    new.wait_for_log("owns-keys")
    assert other_gateway.result(other_gateway.request("book", "done", done, redo=1)) == "did done"
    assert other_gateway.error_code(other_gateway.request("book", "hold", running, redo=1)) != REJECTED_CODE
    unknown = other_gateway.request("book", "never seen", make_idempotency_key(), redo=1)
    assert other_gateway.error_code(unknown) != REJECTED_CODE  # the old process may have run it
    assert other_gateway.result(other_gateway.request("book", "first", make_idempotency_key())) == "did first"
    assert execution_count("hold", old, new) == 1
    assert not new.executor.runs_of("never seen")
    assert new.gateway()
    assert wait_until_ready(host(successor_of=new))


def test_an_old_process_that_hangs_delays_no_answer_beyond_its_deadline(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    with old.suspended():
        began = time.monotonic()
        n = gateway.request("book", "mine", make_idempotency_key())
        assert gateway.result(gateway.request("track", "read")) == "did read"
        assert gateway.error_code(n) == REJECTED_CODE
        assert gateway.answer(n)["error"]["data"]["pause"] > 0
        assert time.monotonic() - began < 1.5
        assert not new.executor.runs_of("mine")
    assert wait_until(
        lambda: gateway.answer(gateway.request("book", "mine", make_idempotency_key())).get("result"), "service again"
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
    assert list(tmp_path.glob("lapispick-*.sock"))  # stale
    new = host(successor_of=old)
    gateway = new.gateway()
    assert gateway.error_code(gateway.request("book", "ran", key, redo=1)) != REJECTED_CODE
    assert not new.executor.runs_of("ran")
    assert gateway.result(gateway.request("book", "first", make_idempotency_key())) == "did first"
    window = PLATFORM_INFO["Services"][1]["Window"] / 1000
    wait_until(lambda: time.time() - lock_path(tmp_path).stat().st_mtime > window + 0.2, "the end of the window")
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
    one = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=4000)
    gateway = one.gateway()
    key = make_idempotency_key()
    running = gateway.request("book", "hold", key, patience=9000)
    wait_until(lambda: one.executor.runs, "the run")
    two = host(successor_of=one)
    wait_until_ready(two)
    # Started before the first shuts down: a start may take longer than a shutdown.
    three = host(successor_of=two, wait_for_ready=False)
    three.wait_for_log("link-waiting")
    one.terminate()
    one.wait_for_log("shutdown-started")
    one.executor.end_run(one.executor.runs[0].task, result="booked")
    assert gateway.result(running) == "booked"
    assert one.process.wait(5) == 0
    three.wait_for_log("linked role=follower")
    two.terminate()
    assert two.process.wait(4) == 0
    wait_until_ready(three)
    other_gateway = three.gateway()
    assert other_gateway.result(other_gateway.request("book", "hold", key, redo=1)) == "booked"


def test_a_third_process_never_takes_the_keys_past_a_suspended_second(host, shared_address):
    one = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2500)
    gateway = one.gateway()
    key = make_idempotency_key()
    assert gateway.result(gateway.request("book", "mine", key)) == "did mine"
    two = host(successor_of=one)
    wait_until_ready(two)
    three = host(successor_of=two, wait_for_ready=False)
    three.wait_for_log("link-waiting")
    with two.suspended():
        one.terminate()
        assert one.process.wait(5) == 0
        three.wait_for_log("open")
        assert "event=owns-keys" not in three.log()
    two.wait_for_log("owns-keys")
    three.wait_for_log("linked role=follower")
    two.terminate()
    assert two.process.wait(5) == 0
    other_gateway = three.gateway()
    assert other_gateway.result(other_gateway.request("book", "mine", key, redo=1)) == "did mine"
    assert execution_count("mine", one, two, three) == 1


def test_a_shutdown_without_a_successor_is_an_ordinary_one(host, shared_address):
    process = host(listen=shared_address(), info=LONG_WINDOW_INFO, stop_ms=2000)
    gateway = process.gateway()
    process.terminate()
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    assert gateway.is_healthy() is False
    assert process.process.wait(4) == 0
    assert process.registry.reports[-1].text == "HERE n3 off"


POINTS = ["started", "link-up", "linked", "open", "successor-serving", "shutdown-started", "link-ended"]


@pytest.mark.parametrize("seed", range(int(os.environ.get("TRIALS", "6"))))
def test_a_kill_at_any_point_of_an_upgrade_runs_no_key_twice(host, shared_address, seed):
    rng = random.Random(seed)
    point, victim = rng.choice(POINTS), rng.choice(["old", "new"])
    print("seed", seed, "kills the", victim, "one at", point)
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO, executor=Executor(work_s=0.003), stop_ms=2500)
    with load(old.address, seed, clients=4) as clients:
        wait_until(lambda: answered_count(clients) > 60, "some load")
        new = host(successor_of=old, executor=Executor(work_s=0.003), wait_for_start=False)
        either = {"old": old, "new": new}
        wait_until(
            lambda: (
                f"event={point}" in new.log()
                or f"event={point}" in old.log()
                or (new.log() and shut_down_once_ready(new, old))
            ),
            "the point",
        )
        if rng.random() < 0.5:
            time.sleep(rng.random() * 0.05)
        either[victim].process.kill()
        survivor = new if victim == "old" else old
        if victim == "new" and getattr(old, "shut_down", False):  # it ends, and leaves nothing unanswered
            assert old.process.wait(4) == 0
            assert "unanswered=0" in old.log()
            return check_executions(clients, old, new)
        survivor.ops = wait_until(lambda: operators_address(survivor), "the start")
        wait_until_ready(survivor)
        count = answered_count(clients)
        wait_until(lambda: answered_count(clients) > count + 60, "service by the one that is left")
    check_executions(clients, old, new)


def shut_down_once_ready(new, old):
    """Go on as the platform does: once the new process takes clients, the old one is asked to shut down."""
    if (at := operators_address(new)) is None:
        return False
    new.ops = at
    with contextlib.suppress(OSError):
        if new.call_operators() == ["OK"] and not getattr(old, "shut_down", False):
            old.shut_down = True
            old.terminate()
    return False


def test_an_aborted_upgrade_hands_back_what_the_new_process_had_taken_over(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    new = host(successor_of=old)
    wait_until_ready(new)
    gateway = connection_to(new, old)
    key = make_idempotency_key()
    n = gateway.request("book", "hold", key)
    new.executor.wait_for_run("hold")
    new.terminate()
    wait_until(lambda: gateway.read() and gateway.goaway_received, "goaway")
    other_gateway = old.gateway()
    again = other_gateway.request("book", "hold", key, redo=1)
    new.executor.end_run_of("hold", "booked")
    assert gateway.result(n) == "booked"
    assert other_gateway.result(again) == "booked"
    assert new.process.wait(4) == 0
    assert "event=ended unanswered=0" in new.log()
    assert other_gateway.result(other_gateway.request("book", "hold", key, redo=1)) == "booked"
    assert execution_count("hold", old, new) == 1
    assert other_gateway.is_healthy() is True
    assert not [report for _, report in old.registry.reports if report.endswith("off")]


def open_descriptor_count(*processes):
    """Return how many descriptors the processes have open."""
    return sum(len(os.listdir(f"/proc/{process.process.pid}/fd")) for process in processes)


def test_two_processes_together_have_no_more_descriptors_than_one_may(host, shared_address):
    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    max_sockets = LIMITS["sockets"]
    max_connections = max_sockets * 5 // 8
    gateways = []
    for _ in range(max_connections):
        gateways.append(old.gateway())
        gateways[-1].result(gateways[-1].request("track", "x"))
    new = host(successor_of=old)
    wait_until_ready(new)
    wait_until(lambda: open_descriptor_count(old) < max_connections, "the old process gives up a part of its quota")
    name, port = old.address.split(":")
    sockets = [socket.create_connection((name, int(port))) for _ in range(max_connections)]
    wait_until(lambda: open_descriptor_count(old, new) < max_sockets, "both within the descriptors of one")
    gateway = new.gateway()
    assert gateway.result(gateway.request("track", "room")) == "did room"
    assert open_descriptor_count(old, new) < max_sockets
    new.process.kill()
    old.wait_for_log("link-ended")
    late = [old.gateway() for _ in range(max_connections)]
    wait_until(lambda: open_descriptor_count(old) > max_connections, "the whole quota for the one that is left")
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
        late = new.gateway()
        assert late.result(late.request("track", f"late{n}")) == f"did late{n}"
        assert not late.goaway_received
    assert len([run for run in new.executor.runs if run.body.startswith("late")]) == 40
    # Nothing ends the run: it is failed, and the process ends before it would be killed. By its own log, as on a busy
    # machine this test may be running up, and so may the system's end of a process.
    assert gateway.error_code(running) != REJECTED_CODE
    assert old.process.wait(8) == 0
    assert logged_at(old, "ended") - logged_at(old, "shutdown-started") < 3.7
    assert "unanswered=0" in old.log()


def test_what_an_upgrade_takes_over_is_in_the_trace_and_replays(host, shared_address, tmp_path):
    from lapispick.trace import files
    from lapispick.trace.record_types import ExternalEvent
    from lapispick.trace.replaying import replay

    old = host(listen=shared_address(), info=LONG_WINDOW_INFO)
    gateway = old.gateway()
    for _ in range(30):  # what can be learned of runs
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
    assert replayed.differing == 0
    assert replayed.steps > 60
    bare = [step._replace(notes=()) for step in steps]  # without the note of it the module decides otherwise
    assert replay(source.settings, source.seed, source.module_now, bare).differing > 0
