"""Tests of the commands of ``lapispick trace``, mostly on traces of two hosts with different clocks."""

import json
import random

import pytest

from lapispick import admission
from lapispick.trace import files
from lapispick.trace.record_types import Answered, Arrival, SpansBoundary, Step
from lapispick.trace.selecting import EdgePolicy
from lapispick.trace.step_times import step_time
from tests.trace_support import PSEUDONYM_KEY, answer_step, make_header, read_steps, request_step, run_trace_command

START = 1e12  # Unix ms


def write_fleet(folder, clock_difference=1000.0, count=300, drift=0.0):
    """Write the traces of two hosts; each keyed request is rejected at one host and then served at the other."""
    rng, attempts = random.Random(1), {"a": [], "b": []}
    for number in range(count):
        attempted_at, subject = START + number * 1000.0 + rng.uniform(0, 500), rng.randbytes(8)
        retry_delay = 2 + rng.expovariate(0.2)
        first, last = rng.sample("ab", 2)
        clock_offsets = {"a": 0, "b": clock_difference + drift * (attempted_at - START)}
        attempts[first].append((attempted_at + clock_offsets[first], subject, "refused"))
        attempts[last].append((attempted_at + 20 + retry_delay + clock_offsets[last], subject, "served"))
    for host, host_attempts in attempts.items():
        steps = []
        for number, (now, subject, kind) in enumerate(sorted(host_attempts), 1):
            steps.append(request_step(now, number, 1, subject=subject))
            steps.append(Step(now + 20, (), (), (Answered(number, kind, 20.0),)))
        files.write_trace(folder / f"{host}.lptrace", make_header(host), steps)
    return folder / "a.lptrace", folder / "b.lptrace"


def summarise(path):
    return json.loads(run_trace_command("summarise", path, "--json"))


def test_traces_with_clocks_a_second_apart_are_merged_in_the_true_order(tmp_path):
    paths = write_fleet(tmp_path)
    corrected, uncorrected = tmp_path / "m.lptrace", tmp_path / "p.lptrace"
    run_trace_command("merge", corrected, *paths, "--correct-clocks")
    run_trace_command("merge", uncorrected, *paths)
    with files.TraceReader(corrected) as reader:
        steps = list(reader.steps())
        offsets = {source.box: source.offset for source in reader.sources}
        assert offsets["b"] - offsets["a"] == pytest.approx(1000, abs=20)
        assert 0 in offsets.values()
        assert list(reader.header.made) == ["merged by corrected clocks"]
    # The merge leaves the steps of each host as they were.
    assert [step for step in steps if step.source_index == 0] == read_steps(paths[0])
    total = summarise(corrected)["whole"]
    assert total["requests"] == 300
    assert total["tries"] == 600
    assert total["in_aim"] == 300
    assert summarise(uncorrected)["whole"]["late"] > 50  # the clock offset of 1 s counts as age
    assert "expected files of one incarnation of one host" in run_trace_command("summarise", *paths, exit_code=2)
    assert "one of the traces" in run_trace_command("merge", paths[0], *paths, exit_code=2)
    unrelated = tmp_path / "c.lptrace"
    files.write_trace(unrelated, make_header("c"), [request_step(5.0, 1)])
    output = run_trace_command("merge", corrected, *paths, unrelated, "--correct-clocks", exit_code=1)
    assert "clock not corrected: c: cannot tell" in output


def test_a_drifting_clock_is_corrected_over_the_whole_trace(tmp_path):
    paths = write_fleet(tmp_path, count=600, drift=0.002)  # drifts by 1.2 s in ten minutes
    merged = tmp_path / "m.lptrace"
    run_trace_command("merge", merged, *paths, "--correct-clocks")
    times = {}  # by subject
    with files.TraceReader(merged) as reader:
        for step in reader.steps():
            for note in step.notes:
                if type(note) is Arrival:
                    times.setdefault(note.subject, []).append(step_time(reader.sources, step))
    transits = sorted(last - first for first, last in times.values())
    assert transits[0] > 0
    assert transits[len(transits) // 2] < 60


def test_two_incarnations_of_a_host_in_one_folder_are_separate(tmp_path):
    folder = tmp_path / "traces"
    folder.mkdir()
    for number, begin in (("1", 100.0), ("2", 200.0)):
        steps = [request_step(begin, 1), answer_step(begin + 50, 1)]
        files.write_trace(folder / f"a-{number}.lptrace", make_header(incarnation=number), steps)
    infos = json.loads(run_trace_command("info", folder, "--json"))
    assert [info["incarnation"] for info in infos] == ["1", "2"]
    assert "expected files of one incarnation of one host" in run_trace_command("summarise", folder, exit_code=2)
    merged = tmp_path / "m.lptrace"
    output = json.loads(run_trace_command("merge", merged, folder, "--json"))
    assert output == {"steps": 4, "lives": 2, "not_corrected": []}
    total = summarise(merged)["whole"]  # both incarnations have a request with the id 1
    assert total["requests"] == 2
    assert total["in_aim"] == 2


def test_a_file_cut_in_two_and_merged_is_the_same_file(tmp_path):
    path, _ = write_fleet(tmp_path)
    first, second, merged = (tmp_path / f"{number}.lptrace" for number in "123")
    run_trace_command("cut", path, first, "--until", "2001-09-09T01:48:00Z")
    run_trace_command("cut", path, second, "--since", "2001-09-09T01:48:00")
    assert read_steps(first)
    assert read_steps(second)
    run_trace_command("merge", merged, second, first)
    assert [without_marks(step) for step in read_steps(merged)] == read_steps(path)
    assert summarise(merged) == summarise(path)
    output = run_trace_command("cut", path, merged, "--since", "noon", exit_code=2)
    assert "expected Unix ms or ISO 8601 such as 2026-12-01T12:30:05Z, got 'noon'" in output
    output = run_trace_command("cut", path, merged, "--class", "x", exit_code=2)
    assert "expected one of book, job, quote, track, got x" in output
    run_trace_command("cut", path, merged, "--outcome", "refused", "--edges", EdgePolicy.COMPLETE)
    total = summarise(merged)["whole"]
    assert total["refused"] == total["requests"] > 0
    assert "none that was cut" in run_trace_command("replay", merged, exit_code=2)


def without_marks(step):
    return step._replace(notes=tuple(note for note in step.notes if type(note) is not SpansBoundary))


def test_an_anonymised_trace_has_no_original_name_and_the_same_summary(tmp_path):
    path, _ = write_fleet(tmp_path)
    key, output = tmp_path / "key", tmp_path / "o.lptrace"
    key.write_bytes(PSEUDONYM_KEY)
    assert "none left" in run_trace_command("anonymise", path, output, "--key", key, "--boxes")
    assert b"shop" not in output.read_bytes()
    assert PSEUDONYM_KEY not in output.read_bytes()
    before, after = summarise(path), summarise(output)
    assert list(after["accounts"].values()) == list(before["accounts"].values())
    assert after["accounts"] != before["accounts"]
    assert {**before, "accounts": 0} == {**after, "accounts": 0}
    key.write_bytes(b"short")
    assert "16 to 64 bytes" in run_trace_command("anonymise", path, output, "--key", key, exit_code=2)


def test_a_name_in_a_log_text_fails_the_anonymisation(tmp_path):
    path, output, key = tmp_path / "x.lptrace", tmp_path / "o.lptrace", tmp_path / "key"
    key.write_bytes(PSEUDONYM_KEY)
    log_step = Step(1.0, (), (admission.Log("a line that names shop"),))
    files.write_trace(path, make_header(), [request_step(0, 1), log_step])
    assert "left in the output, which was removed: shop" in run_trace_command(
        "anonymise", path, output, "--key", key, exit_code=2
    )
    assert not output.exists()


def test_json_lines_convert_back_to_the_same_trace(tmp_path):
    path, other = write_fleet(tmp_path)
    back = tmp_path / "back.lptrace"
    for suffix in (".jsonl", ".jsonl.gz"):
        converted = tmp_path / f"x{suffix}"
        run_trace_command("convert", path, converted)
        run_trace_command("convert", converted, back)
        assert "all steps agree" in run_trace_command("diff", path, back)
    assert "the headers differ in box" in run_trace_command("diff", path, other, exit_code=1)
    printed = run_trace_command("cat", path).splitlines()
    assert printed == (tmp_path / "x.jsonl").read_text().splitlines()[1:]
    (tmp_path / "x.jsonl").write_text("{}\n")
    assert "line 1: invalid trace header" in run_trace_command("convert", tmp_path / "x.jsonl", back, exit_code=2)
    assert "to end in .jsonl" in run_trace_command("convert", path, back, exit_code=2)


def test_a_plot_is_a_picture_or_a_self_contained_page(tmp_path):
    path, _ = write_fleet(tmp_path)
    run_trace_command("plot", path, "--out", tmp_path / "x.png")
    assert (tmp_path / "x.png").read_bytes()[:8] == b"\x89PNG\r\n\x1a\n"
    run_trace_command("plot", path, "--out", tmp_path / "x.html")
    page = (tmp_path / "x.html").read_text()
    assert "data:image/png;base64," in page
    assert "http" not in page
    assert "By account" in page
    files.write_trace(tmp_path / "e.lptrace", make_header(), [])
    output = run_trace_command("plot", tmp_path / "e.lptrace", "--out", tmp_path / "x.png", exit_code=2)
    assert "no steps in" in output
    assert "ends in .png or .html" in run_trace_command("plot", path, "--out", tmp_path / "x.svg", exit_code=2)


def test_empty_files_and_files_with_one_record_are_valid_traces(tmp_path):
    for steps in ([], [Step(1.0, (), (admission.StartRun(1),))]):
        path = tmp_path / "x.lptrace"
        files.write_trace(path, make_header(), steps)
        assert summarise(path)["whole"]["requests"] == 0
        run_trace_command("verify", path)
        run_trace_command("cut", path, tmp_path / "o.lptrace", "--since", "5")
        assert read_steps(tmp_path / "o.lptrace") == []
