"""The four rules of the decision module, tested with sequences of events through its interface."""

import random

import pytest

from lapispick import admission
from lapispick.admission import (
    CallCompleted,
    CallRequested,
    CancelRun,
    ClientCancelled,
    Coalesce,
    Fail,
    Outcome,
    Reject,
    ReleaseKey,
    RetainKey,
    RunCompleted,
    ShutdownRequested,
    SkipCall,
    StartCall,
    StartRun,
)
from tests.controller_harness import AT_MOST_ONCE, KEYED, SKIPPABLE

# Each request gets exactly one final answer.


def test_running_request_is_answered_by_its_deadline(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=3000)
    assert StartRun(request.id) in harness.step(request)
    harness.tick(2960)
    assert not harness.final_answers(request.id)
    harness.tick(60)
    assert [type(action) for action in harness.final_answers(request.id)] == [Fail]
    assert harness.actions_of(CancelRun, request.id)
    harness.step(RunCompleted(request.id, Outcome.CANCELLED, 3000))
    harness.tick(3000)
    assert len(harness.final_answers(request.id)) == 1


def test_unknown_deadline_is_derived_from_the_arrival(make_harness):
    harness = make_harness(now=500.0)
    request = harness.request(age_ms=500)
    harness.step(request)
    harness.tick(3500 - 41)
    assert not harness.final_answers(request.id)
    harness.tick(41 + 40)
    assert len(harness.final_answers(request.id)) == 1


def test_queued_requests_are_answered_in_time_and_once(make_harness):
    harness = make_harness()
    requests = [harness.request(deadline_at=1200) for _ in range(30)]
    harness.step(*requests)
    harness.tick(3000)
    for request in requests:
        was_started = bool(harness.actions_of(StartRun, request.id))
        assert len(harness.final_answers(request.id)) == 1
        assert isinstance(harness.final_answers(request.id)[0], Fail if was_started else Reject)


def test_no_answer_follows_a_run_that_completes_before_the_deadline(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=1000)
    harness.step(request)
    harness.step(RunCompleted(request.id, Outcome.OK, 990), admission.TimerFired(0, (1.0, 1.0)), at=999)
    harness.tick(500)
    assert not harness.final_answers(request.id)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR])
def test_run_that_completes_after_its_answer_gets_no_second_answer(make_harness, outcome):
    harness = make_harness(cancel_mode=admission.CancelMode.NONE)
    request = harness.request(deadline_at=400)
    harness.step(request)
    harness.tick(480)
    harness.step(RunCompleted(request.id, outcome, 480))
    assert len(harness.final_answers(request.id)) == 1
    assert not harness.actions_of(CancelRun)


def test_cancelled_request_stops_its_run_and_gets_no_answer(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=1000)
    harness.step(request)
    assert CancelRun(request.id) in harness.step(ClientCancelled(request.id), at=100)
    harness.step(RunCompleted(request.id, Outcome.CANCELLED, 100), at=104)
    harness.tick(2000)
    assert not harness.final_answers(request.id)


def test_events_of_completed_or_unknown_requests_are_ignored(make_harness):
    harness = make_harness()
    request = harness.request()
    harness.step(request)
    harness.step(RunCompleted(request.id, Outcome.OK, 5), at=5)
    actions = harness.step(
        RunCompleted(request.id, Outcome.ABANDONED, 0),
        ClientCancelled(request.id),
        CallRequested(request.id),
        CallCompleted(99, Outcome.OK, 1.0),
        RunCompleted(98, Outcome.OK, 1),
        at=9,
    )
    assert actions == []


# No request with side effects is executed twice.


def test_idempotency_key_is_retained_before_the_run_starts(make_harness):
    harness = make_harness()
    harness.step()
    request = harness.request(KEYED)
    actions = harness.step(request)
    assert actions.index(RetainKey(request.id, 5000)) < actions.index(StartRun(request.id))


def test_retry_of_a_running_key_is_coalesced_and_never_runs(make_harness):
    harness = make_harness()
    first = harness.request(KEYED, deadline_at=4000)
    harness.step(first)
    retry = harness.request(KEYED, retry_of=first.id, deadline_at=4000)
    assert Coalesce(retry.id) in harness.step(retry, at=500)
    harness.tick(300)
    assert not harness.actions_of(StartRun, retry.id)
    assert not harness.actions_of(Reject, retry.id)


def test_retry_of_an_executed_key_is_neither_rejected_nor_run(make_harness):
    harness = make_harness()
    first = harness.request(KEYED)
    harness.step(first)
    harness.step(RunCompleted(first.id, Outcome.OK, 50), at=50)
    harness.step(ShutdownRequested(9000), at=60)  # the rule also applies during shutdown
    second = harness.request(KEYED, retry_of=first.id, deadline_at=4000)
    third = harness.request(KEYED, retry_of=second.id, deadline_at=4000)
    assert Coalesce(second.id) in harness.step(second, at=2000)
    harness.step(third, at=2100)
    assert not harness.actions_of(StartRun, second.id)
    assert not harness.actions_of(StartRun, third.id)
    assert not harness.actions_of(Reject, second.id)
    assert not harness.actions_of(Reject, third.id)


def test_two_attempts_of_one_key_in_one_step_run_once(make_harness):
    harness = make_harness()
    first = harness.request(KEYED)
    second = harness.request(KEYED)
    harness.step(first._replace(retry_of=second.id), second._replace(retry_of=first.id))
    harness.tick(400)
    assert len(harness.actions_of(StartRun)) == 1


def test_newer_attempt_replaces_a_queued_attempt_of_its_key(make_harness):
    harness = make_harness()
    harness.step(*[harness.request(AT_MOST_ONCE) for _ in range(3)])  # fill the slots
    old = harness.request(KEYED, deadline_at=1500)
    harness.step(old)
    new = harness.request(KEYED, retry_of=old.id, deadline_at=3000)
    harness.step(new, at=100)
    assert harness.final_answers(old.id)
    assert not harness.actions_of(Coalesce, new.id)
    for request_id in range(1, 4):
        harness.step(RunCompleted(request_id, Outcome.OK, 120), at=120)
    assert harness.actions_of(StartRun, new.id)
    assert not harness.actions_of(StartRun, old.id)


def test_key_of_a_rejected_attempt_that_never_ran_is_released(make_harness):
    harness = make_harness()
    harness.step(*[harness.request(AT_MOST_ONCE) for _ in range(3)])
    request = harness.request(KEYED, deadline_at=700)
    harness.step(request)
    harness.tick(900)
    assert harness.actions_of(Reject, request.id)
    assert harness.actions_of(ReleaseKey, request.id)


def test_keyed_run_continues_when_its_client_cancels(make_harness):
    harness = make_harness()
    request = harness.request(KEYED)
    harness.step(request)
    harness.step(ClientCancelled(request.id), at=50)
    retry = harness.request(KEYED, retry_of=request.id)
    assert not harness.actions_of(CancelRun)
    assert Coalesce(retry.id) in harness.step(retry, at=90)


@pytest.mark.parametrize(
    ("outcome", "is_retried"),
    [
        (Outcome.FULL, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.ABANDONED, True),
        (Outcome.ERROR, False),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
        (Outcome.CANCELLED, False),
    ],
)
def test_call_with_side_effects_is_retried_only_if_it_never_ran(make_harness, outcome, is_retried):
    harness = make_harness()
    request = harness.request(AT_MOST_ONCE)
    harness.step(request)
    harness.step(CallRequested(request.id), at=50)
    harness.step(CallCompleted(request.id, outcome, 20), at=70)
    harness.tick(300)
    assert len(harness.actions_of(StartCall, request.id)) == (2 if is_retried else 1)
    assert bool(harness.actions_of(Fail, request.id)) is not is_retried
    assert not harness.actions_of(Reject, request.id)


def test_failed_call_that_can_be_skipped_is_skipped(make_harness):
    harness = make_harness()
    request = harness.request(SKIPPABLE)
    harness.step(request)
    harness.step(CallRequested(request.id), at=20)
    assert SkipCall(request.id) in harness.step(CallCompleted(request.id, Outcome.FULL, 10), at=30)


# A draining server answers every request before it stops.


def test_request_after_the_drain_grace_never_runs(make_harness):
    harness = make_harness()
    harness.step(ShutdownRequested(6000), at=100)
    request = harness.request(deadline_at=5000)
    harness.step(request, at=1200)
    assert harness.actions_of(Reject, request.id)
    assert not harness.actions_of(StartRun)


def test_all_requests_are_answered_before_the_stop(make_harness):
    harness = make_harness()
    requests = [harness.request(AT_MOST_ONCE, deadline_at=9000) for _ in range(8)]
    harness.step(*requests)
    harness.step(CallRequested(1), at=50)
    harness.step(ShutdownRequested(1000), at=100)
    harness.tick(850)
    assert [len(harness.final_answers(request.id)) for request in requests] == [1] * len(requests)
    late = harness.request(deadline_at=9000)
    harness.step(late)
    assert harness.final_answers(late.id)
    assert harness.actions_of(admission.SetHealth)[-1] == admission.SetHealth(False, True)


def test_drain_rejections_allow_a_retry_elsewhere(make_harness):
    harness = make_harness()
    harness.step(ShutdownRequested(6000), at=100)
    request = harness.request(deadline_at=5000)
    harness.step(request, at=1500)
    assert harness.actions_of(Reject, request.id)[0].no_retry is False


# Memory, running requests and calls stay within their limits under overload.


def test_memory_stays_within_its_limit(make_harness):
    limit_kb = 1000
    harness = make_harness(memory_kb=limit_kb, cores=8)
    requests = [harness.request(deadline_at=3900) for _ in range(60)]
    harness.step(*requests)
    for _ in range(80):
        harness.tick(40)
        running = len(harness.actions_of(StartRun)) - len({action.id for action in harness.actions_of(Fail)})
        queued = sum(
            not harness.final_answers(request.id) and not harness.actions_of(StartRun, request.id)
            for request in requests
        )
        assert 80 * running + 10 * queued <= limit_kb


@pytest.mark.parametrize("warming_up", [False, True])
def test_running_requests_stay_under_the_overload_bound(make_harness, warming_up):
    harness = make_harness(warming_up=warming_up, cores=4)
    for tick in range(50):
        harness.step(*[harness.request(deadline_at=harness.now + 3000) for _ in range(5)])
        harness.tick(40, gauges=(0.1, 1.0))
        speed_fraction = 0.25 + 0.75 * min(1.0, tick * 40 / 10_000) if warming_up else 1.0
        assert harness.state.concurrency_limit.running <= 4 * (1 + 7 * speed_fraction)


def test_calls_in_flight_stay_within_the_quota(make_harness):
    harness = make_harness(call_quota=5, cores=10)
    requests = [harness.request(AT_MOST_ONCE) for _ in range(12)]
    harness.step(*requests)
    harness.step(*[CallRequested(request.id) for request in requests], at=10)
    harness.tick(400)
    in_flight = len(harness.actions_of(StartCall))
    assert 1 <= in_flight <= 5


# Random traffic, which must follow all rules.


class RandomTraffic:
    """Clients, an executor and a dependency with random behaviour that check each action of the controller."""

    def __init__(self, make_harness, seed):
        self.rng = random.Random(seed)
        self.harness = make_harness(cores=3, warming_up=bool(seed % 2), call_quota=self.rng.choice([0, 0.8, 4]))
        self.requests = {}  # RequestReceived events by request id
        self.cancelled = set()
        self.answered = set()
        self.runs = {}  # by request id: "run" while it executes, "call" while it needs a downstream call
        self.calls = {}  # by request id: True while its downstream call is in flight
        self.keys = set()  # ids of keyed requests that were started
        self.next_events = []  # events caused by the actions of the last step

    def step(self):
        self.harness.now += self.rng.choice([2, 4, 11])
        events = self.next_events
        self.next_events = []
        events += self.call_events()
        events += self.run_events()
        events += self.client_events()
        if self.rng.random() < 0.2:
            events.append(admission.TimerFired(0, (self.rng.random(), self.rng.random() * 5)))
        for action in self.harness.step(*events):
            self.check(action)

    def call_events(self):
        events = []
        for request_id in list(self.calls):
            if self.rng.random() < 0.2 and self.calls[request_id]:
                self.calls[request_id] = False
                events.append(CallCompleted(request_id, self.rng.choice(list(Outcome)), 30.0))
        return events

    def run_events(self):
        events = []
        for request_id in list(self.runs):
            draw = self.rng.random()
            if self.runs[request_id] == "run" and draw < 0.02:
                events.append(CallRequested(request_id))
                self.runs[request_id] = "call"
            elif self.runs[request_id] == "run" and draw < 0.1:
                del self.runs[request_id]
                events.append(RunCompleted(request_id, Outcome.OK, 60.0))
                self.answered.add(request_id)
        return events

    def client_events(self):
        events = []
        if self.rng.random() < 0.5:
            events.append(self.new_request())
        if self.requests and self.rng.random() < 0.03:
            request_id = self.rng.choice(sorted(self.requests))
            if request_id not in self.answered and request_id not in self.runs:
                self.cancelled.add(request_id)
                events.append(ClientCancelled(request_id))
        return events

    def new_request(self):
        class_index = self.rng.randrange(4)
        retry_of = 0
        if class_index == KEYED and self.keys and self.rng.random() < 0.4:
            retry_of = self.rng.choice(sorted(self.keys))
        deadline_at = self.harness.now + self.rng.choice([200, 1500, 3500])
        request = self.harness.request(class_index, retry_of=retry_of, deadline_at=deadline_at)
        self.requests[request.id] = request
        return request

    def check(self, action):
        match action:
            case StartRun(request_id):
                self.check_start(request_id)
            case StartCall(request_id):
                assert self.runs.get(request_id) == "call"
                self.calls[request_id] = True
            case SkipCall(request_id):
                assert self.requests[request_id].class_index == SKIPPABLE
                self.runs[request_id] = "run"
            case Reject(request_id) | Fail(request_id):
                self.check_final_answer(action, request_id)
            case CancelRun(request_id):
                if self.runs.pop(request_id, None):
                    self.next_events.append(RunCompleted(request_id, Outcome.CANCELLED, 50.0))

    def check_start(self, request_id):
        assert request_id not in self.answered
        assert request_id not in self.cancelled
        assert not self.requests[request_id].retry_of
        assert request_id not in self.runs
        self.runs[request_id] = "run"
        if self.requests[request_id].class_index == KEYED:
            self.keys.add(request_id)

    def check_final_answer(self, action, request_id):
        assert request_id not in self.answered
        self.answered.add(request_id)
        if isinstance(action, Reject):
            assert request_id not in self.runs
            assert not self.requests[request_id].retry_of
        elif self.runs.get(request_id) == "call":
            del self.runs[request_id]
            self.calls.pop(request_id, None)
            self.next_events.append(RunCompleted(request_id, Outcome.CANCELLED, 50.0))

    def check_deadlines(self):
        for request_id, request in self.requests.items():
            if self.harness.now > request.deadline_at + 80 and request_id not in self.cancelled:
                assert request_id in self.answered


@pytest.mark.parametrize("seed", range(6))
def test_random_traffic_follows_all_rules(make_harness, seed):
    traffic = RandomTraffic(make_harness, seed)
    for _ in range(1500):
        traffic.step()
        traffic.check_deadlines()
    assert len(traffic.harness.actions_of(StartRun)) > 100
