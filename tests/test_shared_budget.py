"""Tests of the decision module while a worker host has two processes: shared budget, estimates and shutdown."""

from lapispick import admission

GAUGES = (*admission.PEER_GAUGES, "core_use", "on_cores")


def start_requests(harness, count, **peer_gauges):
    """Send requests to a harness whose peer reports these gauges; return how many runs were started."""
    peer = [peer_gauges.get(name, 0.0) for name in admission.PEER_GAUGES]
    harness.step(admission.TimerFired(0, (*peer, 0.1, 1.0)))
    harness.step(*(harness.request() for _ in range(count)))
    return len(harness.actions_of(admission.StartRun))


def test_peer_runs_reduce_the_slots_to_no_less_than_half(make_harness):
    assert start_requests(make_harness(gauges=GAUGES, cores=8), 30) == 12
    assert start_requests(make_harness(gauges=GAUGES, cores=8), 30, other_runs=4.0) == 8
    assert start_requests(make_harness(gauges=GAUGES, cores=8), 30, other_runs=40.0) == 6


def test_peer_memory_counts_in_full(make_harness):
    harness = make_harness(gauges=GAUGES, memory_kb=1000)
    assert start_requests(harness, 2, other_kb=900.0) == 0
    assert harness.actions_of(admission.Reject)[0].retry_after_ms > 0  # the second request does not fit
    assert start_requests(make_harness(gauges=GAUGES, memory_kb=1000), 2) == 2


def test_peer_calls_reduce_the_downstream_limit_to_no_less_than_half(make_harness):
    def count_calls(**peer_gauges):
        harness = make_harness(gauges=GAUGES, cores=20, call_quota=20.0)
        run_count = start_requests(harness, 20, **peer_gauges)
        harness.step(*(admission.CallRequested(request_id) for request_id in range(1, run_count + 1)))
        return len(harness.actions_of(admission.StartCall))

    assert count_calls() == 12
    assert count_calls(other_calls=4.0) == 8
    assert count_calls(other_calls=40.0) == 6


def test_estimates_of_one_process_are_adopted_by_its_successor(make_harness):
    old = make_harness()
    for _ in range(40):
        request = old.request()
        old.step(request)
        old.step(admission.RunCompleted(request.id, admission.Outcome.OK, 77.0), at=old.now + 77)
    learned = old.controller.learned_estimates()
    new = make_harness()
    new.controller.adopt(learned)
    assert abs(new.state.run_estimates.core_ms[0] - 77.0) < 1
    assert new.controller.learned_estimates() == learned
    with_own_estimate = make_harness()
    request = with_own_estimate.request()
    with_own_estimate.step(request)
    with_own_estimate.step(admission.RunCompleted(request.id, admission.Outcome.OK, 5.0), at=5.0)
    with_own_estimate.controller.adopt(learned)
    assert with_own_estimate.state.run_estimates.core_ms[0] == 5.0  # its own estimate is kept
    fewer_classes = make_harness(classes=make_harness().settings.classes[:2])
    fewer_classes.controller.adopt(learned)
    assert not any(fewer_classes.state.run_estimates.runs)  # estimates of other classes are ignored


def test_a_shutdown_with_hand_over_rejects_nothing_and_answers_all_requests_in_time(make_harness):
    harness = make_harness(drain_grace_ms=500)
    harness.step(admission.ShutdownRequested(3000.0, handed_over=True))
    harness.tick(1000)
    late = harness.request()
    harness.step(late)
    assert harness.actions_of(admission.StartRun, late.id)
    assert not [action for action in harness.actions_of(admission.SetHealth) if not action.healthy]
    harness.tick(1990)
    assert harness.final_answers(late.id)
    assert not [action for action in harness.actions_of(admission.Advertise) if action.value >= 1]
    alone = make_harness(drain_grace_ms=500)
    alone.step(admission.ShutdownRequested(3000.0))
    alone.tick(1000)
    late = alone.request()
    alone.step(late)
    assert alone.actions_of(admission.Reject, late.id)
    assert [action for action in alone.actions_of(admission.SetHealth) if not action.healthy]
