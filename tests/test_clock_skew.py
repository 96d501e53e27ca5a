"""Clocks of boxes, told from subjects that were tried at more than one."""

import json
import random

import pytest
from click.testing import CliRunner

from lapispick import admission
from lapispick.cli.main import cli
from lapispick.conf import settings as conf
from lapispick.fakes.waiting import wait_until
from lapispick.file_errors import InvalidFileError
from lapispick.trace import files
from lapispick.trace.attempt_matching import answered_attempts
from lapispick.trace.clock_skew import Attempt, Clock, UnknownClock, estimate_clocks
from lapispick.trace.record_types import Answered, Arrival, Step

HOUR = 3_600_000.0


def meetings(rng, clocks, count, span=HOUR, delay=lambda rng: 1.0 + rng.expovariate(1 / 4), odd=0.0):
    """Make tries of subjects that were refused at one box and served at another; ``clocks`` map true ms to shown ms."""
    made = []
    for n in range(count):
        a, b = rng.sample(sorted(clocks), 2)
        subject, at = b"%08d" % n, rng.uniform(0, span)
        came = at + delay(rng)
        first, then = (a, b) if rng.random() >= odd else (b, a)  # an odd one is served first and refused later
        made.append(Attempt(subject, first, clocks[first](at - 20), clocks[first](at), False))
        made.append(Attempt(subject, then, clocks[then](came), clocks[then](came + 30), True))
        if first == b:  # what looks like the order is not
            made[-2:] = [made[-2]._replace(served=True), made[-1]._replace(served=False)]
    rng.shuffle(made)
    return made


def right(told, clocks, at, within):
    reference, found = told
    truth = {box: clocks[box](at) - clocks[reference](at) for box in clocks}
    shown = clocks[reference](at)
    return all(isinstance(c, Clock) and abs(c.ahead(shown) - truth[box]) <= within for box, c in found.items())


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("offset", [-1000.0, 0.0, 1000.0])
def test_a_second_apart_comes_out_within_20_ms_from_fifty_retries(seed, offset):
    rng = random.Random(seed)
    clocks = {"a": lambda t: t, "b": lambda t: t + offset}
    told = estimate_clocks(meetings(rng, clocks, 50), clocks)
    assert right(told, clocks, HOUR / 2, 20.0)


@pytest.mark.parametrize("seed", range(10))
def test_a_drift_is_told_and_right_at_both_ends(seed):
    rng = random.Random(seed)
    clocks = {"a": lambda t: t, "b": lambda t: t * (1 + 100e-6) + 1000.0}  # 360 ms in the hour
    reference, found = estimate_clocks(meetings(rng, clocks, 400), clocks)
    other = next(c for box, c in found.items() if box != reference)
    assert other.drift_known
    assert abs(abs(other.drift) - 0.1) < 0.01
    for at in (0.0, HOUR):
        assert right((reference, found), clocks, at, 20.0)


@pytest.mark.parametrize("seed", range(10))
def test_the_stated_error_holds_and_is_small(seed):
    rng = random.Random(seed)
    clocks = {"a": lambda t: t, "b": lambda t: t - 700.0, "c": lambda t: t + 250.0}
    reference, found = estimate_clocks(meetings(rng, clocks, 300), clocks)
    for box, c in found.items():
        truth = clocks[box](HOUR / 2) - clocks[reference](HOUR / 2)
        assert abs(c.ahead(clocks[reference](HOUR / 2)) - truth) <= c.error + 1.0
        assert c.error < 20


@pytest.mark.parametrize("seed", range(10))
def test_a_few_pairs_out_of_order_do_no_harm(seed):
    rng = random.Random(seed)
    clocks = {"a": lambda t: t, "b": lambda t: t + 1000.0}
    assert right(estimate_clocks(meetings(rng, clocks, 200, odd=0.02), clocks), clocks, HOUR / 2, 20.0)


def test_without_shared_subjects_or_with_one_way_only_it_says_cannot_tell():
    rng = random.Random(1)
    clocks = {"a": lambda t: t, "b": lambda t: t + 1000.0}
    both = meetings(rng, clocks, 60)
    assert estimate_clocks([], ["a", "b"])[1]["b"] == UnknownClock("cannot tell: no subject was tried at both")
    apart = [t._replace(subject=t.subject + t.host.encode()) for t in both]
    assert all(isinstance(c, UnknownClock) or c.offset == 0 for c in estimate_clocks(apart, clocks)[1].values())
    served_at_b = {t.subject for t in both if t.served and t.host == "b"}
    one_way = estimate_clocks([t for t in both if t.subject in served_at_b], clocks)
    assert [c for c in one_way[1].values() if isinstance(c, UnknownClock) and "one way" in c.reason]
    few = estimate_clocks([t for t in both if t.subject in sorted(served_at_b)[:3]], clocks)
    assert [c for c in few[1].values() if isinstance(c, UnknownClock)]


def test_a_box_that_never_met_the_reference_is_told_over_others():
    rng = random.Random(2)
    clocks = {"a": lambda t: t, "b": lambda t: t + 1000.0, "c": lambda t: t - 500.0}
    ab = meetings(rng, {k: clocks[k] for k in "ab"}, 100)
    bc = [t._replace(subject=b"x" + t.subject) for t in meetings(rng, {k: clocks[k] for k in "bc"}, 100)]
    told = estimate_clocks(ab + bc, clocks)
    assert told[0] == "b"
    assert right(told, clocks, HOUR / 2, 20.0)
    lonely = estimate_clocks(ab, clocks)
    assert isinstance(lonely[1]["c"], UnknownClock)


def test_a_clock_that_was_set_in_between_is_no_drift():
    rng = random.Random(3)
    clocks = {"a": lambda t: t, "b": lambda t: t + (1000.0 if t < HOUR / 2 else -500.0)}
    _, found = estimate_clocks(meetings(rng, clocks, 400), clocks)
    assert [c for c in found.values() if isinstance(c, UnknownClock) and "was set" in c.reason]


def test_what_tells_no_order_is_left_out():
    both_served = [Attempt(b"s", "a", 0, 10, True), Attempt(b"s", "b", 1000, 1010, True)] * 20
    again = [Attempt(b"t", "a", 0, 10, False), Attempt(b"t", "a", 20, 30, False), Attempt(b"t", "b", 1000, 1010, True)]
    nameless = [Attempt(b"", "a", 0, 10, False), Attempt(b"", "b", 1000, 1010, True)] * 20
    found = estimate_clocks(both_served + again + nameless, ["a", "b"])[1]
    assert [c for c in found.values() if isinstance(c, UnknownClock)]


def write(folder, name, made):
    """Write one box's tries as a trace."""
    steps = []
    for n, t in enumerate(sorted((t for t in made if t.host == name), key=lambda t: t.ended_at), 1):
        kind = "served" if t.served else "refused"
        steps.append(
            Step(
                t.ended_at,
                notes=(Arrival(n, "shop", t.subject, t.arrived_at), Answered(n, kind, t.ended_at - t.arrived_at)),
            )
        )
    path = folder / f"{name}.lptrace"
    files.write_trace(path, files.make_header(box=name, incarnation="1"), steps)
    return str(path)


def test_the_command_tells_the_clocks_of_traces_and_what_cannot_be_told(tmp_path):
    rng = random.Random(4)
    clocks = {"a": lambda t: t, "b": lambda t: t + 1000.0}
    made = meetings(rng, clocks, 100)
    paths = [write(tmp_path, name, made) for name in clocks]
    done = CliRunner().invoke(cli, ["trace", "clocks", "--json", *paths])
    told = json.loads(done.output)
    other = told["clocks"]["b" if told["reference"] == "a" else "a"]
    assert done.exit_code == 0
    assert abs(abs(other["offset"]) - 1000) < 20
    assert other["error"] < 20
    lonely = write(tmp_path, "c", [t._replace(host="c", subject=b"other" + t.subject) for t in made])
    done = CliRunner().invoke(cli, ["trace", "clocks", *paths, lonely])
    assert done.exit_code == 1
    assert "cannot tell" in done.output


def test_what_its_caller_gave_up_tells_no_end():
    steps = [
        Step(1.0, notes=(Arrival(1, "", b"s", 1.0), Arrival(2, "", b"t", 1.0), Arrival(3, "", b"", 1.0))),
        Step(2.0, events=(admission.ClientCancelled(1),)),
        Step(3.0, notes=(Answered(1, "failed", 2.0), Answered(2, "failed", 2.0), Answered(3, "failed", 2.0))),
    ]
    assert list(answered_attempts(files.make_header(box="a").sources, steps)) == [Attempt(b"t", "a", 1.0, 3.0, False)]


@pytest.mark.parametrize("shared", [True, False])
def test_boxes_with_one_key_write_one_subject_alike(host, tmp_path, shared):
    (tmp_path / "secret").write_bytes(b"0123456789abcdef")
    key, found = f"{7:032x}", []
    for box in "ab":
        more = "subject-key secret\n" if shared else ""
        (tmp_path / "own.conf").write_text(f"section trace\n enabled yes\n folder {box}\n flush 50ms\n {more}end\n")
        h = host(environ={"LAPISPICK_CONF": str(tmp_path / "own.conf")})
        g = h.gateway()
        assert g.result(g.request("book", "x", key)) == "did x"
        h.terminate()
        assert h.process.wait(5) == 0
        (path,) = wait_until(lambda box=box: list((tmp_path / box).glob("*.lptrace")), "the closed file")
        with files.TraceReader(path) as reader:
            found += [n.subject for step in reader.steps() for n in step.notes if type(n) is Arrival]
    assert len(found) == 2
    assert (found[0] == found[1]) is shared


def test_a_key_that_is_missing_or_short_is_a_fault_of_the_settings(tmp_path):
    for content in (None, b"short"):
        if content:
            (tmp_path / "secret").write_bytes(content)
        (tmp_path / "own.conf").write_text("section trace\n enabled yes\n folder t\n subject-key secret\nend\n")
        with pytest.raises(InvalidFileError, match="subject-key"):
            conf.parse(tmp_path / "own.conf")
