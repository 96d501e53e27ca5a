"""Tests of the comparison of two traces: where they diverge, and the decisions on each side."""

from lapispick import admission
from lapispick.trace import comparing
from tests.trace_support import class_name, mixed_steps, request_step

STEPS = mixed_steps()


def test_the_first_divergence_and_the_decisions_of_both_sides_are_found():
    rejection = admission.Reject(2, 5.0, True, "price")
    other = [step._replace(actions=(rejection,)) if step.now == 200 else step for step in STEPS]
    left, right = comparing.DecisionCounter(class_name), comparing.DecisionCounter(class_name)

    def on_pair(left_step, right_step):
        left.add(left_step, left_step.actions)
        right.add(right_step, right_step.actions)

    divergence = comparing.first_divergence(STEPS, other, on_pair)
    assert divergence.step == 5
    assert divergence.field == "actions"
    assert divergence.left == "(Run(id=2),)"
    comparing.estimate_priority_weights(left.by_class, right.by_class, {"track": 2.0, "book": 5.0})
    assert left.by_class["book"].runs == 1
    assert right.by_class["book"].rejected == 1
    assert right.by_class["book"].priority_weight == 0.0
    assert right.by_class["track"].priority_weight == 2.0
    assert right.rejection_reasons == {"price": 1}
    assert comparing.first_divergence(STEPS, STEPS, on_pair) is None
    assert comparing.first_divergence(STEPS, STEPS[:-1], on_pair).field == "end"


def test_the_number_of_requests_with_a_stored_class_is_bounded(monkeypatch):
    monkeypatch.setattr(comparing, "MAX_KNOWN_REQUESTS", 100)
    decisions = comparing.DecisionCounter(class_name)
    for number in range(1, 1000):
        decisions.add(request_step(number, number), (admission.StartRun(number),))
    assert len(decisions._classes) <= 101
    assert decisions.by_class["track"].runs == 999
