"""Decisions outside the rules, each with the failure it guards against."""

import msgspec
import pytest

from lapispick import Controller, admission
from lapispick.admission import (
    Advertise,
    CallCompleted,
    CallRequested,
    Outcome,
    Reject,
    RunCompleted,
    SetIdleTimeout,
    SkipCall,
    StartCall,
    StartRun,
)
from tests.conftest import make_class, make_settings

SAFE, KEYED, UNSAFE, SKIPS = range(4)


def test_the_limit_holds_what_comes_over_it(rig):
    r = rig(cores=2)
    r.step(*[r.request(deadline_at=3900) for _ in range(10)])
    assert len(r.of(StartRun)) == 3  # 1.5 times the cores at the start


def test_waits_hold_no_core(rig):
    r = rig(cores=2)
    r.step(*[r.request(UNSAFE, deadline_at=3900) for _ in range(6)])
    r.step(CallRequested(1), CallRequested(2), at=40)
    assert len(r.of(StartRun)) == 5


def test_limit_grows_past_waits_while_cores_idle_and_falls_when_crowded(rig):
    r = rig(cores=4)
    for _ in range(30):
        r.step(*[r.request(deadline_at=r.now + 3000) for _ in range(3)])
        r.tick(240, gauges=(0.4, 2.0))
    grown = r.control.limit.value
    assert grown > 8
    r.tick(2400, gauges=(1.0, 9.0))
    assert r.control.limit.value <= grown - 4


def test_late_retries_at_an_idle_server_do_not_talk_callers_out_of_sending(rig):
    r = rig()
    for i in range(60):
        r.step(r.request(deadline_at=i * 100.0 + 25), at=i * 100.0)
        r.tick(40, gauges=(0.1, 0.0))
    assert r.of(Reject)
    assert all(a.value < 0.02 for a in r.of(Advertise))


def test_sheds_under_pressure_raise_the_level_and_quiet_lowers_it(rig):
    r = rig(cores=1)
    for i in range(60):
        r.step(*[r.request(deadline_at=r.now + 1000, rank=(i * 7 % 10) / 10) for _ in range(3)])
        r.tick(120)
    peak = max(a.value for a in r.of(Advertise))
    assert peak > 0.2
    r.tick(20_000)
    assert r.of(Advertise)[-1].value < 1e-9


def test_requests_that_lay_unread_raise_the_level(rig):
    r = rig(cores=4)
    for i in range(40):  # one at a time: the hold stays empty, but reading is behind
        q = r.request(deadline_at=r.now + 3000, age_ms=600, rank=(i * 7 % 10) / 10)
        r.step(q)
        r.step(RunCompleted(q.id, Outcome.OK, 20), at=r.now + 20)
        r.tick(100)
    assert max(a.value for a in r.of(Advertise)) > 0.2


def test_the_first_of_a_pair_that_cannot_both_meet_their_aims_is_the_worthier(rig):
    r = rig(cores=1)
    r.tick(40)
    r.step(r.request(UNSAFE, deadline_at=3900))
    cheap, dear = r.request(SAFE, deadline_at=3900), r.request(UNSAFE, deadline_at=3900)
    r.step(cheap, dear)
    r.step(RunCompleted(1, Outcome.OK, 100), at=100)
    assert r.of(StartRun)[1].id == dear.id


def test_credit_falls_under_pressure_and_is_never_nothing(rig):
    r = rig(cores=1, backpressure_signal=admission.BackpressureSignal.CREDIT)
    for _ in range(80):
        r.step(*[r.request(deadline_at=r.now + 1000) for _ in range(3)])
        r.tick(120)
    values = [a.value for a in r.of(Advertise)]
    assert 0 < min(values) < 2


def test_what_cannot_meet_its_aim_is_refused_at_once_under_load(rig):
    r = rig(cores=2)
    for i in range(1, 40):
        q = r.request()
        r.step(q)
        r.step(RunCompleted(q.id, Outcome.OK, 400), at=i * 400.0)
    burst = [r.request(deadline_at=r.now + 4000) for _ in range(40)]
    r.step(*burst)
    assert len(r.of(Reject)) > 25


def test_refusals_carry_a_retry_after_of_a_mean_hold(rig):
    r = rig(cores=1)
    r.step(*[r.request(deadline_at=3000) for _ in range(40)])
    assert r.of(Reject) and all(120 <= a.retry_after_ms <= 180 for a in r.of(Reject))


def test_slow_calls_shrink_the_calls_in_hand(rig):
    r = rig(call_quota=5, cores=10)
    now = 0.0
    for took in [50] * 20 + [600] * 30:
        q = r.request(UNSAFE, deadline_at=now + 3900)
        r.step(q, at=now)
        r.step(CallRequested(q.id), at=now + 5)
        now = now + 5 + took
        if r.of(StartCall, q.id):
            r.step(CallCompleted(q.id, Outcome.OK, took), at=now)
        r.step(RunCompleted(q.id, Outcome.OK, took + 10), at=now + 5)
        now += 1000
    assert r.control.calls.limit == pytest.approx(1.0)


def call_days(r, ends, cls):
    """Let one request at a time make a call that ends so; return the actions for the last one."""
    for took, outcome in ends:
        q = r.request(cls, deadline_at=r.now + 3900)
        r.step(q)
        r.step(CallRequested(q.id), at=r.now + 5)
        last = len(r.actions)
        if r.of(StartCall, q.id):
            r.step(CallCompleted(q.id, outcome, took), at=r.now + took)
        last = r.actions[last:]
        r.step(RunCompleted(q.id, Outcome.OK, took + 10), at=r.now + 5)
        r.tick(400)
    return last


def test_single_lost_replies_leave_the_calls_alone_and_many_shrink_them(rig):
    r = rig(call_quota=5, cores=10)
    lost = [Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET]
    call_days(r, [(50, Outcome.OK)] * 9, UNSAFE)
    limit = r.control.calls.limit
    for end in lost * 4:
        call_days(r, [(400, end)] + [(50, Outcome.OK)] * 12, UNSAFE)
    assert r.control.calls.limit == limit and r.control.calls.recent == pytest.approx(50)
    call_days(r, [(400, Outcome.TIMEOUT)] * 60, UNSAFE)
    assert r.control.calls.limit == pytest.approx(1.0)


def test_a_read_whose_reply_is_lost_calls_once_more_and_is_not_waited_for_long(rig):
    r = rig(call_quota=5, cores=10)
    last = call_days(r, [(50, Outcome.OK)] * 9 + [(60, Outcome.ERROR)], SKIPS)
    assert [type(a) for a in last] == [StartCall] and last[0].timeout_ms == pytest.approx(400)
    r.step(*[r.request(SKIPS, deadline_at=r.now + 3900)])
    r.step(CallRequested(r.next_id), at=r.now + 5)
    for expected in (StartCall, SkipCall):
        got = r.step(CallCompleted(r.next_id, Outcome.RESET, 10), at=r.now + 10)
        assert [type(a) for a in got] == [expected]


def test_scarce_calls_hold_back_only_requests_that_need_one(rig):
    r = rig(call_quota=1, cores=40)
    call_days(r, [(50, Outcome.OK)] * 9, SKIPS)
    call_days(r, [(50, Outcome.OK)] * 9, UNSAFE)
    many = [r.request(UNSAFE, deadline_at=r.now + 3900) for _ in range(30)]
    for q in many:
        r.step(q)
    r.step(*[CallRequested(q.id) for q in many], at=r.now + 5)
    assert len(r.control.calls.waiting) > 20
    writes, read = r.request(UNSAFE, deadline_at=r.now + 3900), r.request(SKIPS, deadline_at=r.now + 3900)
    r.step(writes)
    r.step(read)
    assert r.of(Reject, writes.id) and r.of(StartRun, read.id) and not r.of(Reject, read.id)


def test_a_host_that_leaves_serves_as_long_as_it_may_and_then_keeps_callers_away(rig):
    r = rig(cores=1)
    r.step(r.request(deadline_at=3900), r.request(deadline_at=3900))
    r.step(admission.ShutdownRequested(4000), at=10)
    waits = r.request(deadline_at=4000)  # there is work ahead of it, and most of the grace of 1 s is left
    r.step(waits)
    r.tick(400)
    assert not r.of(Reject, waits.id) and not [a for a in r.of(Advertise) if a.value == 1]
    for rid in (1, 2, waits.id):
        r.step(RunCompleted(rid, Outcome.OK, 100))
    r.tick(400)
    in_grace = r.request(deadline_at=4800)
    r.step(in_grace)
    assert not r.of(Reject, in_grace.id) and r.of(Advertise)[-1].value == 1
    r.tick(200)
    late = r.request(deadline_at=4800)
    r.step(late)
    assert r.of(Reject, late.id) and not r.of(Reject, late.id)[0].no_retry


def test_settings_that_contradict_themselves_are_refused():
    good = make_settings()
    bad = [
        {"classes": ()},
        {"cores": 0},
        {"memory_kb": 0},
        {"callers": -1},
        {"cold_speed_fraction": 0},
        {"classes": (make_class(latency_objective_ms=5000),)},
        {"classes": (make_class(idempotency=admission.Idempotency.KEYED, idempotency_window_ms=0),)},
    ]
    for over in bad:
        with pytest.raises(ValueError):
            Controller(msgspec.structs.replace(good, **over), 1, 0)
    Controller(good, 1, 0)


def test_the_same_events_give_the_same_actions(rig):
    runs = []
    for _ in range(2):
        r = rig()
        for i in range(50):
            r.step(r.request(i % 4, deadline_at=r.now + 900))
            r.tick(80)
        runs.append(r.actions)
    assert runs[0] == runs[1]


def test_missing_gauges_do_no_harm(rig):
    r = rig(gauges=())
    r.step(r.request())
    r.tick(1000, gauges=())
    assert r.of(StartRun)


def test_a_further_try_is_known_by_its_time_though_its_caller_was_never_seen(rig):
    r = rig()
    for i in range(40):  # first tries of forty callers come with the whole deadline
        q = r.request(deadline_at=r.now + 4000, caller=i)
        r.step(q)
        r.step(RunCompleted(q.id, Outcome.OK, 5), at=r.now + 5)
        r.tick(90)
    first, further = r.request(deadline_at=r.now + 4000, caller=98), r.request(deadline_at=r.now + 2500, caller=99)
    r.step(first, further)
    assert r.control.entries[first.id].aim_at == r.now + 1000
    assert further.id not in r.control.entries or r.control.entries[further.id].aim_at == r.now - 500


def test_callers_of_two_habits_both_send_first_tries(rig):
    r = rig()
    for i in range(60):
        q = r.request(deadline_at=r.now + (4000 if i % 3 else 900), caller=i)
        r.step(q)
        r.step(RunCompleted(q.id, Outcome.OK, 5), at=r.now + 5)
        r.tick(90)
    hasty = r.request(deadline_at=r.now + 900, caller=99)
    r.step(hasty)
    assert r.control.entries[hasty.id].aim_at == r.now + 1000


def test_the_time_a_call_is_given_is_a_lower_tiers_aim(rig):
    r = rig(lower_tier=True)
    q = r.request(deadline_at=700)
    r.step(q)
    assert r.control.entries[q.id].aim_at == 700


def test_sheds_with_nothing_out_leave_a_credit(rig):
    r = rig(backpressure_signal=admission.BackpressureSignal.CREDIT, callers=100)
    r.step(r.request(deadline_at=1, age_ms=900), at=2.0)
    assert r.of(Reject)
    r.tick(500)
    assert r.of(Advertise) and all(a.value > 0 for a in r.of(Advertise))


def serve_each(r, callers, count=120):
    for i in range(count):
        q = r.request(deadline_at=r.now + 3000, caller=i % callers)
        r.step(q)
        r.step(RunCompleted(q.id, Outcome.OK, 20), at=r.now + 20)
        r.tick(200)


def test_idle_connections_stay_where_callers_return_and_go_where_they_do_not(rig):
    few = rig()
    serve_each(few, callers=5)
    assert few.of(SetIdleTimeout)[-1].timeout_ms == few.settings.idle_timeout_ms
    many = rig()
    serve_each(many, callers=120)
    assert many.of(SetIdleTimeout)[-1].timeout_ms < 0.1 * many.settings.idle_timeout_ms
    assert len(many.control.links.last) < 40  # callers of the last six seconds, however many there are


def test_a_flooded_server_lets_its_connections_stay(rig):
    r = rig(cores=1)
    for i in range(60):
        r.step(*[r.request(deadline_at=r.now + 1000, caller=50 * i + n) for n in range(6)])
        r.tick(240)
    assert r.control.links.span == r.settings.idle_timeout_ms


def test_no_idle_limit_is_told_where_none_is_known(rig):
    r = rig(idle_timeout_ms=0.0)
    serve_each(r, callers=60)
    assert not r.of(SetIdleTimeout)


def test_what_is_read_in_a_moment_does_not_lower_the_limit(rig):
    r = rig(cores=2)
    r.control.limit.value = 4.0
    for _ in range(60):  # reading makes every other look at the cores a crowd; their mean is not
        r.step(admission.TimerFired(0, (0.9, 5.0)), at=r.now + 40)
        r.step(admission.TimerFired(0, (0.9, 0.0)), at=r.now + 40)
    assert r.control.limit.value == 4.0


def test_half_of_the_limit_runs_while_reading_is_behind(rig):
    r = rig(cores=4)
    r.step(*[r.request(deadline_at=3900, age_ms=400) for _ in range(6)], at=400.0)
    assert len(r.of(StartRun)) == 3
    r.step(r.request(deadline_at=4300, age_ms=5), at=440.0)
    assert len(r.of(StartRun)) == 6


def test_a_share_under_one_call_still_lets_calls_through(rig):
    r = rig(call_quota=0.4, cores=4)
    for _ in range(40):
        q = r.request(UNSAFE, deadline_at=r.now + 3900)
        r.step(q)
        r.step(CallRequested(q.id), at=r.now + 5)
        r.step(CallCompleted(q.id, Outcome.OK, 50), RunCompleted(q.id, Outcome.OK, 60), at=r.now + 50)
        r.tick(345)
    assert len(r.of(StartCall)) == 40


def test_calls_that_hang_stay_within_a_share_under_one_call(rig):
    r = rig(call_quota=0.43, cores=4)
    r.step(*[r.request(UNSAFE, deadline_at=3900) for _ in range(4)])
    r.step(*[CallRequested(q) for q in range(1, 5)], at=5.0)
    out, held, began = None, [], 0
    while r.now < 12_000:  # each call hangs until it is given up
        r.tick(40)
        if out and r.now >= out[1]:
            r.step(CallCompleted(out[0], Outcome.TIMEOUT, out[1] - out[2]))
            out = None
        for a in r.of(StartCall)[began:]:
            out = (a.id, r.now + a.timeout_ms, r.now)
            began += 1
        held.append(out is not None)
        if len(held) % 10 == 0:
            q = r.request(UNSAFE, deadline_at=r.now + 3900)
            r.step(q)
            if r.of(StartRun, q.id):
                r.step(CallRequested(q.id))
    assert began >= 2
    windows = [sum(held[i : i + 125]) / 125 for i in range(len(held) - 125)]  # 125 ticks are 5 s
    assert max(windows) < 0.43


def test_one_slow_run_does_not_shut_its_class_out(rig):
    """The first run of a class took twice its aim; those that come after it are tried, and set the estimate right."""
    r = rig()
    r.step(first := r.request())
    r.step(RunCompleted(first.id, Outcome.OK, 2000.0), at=2000.0)
    for n in range(20):
        r.step(each := r.request(), at=r.now + 50.0)
        assert r.of(StartRun, each.id), n
        r.step(RunCompleted(each.id, Outcome.OK, 40.0), at=r.now + 40.0)
    assert r.control.est.cores[0] < 200.0


@pytest.mark.parametrize("left,runs", [(750.0, True), (650.0, False)])
def test_work_that_waits_is_tried_while_seven_tenths_of_its_aim_are_left(rig, left, runs):
    r = rig(cores=1)
    r.step(first := r.request())
    r.step(RunCompleted(first.id, Outcome.OK, 2000.0), at=2000.0)
    r.step(running := r.request())
    r.step(held := r.request())
    assert r.of(StartRun, running.id) and not r.of(StartRun, held.id) and not r.finals(held.id)
    r.step(RunCompleted(running.id, Outcome.OK, 2000.0), at=3000.0 - left)
    assert bool(r.of(StartRun, held.id)) is runs and len(r.finals(held.id)) == (not runs)
