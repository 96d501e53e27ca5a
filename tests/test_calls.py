"""Calls in a burst: a skippable call waits for capacity a little while, required calls go first."""

import pytest

from lapispick import admission
from tests.controller_harness import KEYED, SKIPPABLE


def at_call_limit(make_harness, **over):
    """Return a harness whose limit of calls is used up, and the ids that use it; a call usually takes 10 ms."""
    harness = make_harness(cores=40, call_quota=10.0, **over)
    for _ in range(30):  # what a call usually takes
        one = harness.request(class_index=SKIPPABLE)
        harness.step(one)
        harness.step(admission.CallRequested(one.id))
        harness.step(admission.CallCompleted(one.id, admission.Outcome.OK, 10.0), at=harness.now + 10)
        harness.step(admission.RunCompleted(one.id, admission.Outcome.OK, 30.0), at=harness.now + 5)
    taken = []
    while harness.state.downstream.has_capacity():
        one = harness.request(class_index=SKIPPABLE)
        harness.step(one, at=harness.now + 0.01)
        harness.step(admission.CallRequested(one.id))
        taken.append(one.id)
    return harness, taken


def request_with_call(harness, class_index=SKIPPABLE):
    one = harness.request(class_index=class_index)
    harness.step(one)
    harness.step(admission.CallRequested(one.id))
    return one.id


def test_waiting_skippable_call_starts_when_another_call_completes(make_harness):
    harness, taken = at_call_limit(make_harness)
    read = request_with_call(harness)
    assert not harness.actions_of(admission.StartCall, read)
    assert not harness.actions_of(admission.SkipCall, read)
    harness.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=harness.now + 8)
    assert harness.actions_of(admission.StartCall, read)
    assert not harness.actions_of(admission.SkipCall, read)


@pytest.mark.parametrize(("after", "gone"), [(15.0, False), (25.0, True)])
def test_skippable_call_is_skipped_after_waiting_two_call_times(make_harness, after, gone):
    harness, _ = at_call_limit(make_harness)
    read = request_with_call(harness)
    harness.step(at=harness.now + after)
    assert bool(harness.actions_of(admission.SkipCall, read)) is gone
    assert not harness.actions_of(admission.StartCall, read)


def test_required_call_starts_before_waiting_skippable_ones(make_harness):
    harness, taken = at_call_limit(make_harness)
    read, write = request_with_call(harness), request_with_call(harness, KEYED)
    harness.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert harness.actions_of(admission.StartCall, write)
    assert not harness.actions_of(admission.StartCall, read)


def test_cancelled_request_makes_no_call(make_harness):
    harness, taken = at_call_limit(make_harness)
    read, next_one = request_with_call(harness), request_with_call(harness)
    harness.step(admission.ClientCancelled(read), admission.RunCompleted(read, admission.Outcome.CANCELLED, 0.0))
    harness.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=harness.now + 1)
    assert not harness.actions_of(admission.StartCall, read)
    assert not harness.actions_of(admission.SkipCall, read)
    assert harness.actions_of(admission.StartCall, next_one)


def test_waiting_skippable_calls_are_bounded_by_the_requests_in_flight(make_harness):
    harness, _ = at_call_limit(make_harness)
    for _ in range(200):
        request_with_call(harness)
    assert len(harness.state.downstream.degradable_waiting) <= len(harness.state.requests)
    harness.tick(100)
    assert not harness.state.downstream.degradable_waiting


def test_skippable_call_does_not_wait_while_calls_are_slow(make_harness):
    harness, taken = at_call_limit(make_harness)
    for n in taken[:5]:  # the dependency is crowded: five calls take five times as long
        harness.step(admission.CallCompleted(n, admission.Outcome.OK, 50.0), at=harness.now + 1)
    while harness.state.downstream.has_capacity():
        request_with_call(harness)
    assert harness.actions_of(admission.SkipCall, request_with_call(harness))
