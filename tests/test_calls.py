"""Tests bursts of calls: skippable calls wait for capacity for a short time, and required calls start first."""

import pytest

from lapispick import admission
from tests.controller_harness import KEYED, SKIPPABLE


def harness_at_call_limit(make_harness, **settings):
    """Return a harness whose call limit is reached, and the ids of the requests in a call; calls take 10 ms."""
    harness = make_harness(cores=40, call_quota=10.0, **settings)
    for _ in range(30):  # so that the module learns the usual call time
        request = harness.request(class_index=SKIPPABLE)
        harness.step(request)
        harness.step(admission.CallRequested(request.id))
        harness.step(admission.CallCompleted(request.id, admission.Outcome.OK, 10.0), at=harness.now + 10)
        harness.step(admission.RunCompleted(request.id, admission.Outcome.OK, 30.0), at=harness.now + 5)
    calling_ids = []
    while harness.state.downstream.has_capacity():
        request = harness.request(class_index=SKIPPABLE)
        harness.step(request, at=harness.now + 0.01)
        harness.step(admission.CallRequested(request.id))
        calling_ids.append(request.id)
    return harness, calling_ids


def start_request_with_call(harness, class_index=SKIPPABLE):
    """Run a new request until it needs its call, and return its id."""
    request = harness.request(class_index=class_index)
    harness.step(request)
    harness.step(admission.CallRequested(request.id))
    return request.id


def test_waiting_skippable_call_starts_when_another_call_completes(make_harness):
    harness, calling_ids = harness_at_call_limit(make_harness)
    skippable = start_request_with_call(harness)
    assert not harness.actions_of(admission.StartCall, skippable)
    assert not harness.actions_of(admission.SkipCall, skippable)
    harness.step(admission.CallCompleted(calling_ids[0], admission.Outcome.OK, 10.0), at=harness.now + 8)
    assert harness.actions_of(admission.StartCall, skippable)
    assert not harness.actions_of(admission.SkipCall, skippable)


@pytest.mark.parametrize(("wait_ms", "skipped"), [(15.0, False), (25.0, True)])
def test_skippable_call_is_skipped_after_waiting_two_call_times(make_harness, wait_ms, skipped):
    harness, _ = harness_at_call_limit(make_harness)
    skippable = start_request_with_call(harness)
    harness.step(at=harness.now + wait_ms)
    assert bool(harness.actions_of(admission.SkipCall, skippable)) is skipped
    assert not harness.actions_of(admission.StartCall, skippable)


def test_required_call_starts_before_waiting_skippable_ones(make_harness):
    harness, calling_ids = harness_at_call_limit(make_harness)
    skippable = start_request_with_call(harness)
    required = start_request_with_call(harness, KEYED)
    harness.step(admission.CallCompleted(calling_ids[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert harness.actions_of(admission.StartCall, required)
    assert not harness.actions_of(admission.StartCall, skippable)


def test_cancelled_request_makes_no_call(make_harness):
    harness, calling_ids = harness_at_call_limit(make_harness)
    cancelled = start_request_with_call(harness)
    waiting = start_request_with_call(harness)
    harness.step(
        admission.ClientCancelled(cancelled), admission.RunCompleted(cancelled, admission.Outcome.CANCELLED, 0.0)
    )
    harness.step(admission.CallCompleted(calling_ids[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert not harness.actions_of(admission.StartCall, cancelled)
    assert not harness.actions_of(admission.SkipCall, cancelled)
    assert harness.actions_of(admission.StartCall, waiting)


def test_waiting_skippable_calls_are_bounded_by_the_requests_in_flight(make_harness):
    harness, _ = harness_at_call_limit(make_harness)
    for _ in range(200):
        start_request_with_call(harness)
    assert len(harness.state.downstream.degradable_waiting) <= len(harness.state.requests)
    harness.tick(100)
    assert not harness.state.downstream.degradable_waiting


def test_skippable_call_does_not_wait_while_calls_are_slow(make_harness):
    harness, calling_ids = harness_at_call_limit(make_harness)
    for request_id in calling_ids[:5]:  # they take five times as long, as the dependency is overloaded
        harness.step(admission.CallCompleted(request_id, admission.Outcome.OK, 50.0), at=harness.now + 1)
    while harness.state.downstream.has_capacity():
        start_request_with_call(harness)
    assert harness.actions_of(admission.SkipCall, start_request_with_call(harness))
