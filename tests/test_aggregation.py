"""Requests folded from blocks: repeats, lateness, worth, windows, boxes, and memory that does not grow."""

import random

import pytest

from benchmarks import plainfold
from lapispick import admission
from lapispick.trace.aggregation import Aggregator, SourceInfo
from lapispick.trace.block_reader import Block
from lapispick.trace.block_writer import encode_block
from lapispick.trace.record_types import Answered, Arrival, Gap, Step
from tests.controller_harness import make_class

CLASSES = (
    ("track", make_class(latency_objective_ms=1000, priority_weight=2, late_weight=0.5, degraded_weight=0.25)),
    ("book", make_class(idempotency=admission.Idempotency.KEYED, priority_weight=5, idempotency_window_ms=5000)),
)
ONE, TWO = [SourceInfo(CLASSES)], [SourceInfo(CLASSES), SourceInfo(CLASSES, 1000.0, 0.05, 2000.0)]


def request(number, class_index=0, retry_of=0, age=0.0):
    return admission.RequestReceived(number, 0.0, 0.5, age, retry_of, 0.0, 10.0, class_index, 1)


def blocks(steps, size=1000):
    return [Block(b"".join(encode_block(steps[at : at + size]))) for at in range(0, len(steps), size)]


def fold(*steps, sources=ONE, size=1000):
    made = Aggregator(sources)
    for block in blocks(steps, size):
        made.add(block)
    return made.finish()


def asked(now, number, class_index=0, retry_of=0, account="shop", age=0.0, subject=b"", box=0):
    return Step(
        now, (request(number, class_index, retry_of, age),), (), (Arrival(number, account, subject, now - age),), box
    )


def answered(now, number, kind="served", box=0):
    return Step(now, (), (), (Answered(number, kind, 0.0),), box)


def test_a_repeat_counts_for_its_first_try():
    made = fold(asked(0, 1, 1), answered(500, 1, "refused"), asked(700, 2, 1, retry_of=1), answered(900, 2))
    assert (made.total.requests, made.total.attempts, made.total.served_weight, made.total.rejected) == (1, 2, 5, 0)
    made = fold(asked(0, 1, 1), answered(10, 1, "served"), asked(700, 2, 1, retry_of=1), answered(900, 2, "failed"))
    assert (made.total.served_weight, made.total.failed) == (5, 0)


@pytest.mark.parametrize(("took", "worth"), [(900, 2), (1500, 1)])
def test_an_answer_after_the_aim_earns_its_part(took, worth):
    made = fold(asked(100, 1, age=100.0), answered(took, 1))
    assert made.classes["track"].served_weight == worth
    assert made.accounts["shop"].offered_weight == 2
    assert made.classes["track"].late == (worth == 1)
    assert made.classes["book"].requests == 0


def test_an_answer_without_its_call_earns_its_part():
    made = fold(asked(0, 1), Step(5, (), (admission.SkipCall(1),)), answered(9, 1))
    assert (made.total.served_weight, made.total.degraded) == (0.5, 1)


def test_waits_runs_windows_and_those_that_went():
    made = fold(
        asked(0, 1),
        Step(40, (), (admission.StartRun(1),)),
        Step(90, (admission.RunCompleted(1, admission.Outcome.OK, 50.0),)),
        answered(90, 1),
        asked(10_100, 2),
        Step(10_200, (admission.ClientCancelled(2),)),
        answered(10_250, 2),
        asked(10_300, 3),
        Step(10_400, (), (), (Gap(7),)),
    )
    assert (made.queue_times["track"].count, made.queue_times["track"].p50, made.run_durations["track"].maximum) == (
        1,
        40,
        50,
    )
    assert {k: v.requests for k, v in made.windows.items()} == {"0": 1, "10000": 2}
    assert made.total.unanswered == 2
    assert made.lost_steps == 7
    assert made.worst_windows == ["10000", "0"]


def test_a_request_that_repeats_itself_or_a_later_one_is_a_request():
    made = fold(Step(0, (request(1, 0, 1), request(2, 0, 3), request(3))))
    assert (made.total.requests, made.total.attempts) == (3, 3)


def test_refusals_by_ground():
    made = fold(
        asked(0, 1),
        Step(
            1,
            (),
            (
                admission.Reject(1, 5.0, True, "price"),
                admission.Reject(2, 5.0, True),
                admission.Reject(3, 5.0, True, "price"),
            ),
        ),
    )
    assert made.rejection_reasons == {"not told": 1, "price": 2}


def test_a_write_that_two_boxes_saw_is_one_request_by_the_corrected_clock():
    # The second box's clock is a second ahead: what it says at 1,700 was at 715 or so, before its aim.
    steps = (
        asked(100, 1, 1, subject=b"s"),
        answered(400, 1, "refused"),
        asked(1600, 7, 1, subject=b"s", box=1),
        answered(1700, 7, box=1),
    )
    made = fold(*steps, sources=TWO)
    assert (made.total.requests, made.total.attempts, made.total.within_objective) == (1, 2, 1)
    apart = fold(
        *(
            s._replace(notes=tuple(n._replace(subject=b"") if type(n) is Arrival else n for n in s.notes))
            for s in steps
        ),
        sources=TWO,
    )
    assert (apart.total.requests, apart.total.rejected) == (2, 1)


def test_numbers_that_do_not_rise_and_boxes_that_are_not_there_are_told():
    with pytest.raises(ValueError, match="do not rise"):
        fold(asked(0, 2), asked(1, 1))
    with pytest.raises(ValueError, match="does not name"):
        fold(asked(0, 1, box=1))
    with pytest.raises(ValueError, match="of a class"):
        fold(asked(0, 1, class_index=7))


def noise(seed, count=250):
    """Return seeded steps of two boxes, many in one, with clocks that step back and records in odd places."""
    rng, now, last, steps = random.Random(seed), 0.0, [0, 0], []
    for _ in range(count):
        now += rng.choice((0, 1, 30, 300, 2000))
        box, events, actions, notes = rng.randrange(2), [], [], []
        for _ in range(rng.randrange(4)):
            # Most are young; some are too old to take part, and now and then one never came.
            known = rng.randint(max(0, last[box] - 12) if rng.random() < 0.8 else 0, last[box]) or 10**6
            what = rng.randrange(8)
            if what < 3:
                last[box] += 1
                keyed = rng.random() < 0.5
                events.append(request(last[box], int(keyed), known if rng.random() < 0.3 else 0, rng.uniform(0, 9)))
                if rng.random() < 0.9:
                    notes.append(
                        Arrival(last[box], rng.choice(("", "a", "b")), bytes([rng.randrange(40)]) * keyed, now)
                    )
            elif what == 3:
                events.append(admission.ClientCancelled(known))
            elif what == 4:
                took = rng.uniform(0, 8000) * rng.choice((1, 1, 20))
                events.append(admission.RunCompleted(known, rng.choice(list(admission.Outcome)), took))
            elif what == 5:
                actions.append(
                    rng.choice(
                        (
                            admission.StartRun(known),
                            admission.SkipCall(known),
                            admission.Reject(known, 1.0, True, "late"),
                        )
                    )
                )
            else:
                notes.append(Answered(known, rng.choice(("served", "refused", "failed", "new")), 1.0))
        shown = now + (1000 if box else 0) - (rng.uniform(0, 200) if rng.random() < 0.1 else 0)
        steps.append(Step(shown, tuple(events), tuple(actions), tuple(notes), box))
    return steps


@pytest.mark.parametrize("seed", range(6))
def test_blocks_of_any_size_give_what_steps_one_by_one_give(seed):
    print("seed", seed)
    steps = noise(seed)
    plain = plainfold.fold(TWO, steps)
    for size in (1, 7, 1000):
        made = fold(*steps, sources=TWO, size=size)
        assert made.total == plain["whole"], size
        assert made.rejection_reasons == plain["grounds"], size
        assert {k: v for k, v in made.classes.items() if v.requests} == plain["classes"]
        assert made.accounts == plain["accounts"]
        assert made.windows == plain["windows"]
        for name in ("track", "book"):
            for spans, held in ((made.queue_times, plain["waits"]), (made.run_durations, plain["runs"])):
                assert spans[name].count == len(held.get(name, ()))
                assert spans[name].maximum == pytest.approx(max(map(round, held.get(name, (0,)))), rel=2e-3, abs=1)


def test_what_is_kept_does_not_grow_with_the_trace():
    it, most = Aggregator(ONE), 0
    for at in range(0, 20_000, 100):
        steps = []
        for n in range(at, at + 100):
            steps += [asked(n * 50.0, n + 1, n % 2, subject=b"%d" % n * (n % 2)), answered(n * 50.0 + 10, n + 1)]
        it.add(*blocks(steps))
        most = max(most, it.tracked_rows())
    assert most < 4000
    assert it.finish().total.requests == 20_000
