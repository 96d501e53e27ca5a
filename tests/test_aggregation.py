"""Tests of the summary of a trace: retries, late answers, weights, windows, several hosts, and bounded memory."""

import random

import pytest

from benchmarks import reference_aggregation
from lapispick import admission
from lapispick.trace.aggregation import Aggregator, SourceInfo
from lapispick.trace.block_reader import Block
from lapispick.trace.block_writer import encode_block
from lapispick.trace.record_types import Answered, Arrival, Gap, Step
from tests.controller_harness import make_class
from tests.trace_support import answer_step, make_request, request_step

CLASSES = (
    ("track", make_class(latency_objective_ms=1000, priority_weight=2, late_weight=0.5, degraded_weight=0.25)),
    ("book", make_class(idempotency=admission.Idempotency.KEYED, priority_weight=5, idempotency_window_ms=5000)),
)
TRACK = 0
BOOK = 1
ONE_SOURCE = [SourceInfo(CLASSES)]
TWO_SOURCES = [SourceInfo(CLASSES), SourceInfo(CLASSES, offset=1000.0, drift=0.05, at=2000.0)]


def make_blocks(steps, size=1000):
    return [Block(b"".join(encode_block(steps[at : at + size]))) for at in range(0, len(steps), size)]


def aggregate(*steps, sources=ONE_SOURCE, size=1000):
    aggregator = Aggregator(sources)
    for block in make_blocks(steps, size):
        aggregator.add(block)
    return aggregator.finish()


def test_a_retry_counts_for_the_request_that_it_repeats():
    summary = aggregate(
        request_step(0, 1, BOOK),
        answer_step(500, 1, "refused"),
        request_step(700, 2, BOOK, retry_of=1),
        answer_step(900, 2),
    )
    assert summary.total.requests == 1
    assert summary.total.attempts == 2
    assert summary.total.served_weight == 5
    assert summary.total.rejected == 0
    summary = aggregate(
        request_step(0, 1, BOOK),
        answer_step(10, 1, "served"),
        request_step(700, 2, BOOK, retry_of=1),
        answer_step(900, 2, "failed"),
    )
    assert summary.total.served_weight == 5
    assert summary.total.failed == 0


@pytest.mark.parametrize(("answered_at", "weight"), [(900, 2), (1500, 1)])
def test_an_answer_after_the_latency_objective_has_the_late_weight(answered_at, weight):
    summary = aggregate(request_step(100, 1, age=100.0), answer_step(answered_at, 1))
    assert summary.classes["track"].served_weight == weight
    assert summary.accounts["shop"].offered_weight == 2
    assert summary.classes["track"].late == (weight == 1)
    assert summary.classes["book"].requests == 0


def test_an_answer_without_its_call_has_the_degraded_weight():
    summary = aggregate(request_step(0, 1), Step(5, (), (admission.SkipCall(1),)), answer_step(9, 1))
    assert summary.total.served_weight == 0.5
    assert summary.total.degraded == 1


def test_queue_times_run_durations_windows_and_cancellations_are_counted():
    summary = aggregate(
        request_step(0, 1),
        Step(40, (), (admission.StartRun(1),)),
        Step(90, (admission.RunCompleted(1, admission.Outcome.OK, 50.0),)),
        answer_step(90, 1),
        request_step(10_100, 2),
        Step(10_200, (admission.ClientCancelled(2),)),
        answer_step(10_250, 2),
        request_step(10_300, 3),
        Step(10_400, (), (), (Gap(7),)),
    )
    assert summary.queue_times["track"].count == 1
    assert summary.queue_times["track"].p50 == 40
    assert summary.run_durations["track"].maximum == 50
    assert {begin: totals.requests for begin, totals in summary.windows.items()} == {"0": 1, "10000": 2}
    assert summary.total.unanswered == 2
    assert summary.lost_steps == 7
    assert summary.worst_windows == ["10000", "0"]


def test_an_attempt_marked_as_a_retry_of_itself_or_of_a_later_attempt_is_a_new_request():
    summary = aggregate(Step(0, (make_request(1, TRACK, 1), make_request(2, TRACK, 3), make_request(3))))
    assert summary.total.requests == 3
    assert summary.total.attempts == 3


def test_rejections_are_counted_by_reason():
    rejections = (
        admission.Reject(1, 5.0, True, "price"),
        admission.Reject(2, 5.0, True),
        admission.Reject(3, 5.0, True, "price"),
    )
    summary = aggregate(request_step(0, 1), Step(1, (), rejections))
    assert summary.rejection_reasons == {"not told": 1, "price": 2}


def without_subjects(step):
    notes = tuple(note._replace(subject=b"") if type(note) is Arrival else note for note in step.notes)
    return step._replace(notes=notes)


def test_attempts_of_one_subject_at_two_hosts_are_one_request_with_corrected_times():
    # The second host's clock is about a second ahead: its 1700 ms are about 715 ms by the reference clock, which is
    # within the latency objective.
    steps = (
        request_step(100, 1, BOOK, subject=b"s"),
        answer_step(400, 1, "refused"),
        request_step(1600, 7, BOOK, subject=b"s", source_index=1),
        answer_step(1700, 7, source_index=1),
    )
    summary = aggregate(*steps, sources=TWO_SOURCES)
    assert summary.total.requests == 1
    assert summary.total.attempts == 2
    assert summary.total.within_objective == 1
    separate = aggregate(*map(without_subjects, steps), sources=TWO_SOURCES)
    assert separate.total.requests == 2
    assert separate.total.rejected == 1


def test_records_that_contradict_the_header_or_their_order_are_rejected():
    with pytest.raises(ValueError, match="expected increasing request ids, got 1 after 2"):
        aggregate(request_step(0, 2), request_step(1, 1))
    with pytest.raises(ValueError, match="source is not listed in the header: expected 0 <= index < 1, got 1"):
        aggregate(request_step(0, 1, source_index=1))
    with pytest.raises(ValueError, match="class number is not listed in the header: expected 0 <= number < 2, got 7"):
        aggregate(request_step(0, 1, class_index=7))


class RandomTrace:
    """Random steps of two hosts, whose clocks are set back and whose records refer to old or unknown requests."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._now = 0.0
        self._last_ids = [0, 0]  # by source: id of its last request

    def steps(self, count=250):
        return [self._step() for _ in range(count)]

    def _step(self):
        rng = self._random
        self._now += rng.choice((0, 1, 30, 300, 2000))
        source = rng.randrange(2)
        events, actions, notes = [], [], []
        for _ in range(rng.randrange(4)):
            self._add_record(source, events, actions, notes)
        clock_ms = self._now + (1000 if source else 0) - (rng.uniform(0, 200) if rng.random() < 0.1 else 0)
        return Step(clock_ms, tuple(events), tuple(actions), tuple(notes), source)

    def _add_record(self, source, events, actions, notes):
        rng, last_ids = self._random, self._last_ids
        # Most ids are recent; some are of requests that are too old to be counted, and some of none.
        request_id = rng.randint(max(0, last_ids[source] - 12) if rng.random() < 0.8 else 0, last_ids[source]) or 10**6
        kind = rng.randrange(8)
        if kind < 3:
            self._add_request(source, request_id, events, notes)
        elif kind == 3:
            events.append(admission.ClientCancelled(request_id))
        elif kind == 4:
            duration = rng.uniform(0, 8000) * rng.choice((1, 1, 20))
            events.append(admission.RunCompleted(request_id, rng.choice(list(admission.Outcome)), duration))
        elif kind == 5:
            choices = (
                admission.StartRun(request_id),
                admission.SkipCall(request_id),
                admission.Reject(request_id, 1.0, True, "late"),
            )
            actions.append(rng.choice(choices))
        else:
            notes.append(Answered(request_id, rng.choice(("served", "refused", "failed", "new")), 1.0))

    def _add_request(self, source, request_id, events, notes):
        rng, last_ids = self._random, self._last_ids
        last_ids[source] += 1
        keyed = rng.random() < 0.5
        retry_of = request_id if rng.random() < 0.3 else 0
        events.append(make_request(last_ids[source], int(keyed), retry_of, rng.uniform(0, 9)))
        if rng.random() < 0.9:
            account = rng.choice(("", "a", "b"))
            notes.append(Arrival(last_ids[source], account, bytes([rng.randrange(40)]) * keyed, self._now))


def check_percentiles(percentiles, durations):
    assert percentiles.count == len(durations)
    assert percentiles.maximum == pytest.approx(max(map(round, durations), default=0), rel=2e-3, abs=1)


@pytest.mark.parametrize("seed", range(6))
def test_blocks_of_any_size_give_the_summary_of_the_reference_implementation(seed):
    print("seed", seed)
    steps = RandomTrace(seed).steps()
    reference = reference_aggregation.aggregate(TWO_SOURCES, steps)
    for size in (1, 7, 1000):
        summary = aggregate(*steps, sources=TWO_SOURCES, size=size)
        assert summary.total == reference.total, size
        assert summary.rejection_reasons == reference.rejection_reasons, size
        assert {name: totals for name, totals in summary.classes.items() if totals.requests} == reference.classes
        assert summary.accounts == reference.accounts
        assert summary.windows == reference.windows
        for name in ("track", "book"):
            check_percentiles(summary.queue_times[name], reference.queue_times.get(name, []))
            check_percentiles(summary.run_durations[name], reference.run_durations.get(name, []))


def test_memory_does_not_grow_with_the_trace():
    aggregator = Aggregator(ONE_SOURCE)
    max_rows = 0
    for first in range(0, 20_000, 100):
        steps = []
        for number in range(first, first + 100):
            subject = b"%d" % number * (number % 2)
            steps.append(request_step(number * 50.0, number + 1, number % 2, subject=subject))
            steps.append(answer_step(number * 50.0 + 10, number + 1))
        aggregator.add(*make_blocks(steps))
        max_rows = max(max_rows, aggregator.tracked_rows())
    assert max_rows < 4000
    assert aggregator.finish().total.requests == 20_000
