"""Calls in a burst: a skippable call waits for capacity for a short time, and required calls start first."""

import pytest

from lapispick import admission
from tests.controller_harness import KEYED, SKIPPABLE


def at_call_limit(make_harness, **over):
    """Return a harness whose call limit is reached, and the ids of the requests with calls; a call takes 10 ms."""
    harness = make_harness(cores=40, call_quota=10.0, **over)
    for _ in range(30):  # the module learns what a call usually takes
        request = harness.request(class_index=SKIPPABLE)
        harness.step(request)
        harness.step(admission.CallRequested(request.id))
        harness.step(admission.CallCompleted(request.id, admission.Outcome.OK, 10.0), at=harness.now + 10)
        harness.step(admission.RunCompleted(request.id, admission.Outcome.OK, 30.0), at=harness.now + 5)
    in_call = []
    while harness.state.downstream.has_capacity():
        request = harness.request(class_index=SKIPPABLE)
        harness.step(request, at=harness.now + 0.01)
        harness.step(admission.CallRequested(request.id))
        in_call.append(request.id)
    return harness, in_call


def request_with_call(harness, class_index=SKIPPABLE):
    """Step a request up to its call, and return its id."""
    request = harness.request(class_index=class_index)
    harness.step(request)
    harness.step(admission.CallRequested(request.id))
    return request.id


def test_waiting_skippable_call_starts_when_another_call_completes(make_harness):
    harness, in_call = at_call_limit(make_harness)
    read = request_with_call(harness)
    assert not harness.actions_of(admission.StartCall, read)
    assert not harness.actions_of(admission.SkipCall, read)
    harness.step(admission.CallCompleted(in_call[0], admission.Outcome.OK, 10.0), at=harness.now + 8)
    assert harness.actions_of(admission.StartCall, read)
    assert not harness.actions_of(admission.SkipCall, read)


@pytest.mark.parametrize(("wait_ms", "skipped"), [(15.0, False), (25.0, True)])
def test_skippable_call_is_skipped_after_waiting_two_call_times(make_harness, wait_ms, skipped):
    harness, _ = at_call_limit(make_harness)
    read = request_with_call(harness)
    harness.step(at=harness.now + wait_ms)
    assert bool(harness.actions_of(admission.SkipCall, read)) is skipped
    assert not harness.actions_of(admission.StartCall, read)


def test_required_call_starts_before_waiting_skippable_ones(make_harness):
    harness, in_call = at_call_limit(make_harness)
    read, write = request_with_call(harness), request_with_call(harness, KEYED)
    harness.step(admission.CallCompleted(in_call[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert harness.actions_of(admission.StartCall, write)
    assert not harness.actions_of(admission.StartCall, read)


def test_cancelled_request_makes_no_call(make_harness):
    harness, in_call = at_call_limit(make_harness)
    first, second = request_with_call(harness), request_with_call(harness)
    harness.step(admission.ClientCancelled(first), admission.RunCompleted(first, admission.Outcome.CANCELLED, 0.0))
    harness.step(admission.CallCompleted(in_call[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert not harness.actions_of(admission.StartCall, first)
    assert not harness.actions_of(admission.SkipCall, first)
    assert harness.actions_of(admission.StartCall, second)


def test_waiting_skippable_calls_are_bounded_by_the_requests_in_flight(make_harness):
    harness, _ = at_call_limit(make_harness)
    for _ in range(200):
        request_with_call(harness)
    assert len(harness.state.downstream.degradable_waiting) <= len(harness.state.requests)
    harness.tick(100)
    assert not harness.state.downstream.degradable_waiting


def test_skippable_call_does_not_wait_while_calls_are_slow(make_harness):
    harness, in_call = at_call_limit(make_harness)
    for request_id in in_call[:5]:  # five calls take five times as long: the dependency is overloaded
        harness.step(admission.CallCompleted(request_id, admission.Outcome.OK, 50.0), at=harness.now + 1)
    while harness.state.downstream.has_capacity():
        request_with_call(harness)
    assert harness.actions_of(admission.SkipCall, request_with_call(harness))
