"""Compares a trace of the real decision module with the same records as gzipped JSON lines."""

from __future__ import annotations

import gzip
import tempfile
import time
from collections.abc import Callable
from itertools import chain
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from benchmarks import reference_aggregation
from benchmarks.common import show
from benchmarks.trace_workload import (
    ACCOUNT_NAMES,
    CLASS_NAMES,
    REQUESTS_PER_S,
    SEED,
    SETTINGS,
    START_MS,
    record_steps,
)
from lapispick.trace import aggregation, files, lines, merging, replaying
from lapispick.trace.anonymising import Anonymiser
from lapispick.trace.summary import Summary

GZIP_LEVEL = 6
CUT_MS = 60_000
PSEUDONYM_KEY = bytes(range(32))


class _Timed(NamedTuple):
    """Result of a call, and its duration."""

    seconds: float
    result: Any


def _timed(call: Callable[[], Any]) -> _Timed:
    started_at = time.perf_counter()
    result = call()
    return _Timed(time.perf_counter() - started_at, result)


def _make_header() -> Any:
    return files.make_header(
        box="n3",
        incarnation="1",
        seed=SEED,
        module_now=START_MS,
        classes=CLASS_NAMES,
        settings=msgspec.json.encode(SETTINGS),
        accounts=ACCOUNT_NAMES,
    )


def _write_lines(path: Path, header: Any, out: Path) -> None:
    with files.TraceReader(path) as reader, gzip.open(out, "wb", compresslevel=GZIP_LEVEL) as file:
        for line in lines.encode_trace(header, reader.steps()):
            file.write(line + b"\n")


def _summarise(path: Path) -> Summary:
    with files.TraceReader(path) as reader:
        return aggregation.summarise(reader.sources, (reader.read_block(location) for location in reader.blocks))


def _summarise_lines(path: Path) -> reference_aggregation.ReferenceSummary:
    """Summarise JSON lines step by step, as a simple script would do it."""
    with gzip.open(path, "rb") as file:
        header = lines.decode_header(file.readline())
        sources = [aggregation.source_info(source) for source in header.sources]
        return reference_aggregation.aggregate(sources, (lines.decode_step(line, 0) for line in file))


def _decode_lines(path: Path) -> int:
    with gzip.open(path, "rb") as file:
        return sum(1 for line in file if msgspec.json.decode(line))


def _without_names(summary: Summary) -> Summary:
    """Return a summary with a sorted list of account totals in place of the totals by account name."""
    accounts = sorted(map(msgspec.json.encode, summary.accounts.values()))
    return msgspec.structs.replace(summary, accounts=accounts)


def _cut_in_two_and_merge(path: Path, folder: Path, header: Any, middle: float) -> Path:
    first, second, merged = (folder / name for name in ("first.lptrace", "second.lptrace", "merged.lptrace"))
    with files.TraceReader(path) as reader:
        files.write_trace(first, header, reader.steps(until=middle))
        files.write_trace(second, header, reader.steps(since=middle))
    with files.TraceReader(first) as left, files.TraceReader(second) as right:
        steps = merging.merge([chain(left.steps(), right.steps())], lambda step: step.now)
        files.write_trace(merged, header, steps)
    return merged


def _replay(path: Path) -> replaying.ReplayResult:
    with files.TraceReader(path) as reader:
        source = reader.first_source
        return replaying.replay(source.settings, SEED, source.module_now, reader.steps())


def _anonymise(path: Path, out: Path) -> None:
    anonymiser = Anonymiser(PSEUDONYM_KEY)
    header = _make_header()
    anonymiser.replace_header(header)
    with files.TraceReader(path) as reader:
        files.write_trace(out, header, anonymiser.replace_steps(reader.steps()))


def measure_file(minutes: float) -> None:
    """Write, summarise, cut, merge, anonymise and replay a trace; print the sizes and durations."""
    header = _make_header()
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        path, json_lines, cut, anonymous = (
            folder / name for name in ("x.lptrace", "x.jsonl.gz", "cut.lptrace", "anonymous.lptrace")
        )
        timed_writing = _timed(lambda: files.write_trace(path, header, record_steps(minutes)))
        _write_lines(path, header, json_lines)
        timed_summary = _timed(lambda: _summarise(path))
        timed_lines_summary = _timed(lambda: _summarise_lines(json_lines))
        timed_lines_decoding = _timed(lambda: _decode_lines(json_lines))
        with files.TraceReader(path) as reader:
            middle = (reader.blocks[0].first + reader.blocks[-1].last) / 2
            timed_cut = _timed(lambda: files.write_trace(cut, header, reader.steps(middle, middle + CUT_MS)))
            read_fraction = reader.bytes_read / reader.size
        merged = _cut_in_two_and_merge(path, folder, header, middle)
        _anonymise(merged, anonymous)
        replayed = _replay(merged)
        summary = timed_summary.result
        reference = timed_lines_summary.result
        size, lines_size = path.stat().st_size, json_lines.stat().st_size
        rows = (
            (
                "requests, attempts, steps",
                f"{summary.total.requests}, {summary.total.attempts}, {timed_writing.result}",
            ),
            ("bytes", size),
            ("bytes of gzipped JSON lines", lines_size),
            ("size ratio", f"{size / lines_size:.3f}"),
            ("made and written, s", f"{timed_writing.seconds:.0f}"),
            ("summarise, s", f"{timed_summary.seconds:.2f}"),
            ("summarise the JSON lines, s", _format_ratio(timed_lines_summary, timed_summary)),
            ("only decode the JSON lines, s", _format_ratio(timed_lines_decoding, timed_summary)),
            ("both summaries agree", reference.total == summary.total and reference.accounts == summary.accounts),
            ("a minute's cut", f"{timed_cut.seconds:.2f} s, reads {read_fraction:.2%}"),
            ("cut in two and merged: the same summary", _summarise(merged) == summary),
            ("anonymised: the same summary", _without_names(_summarise(anonymous)) == _without_names(summary)),
            ("replay: steps, different ones", f"{replayed.steps}, {replayed.differing_steps}"),
        )
    show(f"a trace of {minutes:g} minutes at {REQUESTS_PER_S:g} requests a second", ("", "value"), rows)


def _format_ratio(measured: _Timed, baseline: _Timed) -> str:
    return f"{measured.seconds:.1f}, {measured.seconds / baseline.seconds:.1f} times as long"
