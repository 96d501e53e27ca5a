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


def test_running_work_is_answered_by_its_due_time(rig):
    r = rig()
    q = r.request(deadline_at=3000)
    assert StartRun(q.id) in r.step(q)
    r.tick(2960)
    assert not r.finals(q.id)
    r.tick(60)
    assert [type(a) for a in r.finals(q.id)] == [Fail]
    assert r.of(CancelRun, q.id)
    r.step(RunCompleted(q.id, Outcome.CANCELLED, 3000))
    r.tick(3000)
    assert len(r.finals(q.id)) == 1


def test_untold_due_time_counts_from_the_arrival(rig):
    r = rig(now=500.0)
    q = r.request(age_ms=500)
    r.step(q)
    r.tick(3500 - 41)
    assert not r.finals(q.id)
    r.tick(41 + 40)
    assert len(r.finals(q.id)) == 1


def test_held_requests_are_refused_in_time_and_once(rig):
    r = rig()
    many = [r.request(deadline_at=1200) for _ in range(30)]
    r.step(*many)
    r.tick(3000)
    for q in many:
        ran = bool(r.of(StartRun, q.id))
        assert len(r.finals(q.id)) == 1
        assert isinstance(r.finals(q.id)[0], Fail if ran else Reject)


def test_an_answer_that_beats_the_due_time_is_the_only_one(rig):
    r = rig()
    q = r.request(deadline_at=1000)
    r.step(q)
    r.step(RunCompleted(q.id, Outcome.OK, 990), admission.TimerFired(0, (1.0, 1.0)), at=999)
    r.tick(500)
    assert not r.finals(q.id)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR])
def test_a_run_that_ends_after_its_answer_is_left_alone(rig, outcome):
    r = rig(cancel_mode=admission.CancelMode.NONE)
    q = r.request(deadline_at=400)
    r.step(q)
    r.tick(480)
    r.step(RunCompleted(q.id, outcome, 480))
    assert len(r.finals(q.id)) == 1 and not r.of(CancelRun)


def test_caller_gone_while_running_stops_the_work_and_owes_nothing(rig):
    r = rig()
    q = r.request(deadline_at=1000)
    r.step(q)
    assert CancelRun(q.id) in r.step(ClientCancelled(q.id), at=100)
    r.step(RunCompleted(q.id, Outcome.CANCELLED, 100), at=104)
    r.tick(2000)
    assert not r.finals(q.id)


def test_events_for_requests_that_are_over_or_unknown_are_ignored(rig):
    r = rig()
    q = r.request()
    r.step(q)
    r.step(RunCompleted(q.id, Outcome.OK, 5), at=5)
    late = r.step(
        RunCompleted(q.id, Outcome.ABANDONED, 0),
        ClientCancelled(q.id),
        CallRequested(q.id),
        CallCompleted(99, Outcome.OK, 1.0),
        RunCompleted(98, Outcome.OK, 1),
        at=9,
    )
    assert late == []


# Effects never twice.


def test_keyed_is_pinned_before_it_runs(rig):
    r = rig()
    r.step()
    q = r.request(KEYED)
    got = r.step(q)
    assert got.index(RetainKey(q.id, 5000)) < got.index(StartRun(q.id))


def test_repeat_of_a_running_key_joins_and_never_runs(rig):
    r = rig()
    first = r.request(KEYED, deadline_at=4000)
    r.step(first)
    again = r.request(KEYED, retry_of=first.id, deadline_at=4000)
    assert Coalesce(again.id) in r.step(again, at=500)
    r.tick(300)
    assert not r.of(StartRun, again.id) and not r.of(Reject, again.id)


def test_repeat_after_the_run_is_never_refused_nor_run(rig):
    r = rig()
    first = r.request(KEYED)
    r.step(first)
    r.step(RunCompleted(first.id, Outcome.OK, 50), at=50)
    r.step(ShutdownRequested(9000), at=60)  # even while leaving
    again = r.request(KEYED, retry_of=first.id, deadline_at=4000)
    third = r.request(KEYED, retry_of=again.id, deadline_at=4000)
    assert Coalesce(again.id) in r.step(again, at=2000)
    r.step(third, at=2100)
    assert not r.of(StartRun, again.id) and not r.of(StartRun, third.id)
    assert not r.of(Reject, again.id) and not r.of(Reject, third.id)


def test_two_tries_of_one_key_in_one_batch_run_once(rig):
    r = rig()
    a, b = r.request(KEYED), r.request(KEYED)
    r.step(a._replace(retry_of=b.id), b._replace(retry_of=a.id))
    r.tick(400)
    assert len(r.of(StartRun)) == 1


def test_a_newer_try_takes_over_from_a_held_one(rig):
    r = rig()
    r.step(*[r.request(UNSAFE) for _ in range(3)])  # fill the slots
    old = r.request(KEYED, deadline_at=1500)
    r.step(old)
    new = r.request(KEYED, retry_of=old.id, deadline_at=3000)
    r.step(new, at=100)
    assert r.finals(old.id) and not r.of(Coalesce, new.id)
    for q in range(1, 4):
        r.step(RunCompleted(q, Outcome.OK, 120), at=120)
    assert r.of(StartRun, new.id) and not r.of(StartRun, old.id)


def test_a_refused_key_that_never_ran_is_forgotten(rig):
    r = rig()
    r.step(*[r.request(UNSAFE) for _ in range(3)])
    q = r.request(KEYED, deadline_at=700)
    r.step(q)
    r.tick(900)
    assert r.of(Reject, q.id) and r.of(ReleaseKey, q.id)


def test_keyed_run_goes_on_for_its_repeats_when_the_caller_leaves(rig):
    r = rig()
    q = r.request(KEYED)
    r.step(q)
    r.step(ClientCancelled(q.id), at=50)
    again = r.request(KEYED, retry_of=q.id)
    assert not r.of(CancelRun) and Coalesce(again.id) in r.step(again, at=90)


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
def test_unsafe_call_is_repeated_only_after_proof_that_it_never_ran(rig, outcome, repeats):
    r = rig()
    q = r.request(UNSAFE)
    r.step(q)
    r.step(CallRequested(q.id), at=50)
    r.step(CallCompleted(q.id, outcome, 20), at=70)
    r.tick(300)
    assert len(r.of(StartCall, q.id)) == (2 if repeats else 1)
    assert bool(r.of(Fail, q.id)) is not repeats and not r.of(Reject, q.id)


def test_a_failed_call_that_can_be_left_out_is(rig):
    r = rig()
    q = r.request(SKIPS)
    r.step(q)
    r.step(CallRequested(q.id), at=20)
    assert SkipCall(q.id) in r.step(CallCompleted(q.id, Outcome.FULL, 10), at=30)


# Drain.


def test_nothing_runs_that_came_after_the_grace(rig):
    r = rig()
    r.step(ShutdownRequested(6000), at=100)
    q = r.request(deadline_at=5000)
    r.step(q, at=1200)
    assert r.of(Reject, q.id) and not r.of(StartRun)


def test_all_is_answered_before_the_stop_even_at_a_call(rig):
    r = rig()
    held = [r.request(UNSAFE, deadline_at=9000) for _ in range(8)]
    r.step(*held)
    r.step(CallRequested(1), at=50)
    r.step(ShutdownRequested(1000), at=100)
    r.tick(850)
    assert all(len(r.finals(q.id)) == 1 for q in held)
    late = r.request(deadline_at=9000)
    r.step(late)
    assert r.finals(late.id)
    assert r.of(admission.SetHealth)[-1] == admission.SetHealth(False, True)


def test_drain_refusals_let_the_caller_try_elsewhere(rig):
    r = rig()
    r.step(ShutdownRequested(6000), at=100)
    q = r.request(deadline_at=5000)
    r.step(q, at=1500)
    assert r.of(Reject, q.id)[0].no_retry is False


# No falling over.


def test_memory_is_counted_before_acting(rig):
    limit = 1000
    r = rig(memory_kb=limit, cores=8)
    many = [r.request(deadline_at=3900) for _ in range(60)]
    r.step(*many)
    for _ in range(80):
        r.tick(40)
        running = len(r.of(StartRun)) - len({a.id for a in r.of(Fail)})
        held = sum(1 for q in many if not r.finals(q.id) and not r.of(StartRun, q.id))
        assert 80 * running + 10 * held <= limit


@pytest.mark.parametrize("cold", [False, True])
def test_runs_on_the_cores_stay_far_under_the_survivable_crowd(rig, cold):
    r = rig(warming_up=cold, cores=4)
    for i in range(50):
        r.step(*[r.request(deadline_at=r.now + 3000) for _ in range(5)])
        r.tick(40, gauges=(0.1, 1.0))
        share = 0.25 + 0.75 * min(1.0, i * 40 / 10_000) if cold else 1.0
        assert r.control.on_core <= 4 * (1 + 7 * share)


def test_calls_stay_within_the_share(rig):
    r = rig(call_quota=5, cores=10)
    qs = [r.request(UNSAFE) for _ in range(12)]
    r.step(*qs)
    r.step(*[CallRequested(q.id) for q in qs], at=10)
    r.tick(400)
    out = len(r.of(StartCall)) - 0
    assert 1 <= out <= 5


# All together.


@pytest.mark.parametrize("seed", range(6))
def test_random_traffic_keeps_every_promise(rig, seed):
    rng = random.Random(seed)
    r = rig(cores=3, warming_up=bool(seed % 2), call_quota=rng.choice([0, 0.8, 4]))
    open_runs, calls, asked, gone, ran_keys, answered, owed = {}, {}, {}, set(), {}, {}, []
    for _ in range(1500):
        r.now += rng.choice([2, 4, 11])
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
                answered.setdefault(rid, r.now)
        if rng.random() < 0.5:
            cls = rng.randrange(4)
            retry_of = 0
            if cls == KEYED and ran_keys and rng.random() < 0.4:
                retry_of = rng.choice(sorted(ran_keys))
            q = r.request(cls, retry_of=retry_of, deadline_at=r.now + rng.choice([200, 1500, 3500]))
            asked[q.id] = q
            events.append(q)
        if asked and rng.random() < 0.03:
            rid = rng.choice(sorted(asked))
            if rid not in answered and rid not in open_runs:
                gone.add(rid)
                events.append(ClientCancelled(rid))
        if rng.random() < 0.2:
            events.append(admission.TimerFired(0, (rng.random(), rng.random() * 5)))
        for a in r.step(*events):
            if isinstance(a, StartRun):
                assert a.id not in answered and a.id not in gone and not asked[a.id].retry_of
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
                answered[a.id] = r.now
                if isinstance(a, Reject):
                    assert a.id not in open_runs and not asked[a.id].retry_of
                if isinstance(a, Fail) and open_runs.get(a.id) == "call":
                    del open_runs[a.id]
                    calls.pop(a.id, None)
                    owed.append(RunCompleted(a.id, Outcome.CANCELLED, 50.0))
            elif isinstance(a, CancelRun) and open_runs.pop(a.id, None):
                owed.append(RunCompleted(a.id, Outcome.CANCELLED, 50.0))
        for rid, q in asked.items():
            if r.now > q.deadline_at + 80 and rid not in gone:
                assert rid in answered
    assert len(r.of(StartRun)) > 100
