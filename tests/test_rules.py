"""The four rules, by event sequences through the module's interface."""

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

SAFE, KEYED, UNSAFE, SKIPS = range(4)


# One final answer.


def test_running_request_is_answered_by_its_deadline(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=3000)
    assert StartRun(request.id) in harness.step(request)
    harness.tick(2960)
    assert not harness.finals(request.id)
    harness.tick(60)
    assert [type(a) for a in harness.finals(request.id)] == [Fail]
    assert harness.of(CancelRun, request.id)
    harness.step(RunCompleted(request.id, Outcome.CANCELLED, 3000))
    harness.tick(3000)
    assert len(harness.finals(request.id)) == 1


def test_unknown_deadline_counts_from_the_arrival(make_harness):
    harness = make_harness(now=500.0)
    request = harness.request(age_ms=500)
    harness.step(request)
    harness.tick(3500 - 41)
    assert not harness.finals(request.id)
    harness.tick(41 + 40)
    assert len(harness.finals(request.id)) == 1


def test_queued_requests_are_answered_in_time_and_once(make_harness):
    harness = make_harness()
    many = [harness.request(deadline_at=1200) for _ in range(30)]
    harness.step(*many)
    harness.tick(3000)
    for request in many:
        ran = bool(harness.of(StartRun, request.id))
        assert len(harness.finals(request.id)) == 1
        assert isinstance(harness.finals(request.id)[0], Fail if ran else Reject)


def test_no_answer_follows_a_run_that_completes_before_the_deadline(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=1000)
    harness.step(request)
    harness.step(RunCompleted(request.id, Outcome.OK, 990), admission.TimerFired(0, (1.0, 1.0)), at=999)
    harness.tick(500)
    assert not harness.finals(request.id)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR])
def test_run_that_completes_after_its_answer_gets_no_second_answer(make_harness, outcome):
    harness = make_harness(cancel_mode=admission.CancelMode.NONE)
    request = harness.request(deadline_at=400)
    harness.step(request)
    harness.tick(480)
    harness.step(RunCompleted(request.id, outcome, 480))
    assert len(harness.finals(request.id)) == 1
    assert not harness.of(CancelRun)


def test_cancelled_request_stops_its_run_and_gets_no_answer(make_harness):
    harness = make_harness()
    request = harness.request(deadline_at=1000)
    harness.step(request)
    assert CancelRun(request.id) in harness.step(ClientCancelled(request.id), at=100)
    harness.step(RunCompleted(request.id, Outcome.CANCELLED, 100), at=104)
    harness.tick(2000)
    assert not harness.finals(request.id)


def test_events_of_completed_or_unknown_requests_are_ignored(make_harness):
    harness = make_harness()
    request = harness.request()
    harness.step(request)
    harness.step(RunCompleted(request.id, Outcome.OK, 5), at=5)
    late = harness.step(
        RunCompleted(request.id, Outcome.ABANDONED, 0),
        ClientCancelled(request.id),
        CallRequested(request.id),
        CallCompleted(99, Outcome.OK, 1.0),
        RunCompleted(98, Outcome.OK, 1),
        at=9,
    )
    assert late == []


# Effects never twice.


def test_idempotency_key_is_retained_before_the_run_starts(make_harness):
    harness = make_harness()
    harness.step()
    request = harness.request(KEYED)
    got = harness.step(request)
    assert got.index(RetainKey(request.id, 5000)) < got.index(StartRun(request.id))


def test_retry_of_a_running_key_is_coalesced_and_never_runs(make_harness):
    harness = make_harness()
    first = harness.request(KEYED, deadline_at=4000)
    harness.step(first)
    again = harness.request(KEYED, retry_of=first.id, deadline_at=4000)
    assert Coalesce(again.id) in harness.step(again, at=500)
    harness.tick(300)
    assert not harness.of(StartRun, again.id)
    assert not harness.of(Reject, again.id)


def test_retry_of_an_executed_key_is_neither_rejected_nor_run(make_harness):
    harness = make_harness()
    first = harness.request(KEYED)
    harness.step(first)
    harness.step(RunCompleted(first.id, Outcome.OK, 50), at=50)
    harness.step(ShutdownRequested(9000), at=60)  # even while leaving
    again = harness.request(KEYED, retry_of=first.id, deadline_at=4000)
    third = harness.request(KEYED, retry_of=again.id, deadline_at=4000)
    assert Coalesce(again.id) in harness.step(again, at=2000)
    harness.step(third, at=2100)
    assert not harness.of(StartRun, again.id)
    assert not harness.of(StartRun, third.id)
    assert not harness.of(Reject, again.id)
    assert not harness.of(Reject, third.id)


def test_two_attempts_of_one_key_in_one_step_run_once(make_harness):
    harness = make_harness()
    a, b = harness.request(KEYED), harness.request(KEYED)
    harness.step(a._replace(retry_of=b.id), b._replace(retry_of=a.id))
    harness.tick(400)
    assert len(harness.of(StartRun)) == 1


def test_newer_attempt_replaces_a_queued_one(make_harness):
    harness = make_harness()
    harness.step(*[harness.request(UNSAFE) for _ in range(3)])  # fill the slots
    old = harness.request(KEYED, deadline_at=1500)
    harness.step(old)
    new = harness.request(KEYED, retry_of=old.id, deadline_at=3000)
    harness.step(new, at=100)
    assert harness.finals(old.id)
    assert not harness.of(Coalesce, new.id)
    for number in range(1, 4):
        harness.step(RunCompleted(number, Outcome.OK, 120), at=120)
    assert harness.of(StartRun, new.id)
    assert not harness.of(StartRun, old.id)


def test_key_of_a_rejected_attempt_that_never_ran_is_released(make_harness):
    harness = make_harness()
    harness.step(*[harness.request(UNSAFE) for _ in range(3)])
    request = harness.request(KEYED, deadline_at=700)
    harness.step(request)
    harness.tick(900)
    assert harness.of(Reject, request.id)
    assert harness.of(ReleaseKey, request.id)


def test_keyed_run_is_not_cancelled_with_its_client(make_harness):
    harness = make_harness()
    request = harness.request(KEYED)
    harness.step(request)
    harness.step(ClientCancelled(request.id), at=50)
    again = harness.request(KEYED, retry_of=request.id)
    assert not harness.of(CancelRun)
    assert Coalesce(again.id) in harness.step(again, at=90)


@pytest.mark.parametrize(
    "outcome,repeats",
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
def test_call_with_an_effect_is_retried_only_if_it_never_ran(make_harness, outcome, repeats):
    harness = make_harness()
    request = harness.request(UNSAFE)
    harness.step(request)
    harness.step(CallRequested(request.id), at=50)
    harness.step(CallCompleted(request.id, outcome, 20), at=70)
    harness.tick(300)
    assert len(harness.of(StartCall, request.id)) == (2 if repeats else 1)
    assert bool(harness.of(Fail, request.id)) is not repeats
    assert not harness.of(Reject, request.id)


def test_failed_call_that_can_be_skipped_is_skipped(make_harness):
    harness = make_harness()
    request = harness.request(SKIPS)
    harness.step(request)
    harness.step(CallRequested(request.id), at=20)
    assert SkipCall(request.id) in harness.step(CallCompleted(request.id, Outcome.FULL, 10), at=30)


# Drain.


def test_request_after_the_drain_grace_never_runs(make_harness):
    harness = make_harness()
    harness.step(ShutdownRequested(6000), at=100)
    request = harness.request(deadline_at=5000)
    harness.step(request, at=1200)
    assert harness.of(Reject, request.id)
    assert not harness.of(StartRun)


def test_all_requests_are_answered_before_the_stop(make_harness):
    harness = make_harness()
    held = [harness.request(UNSAFE, deadline_at=9000) for _ in range(8)]
    harness.step(*held)
    harness.step(CallRequested(1), at=50)
    harness.step(ShutdownRequested(1000), at=100)
    harness.tick(850)
    assert all(len(harness.finals(request.id)) == 1 for request in held)
    late = harness.request(deadline_at=9000)
    harness.step(late)
    assert harness.finals(late.id)
    assert harness.of(admission.SetHealth)[-1] == admission.SetHealth(False, True)


def test_drain_rejections_allow_a_retry_elsewhere(make_harness):
    harness = make_harness()
    harness.step(ShutdownRequested(6000), at=100)
    request = harness.request(deadline_at=5000)
    harness.step(request, at=1500)
    assert harness.of(Reject, request.id)[0].no_retry is False


# No falling over.


def test_memory_stays_within_its_limit(make_harness):
    limit = 1000
    harness = make_harness(memory_kb=limit, cores=8)
    many = [harness.request(deadline_at=3900) for _ in range(60)]
    harness.step(*many)
    for _ in range(80):
        harness.tick(40)
        running = len(harness.of(StartRun)) - len({a.id for a in harness.of(Fail)})
        held = sum(1 for request in many if not harness.finals(request.id) and not harness.of(StartRun, request.id))
        assert 80 * running + 10 * held <= limit


@pytest.mark.parametrize("cold", [False, True])
def test_running_requests_stay_under_the_overload_bound(make_harness, cold):
    harness = make_harness(warming_up=cold, cores=4)
    for i in range(50):
        harness.step(*[harness.request(deadline_at=harness.now + 3000) for _ in range(5)])
        harness.tick(40, gauges=(0.1, 1.0))
        share = 0.25 + 0.75 * min(1.0, i * 40 / 10_000) if cold else 1.0
        assert harness.state.running <= 4 * (1 + 7 * share)


def test_calls_in_flight_stay_within_the_quota(make_harness):
    harness = make_harness(call_quota=5, cores=10)
    requests = [harness.request(UNSAFE) for _ in range(12)]
    harness.step(*requests)
    harness.step(*[CallRequested(request.id) for request in requests], at=10)
    harness.tick(400)
    out = len(harness.of(StartCall))
    assert 1 <= out <= 5


# All together.


@pytest.mark.parametrize("seed", range(6))
def test_random_traffic_keeps_all_rules(make_harness, seed):
    rng = random.Random(seed)
    harness = make_harness(cores=3, warming_up=bool(seed % 2), call_quota=rng.choice([0, 0.8, 4]))
    open_runs, calls, asked, gone, ran_keys, answered, owed = {}, {}, {}, set(), {}, {}, []
    for _ in range(1500):
        harness.now += rng.choice([2, 4, 11])
        events, owed = owed, []
        for rid in list(calls):
            if rng.random() < 0.2 and calls[rid]:
                calls[rid] = False
                events.append(CallCompleted(rid, rng.choice(list(Outcome)), 30.0))
        for rid in list(open_runs):
            x = rng.random()
            if open_runs[rid] == "run" and x < 0.02:
                events.append(CallRequested(rid))
                open_runs[rid] = "call"
            elif open_runs[rid] == "run" and x < 0.1:
                del open_runs[rid]
                events.append(RunCompleted(rid, Outcome.OK, 60.0))
                answered.setdefault(rid, harness.now)
        if rng.random() < 0.5:
            cls = rng.randrange(4)
            retry_of = 0
            if cls == KEYED and ran_keys and rng.random() < 0.4:
                retry_of = rng.choice(sorted(ran_keys))
            request = harness.request(cls, retry_of=retry_of, deadline_at=harness.now + rng.choice([200, 1500, 3500]))
            asked[request.id] = request
            events.append(request)
        if asked and rng.random() < 0.03:
            rid = rng.choice(sorted(asked))
            if rid not in answered and rid not in open_runs:
                gone.add(rid)
                events.append(ClientCancelled(rid))
        if rng.random() < 0.2:
            events.append(admission.TimerFired(0, (rng.random(), rng.random() * 5)))
        for a in harness.step(*events):
            if isinstance(a, StartRun):
                assert a.id not in answered
                assert a.id not in gone
                assert not asked[a.id].retry_of
                assert a.id not in open_runs
                open_runs[a.id] = "run"
                if asked[a.id].cls == KEYED:
                    ran_keys[a.id] = True
            elif isinstance(a, StartCall):
                assert open_runs.get(a.id) == "call"
                calls[a.id] = True
            elif isinstance(a, SkipCall):
                assert asked[a.id].cls == SKIPS
                open_runs[a.id] = "run"
            elif isinstance(a, (Reject, Fail)):
                assert a.id not in answered
                answered[a.id] = harness.now
                if isinstance(a, Reject):
                    assert a.id not in open_runs
                    assert not asked[a.id].retry_of
                if isinstance(a, Fail) and open_runs.get(a.id) == "call":
                    del open_runs[a.id]
                    calls.pop(a.id, None)
                    owed.append(RunCompleted(a.id, Outcome.CANCELLED, 50.0))
            elif isinstance(a, CancelRun) and open_runs.pop(a.id, None):
                owed.append(RunCompleted(a.id, Outcome.CANCELLED, 50.0))
        for rid, request in asked.items():
            if harness.now > request.deadline_at + 80 and rid not in gone:
                assert rid in answered
    assert len(harness.of(StartRun)) > 100
