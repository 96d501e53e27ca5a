"""Calls in a burst: a read waits a little for room, writes go first, and what waits too long goes without."""

import pytest

from lapispick import admission

READ, WRITE = 3, 1  # a class whose calls can be left out, and one whose can't


def crowded(rig, **over):
    """Return a rig whose limit of calls is taken, the calls' usual time being 10 ms, and the ids that took it."""
    r = rig(cores=40, call_quota=10.0, **over)
    for _ in range(30):  # what a call usually takes
        one = r.request(cls=READ)
        r.step(one)
        r.step(admission.CallRequested(one.id))
        r.step(admission.CallCompleted(one.id, admission.Outcome.OK, 10.0), at=r.now + 10)
        r.step(admission.RunCompleted(one.id, admission.Outcome.OK, 30.0), at=r.now + 5)
    taken = []
    while r.control.calls.room():
        one = r.request(cls=READ)
        r.step(one, at=r.now + 0.01)
        r.step(admission.CallRequested(one.id))
        taken.append(one.id)
    return r, taken


def needing(r, cls=READ):
    one = r.request(cls=cls)
    r.step(one)
    r.step(admission.CallRequested(one.id))
    return one.id


def test_a_read_gets_the_call_of_one_that_ends_within_two_calls_time(rig):
    r, taken = crowded(rig)
    read = needing(r)
    assert not r.of(admission.StartCall, read) and not r.of(admission.SkipCall, read)
    r.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=r.now + 8)
    assert r.of(admission.StartCall, read) and not r.of(admission.SkipCall, read)


@pytest.mark.parametrize("after,gone", [(15.0, False), (25.0, True)])
def test_a_read_that_waited_two_calls_time_goes_without(rig, after, gone):
    r, _ = crowded(rig)
    read = needing(r)
    r.step(at=r.now + after)
    assert bool(r.of(admission.SkipCall, read)) is gone and not r.of(admission.StartCall, read)


def test_a_write_goes_before_reads_that_wait(rig):
    r, taken = crowded(rig)
    read, write = needing(r), needing(r, WRITE)
    r.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=r.now + 1)
    assert r.of(admission.StartCall, write) and not r.of(admission.StartCall, read)


def test_a_read_that_was_given_up_while_it_waited_makes_no_call(rig):
    r, taken = crowded(rig)
    read, next_one = needing(r), needing(r)
    r.step(admission.ClientCancelled(read), admission.RunCompleted(read, admission.Outcome.CANCELLED, 0.0))
    r.step(admission.CallCompleted(taken[0], admission.Outcome.OK, 10.0), at=r.now + 1)
    assert (
        not r.of(admission.StartCall, read)
        and not r.of(admission.SkipCall, read)
        and r.of(admission.StartCall, next_one)
    )


def test_what_waits_is_bounded_by_what_runs(rig):
    r, _ = crowded(rig)
    for _ in range(200):
        needing(r)
    assert len(r.control.calls.hopeful) <= len(r.control.entries)
    r.tick(100)
    assert not r.control.calls.hopeful


def test_nobody_waits_where_calls_are_slower_than_usual(rig):
    r, taken = crowded(rig)
    for n in taken[:5]:  # the dependency is crowded: five calls take five times as long
        r.step(admission.CallCompleted(n, admission.Outcome.OK, 50.0), at=r.now + 1)
    while r.control.calls.room():
        needing(r)
    assert r.of(admission.SkipCall, needing(r))
