"""Tests of the records that a cut selects, by time and by request."""

import pytest

from lapispick import admission
from lapispick.trace.record_types import SpansBoundary
from lapispick.trace.selecting import EdgePolicy, Selection, Selector
from tests.trace_support import answer_step, class_name, mixed_steps, request_step

LONGEST_DEADLINE_MS = 4000.0
STEPS = mixed_steps()


def make_selector(selection):
    return Selector(selection, class_name, LONGEST_DEADLINE_MS, lambda step: step.now)


def cut(**criteria):
    selection = Selection(**criteria)
    selector = make_selector(selection)
    since, until = selection.since - selector.margin_ms, selection.until + selector.margin_ms
    return list(selector.run(step for step in STEPS if since <= step.now < until))


def ids_by_step(steps):
    """Return the time of each step and the request ids of its records, events first, without the marks of edges."""
    return [(step.now, *(record.id for record in records_of(step) if hasattr(record, "id"))) for step in steps]


def records_of(step):
    records = (*step.events, *step.actions, *step.notes)
    return [record for record in records if type(record) is not SpansBoundary]


def marks(steps):
    notes = [note for step in steps for note in step.notes if type(note) is SpansBoundary]
    return [(note.id, note.began_before, note.ends_after) for note in notes]


def test_a_cut_has_the_steps_of_its_window_and_marks_requests_across_its_edges():
    steps = cut(since=120.0, until=350.0)
    assert ids_by_step(steps) == [(150, 1), (200, 2), (300, 3, 3), (310,), (320, 3)]
    assert marks(steps) == [(1, True, False), (2, True, True)]


def test_requests_across_the_edges_are_selected_completely_or_left_out_by_policy():
    complete = cut(since=120.0, until=350.0, edges=EdgePolicy.COMPLETE)
    assert ids_by_step(complete) == [
        (0, 1, 1),
        (10, 1),
        (100, 2, 2),
        (150, 1),
        (200, 2),
        (300, 3, 3),
        (310,),
        (320, 3),
        (400, 2),
    ]
    assert not marks(complete)
    assert ids_by_step(cut(since=120.0, until=350.0, edges=EdgePolicy.DROP)) == [(300, 3, 3), (310,), (320, 3)]
    assert cut(since=7000.0, until=8000.0) == []


@pytest.mark.parametrize(
    ("criteria", "selected"),
    [
        (dict(classes=frozenset({"book"})), {2}),
        (dict(accounts=frozenset({"shop"})), {1, 3, 4}),
        (dict(outcomes=frozenset({"refused"})), {3}),
        (dict(outcomes=frozenset({"gone"})), {4}),
        (dict(classes=frozenset({"track"}), outcomes=frozenset({"served"})), {1}),
    ],
)
def test_requests_are_selected_by_class_account_and_outcome(criteria, selected):
    steps = cut(**criteria)
    assert {number for _, *numbers in ids_by_step(steps) for number in numbers} == selected
    # An action that belongs to no request is left out.
    assert not any(type(action) is admission.Advertise for step in steps for action in step.actions)


def test_memory_of_a_cut_does_not_grow_with_the_trace():
    selector = make_selector(Selection(outcomes=frozenset({"served"})))
    max_size = 0

    def steps():
        nonlocal max_size
        for number in range(20_000):
            yield request_step(number * 10.0, number + 1)
            if number % 2:
                yield answer_step(number * 10.0 + 5, number + 1)
            max_size = max(max_size, len(selector._attempts) + len(selector._pending) + len(selector._marked))

    assert sum(1 for _ in selector.run(steps())) == 20_000
    assert max_size < 2500
