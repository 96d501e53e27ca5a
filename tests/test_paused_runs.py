"""Runs that are paused where they crowd the cores as they come back from calls, and taken up again (``WAKE``)."""

import json
import threading
import time

import pytest

from lapispick.admission import (
    CallCompleted,
    CallRequested,
    CancelMode,
    CancelRun,
    ClientCancelled,
    Outcome,
    RunCompleted,
    StartRun,
)
from lapispick.fakes.executor import Executor
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.fakes.store import Store
from lapispick.fakes.waiting import wait_until

FAILED = -32000
COUNT = 12  # runs that come back at once, on two cores with two slots
TRACK, BOOK = "track", "book"


def settings():
    info = json.loads(json.dumps(PLATFORM_INFO))
    info["FamilyInfo"].update(Halt="pause", CallsOut=50.0, ClassSkipWorth=[0.0, 0.0])
    info["Guarantees"]["FallMultiple"] = 2.0  # the slots stay two
    info["Services"][0].update(Promise=4700.0)
    return info


class Pausing(Executor):
    """Keeps a run that is stopped on its cores until it is woken; knows which are at a call, on a core and paused."""

    def __init__(self):
        self.at_call, self.on_core, self.paused, self.ends = set(), set(), set(), False
        super().__init__()

    def on_exec(self, connection, command):
        super().on_exec(connection, command)
        self.at_call.add(command["task"])

    def on_return(self, connection, command):
        self.at_call.discard(command["task"])
        self.on_core.add(command["task"])

    def on_kill(self, connection, command):
        task = command["task"]
        if task not in self.on_core:
            return None
        if self.ends:
            return self.done(task)
        self.on_core.remove(task)
        self.paused.add(task)
        return self.send_notice(verb="EXIT", task=task, outcome="cancelled", spent=5.0, bytes="")

    def on_wake(self, connection, command):
        if command["task"] not in self.paused:
            return self.send(connection, verb="BAD", outcome="WAKE", task=command["task"])
        self.paused.remove(command["task"])
        return self.on_core.add(command["task"])

    def done(self, task):
        with self.lock:
            self.on_core.remove(task)
            self.end_run(task)

    def orders(self, verb):
        return [c["task"] for c in list(self.commands) if c["verb"] == verb]


class Gated(Store):
    """Answers no call before its gate is open."""

    def __init__(self):
        self.gate = threading.Event()
        super().__init__()

    def serve(self, connection):
        for _ in self.read_calls(connection.makefile("rb")):
            self.gate.wait(20)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@pytest.fixture
def crowd(host):
    """Return a host whose runs have all come back from their calls at once, and the requests; of one class."""

    def made(class_name=TRACK, ends=False, stop_ms=6000, **over):
        h = host(executor=Pausing(), store=Gated(), info=settings(), stop_ms=stop_ms)
        h.executor.ends = ends
        g = h.gateway()
        numbers = []
        for n in range(COUNT):
            numbers.append(g.request(class_name, "stay:x", f"{n:032x}" if class_name == BOOK else None, **over))
            wait_until(lambda n=n: len(h.executor.at_call) > n, "that it is at its call")
        with h.suspended():  # all replies are there when it goes on
            h.store.gate.set()
        return h, g, numbers

    return made


def settled(h):
    """Wait until all runs are back and as many are paused as is meant to be."""
    wait_until(lambda: not h.executor.at_call and len(h.executor.on_core) == 2, "that the others are paused")
    assert len(h.executor.paused) == COUNT - 2


def test_runs_that_overload_the_cores_are_paused_and_resumed_one_by_one(crowd):
    h, g, numbers = crowd()
    settled(h)
    waits = g.request(TRACK, "plain")  # it was not begun before: those that were go on first
    for _ in range(COUNT):
        wait_until(lambda: h.executor.on_core, "a run on a core")
        h.executor.done(min(h.executor.on_core))
    assert [g.result(n) for n in numbers] == ["done"] * COUNT
    wait_until(lambda: h.executor.runs_of("plain"), "the one that waited")
    assert g.answer(g.send("probe"))["result"]["healthy"]
    assert not h.executor.paused
    woken, begun = h.executor.orders("WAKE"), h.executor.orders("EXEC")
    assert len(set(woken)) == COUNT - 2
    assert len(begun) == len(set(begun)) == COUNT + 1
    assert waits not in g.answers or "result" in g.answers[waits]


def test_a_pause_that_races_with_the_end_gives_the_result_and_resumes_nothing(crowd):
    h, g, numbers = crowd(ends=True)  # each run that is told to pause ends in that instant
    wait_until(lambda: not h.executor.at_call and len(h.executor.on_core) <= 2, "the ends")
    for task in list(h.executor.on_core):
        h.executor.done(task)
    assert [g.result(n) for n in numbers] == ["done"] * COUNT
    assert h.executor.orders("KILL")
    assert not h.executor.orders("WAKE")


def test_a_paused_run_that_is_cancelled_or_due_is_answered_and_never_resumed(crowd):
    h, g, numbers = crowd()
    settled(h)
    with h.suspended():  # all are given up in one instant
        for number in numbers:
            g.cancel(number)
    assert {g.error_code(n) for n in numbers} == {FAILED}
    wait_until(lambda: not h.executor.on_core, "that the two on the cores are stopped")
    late = [g.request(TRACK, "stay:x", patience=1500) for _ in range(3)]  # their slots are free again
    wait_until(lambda: len(h.executor.on_core) == 2 and len(h.executor.paused) > COUNT, "that one of three is paused")
    assert {g.error_code(n) for n in late} == {FAILED}  # by their due time
    wait_until(lambda: h.metrics()["inflight"] == 0, "that nothing is owed")
    tallies = h.log().count("event=request-totals")
    wait_until(lambda: h.log().count("event=request-totals") > tallies, "the next tally")
    assert "in_flight=0" in h.log().split("event=request-totals")[-1]  # nothing is kept of them
    assert not h.executor.orders("WAKE")


def test_a_shutdown_answers_paused_runs_before_the_stop(crowd):
    h, g, numbers = crowd(stop_ms=2500)
    settled(h)
    began = time.monotonic()
    h.terminate()
    for _ in range(4):
        wait_until(lambda: h.executor.on_core, "a run on a core")
        h.executor.done(min(h.executor.on_core))
    answers = [g.answer(n) for n in numbers]
    assert sum("result" in a for a in answers) == 4
    assert all(a["error"]["code"] == FAILED for a in answers if "error" in a)  # they ran: none is refused
    assert h.process.wait(5) == 0
    assert time.monotonic() - began < 5


def test_a_resume_lost_with_a_link_is_sent_again(crowd):
    h, g, numbers = crowd()
    settled(h)
    with h.executor.lock:
        ended = min(h.executor.on_core)
        h.executor.done(ended)
        h.executor.ignores_commands = True  # what it is told from now on goes with the link
    wait_until(lambda: "WAKE" in h.executor.received_verbs, "the order to go on")
    with h.executor.lock:
        h.executor.disconnect()
        h.executor.ignores_commands = False
    wait_until(lambda: len(h.executor.on_core) == 2, "that it goes on")
    for _ in range(COUNT - 1):
        wait_until(lambda: h.executor.on_core, "a run on a core")
        h.executor.done(min(h.executor.on_core))
    assert [g.result(n) for n in numbers] == ["done"] * COUNT
    assert len(h.executor.orders("EXEC")) == COUNT  # none is begun again


def test_a_run_that_is_not_idempotent_is_never_paused(crowd):
    h, g, numbers = crowd(class_name=BOOK)
    wait_until(lambda: len(h.executor.on_core) == COUNT, "all are back")
    for task in list(h.executor.on_core):
        h.executor.done(task)
    assert [g.result(n) for n in numbers] == ["done"] * COUNT
    assert not h.executor.orders("KILL")


def test_paused_run_keeps_its_memory_and_frees_its_slot(make_harness):
    harness = make_harness(cancel_mode=CancelMode.PAUSE, overload_runs_per_core=2, call_quota=50)
    harness.tick(1000)  # the limit comes down to its ceiling
    ids = []
    for _ in range(6):
        harness.step(request := harness.request())
        ids.append(request.id)
        harness.step(CallRequested(request.id))
    held = harness.state.memory.used_kb
    harness.step(*(CallCompleted(i, Outcome.OK, 20.0) for i in ids))
    told = [a.id for a in harness.actions_of(CancelRun)]
    assert len(told) == 4
    assert harness.state.concurrency_limit.running == 6
    harness.step(*(RunCompleted(i, Outcome.CANCELLED, 5.0) for i in told))
    assert harness.state.concurrency_limit.running == 2
    assert harness.state.memory.used_kb == held
    harness.step(ClientCancelled(told[0]))
    assert harness.state.memory.used_kb == held * 5 / 6
    assert not [a for a in harness.actions_of(StartRun, told[0])][1:]
    rest = [i for i in ids if i not in told]
    harness.step(RunCompleted(rest[0], Outcome.OK, 30.0))
    woken = [i for i in told if len(harness.actions_of(StartRun, i)) == 2]
    assert len(woken) == 1
    assert harness.state.concurrency_limit.running == 2
    harness.step(CallRequested(woken[0]))  # it goes on as any other
    assert harness.state.concurrency_limit.running == 2
    assert sum(len(harness.actions_of(StartRun, i)) == 2 for i in told) == 2


def test_a_resume_that_the_executor_rejects_fails_its_request_and_frees_its_slot(crowd):
    h, g, numbers = crowd()
    settled(h)
    with h.executor.lock:
        h.executor.paused.clear()  # it knows of none of them any more
        for task in list(h.executor.on_core):
            h.executor.done(task)
    answers = [g.answer(n) for n in numbers]  # long before they are due: each is woken in its turn
    assert sum("result" in a for a in answers) == 2
    assert {a["error"]["code"] for a in answers if "error" in a} == {FAILED}
    assert h.metrics()["inflight"] == 0
    assert h.log().count("command=WAKE") == COUNT - 2


def test_late_reading_pauses_no_run(make_harness):
    """One core, and a request that lay unread: it halves what is begun until the next one, which may never come."""
    harness = make_harness(cancel_mode=CancelMode.PAUSE, cores=1)
    harness.step(request := harness.request())
    harness.tick(2000)
    harness.step(late := harness.request(age_ms=900))
    harness.tick(400)
    assert harness.actions_of(StartRun, request.id)
    assert not harness.actions_of(CancelRun)
    assert late.id
