"""The core by itself, with a recorder in the Controller's place and stand-ins for executor and store."""

import gc

import msgspec
import pytest

from lapispick import admission
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.handover import messages
from lapispick.host import core, events
from lapispick.host.requests import AnswerKind, Request
from lapispick.host.scheduler import EventLoop
from lapispick.idempotency.ownership import Role
from lapispick.idempotency.table import digest_request
from lapispick.platform_settings import StartSettings, admission_settings


class Recorder:
    """Takes the Controller's place: notes the events and answers with the actions that a test gives."""

    def __init__(self, decide):
        self.seen, self.decide = [], decide

    def step(self, now, events):
        self.seen += events
        return [action for event in events for action in self.decide(event)]


class Peers:
    """Executor and store in one."""

    def __init__(self, host):
        self.host, self.runs = host, []

    def meter(self):
        self.host.post(events.GaugesReported((0.5, 2.0)))

    def run(self, tag, handler, body, keyed):
        self.runs.append(tag)

    def forget(self, tag):
        self.forgot = tag


@pytest.fixture
def rig():
    def start(decide):
        loop = EventLoop()
        host = core.Core(loop, admission_settings(msgspec.convert(PLATFORM_INFO, StartSettings)), 1)
        host.peers.executor = host.peers.store = Peers(host)
        host.module.controller = Recorder(decide)
        loop.spawn(host.serve)
        # In two steps: after a stall all timers are due at once, and the core must still have its turn.
        loop.call_later(0.1, loop.call_later, 0.02, loop.stop)
        return loop, host

    return start


def request(tag, answers, class_index=0, key=None, **over):
    told = dict(
        request_id=tag,
        handler="any",
        class_index=class_index,
        body="",
        born_at=1.0,
        deadline_at=0.0,
        request_memory_kb=1.0,
        rank=0.5,
        caller=1,
        idempotency_key=key,
        reply=lambda answer: answers.append((tag, answer.kind)),
    )
    return Request(**{**told, **over})


def test_a_timer_carries_the_gauges_requested_at_the_previous_one(rig):
    def decide(event):
        return [admission.SetTimer(5.0, event.token + 1)] if event.token < 2 else []

    loop, host = rig(decide)
    host.timers.set_timer(admission.SetTimer(1.0, 1))
    loop.run()
    assert host.module.controller.seen == [
        admission.TimerFired(1, (0, 0.0, 0)),
        admission.TimerFired(2, (0, 0.0, 0, 0.5, 2.0)),
    ]


def test_an_exception_of_the_decision_module_fails_the_requests_of_its_batch(rig):
    loop, host = rig(lambda event: 1 / 0)
    answers = []
    host.post(events.RequestArrived(request("a", answers)))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]
    assert host.owed == 0


def test_a_second_run_of_a_key_is_never_started_whatever_the_module_orders(rig):
    def decide(event):
        if type(event) is admission.RequestReceived:
            return [admission.RetainKey(event.id, 5000.0), admission.StartRun(event.id)]
        return []

    loop, host = rig(decide)
    answers = []
    for tag in ("a", "b"):
        host.post(events.RequestArrived(request(tag, answers, class_index=1, key="k")))
    loop.run()
    assert host.peers.executor.runs == ["a"]
    assert answers == [("b", AnswerKind.FAILED)]


def test_an_attempt_that_was_executed_is_never_rejected(rig):
    def decide(event):
        if type(event) is admission.RequestReceived:
            return [
                admission.RetainKey(event.id, 5000.0),
                admission.StartRun(event.id),
                admission.Reject(event.id, 10.0, True),
            ]
        return []

    loop, host = rig(decide)
    answers = []
    host.post(events.RequestArrived(request("a", answers, class_index=1, key="k")))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]


def test_each_request_gets_one_answer_and_none_after_its_client_cancelled(rig):
    def decide(event):
        return (
            [admission.Fail(event.id), admission.Reject(event.id, 0.0, False)]
            if type(event) is admission.RequestReceived
            else []
        )

    loop, host = rig(decide)
    answers = []
    host.post(events.RequestArrived(request("a", answers)))
    loop.run()
    assert answers == [("a", AnswerKind.FAILED)]
    quiet, host = rig(lambda event: [admission.Fail(event.id)] if type(event) is admission.ClientCancelled else [])
    gone = request("b", answers)
    host.post(events.RequestArrived(gone))
    host.post(events.ClientCancelled(gone))
    quiet.run()
    assert answers == [("a", AnswerKind.FAILED)]
    assert host.owed == 0


def test_a_retained_record_holds_nothing_but_its_result(rig):
    def decide(event):
        if type(event) is admission.RequestReceived:
            return [admission.RetainKey(event.id, 5000.0), admission.StartRun(event.id)]
        return []

    loop, host = rig(decide)
    answers = []
    gc.disable()  # a cycle would hold the request until the collector runs, minutes later
    try:
        for n in range(3):
            host.post(events.RequestArrived(request(f"kept{n}", answers, class_index=1, key=n)))
            loop.call_later(0.02, host.post, events.RunCompleted(f"kept{n}", admission.Outcome.OK, 1.0, "r"))
        loop.run()
        assert len(answers) == len(host.idempotency.table) == 3
        assert host.idempotency.table.result_bytes == 3
        assert not [o for o in gc.get_objects() if type(o) is Request and "kept" in o.request_id]
    finally:
        gc.enable()


def test_results_over_the_bound_are_evicted_and_their_records_stay(rig):
    def decide(event):
        if type(event) is not admission.RequestReceived:
            return []
        return (
            [admission.Coalesce(event.id)]
            if event.retry_of
            else [admission.RetainKey(event.id, 5000.0), admission.StartRun(event.id)]
        )

    loop, host = rig(decide)
    host.idempotency.table.max_result_bytes = 250
    answers = []
    for n in range(5):
        host.post(events.RequestArrived(request(f"t{n}", answers, class_index=1, key=n)))
        loop.call_later(0.02, host.post, events.RunCompleted(f"t{n}", admission.Outcome.OK, 1.0, "r" * 100))
        loop.call_later(0.04, host.post, events.RequestArrived(request(f"again{n}", answers, class_index=1, key=n)))
    loop.run()
    assert dict(answers) == {
        **{f"t{n}": AnswerKind.SERVED for n in range(5)},
        "again3": AnswerKind.SERVED,
        "again4": AnswerKind.SERVED,
        **{f"again{n}": AnswerKind.FAILED for n in range(3)},
    }
    assert host.peers.executor.runs == [f"t{n}" for n in range(5)]
    assert host.idempotency.table.result_bytes == 200


class Link:
    """The other process, as far as the core sees it."""

    def __init__(self):
        self.sent = []
        self.send = self.sent.append

    def has_unsent(self):
        return False

    def connections(self):
        return 0


def keyed(event):
    return (
        [admission.RetainKey(event.id, 5000.0), admission.StartRun(event.id)]
        if type(event) is admission.RequestReceived
        else []
    )


def test_an_attempt_cancelled_while_its_claim_waits_is_not_started_and_releases_its_key(rig):
    loop, host = rig(keyed)
    answers, link = [], Link()
    asked = request("a", answers, class_index=1, key=("k",))
    host.post(events.PeerConnected(link, owns_keys=True))
    host.post(events.RequestArrived(asked))
    loop.call_later(0.02, host.post, events.ClientCancelled(asked))
    loop.call_later(
        0.04,
        lambda: host.post(events.PeerMessage(link, messages.ClaimGranted(1, ("k",), link.sent[0].expires_at_ms))),
    )
    loop.run()
    assert [type(m) for m in link.sent] == [messages.ClaimRequest, messages.KeyReleased]
    assert not host.peers.executor.runs
    assert not answers
    assert not len(host.idempotency.table)
    assert not len(host.requests)
    assert host.module.controller.seen[-2:] == [
        admission.ClientCancelled(1),
        admission.RunCompleted(1, admission.Outcome.CANCELLED, 0.0),
    ]


def test_an_attempt_denied_by_the_other_process_gets_its_result_and_teaches_no_run_time(rig):
    loop, host = rig(keyed)
    answers, link = [], Link()
    host.post(events.PeerConnected(link, owns_keys=True))
    host.post(events.RequestArrived(request("a", answers, class_index=1, key=("k",))))
    for after, message in (
        (0.02, messages.KeyClaimed(("k",), 6000.0, digest_request("any", ""))),
        (0.03, messages.ClaimDenied(1, ("k",))),
        (0.05, messages.KeyCompleted(("k",), "r")),
    ):
        loop.call_later(after, host.post, events.PeerMessage(link, message))
    loop.run()
    assert answers == [("a", AnswerKind.SERVED)]
    assert not host.peers.executor.runs
    assert not len(host.requests)
    assert host.module.controller.seen[-2:] == [
        admission.ClientCancelled(1),
        admission.RunCompleted(1, admission.Outcome.CANCELLED, 0.0),
    ]


def test_messages_of_a_link_that_has_ended_are_ignored(rig):
    loop, host = rig(keyed)
    answers, link, next_link = [], Link(), Link()
    host.post(events.PeerConnected(link, owns_keys=True))
    host.post(events.PeerConnected(next_link, owns_keys=True))
    host.post(events.RequestArrived(request("a", answers, class_index=1, key=("k",))))
    loop.call_later(0.02, host.post, events.PeerMessage(link, messages.ClaimGranted(1, ("k",), 1e13)))
    loop.call_later(0.03, host.post, events.PeerDisconnected(link, True))
    loop.run()
    assert not host.peers.executor.runs
    assert host.idempotency.ownership.role is Role.FOLLOWER
