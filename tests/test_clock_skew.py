"""Tests of clock estimates from subjects that were attempted at more than one host."""

import json
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest
from click.testing import CliRunner

from lapispick import admission
from lapispick.cli.main import cli
from lapispick.conf import settings as conf
from lapispick.fakes.waiting import wait_until
from lapispick.file_errors import InvalidFileError
from lapispick.trace import files
from lapispick.trace.attempt_matching import answered_attempts
from lapispick.trace.clock_skew import Attempt, UnknownClock, estimate_clocks
from lapispick.trace.record_types import Answered, Arrival, Step

HOUR = 3_600_000.0
MAX_ERROR_MS = 20.0


class RetriedSubject(NamedTuple):
    """A subject that was rejected at one host and served at another; times are true ms."""

    subject: bytes
    first_host: str
    last_host: str
    ended_at: float
    arrived_at: float


def clock_ahead_by(offset_ms):
    """Return a clock, a function of the true ms, that is ahead by an offset."""
    return lambda true_ms: true_ms + offset_ms


def retried_subjects(rng, hosts, count):
    for number in range(count):
        first, last = rng.sample(sorted(hosts), 2)
        subject, ended_at = b"%08d" % number, rng.uniform(0, HOUR)
        yield RetriedSubject(subject, first, last, ended_at, ended_at + 1.0 + rng.expovariate(1 / 4))


def make_attempts(rng, clocks: dict[str, Callable[[float], float]], count, wrong_fraction=0.0):
    """Return the attempts of retried subjects, with times by the hosts' clocks, which are functions of the true ms.

    For a fraction of the subjects the first attempt is recorded as served and the last as rejected.
    """
    attempts = []
    for retried in retried_subjects(rng, clocks, count):
        in_order = rng.random() >= wrong_fraction
        first, last = (retried.first_host, retried.last_host)[:: 1 if in_order else -1]
        first_clock, last_clock = clocks[first], clocks[last]
        began_at, ended_at = first_clock(retried.ended_at - 20), first_clock(retried.ended_at)
        arrived_at, answered_at = last_clock(retried.arrived_at), last_clock(retried.arrived_at + 30)
        attempts.append(Attempt(retried.subject, first, began_at, ended_at, served=not in_order))
        attempts.append(Attempt(retried.subject, last, arrived_at, answered_at, served=in_order))
    rng.shuffle(attempts)
    return attempts


def unknown_clocks(estimates):
    return [clock for clock in estimates.clocks.values() if isinstance(clock, UnknownClock)]


def errors_ms(estimates, clocks, true_ms):
    """Return the absolute error of each estimate at a true time."""
    reference = clocks[estimates.reference](true_ms)
    return [
        abs(clock.offset_at(reference) - (clocks[host](true_ms) - reference))
        for host, clock in estimates.clocks.items()
    ]


def assert_accurate(estimates, clocks, true_ms):
    """Check that all clocks are known, with errors within the bound at a true time."""
    assert not unknown_clocks(estimates)
    assert max(errors_ms(estimates, clocks, true_ms)) <= MAX_ERROR_MS


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("offset", [-1000.0, 0.0, 1000.0])
def test_fifty_retries_give_an_offset_within_20_ms(seed, offset):
    rng = random.Random(seed)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(offset)}
    assert_accurate(estimate_clocks(make_attempts(rng, clocks, 50), clocks), clocks, HOUR / 2)


@pytest.mark.parametrize("seed", range(10))
def test_a_drift_is_estimated_and_accurate_at_both_ends_of_the_trace(seed):
    rng = random.Random(seed)
    clocks = {"a": clock_ahead_by(0.0), "b": lambda true_ms: true_ms * (1 + 100e-6) + 1000.0}  # 360 ms in the hour
    estimates = estimate_clocks(make_attempts(rng, clocks, 400), clocks)
    (other,) = (clock for host, clock in estimates.clocks.items() if host != estimates.reference)
    assert other.drift_known
    assert abs(abs(other.drift) - 0.1) < 0.01
    assert_accurate(estimates, clocks, 0.0)
    assert_accurate(estimates, clocks, HOUR)


@pytest.mark.parametrize("seed", range(10))
def test_the_stated_error_bounds_the_true_error_and_is_small(seed):
    rng = random.Random(seed)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(-700.0), "c": clock_ahead_by(250.0)}
    estimates = estimate_clocks(make_attempts(rng, clocks, 300), clocks)
    errors = errors_ms(estimates, clocks, HOUR / 2)
    for clock, error in zip(estimates.clocks.values(), errors, strict=True):
        assert error <= clock.error + 1.0
        assert clock.error < MAX_ERROR_MS


@pytest.mark.parametrize("seed", range(10))
def test_a_few_pairs_in_the_wrong_order_have_little_effect(seed):
    rng = random.Random(seed)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(1000.0)}
    attempts = make_attempts(rng, clocks, 200, wrong_fraction=0.02)
    assert_accurate(estimate_clocks(attempts, clocks), clocks, HOUR / 2)


def test_a_clock_is_unknown_without_shared_subjects_or_with_retries_in_one_direction_only():
    rng = random.Random(1)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(1000.0)}
    attempts = make_attempts(rng, clocks, 60)
    no_shared_subject = UnknownClock("cannot tell: no subject was attempted at both hosts")
    assert estimate_clocks([], ["a", "b"]).clocks["b"] == no_shared_subject
    separate = [attempt._replace(subject=attempt.subject + attempt.host.encode()) for attempt in attempts]
    for clock in estimate_clocks(separate, clocks).clocks.values():
        assert isinstance(clock, UnknownClock) or clock.offset == 0
    served_at_b = {attempt.subject for attempt in attempts if attempt.served and attempt.host == "b"}
    one_way = [attempt for attempt in attempts if attempt.subject in served_at_b]
    reasons = [clock.reason for clock in unknown_clocks(estimate_clocks(one_way, clocks))]
    assert any("one way" in reason for reason in reasons)
    three_subjects_only = [attempt for attempt in attempts if attempt.subject in sorted(served_at_b)[:3]]
    assert unknown_clocks(estimate_clocks(three_subjects_only, clocks))


def test_a_host_without_subjects_shared_with_the_reference_is_compared_through_other_hosts():
    rng = random.Random(2)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(1000.0), "c": clock_ahead_by(-500.0)}
    attempts_at_a_and_b = make_attempts(rng, {host: clocks[host] for host in "ab"}, 100)
    attempts_at_b_and_c = make_attempts(rng, {host: clocks[host] for host in "bc"}, 100)
    renamed = [attempt._replace(subject=b"x" + attempt.subject) for attempt in attempts_at_b_and_c]
    estimates = estimate_clocks(attempts_at_a_and_b + renamed, clocks)
    assert estimates.reference == "b"
    assert_accurate(estimates, clocks, HOUR / 2)
    assert isinstance(estimate_clocks(attempts_at_a_and_b, clocks).clocks["c"], UnknownClock)


def test_a_clock_that_was_set_during_the_trace_is_unknown():
    rng = random.Random(3)
    clocks = {"a": clock_ahead_by(0.0), "b": lambda true_ms: true_ms + (1000.0 if true_ms < HOUR / 2 else -500.0)}
    estimates = estimate_clocks(make_attempts(rng, clocks, 400), clocks)
    assert any("was set" in clock.reason for clock in unknown_clocks(estimates))


def test_attempts_without_a_known_order_are_left_out():
    both_served = [Attempt(b"s", "a", 0, 10, True), Attempt(b"s", "b", 1000, 1010, True)] * 20
    twice_at_a = [
        Attempt(b"t", "a", 0, 10, False),
        Attempt(b"t", "a", 20, 30, False),
        Attempt(b"t", "b", 1000, 1010, True),
    ]
    without_subject = [Attempt(b"", "a", 0, 10, False), Attempt(b"", "b", 1000, 1010, True)] * 20
    assert unknown_clocks(estimate_clocks(both_served + twice_at_a + without_subject, ["a", "b"]))


def write_trace(folder, host, attempts):
    """Write the attempts at one host as a trace; return its path."""
    steps = []
    at_host = sorted((attempt for attempt in attempts if attempt.host == host), key=lambda attempt: attempt.ended_at)
    for number, attempt in enumerate(at_host, 1):
        arrival = Arrival(number, "shop", attempt.subject, attempt.arrived_at)
        kind = "served" if attempt.served else "refused"
        answer = Answered(number, kind, attempt.ended_at - attempt.arrived_at)
        steps.append(Step(attempt.ended_at, notes=(arrival, answer)))
    path = folder / f"{host}.lptrace"
    files.write_trace(path, files.make_header(box=host, incarnation="1"), steps)
    return str(path)


def test_the_command_prints_the_clocks_and_which_are_unknown(tmp_path):
    rng = random.Random(4)
    clocks = {"a": clock_ahead_by(0.0), "b": clock_ahead_by(1000.0)}
    attempts = make_attempts(rng, clocks, 100)
    paths = [write_trace(tmp_path, host, attempts) for host in clocks]
    result = CliRunner().invoke(cli, ["trace", "clocks", "--json", *paths])
    printed = json.loads(result.output)
    other = printed["clocks"]["b" if printed["reference"] == "a" else "a"]
    assert result.exit_code == 0
    assert abs(abs(other["offset"]) - 1000) < MAX_ERROR_MS
    assert other["error"] < MAX_ERROR_MS
    unshared = [attempt._replace(host="c", subject=b"other" + attempt.subject) for attempt in attempts]
    result = CliRunner().invoke(cli, ["trace", "clocks", *paths, write_trace(tmp_path, "c", unshared)])
    assert result.exit_code == 1
    assert "cannot tell" in result.output


def test_cancelled_attempts_and_those_without_a_subject_are_left_out():
    steps = [
        Step(1.0, notes=(Arrival(1, "", b"s", 1.0), Arrival(2, "", b"t", 1.0), Arrival(3, "", b"", 1.0))),
        Step(2.0, events=(admission.ClientCancelled(1),)),
        Step(3.0, notes=(Answered(1, "failed", 2.0), Answered(2, "failed", 2.0), Answered(3, "failed", 2.0))),
    ]
    attempts = list(answered_attempts(files.make_header(box="a").sources, steps))
    assert attempts == [Attempt(b"t", "a", 1.0, 3.0, False)]


@pytest.mark.parametrize("shared", [True, False])
def test_hosts_with_a_shared_key_record_equal_digests_of_a_subject(host, tmp_path, shared):
    (tmp_path / "secret").write_bytes(b"0123456789abcdef")
    idempotency_key, subjects = f"{7:032x}", []
    for name in "ab":
        directive = "subject-key secret\n" if shared else ""
        section = f"section trace\n enabled yes\n folder {name}\n flush 50ms\n {directive}end\n"
        (tmp_path / "own.conf").write_text(section)
        process = host(environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
        gateway = process.gateway()
        assert gateway.result(gateway.request("book", "x", idempotency_key)) == "did x"
        process.terminate()
        assert process.process.wait(5) == 0
        (path,) = wait_until(lambda name=name: list((tmp_path / name).glob("*.lptrace")), "the closed file")
        with files.TraceReader(path) as reader:
            notes = [note for step in reader.steps() for note in step.notes]
        subjects += [note.subject for note in notes if type(note) is Arrival]
    assert len(subjects) == 2
    assert (subjects[0] == subjects[1]) is shared


def test_a_missing_or_short_subject_key_is_a_configuration_error(tmp_path):
    for content in (None, b"short"):
        if content:
            (tmp_path / "secret").write_bytes(content)
        (tmp_path / "own.conf").write_text("section trace\n enabled yes\n folder t\n subject-key secret\nend\n")
        with pytest.raises(InvalidFileError, match="subject-key"):
            conf.parse(tmp_path / "own.conf")
