"""Tests of the core alone, with a recording controller and fakes of executor and store."""

import gc

import msgspec
import pytest

from lapispick import admission
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.handover import messages
from lapispick.host import events
from lapispick.host.core import Core
from lapispick.host.requests import AnswerKind, Request
from lapispick.host.scheduler import EventLoop
from lapispick.host.store import StoreCall
from lapispick.idempotency.ownership import Role
from lapispick.idempotency.table import digest_request
from lapispick.platform_settings import StartSettings, admission_settings


class RecordingController:
    """Controller that records the events and returns the actions that ``decide`` returns for each of them."""

    def __init__(self, decide):
        self.events = []
        self.decide = decide

    def step(self, now, events):
        self.events += events
        return [action for event in events for action in self.decide(event)]


class FakeExecutorAndStore:
    """Executor and store in one object."""

    def __init__(self, core):
        self.core = core
        self.runs = []
        self.calls = []
        self.cancelled_calls = []
        self.replies = []  # (index of the notice of the call, body)

    def request_gauges(self):
        self.core.post(events.GaugesReported((0.5, 2.0)))

    def start_run(self, request_id, class_name, body, idempotent):
        self.runs.append(request_id)

    def forget_run(self, request_id):
        pass

    def start_call(self, request_id, body, timeout_ms):
        self.calls.append(StoreCall(request_id, body, timeout_ms / 1000))
        return self.calls[-1]

    def cancel_call(self, call):
        self.cancelled_calls.append(call)

    def send_call_reply(self, request_id, notice_index, body):
        self.replies.append((notice_index, body))


class FakeLink:
    """The part of the link to the other process that the core uses."""

    def __init__(self):
        self.sent = []
        self.send = self.sent.append

    def has_unsent(self):
        return False

    def connections(self):
        return 0


@pytest.fixture
def make_core():
    """Return a function that makes an event loop, which stops by itself, and a core that decides with ``decide``."""

    def make(decide):
        loop = EventLoop()
        core = Core(loop, admission_settings(msgspec.convert(PLATFORM_INFO, StartSettings)), 1)
        core.peers.executor = core.peers.store = FakeExecutorAndStore(core)
        core.module.controller = RecordingController(decide)
        loop.spawn(core.serve)
        # The timers are set when the loop starts, and the stop needs two of them. After a stall all timers are due at
        # once, and the core must still run before the loop stops.
        loop.call_soon(loop.call_later, 0.1, loop.call_later, 0.02, loop.stop)
        return loop, core

    return make


def make_request(request_id, answers, class_index=0, key=None):
    """Return a request that adds its id and the kind of each answer to ``answers``."""
    return Request(
        request_id=request_id,
        class_name="any",
        class_index=class_index,
        body="",
        created_at=1.0,
        arrived_at=1.0,
        deadline_at=0.0,
        request_memory_kb=1.0,
        rank=0.5,
        caller=1,
        idempotency_key=key,
        reply=lambda answer: answers.append((request_id, answer.kind)),
    )


def start_keyed(event):
    """Decide to retain the key of each request and to start its run."""
    if type(event) is not admission.RequestReceived:
        return []
    return [admission.RetainKey(event.id, 5000.0), admission.StartRun(event.id)]


def start_or_coalesce(event):
    """Decide to coalesce retries, and to start the run of each other request."""
    if type(event) is admission.RequestReceived and event.retry_of:
        return [admission.Coalesce(event.id)]
    return start_keyed(event)


def start_and_reject(event):
    """Decide to start the run of each request and to reject it at once."""
    actions = start_keyed(event)
    return [*actions, admission.Reject(event.id, 10.0, True)] if actions else []


def fail_and_reject(event):
    """Decide to fail each request and then to reject it."""
    if type(event) is not admission.RequestReceived:
        return []
    return [admission.Fail(event.id), admission.Reject(event.id, 0.0, False)]


def fail_cancelled(event):
    """Decide to fail a request once its client has cancelled it."""
    return [admission.Fail(event.id)] if type(event) is admission.ClientCancelled else []


def start_run_and_calls(event):
    """Decide to start the run of each request and each call that a run requests."""
    if type(event) is admission.CallRequested:
        return [admission.StartCall(event.id, 0.0)]
    return [admission.StartRun(event.id)] if type(event) is admission.RequestReceived else []


def test_a_reply_to_a_call_is_dropped_once_its_run_has_requested_another(make_core):
    loop, core = make_core(start_run_and_calls)
    core.post(events.RequestArrived(make_request("a", [])))
    peers = core.peers.store

    def complete_call(index, body):
        core.post(events.CallCompleted(peers.calls[index], admission.Outcome.OK, 1.0, body))

    def request_second_call():
        core.post(events.CallRequested("a", 2, "c2Vjb25k"))
        complete_call(0, "reply 1")

    loop.call_later(0.02, core.post, events.CallRequested("a", 1, "Zmlyc3Q="))
    loop.call_later(0.04, request_second_call)
    loop.call_later(0.06, complete_call, 1, "reply 2")
    loop.run()
    assert peers.cancelled_calls == peers.calls[:1]
    assert peers.replies == [(2, "reply 2")]


def test_a_timer_carries_the_gauges_requested_at_the_previous_one(make_core):
    def decide(event):
        return [admission.SetTimer(5.0, event.token + 1)] if event.token < 2 else []

    loop, core = make_core(decide)
    core.timers.set_timer(admission.SetTimer(1.0, 1))
    loop.run()
    assert core.module.controller.events == [
        admission.TimerFired(1, (0, 0.0, 0)),
        admission.TimerFired(2, (0, 0.0, 0, 0.5, 2.0)),
    ]


def test_an_exception_of_the_decision_module_fails_the_requests_of_its_batch(make_core):
    loop, core = make_core(lambda event: 1 / 0)
    answers = []
    core.post(events.RequestArrived(make_request("a", answers)))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]
    assert core.unanswered == 0


def test_a_second_run_of_a_key_is_never_started_whatever_the_module_decides(make_core):
    loop, core = make_core(start_keyed)
    answers = []
    for request_id in ("a", "b"):
        core.post(events.RequestArrived(make_request(request_id, answers, class_index=1, key="k")))
    loop.run()
    assert core.peers.executor.runs == ["a"]
    assert answers == [("b", AnswerKind.FAILED)]


def test_an_attempt_that_was_executed_is_never_rejected(make_core):
    loop, core = make_core(start_and_reject)
    answers = []
    core.post(events.RequestArrived(make_request("a", answers, class_index=1, key="k")))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]


def test_each_request_gets_one_answer_and_none_after_its_client_cancelled(make_core):
    loop, core = make_core(fail_and_reject)
    answers = []
    core.post(events.RequestArrived(make_request("a", answers)))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]
    loop, core = make_core(fail_cancelled)
    cancelled = make_request("b", answers)
    core.post(events.RequestArrived(cancelled))
    core.post(events.ClientCancelled(cancelled))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]
    assert core.unanswered == 0


def test_a_retained_record_does_not_keep_its_request_in_memory(make_core):
    loop, core = make_core(start_keyed)
    answers = []
    gc.disable()  # otherwise a reference cycle could be collected before the check finds it
    try:
        for n in range(3):
            core.post(events.RequestArrived(make_request(f"retained{n}", answers, class_index=1, key=n)))
            loop.call_later(0.02, core.post, events.RunCompleted(f"retained{n}", admission.Outcome.OK, 1.0, "r"))
        loop.run()
        assert len(answers) == 3
        assert len(core.idempotency.table) == 3
        assert core.idempotency.table.result_bytes == 3
        requests = [tracked for tracked in gc.get_objects() if type(tracked) is Request]
        assert not [request for request in requests if "retained" in request.request_id]
    finally:
        gc.enable()


def test_results_over_the_bound_are_evicted_and_their_records_stay(make_core):
    loop, core = make_core(start_or_coalesce)
    core.idempotency.table.max_result_bytes = 250
    answers = []
    for n in range(5):
        core.post(events.RequestArrived(make_request(f"t{n}", answers, class_index=1, key=n)))
        loop.call_later(0.02, core.post, events.RunCompleted(f"t{n}", admission.Outcome.OK, 1.0, "r" * 100))
    for n in range(5):  # scheduled after the last run, so that they arrive after its end even if this test stalls
        retry = make_request(f"again{n}", answers, class_index=1, key=n)
        loop.call_later(0.04, core.post, events.RequestArrived(retry))
    loop.run()
    assert dict(answers) == {
        **{f"t{n}": AnswerKind.SERVED for n in range(5)},
        "again3": AnswerKind.SERVED,
        "again4": AnswerKind.SERVED,
        **{f"again{n}": AnswerKind.FAILED for n in range(3)},
    }
    assert core.peers.executor.runs == [f"t{n}" for n in range(5)]
    assert core.idempotency.table.result_bytes == 200


def assert_ended_without_a_run(core):
    """Check that a request was removed without a run, and that the decision module learned no duration from it."""
    assert not core.peers.executor.runs
    assert not len(core.requests)
    assert core.module.controller.events[-2:] == [
        admission.ClientCancelled(1),
        admission.RunCompleted(1, admission.Outcome.CANCELLED, 0.0),
    ]


def test_an_attempt_cancelled_while_its_claim_waits_is_not_started_and_releases_its_key(make_core):
    loop, core = make_core(start_keyed)
    answers = []
    link = FakeLink()
    cancelled = make_request("a", answers, class_index=1, key=("k",))
    core.post(events.PeerConnected(link, owns_keys=True))
    core.post(events.RequestArrived(cancelled))
    loop.call_later(0.02, core.post, events.ClientCancelled(cancelled))
    loop.call_later(
        0.04,
        lambda: core.post(events.PeerMessage(link, messages.ClaimGranted(1, ("k",), link.sent[0].expires_at_ms))),
    )
    loop.run()
    assert [type(message) for message in link.sent] == [messages.ClaimRequest, messages.KeyReleased]
    assert not answers
    assert not len(core.idempotency.table)
    assert_ended_without_a_run(core)


def test_an_attempt_denied_by_the_other_process_gets_its_result_and_no_run_time_is_learned(make_core):
    loop, core = make_core(start_keyed)
    answers = []
    link = FakeLink()
    core.post(events.PeerConnected(link, owns_keys=True))
    core.post(events.RequestArrived(make_request("a", answers, class_index=1, key=("k",))))
    for delay_s, message in (
        (0.02, messages.KeyClaimed(("k",), 6000.0, digest_request("any", ""))),
        (0.03, messages.ClaimDenied(1, ("k",))),
        (0.05, messages.KeyCompleted(("k",), "r")),
    ):
        loop.call_later(delay_s, core.post, events.PeerMessage(link, message))
    loop.run()
    assert answers == [("a", AnswerKind.SERVED)]
    assert_ended_without_a_run(core)


def test_messages_of_a_link_that_has_ended_are_ignored(make_core):
    loop, core = make_core(start_keyed)
    answers = []
    link = FakeLink()
    next_link = FakeLink()
    core.post(events.PeerConnected(link, owns_keys=True))
    core.post(events.PeerConnected(next_link, owns_keys=True))
    core.post(events.RequestArrived(make_request("a", answers, class_index=1, key=("k",))))
    loop.call_later(0.02, core.post, events.PeerMessage(link, messages.ClaimGranted(1, ("k",), 1e13)))
    loop.call_later(0.03, core.post, events.PeerDisconnected(link, True))
    loop.run()
    assert not core.peers.executor.runs
    assert core.idempotency.ownership.role is Role.FOLLOWER
