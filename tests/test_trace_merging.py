"""Tests of merging traces: order of steps, sources, clocks, and the sample of attempts for clock estimates."""

import random

import pytest

from lapispick.trace import attempt_matching, merging
from lapispick.trace.clock_skew import Clock, UnknownClock
from lapispick.trace.record_types import Step
from lapispick.trace.step_times import step_time
from tests.trace_support import answer_step, make_header, request_step


def merge(*streams):
    return list(merging.merge(streams, lambda step: step.now))


def test_steps_are_merged_by_time_and_never_reordered_within_an_incarnation():
    first = [Step(now) for now in (0.0, 5.0, 3.0, 6.0)]  # its clock is set back
    second = [Step(now, source_index=1) for now in (1.0, 5.0, 5.5)]
    assert [(step.now, step.source_index) for step in merge(first, second)] == [
        (0, 0),
        (1, 1),
        (5, 0),
        (3, 0),
        (5, 1),
        (5.5, 1),
        (6, 0),
    ]
    for seed in range(50):
        rng = random.Random(seed)
        streams = [
            [Step(rng.uniform(0, 100), source_index=source) for _ in range(rng.randrange(9))] for source in range(3)
        ]
        steps = merge(*streams)
        by_source = [[step for step in steps if step.source_index == source] for source in range(3)]
        assert by_source == streams, seed


def test_files_of_one_incarnation_share_a_source_and_known_clocks_are_corrected():
    headers = [make_header(sequence=0), make_header(sequence=1), make_header("b"), make_header(incarnation="2")]
    sources, positions = merging.merge_sources([header.sources for header in headers])
    assert [(source.box, source.incarnation) for source in sources] == [("a", "1"), ("b", "1"), ("a", "2")]
    assert positions == [[0], [0], [1], [2]]
    clocks = {"a": Clock(0.0, 0.0, 0.0, 0.0, 9, True), "b": UnknownClock("no shared subject")}
    assert merging.apply_clocks(sources, clocks) == ["b: no shared subject"]
    merging.apply_clocks(sources, {"b": Clock(1000.0, 2.0, 50_000.0, 3.0, 9, True)})
    assert step_time(sources, Step(51_000.0, source_index=1)) == 50_000.0
    assert step_time(sources, Step(61_000.0, source_index=1)) == pytest.approx(59_980.0)


def request_and_answer_steps(subjects):
    for number, subject in enumerate(subjects):
        yield request_step(number, number + 1, 1, subject=subject)
        yield answer_step(number, number + 1)


def test_the_sample_of_attempts_has_the_same_subjects_at_all_hosts():
    rng = random.Random(3)
    subjects = [rng.randbytes(8) for _ in range(3000)]
    attempts = [
        list(attempt_matching.answered_attempts(make_header(host).sources, request_and_answer_steps(subjects)))
        for host in "ab"
    ]
    sample = attempt_matching.sample_attempts(attempts, 1000)
    assert 300 < len(sample) <= 1000
    at_a, at_b = ({attempt.subject for attempt in sample if attempt.host == host} for host in "ab")
    assert at_b <= at_a
