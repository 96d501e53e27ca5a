"""The sequential test and the canary analysis, from slices of drawn metrics."""

import random

import msgspec
import pytest

from lapispick.rollout import (
    evidence,
    metrics,
)
from lapispick.rollout.canary_analysis import Bounds, CanaryAnalysis, Outcome
from lapispick.rollout.evidence import Series


def test_evidence_rarely_passes_without_a_difference_and_grows_with_one():
    rng, passed = random.Random(1), 0
    for _ in range(400):
        run, ever = Series(), False
        for _ in range(100):
            run.add(rng.gauss(0, 1))
            ever |= evidence.log_evidence(run.total, run.count, 1.0) >= 2.9957  # log 20
        passed += ever
    assert passed / 400 < 0.05
    run = Series()
    for _ in range(100):
        run.add(rng.gauss(0.8, 1))
    assert evidence.log_evidence(run.total, run.count, 1.0) > 10
    assert evidence.log_evidence(-run.total, run.count, 1.0) < 0
    assert abs(run.mean - 0.8) < evidence.confidence_radius(run.count, run.count, 1.0, 0.05)


def slices(rng, worse, names, n=40):
    made = {}
    for name in names:
        refused = sum(rng.random() < 0.05 + worse.get(name, 0.0) for _ in range(n))
        book = metrics.ClassCounts(n, refused, 0, 0, float(n - refused), {16.0: n})
        made[name] = metrics.Slice(name, 1.0, {"book": book}, n - refused, 30_000)
    return made


@pytest.mark.parametrize(
    ("worse", "outcome"), [({"a": 0.0}, Outcome.GOOD), ({"a": 0.3}, Outcome.WORSE), ({"b": 0.3}, None)]
)
def test_only_changed_hosts_that_do_worse_are_worse(worse, outcome):
    rng, analysis = random.Random(2), CanaryAnalysis(Bounds(), {"a": 1, "b": 1, "c": 2})
    for _ in range(60):
        analysis.add_baseline(["a"], ["b"], slices(rng, {}, "ab"))
    assert analysis.verdict().outcome is Outcome.UNSURE
    for _ in range(100):
        analysis.add_canary(["a"], ["b"], slices(rng, worse, "ab"))
    found = analysis.verdict()
    assert found.outcome is outcome if outcome else found.outcome is not Outcome.WORSE
    assert found.results
    assert all(row.low <= row.mean <= row.high for row in found.results)


def test_all_requests_of_a_class_with_few_requests_count():
    rng, analysis = random.Random(9), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(400):
        (analysis.add_baseline if n < 100 else analysis.add_canary)(
            ["a"], ["b"], slices(rng, {"a": 0.4} if n >= 100 else {}, "ab", n=2)
        )
    found = analysis.verdict()
    assert found.outcome is Outcome.WORSE
    assert {row.slices for row in found.results if "book" in row.metric} == {100}


def test_a_difference_from_before_the_change_does_not_count():
    rng, analysis = random.Random(6), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        (analysis.add_baseline if n < 60 else analysis.add_canary)(["a"], ["b"], slices(rng, {"a": 0.2}, "ab"))
    assert analysis.verdict().outcome is not Outcome.WORSE


def test_hosts_of_different_kinds_are_never_compared():
    rng, analysis = random.Random(2), CanaryAnalysis(Bounds(), {"a": 1, "c": 2})
    for _ in range(50):
        analysis.add_canary(["a"], ["c"], slices(rng, {"a": 0.5}, "ac"))
    assert analysis.verdict() == (Outcome.UNSURE, "there is nothing to compare with", ())


def test_metrics_of_another_process_make_no_slice():
    lines = [
        "app.success.book:5|c",
        "app.busy.book:1|c",
        "app.took.book.16:6|c",
        "app.memory_kb:9|g",
        "app.generation.ab:1|g",
        "END",
    ]
    was = metrics.decode_sample(lines, 1.0)
    now = metrics.decode_sample([lines[0].replace(":5", ":9"), *lines[1:]], 2.0)
    assert metrics.slice_between("x", was, now).classes["book"][:2] == (4, 0)
    assert was.generation == "ab"
    again = msgspec.structs.replace(was, at=3.0)
    assert metrics.slice_between("x", now, was) is None
    assert metrics.slice_between("x", now, again) is None
    for bad in (["x"], ["app.a:1|c"], ["app.a:-1|c", "END"]):
        with pytest.raises(ValueError):
            metrics.decode_sample(bad, 1.0)


def test_memory_that_grows_slowly_is_worse_far_below_its_limit():
    rng, analysis = random.Random(3), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        now = slices(rng, {}, "ab")
        if n < 60:
            analysis.add_baseline(["a"], ["b"], now)
            continue
        leak = (n - 60) * 400  # kB; a fifth of the limit in 100 slices
        analysis.add_canary(["a"], ["b"], {**now, "a": now["a"]._replace(memory_kb=30_000 + leak + rng.randrange(500))})
    found = analysis.verdict()
    assert found.outcome is Outcome.WORSE
    assert found.reason.startswith("memory")


def test_unchanged_hosts_that_get_worse_prevent_good_and_stop_nothing():
    rng, analysis = random.Random(4), CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        both = {"a": 0.15, "b": 0.15} if n >= 60 else {}
        (analysis.add_baseline if n < 60 else analysis.add_canary)(["a"], ["b"], slices(rng, both, "ab"))
    found = analysis.verdict()
    assert found.outcome is Outcome.UNSURE
    assert "that stay as they are got worse" in found.reason
