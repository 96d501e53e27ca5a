"""The sequential test and the canary analysis, from slices of drawn metrics."""

import random

import msgspec
import pytest

from lapispick.rollout import evidence, metrics
from lapispick.rollout.canary_analysis import Bounds, CanaryAnalysis, Outcome
from lapispick.rollout.evidence import Series

LOG_20 = 2.9957


def test_evidence_is_rare_without_a_difference_and_grows_with_one():
    rng = random.Random(1)
    false_alarms = 0
    for _ in range(400):
        series = Series()
        is_alarm = False
        for _ in range(100):
            series.add(rng.gauss(0, 1))
            is_alarm |= evidence.log_evidence(series.total, series.count, 1.0) >= LOG_20
        false_alarms += is_alarm
    assert false_alarms / 400 < 0.05
    series = Series()
    for _ in range(100):
        series.add(rng.gauss(0.8, 1))
    assert evidence.log_evidence(series.total, series.count, 1.0) > 10
    assert evidence.log_evidence(-series.total, series.count, 1.0) < 0
    assert abs(series.mean - 0.8) < evidence.confidence_radius(series.count, series.count, 1.0, 0.05)


def draw_slices(rng, extra_rejections, names, count=40):
    """Return a slice of each host; so many more of its ``count`` requests are rejected, as a fraction."""
    drawn = {}
    for name in names:
        rejected = sum(rng.random() < 0.05 + extra_rejections.get(name, 0.0) for _ in range(count))
        served = count - rejected
        book = metrics.ClassCounts(count, rejected, 0, 0, float(served), {16.0: count})
        drawn[name] = metrics.Slice(name, 1.0, {"book": book}, served, 30_000)
    return drawn


@pytest.mark.parametrize(
    ("extra_rejections", "outcomes"),
    [
        ({"a": 0.0}, {Outcome.GOOD}),
        ({"a": 0.3}, {Outcome.WORSE}),
        ({"b": 0.3}, set(Outcome) - {Outcome.WORSE}),
    ],
)
def test_only_changed_hosts_that_do_worse_are_worse(extra_rejections, outcomes):
    rng = random.Random(2)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "b": 1, "c": 2})
    for _ in range(60):
        analysis.add_baseline(["a"], ["b"], draw_slices(rng, {}, "ab"))
    assert analysis.verdict().outcome is Outcome.INCONCLUSIVE
    for _ in range(100):
        analysis.add_canary(["a"], ["b"], draw_slices(rng, extra_rejections, "ab"))
    verdict = analysis.verdict()
    assert verdict.outcome in outcomes
    assert verdict.results
    for result in verdict.results:
        assert result.low <= result.mean <= result.high


def test_all_requests_of_a_class_with_few_requests_count():
    rng = random.Random(9)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(400):
        if n < 100:
            analysis.add_baseline(["a"], ["b"], draw_slices(rng, {}, "ab", count=2))
        else:
            analysis.add_canary(["a"], ["b"], draw_slices(rng, {"a": 0.4}, "ab", count=2))
    verdict = analysis.verdict()
    assert verdict.outcome is Outcome.WORSE
    assert {result.slices for result in verdict.results if "book" in result.metric} == {100}


def test_a_difference_from_before_the_change_does_not_count():
    rng = random.Random(6)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        add_slices = analysis.add_baseline if n < 60 else analysis.add_canary
        add_slices(["a"], ["b"], draw_slices(rng, {"a": 0.2}, "ab"))
    assert analysis.verdict().outcome is not Outcome.WORSE


def test_hosts_of_different_kinds_are_never_compared():
    rng = random.Random(2)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "c": 2})
    for _ in range(50):
        analysis.add_canary(["a"], ["c"], draw_slices(rng, {"a": 0.5}, "ac"))
    assert analysis.verdict() == (Outcome.INCONCLUSIVE, "there is nothing to compare with", ())


def test_metrics_of_another_process_make_no_slice():
    lines = [
        "app.success.book:5|c",
        "app.busy.book:1|c",
        "app.took.book.16:6|c",
        "app.memory_kb:9|g",
        "app.generation.ab:1|g",
        "END",
    ]
    earlier = metrics.decode_sample(lines, 1.0)
    later = metrics.decode_sample([lines[0].replace(":5", ":9"), *lines[1:]], 2.0)
    assert metrics.slice_between("x", earlier, later).classes["book"][:2] == (4, 0)
    assert earlier.generation == "ab"
    restarted = msgspec.structs.replace(earlier, at=3.0)
    assert metrics.slice_between("x", later, earlier) is None
    assert metrics.slice_between("x", later, restarted) is None
    for malformed_lines in (["x"], ["app.a:1|c"], ["app.a:-1|c", "END"]):
        with pytest.raises(ValueError):
            metrics.decode_sample(malformed_lines, 1.0)


def test_memory_that_grows_slowly_is_worse_far_below_its_limit():
    rng = random.Random(3)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        now = draw_slices(rng, {}, "ab")
        if n < 60:
            analysis.add_baseline(["a"], ["b"], now)
            continue
        leak = (n - 60) * 400  # kB; a fifth of the limit in 100 slices
        analysis.add_canary(["a"], ["b"], {**now, "a": now["a"]._replace(memory_kb=30_000 + leak + rng.randrange(500))})
    verdict = analysis.verdict()
    assert verdict.outcome is Outcome.WORSE
    assert verdict.reason.startswith("memory")


def test_unchanged_hosts_that_get_worse_make_the_verdict_unsure():
    rng = random.Random(4)
    analysis = CanaryAnalysis(Bounds(), {"a": 1, "b": 1})
    for n in range(160):
        both = {"a": 0.15, "b": 0.15} if n >= 60 else {}
        (analysis.add_baseline if n < 60 else analysis.add_canary)(["a"], ["b"], draw_slices(rng, both, "ab"))
    verdict = analysis.verdict()
    assert verdict.outcome is Outcome.INCONCLUSIVE
    assert "that stay as they are got worse" in verdict.reason
