"""Cutting, merging, anonymising, comparing and converting traces: the decisions, and the commands on real files."""

import json
import os
import random
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner

from lapispick import admission
from lapispick.cli.main import cli
from lapispick.trace import attempt_matching, comparing, files, lines, merging
from lapispick.trace.anonymising import Anonymiser, PseudonymConflictError
from lapispick.trace.clock_skew import Clock, UnknownClock
from lapispick.trace.record_types import Answered, Arrival, ExternalEvent, SpansBoundary, Step
from lapispick.trace.selecting import COMPLETE, DROP, Selection, Selector
from tests.controller_harness import make_settings
from tests.test_aggregation import answered, asked

NAMES = ["track", "book", "job", "quote"]
KEY = bytes(range(20))


def header(box="a", incarnation="1", **over):
    return files.make_header(
        **{
            **dict(
                box=box,
                incarnation=incarnation,
                classes=NAMES,
                accounts=["shop", "bar"],
                settings=msgspec.json.encode(make_settings()),
            ),
            **over,
        }
    )


def run(number, at, box=0):
    return Step(at, (), (admission.StartRun(number),), (), box)


def cut(steps, **wanted):
    selector = Selector(Selection(**wanted), lambda box, class_index: NAMES[class_index], 4000.0, lambda s: s.now)
    since, until = wanted.get("since", float("-inf")), wanted.get("until", float("inf"))
    return list(selector.run(s for s in steps if since - selector.margin <= s.now < until + selector.margin))


STEPS = [
    asked(0, 1),
    run(1, 10),
    asked(100, 2, 1, account="bar"),
    answered(150, 1),
    run(2, 200),
    asked(300, 3),
    Step(310, (), (admission.Advertise(0.5),)),
    answered(320, 3, "refused"),
    answered(400, 2),
    asked(500, 4),
]


def ids(steps):
    return [
        (s.now, *(r.id for part in s[1:4] for r in part if hasattr(r, "id") and type(r) is not SpansBoundary))
        for s in steps
    ]


def marks(steps):
    return [(n.id, n.began_before, n.ends_after) for s in steps for n in s.notes if type(n) is SpansBoundary]


def test_a_window_keeps_its_steps_and_marks_what_its_edges_cut_through():
    made = cut(STEPS, since=120.0, until=350.0)
    assert ids(made) == [(150, 1), (200, 2), (300, 3, 3), (310,), (320, 3)]
    assert marks(made) == [(1, True, False), (2, True, True)]


def test_requests_at_the_edges_are_kept_whole_or_left_out_as_asked():
    made = cut(STEPS, since=120.0, until=350.0, edges=COMPLETE)
    assert ids(made) == [(0, 1, 1), (10, 1), (100, 2, 2), (150, 1), (200, 2), (300, 3, 3), (310,), (320, 3), (400, 2)]
    assert not marks(made)
    assert ids(cut(STEPS, since=120.0, until=350.0, edges=DROP)) == [(300, 3, 3), (310,), (320, 3)]
    assert cut(STEPS, since=7000.0, until=8000.0) == []


@pytest.mark.parametrize(
    ("wanted", "kept"),
    [
        (dict(classes=frozenset({"book"})), {2}),
        (dict(accounts=frozenset({"shop"})), {1, 3, 4}),
        (dict(outcomes=frozenset({"refused"})), {3}),
        (dict(outcomes=frozenset({"gone"})), {4}),
        (dict(classes=frozenset({"track"}), outcomes=frozenset({"served"})), {1}),
    ],
)
def test_requests_are_chosen_by_class_account_and_outcome(wanted, kept):
    made = cut(STEPS, **wanted)
    assert {number for one in ids(made) for number in one[1:]} == kept
    assert not any(type(a) is admission.Advertise for s in made for a in s.actions)  # belongs to no request


def test_what_a_cut_holds_does_not_grow_with_the_trace():
    selector, most = (
        Selector(Selection(outcomes=frozenset({"served"})), lambda box, class_index: "track", 4000.0, lambda s: s.now),
        0,
    )

    def steps():
        nonlocal most
        for n in range(20_000):
            yield asked(n * 10.0, n + 1)
            if n % 2:
                yield answered(n * 10.0 + 5, n + 1)
            most = max(most, len(selector._attempts) + len(selector._pending) + len(selector._marked))

    assert sum(1 for _ in selector.run(steps())) == 20_000
    assert most < 2500


def test_lives_are_merged_by_time_and_never_reordered_within():
    a = [Step(t) for t in (0.0, 5.0, 3.0, 6.0)]  # its clock steps back
    b = [Step(t, source_index=1) for t in (1.0, 5.0, 5.5)]
    made = list(merging.merge([a, b], lambda s: s.now))
    assert [(s.now, s.source_index) for s in made] == [(0, 0), (1, 1), (5, 0), (3, 0), (5, 1), (5.5, 1), (6, 0)]
    for seed in range(50):
        rng = random.Random(seed)
        streams = [[Step(rng.uniform(0, 100), source_index=n) for _ in range(rng.randrange(9))] for n in range(3)]
        made = list(merging.merge(streams, lambda s: s.now))
        assert [[s for s in made if s.source_index == n] for n in range(3)] == streams, seed


def test_sources_of_one_life_are_one_and_clocks_are_corrected_where_they_are_told():
    told, places = merging.merge_sources(
        [header(sequence=0).sources, header(sequence=1).sources, header("b").sources, header(incarnation="2").sources]
    )
    assert [(s.box, s.incarnation) for s in told] == [("a", "1"), ("b", "1"), ("a", "2")]
    assert places == [[0], [0], [1], [2]]
    left = merging.apply_clocks(told, {"a": Clock(0.0, 0.0, 0.0, 0.0, 9, True), "b": UnknownClock("cannot tell: no")})
    assert left == ["b: cannot tell: no"]
    merging.apply_clocks(told, {"b": Clock(1000.0, 2.0, 50_000.0, 3.0, 9, True)})
    assert files.step_time(told, Step(51_000.0, source_index=1)) == 50_000.0
    assert files.step_time(told, Step(61_000.0, source_index=1)) == pytest.approx(59_980.0)


def test_tries_that_are_kept_are_of_the_same_subjects_at_all_boxes():
    rng = random.Random(3)
    subjects = [rng.randbytes(8) for _ in range(3000)]
    many = [
        list(
            attempt_matching.answered_attempts(
                header(box).sources,
                (step for n, s in enumerate(subjects) for step in (asked(n, n + 1, 1, subject=s), answered(n, n + 1))),
            )
        )
        for box in "ab"
    ]
    held = attempt_matching.sample_subjects(many, 1000)
    assert 300 < len(held) <= 1000
    assert {t.subject for t in held if t.host == "b"} <= {t.subject for t in held if t.host == "a"}


def test_stand_ins_are_keyed_stable_and_one_to_one():
    steps = [asked(n, n + 1, 1, account=a, subject=a.encode()) for n, a in enumerate(["shop", "bar", "shop"])]
    steps.append(Step(9.0, (), (), (ExternalEvent("reloaded", "127.0.0.1:99"),)))
    made = list(Anonymiser(KEY).replace_steps(steps))
    accounts = [n.account for s in made for n in s.notes if type(n) is Arrival]
    assert accounts[0] == accounts[2] != accounts[1]
    assert not {"shop", "bar"} & set(accounts)
    assert list(Anonymiser(KEY).replace_steps(steps)) == made != list(Anonymiser(KEY + b"x").replace_steps(steps))
    assert made[0].events[0].caller != steps[0].events[0].caller
    assert made[3].notes[0].details == ""
    assert len({n.subject for s in made for n in s.notes if type(n) is Arrival}) == 2
    told = header()
    it = Anonymiser(KEY, hosts=True)
    it.replace_header(told)
    assert list(told.sources[0].accounts) == accounts[:2]
    assert told.sources[0].box.startswith("box-")
    assert it.originals() == {"a", "shop", "bar"}
    assert KEY not in told.SerializeToString()
    with pytest.raises(ValueError, match="16 to 64 bytes, not 3"):
        Anonymiser(b"key")


def test_two_names_with_one_stand_in_are_told():
    it = Anonymiser(KEY)
    it._originals["account", it._pseudonym("account", "shop")] = "another"
    del it._pseudonyms["account", "shop"]
    with pytest.raises(PseudonymConflictError, match="another key"):
        list(it.replace_steps([asked(0, 1)]))


def test_where_two_traces_part_and_what_was_decided():
    other = [s._replace(actions=(admission.Reject(2, 5.0, True, "price"),)) if s.now == 200 else s for s in STEPS]
    sides = [comparing.Decisions(lambda box, class_index: NAMES[class_index]) for _ in range(2)]

    def on_pair(one, two):
        for side, step in zip(sides, (one, two), strict=True):
            side.add(step, step.actions)

    found = comparing.first_divergence(STEPS, other, on_pair)
    assert (found.step, found.field, found.left) == (5, "actions", "(Run(id=2),)")
    left, right = (side.by_class for side in sides)
    comparing.estimate(left, right, {"track": 2.0, "book": 5.0})
    assert left["book"].runs == 1
    assert right["book"].rejected == 1
    assert right["book"].priority_weight == 0.0
    assert right["track"].priority_weight == 2.0
    assert sides[1].reasons == {"price": 1}
    assert comparing.first_divergence(STEPS, STEPS, on_pair) is None
    assert comparing.first_divergence(STEPS, STEPS[:-1], on_pair).field == "end"


def test_classes_are_remembered_for_so_many_requests_only(monkeypatch):
    monkeypatch.setattr(comparing, "MAX_KNOWN_REQUESTS", 100)
    side = comparing.Decisions(lambda box, class_index: NAMES[class_index])
    for n in range(1, 1000):
        side.add(asked(n, n), (admission.StartRun(n),))
    assert len(side._classes) <= 101
    assert side.by_class["track"].runs == 999


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"{", "line 7"),
        (b'{"now": "x"}', "line 7: Expected `float`"),
        (b'{"now": 1, "events": [{"record": "Run", "id": 1}]}', "no record 'Run' among the events"),
        (b'{"now": 1, "actions": [{"record": "Run"}]}', "line 7: 'id'"),
        (b'{"now": 1, "actions": [{"record": "Run", "id": 1, "x": 2}]}', "Run has no field 'x'"),
        (b'{"now": 1, "events": [{"record": "RunEnded", "id": 1, "outcome": "GOOD", "took": 1}]}', "GOOD"),
        (b'{"now": 1, "notes": [{"record": "Arrival", "id": 1, "account": "a", "subject": "?", "born": 1}]}', "line 7"),
    ],
)
def test_lines_that_are_no_step_are_named(line, why):
    with pytest.raises(lines.TraceLineError, match=why):
        lines.decode_step(line, 7)


# The commands.


def tool(*words, code=0):
    made = CliRunner().invoke(cli, ["trace", *map(str, words)])
    assert made.exit_code == code, made.output
    return made.stdout + made.stderr


def read(path):
    with files.TraceReader(path) as reader:
        return list(reader.steps())


def fleet(folder, apart=1000.0, count=300, drift=0.0):
    """Write the traces of two boxes whose clocks disagree: writes are refused at the one and served at the other."""
    rng, found = random.Random(1), {"a": [], "b": []}
    for n in range(count):
        at, subject = 1e12 + n * 1000.0 + rng.uniform(0, 500), rng.randbytes(8)
        took = 2 + rng.expovariate(0.2)
        first, then = rng.sample("ab", 2)
        for box, time, kind in ((first, at, "refused"), (then, at + 20 + took, "served")):
            found[box].append((time + (apart + drift * (at - 1e12) if box == "b" else 0), subject, kind))
    for box, tries in found.items():
        steps = []
        for number, (now, subject, kind) in enumerate(sorted(tries), 1):
            steps += [asked(now, number, 1, subject=subject), Step(now + 20, (), (), (Answered(number, kind, 20.0),))]
        files.write_trace(folder / f"{box}.lptrace", header(box), steps)
    return folder / "a.lptrace", folder / "b.lptrace"


def test_boxes_a_second_apart_are_merged_in_the_order_of_what_happened(tmp_path):
    paths = fleet(tmp_path)
    out, plain = tmp_path / "m.lptrace", tmp_path / "p.lptrace"
    tool("merge", out, *paths, "--correct-clocks")
    tool("merge", plain, *paths)
    with files.TraceReader(out) as reader:
        steps = list(reader.steps())
        (ahead,) = (s.offset for s in reader.sources if s.box == "b")
        if reader.sources[0].offset:
            ahead = -reader.sources[0].offset
        assert ahead == pytest.approx(1000, abs=20)
        assert list(reader.header.made) == ["merged by corrected clocks"]
        assert [s for s in steps if s.source_index == 0] == read(paths[0])  # each box as it was
    summary = json.loads(tool("summarise", out, "--json"))["whole"]
    assert (summary["requests"], summary["tries"], summary["in_aim"]) == (300, 600, 300)
    assert json.loads(tool("summarise", plain, "--json"))["whole"]["late"] > 50  # a second counts as age
    assert "needs files of one life" in tool("summarise", *paths, code=2)
    assert "one of the traces" in tool("merge", paths[0], *paths, code=2)
    alone = tmp_path / "c.lptrace"
    files.write_trace(alone, header("c"), [asked(5.0, 1)])
    assert "not corrected: c: cannot tell" in tool("merge", out, *paths, alone, "--correct-clocks", code=1)


def test_a_clock_that_drifts_is_corrected_from_end_to_end(tmp_path):
    paths = fleet(tmp_path, count=600, drift=0.002)  # 1.2 s in ten minutes
    out = tmp_path / "m.lptrace"
    tool("merge", out, *paths, "--correct-clocks")
    with files.TraceReader(out) as reader:
        met = {}
        for step in reader.steps():
            for note in step.notes:
                if type(note) is Arrival:
                    met.setdefault(note.subject, []).append((files.step_time(reader.sources, step), step.source_index))
    ways = [then[0] - first[0] for first, then in met.values()]
    assert min(ways) > 0
    assert sorted(ways)[len(ways) // 2] < 60


def test_two_lives_of_a_box_in_one_folder_are_kept_apart(tmp_path):
    folder = tmp_path / "traces"
    folder.mkdir()
    for life in "12":
        files.write_trace(
            folder / f"a-{life}.lptrace",
            header(incarnation=life),
            [asked(100.0 * int(life), 1), answered(100.0 * int(life) + 50, 1)],
        )
    assert [one["incarnation"] for one in json.loads(tool("info", folder, "--json"))] == ["1", "2"]
    assert "needs files of one life" in tool("summarise", folder, code=2)
    out = tmp_path / "m.lptrace"
    assert json.loads(tool("merge", out, folder, "--json")) == {"steps": 4, "lives": 2, "not_corrected": []}
    made = json.loads(tool("summarise", out, "--json"))["whole"]  # both have a request 1
    assert (made["requests"], made["in_aim"]) == (2, 2)


def test_a_file_cut_in_two_and_merged_is_the_file_again(tmp_path):
    whole, _ = fleet(tmp_path)
    first, then, out = (tmp_path / f"{n}.lptrace" for n in "123")
    tool("cut", whole, first, "--until", "2001-09-09T01:48:00Z")
    tool("cut", whole, then, "--since", "2001-09-09T01:48:00")
    assert read(first)
    assert read(then)
    tool("merge", out, then, first)
    kept = [s._replace(notes=tuple(n for n in s.notes if type(n) is not SpansBoundary)) for s in read(out)]
    assert kept == read(whole)
    assert json.loads(tool("summarise", out, "--json")) == json.loads(tool("summarise", whole, "--json"))
    assert "neither Unix ms nor a time" in tool("cut", whole, out, "--since", "noon", code=2)
    assert "knows book, job, quote, track, not x" in tool("cut", whole, out, "--class", "x", code=2)
    tool("cut", whole, out, "--outcome", "refused", "--edges", COMPLETE)
    summary = json.loads(tool("summarise", out, "--json"))["whole"]
    assert summary["refused"] == summary["requests"] > 0
    assert "none that was cut" in tool("replay", out, code=2)


def test_names_are_gone_and_the_summary_is_the_same(tmp_path):
    whole, _ = fleet(tmp_path)
    key, out = tmp_path / "key", tmp_path / "o.lptrace"
    key.write_bytes(KEY)
    assert "none left" in tool("anonymise", whole, out, "--key", key, "--boxes")
    assert not any(name in out.read_bytes() for name in (b"shop", KEY))
    before, after = (json.loads(tool("summarise", p, "--json")) for p in (whole, out))
    assert list(after["accounts"].values()) == list(before["accounts"].values()) != after["accounts"]
    assert {**before, "accounts": 0} == {**after, "accounts": 0}
    key.write_bytes(b"short")
    assert "16 to 64 bytes" in tool("anonymise", whole, out, "--key", key, code=2)


def test_a_name_that_stands_where_nobody_looked_stops_it(tmp_path):
    path, out, key = tmp_path / "x.lptrace", tmp_path / "o.lptrace", tmp_path / "key"
    key.write_bytes(KEY)
    files.write_trace(path, header(), [asked(0, 1), Step(1.0, (), (admission.Log("a line that names shop"),))])
    assert "shop: still stands" in tool("anonymise", path, out, "--key", key, code=2)
    assert not out.exists()


def test_lines_and_back_differ_in_nothing(tmp_path):
    whole, other = fleet(tmp_path)
    for suffix in (".jsonl", ".jsonl.gz"):
        there, back = tmp_path / f"x{suffix}", tmp_path / "back.lptrace"
        tool("convert", whole, there)
        tool("convert", there, back)
        assert "all steps agree" in tool("diff", whole, back)
    assert "the headers differ in box" in tool("diff", whole, other, code=1)
    cat = tool("cat", whole).splitlines()
    assert cat == (tmp_path / "x.jsonl").read_text().splitlines()[1:]
    (tmp_path / "x.jsonl").write_text("{}\n")
    assert "line 1: is no header" in tool("convert", tmp_path / "x.jsonl", back, code=2)
    assert "must be .jsonl" in tool("convert", whole, back, code=2)


def test_plots_are_a_picture_and_a_page_that_needs_nothing_else(tmp_path):
    whole, _ = fleet(tmp_path)
    tool("plot", whole, "--out", tmp_path / "x.png")
    assert (tmp_path / "x.png").read_bytes()[:8] == b"\x89PNG\r\n\x1a\n"
    tool("plot", whole, "--out", tmp_path / "x.html")
    page = (tmp_path / "x.html").read_text()
    assert "data:image/png;base64," in page
    assert "http" not in page
    assert "By account" in page
    files.write_trace(tmp_path / "e.lptrace", header(), [])
    assert "no steps" in tool("plot", tmp_path / "e.lptrace", "--out", tmp_path / "x.png", code=2)
    assert "must end in" in tool("plot", whole, "--out", tmp_path / "x.svg", code=2)


def test_an_empty_file_and_one_with_one_record_are_traces(tmp_path):
    for steps in ([], [Step(1.0, (), (admission.StartRun(1),))]):
        path = tmp_path / "x.lptrace"
        files.write_trace(path, header(), steps)
        assert json.loads(tool("summarise", path, "--json"))["whole"]["requests"] == 0
        tool("verify", path)
        tool("cut", path, tmp_path / "o.lptrace", "--since", "5")
        assert read(tmp_path / "o.lptrace") == []


@pytest.mark.parametrize(
    ("broken", "words"),
    [
        ("lapispick.fakes.connection_pool.ConnectionPool.send_request", ["demo", "--seconds", "0.5"]),
        ("lapispick.cli.ops.call", ["ops", "check", "--at", "127.0.0.1:1"]),
    ],
)
def test_a_peer_that_hangs_up_on_a_command_is_a_message_and_never_silence(monkeypatch, broken, words):
    def hang_up(*_, **__):
        raise BrokenPipeError(32, "Broken pipe")

    monkeypatch.setattr(broken, hang_up)
    done = CliRunner().invoke(cli, words)
    assert done.exit_code == 1
    assert "Broken pipe" in done.stderr


@pytest.mark.parametrize("unbuffered", ["", "1"])
def test_a_reader_that_left_is_no_fault_of_a_peer(unbuffered):
    made = subprocess.Popen(
        [sys.executable, "-m", "lapispick", "config", "show"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": unbuffered},
    )
    made.stdout.close()
    assert made.stderr.read() == b""
    assert made.wait(20) == 1
    made.stderr.close()
