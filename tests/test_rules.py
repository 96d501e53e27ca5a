"""The four rules, by event sequences through the module's interface."""

import random

import pytest

from lapispick import admission
from lapispick.admission import (
    Call,
    CallEnded,
    Fail,
    ForgetKey,
    Gone,
    GoWithout,
    Join,
    KeepKey,
    Leave,
    NeedsCall,
    Outcome,
    Refuse,
    Run,
    RunEnded,
    Stop,
)

SAFE, KEYED, UNSAFE, SKIPS = range(4)


# One final answer.


def test_running_work_is_answered_by_its_due_time(rig):
    r = rig()
    q = r.request(due_at=3000)
    assert Run(q.id) in r.step(q)
    r.tick(2960)
    assert not r.finals(q.id)
    r.tick(60)
    assert [type(a) for a in r.finals(q.id)] == [Fail]
    assert r.of(Stop, q.id)
    r.step(RunEnded(q.id, Outcome.CANCELLED, 3000))
    r.tick(3000)
    assert len(r.finals(q.id)) == 1


def test_untold_due_time_counts_from_the_arrival(rig):
    r = rig(now=500.0)
    q = r.request(age=500)
    r.step(q)
    r.tick(3500 - 41)
    assert not r.finals(q.id)
    r.tick(41 + 40)
    assert len(r.finals(q.id)) == 1


def test_held_requests_are_refused_in_time_and_once(rig):
    r = rig()
    many = [r.request(due_at=1200) for _ in range(30)]
    r.step(*many)
    r.tick(3000)
    for q in many:
        ran = bool(r.of(Run, q.id))
        assert len(r.finals(q.id)) == 1
        assert isinstance(r.finals(q.id)[0], Fail if ran else Refuse)


def test_an_answer_that_beats_the_due_time_is_the_only_one(rig):
    r = rig()
    q = r.request(due_at=1000)
    r.step(q)
    r.step(RunEnded(q.id, Outcome.OK, 990), admission.TimerFired(0, (1.0, 1.0)), at=999)
    r.tick(500)
    assert not r.finals(q.id)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR])
def test_a_run_that_ends_after_its_answer_is_left_alone(rig, outcome):
    r = rig(halt=admission.Halting.NONE)
    q = r.request(due_at=400)
    r.step(q)
    r.tick(480)
    r.step(RunEnded(q.id, outcome, 480))
    assert len(r.finals(q.id)) == 1 and not r.of(Stop)


def test_caller_gone_while_running_stops_the_work_and_owes_nothing(rig):
    r = rig()
    q = r.request(due_at=1000)
    r.step(q)
    assert Stop(q.id) in r.step(Gone(q.id), at=100)
    r.step(RunEnded(q.id, Outcome.CANCELLED, 100), at=104)
    r.tick(2000)
    assert not r.finals(q.id)


def test_events_for_requests_that_are_over_or_unknown_are_ignored(rig):
    r = rig()
    q = r.request()
    r.step(q)
    r.step(RunEnded(q.id, Outcome.OK, 5), at=5)
    late = r.step(
        RunEnded(q.id, Outcome.MOOT, 0),
        Gone(q.id),
        NeedsCall(q.id),
        CallEnded(99, Outcome.OK, 1.0),
        RunEnded(98, Outcome.OK, 1),
        at=9,
    )
    assert late == []


# Effects never twice.


def test_keyed_is_pinned_before_it_runs(rig):
    r = rig()
    r.step()
    q = r.request(KEYED)
    got = r.step(q)
    assert got.index(KeepKey(q.id, 5000)) < got.index(Run(q.id))


def test_repeat_of_a_running_key_joins_and_never_runs(rig):
    r = rig()
    first = r.request(KEYED, due_at=4000)
    r.step(first)
    again = r.request(KEYED, prior=first.id, due_at=4000)
    assert Join(again.id) in r.step(again, at=500)
    r.tick(300)
    assert not r.of(Run, again.id) and not r.of(Refuse, again.id)


def test_repeat_after_the_run_is_never_refused_nor_run(rig):
    r = rig()
    first = r.request(KEYED)
    r.step(first)
    r.step(RunEnded(first.id, Outcome.OK, 50), at=50)
    r.step(Leave(9000), at=60)  # even while leaving
    again = r.request(KEYED, prior=first.id, due_at=4000)
    third = r.request(KEYED, prior=again.id, due_at=4000)
    assert Join(again.id) in r.step(again, at=2000)
    r.step(third, at=2100)
    assert not r.of(Run, again.id) and not r.of(Run, third.id)
    assert not r.of(Refuse, again.id) and not r.of(Refuse, third.id)


def test_two_tries_of_one_key_in_one_batch_run_once(rig):
    r = rig()
    a, b = r.request(KEYED), r.request(KEYED)
    r.step(a._replace(prior=b.id), b._replace(prior=a.id))
    r.tick(400)
    assert len(r.of(Run)) == 1


def test_a_newer_try_takes_over_from_a_held_one(rig):
    r = rig()
    r.step(*[r.request(UNSAFE) for _ in range(3)])  # fill the slots
    old = r.request(KEYED, due_at=1500)
    r.step(old)
    new = r.request(KEYED, prior=old.id, due_at=3000)
    r.step(new, at=100)
    assert r.finals(old.id) and not r.of(Join, new.id)
    for q in range(1, 4):
        r.step(RunEnded(q, Outcome.OK, 120), at=120)
    assert r.of(Run, new.id) and not r.of(Run, old.id)


def test_a_refused_key_that_never_ran_is_forgotten(rig):
    r = rig()
    r.step(*[r.request(UNSAFE) for _ in range(3)])
    q = r.request(KEYED, due_at=700)
    r.step(q)
    r.tick(900)
    assert r.of(Refuse, q.id) and r.of(ForgetKey, q.id)


def test_keyed_run_goes_on_for_its_repeats_when_the_caller_leaves(rig):
    r = rig()
    q = r.request(KEYED)
    r.step(q)
    r.step(Gone(q.id), at=50)
    again = r.request(KEYED, prior=q.id)
    assert not r.of(Stop) and Join(again.id) in r.step(again, at=90)


@pytest.mark.parametrize(
    "outcome,repeats",
    [
        (Outcome.FULL, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.MOOT, True),
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
    r.step(NeedsCall(q.id), at=50)
    r.step(CallEnded(q.id, outcome, 20), at=70)
    r.tick(300)
    assert len(r.of(Call, q.id)) == (2 if repeats else 1)
    assert bool(r.of(Fail, q.id)) is not repeats and not r.of(Refuse, q.id)


def test_a_failed_call_that_can_be_left_out_is(rig):
    r = rig()
    q = r.request(SKIPS)
    r.step(q)
    r.step(NeedsCall(q.id), at=20)
    assert GoWithout(q.id) in r.step(CallEnded(q.id, Outcome.FULL, 10), at=30)


# Drain.


def test_nothing_runs_that_came_after_the_grace(rig):
    r = rig()
    r.step(Leave(6000), at=100)
    q = r.request(due_at=5000)
    r.step(q, at=1200)
    assert r.of(Refuse, q.id) and not r.of(Run)


def test_all_is_answered_before_the_stop_even_at_a_call(rig):
    r = rig()
    held = [r.request(UNSAFE, due_at=9000) for _ in range(8)]
    r.step(*held)
    r.step(NeedsCall(1), at=50)
    r.step(Leave(1000), at=100)
    r.tick(850)
    assert all(len(r.finals(q.id)) == 1 for q in held)
    late = r.request(due_at=9000)
    r.step(late)
    assert r.finals(late.id)
    assert r.of(admission.SetHealth)[-1] == admission.SetHealth(False, True)


def test_drain_refusals_let_the_caller_try_elsewhere(rig):
    r = rig()
    r.step(Leave(6000), at=100)
    q = r.request(due_at=5000)
    r.step(q, at=1500)
    assert r.of(Refuse, q.id)[0].no_retry is False


# No falling over.


def test_memory_is_counted_before_acting(rig):
    limit = 1000
    r = rig(memory_kb=limit, cores=8)
    many = [r.request(due_at=3900) for _ in range(60)]
    r.step(*many)
    for _ in range(80):
        r.tick(40)
        running = len(r.of(Run)) - len({a.id for a in r.of(Fail)})
        held = sum(1 for q in many if not r.finals(q.id) and not r.of(Run, q.id))
        assert 80 * running + 10 * held <= limit


@pytest.mark.parametrize("cold", [False, True])
def test_runs_on_the_cores_stay_far_under_the_survivable_crowd(rig, cold):
    r = rig(cold=cold, cores=4)
    for i in range(50):
        r.step(*[r.request(due_at=r.now + 3000) for _ in range(5)])
        r.tick(40, gauges=(0.1, 1.0))
        share = 0.25 + 0.75 * min(1.0, i * 40 / 10_000) if cold else 1.0
        assert r.control.on_core <= 4 * (1 + 7 * share)


def test_calls_stay_within_the_share(rig):
    r = rig(calls_out=5, cores=10)
    qs = [r.request(UNSAFE) for _ in range(12)]
    r.step(*qs)
    r.step(*[NeedsCall(q.id) for q in qs], at=10)
    r.tick(400)
    out = len(r.of(Call)) - 0
    assert 1 <= out <= 5


# All together.


@pytest.mark.parametrize("seed", range(6))
def test_random_traffic_keeps_every_promise(rig, seed):
    rng = random.Random(seed)
    r = rig(cores=3, cold=bool(seed % 2), calls_out=rng.choice([0, 0.8, 4]))
    open_runs, calls, asked, gone, ran_keys, answered, owed = {}, {}, {}, set(), {}, {}, []
    for _ in range(1500):
        r.now += rng.choice([2, 4, 11])
        events, owed = owed, []
        for rid in list(calls):
            if rng.random() < 0.2 and calls[rid]:
                calls[rid] = False
                events.append(CallEnded(rid, rng.choice(list(Outcome)), 30.0))
        for rid in list(open_runs):
            x = rng.random()
            if open_runs[rid] == "run" and x < 0.02:
                events.append(NeedsCall(rid))
                open_runs[rid] = "call"
            elif open_runs[rid] == "run" and x < 0.1:
                del open_runs[rid]
                events.append(RunEnded(rid, Outcome.OK, 60.0))
                answered.setdefault(rid, r.now)
        if rng.random() < 0.5:
            cls = rng.randrange(4)
            prior = 0
            if cls == KEYED and ran_keys and rng.random() < 0.4:
                prior = rng.choice(sorted(ran_keys))
            q = r.request(cls, prior=prior, due_at=r.now + rng.choice([200, 1500, 3500]))
            asked[q.id] = q
            events.append(q)
        if asked and rng.random() < 0.03:
            rid = rng.choice(sorted(asked))
            if rid not in answered and rid not in open_runs:
                gone.add(rid)
                events.append(Gone(rid))
        if rng.random() < 0.2:
            events.append(admission.TimerFired(0, (rng.random(), rng.random() * 5)))
        for a in r.step(*events):
            if isinstance(a, Run):
                assert a.id not in answered and a.id not in gone and not asked[a.id].prior
                assert a.id not in open_runs
                open_runs[a.id] = "run"
                if asked[a.id].cls == KEYED:
                    ran_keys[a.id] = True
            elif isinstance(a, Call):
                assert open_runs.get(a.id) == "call"
                calls[a.id] = True
            elif isinstance(a, GoWithout):
                assert asked[a.id].cls == SKIPS
                open_runs[a.id] = "run"
            elif isinstance(a, (Refuse, Fail)):
                assert a.id not in answered
                answered[a.id] = r.now
                if isinstance(a, Refuse):
                    assert a.id not in open_runs and not asked[a.id].prior
                if isinstance(a, Fail) and open_runs.get(a.id) == "call":
                    del open_runs[a.id]
                    calls.pop(a.id, None)
                    owed.append(RunEnded(a.id, Outcome.CANCELLED, 50.0))
            elif isinstance(a, Stop) and open_runs.pop(a.id, None):
                owed.append(RunEnded(a.id, Outcome.CANCELLED, 50.0))
        for rid, q in asked.items():
            if r.now > q.due_at + 80 and rid not in gone:
                assert rid in answered
    assert len(r.of(Run)) > 100
