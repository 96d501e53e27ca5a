"""Decisions of the controller that the four rules in test_rules.py don't cover."""

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
from tests.controller_harness import AT_MOST_ONCE, IDEMPOTENT, SKIPPABLE, make_class, make_settings


def test_requests_over_the_concurrency_limit_are_queued(make_harness):
    harness = make_harness(cores=2)
    harness.step(*[harness.request(deadline_at=3900) for _ in range(10)])
    assert len(harness.actions_of(StartRun)) == 3  # the initial limit is 1.5 times the cores


def test_requests_waiting_for_a_call_take_no_slot(make_harness):
    harness = make_harness(cores=2)
    harness.step(*[harness.request(AT_MOST_ONCE, deadline_at=3900) for _ in range(6)])
    harness.step(CallRequested(1), CallRequested(2), at=40)
    assert len(harness.actions_of(StartRun)) == 5


def test_concurrency_limit_grows_while_cores_are_idle_and_falls_under_contention(make_harness):
    harness = make_harness(cores=4)
    for _ in range(30):
        harness.step(*[harness.request(deadline_at=harness.now + 3000) for _ in range(3)])
        harness.tick(240, gauges=(0.4, 2.0))
    limit_while_idle = harness.state.concurrency_limit.value
    assert limit_while_idle > 8
    harness.tick(2400, gauges=(1.0, 9.0))
    assert harness.state.concurrency_limit.value <= limit_while_idle - 4


def test_late_retries_at_an_idle_server_do_not_raise_backpressure(make_harness):
    harness = make_harness()
    for i in range(60):
        harness.step(harness.request(deadline_at=i * 100.0 + 25), at=i * 100.0)
        harness.tick(40, gauges=(0.1, 0.0))
    assert harness.actions_of(Reject)
    assert all(action.value < 0.02 for action in harness.actions_of(Advertise))


def test_shedding_raises_the_backpressure_level_and_idle_time_lowers_it(make_harness):
    harness = make_harness(cores=1)
    for i in range(60):
        harness.step(*[harness.request(deadline_at=harness.now + 1000, rank=(i * 7 % 10) / 10) for _ in range(3)])
        harness.tick(120)
    peak = max(action.value for action in harness.actions_of(Advertise))
    assert peak > 0.2
    harness.tick(20_000)
    assert harness.actions_of(Advertise)[-1].value < 1e-9


def test_late_reading_raises_the_backpressure_level(make_harness):
    harness = make_harness(cores=4)
    for i in range(40):  # one request at a time: the queue stays empty although reading is late
        request = harness.request(deadline_at=harness.now + 3000, age_ms=600, rank=(i * 7 % 10) / 10)
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 20), at=harness.now + 20)
        harness.tick(100)
    assert max(action.value for action in harness.actions_of(Advertise)) > 0.2


def test_request_of_higher_priority_weight_starts_first(make_harness):
    harness = make_harness(cores=1)
    harness.tick(40)
    harness.step(harness.request(AT_MOST_ONCE, deadline_at=3900))
    light = harness.request(IDEMPOTENT, deadline_at=3900)
    heavy = harness.request(AT_MOST_ONCE, deadline_at=3900)
    harness.step(light, heavy)
    harness.step(RunCompleted(1, Outcome.OK, 100), at=100)
    assert harness.actions_of(StartRun)[1].id == heavy.id


def test_credit_falls_under_overload_and_stays_positive(make_harness):
    harness = make_harness(cores=1, backpressure_signal=admission.BackpressureSignal.CREDIT)
    for _ in range(80):
        harness.step(*[harness.request(deadline_at=harness.now + 1000) for _ in range(3)])
        harness.tick(120)
    values = [action.value for action in harness.actions_of(Advertise)]
    assert 0 < min(values) < 2


def test_requests_that_cannot_meet_their_objective_are_rejected_on_arrival_under_load(make_harness):
    harness = make_harness(cores=2)
    for i in range(1, 40):
        request = harness.request()
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 400), at=i * 400.0)
    burst = [harness.request(deadline_at=harness.now + 4000) for _ in range(40)]
    harness.step(*burst)
    assert len(harness.actions_of(Reject)) > 25


def test_rejections_carry_a_retry_after_of_a_mean_run(make_harness):
    harness = make_harness(cores=1)
    harness.step(*[harness.request(deadline_at=3000) for _ in range(40)])
    assert harness.actions_of(Reject)
    assert all(120 <= action.retry_after_ms <= 180 for action in harness.actions_of(Reject))


def test_slow_calls_lower_the_downstream_limit(make_harness):
    harness = make_harness(call_quota=5, cores=10)
    now = 0.0
    for duration_ms in [50] * 20 + [600] * 30:
        request = harness.request(AT_MOST_ONCE, deadline_at=now + 3900)
        harness.step(request, at=now)
        harness.step(CallRequested(request.id), at=now + 5)
        now = now + 5 + duration_ms
        if harness.actions_of(StartCall, request.id):
            harness.step(CallCompleted(request.id, Outcome.OK, duration_ms), at=now)
        harness.step(RunCompleted(request.id, Outcome.OK, duration_ms + 10), at=now + 5)
        now += 1000
    assert harness.state.downstream.limit == pytest.approx(1.0)


def make_calls(harness, results, class_index):
    """Run one request after the other; each makes one call with the given duration and outcome.

    Returns the actions for the call of the last request.
    """
    for duration_ms, outcome in results:
        request = harness.request(class_index, deadline_at=harness.now + 3900)
        harness.step(request)
        harness.step(CallRequested(request.id), at=harness.now + 5)
        action_count = len(harness.actions)
        if harness.actions_of(StartCall, request.id):
            harness.step(CallCompleted(request.id, outcome, duration_ms), at=harness.now + duration_ms)
        last_actions = harness.actions[action_count:]
        harness.step(RunCompleted(request.id, Outcome.OK, duration_ms + 10), at=harness.now + 5)
        harness.tick(400)
    return last_actions


def test_many_lost_replies_lower_the_downstream_limit_and_single_lost_replies_do_not(make_harness):
    harness = make_harness(call_quota=5, cores=10)
    lost_reply_outcomes = [Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET]
    make_calls(harness, [(50, Outcome.OK)] * 9, AT_MOST_ONCE)
    limit = harness.state.downstream.limit
    for outcome in lost_reply_outcomes * 4:
        make_calls(harness, [(400, outcome)] + [(50, Outcome.OK)] * 12, AT_MOST_ONCE)
    assert harness.state.downstream.limit == limit
    assert harness.state.downstream.recent_call_ms == pytest.approx(50)
    make_calls(harness, [(400, Outcome.TIMEOUT)] * 60, AT_MOST_ONCE)
    assert harness.state.downstream.limit == pytest.approx(1.0)


def test_skippable_call_with_a_lost_reply_is_retried_once_with_a_short_timeout(make_harness):
    harness = make_harness(call_quota=5, cores=10)
    actions = make_calls(harness, [(50, Outcome.OK)] * 9 + [(60, Outcome.ERROR)], SKIPPABLE)
    assert [type(action) for action in actions] == [StartCall]
    assert actions[0].timeout_ms == pytest.approx(400)
    harness.step(*[harness.request(SKIPPABLE, deadline_at=harness.now + 3900)])
    harness.step(CallRequested(harness.last_id), at=harness.now + 5)
    for expected_type in (StartCall, SkipCall):
        actions = harness.step(CallCompleted(harness.last_id, Outcome.RESET, 10), at=harness.now + 10)
        assert [type(action) for action in actions] == [expected_type]


def test_scarce_calls_reject_only_requests_that_need_one(make_harness):
    harness = make_harness(call_quota=1, cores=40)
    make_calls(harness, [(50, Outcome.OK)] * 9, SKIPPABLE)
    make_calls(harness, [(50, Outcome.OK)] * 9, AT_MOST_ONCE)
    burst = [harness.request(AT_MOST_ONCE, deadline_at=harness.now + 3900) for _ in range(30)]
    for request in burst:
        harness.step(request)
    harness.step(*[CallRequested(request.id) for request in burst], at=harness.now + 5)
    assert len(harness.state.downstream.waiting) > 20
    needs_call = harness.request(AT_MOST_ONCE, deadline_at=harness.now + 3900)
    skippable = harness.request(SKIPPABLE, deadline_at=harness.now + 3900)
    harness.step(needs_call)
    harness.step(skippable)
    assert harness.actions_of(Reject, needs_call.id)
    assert harness.actions_of(StartRun, skippable.id)
    assert not harness.actions_of(Reject, skippable.id)


def test_draining_server_admits_within_the_grace_and_then_diverts_clients(make_harness):
    harness = make_harness(cores=1)
    harness.step(harness.request(deadline_at=3900), harness.request(deadline_at=3900))
    harness.step(admission.ShutdownRequested(4000), at=10)
    queued = harness.request(deadline_at=4000)  # requests run before it; most of the drain grace of 1 s is left
    harness.step(queued)
    harness.tick(400)
    assert not harness.actions_of(Reject, queued.id)
    assert not [action for action in harness.actions_of(Advertise) if action.value == 1]
    for request_id in (1, 2, queued.id):
        harness.step(RunCompleted(request_id, Outcome.OK, 100))
    harness.tick(400)
    in_grace = harness.request(deadline_at=4800)
    harness.step(in_grace)
    assert not harness.actions_of(Reject, in_grace.id)
    assert harness.actions_of(Advertise)[-1].value == 1
    harness.tick(200)
    late = harness.request(deadline_at=4800)
    harness.step(late)
    assert harness.actions_of(Reject, late.id)
    assert not harness.actions_of(Reject, late.id)[0].no_retry


def test_invalid_settings_are_rejected():
    valid_settings = make_settings()
    invalid_changes = [
        {"classes": ()},
        {"cores": 0},
        {"memory_kb": 0},
        {"callers": -1},
        {"initial_speed_fraction": 0},
        {"classes": (make_class(latency_objective_ms=5000),)},
        {"classes": (make_class(idempotency=admission.Idempotency.KEYED, idempotency_window_ms=0),)},
    ]
    for changes in invalid_changes:
        with pytest.raises(ValueError):
            Controller(msgspec.structs.replace(valid_settings, **changes), 1, 0)
    Controller(valid_settings, 1, 0)


def test_same_events_give_the_same_actions(make_harness):
    runs = []
    for _ in range(2):
        harness = make_harness()
        for i in range(50):
            harness.step(harness.request(i % 4, deadline_at=harness.now + 900))
            harness.tick(80)
        runs.append(harness.actions)
    assert runs[0] == runs[1]


def test_missing_gauges_are_tolerated(make_harness):
    harness = make_harness(gauges=())
    harness.step(harness.request())
    harness.tick(1000, gauges=())
    assert harness.actions_of(StartRun)


def test_retry_of_an_unknown_caller_is_recognised_by_its_remaining_time(make_harness):
    harness = make_harness()
    for i in range(40):  # first attempts of 40 callers arrive with the full deadline
        request = harness.request(deadline_at=harness.now + 4000, caller=i)
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 5), at=harness.now + 5)
        harness.tick(90)
    first = harness.request(deadline_at=harness.now + 4000, caller=98)
    retry = harness.request(deadline_at=harness.now + 2500, caller=99)
    harness.step(first, retry)
    assert harness.state.requests[first.id].objective_at == harness.now + 1000
    if retry.id in harness.state.requests:
        assert harness.state.requests[retry.id].objective_at == harness.now - 500


def test_first_attempts_of_callers_with_two_timeouts_are_both_recognised(make_harness):
    harness = make_harness()
    for i in range(60):
        request = harness.request(deadline_at=harness.now + (4000 if i % 3 else 900), caller=i)
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 5), at=harness.now + 5)
        harness.tick(90)
    short = harness.request(deadline_at=harness.now + 900, caller=99)
    harness.step(short)
    assert harness.state.requests[short.id].objective_at == harness.now + 1000


def test_deadline_of_a_call_is_the_objective_of_a_lower_tier(make_harness):
    harness = make_harness(lower_tier=True)
    request = harness.request(deadline_at=700)
    harness.step(request)
    assert harness.state.requests[request.id].objective_at == 700


def test_credit_stays_positive_when_nothing_is_in_flight(make_harness):
    harness = make_harness(backpressure_signal=admission.BackpressureSignal.CREDIT, callers=100)
    harness.step(harness.request(deadline_at=1, age_ms=900), at=2.0)
    assert harness.actions_of(Reject)
    harness.tick(500)
    assert harness.actions_of(Advertise)
    assert all(action.value > 0 for action in harness.actions_of(Advertise))


def serve_one_at_a_time(harness, caller_count, request_count=120):
    """Serve requests one after the other, from ``caller_count`` callers in turn."""
    for i in range(request_count):
        request = harness.request(deadline_at=harness.now + 3000, caller=i % caller_count)
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 20), at=harness.now + 20)
        harness.tick(200)


def test_idle_timeout_is_long_where_callers_return_and_short_where_they_do_not(make_harness):
    few_callers = make_harness()
    serve_one_at_a_time(few_callers, caller_count=5)
    assert few_callers.actions_of(SetIdleTimeout)[-1].timeout_ms == few_callers.settings.idle_timeout_ms
    many_callers = make_harness()
    serve_one_at_a_time(many_callers, caller_count=120)
    assert many_callers.actions_of(SetIdleTimeout)[-1].timeout_ms < 0.1 * many_callers.settings.idle_timeout_ms
    # Only callers of the last 6 s are kept, so memory does not grow with the number of callers.
    assert len(many_callers.state.idle_timeout.last_seen) < 40


def test_overloaded_server_keeps_its_idle_connections(make_harness):
    harness = make_harness(cores=1)
    for i in range(60):
        harness.step(*[harness.request(deadline_at=harness.now + 1000, caller=50 * i + n) for n in range(6)])
        harness.tick(240)
    assert harness.state.idle_timeout.value_ms == harness.settings.idle_timeout_ms


def test_no_idle_timeout_is_set_if_that_of_the_callers_is_unknown(make_harness):
    harness = make_harness(idle_timeout_ms=0.0)
    serve_one_at_a_time(harness, caller_count=60)
    assert not harness.actions_of(SetIdleTimeout)


def test_single_gauge_readings_of_contention_do_not_lower_the_concurrency_limit(make_harness):
    harness = make_harness(cores=2)
    harness.state.concurrency_limit.value = 4.0
    for _ in range(60):  # every other reading shows contention, but the mean does not
        harness.step(admission.TimerFired(0, (0.9, 5.0)), at=harness.now + 40)
        harness.step(admission.TimerFired(0, (0.9, 0.0)), at=harness.now + 40)
    assert harness.state.concurrency_limit.value == 4.0


def test_half_of_the_concurrency_limit_runs_while_reading_is_late(make_harness):
    harness = make_harness(cores=4)
    harness.step(*[harness.request(deadline_at=3900, age_ms=400) for _ in range(6)], at=400.0)
    assert len(harness.actions_of(StartRun)) == 3
    harness.step(harness.request(deadline_at=4300, age_ms=5), at=440.0)
    assert len(harness.actions_of(StartRun)) == 6


def test_quota_under_one_call_still_admits_calls(make_harness):
    harness = make_harness(call_quota=0.4, cores=4)
    for _ in range(40):
        request = harness.request(AT_MOST_ONCE, deadline_at=harness.now + 3900)
        harness.step(request)
        harness.step(CallRequested(request.id), at=harness.now + 5)
        harness.step(
            CallCompleted(request.id, Outcome.OK, 50), RunCompleted(request.id, Outcome.OK, 60), at=harness.now + 50
        )
        harness.tick(345)
    assert len(harness.actions_of(StartCall)) == 40


class HangingCalls:
    """Dependency whose calls hang until they time out, one after the other; ``in_flight`` has one entry per step."""

    def __init__(self, harness):
        self.harness = harness
        self.in_flight = []
        self.started_count = 0
        self._call = None  # the call in flight: its action, start time and end time

    def step(self):
        """Time out the present call if it is due, then accept a call that was started in the meantime."""
        harness = self.harness
        if self._call is not None:
            action, started_at, ends_at = self._call
            if harness.now >= ends_at:
                harness.step(CallCompleted(action.id, Outcome.TIMEOUT, ends_at - started_at))
                self._call = None
        for action in harness.actions_of(StartCall)[self.started_count :]:
            self._call = (action, harness.now, harness.now + action.timeout_ms)
            self.started_count += 1
        self.in_flight.append(self._call is not None)


def test_hanging_calls_stay_within_a_quota_under_one_call(make_harness):
    harness = make_harness(call_quota=0.43, cores=4)
    harness.step(*[harness.request(AT_MOST_ONCE, deadline_at=3900) for _ in range(4)])
    harness.step(*[CallRequested(request_id) for request_id in range(1, 5)], at=5.0)
    calls = HangingCalls(harness)
    while harness.now < 12_000:
        harness.tick(40)
        calls.step()
        if len(calls.in_flight) % 10 == 0:
            request = harness.request(AT_MOST_ONCE, deadline_at=harness.now + 3900)
            harness.step(request)
            if harness.actions_of(StartRun, request.id):
                harness.step(CallRequested(request.id))
    assert calls.started_count >= 2
    window_ticks = 125  # 5 s of 40 ms ticks
    in_flight = calls.in_flight
    means = [sum(in_flight[i : i + window_ticks]) / window_ticks for i in range(len(in_flight) - window_ticks)]
    assert max(means) < 0.43


def test_one_slow_run_does_not_block_its_class_permanently(make_harness):
    """The first run of a class takes twice its objective; later runs are still admitted and correct the estimate."""
    harness = make_harness()
    harness.step(first := harness.request())
    harness.step(RunCompleted(first.id, Outcome.OK, 2000.0), at=2000.0)
    for n in range(20):
        harness.step(request := harness.request(), at=harness.now + 50.0)
        assert harness.actions_of(StartRun, request.id), n
        harness.step(RunCompleted(request.id, Outcome.OK, 40.0), at=harness.now + 40.0)
    assert harness.state.run_estimates.core_ms[0] < 200.0


@pytest.mark.parametrize(("time_left_ms", "is_started"), [(750.0, True), (650.0, False)])
def test_queued_request_starts_if_70_percent_of_its_objective_is_left(make_harness, time_left_ms, is_started):
    harness = make_harness(cores=1)
    harness.step(first := harness.request())
    harness.step(RunCompleted(first.id, Outcome.OK, 2000.0), at=2000.0)
    harness.step(running := harness.request())
    harness.step(queued := harness.request())
    assert harness.actions_of(StartRun, running.id)
    assert not harness.actions_of(StartRun, queued.id)
    assert not harness.final_answers(queued.id)
    harness.step(RunCompleted(running.id, Outcome.OK, 2000.0), at=3000.0 - time_left_ms)
    assert bool(harness.actions_of(StartRun, queued.id)) is is_started
    assert len(harness.final_answers(queued.id)) == (not is_started)
